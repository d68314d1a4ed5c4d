package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Guards against a workspace that exceeds its rate over hundreds of hosts, while its callers move from host
// to host, hosts restart or lose the coordinator, coordinators change, and all processes restart at once.
func TestBoundHoldsOverHundredsOfHosts(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 4))
		hosts := []int{63, 295}[seed%2]
		s := newFleetSim(hosts)
		firstHost := 0
		for s.now.Before(testStart.Add(40 * time.Second)) {
			s.now = s.now.Add(testStep)
			if r.Float64() < 0.001 {
				firstHost = r.IntN(hosts)
			}
			s.request((firstHost+int(r.ExpFloat64()*5))%hosts, 200+r.Float64()*3000)
			if r.Float64() < 0.005 {
				s.restart(r.IntN(hosts))
			}
			if r.Float64() < 0.01 {
				s.setConnected(r.IntN(hosts), r.IntN(2) == 0)
			}
			switch p := r.Float64(); {
			case p < 0.0005:
				s.newCoordinator()
			case p < 0.0008:
				for i := range hosts {
					s.setConnected(i, false)
				}
			case p < 0.0012:
				for i := range hosts {
					s.setConnected(i, true)
				}
			case p < 0.0014:
				for i := range hosts {
					s.restart(i)
				}
			}
		}
		if got := s.maxTokensInWindow(); got > allowedTokens() {
			t.Errorf("seed %d, %d hosts: %.0f tokens in a window, want at most %.0f", seed, hosts, got, allowedTokens())
		}
	}
}

// Guards against refusals within the rate of a workspace whose callers use a few of many hosts, also of
// large requests. With an even split over 63 or 295 hosts, the share of one host did not cover a single
// request: requests were refused from the first second of traffic.
func TestCallersAtFewOfManyHostsAreServed(t *testing.T) {
	for _, hosts := range []int{7, 74, 295} {
		r := rand.New(rand.NewPCG(11, 1))
		s := newFleetSim(hosts)
		s.passTime(10 * time.Second)
		large := 0.0
		for range 60 * 200 {
			s.now = s.now.Add(testStep)
			if r.Float64() > testStep.Seconds()*testRate*0.55/1700 {
				continue
			}
			tokens := 1000.0
			if r.IntN(10) == 0 {
				tokens = 8000
				large++
			}
			s.request(r.IntN(3)*hosts/3, tokens)
		}
		s.passTime(time.Second)
		largeRefused := float64(s.countRefusedAbove(1000))
		if s.refusedTokens > 0.01*s.requestedTokens {
			t.Errorf("%d hosts: %.0f of %.0f tokens were refused within the rate, want at most 1 %%", hosts, s.refusedTokens, s.requestedTokens)
		}
		if largeRefused > 0.05*large {
			t.Errorf("%d hosts: %.0f of %.0f large requests were refused within the rate, want at most 5 %%", hosts, largeRefused, large)
		}
	}
}

// Guards against refusals while the hosts have no coordinator: until there is a new one, fallback shares
// follow the demand before the loss. Without them all hosts fell back to a 63rd of each rate.
func TestHostsServeWithoutCoordinator(t *testing.T) {
	for _, hosts := range []int{7, 63, 295} {
		r := rand.New(rand.NewPCG(12, 1))
		s := newFleetSim(hosts)
		s.passTime(5 * time.Second)
		load := func(d time.Duration) {
			for end := s.now.Add(d); s.now.Before(end); {
				s.now = s.now.Add(testStep)
				if r.Float64() < testStep.Seconds()*testRate*0.55/1200 {
					s.request(r.IntN(5)*hosts/5, 400+r.Float64()*1600)
				}
			}
		}
		load(30 * time.Second)
		for i := range hosts {
			s.setConnected(i, false)
		}
		refusedTokens, requestedTokens := s.refusedTokens, s.requestedTokens
		load(8 * time.Second)
		if got, all := s.refusedTokens-refusedTokens, s.requestedTokens-requestedTokens; got > 0.15*all {
			t.Errorf("%d hosts: %.0f of %.0f tokens were refused without a coordinator, want at most 15 %%", hosts, got, all)
		}
	}
}

// Guards against two hosts that use the same share at once: after a share is lowered, the difference is
// assigned to another host only when the first host has confirmed the lower share. A host that sends no
// reports keeps its share.
func TestFallbackSharesDoNotOverlap(t *testing.T) {
	s := NewFallbackTable(1)
	ids := []entity.HostID{"a", "b"}
	s.SetMembers(ids)
	now := testStart
	for _, id := range ids {
		s.StartSession(id, nil)
		s.RecordReport(id, 0, now)
	}
	s.RecordDemand("a", "w", 1000, now)
	for _, a := range s.Assign(testIDs, now) {
		s.RecordReport(a.Host, a.Version, now)
	}
	first := s.UsableShare("a", "w")
	if sum := first + s.UsableShare("b", "w"); first < s.UsableShare("b", "w") || sum > reserveFraction(2)+1e-9 {
		t.Fatalf("shares of the hosts are %.3f and %.3f; want the larger one at the host with demand, and a sum of at most the reserve", first, s.UsableShare("b", "w"))
	}
	now = now.Add(time.Minute)
	s.RecordReport("a", 0, now)
	s.RecordReport("b", 0, now)
	s.RecordDemand("b", "w", 1000, now)
	assigned := s.Assign(testIDs, now)
	if s.UsableShare("a", "w") < first {
		t.Error("a lowered share counts as confirmed before its host has confirmed it")
	}
	if sum := s.UsableShare("a", "w") + s.UsableShare("b", "w"); sum > reserveFraction(2)+1e-9 {
		t.Errorf("hosts may use %.3f of the rate, want at most %.3f", sum, reserveFraction(2))
	}
	s.EndSession("a")
	s.RecordReport("b", assigned[len(assigned)-1].Version, now)
	if got := s.Withheld(testIDs, now)["w"]; got < first {
		t.Errorf("%.3f of the rate is withheld for a host without a session that may use %.3f, want at least that", got, first)
	}
	s.SetMembers([]entity.HostID{"b"})
	if got := s.Withheld(testIDs, now)["w"]; got != 0 {
		t.Errorf("%.3f of the rate is withheld for a host whose registration has ended, want 0", got)
	}
}

// Guards against a fallback share that stays active when the registration of its host may have ended.
func TestFallbackSharesEndWithRegistration(t *testing.T) {
	l := New(testTolerance, testStart)
	l.SetLimits(testLimits(testRate, testBurst), testStart)
	l.SetMembers([]entity.HostID{"a", "b", "c", "d"}, testStart)
	l.SetFallback(map[entity.RateKey]float64{"w": 0.9}, 1, testStart)
	l.SetRegistered(testStart.Add(time.Second), testStart)
	now := testStart.Add(2 * time.Second)
	if _, _, ok := l.Admit("w", 0.5*testRate, now); !ok {
		t.Error("the fallback share was not active while the host was registered")
	}
	if _, _, ok := l.Admit("w", 0.6*testRate, now.Add(10*time.Second)); ok {
		t.Error("the fallback share was active after the registration had ended")
	}
}

// Guards against a host that starts its session before the coordinator observes its registration. The shares
// of such a host were unknown permanently, and the reserve stayed empty.
func TestSessionBeforeRegistration(t *testing.T) {
	s := NewFallbackTable(1)
	s.StartSession("a", nil)
	s.SetMembers([]entity.HostID{"a"})
	s.RecordReport("a", 0, testStart)
	if got := s.Withheld(testIDs, testStart)["w"]; got != 0 {
		t.Errorf("%.2f of the rate is withheld for a host that sends reports, want 0", got)
	}
}

// Guards against a reserve that stays empty while one failed host is still registered. A new coordinator
// does not know the shares of that host. When the machine of the coordinator was removed, only a tenth of
// each rate was usable for six seconds.
func TestUnreachableHostWithholdsLittle(t *testing.T) {
	for _, demand := range []bool{false, true} {
		s := newFleetSim(63)
		r := rand.New(rand.NewPCG(31, 1))
		for end := s.now.Add(3 * time.Second); s.now.Before(end); {
			s.now = s.now.Add(testStep)
			if demand && r.Float64() < testStep.Seconds()*testRate*0.55/1200 {
				s.request(r.IntN(16), 1200)
			}
			s.exchangeMessages()
		}
		s.setConnected(5, false)
		s.shares.EndSession("5")
		s.newCoordinator()
		if got := s.shares.Withheld(testIDs, s.now)["w"]; got > 0.2 {
			t.Errorf("with demand %v: %.2f of the rate is withheld for one unreachable host, want at most 0.2", demand, got)
		}
	}
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	testRate   = 20000.0
	testBurst  = 20000.0
	testWindow = 8 * time.Second
	testStep   = 5 * time.Millisecond
)

var (
	testSlack = Slack{Factor: 0.05, Tokens: 17000}
	testStart = time.Unix(1000, 0)
)

func testCatalog(rate, burst float64) *catalog.Catalog {
	return catalog.New(catalog.Document{Version: 1, Workspaces: []*catalog.Workspace{{ID: "w", Rate: rate, Burst: burst}}})
}

// fleetSim is a number of hosts with one coordinator, in simulated time.
type fleetSim struct {
	catalog  *catalog.Catalog
	limiters []*Limiter
	// cut hosts have lost their session at a time.
	cut      []time.Time
	reserve  *Reserve
	now      time.Time
	admitted []admission
	refused  float64
	asked    float64
}

type admission struct {
	at     time.Time
	tokens float64
}

func newFleetSim(hosts int) *fleetSim {
	s := &fleetSim{catalog: testCatalog(testRate, testBurst), now: testStart}
	for range hosts {
		s.limiters = append(s.limiters, nil)
		s.cut = append(s.cut, time.Time{})
	}
	for i := range hosts {
		s.restart(i)
	}
	s.newCoordinator()
	return s
}

func (s *fleetSim) restart(i int) {
	s.limiters[i] = New(testSlack, s.now)
	var ids []entity.HostID
	for j := range s.limiters {
		ids = append(ids, entity.HostID(fmt.Sprint(j)))
	}
	s.limiters[i].SetMembers(ids, s.now)
	s.limiters[i].SetCatalog(s.catalog, s.now)
	s.limiters[i].SetCoordinated(s.cut[i].IsZero(), s.now)
}

// connect cuts a host off from the coordinator, or ends the cut.
func (s *fleetSim) connect(i int, yes bool) {
	s.cut[i] = time.Time{}
	if !yes {
		s.cut[i] = s.now
	}
	s.limiters[i].SetCoordinated(yes, s.now)
}

// count tells the reserve on how many hosts it can count: a host that was cut off counts until its
// last report is too old.
func (s *fleetSim) count() {
	connected := 0
	for _, at := range s.cut {
		if at.IsZero() || s.now.Sub(at) < ReportTerm {
			connected++
		}
	}
	s.reserve.SetConnected(connected, len(s.limiters), s.now)
}

func (s *fleetSim) newCoordinator() {
	s.reserve = NewReserve(testSlack)
	s.reserve.SetCatalog(s.catalog, s.now)
	s.count()
}

// request asks one host, and the reserve for what the host lacks.
func (s *fleetSim) request(host int, tokens float64) {
	l := s.limiters[host]
	s.count()
	reached := s.cut[host].IsZero()
	s.asked += tokens
	lack, _, ok := l.Admit("w", tokens, s.now)
	if !ok && reached {
		granted, _ := s.reserve.Take("w", lack, 1, s.now)
		l.Grant("w", granted, s.now)
		_, _, ok = l.Admit("w", tokens, s.now)
	}
	if !ok {
		s.refused += tokens
		return
	}
	s.admitted = append(s.admitted, admission{at: s.now, tokens: tokens})
}

// worst returns the most tokens that were admitted in any window.
func (s *fleetSim) worst() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range s.admitted {
		sum += a.tokens
		for a.at.Sub(s.admitted[first].at) > testWindow {
			sum -= s.admitted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// bound is what the site tolerates in a window.
func bound() float64 { return (testRate*testWindow.Seconds()+testBurst)*1.1 + 17000 }

// Guards against a workspace that exceeds its rate over all hosts when one workspace sends several
// times its rate, hosts restart, coordinators change and hosts lose the coordinator.
func TestBoundHoldsOverAllHosts(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := newFleetSim(7)
		for s.now.Before(testStart.Add(60 * time.Second)) {
			s.now = s.now.Add(testStep)
			host := min(int(r.ExpFloat64()*2), 6)
			s.request(host, 200+r.Float64()*3000)
			if r.Float64() < 0.0006 {
				s.restart(r.IntN(7))
			}
			if r.Float64() < 0.0006 {
				s.newCoordinator()
			}
			if r.Float64() < 0.005 {
				s.connect(r.IntN(7), r.IntN(2) == 0)
			}
		}
		if got := s.worst(); got > bound() {
			t.Errorf("seed %d: %.0f tokens in a window, allowed %.0f", seed, got, bound())
		}
	}
}

// Guards against refusals within the rate when all requests of a workspace come to one host, as
// those of a small workspace do.
func TestConcentratedWorkspaceIsServed(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 1))
	s := newFleetSim(7)
	s.now = s.now.Add(10 * time.Second)
	s.limiters[2].Admit("w", 0, s.now)
	for range 60 * 200 {
		s.now = s.now.Add(testStep)
		if r.Float64() < testStep.Seconds()*testRate*0.55/1500 {
			s.request(2, 500+r.Float64()*2000)
		}
	}
	if s.refused > 0.001*s.asked {
		t.Errorf("%.0f of %.0f tokens were refused within the rate", s.refused, s.asked)
	}
}

// Guards against large requests that never fit into the part of one host: the largest tenth of a
// kind was served less than half as often as the kind (incident inc-9980).
func TestLargeRequestsAreServedLikeSmallOnes(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	s := newFleetSim(8)
	s.now = s.now.Add(10 * time.Second)
	large, small := 0, 0
	for range 40 * 200 {
		s.now = s.now.Add(testStep)
		if r.Float64() > testStep.Seconds()*testRate*0.8/1700 {
			continue
		}
		tokens := 1000.0
		if r.IntN(10) == 0 {
			tokens = 7000
		}
		before := s.refused
		s.request(r.IntN(8), tokens)
		if s.refused > before {
			if tokens > 1000 {
				large++
			} else {
				small++
			}
		}
	}
	if large > 4 {
		t.Errorf("%d large requests were refused, %d small ones", large, small)
	}
}

// Guards against a host with many callers of a workspace that is told to wait longer the more of its
// requests lack tokens, while hosts with fewer callers ask again sooner and get all the reserve has.
func TestBusyHostWaitsNoLonger(t *testing.T) {
	wait := func(requests int) time.Duration {
		r := NewReserve(testSlack)
		r.SetCatalog(testCatalog(testRate, testBurst), testStart)
		r.SetConnected(7, 7, testStart)
		_, w := r.Take("w", 100*float64(requests), requests, testStart)
		return w
	}
	if one, ten := wait(1), wait(10); ten > 2*one {
		t.Errorf("a host with one request waits %v, one with ten waits %v", one, ten)
	}
}

// Guards against burst that a restart gives out once more.
func TestNewProcessStartsWithoutBurst(t *testing.T) {
	l := New(testSlack, testStart)
	l.SetCatalog(testCatalog(testRate, testBurst), testStart)
	if _, _, ok := l.Admit("w", 100, testStart); ok {
		t.Error("a process admitted tokens at its start")
	}
	if granted, _ := func() (float64, time.Duration) {
		r := NewReserve(testSlack)
		r.SetCatalog(testCatalog(testRate, testBurst), testStart)
		r.SetConnected(7, 7, testStart)
		return r.Take("w", 100, 1, testStart)
	}(); granted > 0 {
		t.Errorf("a new coordinator granted %.0f tokens at its start", granted)
	}
}

// Guards against a changed rate that refills, and against one that is not applied at once.
func TestChangedRateCountsFromNow(t *testing.T) {
	l := New(Slack{}, testStart)
	l.SetCatalog(testCatalog(testRate, testBurst), testStart)
	now := testStart.Add(10 * time.Second)
	l.Admit("w", testBurst, now)
	l.SetCatalog(testCatalog(10*testRate, 10*testBurst), now)
	if _, _, ok := l.Admit("w", 1, now); ok {
		t.Error("a raised rate refilled the level")
	}
	now = now.Add(10 * time.Second)
	l.SetCatalog(testCatalog(100, 100), now)
	if _, _, ok := l.Admit("w", 200, now); ok {
		t.Error("a lowered burst left the former level")
	}
}

// Guards against hosts that are divided by fewer than are alive, after the registrations of some
// have lapsed for a moment.
func TestLapsedHostsCountForAWhile(t *testing.T) {
	l := New(testSlack, testStart)
	l.SetMembers([]entity.HostID{"a", "b", "c"}, testStart)
	l.SetMembers([]entity.HostID{"a"}, testStart.Add(2*time.Second))
	if l.hosts != 3 {
		t.Errorf("%d hosts counted 2 s after two of three lapsed", l.hosts)
	}
	l.SetMembers([]entity.HostID{"a"}, testStart.Add(membershipMemory+3*time.Second))
	if l.hosts != 1 {
		t.Errorf("%d hosts counted after the memory has ended", l.hosts)
	}
}

// Guards against an unlimited workspace that is limited.
func TestNoRateMeansNoLimit(t *testing.T) {
	l := New(Slack{}, testStart)
	l.SetCatalog(testCatalog(0, 0), testStart)
	if _, _, ok := l.Admit("w", 1e9, testStart); !ok {
		t.Error("a workspace without a rate was refused")
	}
}

// Guards against refusals of a workspace within its rate while there is no coordinator: after all
// processes were killed and during an outage of the key-value service, the hosts held 0.4 of the rate
// between them (trouble-3 of both sites).
func TestHostsAloneUseTheWholeRate(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 1))
	s := newFleetSim(7)
	for i := range 7 {
		s.connect(i, false)
	}
	s.now = s.now.Add(5 * time.Second)
	for range 20 * 200 {
		s.now = s.now.Add(testStep)
		if r.Float64() < testStep.Seconds()*testRate*0.55/1500 {
			s.request(r.IntN(7), 500+r.Float64()*2000)
		}
	}
	if s.refused > 0.05*s.asked {
		t.Errorf("%.0f of %.0f tokens were refused within the rate", s.refused, s.asked)
	}
}

// Guards against a process that starts with the debt of a whole fleet because it reads the
// configuration before it knows how many hosts there are: it refused for seconds after each
// restart of all hosts (trouble-3 of Thessaly, request 637ef1b34c1fdfe7).
func TestOrderOfFirstNewsDoesNotMatter(t *testing.T) {
	ids := []entity.HostID{"a", "b", "c", "d", "e", "f", "g", "h"}
	lack := func(membersFirst bool) float64 {
		l := New(testSlack, testStart)
		if membersFirst {
			l.SetMembers(ids, testStart)
		}
		l.SetCatalog(testCatalog(testRate, testBurst), testStart)
		l.SetMembers(ids, testStart)
		lack, _, _ := l.Admit("w", 1000, testStart)
		return lack
	}
	if a, b := lack(true), lack(false); a != b || a > 1000 {
		t.Errorf("a request of 1000 tokens lacks %.0f or %.0f", a, b)
	}
}

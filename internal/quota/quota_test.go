package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	testSlack = Slack{Factor: 0.05, Tokens: 17000, Window: testWindow}
	testStart = time.Unix(1000, 0)
	testIDs   = []entity.WorkspaceID{"w"}
)

func testCatalog(rate, burst float64) *catalog.Catalog {
	return catalog.New(catalog.Document{Version: 1, Workspaces: []*catalog.Workspace{{ID: "w", Rate: rate, Burst: burst}}})
}

// fleetSim is a number of hosts with one coordinator, in simulated time.
type fleetSim struct {
	catalog  *catalog.Catalog
	ids      []entity.HostID
	limiters []*Limiter
	// cut hosts have no session with the coordinator.
	cut      []bool
	reserve  *Reserve
	shares   *Shares
	term     int64
	asks     uint64
	waiting  map[uint64]waitingRequest
	counted  time.Time
	now      time.Time
	admitted []admission
	refused  float64
	asked    float64
	// refusals are the sizes of the refused requests.
	refusals []float64
}

// refusedOver counts the refused requests above a size.
func (s *fleetSim) refusedOver(tokens float64) int {
	n := 0
	for _, t := range s.refusals {
		if t > tokens {
			n++
		}
	}
	return n
}

// waitingRequest waits for the reserve, testWait at most.
type waitingRequest struct {
	host   int
	tokens float64
}

// testWait is half of the target of a live request.
const testWait = 250 * time.Millisecond

type admission struct {
	at     time.Time
	tokens float64
}

func newFleetSim(hosts int) *fleetSim {
	s := &fleetSim{catalog: testCatalog(testRate, testBurst), now: testStart, waiting: make(map[uint64]waitingRequest)}
	for i := range hosts {
		s.ids = append(s.ids, entity.HostID(fmt.Sprint(i)))
	}
	s.limiters = make([]*Limiter, hosts)
	s.cut = make([]bool, hosts)
	for i := range hosts {
		s.start(i)
	}
	s.newCoordinator()
	return s
}

func (s *fleetSim) start(i int) {
	s.limiters[i] = New(testSlack, s.now)
	s.limiters[i].SetMembers(s.ids, s.now)
	s.limiters[i].SetCatalog(s.catalog, s.now)
	s.limiters[i].SetRegistered(s.now.Add(time.Hour), s.now)
}

// restart replaces the process of a host.
func (s *fleetSim) restart(i int) {
	s.start(i)
	s.connect(i, !s.cut[i])
}

// connect cuts a host off from the coordinator, or ends the cut.
func (s *fleetSim) connect(i int, yes bool) {
	s.cut[i] = !yes
	s.limiters[i].SetCoordinated(yes, s.now)
	if yes {
		parts, _ := s.limiters[i].Fallback()
		s.shares.Begin(s.ids[i], parts)
	}
}

// run lets the coordinator hear the hosts and assign fallback parts until now.
func (s *fleetSim) run() {
	for _, r := range s.reserve.Advance(s.now) {
		s.replied(r)
	}
	for i, l := range s.limiters {
		if !s.cut[i] {
			s.shares.Heard(s.ids[i], l.FallbackVersion(), s.now)
		}
	}
	if s.now.Sub(s.counted) < 100*time.Millisecond {
		return
	}
	s.counted = s.now
	s.reserve.SetWithheld(s.shares.Withheld(testIDs, s.now), len(s.ids), s.now)
	for _, a := range s.shares.Assign(testIDs, s.now) {
		i := slices.Index(s.ids, a.Host)
		s.limiters[i].SetFallback(a.Parts, a.Version, s.now)
	}
}

// pass lets time go by without requests.
func (s *fleetSim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * testStep)
		s.run()
	}
}

func (s *fleetSim) newCoordinator() {
	s.term++
	for _, q := range s.waiting {
		s.end(q.tokens, false)
	}
	clear(s.waiting)
	s.reserve = NewReserve(testSlack, len(s.ids))
	s.shares = NewShares(s.term)
	s.shares.SetMembers(s.ids)
	for i := range s.limiters {
		if !s.cut[i] {
			s.connect(i, true)
		}
	}
	s.counted = time.Time{}
	s.reserve.SetCatalog(s.catalog, s.now)
	s.run()
}

// request asks one host, and the reserve for what the host lacks.
func (s *fleetSim) request(host int, tokens float64) {
	s.run()
	l := s.limiters[host]
	s.asked += tokens
	lack, _, ok := l.Admit("w", tokens, s.now)
	if !ok && !s.cut[host] {
		s.shares.Asked(s.ids[host], "w", lack, s.now)
		s.asks++
		s.waiting[s.asks] = waitingRequest{host: host, tokens: tokens}
		a := Ask{Host: s.ids[host], ID: s.asks, Workspace: "w", Tokens: lack, Until: s.now.Add(testWait)}
		if reply, replied := s.reserve.Ask(a, s.now); replied {
			s.replied(reply)
		}
		return
	}
	s.end(tokens, ok)
}

// replied ends a request that has waited for the reserve.
func (s *fleetSim) replied(r Reply) {
	q, waits := s.waiting[r.ID]
	if !waits {
		return
	}
	delete(s.waiting, r.ID)
	ok := false
	if r.Tokens > 0 && !s.cut[q.host] {
		s.limiters[q.host].Grant("w", r.Tokens, s.now)
		_, _, ok = s.limiters[q.host].Admit("w", q.tokens, s.now)
	}
	s.end(q.tokens, ok)
}

func (s *fleetSim) end(tokens float64, ok bool) {
	if !ok {
		s.refused += tokens
		s.refusals = append(s.refusals, tokens)
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
	s.pass(10 * time.Second)
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
	s.pass(10 * time.Second)
	for range 40 * 200 {
		s.now = s.now.Add(testStep)
		if r.Float64() > testStep.Seconds()*testRate*0.8/1700 {
			continue
		}
		tokens := 1000.0
		if r.IntN(10) == 0 {
			tokens = 7000
		}
		s.request(r.IntN(8), tokens)
	}
	s.pass(time.Second)
	if large := s.refusedOver(1000); large > 4 {
		t.Errorf("%d large requests were refused, %d small ones", large, len(s.refusals)-large)
	}
}

// Guards against a reserve that is divided over hosts in pieces that cover no request: in a workspace that
// asks twice its rate, a third of it lay unused (quiet-1 of the site of 295 hosts, after its limit was
// lowered), and refused requests were told to come back within milliseconds.
func TestOverloadedWorkspaceUsesItsRate(t *testing.T) {
	r := NewReserve(Slack{}, 7)
	r.SetCatalog(testCatalog(testRate, testBurst), testStart)
	rng := rand.New(rand.NewPCG(21, 1))
	now := testStart
	granted, returns := 0.0, 0
	take := func(replies []Reply) {
		for _, reply := range replies {
			granted += reply.Tokens
			if reply.Tokens == 0 && reply.Wait < 50*time.Millisecond {
				returns++
			}
		}
	}
	const steps = 30 * 200
	for i := range steps {
		now = now.Add(testStep)
		take(r.Advance(now))
		if rng.Float64() < testStep.Seconds()*testRate*2/1500 {
			a := Ask{Host: entity.HostID(fmt.Sprint(rng.IntN(295))), ID: uint64(i), Workspace: "w", Tokens: 500 + rng.Float64()*2000, Until: now.Add(250 * time.Millisecond)}
			if reply, replied := r.Ask(a, now); replied {
				take([]Reply{reply})
			}
		}
	}
	if want := 0.95 * reservePart(7) * testRate * steps * testStep.Seconds(); granted < want {
		t.Errorf("%.0f tokens were granted, the reserve had %.0f", granted, want)
	}
	if returns > steps/500 {
		t.Errorf("%d requests were told to come back at once", returns)
	}
}

// Guards against large requests that wait behind all smaller ones.
func TestAsksAreGrantedInOrder(t *testing.T) {
	r := NewReserve(Slack{}, 7)
	r.SetCatalog(testCatalog(testRate, testBurst), testStart)
	later := testStart.Add(time.Hour)
	for i, tokens := range []float64{9000, 100, 100} {
		if _, replied := r.Ask(Ask{Host: "h", ID: uint64(i + 1), Workspace: "w", Tokens: tokens, Until: later}, testStart); replied {
			t.Fatalf("ask %d was answered from an empty reserve", i+1)
		}
	}
	if got := r.Advance(testStart.Add(100 * time.Millisecond)); len(got) > 0 {
		t.Errorf("granted before the first ask: %v", got)
	}
	if got := r.Advance(testStart.Add(time.Second)); len(got) != 3 || got[0].ID != 1 || got[0].Tokens < 9000 {
		t.Errorf("after a second: %v", got)
	}
}

// Guards against refused requests that are all told to come back at the same time.
func TestReturnsAreSpread(t *testing.T) {
	r := NewReserve(Slack{}, 7)
	r.SetCatalog(testCatalog(testRate, testBurst), testStart)
	var waits []time.Duration
	for i := range 10 {
		reply, replied := r.Ask(Ask{Host: "h", ID: uint64(i + 1), Workspace: "w", Tokens: 2000, Until: testStart}, testStart)
		if !replied || reply.Tokens > 0 {
			t.Fatalf("ask %d: %+v, %v", i, reply, replied)
		}
		waits = append(waits, reply.Wait)
	}
	if !slices.IsSorted(waits) || waits[9]-waits[0] < 700*time.Millisecond {
		t.Errorf("told to come back after %v", waits)
	}
}

// Guards against burst that a restart gives out once more.
func TestNewProcessStartsWithoutBurst(t *testing.T) {
	l := New(testSlack, testStart)
	l.SetCatalog(testCatalog(testRate, testBurst), testStart)
	if _, _, ok := l.Admit("w", 100, testStart); ok {
		t.Error("a process admitted tokens at its start")
	}
	r := NewReserve(testSlack, 7)
	r.SetCatalog(testCatalog(testRate, testBurst), testStart)
	if reply, _ := r.Ask(Ask{Host: "h", ID: 1, Workspace: "w", Tokens: 100, Until: testStart}, testStart); reply.Tokens > 0 {
		t.Errorf("a new coordinator granted %.0f tokens at its start", reply.Tokens)
	}
}

// Guards against a changed rate that refills, and against one that is not applied at once.
func TestChangedRateCountsFromNow(t *testing.T) {
	l := New(Slack{}, testStart)
	l.SetCatalog(testCatalog(testRate, testBurst), testStart)
	l.SetFallback(map[entity.WorkspaceID]float64{"w": reservePart(1)}, 1, testStart)
	l.SetRegistered(testStart.Add(time.Hour), testStart)
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
	s.pass(10 * time.Second)
	for i := range 7 {
		s.connect(i, false)
	}
	s.pass(5 * time.Second)
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

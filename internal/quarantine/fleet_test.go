package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	simStep = 10 * time.Millisecond
	// simContactTimeout is the time after a disturbance from which a host counts again, and after the fifth crash from
	// which simAllowed requests with the deadly part may reach engines.
	simContactTimeout = 3 * time.Second
	simAllowed        = 3
	// relayedInterval and ownReadInterval are the longest times until a host has the changes of the key-value service, with
	// and without a coordinator.
	relayedInterval = 500 * time.Millisecond
	ownReadInterval = 1700 * time.Millisecond
	simService      = "engines"
	deadlyID        = entity.PromptPartID("dead")
)

// simStore is the key-value service.
type simStore struct {
	revision int64
	values   map[string]kvstore.Pair
	log      []kvstore.Event
}

func (s *simStore) txn(t kvstore.Txn) (int64, bool) {
	for _, c := range t.Compares {
		if s.values[c.Key].ModRevision != c.Value {
			return 0, false
		}
	}
	for _, op := range t.Success {
		s.revision++
		p := kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		if op.Kind == kvstore.OpDelete {
			delete(s.values, op.Key)
		} else {
			s.values[op.Key] = p
		}
		s.log = append(s.log, kvstore.Event{Deleted: op.Kind == kvstore.OpDelete, Pair: p})
	}
	return s.revision, true
}

// simHost is one host. It is disturbed until the given time: frozen, or cut off from the key-value service.
type simHost struct {
	tracker     *Tracker
	recent      *RecentParts
	applied     int
	syncAt      time.Time
	frozen, cut time.Time
	touchFrom   time.Time
}

// simRequest is a request that runs at an engine.
type simRequest struct {
	host    *simHost
	parts   []entity.PromptPartID
	probe   bool
	beginAt time.Time
	begun   bool
}

type simEngine struct {
	instance Instance
	downTo   time.Time
	running  []*simRequest
}

// simFleet is a site of hosts and engines.
type simFleet struct {
	rng     *rand.Rand
	now     time.Time
	store   simStore
	hosts   []*simHost
	engines []*simEngine
	// There is no coordinator until uncoordinatedTo.
	uncoordinatedTo time.Time
	deadlyCrashes   []time.Time
	// late counts the requests with the deadly part that hosts in touch sent after the fifth crash.
	late          int
	sound, passed int
}

func newSimFleet(hosts int, seed uint64) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, uint64(hosts))), now: time.Unix(1000, 0), store: simStore{values: make(map[string]kvstore.Pair)}}
	for range hosts {
		h := &simHost{}
		f.hosts = append(f.hosts, h)
		f.restart(h)
	}
	for i := range max(18, hosts) {
		f.engines = append(f.engines, &simEngine{instance: Instance{Upstream: entity.UpstreamID(fmt.Sprintf("e%d", i)), BornMillis: 1}})
	}
	return f
}

// restart starts the process of a host anew: it knows what the key-value service holds.
func (f *simFleet) restart(h *simHost) {
	h.recent = &RecentParts{}
	h.tracker = New(Options{Host: entity.HostID(fmt.Sprintf("h%d", slices.Index(f.hosts, h))), KeyPrefix: "p/", Rand: f.rng, Recent: h.recent})
	h.tracker.SetHosts(len(f.hosts))
	var all []kvstore.Event
	for _, key := range slices.Sorted(maps.Keys(f.store.values)) {
		all = append(all, kvstore.Event{Pair: f.store.values[key]})
	}
	h.tracker.Apply(all, f.now)
	h.applied = len(f.store.log)
	h.touchFrom = f.now.Add(simContactTimeout)
	h.frozen, h.cut = time.Time{}, time.Time{}
}

func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	for _, h := range f.hosts {
		f.stepHost(h)
	}
	for _, e := range f.engines {
		f.stepEngine(e)
	}
}

func (f *simFleet) stepHost(h *simHost) {
	if f.now.Before(h.frozen) || f.now.Before(h.cut) {
		return
	}
	if !f.now.Before(h.syncAt) {
		h.tracker.Apply(f.store.log[h.applied:], f.now)
		h.applied = len(f.store.log)
		interval := relayedInterval
		if f.now.Before(f.uncoordinatedTo) {
			interval = ownReadInterval
		}
		h.syncAt = f.now.Add(interval)
	}
	for _, w := range h.tracker.TakeWrites(f.now) {
		_, ok := f.store.txn(w.Txn)
		h.tracker.Written(w.ID, ok, f.now)
	}
}

// arrive handles a request that arrives at a host.
func (f *simFleet) arrive(h *simHost, parts []entity.PromptPartID) (sent bool) {
	if f.now.Before(h.frozen) {
		return true
	}
	v := h.tracker.Check(simService, parts, f.now)
	probe := false
	if v.Action == Probe && !f.now.Before(h.cut) {
		txn := h.tracker.Claim(v)
		revision, ok := f.store.txn(txn)
		h.tracker.Claimed(v.Parts, txn, ok, revision, f.now)
		probe = ok
	}
	if v.Action != Pass && !probe {
		return false
	}
	f.send(h, parts, probe)
	return true
}

func (f *simFleet) send(h *simHost, parts []entity.PromptPartID, probe bool) {
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *simEngine) bool { return f.now.Before(e.downTo) })
	if len(up) == 0 {
		return
	}
	e := up[f.rng.IntN(len(up))]
	e.running = append(e.running, &simRequest{host: h, parts: parts, probe: probe, beginAt: f.now.Add(time.Duration(30+f.rng.IntN(200)) * time.Millisecond)})
	if slices.Contains(parts, deadlyID) && len(f.deadlyCrashes) >= 5 && f.now.After(f.deadlyCrashes[4].Add(simContactTimeout)) && !f.now.Before(h.touchFrom) {
		f.late++
	}
}

func (f *simFleet) stepEngine(e *simEngine) {
	for _, r := range e.running {
		if r.begun || f.now.Before(r.beginAt) {
			continue
		}
		if slices.Contains(r.parts, deadlyID) {
			f.deadlyCrashes = append(f.deadlyCrashes, f.now)
			f.crash(e, r)
			return
		}
		r.begun = true
		r.host.recent.Add(simService, r.parts, f.now)
		r.host.tracker.AnswerBegan(simService, r.parts, r.probe, f.now)
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool { return f.now.Sub(r.beginAt) > time.Second })
}

// crash ends an engine. The head of the answer that it was about to write has arrived in half of the cases.
func (f *simFleet) crash(e *simEngine, culprit *simRequest) {
	answering := f.rng.IntN(2) == 0
	told := make(map[*simHost]bool)
	for _, r := range e.running {
		if r.begun {
			continue
		}
		r.host.tracker.AttemptBroken(Attempt{Service: simService, Instance: e.instance, Parts: r.parts, Answering: answering && r == culprit})
		told[r.host] = true
	}
	for _, h := range f.hosts {
		if told[h] {
			h.tracker.Checked(e.instance, true, f.now)
		}
	}
	e.running = nil
	e.instance.BornMillis++
	e.downTo = f.now.Add(3 * time.Second)
}

// disturb plays one disturbance.
func (f *simFleet) disturb() {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	until := f.now.Add(time.Duration(500+f.rng.IntN(4000)) * time.Millisecond)
	switch f.rng.IntN(5) {
	case 0:
		h.frozen, h.touchFrom = until, until.Add(simContactTimeout)
	case 1:
		h.cut, h.touchFrom = until, until.Add(simContactTimeout)
	case 2:
		f.restart(h)
	case 3:
		f.uncoordinatedTo = until
	case 4:
		// A rack: two fifths of all engines end at once.
		for _, e := range f.engines {
			if f.rng.IntN(5) < 2 && !f.now.Before(e.downTo) {
				f.crash(e, nil)
			}
		}
	}
}

func (f *simFleet) randomParts(deadly bool, n int) []entity.PromptPartID {
	parts := []entity.PromptPartID{
		entity.PromptPartID(fmt.Sprintf("first%d", f.rng.IntN(3))),
		entity.PromptPartID(fmt.Sprintf("subject%d", f.rng.IntN(60))),
	}
	if deadly {
		parts = append(parts, deadlyID, entity.PromptPartID(fmt.Sprintf("made-up%d", n)))
		// Most requests with the deadly part have the same subject, too.
		if f.rng.IntN(3) > 0 {
			parts[1] = "subject0"
		}
	}
	return parts
}

// Guards against a deadly part that reaches more engines than allowed, over all hosts together, while hosts freeze, are
// cut off and restart, coordinators are lost and engines end by themselves; and against sound requests that are refused
// for what they have in common with deadly ones (incident BUDGET).
func TestFewDeadlyRequestsReachEnginesOverHundredsOfHosts(t *testing.T) {
	for _, hosts := range []int{7, 63, 295} {
		seeds := max(140/hosts, 1)
		for seed := range uint64(seeds) {
			f := newSimFleet(hosts, seed)
			perStep := float64(hosts) * 4 * simStep.Seconds()
			disturbAt := f.now.Add(time.Second)
			for n := 0; n < int(20*time.Second/simStep); n++ {
				f.step()
				for k := perStep; k > 0; k-- {
					if f.rng.Float64() < k {
						f.sound++
						if f.arrive(f.hosts[f.rng.IntN(hosts)], f.randomParts(false, n)) {
							f.passed++
						}
					}
					if f.rng.Float64() < 0.05*min(k, 1) {
						f.arrive(f.hosts[f.rng.IntN(hosts)], f.randomParts(true, n))
					}
				}
				if f.now.After(disturbAt) {
					f.disturb()
					disturbAt = f.now.Add(time.Duration(1000+f.rng.IntN(3000)) * time.Millisecond)
				}
			}
			if f.late > simAllowed {
				t.Errorf("%d hosts, seed %d: %d requests with the deadly part were sent later than %v after the fifth of %d crashes, want at most %d",
					hosts, seed, f.late, simContactTimeout, len(f.deadlyCrashes), simAllowed)
			}
			if share := float64(f.passed) / float64(f.sound); share < 0.97 {
				t.Errorf("%d hosts, seed %d: %.3f of the sound requests were sent, want 0.97", hosts, seed, share)
			}
			t.Logf("%d hosts, seed %d: %d crashes, %d late, %.4f of %d sound requests sent, %d records", hosts, seed, len(f.deadlyCrashes), f.late, float64(f.passed)/float64(f.sound), f.sound, len(f.store.values))
		}
	}
}

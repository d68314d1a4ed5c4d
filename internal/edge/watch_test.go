package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/swap"
)

// testProtocol decodes documents in a format of the test.
type testProtocol struct{}

func (testProtocol) Describe(*fasthttp.RequestHeader) Description { return Description{} }
func (testProtocol) AppendHead(dst []byte, _ *fasthttp.Request, _ Instruction) []byte {
	return dst
}
func (testProtocol) ParseAnswer(*fasthttp.ResponseHeader) AnswerInfo { return AnswerInfo{} }
func (testProtocol) ConfigKey() string                               { return "config" }
func (testProtocol) UpstreamsPrefix() string                         { return "up/" }
func (testProtocol) EvacuationsPrefix() string                       { return "evacuated/" }
func (testProtocol) Order(context.Context, swap.Order, Authority) (swap.Answer, dispatch.StatusReport) {
	return swap.NotSent, dispatch.StatusReport{}
}
func (testProtocol) Report(context.Context, *fleet.Upstream) (swap.Report, dispatch.StatusReport, error) {
	return swap.Report{}, dispatch.StatusReport{}, errors.New("no report")
}

func (testProtocol) DecodeCatalog(value []byte) (*catalog.Catalog, []Notice, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, nil, err
	}
	return catalog.New(catalog.Document{Version: version}), nil, nil
}

func (testProtocol) DecodeUpstream(key string, value []byte) (*fleet.Upstream, error) {
	if len(value) == 0 {
		return nil, errors.New("empty entry")
	}
	return &fleet.Upstream{Incarnation: fleet.Incarnation{ID: entity.UpstreamID(key[len("up/"):])}}, nil
}

// testStore is a key-value service that can lose its history and be unavailable.
type testStore struct {
	Store
	items    map[string]kvstore.Pair
	events   []kvstore.Event
	revision int64
	oldest   int64
	down     bool
}

func (s *testStore) put(key, value string) {
	s.revision++
	p := kvstore.Pair{Key: key, Value: []byte(value), ModRevision: s.revision}
	s.items[key] = p
	s.events = append(s.events, kvstore.Event{Pair: p})
}

func (s *testStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, kvstore.Event{Deleted: true, Pair: kvstore.Pair{Key: key, ModRevision: s.revision}})
}

func (s *testStore) Poll(_ context.Context, _ string, after int64, _ time.Duration) (kvstore.WatchBatch, error) {
	switch {
	case s.down:
		return kvstore.WatchBatch{}, kvstore.ErrUnavailable
	case after < s.oldest:
		return kvstore.WatchBatch{}, kvstore.ErrCompacted
	}
	out := kvstore.WatchBatch{Revision: s.revision}
	for _, e := range s.events {
		if e.Pair.ModRevision > after {
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}

func (s *testStore) Range(context.Context, kvstore.RangeRequest) (kvstore.RangeResult, error) {
	if s.down {
		return kvstore.RangeResult{}, kvstore.ErrUnavailable
	}
	out := kvstore.RangeResult{Revision: s.revision}
	for _, p := range s.items {
		out.Pairs = append(out.Pairs, p)
	}
	return out, nil
}

// recordedState holds what the control state of a host was sent.
type recordedState struct {
	upstreams map[entity.UpstreamID]bool
	versions  []int64
}

func newTestWatcher(s *testStore, state *recordedState) *watcher {
	w := &watcher{
		keptStreams:     releases.NewKept("foxtailpass/"),
		store:           s,
		protocol:        testProtocol{},
		prefix:          "own/",
		log:             slog.New(slog.DiscardHandler),
		self:            election.Holder{Host: "h"},
		observeElection: func(election.Observation) {},
		setCatalog:      func(c *catalog.Catalog) { state.versions = append(state.versions, c.Version) },
		send: func(e event) {
			if u, ok := e.(upstreamsChanged); ok {
				for _, row := range u.put {
					state.upstreams[row.ID] = true
				}
				for _, id := range u.removed {
					delete(state.upstreams, id)
				}
			}
		},
	}
	w.init()
	return w
}

// Guards against a host that reverts to an older configuration, keeps removed upstreams or misses new ones,
// whatever is lost: the history, single reads or readable documents.
func TestViewFollowsStore(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := &testStore{items: make(map[string]kvstore.Pair), revision: 1}
		state := &recordedState{upstreams: make(map[entity.UpstreamID]bool)}
		w := newTestWatcher(s, state)
		version := int64(1)
		for range 60 {
			switch r.IntN(8) {
			case 0:
				version += int64(1 + r.IntN(5))
				s.put("config", fmt.Sprint(version))
			case 1:
				s.put("config", "{")
			case 2, 3:
				s.put(fmt.Sprintf("up/%d", r.IntN(6)), "x")
			case 4:
				s.put(fmt.Sprintf("up/%d", r.IntN(6)), "")
			case 5:
				s.remove(fmt.Sprintf("up/%d", r.IntN(6)))
			case 6:
				s.oldest, s.events = s.revision, nil
			}
			s.down = r.IntN(5) == 0
			if err := w.read(t.Context()); (err != nil) != s.down {
				t.Fatalf("seed %d: read returned the error %v while the store is down: %v; want an error only then", seed, err, s.down)
			}
		}
		s.down = false
		if err := w.read(t.Context()); err != nil {
			t.Fatal(err)
		}
		for i := 1; i < len(state.versions); i++ {
			if state.versions[i] < state.versions[i-1] {
				t.Fatalf("seed %d: configuration version %d became active after version %d", seed, state.versions[i], state.versions[i-1])
			}
		}
		for i := range 6 {
			id := entity.UpstreamID(fmt.Sprint(i))
			want := len(s.items["up/"+string(id)].Value) > 0
			if state.upstreams[id] != want {
				t.Fatalf("seed %d: upstream %s is listed: %v, known to the host: %v", seed, id, want, state.upstreams[id])
			}
		}
	}
}

// Guards against upstreams that are removed because their entries lapsed while the service was unavailable,
// and against upstreams that are kept although their entries do not reappear.
func TestEntriesMayReturnAfterAnOutage(t *testing.T) {
	s := &testStore{items: make(map[string]kvstore.Pair), revision: 1}
	state := &recordedState{upstreams: make(map[entity.UpstreamID]bool)}
	w := newTestWatcher(s, state)
	s.put("up/1", "x")
	s.put("up/2", "x")
	now := time.Unix(1000, 0)
	if err := w.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	w.outageSince = now.Add(-time.Hour)
	s.remove("up/1")
	s.remove("up/2")
	if err := w.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(state.upstreams) != 2 {
		t.Errorf("%d upstreams right after the outage, want 2", len(state.upstreams))
	}
	w.outageSince = time.Time{}
	s.put("up/1", "x")
	if err := w.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, p := range w.pending {
		w.applyPending(p.until)
	}
	if !state.upstreams["1"] || state.upstreams["2"] {
		t.Errorf("upstreams after the time to reappear: %v, want only 1", state.upstreams)
	}
}

// Guards against hundreds of hosts that load the service during an outage: each host read as often as before,
// and a host that had just started seven times a second. One outage caused 8,183 calls.
func TestOutageLimitsStoreCalls(t *testing.T) {
	const outage = 10 * time.Second
	for name, c := range map[string]struct {
		revision int64
		rank     int
		holder   *election.Holder
		most     int
	}{
		"with a coordinator":    {5, 100, &election.Holder{Host: "other"}, 7},
		"without a coordinator": {5, 100, nil, 7},
		"just started":          {0, 100, nil, 16},
		"first to campaign":     {5, 1, nil, 34},
	} {
		w := newTestWatcher(&testStore{items: make(map[string]kvstore.Pair), revision: 1}, &recordedState{upstreams: make(map[entity.UpstreamID]bool)})
		w.ownReadAge = maxOwnReadAge
		w.revision, w.election.Rank, w.election.Holder = c.revision, c.rank, c.holder
		calls := 0
		for at := time.Duration(0); at < outage; at += w.failurePause() {
			calls++
			w.failures++
			if p := w.failurePause(); p > longestFailurePause {
				t.Fatalf("%s: a pause of %s, want at most longestFailurePause, because the bounds on leaving upstreams count from the end of the outage", name, p)
			}
		}
		if calls > c.most {
			t.Errorf("%s: %d calls in an outage of %s, want at most %d", name, calls, outage, c.most)
		}
	}
}

// Guards against candidates that wait for a terminated coordinator: it stays registered for seconds, and the
// first of the other candidates waited behind it, which left the hosts without a coordinator for 2.5 s.
func TestLastHolderIsNotRanked(t *testing.T) {
	for term := range int64(8) {
		w := newTestWatcher(&testStore{}, &recordedState{})
		w.members = map[entity.HostID]election.Holder{"h": {Host: "h"}, "last": {Host: "last"}}
		w.election.LastHolder, w.election.LastRevision = "last", term
		if rank, outranked := w.rank(); rank != 0 || outranked {
			t.Errorf("term %d: rank %d, outranked %v behind a host that has lost the lease; want 0, false", term, rank, outranked)
		}
	}
	w := newTestWatcher(&testStore{}, &recordedState{})
	w.self.Strength = 100
	w.members = map[entity.HostID]election.Holder{"h": w.self, "strong": {Host: "strong", Strength: 400}, "last": {Host: "last", Strength: 400}}
	w.election.LastHolder = "last"
	if rank, outranked := w.rank(); rank != 1 || !outranked {
		t.Errorf("rank %d, outranked %v with a stronger host, want 1, true", rank, outranked)
	}
}

// Guards against an upstream that has left being used for seconds by a host that was cut off, because its missing entry might
// have lapsed while the key-value service was away: the coordinator knows that it was not (issue 40, DRAIN).
func TestMissingEntryAfterOwnOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		// readableFor is how long the coordinator has read the service without an outage.
		readableFor time.Duration
		gone        bool
	}{
		{"service was away", time.Second, false},
		{"only this host was cut off", 10 * time.Second, true},
		{"not known", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &testStore{items: make(map[string]kvstore.Pair), revision: 1}
			state := &recordedState{upstreams: make(map[entity.UpstreamID]bool)}
			w := newTestWatcher(s, state)
			s.put("up/gone", "x")
			s.put("up/there", "x")
			read := func() {
				if err := w.read(t.Context()); err != nil {
					t.Fatal(err)
				}
				w.recordSuccess(boottime.Now())
			}
			read()
			w.outageSince = boottime.Now().Add(-5 * time.Second)
			s.remove("up/gone")
			read()
			if !state.upstreams["gone"] {
				t.Fatal("an entry that is missing after an outage was removed at once")
			}
			w.applyRelayed(relayed{storeReadableFor: c.readableFor})
			if !state.upstreams["there"] || state.upstreams["gone"] == c.gone {
				t.Errorf("upstreams %v; want the missing one gone: %v", state.upstreams, c.gone)
			}
			w.endReturnTimeOfTest()
			if state.upstreams["gone"] {
				t.Error("the entry is still there after the time in which entries return")
			}
		})
	}
}

// endReturnTimeOfTest makes the time pass in which entries are back after an outage.
func (w *watcher) endReturnTimeOfTest() { w.applyPending(boottime.Now().Add(entryReturnTime)) }

// Guards against a coordinator that vouches for the key-value service although it could not read it, or stood still.
func TestReadableSince(t *testing.T) {
	w := newTestWatcher(&testStore{items: make(map[string]kvstore.Pair), revision: 1}, &recordedState{upstreams: make(map[entity.UpstreamID]bool)})
	first := boottime.Now()
	w.recordSuccess(first)
	w.recordSuccess(first.Add(time.Second))
	if got := w.readableSince.Load(); got != first.UnixNano() {
		t.Errorf("readable since %d after two reads, want %d", got, first.UnixNano())
	}
	w.recordFailure(kvstore.ErrUnavailable, boottime.Now())
	if w.readableSince.Load() != 0 {
		t.Error("readable during an outage")
	}
	later := first.Add(2 * time.Second)
	w.recordSuccess(later)
	if got := w.readableSince.Load(); got != later.UnixNano() {
		t.Errorf("readable since %d after an outage, want %d", got, later.UnixNano())
	}
	w.lastSuccessAt = boottime.Now().Add(-maxReadGap - time.Second)
	last := later.Add(time.Minute)
	w.recordSuccess(last)
	if got := w.readableSince.Load(); got != last.UnixNano() {
		t.Errorf("readable since %d after the host stood still, want %d", got, last.UnixNano())
	}
}

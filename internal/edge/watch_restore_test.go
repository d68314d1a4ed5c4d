package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/election"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// eraStore is a key-value service that comes back from older copies.
type eraStore struct {
	Store
	era      kvstore.Era
	revision int64
	items    map[string]kvstore.Pair
	events   []kvstore.Event
	saved    *eraStore
	// lost holds the items that the last restore lost, until they are written again.
	lost map[string]kvstore.Pair
}

func (s *eraStore) change(key, value string, deleted bool) {
	s.revision++
	p := kvstore.Pair{Key: key, Value: []byte(value), ModRevision: kvstore.JoinRevision(s.era, s.revision)}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = p
	}
	s.events = append(s.events, kvstore.Event{Deleted: deleted, Pair: p})
}

func (s *eraStore) copy() {
	s.saved = &eraStore{revision: s.revision, items: maps.Clone(s.items)}
}

// restore brings the last copy back.
func (s *eraStore) restore() {
	s.rewrite()
	s.lost = s.items
	s.era++
	s.revision = s.saved.revision
	s.items = make(map[string]kvstore.Pair)
	s.events = nil
	for key, p := range s.saved.items {
		p.ModRevision = kvstore.JoinRevision(s.era, kvstore.WithinEra(p.ModRevision))
		s.items[key] = p
	}
}

// rewrite writes again what others than the hosts had written, unless they have written the key since the restore.
func (s *eraStore) rewrite() {
	written := make(map[string]bool)
	for _, e := range s.events {
		written[e.Pair.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(s.lost)) {
		if written[key] || strings.HasPrefix(key, "own/") || string(s.items[key].Value) == string(s.lost[key].Value) {
			continue
		}
		s.change(key, string(s.lost[key].Value), false)
	}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := s.lost[key]; !ok && s.lost != nil && !written[key] && !strings.HasPrefix(key, "own/") {
			s.change(key, "", true)
		}
	}
	s.lost = nil
}

// Poll implements kvstore.Poller.
func (s *eraStore) Poll(_ context.Context, _ string, after int64, _ time.Duration) (kvstore.WatchBatch, error) {
	if kvstore.EraOf(after) != s.era || kvstore.WithinEra(after) > s.revision || len(s.events) > 0 && after < s.events[0].Pair.ModRevision-1 {
		return kvstore.WatchBatch{}, kvstore.ErrCompacted
	}
	out := kvstore.WatchBatch{Revision: kvstore.JoinRevision(s.era, s.revision)}
	for _, e := range s.events {
		if e.Pair.ModRevision > after {
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}

// Range implements kvstore.KV.
func (s *eraStore) Range(context.Context, kvstore.RangeRequest) (kvstore.RangeResult, error) {
	out := kvstore.RangeResult{Revision: kvstore.JoinRevision(s.era, s.revision)}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		out.Pairs = append(out.Pairs, s.items[key])
	}
	return out, nil
}

// viewHost is a host with its view. The first host of a test relays what it reads to the others.
type viewHost struct {
	*watcher
	state *recordedState
	log   *relay.Log
}

func newViewHost(s *eraStore, name string) *viewHost {
	h := &viewHost{state: &recordedState{upstreams: make(map[entity.UpstreamID]bool)}, log: relay.NewLog()}
	h.watcher = newTestWatcher(&testStore{}, h.state)
	h.store = s
	h.self.Host = entity.HostID(name)
	send := h.send
	h.send = func(e event) {
		if r, ok := e.(revisionAdvanced); ok {
			h.log.Add(r.changes, r.revision)
		}
		send(e)
	}
	return h
}

// relayTo sends a host what it lacks, like a coordinator, and reports whether it could confirm the view of the host.
func (h *viewHost) relayTo(t *testing.T, to *viewHost) bool {
	if kvstore.EraOf(to.revision) != kvstore.EraOf(h.revision) {
		// A message on its way when the service was restored.
		to.applyRelayed(relayed{confirmedAt: 1, revision: h.revision})
		return false
	}
	if to.revision == 0 || !h.log.CompleteSince(to.revision) {
		return false
	}
	changes, _ := h.log.Since(to.revision)
	packed, err := relay.Encode(changes)
	if err != nil {
		t.Fatal(err)
	}
	to.applyRelayed(relayed{update: &wire.ListUpdate{From: to.revision, To: h.revision, Changes: packed}})
	to.applyRelayed(relayed{confirmedAt: 1, revision: h.revision})
	return true
}

// endReturnTime lets the time pass in which pending changes may be undone.
func (h *viewHost) endReturnTime() {
	for key, p := range h.pending {
		p.until = time.Time{}
		h.pending[key] = p
	}
	h.applyPending(time.Now())
}

// Guards against a view that differs from the key-value service for good after it has come back from older copies, again
// and again, and against a configuration that goes back (incident CONFIG).
func TestViewFollowsRestoredStore(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		s := &eraStore{era: 1, revision: 5, items: make(map[string]kvstore.Pair)}
		s.copy()
		hosts := []*viewHost{newViewHost(s, "h0"), newViewHost(s, "h1"), newViewHost(s, "h2")}
		version := int64(1)
		round := func() {
			// Hosts read before or after the one that relays.
			for _, i := range r.Perm(len(hosts)) {
				if i > 0 && r.IntN(3) > 0 {
					continue
				}
				if err := hosts[i].read(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			for _, h := range hosts[1:] {
				if !hosts[0].relayTo(t, h) && r.IntN(2) == 0 {
					_ = h.read(t.Context())
				}
			}
		}
		for range 80 {
			switch r.IntN(12) {
			case 0:
				version += int64(1 + r.IntN(4))
				s.change("config", fmt.Sprint(version), false)
			case 1, 2, 3:
				s.change(fmt.Sprintf("up/%d", r.IntN(8)), "x", false)
			case 4, 5:
				if key := fmt.Sprintf("up/%d", r.IntN(8)); s.items[key].Key != "" {
					s.change(key, "", true)
				}
			case 6:
				if key := fmt.Sprintf("evacuated/%d", r.IntN(2)); s.items[key].Key != "" {
					s.change(key, "", true)
				} else {
					s.change(key, "1", false)
				}
			case 7:
				s.copy()
			case 8:
				s.restore()
			case 9:
				s.rewrite()
			case 10:
				hosts[r.IntN(3)].endReturnTime()
			case 11:
				i := r.IntN(3)
				hosts[i] = newViewHost(s, string(hosts[i].self.Host))
			}
			if r.IntN(3) > 0 {
				round()
			}
		}
		s.rewrite()
		for range 3 {
			for _, h := range hosts {
				if kvstore.EraOf(h.revision) != s.era {
					_ = h.read(t.Context())
				}
			}
			round()
			for _, h := range hosts {
				h.endReturnTime()
			}
		}
		_ = hosts[0].read(t.Context())
		for _, h := range hosts[1:] {
			if !hosts[0].relayTo(t, h) {
				_ = h.read(t.Context())
			}
		}
		for _, h := range hosts {
			checkView(t, seed, s, h)
		}
	}
}

// checkView compares the view of a host with the key-value service.
func checkView(t *testing.T, seed uint64, s *eraStore, h *viewHost) {
	t.Helper()
	for i := 1; i < len(h.state.versions); i++ {
		if h.state.versions[i] < h.state.versions[i-1] {
			t.Errorf("seed %d, %s: configuration %d after %d", seed, h.self.Host, h.state.versions[i], h.state.versions[i-1])
		}
	}
	var version int64
	if p, ok := s.items["config"]; ok {
		_ = json.Unmarshal(p.Value, &version)
	}
	if h.configVersion != version {
		t.Errorf("seed %d, %s: configuration %d, the service holds %d", seed, h.self.Host, h.configVersion, version)
	}
	for i := range 8 {
		_, want := s.items[fmt.Sprintf("up/%d", i)]
		if got := h.state.upstreams[entity.UpstreamID(fmt.Sprint(i))]; got != want {
			t.Errorf("seed %d, %s: upstream %d known %v, listed %v", seed, h.self.Host, i, got, want)
		}
	}
	for i := range 2 {
		_, want := s.items[fmt.Sprintf("evacuated/%d", i)]
		if got := h.watcher.evacuated[fmt.Sprint(i)]; got != want {
			t.Errorf("seed %d, %s: domain %d evacuated %v, want %v", seed, h.self.Host, i, got, want)
		}
	}
}

// Guards against a fencing token that is given out twice or falls, whatever a restore brings back and whoever restarts.
func TestFencingTokensRiseAcrossRestores(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 9))
		s := &eraStore{era: 1, revision: 5, items: make(map[string]kvstore.Pair)}
		s.copy()
		hosts := []*viewHost{newViewHost(s, "h0"), newViewHost(s, "h1")}
		last := int64(0)
		for range 120 {
			i := r.IntN(2)
			switch r.IntN(6) {
			case 0:
				s.copy()
			case 1:
				s.restore()
			case 2:
				hosts[i] = newViewHost(s, string(hosts[i].self.Host))
			case 3:
				s.change("noise", "x", false)
			default:
				_ = hosts[i].read(t.Context())
				o := hosts[i].election
				if o.LastRevision != 0 && s.items["own/"+election.TermKey].ModRevision != o.LastRevision && kvstore.WithinEra(o.LastRevision) != 0 {
					continue
				}
				term := election.NewTerm(hosts[i].self, o)
				value, err := json.Marshal(term)
				if err != nil {
					t.Fatal(err)
				}
				s.change("own/"+election.TermKey, string(value), false)
				token := term.Token(s.items["own/"+election.TermKey].ModRevision)
				if token <= last {
					t.Fatalf("seed %d: token %d after %d", seed, token, last)
				}
				last = token
			}
		}
	}
}

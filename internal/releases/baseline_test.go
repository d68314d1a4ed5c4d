package releases

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const testRetention = time.Minute

// testHost is one host with its table of releases.
type testHost struct {
	*Known
	store *testStore
	now   time.Time
	// fresh is set if the view of the host is fresh, and listed are the releases in its list.
	fresh  bool
	listed map[ServiceRelease]bool
	era    kvstore.Era
}

// newTestHost returns a host that coordinates and that has known v1 as the only release for some time.
func newTestHost(sole time.Duration) *testHost {
	h := &testHost{Known: NewKnown("p/", func() float64 { return 0 }), store: &testStore{pairs: make(map[string]kvstore.Pair)}, now: time.Unix(1000, 0), fresh: true}
	h.list(v1)
	h.step(100 * time.Millisecond)
	h.step(sole)
	return h
}

func (h *testHost) list(releases ...ServiceRelease) {
	h.listed = make(map[ServiceRelease]bool)
	for _, x := range releases {
		h.listed[x] = true
	}
}

// listAt lists an upstream at a release, beside those of the list.
func (h *testHost) listAt(id entity.UpstreamID, x ServiceRelease) {
	upstreams := map[entity.UpstreamID]ServiceRelease{id: x}
	for r := range h.listed {
		upstreams[entity.UpstreamID("other-"+r.Release)] = r
	}
	h.SetUpstreams(upstreams, h.now)
}

func (h *testHost) options() WriteOptions {
	return WriteOptions{Coordinator: true, ViewIsFresh: h.fresh, Retention: testRetention, Era: h.era}
}

// step lets some time pass, and writes and reads records.
func (h *testHost) step(d time.Duration) {
	h.now = h.now.Add(d)
	h.setListed(h.listed, h.now)
	for _, txn := range h.TakeWrites(h.options(), h.now) {
		h.store.run(txn)
	}
	h.Apply(h.store.events, h.now)
	h.store.events = nil
}

// baseline returns the baseline that the records in the store name.
func (h *testHost) baseline() entity.Release {
	var pairs []kvstore.Pair
	for _, p := range h.store.pairs {
		pairs = append(pairs, p)
	}
	s, _ := DecodeService(pairs, h.era)
	return s.Baseline
}

// Guards against streams without a record that are unknown for ever once a second release has come (review, case 7), and
// against a baseline that is named although streams without a record may have begun at another release.
func TestSecondReleaseNamesBaseline(t *testing.T) {
	for _, c := range []struct {
		name string
		sole time.Duration
		// before changes the host before the second release comes.
		before func(h *testHost)
		want   entity.Release
	}{
		{"one release for long", 5 * time.Second, nil, "v1"},
		{"one release for a moment", time.Second, nil, ""},
		{"old view", 5 * time.Second, func(h *testHost) { h.fresh = false }, ""},
		{"upstream started again at another release", 5 * time.Second, func(h *testHost) {
			h.listAt("u", v1)
			h.listAt("u", v2)
		}, ""},
		{"restored lately", 5 * time.Second, func(h *testHost) { h.era = 1 }, ""},
		{"upstream listed again at its release", 5 * time.Second, func(h *testHost) {
			h.listAt("u", v1)
			h.SetUpstreams(nil, h.now)
			h.listAt("u", v1)
		}, "v1"},
	} {
		h := newTestHost(c.sole)
		if c.before != nil {
			c.before(h)
		}
		h.list(v1, v2)
		h.step(100 * time.Millisecond)
		h.step(100 * time.Millisecond)
		if got := h.baseline(); got != c.want || h.records[v2] == nil {
			t.Errorf("%s: baseline %q, want %q; v2 recorded %v", c.name, got, c.want, h.records[v2] != nil)
		}
	}
}

// Guards against a baseline that is named for longer than it is true, or than it is of use.
func TestBaselineEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		// change changes the host while v1 is the baseline; after is the time after which the baseline has ended.
		change func(h *testHost)
		after  time.Duration
	}{
		{"streams of before are over", func(*testHost) {}, testRetention},
		{"upstream started again at another release", func(h *testHost) {
			h.listAt("u", v1)
			h.listAt("u", v2)
		}, 0},
		{"restored", func(h *testHost) { h.era = 1 }, 0},
		{"no upstream of the baseline left", func(h *testHost) { h.list(v2) }, goneTime},
	} {
		h := newTestHost(5 * time.Second)
		h.list(v1, v2)
		h.step(100 * time.Millisecond)
		c.change(h)
		if c.after > 0 {
			h.step(100 * time.Millisecond)
			h.step(c.after - 300*time.Millisecond)
			if h.baseline() != "v1" {
				t.Errorf("%s: the baseline has ended too early", c.name)
			}
		}
		h.step(time.Second)
		if got := h.baseline(); got != "" {
			t.Errorf("%s: the baseline is still %q", c.name, got)
		}
	}
}

// Guards against two hosts that each add a release to the only one without knowing of the other's.
func TestReleasesAddedAtOnceConflict(t *testing.T) {
	v3 := ServiceRelease{Service: "s", Release: "v3"}
	a := newTestHost(5 * time.Second)
	b := &testHost{Known: NewKnown("p/", func() float64 { return 0 }), store: a.store, now: a.now, fresh: true}
	for _, p := range a.store.pairs {
		b.Apply([]kvstore.Event{{Pair: p}}, a.now.Add(-10*time.Second))
	}
	a.setListed(map[ServiceRelease]bool{v1: true, v2: true}, a.now)
	b.setListed(map[ServiceRelease]bool{v1: true, v3: true}, b.now)
	first := a.TakeWrites(a.options(), a.now)
	second := b.TakeWrites(b.options(), b.now)
	if len(first) != 1 || len(second) != 1 || !a.store.run(first[0]) {
		t.Fatal("the first release is not added")
	}
	if a.store.run(second[0]) {
		t.Error("a release was added beside one that its host did not know of")
	}
}

// Guards against a stream without a record that is taken for one of the baseline although that is not certain.
func TestOriginWithoutRecord(t *testing.T) {
	both := []entity.Release{"v1", "v2"}
	for _, c := range []struct {
		name        string
		known, read Service
		want        entity.Release
	}{
		{"one release", Service{Releases: both[:1]}, Service{Releases: both[:1]}, "v1"},
		{"one release, nothing known yet", Service{}, Service{Releases: both[:1]}, "v1"},
		{"one release is left of two", Service{Releases: both}, Service{Releases: both[1:]}, ""},
		{"two releases", Service{Releases: both}, Service{Releases: both}, ""},
		{"baseline", Service{Releases: both}, Service{Releases: both, Baseline: "v1"}, "v1"},
		{"baseline, second release not known yet", Service{Releases: both[:1]}, Service{Releases: both, Baseline: "v1"}, "v1"},
		{"baseline, changed in place", Service{Releases: both, ChangedInPlace: true}, Service{Releases: both, Baseline: "v1"}, ""},
	} {
		got, ok := c.known.WithoutRecord(c.read)
		if got != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q, %v, want %q", c.name, got, ok, c.want)
		}
	}
	records := []kvstore.Pair{
		{Value: encode(releaseRecord{ServiceRelease: v1})},
		{Value: encode(releaseRecord{ServiceRelease: v2, Baseline: "v1", Era: 3})},
	}
	for era, want := range map[kvstore.Era]entity.Release{3: "v1", 4: ""} {
		if s, errs := DecodeService(records, era); s.Baseline != want || len(errs) > 0 {
			t.Errorf("era %d: baseline %q, want %q; errors %v", era, s.Baseline, want, errs)
		}
	}
}

// Guards against a caller that waits for the record of a stream whose write is not made, or is not told of it.
func TestRecordThatIsWaitedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStreams("p/")
	s.SetServices(map[catalog.ServiceID]Service{"s": {Releases: []entity.Release{"v1", "v2"}, Baseline: "v1"}})
	s.Begin("a", Origin{ServiceRelease: v2}, now)
	written := s.Written("a")
	isWritten := func() bool {
		select {
		case <-written:
			return true
		default:
			return false
		}
	}
	select {
	case <-s.Urgent():
	default:
		t.Error("the record is not urgent")
	}
	w, _ := s.TakeWrite(7, now)
	s.Failed(w)
	if isWritten() {
		t.Error("a failed write counts as acknowledged")
	}
	w, ok := s.TakeWrite(7, now)
	s.Acknowledged(w)
	if !ok || !isWritten() {
		t.Error("the record was not written again, or its caller not told")
	}
	if s.Written("unknown") != nil {
		t.Error("a stream that is not in the table gets a record")
	}
}

// Guards against a table of upstreams that grows without end, and one that forgets the release of an upstream whose entry
// has only lapsed.
func TestUpstreamsAreForgotten(t *testing.T) {
	h := newTestHost(5 * time.Second)
	h.listAt("u", v1)
	h.step(2 * testRetention)
	h.SetUpstreams(nil, h.now)
	h.step(testRetention / 2)
	if !h.SetUpstreams(map[entity.UpstreamID]ServiceRelease{"u": v2}, h.now) {
		t.Error("an upstream that was back at another release is not noticed")
	}
	h.SetUpstreams(nil, h.now)
	h.step(2 * testRetention)
	if len(h.upstreams) > 0 || len(h.changedInPlace) > 0 {
		t.Errorf("%d upstreams and %d changes are kept after the retention", len(h.upstreams), len(h.changedInPlace))
	}
}

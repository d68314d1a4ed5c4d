package releases

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
)

// unproven returns the origin of a stream that began at an upstream which an old list stated to be of v1.
func unproven() Origin {
	return Origin{ServiceRelease: v1, Unproven: true, Upstream: fleet.Incarnation{ID: "u", BornMillis: 7}}
}

// Guards against a stream that is proven by another incarnation of its upstream, and one that stays unknown although the
// list states the incarnation that began it.
func TestOriginIsProvenByItsIncarnationOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		list Listing
		want entity.Release
		// undecided is set if a later list may still prove the origin.
		undecided bool
	}{
		{"same incarnation", Listing{"u": {BornMillis: 7, Release: "v1"}}, "v1", false},
		{"started again", Listing{"u": {BornMillis: 8, Release: "v1"}}, entity.ReleaseUnproven, false},
		{"started again at another release", Listing{"u": {BornMillis: 8, Release: "v2"}}, entity.ReleaseUnproven, false},
		{"another release without a new start", Listing{"u": {BornMillis: 7, Release: "v2"}}, entity.ReleaseUnproven, false},
		{"not listed", Listing{"w": {BornMillis: 7, Release: "v1"}}, "v1", true},
	} {
		if o := unproven().Prove(c.list); o.Release != c.want || o.Unproven != c.undecided {
			t.Errorf("%s: release %q, unproven %v", c.name, o.Release, o.Unproven)
		}
	}
}

// Guards against a record of an unproven stream that is read as proven, also by a build that knows no unproven streams.
func TestRecordOfUnprovenStream(t *testing.T) {
	for _, o := range []Origin{unproven(), {ServiceRelease: v2}} {
		got, err := DecodeStream(encodeStream(o))
		if err != nil || got != o {
			t.Errorf("decoded %+v, error %v, want %+v", got, err, o)
		}
	}
	if x, err := decode(encodeStream(unproven())); err != nil || x.Release != entity.ReleaseUnproven {
		t.Errorf("a build that knows no unproven streams reads release %q, error %v", x.Release, err)
	}
}

// Guards against a record that stays unprovable after a newer list has proven the origin of its stream (review, case 10).
func TestProvenOriginIsWrittenAgain(t *testing.T) {
	began := time.Unix(1000, 0)
	s := NewStreams("p/")
	s.SetServices(twoReleases)
	s.Begin("a", unproven(), began)
	w, _ := s.TakeWrite(7, began)
	list := Listing{"u": {BornMillis: 7, Release: "v1"}}
	s.Prove(list, began.Add(-time.Second))
	if !s.HasUnproven() {
		t.Fatal("a list from before the stream proves its origin")
	}
	s.Prove(list, began)
	s.Acknowledged(w)
	w, ok := s.TakeWrite(7, began)
	if !ok || len(w.Ops) != 1 {
		t.Fatal("the proven origin is not written")
	}
	if o, err := DecodeStream(w.Ops[0].Value); err != nil || o != (Origin{ServiceRelease: v1}) {
		t.Errorf("record %+v, error %v, want the proven v1", o, err)
	}
	s.Acknowledged(w)
	if _, ok := s.TakeWrite(7, began); ok {
		t.Error("a record is written again without a reason")
	}
}

// Guards against records that a restore of the key-value service has lost and that are not written again: those that were
// acknowledged, and those whose write was on its way (review, case 8).
func TestRecordsAreWrittenAgainAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStreams("p/")
	s.EnterEra(1)
	s.SetServices(twoReleases)
	write := func() Write {
		w, _ := s.TakeWrite(7, now)
		return w
	}
	s.Begin("acknowledged", Origin{ServiceRelease: v1}, now)
	s.Acknowledged(write())
	s.Begin("answered late", Origin{ServiceRelease: v1}, now)
	late := write()
	s.Begin("lost", Origin{ServiceRelease: v1}, now)
	lost := write()
	if !s.EnterEra(2) || s.EnterEra(2) || s.EnterEra(1) {
		t.Error("eras are not told apart")
	}
	s.Acknowledged(late)
	s.Failed(lost)
	if w := write(); len(w.Ops) != 3 {
		t.Errorf("%d records are written again, want 3", len(w.Ops))
	}
	s.Begin("single", Origin{ServiceRelease: ServiceRelease{Service: "other", Release: "v1"}}, now)
	s.EnterEra(3)
	if w := write(); len(w.Ops) != 3 {
		t.Errorf("%d records after a second restore, want 3: a service with one release has none", len(w.Ops))
	}
}

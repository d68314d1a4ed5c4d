package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// testTracker is the tracker of one host with the key-value service that it writes to.
type testTracker struct {
	*Tracker
	store *simStore
	now   time.Time
	ends  int
	// applied is the number of changes in the log of the store that syncNew has applied.
	applied int
}

func newTestTracker(store *simStore, host string) *testTracker {
	x := &testTracker{store: store, now: time.Unix(1000, 0)}
	x.Tracker = New(Options{Host: entity.HostID(host), KeyPrefix: "p/", Rand: rand.New(rand.NewPCG(1, 1)), Recent: &RecentTraits{}})
	x.SetHosts(2)
	return x
}

// ofParts returns the traits of a request for the engines with parts of its prompt.
func ofParts(parts ...entity.PromptPartID) Traits {
	return Traits{Service: simService, Parts: parts}
}

func newTestStore() *simStore { return &simStore{values: make(map[string]kvstore.Pair)} }

// sync writes what is due and applies all changes.
func (x *testTracker) sync() {
	x.now = x.now.Add(time.Second)
	for _, w := range x.TakeWrites(x.now) {
		_, ok := x.store.txn(w.Txn)
		x.Written(w.ID, ok, x.now)
	}
	x.Apply(x.store.log, x.now)
}

// engineEnds plays the end of an engine under a request that it had begun to answer.
func (x *testTracker) engineEnds(parts ...entity.PromptPartID) {
	x.ends++
	i := Instance{Upstream: entity.UpstreamID(fmt.Sprintf("e%d", x.ends)), BornMillis: int64(x.ends)}
	x.AttemptBroken(Attempt{Traits: ofParts(parts...), Instance: i, Answering: true})
	x.Checked(i, true, x.now)
	x.now = x.now.Add(time.Second)
}

// quarantinePart ends two engines under a part and writes the records.
func (x *testTracker) quarantinePart(id entity.PromptPartID) {
	x.engineEnds(id)
	x.engineEnds(id)
	x.sync()
}

func (x *testTracker) action(parts ...entity.PromptPartID) Action {
	return x.Check(ofParts(parts...), x.now).Action
}

// claim claims the probe of a request with the parts, and reports whether it may be sent.
func (x *testTracker) claim(parts ...entity.PromptPartID) bool {
	v := x.Check(ofParts(parts...), x.now)
	if v.Action != Probe {
		return false
	}
	txn := x.Claim(v)
	revision, ok := x.store.txn(txn)
	x.Claimed(v.Traits, txn, ok, revision, x.now)
	return ok
}

func TestQuarantine(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	x.engineEnds("f", "s", "d")
	if x.action("f", "d") != Pass {
		t.Error("a part is quarantined after the end of one engine")
	}
	x.AnswerBegan(ofParts("f"), false, x.now)
	x.engineEnds("g", "d")
	if x.action("g", "s") != Pass {
		t.Error("parts that only one engine ended under are quarantined")
	}
	if x.action("d") == Pass {
		t.Error("the part that two engines ended under is not quarantined")
	}
	if v := x.Check(Traits{Service: "other service", Parts: []entity.PromptPartID{"d"}}, x.now); v.Action != Pass {
		t.Error("a part is quarantined at the engines of another service")
	}
	x.AnswerBegan(ofParts("d"), false, x.now)
	if x.action("d") != Pass {
		t.Error("a part is quarantined although an answer has begun under it")
	}
}

// requestEnds plays the end of a replica under requests, of which the first one's answer has begun.
func (x *testTracker) requestEnds(requests ...Traits) {
	x.ends++
	i := Instance{Upstream: entity.UpstreamID(fmt.Sprintf("e%d", x.ends)), BornMillis: int64(x.ends)}
	for n, r := range requests {
		x.AttemptBroken(Attempt{Traits: r, Instance: i, Begun: n == 0})
	}
	x.Checked(i, true, x.now)
	x.now = x.now.Add(time.Second)
}

// Guards against a request that is never a suspect because its answer had begun, or because sound requests have all its
// parts; and against sound requests that are refused because a request with their parts crashes replicas.
func TestRequestIsQuarantined(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	deadly := Traits{Service: simService, Parts: []entity.PromptPartID{"f", "s"}, Digest: "deadly"}
	sound := func(digest entity.RequestDigest) Traits {
		return Traits{Service: simService, Parts: deadly.Parts, Digest: digest}
	}
	x.requestEnds(deadly, sound("1"))
	if v := x.Check(deadly, x.now); v.Action != Pass {
		t.Error("a request is quarantined after the end of one replica")
	}
	x.AnswerBegan(deadly, false, x.now)
	x.requestEnds(sound("2"), deadly)
	if v := x.Check(deadly, x.now); v.Action == Pass {
		t.Error("the request that two replicas ended under is not quarantined")
	}
	if v := x.Check(Traits{Service: "other service", Digest: deadly.Digest}, x.now); v.Action == Pass {
		t.Error("the request is not quarantined at another service")
	}
	for _, digest := range []entity.RequestDigest{"1", "2", "3"} {
		if v := x.Check(sound(digest), x.now); v.Action != Pass {
			t.Errorf("sound request %s is not sent: %+v", digest, v)
		}
	}
	x.AnswerCompleted(deadly, false, x.now)
	if v := x.Check(deadly, x.now); v.Action != Pass {
		t.Error("the request is quarantined although an answer to it has been completed")
	}
}

// Guards against parts that are not found because the requests with them are sent again: each repeat explains two ends,
// and none explains all.
func TestPartOfRepeatedRequestsIsQuarantined(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	for _, digest := range []entity.RequestDigest{"1", "2"} {
		r := Traits{Service: simService, Parts: []entity.PromptPartID{"d"}, Digest: digest}
		x.requestEnds(Traits{Service: simService}, r)
		x.requestEnds(Traits{Service: simService}, r)
	}
	if x.action("d") == Pass {
		t.Error("the part that both requests have in common is not quarantined")
	}
}

// Guards against popular requests that are refused because they are at some of the replicas of a rack.
func TestPopularRequestIsNotQuarantinedForRack(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	popular := Traits{Service: simService, Digest: "popular"}
	for n := range 12 {
		i := Instance{Upstream: entity.UpstreamID(fmt.Sprintf("e%d", n)), BornMillis: 1}
		if n < 2 {
			x.AttemptBroken(Attempt{Traits: popular, Instance: i})
		}
		x.AttemptBroken(Attempt{Traits: Traits{Service: simService, Digest: entity.RequestDigest(fmt.Sprint(n))}, Instance: i})
		x.Checked(i, true, x.now)
	}
	if v := x.Check(popular, x.now); v.Action != Pass {
		t.Errorf("verdict %+v of a popular request, want it to be sent", v)
	}
}

// Guards against probes of a request that reach more replicas than allowed, ever.
func TestProbesOfRequestAreBounded(t *testing.T) {
	store := newTestStore()
	x := newTestTracker(store, "a")
	deadly := Traits{Service: simService, Parts: []entity.PromptPartID{"f"}, Digest: "deadly"}
	x.requestEnds(deadly)
	x.requestEnds(deadly)
	probes := 0
	for end := x.now.Add(30 * 24 * time.Hour); x.now.Before(end); x.now = x.now.Add(time.Minute) {
		v := x.Check(deadly, x.now)
		if v.Action == Pass {
			t.Fatal("the request is no longer quarantined")
		}
		if v.Action != Probe {
			continue
		}
		txn := x.Claim(v)
		revision, ok := store.txn(txn)
		x.Claimed(v.Traits, txn, ok, revision, x.now)
		probes++
		x.requestEnds(deadly)
		x.sync()
		if txn, ok := x.Prune(x.now); ok {
			store.txn(txn)
		}
	}
	if probes != 1+len(requestProbePauses) {
		t.Errorf("%d probes in thirty days, want %d", probes, 1+len(requestProbePauses))
	}
}

// Guards against suspicion by broken connections alone: an engine that is cut off, frozen or faulty has not ended.
func TestEngineThatHasNotEndedMakesNoSuspects(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	for n := range 5 {
		i := Instance{Upstream: "e", BornMillis: int64(n)}
		x.AttemptBroken(Attempt{Traits: ofParts("d"), Instance: i, Answering: true})
		x.Checked(i, false, x.now)
	}
	if x.action("d") != Pass {
		t.Error("a part is quarantined although no engine has ended")
	}
}

// Guards against a quarantine that is forgotten when hosts restart.
func TestQuarantineOutlivesHosts(t *testing.T) {
	store := newTestStore()
	x := newTestTracker(store, "a")
	x.quarantinePart("d")
	y := newTestTracker(store, "b")
	y.sync()
	if y.action("d") == Pass {
		t.Error("a host that has just started does not know the quarantined part")
	}
}

// Guards against one probe at each host: of all hosts that claim one, one may send it.
func TestOneHostProbes(t *testing.T) {
	store := newTestStore()
	x, y := newTestTracker(store, "a"), newTestTracker(store, "b")
	x.quarantinePart("d")
	y.sync()
	granted := 0
	for _, h := range []*testTracker{x, y} {
		if h.action("d") != Probe {
			t.Fatalf("action %d, want a probe", h.action("d"))
		}
		if h.claim("d") {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d hosts may probe, want 1", granted)
	}
	y.sync()
	if x.action("d") != Refuse || y.action("d") != Refuse {
		t.Error("another request is sent while the probe runs")
	}
}

// Guards against probes that go on for ever: each may cost an engine.
func TestProbesAreBounded(t *testing.T) {
	store := newTestStore()
	x := newTestTracker(store, "a")
	x.engineEnds("d")
	x.engineEnds("d")
	probes := 0
	for end := x.now.Add(30 * 24 * time.Hour); x.now.Before(end); x.now = x.now.Add(time.Minute) {
		if !x.claim("d") {
			continue
		}
		probes++
		x.engineEnds("d")
		x.sync()
		if txn, ok := x.Prune(x.now); ok {
			store.txn(txn)
		}
	}
	if probes != 1+len(partProbePauses) {
		t.Errorf("%d probes in thirty days, want %d", probes, 1+len(partProbePauses))
	}
	if v := x.Check(ofParts("d"), x.now); v.Action != Refuse || !v.Final {
		t.Errorf("verdict %+v, want a final refusal", v)
	}
}

// Guards against a part that stays quarantined, or is quarantined again for what happened before, after an operator has
// released it.
func TestReleasedPart(t *testing.T) {
	store := newTestStore()
	x, y := newTestTracker(store, "a"), newTestTracker(store, "b")
	x.quarantinePart("d")
	y.sync()
	store.txn(y.Release(Trait{Service: simService, Part: "d"}))
	for range 5 {
		x.sync()
		y.sync()
	}
	if x.action("d") != Pass || y.action("d") != Pass {
		t.Error("the released part is still quarantined")
	}
	for key := range store.values {
		if key == "p/"+traitKey(Trait{Service: simService, Part: "d"}) {
			t.Error("the record of the released part is still there")
		}
	}
}

// Guards against callers that make up parts: neither the records nor the memory grow, no other part is quarantined, and
// the part that the requests have in common is found all the same.
func TestMadeUpPartsFillNothing(t *testing.T) {
	store := newTestStore()
	x := newTestTracker(store, "a")
	n := 0
	for range maxKnownRecords + 50 {
		parts := []entity.PromptPartID{"d"}
		for range 200 {
			n++
			parts = append(parts, entity.PromptPartID(fmt.Sprintf("%x", n)))
		}
		x.engineEnds(parts...)
		if x.ends%100 == 0 {
			x.sync()
		}
	}
	if x.action("d") == Pass {
		t.Error("the part that all requests have in common is not quarantined")
	}
	if len(x.Entries()) != 1 {
		t.Errorf("%d parts are quarantined, want one", len(x.Entries()))
	}
	if len(x.crashes) > maxKnownRecords || len(x.pending) > maxPending {
		t.Errorf("%d records and %d unchecked engines are kept", len(x.crashes), len(x.pending))
	}
	for {
		x.sync()
		txn, ok := x.Prune(x.now)
		if !ok {
			break
		}
		store.txn(txn)
	}
	if len(store.values) > maxRecords {
		t.Errorf("%d records are in the key-value service, want at most %d", len(store.values), maxRecords)
	}
}

// Guards against a huge list of parts in which the common one gets lost.
func TestLongPromptIsBounded(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	for range 2 {
		var parts []entity.PromptPartID
		for n := range 20 * maxIDsPerRecord {
			parts = append(parts, entity.PromptPartID(fmt.Sprintf("%d-%x", x.ends, n)))
		}
		x.engineEnds(parts...)
	}
	for key, c := range x.crashes {
		if len(c.Answering) > maxIDsPerRecord {
			t.Errorf("record %s has %d parts", key, len(c.Answering))
		}
	}
}

// Guards against records that cannot be read, or are not records, ending the process or condemning anything.
func TestUnreadableRecordsAreIgnored(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	var events []kvstore.Event
	for i, value := range []string{"", "null", "[]", `{"service":1}`, `{"part":"d","probes":-1}`, `{"part":"d","probes":9223372036854775807}`, `{"part":"d","ends":-1}`, `{"upstream":""}`, "\xff"} {
		for _, prefix := range []string{crashesPrefix, partsPrefix, requestsPrefix} {
			events = append(events, kvstore.Event{Pair: kvstore.Pair{Key: fmt.Sprintf("p/%s%d", prefix, i), Value: []byte(value), ModRevision: 1}})
		}
	}
	if errs := x.Apply(events, x.now); len(errs) != len(events) {
		t.Errorf("%d of %d records were ignored", len(errs), len(events))
	}
	if len(x.Entries()) != 0 {
		t.Error("a part is quarantined")
	}
}

// Guards against a part that stays quarantined at hosts that learn of its probe and its release at once.
func TestReleaseIsSeenTogetherWithProbe(t *testing.T) {
	store := newTestStore()
	x, y := newTestTracker(store, "a"), newTestTracker(store, "b")
	x.quarantinePart("d")
	if !x.claim("d") {
		t.Fatal("no probe")
	}
	x.AnswerBegan(ofParts("d"), true, x.now)
	x.sync()
	y.sync()
	if y.action("d") != Pass {
		t.Error("the part is still quarantined at another host")
	}
}

// Guards against a final refusal while a probe has shown nothing yet, for example because it waits for its model, and
// against one that a host forgets with its restart.
func TestRefusalIsFinalOnceProbeHasFailed(t *testing.T) {
	store := newTestStore()
	x := newTestTracker(store, "a")
	x.quarantinePart("d")
	if !x.claim("d") {
		t.Fatal("no probe")
	}
	x.now = x.now.Add(2 * probeTime)
	if v := x.Check(ofParts("d"), x.now); v.Action != Refuse || v.Final || v.RetryAfter == 0 {
		t.Errorf("verdict %+v while the probe has shown nothing, want a refusal with a time to return", v)
	}
	x.engineEnds("d")
	x.sync()
	y := newTestTracker(store, "b")
	y.sync()
	for _, h := range []*testTracker{x, y} {
		if v := h.Check(ofParts("d"), h.now); v.Action != Refuse || !v.Final {
			t.Errorf("verdict %+v after the probe has failed, want a final refusal", v)
		}
	}
}

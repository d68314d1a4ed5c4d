package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// partIDs returns n parts.
func partIDs(n int) []entity.PromptPartID {
	var out []entity.PromptPartID
	for i := range n {
		out = append(out, entity.PromptPartID(fmt.Sprintf("p%d", i)))
	}
	return out
}

// syncNew writes what is due and applies the changes since its last call.
func (x *testTracker) syncNew() {
	for _, w := range x.TakeWrites(x.now) {
		_, ok := x.store.txn(w.Txn)
		x.Written(w.ID, ok, x.now)
	}
	x.Apply(x.store.log[x.applied:], x.now)
	x.applied = len(x.store.log)
}

// Guards against a caller with many shared parts that is locked out by one crash, because no probe can ever show that the
// parts are sound (review, case 13).
func TestManySuspectsAreProbed(t *testing.T) {
	for _, n := range []int{2, maxJointTraits, maxJointTraits + 1, 24, maxIDsPerRecord} {
		t.Run(fmt.Sprintf("%d parts", n), func(t *testing.T) {
			store := newTestStore()
			x, y := newTestTracker(store, "a"), newTestTracker(store, "b")
			parts := partIDs(n)
			x.engineEnds(parts...)
			x.engineEnds(parts...)
			x.syncNew()
			y.now = x.now
			y.syncNew()
			if v := x.Check(ofParts(parts...), x.now); v.Action != Refuse || v.Final || v.RetryAfter <= 0 || v.RetryAfter > jointProbeDelay {
				t.Fatalf("verdict %+v, want a refusal with the time of the next probe", v)
			}
			x.now, y.now = x.now.Add(jointProbeDelay), y.now.Add(jointProbeDelay)
			if x.action(parts...) != Probe || y.action(parts...) != Probe {
				t.Fatal("no probe may be claimed")
			}
			if !x.claim(parts...) || y.claim(parts...) {
				t.Fatal("not one host of two may send the probe")
			}
			y.syncNew()
			if v := y.Check(ofParts(parts...), y.now); v.Action != Refuse || v.Final || v.RetryAfter <= 0 {
				t.Errorf("verdict %+v at another host during the probe", v)
			}
			x.AnswerBegan(ofParts(parts...), true, x.now)
			for range 3 {
				x.now, y.now = x.now.Add(time.Second), y.now.Add(time.Second)
				x.syncNew()
				y.syncNew()
			}
			if x.action(parts...) != Pass || y.action(parts...) != Pass {
				t.Error("the parts are still quarantined after an answer to the probe")
			}
		})
	}
}

// Guards against probes of many parts that follow each other quickly although each ends an engine, and against a final refusal
// of requests of which no part is known to be deadly.
func TestJointProbesAreRare(t *testing.T) {
	for _, n := range []int{3, maxJointTraits + 1} {
		x := newTestTracker(newTestStore(), "a")
		parts := partIDs(n)
		x.engineEnds(parts...)
		x.engineEnds(parts...)
		start := x.now
		inMinute, inDay := 0, 0
		for ; x.now.Sub(start) < 24*time.Hour; x.now = x.now.Add(time.Second) {
			if v := x.Check(ofParts(parts...), x.now); v.Final {
				t.Fatalf("%d parts: final refusal after %v", n, x.now.Sub(start))
			}
			if !x.claim(parts...) {
				continue
			}
			inDay++
			if x.now.Sub(start) < time.Minute {
				inMinute++
			}
			x.engineEnds(parts...)
			x.sync()
			if txn, ok := x.Prune(x.now); ok {
				x.store.txn(txn)
			}
		}
		if most := 24*6 + 2; inMinute > 2 || inDay > most {
			t.Errorf("%d parts: %d probes in a minute, %d in a day, want at most 2 and %d", n, inMinute, inDay, most)
		}
	}
}

// Guards against a joint record that a restore has lost and that no host writes again, so that probes begin anew.
func TestJointRecordIsRestored(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	parts := partIDs(maxJointTraits + 1)
	x.engineEnds(parts...)
	x.engineEnds(parts...)
	x.syncNew()
	x.now = x.now.Add(jointProbeDelay)
	if !x.claim(parts...) {
		t.Fatal("no probe")
	}
	x.syncNew()
	key := "p/" + jointKey(simService)
	delete(x.store.values, key)
	x.Restore([]string{key}, x.now)
	for range 5 {
		x.now = x.now.Add(time.Second)
		x.syncNew()
	}
	if _, ok := x.store.values[key]; !ok {
		t.Error("the record is not written again")
	}
	if x.action(parts...) == Probe {
		t.Error("another probe may be sent at once")
	}
}

// Guards against sound requests that are refused for long, and against a part that ends many engines, whatever parts requests
// share: one of them may be deadly.
func TestSoundRequestsAreServedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newTestStore()
		hosts := []*testTracker{newTestTracker(store, "a"), newTestTracker(store, "b")}
		all := partIDs(rapid.IntRange(1, 30).Draw(t, "parts"))
		shared := rapid.IntRange(0, len(all)).Draw(t, "shared")
		deadly := entity.PromptPartID("")
		if rapid.Bool().Draw(t, "one is deadly") {
			deadly = "deadly"
		}
		request := func(i int, with entity.PromptPartID) Traits {
			parts := append([]entity.PromptPartID(nil), all[:shared]...)
			if rest := all[shared:]; len(rest) > 0 {
				parts = append(parts, rest[i%len(rest)])
			}
			if with != "" {
				parts = append(parts, with)
			}
			return ofParts(parts...)
		}
		// A rack of two engines ends under requests.
		for n := range 2 {
			hosts[0].engineEnds(request(n, deadly).Parts...)
		}
		ends, lastRefused := 0, time.Duration(0)
		start := hosts[0].now
		for step := range 120 {
			h := hosts[rapid.IntRange(0, 1).Draw(t, "host")]
			for _, x := range hosts {
				x.now = start.Add(time.Duration(step) * time.Second)
				x.Apply(store.log, x.now)
			}
			for _, r := range []Traits{request(step, deadly), request(step, "")} {
				isDeadly := deadly != "" && len(r.Parts) > 0 && r.Parts[len(r.Parts)-1] == deadly
				sent, probe := h.sends(r)
				switch {
				case sent && isDeadly:
					ends++
					h.engineEnds(r.Parts...)
				case sent:
					h.AnswerBegan(r, probe, h.now)
				case !isDeadly:
					lastRefused = h.now.Sub(start)
				}
			}
			for _, x := range hosts {
				for _, w := range x.TakeWrites(x.now) {
					_, ok := store.txn(w.Txn)
					x.Written(w.ID, ok, x.now)
				}
			}
		}
		if deadly == "" && lastRefused > 2*jointProbeDelay {
			t.Errorf("sound requests are refused for %v", lastRefused)
		}
		if ends > 8 {
			t.Errorf("%d engines have ended in two minutes", ends)
		}
	})
}

// sends reports whether a request may be sent, and whether as a probe.
func (x *testTracker) sends(r Traits) (sent, probe bool) {
	v := x.Check(r, x.now)
	if v.Action != Probe {
		return v.Action == Pass, false
	}
	txn := x.Claim(v)
	revision, ok := x.store.txn(txn)
	x.Claimed(v.Traits, txn, ok, revision, x.now)
	return ok, true
}

// Guards against joint records that cannot be read, or that state numbers which end the process of the host that reads them.
func TestInvalidJointRecords(t *testing.T) {
	x := newTestTracker(newTestStore(), "a")
	for _, value := range []string{"", "[]", `{"parts":{"a":{"probes":1}}}`, `{"service":"s","parts":{"a":1}}`,
		`{"service":"engines","parts":{"p0":{"probes":-1}}}`, `{"service":"engines","parts":{"p0":{"ends":-1}}}`,
		`{"service":"engines","parts":{"p0":{"probes":9223372036854775807}}}`} {
		if len(x.Apply([]kvstore.Event{{Pair: kvstore.Pair{Key: "p/" + jointPrefix + "x", Value: []byte(value), ModRevision: 1}}}, x.now)) != 1 {
			t.Errorf("%q is applied", value)
		}
	}
	x.engineEnds(partIDs(3)...)
	x.engineEnds(partIDs(3)...)
	x.action(partIDs(3)...)
	if len(x.joint) > 0 {
		t.Error("a joint record is kept")
	}
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// enginesWith returns a scheduler that knows n engines with 32 slots that hold model "m".
func enginesWith(n int, seed uint64) *Scheduler {
	s := newTestScheduler(nil)
	s.opts.Rand = rand.New(rand.NewPCG(seed, 3))
	for i := range n {
		t := engineTarget(fmt.Sprint("e", i), "m")
		t.Slots = 32
		s.SetTarget(t, testStart)
	}
	return s
}

// send dispatches a request with a prompt and returns the upstream that gets it.
func send(t *testing.T, s *Scheduler, prompt int, session string, now time.Time) entity.UpstreamID {
	t.Helper()
	r := newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, now)
	r.Prompt = prompt
	r.Affinity = session
	return onlyDecision(t, s.Enqueue(r, now)).Upstream.ID
}

// TestLongPromptsGoToOneReplica guards against pauses in all streams of a hot model: each of its
// replicas read long prompts now and then, and 80 % of its late streams were late by such a pause.
func TestLongPromptsGoToOneReplica(t *testing.T) {
	long := make(map[entity.UpstreamID]bool)
	short := make(map[entity.UpstreamID]bool)
	for host := range uint64(3) {
		s := enginesWith(4, host)
		for i := range 24 {
			now := testStart.Add(time.Duration(i) * time.Second)
			prompt, seen := 800, short
			if i%4 == 0 {
				prompt, seen = 5000, long
			}
			seen[send(t, s, prompt, "", now)] = true
		}
	}
	if len(long) != 1 {
		t.Errorf("long prompts went to %d replicas, want the same one from all hosts", len(long))
	}
	for id := range long {
		if short[id] {
			t.Errorf("short prompts went to %s as well while the others had room", id)
		}
	}
}

// TestFewReplicasAreShared guards against a replica that is kept apart where only two serve a model.
func TestFewReplicasAreShared(t *testing.T) {
	s := enginesWith(2, 1)
	seen := make(map[entity.UpstreamID]int)
	for range 20 {
		seen[send(t, s, 800, "", testStart)]++
	}
	if len(seen) != 2 || seen["e0"] < 5 || seen["e1"] < 5 {
		t.Errorf("requests by replica: %v", seen)
	}
}

// TestPromptsOfOneMomentAreSpread guards against several prompts that are sent to the replica with
// the session's prefix at once, where each delays the others and all running streams.
func TestPromptsOfOneMomentAreSpread(t *testing.T) {
	s := enginesWith(2, 1)
	first := send(t, s, 1900, "session", testStart)
	if second := send(t, s, 1900, "session", testStart); second == first {
		t.Error("the second prompt went to the replica that reads the first one")
	}
	if later := send(t, s, 300, "session", testStart.Add(2*time.Second)); later == "" {
		t.Error("no replica for a later prompt")
	}
}

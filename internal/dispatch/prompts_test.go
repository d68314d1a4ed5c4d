package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// enginesWith returns a scheduler that knows n engines with 32 slots on which model "m" is loaded.
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

// send dispatches a request with a prompt and returns the upstream that the request was sent to.
func send(t *testing.T, s *Scheduler, prompt int, session string, now time.Time) entity.UpstreamID {
	t.Helper()
	r := newRequest(catalog.Streaming, Pool{Service: "s", Model: "m"}, now)
	r.PromptTokens = prompt
	r.Affinity = session
	return onlyDecision(t, s.Enqueue(r, now)).Upstream.ID
}

// TestLongPromptsGoToOneReplica guards against long prompts at all replicas of a model, where the prefill of
// each one stalls the streams of its replica. When a model with many requests had long prompts at each
// replica, 80 % of its late streams were late because of such a stall.
func TestLongPromptsGoToOneReplica(t *testing.T) {
	long := make(map[entity.UpstreamID]bool)
	short := make(map[entity.UpstreamID]bool)
	for host := range uint64(3) {
		s := enginesWith(4, host)
		for i := range 24 {
			now := testStart.Add(time.Duration(i) * time.Second)
			prompt, chosen := 800, short
			if i%4 == 0 {
				prompt, chosen = 5000, long
			}
			chosen[send(t, s, prompt, "", now)] = true
		}
	}
	if len(long) != 1 {
		t.Errorf("long prompts were sent to %d replicas, want the same one from all hosts", len(long))
	}
	for id := range long {
		if short[id] {
			t.Errorf("short prompts were sent to the long prompt replica %s while other replicas had free slots", id)
		}
	}
}

// TestFewReplicasServeAllPrompts guards against a replica that is kept apart for long prompts when only two
// replicas serve a model.
func TestFewReplicasServeAllPrompts(t *testing.T) {
	s := enginesWith(2, 1)
	chosen := make(map[entity.UpstreamID]int)
	for range 20 {
		chosen[send(t, s, 800, "", testStart)]++
	}
	if len(chosen) != 2 || chosen["e0"] < 5 || chosen["e1"] < 5 {
		t.Errorf("requests by replica: %v, want at least 5 at both e0 and e1", chosen)
	}
}

// TestSimultaneousPromptsAreSpread guards against several prompts that are sent at once to the replica that
// has cached the prefix of their session, where each prompt delays the others and all running streams.
func TestSimultaneousPromptsAreSpread(t *testing.T) {
	s := enginesWith(2, 1)
	first := send(t, s, 1900, "session", testStart)
	if second := send(t, s, 1900, "session", testStart); second == first {
		t.Error("the second prompt was sent to the replica that still processes the first one")
	}
	if later := send(t, s, 300, "session", testStart.Add(2*time.Second)); later == "" {
		t.Error("a later prompt was sent to no replica")
	}
}

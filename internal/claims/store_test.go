package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// memoryKV is a key-value service in memory that can lose answers, delay transactions and be down.
type memoryKV struct {
	kvstore.KV
	mu     sync.Mutex
	rev    int64
	pairs  map[string]kvstore.Pair
	txns   int
	grants int
	down   bool
	// lose, late and refuse are the probabilities of three faults of a Txn. With lose, the transaction takes
	// effect and its answer is lost. With late, the answer is lost and the transaction takes effect up to
	// 40 ms later. With refuse, the call fails without effect.
	lose, late, refuse float64
}

func newMemoryKV() *memoryKV { return &memoryKV{pairs: map[string]kvstore.Pair{}} }

func (m *memoryKV) Grant(context.Context, time.Duration) (kvstore.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grants++
	return kvstore.LeaseID(m.grants), nil
}

func (m *memoryKV) Get(_ context.Context, key string) (*kvstore.Pair, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, kvstore.ErrUnavailable
	}
	return m.get(key), m.rev, nil
}

func (m *memoryKV) get(key string) *kvstore.Pair {
	if p, ok := m.pairs[key]; ok {
		return &p
	}
	return nil
}

func (m *memoryKV) Txn(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txns++
	switch x := rand.Float64(); {
	case m.down || x < m.refuse:
		return kvstore.TxnResult{}, kvstore.ErrUnavailable
	case x < m.refuse+m.late:
		time.AfterFunc(rand.N(40*time.Millisecond), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.apply(t)
		})
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	case x < m.refuse+m.late+m.lose:
		m.apply(t)
		return kvstore.TxnResult{}, kvstore.ErrUnknown
	}
	return m.apply(t), nil
}

func (m *memoryKV) apply(t kvstore.Txn) kvstore.TxnResult {
	r := kvstore.TxnResult{Succeeded: true}
	for _, c := range t.Compares {
		r.Succeeded = r.Succeeded && m.pairs[c.Key].ModRevision == c.Value
	}
	ops := t.Failure
	if r.Succeeded {
		ops = t.Success
		m.rev++
	}
	seen := map[string]bool{}
	for _, op := range ops {
		if seen[op.Key] && op.Kind == kvstore.OpPut {
			panic("duplicate key in one transaction: " + op.Key)
		}
		seen[op.Key] = true
		switch op.Kind {
		case kvstore.OpPut:
			m.pairs[op.Key] = kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: m.rev, Lease: op.Lease}
		case kvstore.OpDelete:
			delete(m.pairs, op.Key)
		case kvstore.OpGet:
			r.Gets = append(r.Gets, m.get(op.Key))
		}
	}
	r.Revision = m.rev
	return r
}

// update runs f while it holds the lock, to change the faults and counters.
func (m *memoryKV) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// newTestStore returns a store of the process inc. Its ProcessLiveness returns liveness for all processes.
func newTestStore(t *testing.T, kv kvstore.KV, inc string, liveness Liveness) *Store {
	s := New(Options{KV: kv, Host: entity.HostID(inc), Incarnation: entity.Incarnation(inc), ProcessLiveness: func(entity.HostID, entity.Incarnation) Liveness { return liveness }})
	t.Cleanup(s.Close)
	return s
}

func request(key, body string) ClaimRequest {
	return ClaimRequest{Workspace: "w", Key: key, Digest: DigestOf("POST", "/cut", []byte(body)), Request: "r"}
}

// TestOutcomes guards against a wrong outcome for a second caller with the same idempotency key.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		body     string
		alive    Liveness
		complete bool
		want     Outcome
	}{
		{"claimant alive", "x", Alive, false, InProgress},
		{"claimant not known", "x", LivenessUnknown, false, InProgress},
		{"claimant gone", "x", Terminated, false, OutcomeUnknown},
		{"completed", "x", Terminated, true, Replay},
		{"other body", "y", Alive, false, Mismatch},
		{"other body after completion", "y", Alive, true, Mismatch},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			kv := newMemoryKV()
			ctx := context.Background()
			first := newTestStore(t, kv, "a", Alive).Claim(ctx, request("k", "x"))
			if first.Outcome != Granted {
				t.Fatalf("first claim: outcome %v, want Granted", first.Outcome)
			}
			if tc.complete {
				if err := newTestStore(t, kv, "a", Alive).Complete(ctx, first.Claim, StoredAnswer{Status: 201, Body: []byte("ok")}); err != nil {
					t.Fatal(err)
				}
			}
			got := newTestStore(t, kv, "b", tc.alive).Claim(ctx, request("k", tc.body))
			if got.Outcome != tc.want {
				t.Errorf("outcome %v, want %v", got.Outcome, tc.want)
			}
			if tc.want == Replay && string(got.Answer.Body) != "ok" {
				t.Errorf("answer %+v, want the stored body \"ok\"", got.Answer)
			}
		})
	}
}

// TestLargeAnswer guards against records that exceed the value limit of the key-value service because of a large answer.
func TestLargeAnswer(t *testing.T) {
	s := newTestStore(t, newMemoryKV(), "a", Alive)
	ctx := context.Background()
	c := s.Claim(ctx, request("k", "x")).Claim
	if err := s.Complete(ctx, c, StoredAnswer{Status: 200, Body: make([]byte, MaxBody+1)}); err != nil {
		t.Fatal(err)
	}
	got := s.Claim(ctx, request("k", "x"))
	if got.Outcome != Replay || !got.Answer.BodyOmitted || got.Answer.Body != nil {
		t.Errorf("outcome %v, answer %+v, want Replay without the body", got.Outcome, got.Answer)
	}
}

// TestServiceDown guards against a claim that is granted while the key-value service is down, and against a failed
// claim that prevents further claims of its key after the service has recovered.
func TestServiceDown(t *testing.T) {
	kv := newMemoryKV()
	kv.down = true
	s := newTestStore(t, kv, "a", Alive)
	ctx := context.Background()
	if got := s.Claim(ctx, request("k", "x")); got.Outcome != Unavailable {
		t.Errorf("service down: outcome %v, want Unavailable", got.Outcome)
	}
	kv.update(func() { kv.down = false })
	if got := s.Claim(ctx, request("k", "x")); got.Outcome != Granted {
		t.Errorf("service recovered: outcome %v, want Granted", got.Outcome)
	}
}

// TestLostAnswerNotTakenForOtherClaim guards against a key that stays claimed by a request that did not run. If the
// answer to the write of a claim is lost, the caller gets Unavailable, but the claim is stored. A later claim of the
// same process must not take it for the claim of another caller.
func TestLostAnswerNotTakenForOtherClaim(t *testing.T) {
	kv := newMemoryKV()
	kv.lose = 1
	s := newTestStore(t, kv, "a", Alive)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if got := s.Claim(ctx, request("k", "x")); got.Outcome != Unavailable {
		t.Fatalf("lost answer: outcome %v, want Unavailable", got.Outcome)
	}
	kv.update(func() { kv.lose = 0 })
	deadline := time.Now().Add(5 * time.Second)
	for {
		got := s.Claim(context.Background(), request("k", "changed body"))
		if got.Outcome == Granted {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not granted within 5 s after a lost answer: outcome %v, want Granted", got.Outcome)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestBatching guards against concurrent claims that each need a transaction of their own, more than one lease per hour,
// and a batch in which all claims fail because one key is already claimed.
func TestBatching(t *testing.T) {
	kv := newMemoryKV()
	s := newTestStore(t, kv, "a", Alive)
	s.Claim(context.Background(), request("k7", "x"))
	kv.update(func() { kv.txns = 0 })
	var group sync.WaitGroup
	var mu sync.Mutex
	count := map[Outcome]int{}
	for i := range 64 {
		group.Go(func() {
			r := s.Claim(context.Background(), request(fmt.Sprintf("k%d", i), "x"))
			mu.Lock()
			defer mu.Unlock()
			count[r.Outcome]++
		})
	}
	group.Wait()
	if count[Granted] != 63 || count[InProgress] != 1 {
		t.Errorf("outcomes %v, want 63 Granted and 1 InProgress", count)
	}
	if kv.txns > 16 || kv.grants != 1 {
		t.Errorf("%d transactions and %d leases, want at most 16 and exactly 1", kv.txns, kv.grants)
	}
}

// claimOp is one operation of a history that porcupine checks for linearizability: a claim, or a release if release is
// set.
type claimOp struct{ release bool }

// claimModel is the sequential model of one key: a claim is granted only while no other claim is held.
var claimModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		held := state.(bool)
		if input.(claimOp).release {
			return held, false
		}
		if output.(Outcome) == Granted {
			return !held, true
		}
		// All other outcomes mean that the request must not run, which is always allowed.
		return true, state
	},
}

// TestAtMostOnce guards against two callers that hold a claim of the same key at the same time when writes
// are lost, late or refused, and against a key that stays claimed after all claims were released.
func TestAtMostOnce(t *testing.T) {
	granted := 0
	for round := range 20 {
		kv := newMemoryKV()
		kv.lose, kv.late, kv.refuse = 0.15, 0.15, 0.1
		var mu sync.Mutex
		var history []porcupine.Operation
		record := func(client int, op claimOp, out Outcome, call int64) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{ClientId: client, Input: op, Output: out, Call: call, Return: time.Now().UnixNano()})
		}
		var group sync.WaitGroup
		var last *Store
		for client := range 4 {
			s := newTestStore(t, kv, fmt.Sprintf("p%d", client%2), Alive)
			last = s
			group.Go(func() {
				for range 12 {
					ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
					call := time.Now().UnixNano()
					r := s.Claim(ctx, request("k", "x"))
					record(client, claimOp{}, r.Outcome, call)
					cancel()
					if r.Outcome != Granted {
						time.Sleep(time.Millisecond)
						continue
					}
					call = time.Now().UnixNano()
					ctx, cancel = context.WithTimeout(context.Background(), time.Second)
					_ = s.Release(ctx, r.Claim)
					record(client, claimOp{release: true}, Unavailable, call)
					cancel()
				}
			})
		}
		group.Wait()
		for _, op := range history {
			if op.Output == Granted {
				granted++
			}
		}
		if !porcupine.CheckOperations(claimModel, history) {
			t.Fatalf("round %d: two callers held the claim at the same time", round)
		}
		kv.update(func() { kv.lose, kv.late, kv.refuse = 0, 0, 0 })
		deadline := time.Now().Add(10 * time.Second)
		for last.Claim(context.Background(), request("k", "x")).Outcome != Granted {
			if time.Now().After(deadline) {
				t.Fatalf("round %d: the key is still claimed 10 s after all claims were released", round)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	if granted == 0 {
		t.Error("no claim was granted in any round, so the histories test nothing")
	}
}

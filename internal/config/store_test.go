package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// memKV is a key-value service in memory. before and after are called before and after each transaction with
// compares, and read is called before each Get. If one of them returns an error, the call returns this error. An error
// of after is returned although the transaction has taken effect, like a lost response.
type memKV struct {
	kvstore.KV
	mu            sync.Mutex
	rev           int64
	pairs         map[string]kvstore.Pair
	before, after func() error
	read          func() error
}

func newMemKV() *memKV {
	ok := func() error { return nil }
	return &memKV{rev: 1, pairs: map[string]kvstore.Pair{}, before: ok, after: ok, read: ok}
}

func (m *memKV) lookup(key string) *kvstore.Pair {
	if p, ok := m.pairs[key]; ok {
		return &p
	}
	return nil
}

func (m *memKV) Get(_ context.Context, key string) (*kvstore.Pair, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.read(); err != nil {
		return nil, 0, err
	}
	return m.lookup(key), m.rev, nil
}

func (m *memKV) Range(_ context.Context, r kvstore.RangeRequest) (kvstore.RangeResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := kvstore.RangeResult{Revision: m.rev}
	for key, p := range m.pairs {
		if strings.HasPrefix(key, r.Prefix) {
			out.Pairs = append(out.Pairs, p)
		}
	}
	return out, nil
}

func (m *memKV) Txn(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(t.Compares) > 0 {
		if err := m.before(); err != nil {
			return kvstore.TxnResult{}, err
		}
	}
	res := m.run(t)
	if len(t.Compares) > 0 {
		if err := m.after(); err != nil {
			return kvstore.TxnResult{}, err
		}
	}
	return res, nil
}

func (m *memKV) run(t kvstore.Txn) kvstore.TxnResult {
	res := kvstore.TxnResult{Succeeded: true}
	for _, c := range t.Compares {
		res.Succeeded = res.Succeeded && modRevision(m.lookup(c.Key)) == c.Value
	}
	ops := t.Success
	if !res.Succeeded {
		ops = t.Failure
	} else if len(t.Compares) > 0 {
		m.rev++
	}
	for _, op := range ops {
		if op.Kind == kvstore.OpGet {
			res.Gets = append(res.Gets, m.lookup(op.Key))
			continue
		}
		m.pairs[op.Key] = kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: m.rev}
	}
	res.Revision = m.rev
	return res
}

// applyBase applies validBase as revision 1.
func applyBase(t *testing.T, s *Store) Head {
	t.Helper()
	h, err := s.Apply(t.Context(), ApplyRequest{Base: []byte(validBase), Overlays: map[string][]byte{"s": []byte(`{}`)}, Who: "a"})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against two concurrent applies with the same base revision that both succeed, and against audit numbers that
// are used twice or have gaps when keys are issued at the same time.
func TestConcurrentApplies(t *testing.T) {
	kv := newMemKV()
	s := NewStore(kv)
	applyBase(t, s)
	const writers = 8
	var wins, conflicts int
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			overlay := fmt.Appendf(nil, `{"limits":{"max_attempts":%d}}`, i+1)
			h, err := s.Apply(t.Context(), ApplyRequest{BaseRevision: 1, Overlays: map[string][]byte{"s": overlay}, Who: fmt.Sprint("w", i)})
			mu.Lock()
			defer mu.Unlock()
			var conflict *ConflictError
			switch {
			case err == nil && h.Revision == 2:
				wins++
			case errors.As(err, &conflict) && conflict.Winner.Revision == 2 && conflict.Winner.Who != fmt.Sprint("w", i) && !conflict.Winner.When.IsZero():
				conflicts++
			default:
				t.Errorf("writer %d: got %+v, %v; want revision 2, or a conflict with the writer of revision 2", i, h, err)
			}
		})
		wg.Go(func() {
			if _, _, err := s.IssueKey(t.Context(), "w", "k"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if wins != 1 || conflicts != writers-1 {
		t.Errorf("%d successful applies and %d conflicts, want 1 and 7", wins, conflicts)
	}
	entries, err := s.Audit(t.Context(), 100)
	if err != nil || len(entries) != 2+writers || entries[0].Number != 2+writers {
		t.Errorf("audit has %d entries, error %v; want 10 entries without gaps", len(entries), err)
	}
	if history, err := s.History(t.Context(), 1); err != nil || len(history) != 1 || history[0].Revision != 2 {
		t.Errorf("history after concurrent applies: %+v, %v; want revision 2 as the newest", history, err)
	}
	if _, err := s.Document(t.Context(), Digest([]byte("{}"))); err != nil {
		t.Error(err)
	}
}

// Guards against an apply that is reported with the wrong outcome, or performed twice, after a lost response.
func TestApplyAfterLostResponse(t *testing.T) {
	lost := fmt.Errorf("lost: %w", kvstore.ErrUnknown)
	tests := []struct {
		name           string
		before, after  []error
		reads          []error
		want           error
		revision, next int64
	}{
		{"applied", nil, []error{lost}, nil, nil, 2, 2},
		{"not applied, then applied", []error{lost}, nil, nil, nil, 2, 2},
		// The reads are the head, two documents, the audit counter and then the audit entry for findCommitted.
		{"applied, then unavailable", nil, []error{lost}, []error{nil, nil, nil, nil, kvstore.ErrUnavailable, lost}, nil, 2, 2},
		{"unavailable", []error{kvstore.ErrUnavailable}, nil, nil, kvstore.ErrUnavailable, 1, 2},
		{"lost read", nil, nil, []error{lost}, kvstore.ErrUnavailable, 1, 2},
		{"interrupted", []error{context.DeadlineExceeded, kvstore.ErrUnavailable, kvstore.ErrUnavailable}, nil, nil, nil, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			kv := newMemKV()
			s := NewStore(kv)
			applyBase(t, s)
			kv.before, kv.after, kv.read = errorSequence(tt.before), errorSequence(tt.after), errorSequence(tt.reads)
			req := ApplyRequest{BaseRevision: 1, Overlays: map[string][]byte{"s": []byte(`{"limits":{"max_attempts":1}}`)}, Who: "b", Attempt: "x"}
			_, err := s.Apply(t.Context(), req)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if h, _ := s.Head(t.Context()); h.Revision != tt.revision {
				t.Errorf("active revision %d, want %d", h.Revision, tt.revision)
			}
			// A repeated call with the same attempt must not apply again, even after a later apply.
			if h, err := s.Apply(t.Context(), req); err != nil || h.Revision != tt.next {
				t.Errorf("repeated apply: got %+v, %v; want revision 2", h, err)
			}
			if _, err := s.Apply(t.Context(), ApplyRequest{BaseRevision: 2, Who: "c"}); err != nil {
				t.Error(err)
			}
			if h, err := s.Apply(t.Context(), req); err != nil || h.Revision != tt.next || h.Who != "b" {
				t.Errorf("apply repeated after a later apply: got %+v, %v; want revision 2 by b", h, err)
			}
		})
	}
}

// errorSequence returns a function that returns the errors of a list one after the other, and nil afterwards.
func errorSequence(list []error) func() error {
	return func() error {
		if len(list) == 0 {
			return nil
		}
		err := list[0]
		list = list[1:]
		return err
	}
}

// Guards against an apply that reports that it had no effect, although every response was lost and the outcome is
// therefore unknown.
func TestApplyReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemKV()
		kv.before = func() error { return kvstore.ErrUnknown }
		_, err := NewStore(kv).Apply(t.Context(), ApplyRequest{Base: []byte(validBase), Who: "a"})
		if !errors.Is(err, kvstore.ErrUnknown) || errors.Is(err, kvstore.ErrUnavailable) {
			t.Errorf("apply with lost responses: got %v, want only ErrUnknown", err)
		}
	})
}

// Guards against a refused apply that writes a part of its changes. An apply is refused if one site has a fault or the
// base revision is not the active one.
func TestRefusedApplyWritesNothing(t *testing.T) {
	kv := newMemKV()
	s := NewStore(kv)
	applyBase(t, s)
	rev, count := kv.rev, len(kv.pairs)
	_, err := s.Apply(t.Context(), ApplyRequest{BaseRevision: 1, Who: "b", Overlays: map[string][]byte{
		"s": []byte(`{"limits":{"max_attempts":1}}`), "u": []byte(`{"models":{"m1":null}}`)}})
	var invalid *ValidationError
	if !errors.As(err, &invalid) || invalid.Fields[0].Document != "site u" {
		t.Errorf("fault at site u: got %v, want a ValidationError for site u", err)
	}
	var conflict *ConflictError
	for _, stale := range []int64{0, 2} {
		if _, err := s.Apply(t.Context(), ApplyRequest{BaseRevision: stale, Who: "b"}); !errors.As(err, &conflict) {
			t.Errorf("stale base revision %d: got %v, want a ConflictError", stale, err)
		}
	}
	if kv.rev != rev || len(kv.pairs) != count {
		t.Error("a refused apply wrote to the store")
	}
}

// Guards against plain keys in the key-value service, against a key that is not issued or withdrawn correctly when a
// response is lost, and against key tables that change while they are read or admit the key of a damaged record.
func TestKeyLifecycle(t *testing.T) {
	kv := newMemKV()
	s := NewStore(kv)
	kv.after = errorSequence([]error{kvstore.ErrUnknown, nil, kvstore.ErrUnknown})
	plain, record, err := s.IssueKey(t.Context(), "w", "a")
	if err != nil || len(plain) != 44 || !strings.HasPrefix(plain, "fxp_") {
		t.Fatalf("issued key %q, error %v; want 44 characters that start with fxp_", plain, err)
	}
	other, _, err := s.IssueKey(t.Context(), "w", "a")
	if err != nil {
		t.Fatal(err)
	}
	for key, p := range kv.pairs {
		if strings.Contains(key+string(p.Value), plain[4:]) {
			t.Errorf("%s contains the plain key", key)
		}
	}
	pairs := func() []kvstore.Pair {
		r, _ := kv.Range(t.Context(), kvstore.RangeRequest{Prefix: KeysPrefix + strings.TrimPrefix(string(record.ID), "k-")})
		return r.Pairs
	}
	all, _ := kv.Range(t.Context(), kvstore.RangeRequest{Prefix: KeysPrefix})
	table, err := NewKeyTable(all.Pairs)
	if err != nil || table.Len() != 2 {
		t.Fatalf("table has %d keys, error %v; want 2 keys", table.Len(), err)
	}
	if _, err := s.WithdrawKey(t.Context(), record.ID, "b"); err != nil {
		t.Fatal(err)
	}
	if _, err := s.WithdrawKey(t.Context(), record.ID, "b"); !errors.Is(err, ErrAlreadyWithdrawn) {
		t.Errorf("second withdrawal: got %v, want ErrAlreadyWithdrawn", err)
	}
	if _, err := s.WithdrawKey(t.Context(), "k-0123456789abcdef", "b"); !errors.Is(err, ErrNotFound) {
		t.Errorf("withdrawal of an unknown key: got %v, want ErrNotFound", err)
	}
	after, err := table.Update(pairs())
	if err != nil {
		t.Fatal(err)
	}
	before, _ := table.Lookup([]byte(plain))
	now, _ := after.Lookup([]byte(plain))
	kept, _ := after.Lookup([]byte(other))
	if !before.Active() || now.Active() || !kept.Active() {
		t.Errorf("withdrawn key in the old table: %+v, want active; in the new table: %+v, want withdrawn; other key: %+v, want active", before, now, kept)
	}
	damaged := kvstore.Pair{Key: KeysPrefix + Digest([]byte(other)), Value: []byte("{")}
	after, err = after.Update([]kvstore.Pair{damaged})
	if _, found := after.Lookup([]byte(other)); err == nil || found {
		t.Error("the key of a damaged record is still in the table, or Update returned no error")
	}
	if entries, err := s.Audit(t.Context(), 10); err != nil || len(entries) != 3 || entries[0].Kind != AuditWithdrawKey {
		t.Errorf("audit: got %+v, %v; want 3 entries, the newest for the withdrawal", entries, err)
	}
}

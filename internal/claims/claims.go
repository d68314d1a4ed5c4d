// Package claims is a placeholder that knows only the claims of its own process. The store that
// shares claims between hosts replaces it.
package claims

import (
	"context"
	"sync"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/platform"
)

type Liveness int

const (
	Unknown Liveness = iota
	Alive
	Gone
)

type Kind int

const (
	Granted Kind = iota
	Replay
	InProgress
	OutcomeUnknown
	Mismatch
	Unavailable
)

type Request struct {
	Workspace   entity.WorkspaceID
	Key         string
	Digest      string
	Request     entity.RequestID
	Host        entity.HostID
	Incarnation entity.Incarnation
}
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}
type Result struct {
	Kind   Kind
	Answer StoredAnswer
}
type Options struct {
	KV    platform.KV
	Alive func(entity.HostID, entity.Incarnation) Liveness
}
type Store struct{}

var mu sync.Mutex
var all = map[string]*StoredAnswer{}

func NewStore(o Options) *Store { return &Store{} }
func (s *Store) Claim(ctx context.Context, r Request) Result {
	mu.Lock()
	defer mu.Unlock()
	if a, ok := all[r.Key]; ok {
		if a == nil {
			return Result{Kind: InProgress}
		}
		return Result{Kind: Replay, Answer: *a}
	}
	all[r.Key] = nil
	return Result{Kind: Granted}
}
func (s *Store) Complete(ctx context.Context, r Request, a StoredAnswer) error {
	mu.Lock()
	defer mu.Unlock()
	all[r.Key] = &a
	return nil
}
func (s *Store) Release(ctx context.Context, r Request) error {
	mu.Lock()
	defer mu.Unlock()
	delete(all, r.Key)
	return nil
}

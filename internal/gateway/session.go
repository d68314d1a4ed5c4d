package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
)

// step is what the control state asks a session to do next.
type step struct {
	kind     stepKind
	upstream entity.UpstreamID
	addr     string
	attempt  int
	refusal  entity.Refusal
}

type stepKind uint8

const (
	stepClaim stepKind = iota
	stepDispatch
	stepRefuse
)

// errCallerGone is the cause of a canceled attempt when the caller has left.
var errCallerGone = errors.New("gateway: caller has left")

// session serves one request from its arrival to its final answer. The control goroutine calls
// the methods of control.Caller; everything else belongs to the request's own goroutine.
type session struct {
	request *schedule.Request
	// steps has room for all steps that can be outstanding, so that the control goroutine
	// never blocks: one claim, one dispatch and one refusal.
	steps  chan step
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// ended is the refusal of a canceled attempt.
	ended *entity.Refusal

	call       callPlan
	arrived    time.Time
	dispatched bool
	usedTokens float64
	// claim is the idempotency claim that this request holds, nil if none.
	claim      *claims.Claim
	routeLabel string
	key        string
	// sent says that a part of the answer has been handed to the caller's connection.
	sent bool
}

func newSession(r *schedule.Request, now time.Time) *session {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &session{request: r, steps: make(chan step, 4), ctx: ctx, cancel: cancel, arrived: now}
}

// ClaimFirst implements control.Caller.
func (s *session) ClaimFirst() { s.steps <- step{kind: stepClaim} }

// Dispatch implements control.Caller.
func (s *session) Dispatch(id entity.UpstreamID, addr string, attempt int) {
	s.steps <- step{kind: stepDispatch, upstream: id, addr: addr, attempt: attempt}
}

// Refuse implements control.Caller.
func (s *session) Refuse(r entity.Refusal) { s.steps <- step{kind: stepRefuse, refusal: r} }

// CancelAttempt implements control.Caller.
func (s *session) CancelAttempt(r entity.Refusal) {
	s.mu.Lock()
	s.ended = &r
	s.mu.Unlock()
	s.cancel(&r)
}

// canceledWith returns the refusal of a canceled attempt, or nil.
func (s *session) canceledWith() *entity.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// next waits for the next step. It returns false when the caller has left.
func (s *session) next() (step, bool) {
	select {
	case st := <-s.steps:
		return st, true
	case <-s.ctx.Done():
	}
	// A canceled attempt cannot be waiting for a step, so only a caller that left ends up here,
	// unless the cancellation crossed the end of the attempt.
	if r := s.canceledWith(); r != nil {
		return step{kind: stepRefuse, refusal: *r}, true
	}
	return step{}, false
}

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

// step is an instruction of the control goroutine to a session.
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

// errCallerGone is the cancellation cause of a session whose caller has disconnected.
var errCallerGone = errors.New("gateway: caller disconnected")

// session holds the state of one request from its arrival to its final answer. It implements control.RequestHandler,
// whose methods are called by the control goroutine. Everything else is used only by the goroutine that serves the
// request, except cancel, which callerWatcher calls too.
type session struct {
	request *schedule.Request
	// steps is buffered, so that the control goroutine never blocks: at most one claim, one dispatch and one
	// refusal can be outstanding.
	steps  chan step
	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu guards cancelRefusal.
	mu sync.Mutex
	// cancelRefusal is the refusal with which the control goroutine canceled the attempt, nil if it did not.
	cancelRefusal *entity.Refusal

	call    requestTemplate
	arrived time.Time
	// dispatched is set when the first attempt has begun.
	dispatched bool
	// usedTokens is the cost of the request so far.
	usedTokens float64
	// claim is the idempotency claim that was granted to this request, nil if none.
	claim *claims.Claim
	// routeLabel is the route label in metrics.
	routeLabel string
	// key is the caller key of the request, empty if none.
	key string
	// answerStarted is set when a part of the answer has been passed to the caller's connection.
	answerStarted bool
}

func newSession(r *schedule.Request, now time.Time) *session {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &session{request: r, steps: make(chan step, 4), ctx: ctx, cancel: cancel, arrived: now}
}

// StartClaim implements control.RequestHandler.
func (s *session) StartClaim() { s.steps <- step{kind: stepClaim} }

// Dispatch implements control.RequestHandler.
func (s *session) Dispatch(id entity.UpstreamID, addr string, attempt int) {
	s.steps <- step{kind: stepDispatch, upstream: id, addr: addr, attempt: attempt}
}

// Refuse implements control.RequestHandler.
func (s *session) Refuse(r entity.Refusal) { s.steps <- step{kind: stepRefuse, refusal: r} }

// CancelAttempt implements control.RequestHandler.
func (s *session) CancelAttempt(r entity.Refusal) {
	s.mu.Lock()
	s.cancelRefusal = &r
	s.mu.Unlock()
	s.cancel(&r)
}

// cancellationRefusal returns the refusal with which the control goroutine canceled the attempt, or nil.
func (s *session) cancellationRefusal() *entity.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelRefusal
}

// nextStep waits for the next step. It returns false when the caller has disconnected.
func (s *session) nextStep() (step, bool) {
	select {
	case st := <-s.steps:
		return st, true
	case <-s.ctx.Done():
	}
	// The context ends when the caller disconnects or when the control goroutine cancels the attempt. In the second
	// case, the refusal of the cancellation takes the place of the next step. This concerns a canceled stream, and
	// an attempt that ended at the same time as it was canceled.
	if r := s.cancellationRefusal(); r != nil {
		return step{kind: stepRefuse, refusal: *r}, true
	}
	return step{}, false
}

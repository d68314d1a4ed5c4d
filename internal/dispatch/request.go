// Package dispatch decides on one host which waiting request runs next and at which upstream,
// what is retried, and what is refused. It is pure: time and randomness are passed in, and
// decisions are returned as values. All methods belong to the goroutine that owns the control
// state.
package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Pool names the requests that the same upstreams can serve.
type Pool struct {
	Service catalog.ServiceID
	// Model is empty for plain services.
	Model   entity.ModelID
	Adapter entity.AdapterID
}

// Request is one row of the request table.
type Request struct {
	ID        entity.RequestID
	Workspace entity.WorkspaceID
	// Key is the caller's key, empty on open routes.
	Key   string
	Route *catalog.Route
	Pool  Pool
	// Rank orders waiting requests; 0 is served first.
	Rank    int
	Arrived time.Time
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Tokens is the cost against the rate of the workspace.
	Tokens float64
	// Prompt is the length of the prompt in tokens, zero when it is not stated.
	Prompt int
	// Affinity names the part of the prompt that the request shares with its session.
	Affinity string

	running bool
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// sent counts the upstreams that were given the request, proven not run ones included.
	sent int
	// ran counts the attempts that may have run.
	ran    int
	target *target
	avoid  entity.UpstreamID
	index  int
}

// repeatable says whether another attempt may follow one that may have run.
func (r *Request) repeatable() bool { return r.Route.Repeatable() }

// patienceMargin is how long before a caller gives up on a stream it gets its final answer.
const patienceMargin = 150 * time.Millisecond

// left returns the time in which the request must begin to be answered.
func (r *Request) left(now time.Time) time.Duration {
	left := r.Deadline.Sub(now)
	if r.Route.Patience > 0 && !r.mayHaveRun {
		left = min(left, r.Arrived.Add(r.Route.Patience-patienceMargin).Sub(now))
	}
	return left
}

// Reason says why a request was refused; it appears in logs and metrics.
type Reason string

// The reasons of refusals.
const (
	ReasonDeadline    Reason = "deadline_exceeded"
	ReasonNotReady    Reason = "not_ready_in_time"
	ReasonNoUpstream  Reason = "no_upstream"
	ReasonBudget      Reason = "retry_budget_exhausted"
	ReasonFailed      Reason = "upstream_failed"
	ReasonUnknown     Reason = "outcome_unknown"
	ReasonRateLimited Reason = "rate_limited"
	ReasonStale       Reason = "stale_configuration"
	ReasonKey         Reason = "key_withdrawn"
	ReasonStopping    Reason = "stopping"
)

// Decision is what the host does next with a request: an attempt at an upstream, or a refusal.
type Decision struct {
	Request *Request
	// Upstream is set for an attempt.
	Upstream *Target
	// Attempt counts from 1.
	Attempt int
	// Load is the estimated number of requests of all hosts at the upstream, before this one, and
	// OthersAge how old the report about the other hosts is.
	Load      float64
	OthersAge time.Duration
	// Alternatives is the number of other upstreams that serve the request and do not fail.
	Alternatives int
	// Last says that no attempt may follow one that may have run.
	Last bool
	// Refusal is set for a final answer.
	Refusal *entity.Refusal
	Reason  Reason
	// ReadyIn is the estimate that a refusal went by, zero if none.
	ReadyIn time.Duration
}

// Result tells how an attempt ended.
type Result struct {
	Request entity.RequestID
	Outcome entity.Outcome
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Absent says that the upstream does not hold the model or adapter.
	Absent bool
	// Full says that the upstream had no room.
	Full bool
	// Broken says that the attempt ended without an answer, which counts as a failure of the upstream.
	Broken bool
	// Silent says that the upstream did not answer in the expected time.
	Silent bool
	// Status is the status of a failed answer, zero if none.
	Status int
}

// Package dispatch decides on one host which waiting request is sent next and to which upstream, which
// requests are retried, and which are refused. It does no I/O: time and randomness are passed in, and
// decisions are returned as values. Its types are not safe for concurrent use; they belong to the goroutine
// that owns the control state.
package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Pool identifies a set of requests that the same upstreams can serve.
type Pool struct {
	Service catalog.ServiceID
	// Model is empty for plain services.
	Model   entity.ModelID
	Adapter entity.AdapterID
	// Release is the release that began the streams, which only upstreams of it may continue. It is empty if any upstream
	// may serve the requests.
	Release entity.Release
}

// Request is an entry of the request table.
type Request struct {
	ID        entity.RequestID
	Workspace entity.WorkspaceID
	// Key is the caller's key, empty on routes that require none.
	Key   string
	Route *catalog.Route
	Pool  Pool
	// Rank orders waiting requests; 0 is served first.
	Rank    int
	Arrived time.Time
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Tokens is the number of tokens that the request takes from the rate of its workspace.
	Tokens float64
	// HasDefaultTokens is set if that is the default of the workspace, because the request states no numbers.
	HasDefaultTokens bool
	// PromptTokens is the length of the prompt in tokens, zero if it is not known.
	PromptTokens int
	// SharedParts are the parts of the prompt that other requests may share. Probe is set if the request is sent although
	// it, or one of them, may crash replicas, to find out whether it does.
	SharedParts []entity.PromptPartID
	Probe       bool
	// Digest identifies the content of the request.
	Digest entity.RequestDigest
	// Affinity identifies the prompt prefix that the request shares with its session, empty if none.
	Affinity string

	running bool
	// counted is set once the request has been counted for the retry budget of its service.
	counted bool
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// interruptedAt is when a stream that has begun was last interrupted, zero before.
	interruptedAt time.Time
	// mayHaveRun is set once an attempt has ended without proof that it did not run.
	mayHaveRun bool
	// attempts counts all attempts, including those that are proven not to have run.
	attempts int
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	// target is the upstream of the running attempt.
	target *target
	// avoidUpstream is the upstream of the last attempt; a retry prefers any other upstream.
	avoidUpstream entity.UpstreamID
	// limitAsked is set while an answer about a request to a limited upstream is awaited. limitRefused holds the
	// times before which no request to a limited upstream is asked for again.
	limitAsked   bool
	limitRefused map[entity.UpstreamID]time.Time
	// index is the position in the heap of the queue, -1 if the request does not wait.
	index int
	// workspaceIndex is the position among the requests of the workspace, see queue.byWorkspace.
	workspaceIndex int
	// yielded is set once the request may not take the last slots of upstreams, see Scheduler.sharesYield.
	yielded bool
}

// MayHaveRun reports whether an attempt has ended without proof that it did not run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// repeatable reports whether another attempt may follow one that may have run.
func (r *Request) repeatable() bool { return r.Route.Repeatable() }

// waitsSince returns the time from which on the request waits for an upstream.
func (r *Request) waitsSince() time.Time {
	if r.interruptedAt.IsZero() {
		return r.Arrived
	}
	return r.interruptedAt
}

// maxWaitMargin is how long before the end of Route.MaxFirstEventWait a waiting request is refused, so that the
// answer arrives before the caller disconnects.
const maxWaitMargin = 150 * time.Millisecond

// maxInterruption is how long an interrupted stream waits for an upstream. Its caller sees a silent stream meanwhile, and
// can take it up again with more time left if the stream is broken off soon.
const maxInterruption = 2 * time.Second

// timeLeft returns the time until it is too late to send a waiting request: until its deadline or, if no attempt
// may have run, until maxWaitMargin before its caller stops waiting for the first event of a stream. An interrupted stream
// waits for maxInterruption.
func (r *Request) timeLeft(now time.Time) time.Duration {
	timeLeft := r.Deadline.Sub(now)
	if r.Route.MaxFirstEventWait > 0 && !r.mayHaveRun {
		timeLeft = min(timeLeft, r.Arrived.Add(r.Route.MaxFirstEventWait-maxWaitMargin).Sub(now))
	}
	if !r.interruptedAt.IsZero() {
		timeLeft = min(timeLeft, r.interruptedAt.Add(maxInterruption).Sub(now))
	}
	return timeLeft
}

// Reason is the cause of a refusal; it appears in answers, logs and metrics.
type Reason string

// The reasons of refusals.
const (
	ReasonDeadline       Reason = "deadline_exceeded"
	ReasonNotReady       Reason = "not_ready_in_time"
	ReasonNoUpstream     Reason = "no_upstream"
	ReasonBudget         Reason = "retry_budget_exhausted"
	ReasonFailed         Reason = "upstream_failed"
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	ReasonRateLimited    Reason = "rate_limited"
	ReasonStale          Reason = "stale_configuration"
	ReasonKeyWithdrawn   Reason = "key_withdrawn"
	ReasonStopping       Reason = "stopping"
	// ReasonReleaseGone is the reason if no upstream is left of the release that began a stream, and ReasonReleaseUnknown if
	// it is not known which release that is.
	ReasonReleaseGone    Reason = "stream_release_gone"
	ReasonReleaseUnknown Reason = "stream_release_unknown"
	// ReasonRequestLimit is the reason if the request limit of an upstream keeps a request from being served.
	ReasonRequestLimit Reason = "upstream_request_limit"
	// ReasonPartQuarantined is the reason if a part of the prompt is quarantined, ReasonRequestQuarantined if the request
	// itself is, and ReasonSuspected if it may have crashed an engine.
	ReasonPartQuarantined    Reason = "prompt_part_quarantined"
	ReasonRequestQuarantined Reason = "request_quarantined"
	ReasonSuspected          Reason = "suspected_of_crash"
)

// Decision is the next step for a request: an attempt at an upstream, or a refusal.
type Decision struct {
	Request *Request
	// Upstream is set for an attempt.
	Upstream *Target
	// Attempt is the number of the attempt, starting at 1.
	Attempt int
	// UpstreamLoad is the estimated number of requests of all hosts at the upstream, without this one.
	// OthersAge is the age of the last report about the requests of the other hosts, zero if there is none.
	UpstreamLoad float64
	OthersAge    time.Duration
	// Alternatives is the number of other upstreams that serve the request and are not ejected.
	Alternatives int
	// LimitStamp is the result of RequestLimits.Take for the attempt.
	LimitStamp uint64
	// LastAttempt is set if the request may be retried only if this attempt is proven not to have run.
	LastAttempt bool
	// Refusal is the final answer to a refused request.
	Refusal *entity.Refusal
	Reason  Reason
	// ReadyIn is set for ReasonNotReady and ReasonRequestLimit: the estimated time until an upstream serves the request, zero if
	// there is no estimate.
	ReadyIn time.Duration
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Request entity.RequestID
	Outcome entity.Outcome
	// Unreachable is set if no connection to the upstream could be established.
	Unreachable bool
	// NotLoaded is set if the model or adapter was not loaded at the upstream.
	NotLoaded bool
	// NoFreeSlot is set if the upstream had no free slot.
	NoFreeSlot bool
	// Broken is set if the attempt ended without an answer, which counts as a failure of the upstream.
	Broken bool
	// Answering is set if the attempt broke after the head of an answer and before its first event.
	Answering bool
	// Release is set if events of the answer have arrived: only upstreams of this release may continue it.
	Release entity.Release
	// TimedOut is set if the upstream did not answer in the expected time.
	TimedOut bool
	// Status is the HTTP status of the answer, zero if there is none. A status of 500 or above counts as a
	// failure of the upstream.
	Status int
}

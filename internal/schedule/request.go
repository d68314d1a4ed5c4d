package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// PoolID names a set of interchangeable targets: the replicas of one model that have one
// adapter ready, or the plain services of one kind.
type PoolID struct {
	Model   entity.ModelID
	Adapter entity.AdapterID
	// Kind is set for plain services only.
	Kind string
}

// Request is one row of the request table.
type Request struct {
	ID        entity.RequestID
	Workspace entity.WorkspaceID
	Key       entity.KeyID
	Pool      PoolID
	Class     entity.Class
	Arrived   time.Time
	Deadline  time.Time
	// Tokens is the cost of the request in fair queueing.
	Tokens float64
	// Bytes counts against the bound on queued bodies.
	Bytes int64
	// Idempotent requests may be repeated after a failed or unknown attempt.
	Idempotent bool
	// Prefix identifies the start of the prompt for cache affinity; zero means none.
	Prefix uint64

	running  bool
	canceled bool
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	attempts   int
	started    time.Time
	target     *target
	// avoid is the upstream of the last attempt; other targets are preferred to it.
	avoid       entity.UpstreamID
	flowIndex   int
	expiryIndex int
}

// refusal fills in whether the request may have run.
func (r *Request) refusal(status int, code, message string, retryAfter time.Duration) entity.Refusal {
	ran := entity.NotRun
	if r.mayHaveRun || r.running {
		ran = entity.RanUnknown
	}
	return entity.Refusal{Status: status, Code: code, Message: message, Ran: ran, RetryAfter: retryAfter}
}

// urgent says whether a patient request has waited so long that it competes with interactive
// requests. Without this, steady interactive load would starve patient work.
func (r *Request) urgent(now time.Time) bool {
	total := r.Deadline.Sub(r.Arrived)
	return now.Sub(r.Arrived) > total/2
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Request entity.RequestID
	Outcome entity.Outcome
	// Reason is the upstream's code, or a short description of the failure.
	Reason string
	// Started says that a part of the answer has reached the caller, so that another attempt
	// could not be joined to it.
	Started bool
	// Unreachable says that the upstream did not accept a connection.
	Unreachable bool
}

// Reasons of an upstream that a model is not served there. The target is dropped until the
// placement lists it again.
const (
	ReasonNotLoaded = "not_loaded"
	ReasonDraining  = "draining"
)

// expiryHeap orders all requests by deadline.
type expiryHeap []*Request

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*Request)
	r.expiryIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.expiryIndex = -1
	return r
}

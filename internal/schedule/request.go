package schedule

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// PoolID identifies a set of interchangeable targets: the replicas of one model that have a given adapter
// ready, or the plain services of one kind.
type PoolID struct {
	Model   entity.ModelID
	Adapter entity.AdapterID
	// Kind is set for plain services only.
	Kind string
}

// Request is one entry of the request table.
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
	// Bytes is the size of the request that counts against the bound on the bytes of all queued requests.
	Bytes int64
	// Idempotent is set if the request may be repeated after a failed attempt or one with an unknown outcome.
	Idempotent bool
	// Prefix identifies the start of the prompt. A request prefers an upstream that probably has the start of its
	// prompt cached. Zero means no preference.
	Prefix uint64

	running bool
	// canceled is set on a running request that was refused or whose caller has left. Its attempt gets no retry.
	canceled bool
	// mayHaveRun is set once an attempt has ended without proof that the upstream did not run it.
	mayHaveRun bool
	attempts   int
	started    time.Time
	target     *target
	// avoidUpstream is the upstream of the last attempt. Other targets are preferred to it.
	avoidUpstream entity.UpstreamID
	// flowIndex and expiryIndex are the positions in the heap of the flow and in the expiry heap; -1 means that
	// the request is not there.
	flowIndex   int
	expiryIndex int
}

// refusal returns a refusal that states whether the request may have run.
func (r *Request) refusal(status int, code, message string, retryAfter time.Duration) entity.Refusal {
	ran := entity.NotRun
	if r.mayHaveRun || r.running {
		ran = entity.RanUnknown
	}
	return entity.Refusal{Status: status, Code: code, Message: message, Ran: ran, RetryAfter: retryAfter}
}

// isUrgent reports whether a patient request has waited for more than half of its time to the deadline. An
// urgent request competes with interactive ones; otherwise steady interactive load would starve patient
// requests.
func (r *Request) isUrgent(now time.Time) bool {
	total := r.Deadline.Sub(r.Arrived)
	return now.Sub(r.Arrived) > total/2
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Request entity.RequestID
	Outcome entity.Outcome
	// Reason is the error code that the upstream sent, or a short description of the failure.
	Reason string
	// AnswerStarted is set if a part of the answer has reached the caller. The answer of another attempt could
	// not continue it.
	AnswerStarted bool
	// Unreachable is set if the upstream did not accept a connection.
	Unreachable bool
}

// Reasons with which an upstream reports that it does not serve a model. The scheduler drops the target until
// the placement lists it again.
const (
	ReasonNotLoaded = "not_loaded"
	ReasonDraining  = "draining"
)

// expiryHeap orders the queued and running requests by deadline. A running request that was ended with a refusal is no
// longer in it.
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

package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fairshare"
)

// requestHeap orders waiting requests by rank, then by arrival. It keeps the position of each request in the field that
// index returns, -1 for one that it has removed.
type requestHeap struct {
	requests []*Request
	index    func(*Request) *int
}

func queueIndex(r *Request) *int     { return &r.index }
func workspaceIndex(r *Request) *int { return &r.workspaceIndex }

func (h *requestHeap) Len() int { return len(h.requests) }

func (h *requestHeap) Less(i, j int) bool {
	a, b := h.requests[i], h.requests[j]
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Arrived.Before(b.Arrived)
}

func (h *requestHeap) Swap(i, j int) {
	h.requests[i], h.requests[j] = h.requests[j], h.requests[i]
	*h.index(h.requests[i]) = i
	*h.index(h.requests[j]) = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	*h.index(r) = len(h.requests)
	h.requests = append(h.requests, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(h.requests) - 1
	r := h.requests[last]
	h.requests[last] = nil
	h.requests = h.requests[:last]
	*h.index(r) = -1
	return r
}

// queue holds the waiting requests of one pool.
type queue struct {
	pool    Pool
	waiting requestHeap
	// byWorkspace holds the same requests by workspace, nil if capacity is not shared by workspace.
	byWorkspace map[entity.WorkspaceID]*requestHeap
}

func (q *queue) push(r *Request) {
	heap.Push(&q.waiting, r)
	if q.byWorkspace == nil {
		return
	}
	h := q.byWorkspace[r.Workspace]
	if h == nil {
		h = &requestHeap{index: workspaceIndex}
		q.byWorkspace[r.Workspace] = h
	}
	heap.Push(h, r)
}

func (q *queue) remove(r *Request) {
	if r.index < 0 {
		return
	}
	heap.Remove(&q.waiting, r.index)
	if q.byWorkspace == nil {
		return
	}
	h := q.byWorkspace[r.Workspace]
	heap.Remove(h, r.workspaceIndex)
	if h.Len() == 0 {
		delete(q.byWorkspace, r.Workspace)
	}
}

// head returns the request that is served first, or nil.
func (q *queue) head() *Request {
	if q.waiting.Len() == 0 {
		return nil
	}
	return q.waiting.requests[0]
}

// next returns the request that is served first, or nil. If requests of several workspaces wait, shares decide between the
// first requests of each.
func (s *Scheduler) next(q *queue, now time.Time) *Request {
	if s.opts.Shares == nil || len(q.byWorkspace) < 2 {
		return q.head()
	}
	var best sharedRequest
	for _, h := range q.byWorkspace {
		if r := s.shared(h.requests[0], now); best.request == nil || r.compare(best) < 0 {
			best = r
		}
	}
	return best.request
}

// nextEntitled is next among the workspaces that may take the last slots of upstreams. Rank may put one that may not before
// them.
func (s *Scheduler) nextEntitled(q *queue, now time.Time) *Request {
	var best sharedRequest
	for _, h := range q.byWorkspace {
		if s.yields(h.requests[0], now) {
			continue
		}
		if r := s.shared(h.requests[0], now); best.request == nil || r.compare(best) < 0 {
			best = r
		}
	}
	return best.request
}

// sharedRequest is the first waiting request of a workspace with its position by shares.
type sharedRequest struct {
	request  *Request
	position fairshare.Position
}

func (s *Scheduler) shared(r *Request, now time.Time) sharedRequest {
	l := s.opts.Shares.Ledger(r.Pool.Service)
	return sharedRequest{request: r, position: l.Position(fairshare.Request{Workspace: r.Workspace, Rank: r.Rank, Tokens: r.Tokens}, now)}
}

// compare returns a negative number if a is served before b.
func (a sharedRequest) compare(b sharedRequest) int {
	byShare := 0
	if a.request.Workspace != b.request.Workspace {
		byShare = a.position.Compare(b.position)
	}
	return cmp.Or(byShare, cmp.Compare(a.request.Rank, b.request.Rank), a.request.Arrived.Compare(b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
}

// queuesOf returns the queues of a service in the order in which free slots are offered to them: that of their creation, or
// if requests of several workspaces wait, that of their first requests by shares.
func (s *Scheduler) queuesOf(id catalog.ServiceID, now time.Time) []*queue {
	var queues []*queue
	for _, q := range s.queueOrder {
		if q.pool.Service == id {
			queues = append(queues, q)
		}
	}
	if s.opts.Shares == nil || len(queues) < 2 {
		return queues
	}
	heads := make(map[*queue]sharedRequest, len(queues))
	several := false
	for _, q := range queues {
		heads[q] = s.shared(s.next(q, now), now)
		several = several || len(q.byWorkspace) > 1 || heads[q].request.Workspace != heads[queues[0]].request.Workspace
	}
	if several {
		slices.SortStableFunc(queues, func(a, b *queue) int { return heads[a].compare(heads[b]) })
	}
	return queues
}

// SharedRequests counts the requests that shares put before older ones or ones of a higher rank in their queue, and those
// that were kept from the last slots of upstreams.
func (s *Scheduler) SharedRequests() (earlier, later int64) { return s.sharedEarlier, s.sharedLater }

// shareGiven records that a request is sent to an upstream.
func (s *Scheduler) shareGiven(r *Request, now time.Time) {
	if s.opts.Shares == nil {
		return
	}
	if s.queues[r.Pool].head() != r {
		s.sharedEarlier++
	}
	s.opts.Shares.Ledger(r.Pool.Service).Give(r.Workspace, fairshare.Amount{Tokens: max(r.Tokens, 1), Requests: 1}, now)
}

// shareNotGiven takes back what shareGiven has recorded for an attempt that is proven not to have run.
func (s *Scheduler) shareNotGiven(r *Request, now time.Time) {
	if s.opts.Shares != nil {
		s.opts.Shares.Ledger(r.Pool.Service).Give(r.Workspace, fairshare.Amount{Tokens: -max(r.Tokens, 1)}, now)
	}
}

// shareDemand records that a request has found no slot.
func (s *Scheduler) shareDemand(r *Request) {
	if s.opts.Shares != nil && r.Pool.Model != "" {
		s.opts.Shares.NoteDemand(fairshare.Demand{Model: fairshare.Model{Service: r.Pool.Service, Model: r.Pool.Model}, Workspace: r.Workspace})
	}
}

// nextServable returns the request of a queue that is served first, or nil if none can be served now. It saves the search
// among many workspaces while no upstream accepts a request.
func (s *Scheduler) nextServable(q *queue, now time.Time) *Request {
	if len(q.byWorkspace) > 1 && !s.anyAccepts(q.pool, now) {
		return nil
	}
	return s.next(q, now)
}

// anyAccepts reports whether any upstream of a pool accepts requests now.
func (s *Scheduler) anyAccepts(p Pool, now time.Time) bool {
	return slices.ContainsFunc(s.byService[p.Service], func(t *target) bool { return t.serves(p, now) && t.accepts(now) })
}

// yieldedSlots is the part of the slots of an upstream that a workspace over its share leaves free while others wait for
// the same model. A host learns of free slots at other hosts' upstreams only from the coordinator, every 200 ms, while the
// host whose request has ended could use the slot at once; without free slots it would keep it for its own requests.
const yieldedSlots = 0.125

// yields reports whether a request leaves the last slots of upstreams to other workspaces.
func (s *Scheduler) yields(r *Request, now time.Time) bool {
	return s.opts.Shares != nil && r.Pool.Model != "" && s.opts.Shares.Yields(fairshare.Model{Service: r.Pool.Service, Model: r.Pool.Model}, r.Workspace, now)
}

// sharesYield is yields for a request that is sent if it finds a slot. It counts the request once.
func (s *Scheduler) sharesYield(r *Request, now time.Time) bool {
	if !s.yields(r, now) {
		return false
	}
	if !r.yielded {
		r.yielded = true
		s.sharedLater++
	}
	return true
}

// lastSlot reports whether a request at an upstream would take one of the slots that are left to others. Unlike estimatedLoad
// it does not assume that requests of other hosts end between reports: new ones take their slots.
func (t *target) lastSlot() bool {
	slots := max(t.Slots, 1)
	left := min(max(int(yieldedSlots*float64(slots)), 1), slots-1)
	return float64(t.inflight)+t.othersLoad >= float64(slots-left)
}

// WorkspaceWaiting is the number of tokens that the waiting requests of one workspace take.
type WorkspaceWaiting struct {
	Workspace entity.WorkspaceID
	Tokens    float64
}

// maxWaitingWorkspaces bounds the workspaces of one pool that are reported.
const maxWaitingWorkspaces = 16

// workspacesWaiting returns the workspaces whose requests wait in a queue, those with the most tokens first.
func (q *queue) workspacesWaiting() []WorkspaceWaiting {
	out := make([]WorkspaceWaiting, 0, len(q.byWorkspace))
	for id, h := range q.byWorkspace {
		w := WorkspaceWaiting{Workspace: id}
		for _, r := range h.requests {
			w.Tokens += max(r.Tokens, 1)
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b WorkspaceWaiting) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(len(out), maxWaitingWorkspaces)]
}

// Waiting describes the waiting requests of one pool that this host can send to no upstream now.
type Waiting struct {
	Pool  Pool
	Count int
	// TimeToTarget is the time until every one of the requests exceeds the target latency of its route,
	// negative if all have exceeded it.
	TimeToTarget time.Duration
	// Workspaces lists the workspaces of the requests if capacity is shared by workspace.
	Workspaces []WorkspaceWaiting
}

package dispatch

import (
	"container/heap"
	"time"
)

// requestHeap orders the waiting requests of a pool by rank, then by arrival.
type requestHeap []*Request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].Rank != h[j].Rank {
		return h[i].Rank < h[j].Rank
	}
	return h[i].Arrived.Before(h[j].Arrived)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

// queue holds the waiting requests of one pool.
type queue struct {
	pool    Pool
	waiting requestHeap
}

func (q *queue) push(r *Request) { heap.Push(&q.waiting, r) }

func (q *queue) remove(r *Request) {
	if r.index >= 0 {
		heap.Remove(&q.waiting, r.index)
	}
}

// head returns the request that is served first, or nil.
func (q *queue) head() *Request {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Waiting describes the waiting requests of one pool that this host can send to no upstream now.
type Waiting struct {
	Pool  Pool
	Count int
	// TimeToTarget is the time until every one of the requests exceeds the target latency of its route,
	// negative if all have exceeded it.
	TimeToTarget time.Duration
}

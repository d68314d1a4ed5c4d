package schedule

import (
	"container/heap"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// flow holds the waiting requests of one workspace in one pool, by class and deadline.
type flow struct {
	workspace entity.WorkspaceID
	weight    float64
	// virtualFinish is the finish tag of the flow's last dispatched request under start-time fair queueing.
	virtualFinish float64
	// byClass holds the waiting requests of each class.
	byClass [2]requestHeap
}

func newFlow(ws entity.WorkspaceID, weight float64, fifo bool) *flow {
	f := &flow{workspace: ws, weight: weight}
	for c := range f.byClass {
		f.byClass[c].byArrival = fifo
	}
	return f
}

func (f *flow) push(r *Request) { heap.Push(&f.byClass[r.Class], r) }

func (f *flow) remove(r *Request) { heap.Remove(&f.byClass[r.Class], r.flowIndex) }

func (f *flow) len() int {
	return f.byClass[entity.Interactive].Len() + f.byClass[entity.Patient].Len()
}

// head returns the flow's next request in a tier, or nil. In the interactive tier, an urgent patient request
// is next when no interactive request of the flow waits.
func (f *flow) head(tier entity.Class, now time.Time) *Request {
	patient := f.byClass[entity.Patient].peek()
	if tier == entity.Patient {
		return patient
	}
	if r := f.byClass[entity.Interactive].peek(); r != nil {
		return r
	}
	if patient != nil && patient.isUrgent(now) {
		return patient
	}
	return nil
}

// requestHeap orders requests by deadline, or by arrival under the FIFO policy.
type requestHeap struct {
	items     []*Request
	byArrival bool
}

func (h *requestHeap) peek() *Request {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Len implements heap.Interface.
func (h *requestHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *requestHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byArrival {
		return a.Arrived.Before(b.Arrived)
	}
	return a.Deadline.Before(b.Deadline)
}

// Swap implements heap.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].flowIndex = i
	h.items[j].flowIndex = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.flowIndex = len(h.items)
	h.items = append(h.items, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	n := len(h.items) - 1
	r := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	r.flowIndex = -1
	return r
}

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
	// finish is the virtual time at which the flow's last dispatched request ends.
	finish  float64
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

// head returns the flow's next request in a tier. Patient requests enter the first tier once
// they are urgent.
func (f *flow) head(tier entity.Class, now time.Time) *Request {
	patient := f.byClass[entity.Patient].peek()
	if tier == entity.Patient {
		return patient
	}
	if r := f.byClass[entity.Interactive].peek(); r != nil {
		return r
	}
	if patient != nil && patient.urgent(now) {
		return patient
	}
	return nil
}

// requestHeap orders requests by deadline, or by arrival under the FIFO policy.
type requestHeap struct {
	rows      []*Request
	byArrival bool
}

func (h *requestHeap) peek() *Request {
	if len(h.rows) == 0 {
		return nil
	}
	return h.rows[0]
}

// Len implements heap.Interface.
func (h *requestHeap) Len() int { return len(h.rows) }

// Less implements heap.Interface.
func (h *requestHeap) Less(i, j int) bool {
	a, b := h.rows[i], h.rows[j]
	if h.byArrival {
		return a.Arrived.Before(b.Arrived)
	}
	return a.Deadline.Before(b.Deadline)
}

// Swap implements heap.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].flowIndex = i
	h.rows[j].flowIndex = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.flowIndex = len(h.rows)
	h.rows = append(h.rows, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	n := len(h.rows) - 1
	r := h.rows[n]
	h.rows[n] = nil
	h.rows = h.rows[:n]
	r.flowIndex = -1
	return r
}

package placement

import (
	"container/heap"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// timer marks one model or one upstream for the first tick at or after a time.
type timer struct {
	at       time.Time
	model    entity.ModelID
	upstream entity.UpstreamID
}

// timers is a heap with at most one entry per model or upstream and time.
type timers struct {
	heap timerHeap
	set  map[timer]struct{}
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// timerStep rounds timers up so that repeated requests for nearly the same time share one entry.
const timerStep = 50 * time.Millisecond

func (t *timers) add(x timer) {
	rounded := x.at.Truncate(timerStep)
	if rounded.Before(x.at) {
		rounded = rounded.Add(timerStep)
	}
	x.at = rounded
	if t.set == nil {
		t.set = map[timer]struct{}{}
	}
	if _, ok := t.set[x]; ok {
		return
	}
	t.set[x] = struct{}{}
	heap.Push(&t.heap, x)
}

func (p *Placer) wakeModel(at time.Time, id entity.ModelID) {
	p.timers.add(timer{at: at, model: id})
}

func (p *Placer) wakeUpstream(at time.Time, id entity.UpstreamID) {
	p.timers.add(timer{at: at, upstream: id})
}

func (p *Placer) popTimers() {
	for len(p.timers.heap) > 0 && !p.timers.heap[0].at.After(p.now) {
		x := heap.Pop(&p.timers.heap).(timer)
		delete(p.timers.set, x)
		if x.model != "" {
			p.touchModel(x.model)
			continue
		}
		p.touchUpstream(x.upstream)
	}
}

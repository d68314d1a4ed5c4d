package placement

import (
	"container/heap"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// timer marks one model or one upstream for processing in the first tick at or after a time.
type timer struct {
	at       time.Time
	model    entity.ModelID
	upstream entity.UpstreamID
}

// timers is a heap of timers that holds each timer at most once.
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

// timerStep is the granularity of timers. Times are rounded up to it, so that requests for nearly the same
// time share one timer.
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

// wakeModel schedules the model for processing at the given time.
func (p *Placer) wakeModel(at time.Time, id entity.ModelID) {
	p.timers.add(timer{at: at, model: id})
}

// wakeUpstream schedules the upstream for processing at the given time.
func (p *Placer) wakeUpstream(at time.Time, id entity.UpstreamID) {
	p.timers.add(timer{at: at, upstream: id})
}

// popTimers removes the timers that are due and marks their models and upstreams.
func (p *Placer) popTimers() {
	for len(p.timers.heap) > 0 && !p.timers.heap[0].at.After(p.now) {
		x := heap.Pop(&p.timers.heap).(timer)
		delete(p.timers.set, x)
		if x.model != "" {
			p.markModelDirty(x.model)
			continue
		}
		p.markUpstreamDirty(x.upstream)
	}
}

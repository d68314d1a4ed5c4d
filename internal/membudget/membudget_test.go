package membudget

import (
	"sync"
	"testing"
)

// Guards against reservations that together exceed the budget, and against bytes that are never returned.
func TestReservationsStayWithinBudget(t *testing.T) {
	const total, step = 1000, 7
	b := New(total)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			r := b.Reserve()
			for n := int64(step); r.GrowTo(n); n += step {
				if b.free.Load() > total {
					t.Error("more bytes are free than the budget has")
				}
			}
			r.Release()
			r.Release()
		})
	}
	wg.Wait()
	if b.Free() != total {
		t.Errorf("%d bytes are free after all reservations ended, want %d", b.Free(), total)
	}
	r := b.Reserve()
	if r.GrowTo(total+1) || !r.GrowTo(total) || !r.GrowTo(1) || b.Free() != 0 {
		t.Errorf("a reservation of the whole budget leaves %d bytes, want 0", b.Free())
	}
	var unbounded *Budget
	if r := unbounded.Reserve(); !r.GrowTo(1 << 40) {
		t.Error("a reservation without a budget is bounded")
	}
}

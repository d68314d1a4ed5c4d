package engine

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// FaultRefuse answers 503 "refused", proven not run.
	FaultRefuse = "refuse"
	// FaultFail runs the request and answers 500.
	FaultFail = "fail"
	// FaultHang takes the request, runs it and sends no byte for DelayMS, or until the
	// connection is closed by the other side or the engine stops when DelayMS is zero.
	FaultHang = "hang"
	// FaultBreak closes the connection after Tokens tokens; the engine goes on generating.
	FaultBreak = "break"
	// FaultDelay waits DelayMS before the request is looked at.
	FaultDelay = "delay"
	// FaultLate keeps the finished answer back for DelayMS.
	FaultLate = "late"
	// FaultCross exchanges the answers of two requests, with their request IDs.
	FaultCross = "cross"
	// FaultTruncate ends the answer after half of it, or after Tokens tokens of a stream.
	FaultTruncate = "truncate"
	// FaultSlowLoad multiplies load times by Factor.
	FaultSlowLoad = "slow_load"
	// FaultOrderLost applies an order and closes the connection without an answer.
	FaultOrderLost = "order_lost"
	// FaultOrderDelay keeps an order back for DelayMS before it is applied.
	FaultOrderDelay = "order_delay"
	// FaultStop kills the engine at once; it can only be started again through the Go API.
	FaultStop = "stop"
	// FaultRestart kills the engine and starts it again after DelayMS.
	FaultRestart = "restart"
	// FaultLeaving makes the engine refuse new work; FaultStaying ends that.
	FaultLeaving = "leaving"
	FaultStaying = "staying"
)

var requestFaults = []string{
	FaultRefuse, FaultFail, FaultHang, FaultBreak, FaultDelay, FaultLate, FaultCross,
	FaultTruncate, FaultSlowLoad, FaultOrderLost, FaultOrderDelay,
}

var actionFaults = []string{FaultStop, FaultRestart, FaultLeaving, FaultStaying}

// Fault is one fault. A fault of a kind replaces the former fault of that kind.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of requests or loads it applies to; zero means until cleared.
	Count int `json:"count,omitempty"`
	// Model limits the fault to one model, as named in requests; empty means all.
	Model   string  `json:"model,omitempty"`
	Tokens  int     `json:"tokens,omitempty"`
	DelayMS int64   `json:"delay_ms,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// FaultsRequest is the body of POST /standin/faults: clears first if asked to, then sets.
type FaultsRequest struct {
	Clear bool    `json:"clear"`
	Set   []Fault `json:"set"`
}

type faults struct {
	mu sync.Mutex
	// active maps kinds to the fault and the uses left; -1 means no limit.
	active  map[string]*activeFault
	crossed chan *crossing
}

type activeFault struct {
	Fault
	left int
}

type crossing struct {
	mine   *stream
	theirs chan *stream
}

func newFaults() *faults {
	return &faults{active: map[string]*activeFault{}, crossed: make(chan *crossing)}
}

// SetFault sets a fault or carries out an action fault.
func (e *Engine) SetFault(f Fault) error {
	switch {
	case slices.Contains(requestFaults, f.Kind):
		e.faults.set(f)
	case slices.Contains(actionFaults, f.Kind):
		e.act(f)
	default:
		return fmt.Errorf("unknown fault %q: allowed are %s", f.Kind,
			strings.Join(append(append([]string{}, requestFaults...), actionFaults...), ", "))
	}
	return nil
}

// ClearFaults removes all faults; it does not start a stopped engine.
func (e *Engine) ClearFaults() {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	clear(e.faults.active)
}

func (e *Engine) act(f Fault) {
	switch f.Kind {
	case FaultLeaving:
		e.SetLeaving(true)
	case FaultStaying:
		e.SetLeaving(false)
	case FaultStop:
		e.Stop()
	case FaultRestart:
		_ = e.restartAfter(f.delay())
	}
}

func (f *faults) set(x Fault) {
	left := x.Count
	if left == 0 {
		left = -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[x.Kind] = &activeFault{x, left}
}

// take returns the fault of a kind for a model and uses it up by one.
func (f *faults) take(kind, model string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.active[kind]
	if a == nil || (a.Model != "" && a.Model != model) {
		return Fault{}, false
	}
	if a.left > 0 {
		a.left--
	}
	if a.left == 0 {
		delete(f.active, kind)
	}
	return a.Fault, true
}

func (f *faults) loadFactor(model string) float64 {
	if x, ok := f.take(FaultSlowLoad, model); ok && x.Factor > 0 {
		return x.Factor
	}
	return 1
}

// crossTimeout bounds the wait for the second request of a pair.
const crossTimeout = 2 * time.Second

// cross returns the stream that is answered in place of st: that of another request which
// meets the same fault, or st itself when none comes in time.
func (f *faults) cross(st *stream) *stream {
	if _, ok := f.take(FaultCross, st.model); !ok {
		return st
	}
	c := &crossing{mine: st, theirs: make(chan *stream, 1)}
	timer := time.NewTimer(crossTimeout)
	defer timer.Stop()
	select {
	case other := <-f.crossed:
		other.theirs <- st
		return other.mine
	case f.crossed <- c:
		return <-c.theirs
	case <-timer.C:
		return st
	}
}

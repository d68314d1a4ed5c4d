package engine

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kinds of faults. The proof that a request was not run is the header HeaderRan with the value "no".
const (
	// FaultRefuse answers 503 "refused" with the proof that the request was not run.
	FaultRefuse = "refuse"
	// FaultFail runs the request and answers 500.
	FaultFail = "fail"
	// FaultHang runs the request but sends no byte for DelayMS. If DelayMS is zero, no byte is sent until the
	// client closes the connection or the engine stops.
	FaultHang = "hang"
	// FaultBreak closes the connection after Tokens tokens of a stream were sent, or of an unstreamed answer were
	// generated. The engine continues to generate tokens.
	FaultBreak = "break"
	// FaultDelay waits DelayMS before the request is handled.
	FaultDelay = "delay"
	// FaultLate sends the answer DelayMS after it is complete.
	FaultLate = "late"
	// FaultCross exchanges the answers of two requests, including the request IDs in them.
	FaultCross = "cross"
	// FaultTruncate ends an unstreamed answer after half of its body and a stream after Tokens tokens.
	FaultTruncate = "truncate"
	// FaultSlowLoad multiplies the load times of models by Factor.
	FaultSlowLoad = "slow_load"
	// FaultOrderLost applies an order and closes the connection without an answer.
	FaultOrderLost = "order_lost"
	// FaultOrderDelay applies an order DelayMS after it has arrived.
	FaultOrderDelay = "order_delay"
	// FaultStop stops the engine as Stop does. It can only be started again through the Go API.
	FaultStop = "stop"
	// FaultRestart stops the engine as Stop does and starts it again after DelayMS.
	FaultRestart = "restart"
	// FaultLeaving makes the engine refuse new requests; FaultStaying makes it accept them again.
	FaultLeaving = "leaving"
	FaultStaying = "staying"
)

var requestFaults = []string{
	FaultRefuse, FaultFail, FaultHang, FaultBreak, FaultDelay, FaultLate, FaultCross,
	FaultTruncate, FaultSlowLoad, FaultOrderLost, FaultOrderDelay,
}

var actionFaults = []string{FaultStop, FaultRestart, FaultLeaving, FaultStaying}

// Fault is one fault to inject. It replaces an earlier fault of the same kind.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of requests or loads that the fault applies to. With zero it applies until it is
	// cleared.
	Count int `json:"count,omitempty"`
	// Model limits the fault to one model, as named in requests; empty means all.
	Model   string  `json:"model,omitempty"`
	Tokens  int     `json:"tokens,omitempty"`
	DelayMS int64   `json:"delay_ms,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// FaultsRequest is the body of POST /standin/faults. If Clear is true, all faults are removed before those in
// Set are set.
type FaultsRequest struct {
	Clear bool    `json:"clear"`
	Set   []Fault `json:"set"`
}

// faults holds the faults that are set.
type faults struct {
	mu sync.Mutex
	// active has at most one fault of each kind.
	active map[string]*activeFault
	// exchanges passes the first request of a FaultCross pair to the second one.
	exchanges chan *answerExchange
}

// activeFault is a fault and the number of requests or loads that it still applies to; -1 means no limit.
type activeFault struct {
	Fault
	usesLeft int
}

// answerExchange offers the answer of one request in exchange for that of another.
type answerExchange struct {
	offered  *stream
	obtained chan *stream
}

func newFaults() *faults {
	return &faults{active: map[string]*activeFault{}, exchanges: make(chan *answerExchange)}
}

// SetFault sets a fault that applies to later requests or loads, or carries out an action such as FaultStop.
func (e *Engine) SetFault(f Fault) error {
	switch {
	case slices.Contains(requestFaults, f.Kind):
		e.faults.set(f)
	case slices.Contains(actionFaults, f.Kind):
		e.applyActionFault(f)
	default:
		return fmt.Errorf("unknown fault %q: allowed are %s", f.Kind,
			strings.Join(append(append([]string{}, requestFaults...), actionFaults...), ", "))
	}
	return nil
}

// ClearFaults removes all faults. It does not start a stopped engine.
func (e *Engine) ClearFaults() {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	clear(e.faults.active)
}

func (e *Engine) applyActionFault(f Fault) {
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

// consume returns the active fault of a kind if it applies to the model, and counts one use of it.
func (f *faults) consume(kind, model string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.active[kind]
	if a == nil || (a.Model != "" && a.Model != model) {
		return Fault{}, false
	}
	if a.usesLeft > 0 {
		a.usesLeft--
	}
	if a.usesLeft == 0 {
		delete(f.active, kind)
	}
	return a.Fault, true
}

// loadFactor returns the factor by which FaultSlowLoad extends the load time of the model, or 1.
func (f *faults) loadFactor(model string) float64 {
	if x, ok := f.consume(FaultSlowLoad, model); ok && x.Factor > 0 {
		return x.Factor
	}
	return 1
}

// exchangeTimeout limits how long the first request of a FaultCross pair waits for the second one.
const exchangeTimeout = 2 * time.Second

// exchangeAnswer returns the stream that is sent as the answer to st. Under FaultCross this is the stream of
// another request that is subject to the fault as well, or st itself if no such request arrives within
// exchangeTimeout.
func (f *faults) exchangeAnswer(st *stream) *stream {
	if _, ok := f.consume(FaultCross, st.model); !ok {
		return st
	}
	c := &answerExchange{offered: st, obtained: make(chan *stream, 1)}
	timer := time.NewTimer(exchangeTimeout)
	defer timer.Stop()
	select {
	case other := <-f.exchanges:
		other.obtained <- st
		return other.offered
	case f.exchanges <- c:
		return <-c.obtained
	case <-timer.C:
		return st
	}
}

package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const charsPerToken = 4

// ExpectedText returns the whole answer of n tokens that an engine gives to a request. The
// model is the string of the request body, with its adapter if any.
func ExpectedText(id entity.RequestID, model string, n int) string {
	return string(appendTokens(nil, textSeed(id, model), 0, n))
}

func textSeed(id entity.RequestID, model string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + model)
}

// appendTokens appends the tokens from..to of a text; each has three letters and a space.
func appendTokens(b []byte, seed uint64, from, to int) []byte {
	for i := from; i < to; i++ {
		h := mix(seed + uint64(i)*0x9e3779b97f4a7c15)
		b = append(b, 'a'+byte(h%26), 'a'+byte(h>>8%26), 'a'+byte(h>>16%26), ' ')
	}
	return b
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
	// phaseRefused means that the request never started.
	phaseRefused
	// phaseCanceled means that it was stopped after it had started.
	phaseCanceled
)

// stream is one request and the answer generated for it. Its tokens are derived from its
// identity, so that the buffer is only their count.
type stream struct {
	id           entity.RequestID
	model        string
	seed         uint64
	chat         bool
	prompt       string
	promptTokens int
	maxTokens    int
	priority     int
	arrival      uint64
	created      int64

	mu       sync.Mutex
	cond     *sync.Cond
	phase    phase
	produced int
	reason   string
}

func newStream(id entity.RequestID, model string) *stream {
	s := &stream{id: id, model: model, seed: textSeed(id, model), created: time.Now().Unix()}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// set moves the stream to a later phase; an ended stream does not change.
func (s *stream) set(p phase, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase >= phaseDone {
		return false
	}
	s.phase = p
	s.reason = reason
	s.cond.Broadcast()
	return true
}

// phaseCanceledFrom returns the phase to which a cancellation moves the stream. The engine's
// lock must be held, so that the stream does not start in between.
func phaseCanceledFrom(s *stream) phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseWaiting {
		return phaseRefused
	}
	return phaseCanceled
}

// ran says whether the request has started.
func (s *stream) ran() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != phaseWaiting && s.phase != phaseRefused
}

// produce adds n tokens and reports whether the stream is still running.
func (s *stream) produce(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseRunning {
		return false
	}
	s.produced += n
	s.cond.Broadcast()
	return true
}

// waitStarted blocks until the request runs or has ended.
func (s *stream) waitStarted() (phase, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.phase == phaseWaiting {
		s.cond.Wait()
	}
	return s.phase, s.reason
}

// waitEnded blocks until the request has ended.
func (s *stream) waitEnded() (phase, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.phase < phaseDone {
		s.cond.Wait()
	}
	return s.phase, s.reason
}

// waitBeyond blocks until more than from tokens exist or the request has ended.
func (s *stream) waitBeyond(from int) (produced int, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.produced <= from && s.phase < phaseDone {
		s.cond.Wait()
	}
	return s.produced, s.phase
}

// waitHeap orders waiting streams by priority, lowest value first, then by arrival.
type waitHeap []*stream

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waitHeap) Push(x any)   { *h = append(*h, x.(*stream)) }
func (h *waitHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

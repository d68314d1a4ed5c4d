package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const charsPerToken = 4

// ExpectedText returns the complete answer of n tokens that an engine gives to a request. The model is the
// string in the request body, including the adapter if there is one.
func ExpectedText(id entity.RequestID, model string, n int) string {
	return string(appendTokens(nil, textSeed(id, model), 0, n))
}

func textSeed(id entity.RequestID, model string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + model)
}

// appendTokens appends the tokens of a text from index from up to but not including index to. Each token has
// three letters and a space.
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
	// phaseCanceled means that the request was stopped after it had started.
	phaseCanceled
)

// stream is one request and the answer that is generated for it. The text of the tokens follows from the
// request ID and the model, so only the number of produced tokens is stored.
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

// setPhase moves the stream to a later phase and returns true. An ended stream does not change, and setPhase
// returns false.
func (s *stream) setPhase(p phase, reason string) bool {
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

// phaseAfterCancel returns the phase to which a cancellation moves the stream. The engine's lock must be held
// until the phase is set, so that the stream does not start in between.
func phaseAfterCancel(s *stream) phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseWaiting {
		return phaseRefused
	}
	return phaseCanceled
}

// hasStarted reports whether the request has started, even if it has ended since.
func (s *stream) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != phaseWaiting && s.phase != phaseRefused
}

// addTokens adds n tokens and reports whether the stream is still running. It adds nothing to a stream that
// is not.
func (s *stream) addTokens(n int) bool {
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

// waitBeyond blocks until more than from tokens have been produced or the request has ended.
func (s *stream) waitBeyond(from int) (produced int, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.produced <= from && s.phase < phaseDone {
		s.cond.Wait()
	}
	return s.produced, s.phase
}

// waitHeap is a heap of the waiting streams, ordered by priority, lowest value first, and then by arrival.
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

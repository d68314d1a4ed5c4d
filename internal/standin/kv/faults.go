package kv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Faults selects the faults of a Store. With the zero value the Store has none.
type Faults struct {
	// Refuse fails every call with an error that proves that the call was not applied.
	Refuse bool `json:"refuse"`
	// Drop applies no call and sends no answer. The caller of a write cannot know whether it was applied.
	Drop bool `json:"drop"`
	// DelayMillis delays every unary call before it is applied, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// LoseEvery is n if the Store sends no answer to every n-th write, which it applies. Zero means never.
	LoseEvery int `json:"lose_every"`
	// LoseProbability is the probability with which a write is applied without an answer. The random generator
	// is seeded with Seed whenever the faults are set.
	LoseProbability float64 `json:"lose_probability"`
	Seed            uint64  `json:"seed"`
	// FreezeWatches keeps watches open but delivers no events until the fault is cleared.
	FreezeWatches bool `json:"freeze_watches"`
	// StaleReads answers serializable ranges from the state at the time when the fault was set.
	StaleReads bool `json:"stale_reads"`
	// WritesPerSecond and ReadsPerSecond limit the rates of calls. Calls above the limit are refused with an
	// error that proves that they were not applied. The burst is one second of calls. Zero means no limit.
	// Keep-alives count as writes; ranges and the starts of watches count as reads.
	WritesPerSecond float64 `json:"writes_per_s"`
	ReadsPerSecond  float64 `json:"reads_per_s"`
}

var (
	errRefused     = errors.New("refused")
	errRateLimited = errors.New("rate limited")
	// errNoAnswer marks calls for which the Server closes the connection without an answer.
	errNoAnswer = errors.New("no answer")
)

// tokenBucket is a token bucket whose burst is one second of its rate, but at least one token.
type tokenBucket struct {
	level      float64
	refilledAt time.Time
}

// take refills the bucket and takes one token. It reports whether a token was available.
func (b *tokenBucket) take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate, 1)
	b.level = min(burst, b.level+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// SetFaults replaces the faults. A call that is already delayed stays delayed.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleState = s.copyState()
	}
	if !f.StaleReads {
		s.staleState = nil
	}
	s.faults = f
	s.rng = newRand(f.Seed)
	s.writesSinceLoss = 0
	now := s.opt.Now()
	s.writeBucket = tokenBucket{level: max(f.WritesPerSecond, 1), refilledAt: now}
	s.readBucket = tokenBucket{level: max(f.ReadsPerSecond, 1), refilledAt: now}
	s.wakeWatches()
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// beforeCall counts a call and applies the faults that act before the call is applied. It must not be called
// with s.mu held.
func (s *Store) beforeCall(ctx context.Context, kind kvstore.CallKind) error {
	s.counts.Add(kind)
	delay, err := s.admit(kind)
	if err != nil {
		return err
	}
	if delay > 0 && kind != kvstore.CallWatch {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return noAnswerError(kind)
	}
	return nil
}

// admit returns the error of a call that a fault refuses or drops, and otherwise the delay of the call.
func (s *Store) admit(kind kvstore.CallKind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	if f.Refuse {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errRefused)
	}
	b, rate := &s.readBucket, f.ReadsPerSecond
	if kind.IsWrite() || kind == kvstore.CallKeepAlive {
		b, rate = &s.writeBucket, f.WritesPerSecond
	}
	if !b.take(rate, s.opt.Now()) {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errRateLimited)
	}
	if f.Drop {
		return 0, noAnswerError(kind)
	}
	return time.Duration(f.DelayMillis) * time.Millisecond, nil
}

// noAnswerError returns the error of a call that gets no answer: the outcome of a write is unknown, all other
// calls can simply be repeated.
func noAnswerError(kind kvstore.CallKind) error {
	if kind.IsWrite() {
		return fmt.Errorf("%w: %w", kvstore.ErrUnknown, errNoAnswer)
	}
	return fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errNoAnswer)
}

// shouldLoseAnswer counts a write that has been applied for LoseEvery, and reports whether its answer is lost. It
// must be called with s.mu held.
func (s *Store) shouldLoseAnswer() bool {
	if s.faults.LoseEvery > 0 {
		s.writesSinceLoss++
		if s.writesSinceLoss >= s.faults.LoseEvery {
			s.writesSinceLoss = 0
			return true
		}
	}
	return s.faults.LoseProbability > 0 && s.rng.Float64() < s.faults.LoseProbability
}

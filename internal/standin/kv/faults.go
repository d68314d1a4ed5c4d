package kv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Faults selects how a Store misbehaves. The zero value is a healthy service.
type Faults struct {
	// Refuse fails every call before it is applied, in a way that proves it was not applied.
	Refuse bool `json:"refuse"`
	// Drop loses every call before it is applied; the caller of a write cannot know that.
	Drop bool `json:"drop"`
	// DelayMillis delays every unary call before it is applied, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// LoseEvery applies every Nth write and loses its answer; zero means never.
	LoseEvery int `json:"lose_every"`
	// LoseProbability applies a write and loses its answer with this probability, drawn from a
	// generator that is seeded with Seed whenever the faults are set.
	LoseProbability float64 `json:"lose_probability"`
	Seed            uint64  `json:"seed"`
	// FreezeWatches keeps watches open but delivers nothing until it is cleared.
	FreezeWatches bool `json:"freeze_watches"`
	// StaleReads answers serializable reads from the state at the time when it was set.
	StaleReads bool `json:"stale_reads"`
	// WritesPerSecond and ReadsPerSecond limit the calls; the calls above are refused and certainly
	// not applied. The burst is one second of calls. Zero means no limit. Keep-alives count as writes,
	// ranges and started watches as reads.
	WritesPerSecond float64 `json:"writes_per_s"`
	ReadsPerSecond  float64 `json:"reads_per_s"`
}

var (
	errRefused     = errors.New("refused")
	errRateLimited = errors.New("rate limited")
	// errLost marks calls that get no answer over HTTP.
	errLost = errors.New("no answer")
)

// bucket is a token bucket whose burst is one second of its rate.
type bucket struct {
	level float64
	last  time.Time
}

func (b *bucket) take(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate, 1)
	b.level = min(burst, b.level+rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// SetFaults replaces the faults; calls that are already delayed keep the former ones.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.stale = s.copyState()
	}
	if !f.StaleReads {
		s.stale = nil
	}
	s.faults = f
	s.rng = newRand(f.Seed)
	s.writesSinceLoss = 0
	now := s.opt.Now()
	s.writes = bucket{level: max(f.WritesPerSecond, 1), last: now}
	s.reads = bucket{level: max(f.ReadsPerSecond, 1), last: now}
	s.wakeWatches()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// enter counts a call and applies the faults that act before it. It must not be called with s.mu held.
func (s *Store) enter(ctx context.Context, kind kvstore.CallKind) error {
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
		return lost(kind)
	}
	return nil
}

func (s *Store) admit(kind kvstore.CallKind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	if f.Refuse {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errRefused)
	}
	b, rate := &s.reads, f.ReadsPerSecond
	if kind.IsWrite() || kind == kvstore.CallKeepAlive {
		b, rate = &s.writes, f.WritesPerSecond
	}
	if !b.take(rate, s.opt.Now()) {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errRateLimited)
	}
	if f.Drop {
		return 0, lost(kind)
	}
	return time.Duration(f.DelayMillis) * time.Millisecond, nil
}

// lost returns the error of a call whose answer never arrives.
func lost(kind kvstore.CallKind) error {
	if kind.IsWrite() {
		return fmt.Errorf("%w: %w", kvstore.ErrUnknown, errLost)
	}
	return fmt.Errorf("%w: %w", kvstore.ErrUnavailable, errLost)
}

// loseAnswer decides whether the answer of an applied write is lost. It is called with s.mu held.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseEvery > 0 {
		s.writesSinceLoss++
		if s.writesSinceLoss >= s.faults.LoseEvery {
			s.writesSinceLoss = 0
			return true
		}
	}
	return s.faults.LoseProbability > 0 && s.rng.Float64() < s.faults.LoseProbability
}

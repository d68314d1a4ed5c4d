package engine

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// WeightStoreOptions describes the weight store of one site.
type WeightStoreOptions struct {
	// LoadsPerSecond bounds the rate of started loads. Default 7.
	LoadsPerSecond float64
	// Parallel loads run at full speed together; n loads beyond it each run at Parallel/n of
	// the full speed. It is also the burst of LoadsPerSecond. Default 4.
	Parallel int
	// AdapterParallel adapter loads run at full speed together. Default 32.
	AdapterParallel int
	// TimeScale multiplies every load time and divides LoadsPerSecond. Default 1.
	TimeScale float64
}

// WeightStore is the rate-limited store that the engines of one site share. It also counts the
// replicas of each model over these engines. It is safe for concurrent use.
type WeightStore struct {
	opts     WeightStoreOptions
	loads    *sharedCapacity
	adapters *sharedCapacity

	mu       sync.Mutex
	nextSlot time.Time
	replicas map[entity.ModelID]int
	most     map[entity.ModelID]int
	slowdown float64
}

// NewWeightStore returns a store with defaults filled in.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	if o.LoadsPerSecond <= 0 {
		o.LoadsPerSecond = 7
	}
	if o.Parallel <= 0 {
		o.Parallel = 4
	}
	if o.AdapterParallel <= 0 {
		o.AdapterParallel = 32
	}
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	return &WeightStore{
		opts:     o,
		loads:    newSharedCapacity(o.Parallel),
		adapters: newSharedCapacity(o.AdapterParallel),
		replicas: map[entity.ModelID]int{},
		most:     map[entity.ModelID]int{},
		slowdown: 1,
	}
}

// SetSlowdown multiplies the time of loads that start from now on; 1 is the normal speed.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Replicas returns the number of engines that hold memory for the model now, and the most
// that held it at the same time. A replica counts from the accepted load order on.
func (s *WeightStore) Replicas(m entity.ModelID) (now, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[m], s.most[m]
}

// MaxReplicas returns for each model the most replicas that existed at the same time.
func (s *WeightStore) MaxReplicas() map[entity.ModelID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[entity.ModelID]int, len(s.most))
	for m, n := range s.most {
		out[m] = n
	}
	return out
}

// Load takes the time of one remote load whose bare time at full speed is bare, unscaled.
func (s *WeightStore) Load(ctx context.Context, bare time.Duration) error {
	wait, factor := s.reserveStart(time.Now())
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	return s.loads.run(ctx, s.scale(bare, factor))
}

// LoadAdapter takes the time of one adapter load whose bare time is bare, unscaled.
func (s *WeightStore) LoadAdapter(ctx context.Context, bare time.Duration) error {
	return s.adapters.run(ctx, s.scale(bare, 1))
}

func (s *WeightStore) scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * s.opts.TimeScale * factor)
}

// reserveStart returns how long the next load waits so that starts keep to the rate.
func (s *WeightStore) reserveStart(now time.Time) (time.Duration, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := time.Duration(float64(time.Second) * s.opts.TimeScale / s.opts.LoadsPerSecond)
	earliest := now.Add(-interval * time.Duration(s.opts.Parallel-1))
	if s.nextSlot.Before(earliest) {
		s.nextSlot = earliest
	}
	wait := s.nextSlot.Sub(now)
	s.nextSlot = s.nextSlot.Add(interval)
	return wait, s.slowdown
}

func (s *WeightStore) addReplica(m entity.ModelID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[m] += n
	s.most[m] = max(s.most[m], s.replicas[m])
}

// sharedCapacity runs work at full speed for up to full jobs and in proportion slower beyond.
type sharedCapacity struct {
	full    int
	mu      sync.Mutex
	active  int
	changed chan struct{}
}

func newSharedCapacity(full int) *sharedCapacity {
	return &sharedCapacity{full: full, changed: make(chan struct{})}
}

func (c *sharedCapacity) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active += n
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *sharedCapacity) speed() (float64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(1, float64(c.full)/float64(max(c.active, 1))), c.changed
}

func (c *sharedCapacity) run(ctx context.Context, work time.Duration) error {
	c.add(1)
	defer c.add(-1)
	for work > 0 {
		speed, changed := c.speed()
		began := time.Now()
		timer := time.NewTimer(time.Duration(float64(work) / speed))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
		work -= time.Duration(float64(time.Since(began)) * speed)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

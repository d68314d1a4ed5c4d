package engine

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// WeightStoreOptions describes the weight store of one site.
type WeightStoreOptions struct {
	// LoadsPerSecond limits the rate at which loads start. Default 7.
	LoadsPerSecond float64
	// Parallel is the number of loads that can run at full speed at once. If n loads run and n is larger,
	// each runs at Parallel/n of the full speed. Parallel is also the burst of LoadsPerSecond. Default 4.
	Parallel int
	// AdapterParallel is the number of adapter loads that can run at full speed at once. Default 32.
	AdapterParallel int
	// TimeScale multiplies every load time and divides LoadsPerSecond. Default 1.
	TimeScale float64
}

// WeightStore is the rate-limited store from which the engines of one site load weights. It also counts the
// replicas of each model over these engines. It is safe for concurrent use.
type WeightStore struct {
	opts     WeightStoreOptions
	loads    *sharedCapacity
	adapters *sharedCapacity

	mu          sync.Mutex
	nextStart   time.Time
	replicas    map[entity.ModelID]int
	maxReplicas map[entity.ModelID]int
	slowdown    float64
}

// NewWeightStore returns a weight store. Options that are not positive take their defaults.
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
		opts:        o,
		loads:       newSharedCapacity(o.Parallel),
		adapters:    newSharedCapacity(o.AdapterParallel),
		replicas:    map[entity.ModelID]int{},
		maxReplicas: map[entity.ModelID]int{},
		slowdown:    1,
	}
}

// SetSlowdown sets the factor by which the time of later remote model loads is multiplied. A factor of 1 is
// the normal speed.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Replicas returns the number of engines that currently have memory reserved for the model and the highest
// number that had at the same time. A replica counts from the accepted load order on.
func (s *WeightStore) Replicas(m entity.ModelID) (now, maxReplicas int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[m], s.maxReplicas[m]
}

// MaxReplicas returns for each model the highest number of replicas that existed at the same time.
func (s *WeightStore) MaxReplicas() map[entity.ModelID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[entity.ModelID]int, len(s.maxReplicas))
	for m, n := range s.maxReplicas {
		out[m] = n
	}
	return out
}

// Load blocks for the duration of one remote load. The parameter bare is the load time at full speed, without
// waiting and before the time scale is applied.
func (s *WeightStore) Load(ctx context.Context, bare time.Duration) error {
	wait, factor := s.reserveStart(time.Now())
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	return s.loads.run(ctx, s.scale(bare, factor))
}

// LoadAdapter blocks for the duration of one adapter load. The parameter bare is the load time at full speed,
// before the time scale is applied.
func (s *WeightStore) LoadAdapter(ctx context.Context, bare time.Duration) error {
	return s.adapters.run(ctx, s.scale(bare, 1))
}

func (s *WeightStore) scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * s.opts.TimeScale * factor)
}

// reserveStart returns how long the next load has to wait so that loads start at no more than LoadsPerSecond,
// and the slowdown factor that applies to it.
func (s *WeightStore) reserveStart(now time.Time) (time.Duration, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := time.Duration(float64(time.Second) * s.opts.TimeScale / s.opts.LoadsPerSecond)
	earliest := now.Add(-interval * time.Duration(s.opts.Parallel-1))
	if s.nextStart.Before(earliest) {
		s.nextStart = earliest
	}
	wait := s.nextStart.Sub(now)
	s.nextStart = s.nextStart.Add(interval)
	return wait, s.slowdown
}

func (s *WeightStore) addReplica(m entity.ModelID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[m] += n
	s.maxReplicas[m] = max(s.maxReplicas[m], s.replicas[m])
}

// sharedCapacity runs up to fullSpeedJobs loads at full speed. If more run at once, they share that capacity
// evenly.
type sharedCapacity struct {
	fullSpeedJobs int
	mu            sync.Mutex
	activeJobs    int
	// changed is closed and replaced whenever activeJobs changes.
	changed chan struct{}
}

func newSharedCapacity(fullSpeedJobs int) *sharedCapacity {
	return &sharedCapacity{fullSpeedJobs: fullSpeedJobs, changed: make(chan struct{})}
}

func (c *sharedCapacity) addJobs(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeJobs += n
	close(c.changed)
	c.changed = make(chan struct{})
}

// speed returns the current speed of each job and a channel that is closed when the speed may have changed.
func (c *sharedCapacity) speed() (float64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(1, float64(c.fullSpeedJobs)/float64(max(c.activeJobs, 1))), c.changed
}

// run blocks until a job has run whose duration at full speed is work, or until ctx ends.
func (c *sharedCapacity) run(ctx context.Context, work time.Duration) error {
	c.addJobs(1)
	defer c.addJobs(-1)
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

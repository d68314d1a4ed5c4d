package swap

import "time"

const (
	// firstParallel is the number of loads that the weight store is taken to carry at full speed before
	// one has ended.
	firstParallel = 4
	// mostParallel bounds what is learned.
	mostParallel = 64
	// slowLoad is how many times its nominal time a load takes from which on the store is taken to be
	// shared by more loads than it carries at full speed.
	slowLoad = 1.15
)

// parallelism learns how many loads the weight store carries at full speed: beyond that all of them
// take longer in proportion.
type parallelism struct{ full float64 }

func newParallelism() parallelism { return parallelism{full: firstParallel} }

// loads returns how many loads may run at once.
func (p parallelism) loads() int { return max(int(p.full+0.5), 1) }

// loadTime estimates a load beside others.
func (p parallelism) loadTime(nominal time.Duration, loads int) time.Duration {
	return time.Duration(float64(nominal) * max(float64(loads)/p.full, 1))
}

// ended takes over how long a load took that ran beside a number of loads, itself included.
func (p *parallelism) ended(took, nominal time.Duration, loads float64) {
	if nominal <= 0 {
		return
	}
	ratio := float64(took) / float64(nominal)
	switch {
	case ratio > slowLoad:
		p.full = min(max(loads/ratio, 1), mostParallel)
	case loads+0.5 >= p.full:
		p.full = min(loads+1, mostParallel)
	}
}

// noteStoreLoad learns from a load that has ended.
func (s *Swapper) noteStoreLoad(r *replica, t *task, now time.Time) {
	e := s.engine(r.up.Service)
	if !t.usesStore() || t.stage != stageLoading || e == nil || e.Models[t.model] == nil {
		return
	}
	beside := float64(t.beside+s.storeLoads()) / 2
	s.parallel.ended(now.Sub(t.started), e.Models[t.model].StoreLoad, max(beside, 1))
}

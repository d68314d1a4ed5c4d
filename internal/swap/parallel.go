package swap

import "time"

const (
	// initialParallelLoads is the assumed number of concurrent loads that the weight store serves at full
	// speed, until the first load has ended.
	initialParallelLoads = 4
	// maxParallelLoads bounds the estimate.
	maxParallelLoads = 64
	// slowLoadRatio is the ratio of actual to nominal load time above which the store is assumed to have
	// served more loads than it can serve at full speed.
	slowLoadRatio = 1.15
)

// parallelism estimates how many concurrent loads the weight store serves at full speed. Beyond that
// number, the time of all loads grows in proportion.
type parallelism struct{ fullSpeedLoads float64 }

func newParallelism() parallelism { return parallelism{fullSpeedLoads: initialParallelLoads} }

// maxLoads returns how many loads may run at once.
func (p parallelism) maxLoads() int { return max(int(p.fullSpeedLoads+0.5), 1) }

// loadTime estimates the duration of a load while a number of loads run, itself included.
func (p parallelism) loadTime(nominal time.Duration, loads int) time.Duration {
	return time.Duration(float64(nominal) * max(float64(loads)/p.fullSpeedLoads, 1))
}

// learn updates the estimate with a load that took a given time while a number of loads ran, itself
// included.
func (p *parallelism) learn(took, nominal time.Duration, loads float64) {
	if nominal <= 0 {
		return
	}
	ratio := float64(took) / float64(nominal)
	switch {
	case ratio > slowLoadRatio:
		p.fullSpeedLoads = min(max(loads/ratio, 1), maxParallelLoads)
	case loads+0.5 >= p.fullSpeedLoads:
		p.fullSpeedLoads = min(loads+1, maxParallelLoads)
	}
}

// learnFromStoreLoad updates the estimate of the weight store's parallelism with a load that has ended.
func (s *Swapper) learnFromStoreLoad(r *engineState, t *task, now time.Time) {
	e := s.engine(r.upstream.Service)
	if !t.usesStore() || t.stage != stageLoading || e == nil || e.Models[t.model] == nil {
		return
	}
	// The mean of the numbers of loads at the start and at the end of this load.
	concurrentLoads := float64(t.concurrentLoads+s.storeLoads()) / 2
	s.parallel.learn(now.Sub(t.started), e.Models[t.model].StoreLoad, max(concurrentLoads, 1))
}

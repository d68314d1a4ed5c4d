package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Saturation is the result of Saturate.
type Saturation struct {
	Complete uint64  `json:"complete"`
	Failed   uint64  `json:"failed"`
	Seconds  float64 `json:"seconds"`
}

// PerSecond returns the number of complete answers per second.
func (s Saturation) PerSecond() float64 { return float64(s.Complete) / s.Seconds }

// Saturate measures the highest rate that a target sustains. It sends requests of one class in a closed loop:
// each worker sends its next request when it has the answer to its last one. Latencies depend on the number of
// workers and are not recorded.
func Saturate(ctx context.Context, target string, c RequestClass, workers int, d time.Duration) (Saturation, error) {
	s := Scenario{Name: "saturate", Seed: 1, DurationSeconds: d.Seconds(), Targets: []string{target}, Classes: []RequestClass{c}}
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return Saturation{}, err
	}
	class := &s.Classes[0]
	cl := newClient(target, workers, defaultTimeout)
	began := time.Now()
	end := began.Add(d)
	var complete, failed atomic.Uint64
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			src := newSource(class, s.Seed, i, fmt.Sprint(i))
			for n := uint64(0); time.Now().Before(end) && ctx.Err() == nil; n++ {
				q := src.take(n)
				if cl.send(q, time.Now(), defaultTimeout, false).isComplete() {
					complete.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return Saturation{complete.Load(), failed.Load(), time.Since(began).Seconds()}, ctx.Err()
}

func (r result) isComplete() bool { return r.outcome == outcomeComplete }

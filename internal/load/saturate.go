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

// PerSecond is the rate of complete answers.
func (s Saturation) PerSecond() float64 { return float64(s.Complete) / s.Seconds }

// Saturate sends requests of one class in a closed loop: each of the workers sends its next
// request when it has the answer to the last one. The rate that comes out is what the target can
// do; the latencies mean nothing and are not kept.
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
				if cl.send(q, time.Now(), defaultTimeout, false).ok() {
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

func (r result) ok() bool { return r.verdict == complete }

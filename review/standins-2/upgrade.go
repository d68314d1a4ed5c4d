package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// coordinator returns the index of the host that holds the coordinator lease, -1 if none does.
func (s *Site) coordinator() int {
	for _, it := range s.store.Items("foxtailpass/coordinator/holder") {
		var holder struct {
			Host string `json:"host"`
		}
		_ = json.Unmarshal(it.Value, &holder)
		for i, h := range s.hosts {
			if h.Name == holder.Host {
				return i
			}
		}
	}
	return -1
}

// playUpgrade: all replicas run one version. A host freezes for some seconds, and meanwhile the first replica of the next
// version starts. The clients of the frozen host take their streams up at the other hosts.
func playUpgrade(s *Site, trouble bool) (bool, error) {
	const streams = 24
	key := "k1"
	replica := func(i int, version string) *Replica {
		return &Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Engine: true, Models: []string{"m0"}, Version: version, Events: 100, Interval: 100 * time.Millisecond, LoadTime: 570 * time.Millisecond}
	}
	if err := s.AddReplicas(4, func(i int) *Replica { return replica(i, "1.0") }); err != nil {
		return false, err
	}
	r := route("/live/", "streaming", "engines", 2, true, 20*time.Second)
	r["target_latency_ms"] = 500
	s.Configure(1, []any{r}, []any{engineService("engines", "m0")},
		[]any{tenant("w1", key)})
	if err := s.startHosts(); err != nil {
		return false, err
	}
	coordinator := s.coordinator()
	if coordinator < 0 {
		return false, errCannotRun
	}
	frozen := (coordinator + 1) % 3
	others := []int{coordinator, (coordinator + 2) % 3}
	s.log("host %s coordinates", s.hosts[coordinator].Name)
	const deadline = 20 * time.Second
	// The gap is the longest of two seconds, four times the objective and eight times the pause.
	ask := stream{path: "/live/", model: "m0", key: key, deadline: deadline, gap: 2 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, went := 0, 0
	for i := range streams {
		wg.Go(func() {
			began := time.Now()
			first := s.streamTry(frozen, ask)
			if first.complete || len(first.events) == 0 {
				return
			}
			next := s.streamTry(others[i%2], ask.again(deadline-time.Since(began), first))
			mu.Lock()
			defer mu.Unlock()
			taken++
			if len(next.events) > 0 {
				went++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		s.Signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { s.Signal(frozen, syscall.SIGCONT) })
	}
	time.Sleep(500 * time.Millisecond)
	err := s.AddReplicas(1, func(int) *Replica {
		x := replica(4, "1.1")
		x.Models = nil
		return x
	})
	if err != nil {
		return false, err
	}
	s.log("i-5 starts with version 1.1")
	time.Sleep(1600 * time.Millisecond)
	asked, begun := 0, 0
	for i := range 24 {
		wg.Go(func() {
			r := s.streamTry(others[i%2], ask)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if len(r.events) > 0 {
				begun++
			}
		})
	}
	wg.Wait()
	s.log("streams taken up: %d, went on: %d; new streams: %d, begun: %d", taken, went, asked, begun)
	fmt.Printf("taken up %d, went on %d; new %d, begun %d\n", taken, went, asked, begun)
	if begun == 0 || trouble && taken < 12 {
		return false, errCannotRun
	}
	return taken < 12 || float64(went)/float64(taken) >= 0.5*float64(begun)/float64(asked), nil
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playInPlace: half of the replicas, those with the model m1, are upgraded in place, one after the other: each stops and starts
// again under its ID and address with the next version. A host freezes for some seconds meanwhile, and goes on with its
// streams when it wakes.
func playInPlace(s *Site, trouble bool) (bool, error) {
	const streams, upgraded = 48, 4
	key := "k1"
	err := s.AddReplicas(8, func(i int) *Replica {
		r := &Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Engine: true, Models: []string{"m0"}, Version: "1.0", Events: 100, Interval: 100 * time.Millisecond, LoadTime: 570 * time.Millisecond}
		if i < upgraded {
			r.Models = append(r.Models, "m1")
		}
		return r
	})
	if err != nil {
		return false, err
	}
	s.Configure(1, []any{route("/patient/", "streaming", "engines", 2, true, 20*time.Second)}, []any{engineService("engines", "m0", "m1")}, []any{tenant("w1", key)})
	if err := s.startHosts(); err != nil {
		return false, err
	}
	// A coordinator that has just begun gives no orders to a replica that starts again.
	time.Sleep(12 * time.Second)
	coordinator := s.coordinator()
	if coordinator < 0 {
		return false, errCannotRun
	}
	frozen := (coordinator + 1) % 3
	s.log("host %s coordinates", s.hosts[coordinator].Name)
	const deadline = 20 * time.Second
	// The gap is the longest of two seconds, four times the objective and eight times the pause.
	ask := stream{path: "/patient/", model: "m1", key: key, deadline: deadline, gap: 10 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, complete, begun := 0, 0, 0
	for range streams {
		wg.Go(func() {
			began := time.Now()
			r := s.streamTry(frozen, ask)
			got := r.events
			if !r.complete && len(got) > 0 {
				next := s.streamTry(coordinator, ask.again(deadline-time.Since(began), r))
				got = append(got, next.events...)
				r.complete = next.complete
			}
			mu.Lock()
			defer mu.Unlock()
			if len(versions(got)) > 1 {
				mixed++
				s.log("the stream of attempt %s holds events from %v", r.attempt, sources(got))
			}
			if len(got) > 0 {
				begun++
			}
			if r.complete {
				complete++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		s.Signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { s.Signal(frozen, syscall.SIGCONT) })
	}
	for _, r := range s.replicas[:upgraded] {
		time.Sleep(420 * time.Millisecond)
		s.log("replica %s stops", r.ID)
		r.Crash()
		time.Sleep(300 * time.Millisecond)
		r.mu.Lock()
		r.Version = "1.1"
		r.mu.Unlock()
		if err := r.Start(); err != nil {
			return false, err
		}
		s.log("replica %s is back under its ID with version 1.1", r.ID)
	}
	// Other callers ask for the model, which the coordinator loads again.
	for i := range 16 {
		wg.Go(func() { s.streamTry((frozen+1+i%2)%3, ask) })
	}
	wg.Wait()
	s.log("streams begun %d, complete %d, with events of two versions %d", begun, complete, mixed)
	fmt.Printf("begun %d, complete %d, mixed %d\n", begun, complete, mixed)
	if begun < streams/2 {
		return false, errCannotRun
	}
	return mixed <= 2, nil
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playOutage: replicas of two software versions serve side by side. The store is down for some seconds, and streams begin at
// host a meanwhile. Host a is stopped after that as planned, and the clients of the streams that it cannot end in its grace
// period take them up at the other hosts, which are in touch again by then.
func playOutage(s *Site, trouble bool) (bool, error) {
	const streams = 24
	key := "k1"
	err := s.AddReplicas(4, func(i int) *Replica {
		return &Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Engine: true, Models: []string{"m0"}, Version: fmt.Sprintf("1.%d", i/2), Events: 100, Interval: 160 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	s.Configure(1, []any{route("/patient/", "streaming", "engines", 2, true, 20*time.Second)}, []any{engineService("engines", "m0")}, []any{tenant("w1", key)})
	if err := s.startHosts(); err != nil {
		return false, err
	}
	const deadline = 20 * time.Second
	ask := stream{path: "/patient/", model: "m0", key: key, deadline: deadline}
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, went := 0, 0
	if trouble {
		s.log("the store is down")
		s.store.GoAway()
	}
	down := time.Now()
	time.Sleep(2600 * time.Millisecond)
	for i := range streams {
		wg.Go(func() {
			began := time.Now()
			first := s.streamTry(0, ask)
			if first.complete || len(first.events) == 0 {
				return
			}
			// The client takes the stream up at another host, and once more at the third one after a Retry-After.
			next := s.streamTry(1+i%2, ask.again(deadline-time.Since(began), first))
			if left := deadline - time.Since(began); len(next.events) == 0 && next.retry > 0 && next.retry < left/3 {
				time.Sleep(next.retry)
				next = s.streamTry(2-i%2, ask.again(deadline-time.Since(began), first))
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if len(next.events) > 0 {
				went++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(down.Add(4500 * time.Millisecond)))
	if trouble {
		s.store.Return(false)
		s.log("the store is back")
		for _, r := range s.replicas {
			r.register()
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.Signal(0, syscall.SIGTERM)
	// The store has been back for longer than contact_timeout_ms when the streams at host a end with its process.
	<-s.hosts[0].done
	s.log("host %s has ended; records of streams at the store: %d", s.hosts[0].Name, len(s.store.Items(streamRecords)))
	asked, begun := 0, 0
	for i := range 12 {
		wg.Go(func() {
			r := s.streamTry(1+i%2, ask)
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
	if taken < 12 || begun == 0 {
		return false, errCannotRun
	}
	return float64(went)/float64(taken) >= 0.5*float64(begun)/float64(asked), nil
}

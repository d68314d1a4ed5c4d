package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// streamRecords is the prefix of the keys at which the hosts record streams; it is only used for the record of the case.
const streamRecords = "foxtailpass/streams/"

// playDrill: replicas of two software versions serve side by side. Streams begin at host a. In a drill the store goes away
// for a second and comes back from a copy that is some seconds old. Host a is stopped after that as planned, and the clients
// of the streams that it cannot end in its grace period take them up at the other hosts, which are in touch again by then.
func playDrill(s *Site, trouble bool) (bool, error) {
	const streams = 24
	key := "k1"
	err := s.AddReplicas(4, func(i int) *Replica {
		return &Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Engine: true, Models: []string{"m0"}, Version: fmt.Sprintf("1.%d", i/2), Events: 100, Interval: 160 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	s.Configure(1, []any{route("/patient/", "streaming", "engines", 2, true, 20*time.Second)}, []any{engineService("engines", "m0")},
		[]any{tenant("w1", key)})
	if err := s.startHosts(); err != nil {
		return false, err
	}
	s.store.SaveCopy()
	s.log("copy of the store made, revision %d", s.store.copies.revision)
	time.Sleep(1500 * time.Millisecond)
	const deadline = 20 * time.Second
	ask := stream{path: "/patient/", model: "m0", key: key, deadline: deadline}
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, went := 0, 0
	for range streams {
		wg.Go(func() {
			began := time.Now()
			first := s.streamTry(0, ask)
			if first.complete || len(first.events) == 0 {
				return
			}
			// The client takes the stream up at other hosts, and honours Retry-After.
			goesOn := false
			for n, host := range []int{1, 2} {
				left := deadline - time.Since(began)
				next := s.streamTry(host, ask.again(left, first))
				if len(next.events) > 0 {
					goesOn = true
					break
				}
				if n == 0 && next.retry > 0 && next.retry < left/3 {
					time.Sleep(next.retry)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if goesOn {
				went++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		s.log("the store goes away; records of streams there: %d", len(s.store.Items(streamRecords)))
		s.store.GoAway()
		time.Sleep(time.Second)
		s.store.Return(true)
		s.log("the store is back from the copy, era %d", s.store.era)
		for _, r := range s.replicas {
			r.register()
		}
		s.rewriteConfig()
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	s.Signal(0, syscall.SIGTERM)
	// The store has been back for longer than contact_timeout_ms when the streams at host a end with its process.
	<-s.hosts[0].done
	s.log("host %s has ended; records of streams at the store: %d", s.hosts[0].Name, len(s.store.Items(streamRecords)))
	beginTotal, begun := 0, 0
	var wg2 sync.WaitGroup
	for i := range 12 {
		wg2.Go(func() {
			r := s.streamTry(1+i%2, ask)
			mu.Lock()
			defer mu.Unlock()
			beginTotal++
			if len(r.events) > 0 {
				begun++
			}
		})
	}
	wg.Wait()
	wg2.Wait()
	s.log("streams taken up: %d, went on: %d; new streams: %d, begun: %d", taken, went, beginTotal, begun)
	fmt.Printf("taken up %d, went on %d; new %d, begun %d\n", taken, went, beginTotal, begun)
	if taken < 12 || beginTotal == 0 || begun == 0 {
		return false, errCannotRun
	}
	return float64(went)/float64(taken) >= 0.5*float64(begun)/float64(beginTotal), nil
}

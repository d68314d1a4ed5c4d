package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

// largePrompt is a number of prompt tokens that exceeds the memory of every replica.
const largePrompt = "9223372036854775807,1"

// largeRequests is the number of such requests.
const largeRequests = 6

// playCrash: a client asks for streams whose prompts are larger than the memory of any replica, and comes again at the next host
// when it gets no answer.
func playCrash() bool {
	s := newStore()
	unlimited := tenant("hule930", key)
	delete(unlimited, "rate_per_s")
	delete(unlimited, "burst")
	s.put("op/config", configuration(2, engines(), unlimited))
	// Replicas of one service differ in speed.
	for i := range 4 {
		r := newEngine(s, name("i-7f3a91c", i), "a", "v1")
		r.events, r.prefill, r.pause = 15, 30*time.Millisecond, 40*time.Millisecond
		if i > 1 {
			r.prefill, r.pause = 300*time.Millisecond, 160*time.Millisecond
		}
		r.start(model)
	}
	var registry []*replica
	for i := range 4 {
		r := &replica{id: name("i-55d0e2b", i), service: "registry", zone: "a", version: "v1", slots: 6, work: 250 * time.Millisecond, store: s}
		r.start()
		registry = append(registry, r)
	}
	startHosts(s, 3)
	settle()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sendStreams(stop, &wg) })
	var mu sync.Mutex
	cut := map[string]bool{}
	for _, h := range hosts {
		for range 7 {
			wg.Go(func() {
				for _, id := range sendOrders(h, stop) {
					mu.Lock()
					cut[id] = true
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(25 * time.Second)
	for i := range largeRequests {
		wg.Go(func() {
			for try := range len(hosts) {
				q := stream(fmt.Sprintf("very long register %d", i), 10*time.Second)
				if trouble {
					q.headers = map[string]string{"X-Foxtailpass-Token-Usage": largePrompt}
				}
				logf("try %d of large request %d", try+1, i)
				if r := send(hosts[(i+try)%len(hosts)], q); r.err == nil {
					return
				}
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	ended := 0
	for _, h := range hosts {
		select {
		case <-h.exited:
			ended++
			logf("the process of %s has ended by itself", h.name)
		default:
		}
	}
	lost := 0
	for _, r := range registry {
		for _, x := range r.begun() {
			if cut[x.id] {
				lost++
			}
		}
	}
	logf("%d of %d processes ended; %d orders from kept connections had been passed on and got no answer; more than 3 break the rule", ended, len(hosts), lost)
	return lost <= 3
}

// sendStreams sends streams to all hosts, from which they learn the speeds of the replicas.
func sendStreams(stop chan struct{}, wg *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		wg.Go(func() { send(hosts[i%len(hosts)], stream(fmt.Sprintf("register %d", i), 10*time.Second)) })
	}
}

// sendOrders sends orders one after the other on a kept connection, and returns the IDs of those after which the connection was
// closed without an answer. The first order on a connection does not count, as that was not kept.
func sendOrders(h *host, stop chan struct{}) (cut []string) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return cut
		default:
		}
		r := sendOn(transport, h, request{method: "POST", path: "/orders/tabs", key: key, deadline: 1500 * time.Millisecond, body: "order"})
		if r.err != nil {
			if n > 0 {
				cut = append(cut, r.id)
			}
			return cut
		}
		time.Sleep(20 * time.Millisecond)
	}
}

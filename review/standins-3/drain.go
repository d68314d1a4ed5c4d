package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain: a replica leaves. While it drains, another writer writes an entry with missing fields under its key.
func playDrain() bool {
	s := newStore()
	s.put("op/config", configuration(2, service("models"), tenant("hule930", key)))
	var replicas []*replica
	for i := range 4 {
		r := &replica{id: name("i-7f3a91c", i), service: "registry", zone: "a", version: "v1", slots: 6, work: 300 * time.Millisecond, store: s}
		r.start()
		replicas = append(replicas, r)
	}
	leaving := replicas[0]
	startHosts(s, 3)
	settle()
	var mu sync.Mutex
	answers, sentAt := map[string]response{}, map[string]time.Time{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			wg.Go(func() {
				at := time.Now()
				r := send(hosts[i%len(hosts)], request{method: "POST", path: "/orders/tabs", key: key, deadline: 1500 * time.Millisecond, body: fmt.Sprintf("order %d", i)})
				mu.Lock()
				answers[r.id], sentAt[r.id] = r, at
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	leaving.drain()
	accepted := time.Now()
	logf("the store has accepted that %s drains", leaving.id)
	// It serves for drain_timeout_ms and a little longer.
	time.Sleep(2600 * time.Millisecond)
	if trouble {
		s.put(leaving.key(), map[string]any{"service": "registry", "address": leaving.addr, "state": "ready"})
		logf("another writer has written an entry of %s with missing fields", leaving.id)
	}
	time.Sleep(1100 * time.Millisecond)
	leaving.end()
	s.drop(leaving.key())
	logf("%s has left", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	late, lost := 0, 0
	for _, x := range leaving.begun() {
		age := sentAt[x.id].Sub(accepted)
		if age <= 2*time.Second {
			continue
		}
		late++
		if x.cut {
			lost++
		}
		logf("order %s was sent %.3f s after the draining was accepted and reached %s; cut %v, status of its answer %d", x.id, age.Seconds(), leaving.id, x.cut, answers[x.id].status)
	}
	logf("%d orders reached the leaving replica later than drain_timeout_ms, %d of them were lost when it left; any breaks the rule", late, lost)
	return late == 0
}

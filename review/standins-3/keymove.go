package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["keymove"] = playKeyMove }

// playKeyMove: a new configuration takes a key away from one tenant and gives it to another, while requests with that key wait
// for a model.
func playKeyMove() bool {
	s := newStore()
	s.put("op/config", configuration(2, engines(), tenant("hule930", key), tenant("lohu111", otherKey)))
	for i := range 4 {
		r := newEngine(s, name("i-7f3a91c", i), "a", "v1")
		r.disk, r.events, r.pause = nil, 5, 100*time.Millisecond
		r.start(quietModel)
	}
	startHosts(s, 3)
	settle()
	var mu sync.Mutex
	answers := map[int]int{}
	var wg sync.WaitGroup
	const requests = 30
	for i := range requests {
		wg.Go(func() {
			r := send(hosts[i%len(hosts)], stream(fmt.Sprintf("register %d", i), 20*time.Second))
			mu.Lock()
			answers[r.status]++
			mu.Unlock()
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		s.put("op/config", configuration(3, engines(), tenant("hule930", otherKey), tenant("lohu111", key)))
		logf("a new configuration gives the key to another tenant")
	}
	wg.Wait()
	logf("requests by the status of their answers: %v", answers)
	logf("%d of %d requests ended with 401; more than 5 + one in 500 break the rule", answers[401], requests)
	return answers[401] <= 5+requests/500
}

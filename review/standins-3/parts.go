package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

// sharedParts is the number of parts of their prompts that the requests of one caller share.
const sharedParts = 9

// playParts: the replicas of one zone crash while requests of one caller wait there for their first events. Later the caller
// sends further requests, whose prompts share their parts.
func playParts() bool {
	s := newStore()
	s.put("op/config", configuration(2, engines(), tenant("hule930", key), tenant("lohu111", otherKey)))
	var zoneA []*replica
	for i, zone := range []string{"a", "a", "b", "b", "c", "c", "d", "d"} {
		r := newEngine(s, name("i-7f3a91c", i), zone, "v1")
		r.events, r.prefill, r.pause = 5, 700*time.Millisecond, 100*time.Millisecond
		if zone == "a" {
			zoneA = append(zoneA, r)
			r.start(model)
			continue
		}
		r.start(quietModel)
	}
	startHosts(s, 3)
	settle()
	quiet := stream("", 8*time.Second)
	quiet.key, quiet.model, quiet.parts = otherKey, quietModel, "77aa0001:60,77aa0002:60,"
	labels := stream("", 8*time.Second)
	labels.parts = ""
	for i := range sharedParts {
		labels.parts += fmt.Sprintf("%08x:20,", 0x5c1e07a0+i)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			q := labels
			q.body = fmt.Sprintf("register %d", i)
			send(hosts[i%len(hosts)], q)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, r := range zoneA {
			r.end()
		}
		logf("the replicas of zone a crashed")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, r := range zoneA {
			r.start()
		}
		logf("the replicas of zone a are back")
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	answers, others := map[int]int{}, map[int]int{}
	const later = 150
	for i := range later {
		wg.Go(func() {
			q := labels
			q.body = fmt.Sprintf("later register %d", i)
			r := send(hosts[i%len(hosts)], q)
			mu.Lock()
			answers[r.status]++
			mu.Unlock()
		})
		wg.Go(func() {
			q := quiet
			q.body = fmt.Sprintf("quiet register %d", i)
			r := send(hosts[(i+1)%len(hosts)], q)
			mu.Lock()
			others[r.status]++
			mu.Unlock()
		})
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	denied, requests := answers[422], 12+2*later
	logf("later requests of the caller by status: %v; those of another caller: %v", answers, others)
	logf("%d of %d requests ended with 422; more than 5 + one in 500 break the rule", denied, requests)
	return denied <= 5+requests/500
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder: the store is down for some seconds. Meanwhile replicas of a service crash one after the other and start again
// under their ids, with the next version of their software, and then the replica at which the streams run crashes.
func playOrder() bool {
	s := newStore()
	s.put("op/config", configuration(2, service("models"), tenant("hule930", key)))
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, &replica{id: name("i-7f3a91c", i), service: "models", zone: "a", version: "v1", slots: 32, events: 50, pause: 200 * time.Millisecond, store: s})
	}
	serving := replicas[3]
	serving.start()
	startHosts(s, 3)
	settle()
	var mu sync.Mutex
	var answers []response
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			q := stream(fmt.Sprintf("register %d", i), 15*time.Second)
			q.model = ""
			r := send(hosts[i%len(hosts)], q)
			mu.Lock()
			answers = append(answers, r)
			mu.Unlock()
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range replicas[:3] {
		r.start()
	}
	logf("three more replicas are added, all are v1")
	time.Sleep(3 * time.Second)
	if trouble {
		logf("the store is down")
		s.setDown(silent)
	}
	down := time.Now()
	time.Sleep(200 * time.Millisecond)
	for _, r := range replicas[:3] {
		r.end()
		logf("%s crashed", r.id)
		time.Sleep(500 * time.Millisecond)
		r.version = "v2"
		r.start()
		logf("%s started again under its id, as v2", r.id)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Until(down.Add(3200 * time.Millisecond)))
	serving.end()
	logf("%s crashed", serving.id)
	time.Sleep(time.Until(down.Add(4500 * time.Millisecond)))
	if trouble {
		s.setDown(up)
		logf("the store is back")
	}
	wg.Wait()
	mixed := 0
	for _, r := range answers {
		versions, events := eventVersions(r.body)
		logf("stream %s: %d events, written by %v", r.id, events, versions)
		if len(versions) > 1 {
			mixed++
		}
	}
	logf("%d of %d streams hold events of two versions; more than 2 break the rule", mixed, len(answers))
	return mixed <= 2
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["limit"] = playLimit }

const (
	// memoryMB is the memory of a replica for weights and adapters, as the sheet has it. Three models of a size within the
	// range of the sheet fill it but for 200 MB. An adapter has the size of the sheet.
	memoryMB  = 200000
	modelMB   = 66600
	adapterMB = 66
	// thirdModel is placed beside the two others.
	thirdModel = "ravo486f6a"
)

// playLimit: the platform has placed three models on each replica at the start. Then demand moves to adapters of one of them.
func playLimit() bool {
	s := newStore()
	e := engines()
	engine := e["inference_engine"].(map[string]any)
	engine["weights_size_mb"] = memoryMB
	models := []map[string]any{}
	for _, name := range []string{model, quietModel, thirdModel} {
		models = append(models, map[string]any{"name": name, "weights_size_mb": modelMB, "load_time_s": 6.0, "disk_load_s": 0.57, "warm_up_s": 0.44, "adapters": 56, "adapter_size_mb": adapterMB})
	}
	engine["models"] = models
	s.put("op/config", configuration(2, e, tenant("hule930", key)))
	var replicas []*replica
	for i := range 4 {
		r := newEngine(s, name("i-7f3a91c", i), "a", "v1")
		r.memoryMB, r.modelMB, r.adapterMB = memoryMB, modelMB, adapterMB
		r.events, r.pause = 20, 150*time.Millisecond
		r.disk = append(r.disk, thirdModel)
		r.start(model, quietModel, thirdModel)
		replicas = append(replicas, r)
	}
	startHosts(s, 3)
	settle()
	var mu sync.Mutex
	complete, asked := 0, 0
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			q := stream(fmt.Sprintf("register %d", i), 10*time.Second)
			switch {
			case i%2 == 0:
				q.model = quietModel
			case trouble && i > 20:
				// The demand moves to twenty adapters of the model.
				q.model = fmt.Sprintf("%s/a%d", model, 1+i/2%20)
			}
			r := send(hosts[i%len(hosts)], q)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if r.status == 200 && r.err == nil && lastEvent(r.body) == 20 {
				complete++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	overloaded := 0
	for _, r := range replicas {
		r.mu.Lock()
		if r.overloaded {
			overloaded++
		}
		r.mu.Unlock()
	}
	logf("%d of %d streams complete", complete, asked)
	logf("%d of %d replicas were ordered to load more than their %d MB hold; any breaks the rule", overloaded, len(replicas), memoryMB)
	return overloaded == 0
}

package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["takeup"] = playTakeUp }

// playTakeUp: the store turns one host away, which then loses power. Its clients take their streams up again at other hosts.
func playTakeUp() bool {
	s := newStore()
	s.put("op/config", configuration(2, engines(), tenant("hule930", key)))
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		r := newEngine(s, name("i-7f3a91c", i), "a", version)
		r.events, r.pause = 60, 200*time.Millisecond
		r.start(model)
	}
	startHosts(s, 3)
	settle()
	if trouble {
		s.setMode(hosts[0].storeAddr, silent)
		logf("the store turns %s away", hosts[0].name)
	}
	time.Sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	takenUp, wentOn, begun := 0, 0, 0
	var wg sync.WaitGroup
	const streams = 24
	for i := range streams {
		wg.Go(func() {
			went, again := takeUp(i)
			mu.Lock()
			defer mu.Unlock()
			if again {
				takenUp++
			}
			if went {
				wentOn++
			}
		})
	}
	time.Sleep(2500 * time.Millisecond)
	hosts[0].kill()
	logf("%s lost power", hosts[0].name)
	time.Sleep(500 * time.Millisecond)
	for i := range streams {
		wg.Go(func() {
			r := send(hosts[1+i%2], stream(fmt.Sprintf("new register %d", i), 3*time.Second))
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 && lastEvent(r.body) > 0 {
				begun++
			}
		})
	}
	wg.Wait()
	logf("%d of %d streams that were taken up went on; %d of %d new ones began", wentOn, takenUp, begun, streams)
	if takenUp < 12 {
		cannotRun("fewer than 12 streams were taken up")
	}
	return 2*wentOn*streams >= begun*takenUp
}

// takeUp sends a stream to the first host, and takes it up at another one when it breaks off. again reports whether it was
// taken up, and went whether it went on.
func takeUp(i int) (went, again bool) {
	sent := time.Now()
	q := stream(fmt.Sprintf("register %d", i), 20*time.Second)
	first := send(hosts[0], q)
	last := lastEvent(first.body)
	if first.status != 200 || last == 0 || first.err == nil {
		return false, false
	}
	q.headers = map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": first.id}
	for range 3 {
		q.deadline = 20*time.Second - time.Since(sent)
		r := send(hosts[1+i%2], q)
		if r.status == 200 {
			return lastEvent(r.body) > last, true
		}
		if r.retryAfter() == 0 {
			break
		}
		time.Sleep(r.retryAfter())
	}
	return false, true
}

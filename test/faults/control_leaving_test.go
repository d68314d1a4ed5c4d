package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// leavingBound is the time after which a leaving upstream must get no new work, counted from when the platform's
// list or the engine itself reports that it leaves. The requirement is "a few seconds".
const leavingBound = 3 * time.Second

// requestTimes returns the times at which an engine received chat completion requests.
func requestTimes(e *engine.Engine) []time.Time {
	var list []time.Time
	for _, r := range e.Received() {
		if r.URI == "/v1/chat/completions" {
			list = append(list, r.At)
		}
	}
	return list
}

// TestLeavingUpstream checks that a leaving upstream gets no new work after leavingBound, and that its
// models are loaded on other engines. Either the platform's list or the engine itself reports that the
// upstream leaves, and faults delay the update of the list.
func TestLeavingUpstream(t *testing.T) {
	const lag = 800 * time.Millisecond
	for _, c := range []struct {
		name string
		// leave, if not nil, runs before the list changes. It injects the fault of the case, or makes engine i
		// report that it leaves.
		leave func(s *harness.Site, i int)
		// list reports whether the platform's list announces that the engine leaves.
		list bool
	}{
		{"lagging list", nil, true},
		{"host cut from the platform", func(s *harness.Site, _ int) { s.Net.Cut(harness.PlatformLink(0)) }, true},
		{"watches frozen", func(s *harness.Site, _ int) { s.Store.SetFaults(kv.Faults{FreezeWatches: true}) }, true},
		{"reported by the engine", func(s *harness.Site, i int) { s.Engines[i].SetLeaving(true) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, store := engineOptions(3, 3000, true)
			o := harness.Options{Hosts: 3, Engines: list, Base: modelsDocument(2, 1000), RegistryLag: lag}
			s := parallelSite(t, o)
			d := followDecisions(s)
			key, _ := s.Key("clerks")
			for _, h := range s.Hosts {
				for m := range 2 {
					if a := h.Do(harness.Chat(key, fmt.Sprintf("m%d", m), 2, false)); a.Status != 200 {
						t.Fatalf("first request for a model: status %d, want 200: %s", a.Status, a.Body)
					}
				}
			}
			leaving := -1
			for i, e := range s.Engines {
				if len(e.Record().LoadsOf("m0")) > 0 {
					leaving = i
				}
			}
			var a answers
			trafficEnded := make(chan struct{})
			go func() {
				defer close(trafficEnded)
				for end := time.Now().Add(leavingBound + 3*time.Second); time.Now().Before(end); {
					for i, h := range s.Hosts {
						a.send(h, harness.Chat(key, fmt.Sprintf("m%d", i%2), 2, false))
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			time.Sleep(300 * time.Millisecond)
			if c.leave != nil {
				c.leave(s, leaving)
			}
			if c.list {
				up := s.Upstreams()
				up[leaving].State = config.UpstreamLeaving
				up[leaving].LeaveBy = time.Now().Add(10 * time.Second)
				s.SetUpstreams(up)
			}
			left := time.Now()
			<-trafficEnded
			got := a.wait()
			late := 0
			for _, at := range requestTimes(s.Engines[leaving]) {
				if at.After(left.Add(leavingBound)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("the leaving engine received %d requests more than %v after it started to leave", late, leavingBound)
			}
			if n := summary(got)["200 "]; n != len(got) {
				t.Errorf("want status 200 for all requests, answers: %v", summary(got))
			}
			if n := loadCount(s, "m0"); n != 2 {
				t.Errorf("the model of the leaving engine was loaded %d times, want 2: there, and once more elsewhere", n)
			}
			s.Store.SetFaults(kv.Faults{})
			// The replica on the leaving engine may exist at the same time as its replacement.
			checkPlacement(s, d, store, 2)
		})
	}
}

// TestLeavingWhileQueued checks that requests which are queued for a model are served by the replacement if the
// engine with its only replica leaves.
func TestLeavingWhileQueued(t *testing.T) {
	list, store := engineOptions(2, 3000, true)
	list[0].Slots, list[1].Slots = 1, 1
	s := parallelSite(t, harness.Options{Hosts: 2, Engines: list, Base: modelsDocument(1, 1000)})
	d := followDecisions(s)
	key, _ := s.Key("clerks")
	var a answers
	for range 10 {
		for _, h := range s.Hosts {
			a.send(h, harness.Chat(key, "m0", 100, false))
		}
	}
	s.Eventually(5*time.Second, "the first request runs", func() bool {
		return s.Engines[0].Record().Requests+s.Engines[1].Record().Requests > 0 && loadCount(s, "m0") > 0
	})
	up := s.Upstreams()
	for i, e := range s.Engines {
		if len(e.Record().LoadsOf("m0")) > 0 {
			up[i].State = config.UpstreamLeaving
			e.SetLeaving(true)
		}
	}
	s.SetUpstreams(up)
	if got := summary(a.wait()); got["200 "] != 20 {
		t.Errorf("want status 200 for all 20 requests, answers: %v", got)
	}
	checkPlacement(s, d, store, 2)
}

package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestCallersUnloadableModelRefusedAtOnce guards against a request that waits until its deadline although
// no engine can load its model.
func TestCallersUnloadableModelRefusedAtOnce(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	for i, h := range s.Hosts {
		a := h.Do(harness.Chat(key, "huge", 5, true))
		checkRefusal(t, fmt.Sprintf("host %d", i+1), a, immediateAnswerLimit, "not_ready_in_time")
		if a.Ran != "not-run" {
			t.Errorf("host %d: ran %q, want not-run", i+1, a.Ran)
		}
	}
}

// TestCallersSlowWeightStore guards against requests that outlive their deadline or are refused late while the
// weight store is slow. A request that can no longer be served must not wait for the rest of its deadline.
func TestCallersSlowWeightStore(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	for _, e := range s.Engines {
		if err := e.SetFault(engine.Fault{Kind: engine.FaultSlowLoad, Model: "cold", Factor: 8}); err != nil {
			t.Fatal(err)
		}
	}
	// The load takes 2.4 s. Requests with a deadline of 1.5 s cannot be served, those with 10 s can.
	deadlines := []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second}
	answers := burst(18, func(i int) harness.Answer {
		return s.Hosts[i%3].Do(chat(key, "cold", fmt.Sprint("m", i), 5, true, deadlines[i%9/3]))
	})
	for i, a := range answers {
		d := deadlines[i%9/3]
		if d == 10*time.Second {
			checkOwnAnswer(t, s, a, "cold", fmt.Sprint("m", i), 5)
			continue
		}
		checkRefusal(t, d.String(), a, d+immediateAnswerLimit, "not_ready_in_time", "deadline_exceeded")
	}
}

// TestCallersPlatformDownLong guards against lost or hanging requests during a long outage of the key-value
// service. Loaded models must be served; requests for other models must be refused in time, or be served once
// loads are possible again.
func TestCallersPlatformDownLong(t *testing.T) {
	testPlatformDown(t, kv.Faults{Refuse: true, FreezeWatches: true})
}

// TestCallersLeasesEndInOutage guards against all hosts failing closed at the same time when the key-value
// service refuses calls, but still ends leases and reports their end through watches. The hosts are running
// and linked to each other all the time.
func TestCallersLeasesEndInOutage(t *testing.T) {
	testPlatformDown(t, kv.Faults{Refuse: true})
}

func testPlatformDown(t *testing.T, f kv.Faults) {
	t.Helper()
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	s.Store.SetFaults(f)
	pending := make(chan harness.Answer, 1)
	go func() { pending <- s.Hosts[1].Do(chat(key, "cold", "waiting", 5, true, 20*time.Second)) }()
	// The outage is longer than the lease of 3 s and the freshness bound of 2 s.
	end := time.Now().Add(5 * time.Second)
	for i := 0; time.Now().Before(end) && !t.Failed(); i++ {
		answers := burst(6, func(j int) harness.Answer {
			if j < 3 {
				return s.Hosts[j].Do(chat(key, "warm", fmt.Sprint("w", i, j), 5, j == 0, 5*time.Second))
			}
			return s.Hosts[j-3].Do(chat(key, "cold", fmt.Sprint("c", i, j), 5, true, 500*time.Millisecond))
		})
		for j, a := range answers {
			if j < 3 {
				checkOwnAnswer(t, s, a, "warm", fmt.Sprint("w", i, j), 5)
				continue
			}
			checkRefusal(t, "cold model", a, 500*time.Millisecond+immediateAnswerLimit, "not_ready_in_time", "deadline_exceeded")
		}
	}
	s.Store.SetFaults(kv.Faults{})
	checkOwnAnswer(t, s, <-pending, "cold", "waiting", 5)
}

// TestCallersBurstAtAllHosts guards against dropped requests in a burst that exceeds the queues of the hosts: each
// request must be served, or refused immediately and not run.
func TestCallersBurstAtAllHosts(t *testing.T) {
	s := startSite(t, func(o *harness.Options) {
		o.Base = strings.Replace(strings.Replace(baseDocument, `"cold_start_ms": 300, "min`, `"cold_start_ms": 300, "slots": 2, "min`, 1),
			`"routes": {`, `"limits": {"queue_requests": 20}, "routes": {`, 1)
		setTokenInterval(o, 5*time.Millisecond)
	})
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	served := 0
	for i, a := range burst(180, func(i int) harness.Answer {
		return s.Hosts[i%3].Do(chat(key, "warm", fmt.Sprint("m", i), 40, i%2 == 0, 10*time.Second))
	}) {
		if a.Status == 200 {
			served++
			checkOwnAnswer(t, s, a, "warm", fmt.Sprint("m", i), 40)
			continue
		}
		checkRefusal(t, "burst", a, 2*immediateAnswerLimit, "queue_full", "backlog_too_long")
		if a.Ran != "not-run" || runsOf(s, fmt.Sprint("m", i)) != 0 {
			t.Errorf("refused request m%d: ran %q, runs %d, want not-run and no run", i, a.Ran, runsOf(s, fmt.Sprint("m", i)))
		}
	}
	if served < 60 || served == 180 {
		t.Errorf("%d of 180 requests were served, want at least the 60 that the queues hold, but not all", served)
	}
}

// TestCallersEngineKilledUnderLoad guards against requests that hang or get no answer when the engines restart
// while requests are queued and running.
func TestCallersEngineKilledUnderLoad(t *testing.T) {
	s := startSite(t, func(o *harness.Options) { setTokenInterval(o, 5*time.Millisecond) })
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	go func() {
		time.Sleep(150 * time.Millisecond)
		for _, e := range s.Engines {
			_ = e.SetFault(engine.Fault{Kind: engine.FaultRestart, DelayMS: 300})
		}
	}()
	failed := 0
	for i, a := range burst(120, func(i int) harness.Answer {
		return s.Hosts[i%3].Do(chat(key, "warm", fmt.Sprint("m", i), 20, i%2 == 0, 8*time.Second))
	}) {
		switch {
		case a.Took > 8*time.Second+immediateAnswerLimit || a.Err != nil:
			t.Errorf("m%d: no complete answer in time: %v after %v", i, a.Err, a.Took)
		case a.Status == 200 && a.Code == "":
			checkOwnAnswer(t, s, a, "warm", fmt.Sprint("m", i), 20)
		case a.Code == "":
			t.Errorf("m%d: neither status 200 nor an error code: status %d, body %.200s", i, a.Status, a.Body)
		default:
			failed++
		}
	}
	t.Logf("%d of 120 requests were refused or broke with an error event", failed)
}

// TestCallersHostKilledWhileOthersWait kills the decider while requests at the other hosts wait for a load. It
// guards against the loss of these requests.
func TestCallersHostKilledWhileOthersWait(t *testing.T) {
	s := startSite(t, func(o *harness.Options) {
		for i := range o.Engines {
			o.Engines[i].LoadTimes.Remote = time.Second
		}
	})
	key, _ := s.Key("clerks")
	decider := s.Hosts[0].Status().Control.Placement.Decider
	deciderIndex := 0
	for i, h := range s.Hosts {
		if h.Settings.Host == decider {
			deciderIndex = i
		}
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.Hosts[deciderIndex].Kill()
	}()
	for i, a := range burst(30, func(i int) harness.Answer {
		h := s.Hosts[(deciderIndex+1+i%2)%3]
		return h.Do(chat(key, "cold", fmt.Sprint("m", i), 5, i%2 == 0, 15*time.Second))
	}) {
		checkOwnAnswer(t, s, a, "cold", fmt.Sprint("m", i), 5)
	}
}

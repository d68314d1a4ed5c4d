package faults

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// pairRounds is the number of pairs of failures in one run of TestCallersPairsOfFailures. Each pair takes about 2 s.
const pairRounds = 6

// pairSeedEnv is the environment variable that sets the seed, so that a run can be repeated.
const pairSeedEnv = "FOXTAILPASS_FAULT_SEED"

// failure is one of the failures that TestCallersPairsOfFailures combines to pairs.
type failure struct {
	name  string
	start func(s *harness.Site)
	end   func(s *harness.Site)
}

// engineFailure returns a failure that sets a fault of all engines; its end clears the fault.
func engineFailure(f engine.Fault) failure {
	return failure{f.Kind, func(s *harness.Site) {
		for _, e := range s.Engines {
			_ = e.SetFault(f)
		}
	}, func(s *harness.Site) {
		for _, e := range s.Engines {
			e.ClearFaults()
		}
	}}
}

func failures() []failure {
	platform := func(name string, f kv.Faults) failure {
		return failure{name, func(s *harness.Site) { s.Store.SetFaults(f) }, func(s *harness.Site) { s.Store.SetFaults(kv.Faults{}) }}
	}
	link := func(name, link string) failure {
		return failure{name, func(s *harness.Site) { s.Net.Cut(link) }, func(s *harness.Site) { s.Net.Heal(link) }}
	}
	return []failure{
		platform("platform down", kv.Faults{Refuse: true, FreezeWatches: true}),
		platform("platform slow", kv.Faults{DelayMillis: 200}),
		platform("answers lost", kv.Faults{LoseEvery: 2}),
		link("host 1 cut from platform", harness.PlatformLink(0)),
		link("engine link cut", harness.UpstreamLink("engine-1")),
		link("service link cut", harness.UpstreamLink("orders-1")),
		{"engine restarted", func(s *harness.Site) { _ = s.Engines[1].Restart() }, func(*harness.Site) {}},
		{"host 3 paused", func(s *harness.Site) { s.Hosts[2].Pause() }, func(s *harness.Site) { s.Hosts[2].Resume() }},
		engineFailure(engine.Fault{Kind: engine.FaultCross, Count: 4}),
		engineFailure(engine.Fault{Kind: engine.FaultBreak, Tokens: 3, Count: 3}),
		engineFailure(engine.Fault{Kind: engine.FaultTruncate, Tokens: 3, Count: 3}),
		engineFailure(engine.Fault{Kind: engine.FaultHang, Count: 2}),
		engineFailure(engine.Fault{Kind: engine.FaultSlowLoad, Factor: 4}),
	}
}

// TestCallersPairsOfFailures guards against failures that are harmless alone but not together. During every
// pair of failures, each request must get a whole answer or an error code in time, a whole answer must belong to the
// caller's own request, a request that is answered with not-run must not run, an order must run at most once, and a
// withdrawn key must stop working within withdrawalBound and one more second.
func TestCallersPairsOfFailures(t *testing.T) {
	seed := rand.Uint64()
	if v, err := strconv.ParseUint(os.Getenv(pairSeedEnv), 10, 64); err == nil {
		seed = v
	}
	t.Logf("%s=%d", pairSeedEnv, seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	s := startSite(t, func(o *harness.Options) { setTokenInterval(o, 5*time.Millisecond) })
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	list := failures()
	for round := range pairRounds {
		i, j := rng.IntN(len(list)), rng.IntN(len(list)-1)
		if j >= i {
			j++
		}
		runPair(t, s, key, fmt.Sprintf("%d %s, %s", round, list[i].name, list[j].name), list[i], list[j])
		if t.Failed() {
			return
		}
	}
}

// pairDeadline is the deadline of the requests that are sent during a pair of failures.
const pairDeadline = 1500 * time.Millisecond

func runPair(t *testing.T, s *harness.Site, key, name string, a, b failure) {
	t.Helper()
	awaitServed(s, key, "warm")
	withdrawnKey, id := s.Key("clerks")
	stream := openStream(t, s.Hosts[0], chat(withdrawnKey, "warm", name+" withdrawn key", longStreamTokens, true, 30*time.Second))
	a.start(s)
	b.start(s)
	withdrawn := make(chan time.Time, 1)
	go func() { withdrawn <- withdraw(s, id) }()
	answers := burst(36, func(i int) harness.Answer {
		time.Sleep(time.Duration(i) * 10 * time.Millisecond)
		marker := fmt.Sprint(name, i)
		r := chat(key, [...]string{"warm", "cold"}[i%2], marker, 8, i%4 < 2, pairDeadline)
		if i%3 == 0 {
			r = order(key, marker)
			r.Headers = map[string]string{"X-Foxtailpass-Deadline-Ms": fmt.Sprint(pairDeadline.Milliseconds())}
		}
		return s.Hosts[i%2].Do(r)
	})
	b.end(s)
	a.end(s)
	accepted := <-withdrawn
	if end := <-stream; time.Since(accepted) > withdrawalBound+time.Second {
		t.Errorf("%s: the stream of the withdrawn key ended with code %q more than 1 s after withdrawalBound", name, end.Code)
	} else if _, whole := harness.StreamText(end.Body); whole {
		t.Errorf("%s: the stream of the withdrawn key was completed", name)
	}
	for i, x := range answers {
		marker := fmt.Sprint(name, i)
		runs := runsOf(s, marker)
		if i%3 == 0 {
			runs = s.Services[0].Runs(marker)
		}
		switch {
		case x.Err != nil || x.Status != http.StatusOK && x.Code == "" || x.Took > pairDeadline+immediateAnswerLimit:
			t.Errorf("%s: neither a successful answer nor an error code in time: status %d, err %v after %v", marker, x.Status, x.Err, x.Took)
		case x.Ran == "not-run" && runs != 0, i%3 == 0 && runs > 1:
			t.Errorf("%s: code %q, ran %q, runs %d; want no run after not-run, and at most one of an order", marker, x.Code, x.Ran, runs)
		case x.Status == http.StatusOK && x.Code == "" && i%3 != 0:
			checkOwnAnswer(t, s, x, [...]string{"warm", "cold"}[i%2], marker, 8)
		}
	}
}

// withdraw tries to withdraw a key until the key-value service accepts the change, for up to 10 s. It returns the
// time of the end of the last try.
func withdraw(s *harness.Site, id entity.KeyID) time.Time {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, err := s.Config.WithdrawKey(s.T.Context(), id, "test"); err == nil {
			break
		}
	}
	return time.Now()
}

// TestCallersKeyWithdrawnDuringFaults guards against a withdrawn key that keeps working at a host that is
// cut from the platform while a second component fails. withdrawalBound is counted from the moment at which the
// key-value service has accepted the withdrawal. A stream may also end because its engine was stopped.
func TestCallersKeyWithdrawnDuringFaults(t *testing.T) {
	for name, second := range map[string]failure{
		"engine killed": {start: func(s *harness.Site) { s.Engines[0].Stop() }, end: func(*harness.Site) {}},
		"peer killed":   {start: func(s *harness.Site) { s.Hosts[2].Kill() }, end: func(*harness.Site) {}},
		"slow service":  {start: func(s *harness.Site) { s.Store.SetFaults(kv.Faults{DelayMillis: 300}) }, end: func(*harness.Site) {}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, func(o *harness.Options) { setTokenInterval(o, longStreamInterval) })
			key, id := s.Key("clerks")
			awaitServed(s, key, "warm")
			var open []<-chan harness.Answer
			for range 4 {
				open = append(open, openStream(t, s.Hosts[0], chat(key, "warm", "open", longStreamTokens, true, 30*time.Second)))
			}
			s.Net.Cut(harness.PlatformLink(0))
			second.start(s)
			s.Withdraw(id)
			withdrawn := time.Now()
			for _, c := range open {
				a := <-c
				_, whole := harness.StreamText(a.Body)
				if took := time.Since(withdrawn); took > withdrawalBound || whole || a.Code != "key_withdrawn" && a.Code != "stream_broken" {
					t.Errorf("stream: code %q, whole %t after %v; want key_withdrawn or stream_broken within withdrawalBound", a.Code, whole, took)
				}
			}
		})
	}
}

package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// claimsSite starts a site with three hosts and one service, which takes the given time for each order.
func claimsSite(t *testing.T, work time.Duration) *harness.Site {
	t.Helper()
	return parallelSite(t, harness.Options{
		Hosts: 3, Base: modelsDocument(1, 1000), LeaseTTL: 2 * time.Second,
		Services: []service.Options{{ID: "orders-1", Kind: "orders", WorkTime: work}},
	})
}

// claimedOrder returns an order whose idempotency key is claim.
func claimedOrder(key, claim, body string) harness.Request {
	return harness.Request{Method: "POST", Path: "/orders/new", Key: key, IdempotencyKey: claim, Body: fmt.Sprintf(`{"order":%q}`, body)}
}

// checkNoRepeatedRuns verifies that no order ran more than once.
func checkNoRepeatedRuns(t *testing.T, s *harness.Site) {
	t.Helper()
	for o, n := range s.Services[0].Record().Orders {
		if n > 1 {
			t.Errorf("order %s ran %d times", o, n)
		}
	}
}

// claimFault is a fault that is active while orders with idempotency keys are sent. A host records a claim with the
// idempotency key in the key-value service before it sends such an order.
type claimFault struct {
	name  string
	begin func(s *harness.Site) (end func())
}

// beginServiceFault returns the begin function of a fault of the service.
func beginServiceFault(f service.Fault) func(s *harness.Site) func() {
	return func(s *harness.Site) func() {
		if err := s.Services[0].SetFault(f); err != nil {
			s.T.Error(err)
		}
		return s.Services[0].ClearFaults
	}
}

func claimFaults() []claimFault {
	return []claimFault{
		{"none", func(*harness.Site) func() { return func() {} }},
		{"lost answers of the platform", func(s *harness.Site) func() {
			s.Store.SetFaults(kv.Faults{LoseEvery: 2})
			return func() { s.Store.SetFaults(kv.Faults{}) }
		}},
		{"lost answers of the service", beginServiceFault(service.Fault{Kind: service.FaultLose, Count: 10})},
		{"late answers of the service", beginServiceFault(service.Fault{Kind: service.FaultLate, Count: 10, DelayMS: 300})},
		{"answers of other requests", beginServiceFault(service.Fault{Kind: service.FaultWrongID, Count: 10})},
		{"outage", outage},
	}
}

// TestOrderRunsOnce sends each order under one idempotency key to all hosts at once and repeats it until
// there is a final answer. Whatever fails meanwhile, no order may run twice, and all whole answers to an
// order must be the same.
func TestOrderRunsOnce(t *testing.T) {
	for _, f := range claimFaults() {
		t.Run(f.name, func(t *testing.T) {
			s := claimsSite(t, 20*time.Millisecond)
			key, _ := s.Key("clerks")
			const orders = 20
			rounds := make([]answers, orders)
			end := f.begin(s)
			for round := range 3 {
				for i := range orders {
					for j := range s.Hosts {
						h := s.Hosts[(i+j+round)%len(s.Hosts)]
						rounds[i].send(h, claimedOrder(key, fmt.Sprintf("k%d", i), fmt.Sprintf("o%d", i)))
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			end()
			// After the fault, the client repeats each order until it knows the outcome.
			for i := range rounds {
				_ = rounds[i].wait()
				for try := range 100 {
					a := s.Hosts[try%len(s.Hosts)].Do(claimedOrder(key, fmt.Sprintf("k%d", i), fmt.Sprintf("o%d", i)))
					if a.Status == 200 || a.Code == "outcome_unknown" {
						break
					}
					if try == 99 {
						t.Errorf("order %d: no final answer: status %d, %s, %v", i, a.Status, a.Code, a.Err)
					}
					time.Sleep(20 * time.Millisecond)
				}
				checkSameAnswers(t, rounds[i].list)
			}
			checkNoRepeatedRuns(t, s)
			got := make(map[string]int)
			for i := range rounds {
				for k, n := range summary(rounds[i].list) {
					got[k] += n
				}
			}
			t.Logf("answers: %v; %d orders ran", got, len(s.Services[0].Record().Orders))
			if f.name == "none" && got["200 "] == 0 {
				t.Error("no order was answered")
			}
		})
	}
}

// checkSameAnswers verifies that all whole answers to one order are equal, and that every refusal has an
// error code and reports whether the order ran.
func checkSameAnswers(t *testing.T, list []timedAnswer) {
	t.Helper()
	body := ""
	for _, a := range list {
		switch {
		case a.Err != nil:
			t.Errorf("no answer: %v", a.Err)
		case a.Status == 200 && body == "":
			body = a.Body
		case a.Status == 200 && a.Body != body:
			t.Errorf("two answers to one order: %s and %s", body, a.Body)
		case a.Status != 200 && (a.Code == "" || a.Ran == ""):
			t.Errorf("status %d, code %q, ran %q; want an error code and whether the order ran", a.Status, a.Code, a.Ran)
		}
	}
}

// TestStoredAnswer checks that every host replays a stored answer, and that the same idempotency key with
// another body is refused and not run.
func TestStoredAnswer(t *testing.T) {
	s := claimsSite(t, 0)
	key, _ := s.Key("clerks")
	first := s.Hosts[0].Do(claimedOrder(key, "k", "o"))
	if first.Status != 200 {
		t.Fatalf("first order: status %d, want 200: %s", first.Status, first.Body)
	}
	for _, h := range s.Hosts {
		if a := h.Do(claimedOrder(key, "k", "o")); a.Status != 200 || a.Body != first.Body || a.Header.Get("X-Foxtailpass-Replayed") != "true" {
			t.Errorf("replay: status %d, body %s, want 200, %s and X-Foxtailpass-Replayed: true", a.Status, a.Body, first.Body)
		}
		if a := h.Do(claimedOrder(key, "k", "other")); a.Status != 422 || a.Code != "idempotency_key_reused" || a.Ran != "not-run" {
			t.Errorf("other body: status %d, code %q, ran %q, want 422, idempotency_key_reused, not-run", a.Status, a.Code, a.Ran)
		}
	}
	if n := s.Services[0].Runs("other"); n != 0 {
		t.Errorf("the other body ran %d times", n)
	}
	checkNoRepeatedRuns(t, s)
}

// TestOutageRefusesClaims checks that orders with an idempotency key are refused as not-run while the
// platform is down, and that they run after the outage.
func TestOutageRefusesClaims(t *testing.T) {
	s := claimsSite(t, 0)
	key, _ := s.Key("clerks")
	end := outage(s)
	for i, h := range s.Hosts {
		a := h.Do(claimedOrder(key, fmt.Sprint("k", i), fmt.Sprint("o", i)))
		if a.Status != 503 || a.Code != "claims_unavailable" || a.Ran != "not-run" || a.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, code %q, ran %q, Retry-After %q; want 503, claims_unavailable, not-run and a Retry-After", a.Status, a.Code, a.Ran, a.Header.Get("Retry-After"))
		}
	}
	if n := s.Services[0].Record().Runs; n != 0 {
		t.Errorf("%d orders ran during the outage", n)
	}
	end()
	s.Eventually(5*time.Second, "orders run again", func() bool { return s.Hosts[0].Do(claimedOrder(key, "k0", "o0")).Status == 200 })
	checkNoRepeatedRuns(t, s)
}

// TestHostKilledAfterSending kills a host after it has sent orders to the service. Repetitions through other
// hosts, and through the restarted host, must be answered with an unknown outcome and must not run an order
// again.
func TestHostKilledAfterSending(t *testing.T) {
	s := claimsSite(t, time.Second)
	key, _ := s.Key("clerks")
	var a answers
	for i := range 10 {
		a.send(s.Hosts[0], claimedOrder(key, fmt.Sprint("k", i), fmt.Sprint("o", i)))
	}
	s.Eventually(5*time.Second, "all orders run", func() bool { return s.Services[0].Record().Runs == 10 })
	s.Hosts[0].Kill()
	for i := range 10 {
		x := s.Hosts[1+i%2].Do(claimedOrder(key, fmt.Sprint("k", i), fmt.Sprint("o", i)))
		if x.Status != 409 || x.Ran != "unknown" {
			t.Errorf("repetition: status %d, code %q, ran %q, want status 409 and ran unknown", x.Status, x.Code, x.Ran)
		}
	}
	s.Hosts[0].Start()
	s.Hosts[0].WaitReady()
	for i := range 10 {
		for _, h := range s.Hosts {
			if x := h.Do(claimedOrder(key, fmt.Sprint("k", i), fmt.Sprint("o", i))); x.Status != 409 || x.Code != "outcome_unknown" {
				t.Errorf("repetition after the restart: status %d, code %q, want 409, outcome_unknown", x.Status, x.Code)
			}
		}
	}
	_ = a.wait()
	checkNoRepeatedRuns(t, s)
}

// TestBrokenConnectionWithoutKey checks that an order without an idempotency key is sent only once. If the
// connection breaks after the order may have been sent, the answer must report the outcome as unknown. If the
// service cannot be reached, the answer must report not-run.
func TestBrokenConnectionWithoutKey(t *testing.T) {
	s := claimsSite(t, 5*time.Millisecond)
	key, _ := s.Key("clerks")
	link := harness.UpstreamLink("orders-1")
	send := func(name string) {
		for i := range 5 {
			a := s.Hosts[i%3].Do(claimedOrder(key, "", fmt.Sprint(name, i)))
			if a.Status == 200 || a.Ran != "unknown" {
				t.Errorf("%s: status %d, code %q, ran %q, want an error with ran unknown; err %v", name, a.Status, a.Code, a.Ran, a.Err)
			}
		}
		checkNoRepeatedRuns(t, s)
	}
	if err := s.Services[0].SetFault(service.Fault{Kind: service.FaultLose, Count: 5}); err != nil {
		t.Fatal(err)
	}
	send("lost")
	s.Net.InjectToxic(link, harness.Toxic{Name: "cut", Type: "limit_data", Stream: "downstream", Attributes: map[string]int{"bytes": 20}})
	send("cut")
	s.Net.ClearToxic(link, "cut")
	s.Net.Cut(link)
	if a := s.Hosts[0].Do(claimedOrder(key, "", "refused")); a.Ran != "not-run" || s.Services[0].Runs("refused") != 0 {
		t.Errorf("unreachable service: status %d, code %q, ran %q, want not-run and no run", a.Status, a.Code, a.Ran)
	}
	s.Net.Heal(link)
}

package faults

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestCallersNotRunMatchesRuns guards against a refusal that reports not-run for a request that ran, against a
// second run of a request that must run at most once, and against a successful answer to a request that did not run.
// The links to the upstreams break before, while or after the request is sent.
func TestCallersNotRunMatchesRuns(t *testing.T) {
	toxic := func(kind, stream string, attributes map[string]int) func(s *harness.Site, link string) func() {
		return func(s *harness.Site, link string) func() {
			s.Net.InjectToxic(link, harness.Toxic{Name: "x", Type: kind, Stream: stream, Toxicity: 0.6, Attributes: attributes})
			return func() { s.Net.ClearToxic(link, "x") }
		}
	}
	linkFaults := map[string]func(s *harness.Site, link string) func(){
		"cut before":          func(s *harness.Site, link string) func() { s.Net.Cut(link); return func() { s.Net.Heal(link) } },
		"cut while running":   cutRepeatedly,
		"reset while sending": toxic("reset_peer", "upstream", map[string]int{"timeout": 0}),
		"reset while running": toxic("reset_peer", "downstream", map[string]int{"timeout": 3}),
		"request cut off":     toxic("limit_data", "upstream", map[string]int{"bytes": 150}),
		"answer cut off":      toxic("limit_data", "downstream", map[string]int{"bytes": 60}),
		"request lost":        toxic("timeout", "upstream", map[string]int{"timeout": 100}),
		"answer lost":         toxic("timeout", "downstream", map[string]int{"timeout": 100}),
	}
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	for name, apply := range linkFaults {
		heal := []func(){apply(s, harness.UpstreamLink("orders-1"))}
		for _, e := range s.Engines {
			heal = append(heal, apply(s, harness.UpstreamLink(string(e.ID()))))
		}
		claimed := func(r harness.Request, key string) harness.Request { r.IdempotencyKey = key; return r }
		answers := burst(36, func(i int) harness.Answer {
			marker := fmt.Sprint(name, i)
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			h := s.Hosts[i%3]
			r := [...]harness.Request{
				order(key, marker),
				claimed(order(key, marker), marker),
				chat(key, "warm", marker, 5, true, 0),
				chat(key, "warm", marker, 5, false, 0),
				claimed(chat(key, "warm", marker, 5, true, 0), marker),
				claimed(chat(key, "warm", marker, 5, false, 0), marker),
			}[i%6]
			if r.Headers == nil {
				r.Headers = map[string]string{}
			}
			r.Headers["X-Foxtailpass-Deadline-Ms"] = "800"
			return h.Do(r)
		})
		for _, f := range heal {
			f()
		}
		// A request that a stand-in has received may still start.
		time.Sleep(50 * time.Millisecond)
		for i, a := range answers {
			marker := fmt.Sprint(name, i)
			runs := runsOf(s, marker)
			if i%6 < 2 {
				runs = s.Services[0].Runs(marker)
			}
			atMostOnce := i%6 != 2 && i%6 != 3
			switch {
			case a.Err != nil || a.Status != 200 && a.Code == "":
				t.Errorf("%s: neither a successful answer nor an error code: status %d, err %v", marker, a.Status, a.Err)
			case a.Ran == "not-run" && runs != 0:
				t.Errorf("%s: code %q with not-run, but the request ran %d times", marker, a.Code, runs)
			case atMostOnce && runs > 1 || a.Status == 200 && runs == 0:
				t.Errorf("%s: status %d, code %q, but the request ran %d times", marker, a.Status, a.Code, runs)
			}
		}
	}
}

// cutRepeatedly cuts and heals a link every 7 ms while requests run over it, until the returned function is
// called.
func cutRepeatedly(s *harness.Site, link string) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(7 * time.Millisecond):
				s.Net.Cut(link)
				s.Net.Heal(link)
			}
		}
	}()
	return func() { close(stop); <-done }
}

// TestCallersNotRunFromService guards against a refusal that reports not-run although the service ran the order or
// may have run it. Here the service itself fails, not the link to it.
func TestCallersNotRunFromService(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	for kind, ran := range map[string]string{
		service.FaultRefuse: "not-run", service.FaultLose: "unknown", service.FaultHang: "unknown",
		service.FaultWrongID: "unknown", service.FaultLate: "unknown",
	} {
		if err := s.Services[0].SetFault(service.Fault{Kind: kind, DelayMS: 1000}); err != nil {
			t.Fatal(err)
		}
		r := order(key, kind)
		r.Headers = map[string]string{"X-Foxtailpass-Deadline-Ms": "500"}
		a := s.Hosts[0].Do(r)
		s.Services[0].ClearFaults()
		if a.Ran != ran || a.Took > 500*time.Millisecond+immediateAnswerLimit || ran == "not-run" && s.Services[0].Runs(kind) != 0 {
			t.Errorf("fault %s: status %d, code %q, ran %q after %v, runs %d; want not-run and no run for refuse, else unknown, in time", kind, a.Status, a.Code, a.Ran, a.Took, s.Services[0].Runs(kind))
		}
	}
	s.Services[0].Stop()
	r := order(key, "stopped")
	r.Headers = map[string]string{"X-Foxtailpass-Deadline-Ms": "500"}
	if a := s.Hosts[0].Do(r); a.Code == "" || a.Took > 500*time.Millisecond+immediateAnswerLimit || s.Services[0].Runs("stopped") != 0 {
		t.Errorf("stopped service: status %d, code %q, ran %q after %v; want an error code in time and no run", a.Status, a.Code, a.Ran, a.Took)
	}
}

package faults

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestCallersGetWholeAnswers guards against partial answers that look whole. Every caller must get the whole
// answer to its own request, or an explicit error.
func TestCallersGetWholeAnswers(t *testing.T) {
	// The consecutive faults would exhaust the default retry budget, which this test does not cover.
	s := startSite(t, func(o *harness.Options) {
		o.Base = strings.Replace(baseDocument, `"routes": {`, `"limits": {"retry_ratio": 10}, "routes": {`, 1)
	})
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	for _, c := range []struct {
		name  string
		fault engine.Fault
		// whole is set if the caller must get a whole answer in spite of the fault.
		whole bool
	}{
		{"late answer", engine.Fault{Kind: engine.FaultLate, DelayMS: 300}, true},
		{"late to start", engine.Fault{Kind: engine.FaultDelay, DelayMS: 300}, true},
		{"broken once", engine.Fault{Kind: engine.FaultBreak, Tokens: 7, Count: 1}, true},
		{"truncated", engine.Fault{Kind: engine.FaultTruncate, Tokens: 7}, false},
		{"crossed", engine.Fault{Kind: engine.FaultCross}, false},
		{"refused twice", engine.Fault{Kind: engine.FaultRefuse, Count: 2}, true},
		{"failed once", engine.Fault{Kind: engine.FaultFail, Count: 1}, true},
	} {
		for _, stream := range []bool{true, false} {
			name := fmt.Sprintf("%s, stream %t", c.name, stream)
			for _, e := range s.Engines {
				if err := e.SetFault(c.fault); err != nil {
					t.Fatal(err)
				}
			}
			for i, a := range burst(6, func(i int) harness.Answer {
				return s.Hosts[i%3].Do(chat(key, "warm", fmt.Sprint(name, i), 20, stream, 6*time.Second))
			}) {
				if a.Code != "" && !c.whole && (a.Status >= 500 || stream) {
					if _, whole := harness.StreamText(a.Body); whole {
						t.Errorf("%s: the stream has both an error event and an end marker: %.300s", name, a.Body)
					}
					continue
				}
				checkOwnAnswer(t, s, a, "warm", fmt.Sprint(name, i), 20)
			}
			for _, e := range s.Engines {
				e.ClearFaults()
			}
		}
	}
}

// TestCallersEngineKilledInStream guards against a stream that ends without an error when its engine is
// stopped: the stream must end with an error event and without an end marker.
func TestCallersEngineKilledInStream(t *testing.T) {
	s := startSite(t, func(o *harness.Options) { setTokenInterval(o, 10*time.Millisecond) })
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	var open []<-chan harness.Answer
	for i := range 6 {
		open = append(open, openStream(t, s.Hosts[i%3], chat(key, "warm", "killed", longStreamTokens, true, 30*time.Second)))
	}
	killed := time.Now()
	for _, e := range s.Engines {
		e.Stop()
	}
	for _, c := range open {
		a := <-c
		if _, whole := harness.StreamText(a.Body); whole || a.Err != nil || a.Code != "stream_broken" || time.Since(killed) > 3*immediateAnswerLimit {
			t.Errorf("stream: whole %t, code %q, err %v after %v; want stream_broken in time, no end marker and no error", whole, a.Code, a.Err, time.Since(killed))
		}
	}
}

// TestCallersDisconnect guards against engine work and slots that stay occupied after a caller has disconnected
// while its request was queued or running.
func TestCallersDisconnect(t *testing.T) {
	s := startSite(t, func(o *harness.Options) { setTokenInterval(o, 10*time.Millisecond) })
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	for _, e := range s.Engines {
		if err := e.SetFault(engine.Fault{Kind: engine.FaultSlowLoad, Model: "cold", Factor: 20}); err != nil {
			t.Fatal(err)
		}
	}
	for name, r := range map[string]harness.Request{
		"stream": chat(key, "warm", "left", longStreamTokens, true, 30*time.Second),
		"whole":  chat(key, "warm", "left", longStreamTokens, false, 30*time.Second),
		"queued": chat(key, "cold", "left in queue", longStreamTokens, true, 30*time.Second),
	} {
		burst(9, func(i int) harness.Answer {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			resp, err := s.Hosts[i%3].Open(ctx, r)
			if err == nil {
				<-ctx.Done()
				_ = resp.Body.Close()
			}
			return harness.Answer{}
		})
		s.Eventually(2*time.Second, name+": no request is active", func() bool {
			left := 0
			for _, h := range s.Hosts {
				st := h.Status()
				left += int(st.ActiveRequests) + st.Control.Requests + st.Control.Scheduler.Requests
				for _, p := range st.Control.Scheduler.Pools {
					left += p.Running
				}
			}
			return left == 0
		})
	}
	// Nine streams and nine whole answers would have had 2000 tokens each. The engines may generate a quarter of
	// these, because the callers disconnect after 400 ms.
	if n := generatedTokens(s); n == 0 || n > 18*longStreamTokens/4 {
		t.Errorf("the engines generated %d tokens for callers that disconnected after 400 ms, want some, but at most a quarter of 18 answers", n)
	}
	if runsOf(s, "left in queue") != 0 {
		t.Error("a queued request ran although its caller had disconnected")
	}
	checkOwnAnswer(t, s, s.Hosts[0].Do(chat(key, "warm", "after", 5, true, 0)), "warm", "after", 5)
}

// TestCallersThatReadSlowly guards against slow callers that lose parts of their answer or delay other callers.
func TestCallersThatReadSlowly(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	const tokens = 400
	answers := burst(6, func(i int) harness.Answer {
		marker := fmt.Sprint("slow", i)
		if i >= 3 {
			return s.Hosts[i%3].Do(chat(key, "warm", marker, tokens, true, 10*time.Second))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		resp, err := s.Hosts[i].Open(ctx, chat(key, "warm", marker, tokens, true, 10*time.Second))
		if err != nil {
			return harness.Answer{Err: err}
		}
		defer func() { _ = resp.Body.Close() }()
		a := harness.Answer{Status: resp.StatusCode, Header: resp.Header}
		for r := bufio.NewReader(resp.Body); ; time.Sleep(2 * time.Millisecond) {
			line, err := r.ReadString('\n')
			a.Body += line
			if err != nil {
				return a
			}
		}
	})
	for i, a := range answers {
		checkOwnAnswer(t, s, a, "warm", fmt.Sprint("slow", i), tokens)
	}
}

// TestCallersPipelinedRequests guards against answers to the wrong request: pipelined requests on one connection
// must be answered one by one and in order.
func TestCallersPipelinedRequests(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	c, err := net.Dial("tcp", s.Hosts[0].Settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for i := range 3 {
		r := chat(key, "warm", fmt.Sprint("p", i), 5, i == 1, 0)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", r.Path, key, len(r.Body), r.Body)
	}
	br := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		a := harness.Answer{Status: resp.StatusCode, Header: resp.Header}
		var b [4096]byte
		for err == nil {
			var n int
			n, err = resp.Body.Read(b[:])
			a.Body += string(b[:n])
		}
		checkOwnAnswer(t, s, a, "warm", fmt.Sprint("p", i), 5)
		if s.Engines[0].Runs(entity.RequestID(resp.Header.Get("X-Request-Id")))+s.Engines[1].Runs(entity.RequestID(resp.Header.Get("X-Request-Id"))) != 1 {
			t.Errorf("request %d did not run exactly once", i)
		}
	}
}

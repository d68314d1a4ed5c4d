package faults

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// A stream of longStreamTokens tokens, one each longStreamInterval, takes 20 s, far longer than withdrawalBound.
const (
	longStreamTokens   = 2000
	longStreamInterval = 10 * time.Millisecond
)

// openStream starts a stream, waits for its first byte and returns a channel that receives the answer when the
// stream has ended.
func openStream(t *testing.T, h *harness.Host, r harness.Request) <-chan harness.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	resp, err := h.Open(ctx, r)
	if err != nil || resp.StatusCode != http.StatusOK {
		cancel()
		t.Fatalf("stream not opened: %v, %v", resp, err)
	}
	first := make([]byte, 1)
	_, _ = io.ReadFull(resp.Body, first)
	out := make(chan harness.Answer, 1)
	began := time.Now()
	go func() {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		body = append(first, body...)
		out <- harness.Answer{Status: 200, Header: resp.Header, Body: string(body), Code: harness.ErrorCode(body), Err: err, Took: time.Since(began)}
	}()
	return out
}

// generatedTokens returns the number of generated tokens that all engines have recorded. An engine records the
// tokens of a request when the request ends.
func generatedTokens(s *harness.Site) (n uint64) {
	for _, e := range s.Engines {
		n += e.Record().GeneratedTokens
	}
	return n
}

// TestCallersWithdrawnKeyStops guards against a withdrawn key that keeps working for a connected caller. An
// open stream must end with an error event and free the engine, a queued request must be refused (with
// status 401 if the host knows of the withdrawal), and new requests must be refused. All of this must
// happen within withdrawalBound, also if faults delay or prevent the update about the withdrawal. A host that is
// cut from everything does not learn of the withdrawal; it must refuse all requests that need a key, because its
// configuration is stale. Open routes need no key and must stay available.
func TestCallersWithdrawnKeyStops(t *testing.T) {
	cutPlatform := func(s *harness.Site) { s.Net.Cut(harness.PlatformLink(0)) }
	for name, c := range map[string]struct {
		fault func(s *harness.Site)
		code  string
	}{
		"no fault":            {func(*harness.Site) {}, "key_withdrawn"},
		"cut from platform":   {cutPlatform, "key_withdrawn"},
		"watches frozen":      {func(s *harness.Site) { s.Store.SetFaults(kv.Faults{FreezeWatches: true}) }, "key_withdrawn"},
		"platform slow":       {func(s *harness.Site) { s.Store.SetFaults(kv.Faults{DelayMillis: 300}) }, "key_withdrawn"},
		"slow link":           {slowPlatformLink, "key_withdrawn"},
		"cut from everything": {func(s *harness.Site) { cutPlatform(s); s.Net.CutPeers(0, len(s.Hosts)) }, "stale_configuration"},
		"cut from everything just before the withdrawal": {cutPeersThenPlatform, "stale_configuration"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, func(o *harness.Options) { setTokenInterval(o, longStreamInterval) })
			key, id := s.Key("clerks")
			awaitServed(s, key, "warm")
			for _, e := range s.Engines {
				if err := e.SetFault(engine.Fault{Kind: engine.FaultSlowLoad, Model: "cold", Factor: 100}); err != nil {
					t.Fatal(err)
				}
			}
			h := s.Hosts[0]
			open := openStream(t, h, chat(key, "warm", "open", longStreamTokens, true, 30*time.Second))
			queued := make(chan harness.Answer, 1)
			go func() { queued <- h.Do(chat(key, "cold", "queued", 5, true, 30*time.Second)) }()
			time.Sleep(200 * time.Millisecond)
			c.fault(s)
			s.Withdraw(id)
			withdrawn := time.Now()
			checkStreamStopped(t, s, <-open, withdrawn, c.code)
			a := <-queued
			if took := time.Since(withdrawn); took > withdrawalBound || a.Code != c.code || a.Ran != "not-run" {
				t.Errorf("queued request: code %q, ran %q after %v; want the code of the test case and not-run within withdrawalBound", a.Code, a.Ran, took)
			}
			if a := h.Do(chat(key, "warm", "new", 1, false, 0)); a.Code != c.code {
				t.Errorf("new request: status %d, code %q, want the code of the test case", a.Status, a.Code)
			}
			if a := h.Do(harness.Request{Path: "/open/x"}); a.Status != http.StatusOK {
				t.Errorf("open route: status %d, want 200; body %s", a.Status, a.Body)
			}
			if runsOf(s, "queued")+runsOf(s, "new") != 0 {
				t.Error("a refused request ran")
			}
		})
	}
}

func slowPlatformLink(s *harness.Site) {
	s.Net.InjectToxic(harness.PlatformLink(0), harness.Toxic{Name: "slow", Type: "latency", Stream: "downstream", Attributes: map[string]int{"latency": 500}})
}

// cutPeersThenPlatform cuts the first host from its peers and, one second later, from the platform. The withdrawal
// follows at once, so the view of the host still counts as fresh at first.
func cutPeersThenPlatform(s *harness.Site) {
	s.Net.CutPeers(0, len(s.Hosts))
	time.Sleep(time.Second)
	s.Net.Cut(harness.PlatformLink(0))
}

// checkStreamStopped fails the test unless a stream ended with the code within withdrawalBound after the
// withdrawal and the engines did not generate all of its tokens.
func checkStreamStopped(t *testing.T, s *harness.Site, a harness.Answer, withdrawn time.Time, code string) {
	t.Helper()
	if took := time.Since(withdrawn); took > withdrawalBound {
		t.Errorf("the stream ended %v after the withdrawal, want at most withdrawalBound", took)
	}
	if _, whole := harness.StreamText(a.Body); whole || a.Code != code {
		t.Errorf("the stream ended with code %q, whole %t; want the code of the test case and no end marker", a.Code, whole)
	}
	id := entity.RequestID(a.Header.Get("X-Request-Id"))
	s.Eventually(withdrawalBound, "the engine's work is canceled", func() bool {
		running := 0
		for _, e := range s.Engines {
			if e.Runs(id) > 0 {
				running++
			}
		}
		return running > 0 && generatedTokens(s) > 0
	})
	if n := generatedTokens(s); n >= longStreamTokens {
		t.Errorf("the engines generated %d tokens in spite of the withdrawal", n)
	}
}

// TestCallersPausedHost guards against two faults of a host that resumes after a pause. It must not end the
// streams of valid keys because its view is old at that moment, and it must not continue the streams of a key
// that was withdrawn during the pause.
func TestCallersPausedHost(t *testing.T) {
	s := startSite(t, func(o *harness.Options) { setTokenInterval(o, longStreamInterval) })
	good, _ := s.Key("clerks")
	bad, id := s.Key("clerks")
	awaitServed(s, good, "warm")
	h := s.Hosts[0]
	const tokens = 600
	kept := openStream(t, h, chat(good, "warm", "kept", tokens, true, 30*time.Second))
	ended := openStream(t, h, chat(bad, "warm", "ended", longStreamTokens, true, 30*time.Second))
	h.Pause()
	s.Withdraw(id)
	// The pause is longer than the freshness bound of 2 s and the lease of 3 s.
	time.Sleep(4 * time.Second)
	h.Resume()
	resumed := time.Now()
	a := <-ended
	if took := time.Since(resumed); took > withdrawalBound || a.Code != "key_withdrawn" {
		t.Errorf("the stream of the withdrawn key ended with code %q, %v after the pause; want key_withdrawn within withdrawalBound", a.Code, took)
	}
	checkOwnAnswer(t, s, <-kept, "warm", "kept", tokens)
}

// Package faults holds integration tests that inject faults. Hosts run as real processes, the systems
// around them are stand-ins, and every connection goes through a fault-injecting proxy.
//
// The stand-ins count the runs of each request. The tests compare these counts with the header X-Foxtailpass-Ran of
// error answers: "not-run" promises that the request was not run, "unknown" that it may have been. An answer is
// whole if it is complete; a stream is complete if it ends with the end marker [DONE].
package faults

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}

const baseDocument = `{
  "models": {
    "warm": {"bytes": 1000, "cold_start_ms": 300, "min_replicas": 1, "max_replicas": 2},
    "cold": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1, "adapters": {"x": {"bytes": 10}}},
    "huge": {"bytes": 1000000, "cold_start_ms": 300}
  },
  "workspaces": {
    "clerks": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["*"], "routes": ["*"]},
    "archive": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["warm"]}
  },
  "routes": {
    "/orders/": {"upstream_kind": "orders", "timeout_ms": 5000},
    "/open/": {"upstream_kind": "status", "idempotent": true, "open": true, "timeout_ms": 2000}
  }
}`

// siteOptions returns the options of a site with three hosts, two engines, of which only the first checks
// fencing tokens, and plain services.
func siteOptions() harness.Options {
	store := engine.NewWeightStore(engine.WeightStoreOptions{})
	o := harness.Options{Hosts: 3, Base: baseDocument}
	for i := range 2 {
		o.Engines = append(o.Engines, engine.Options{
			ID: entity.UpstreamID(fmt.Sprintf("engine-%d", i+1)), MemoryBytes: 3000, ChecksFence: i == 0, Store: store,
			LoadTimes:     engine.LoadTimes{Memory: 50 * time.Millisecond, Disk: 100 * time.Millisecond, Remote: 300 * time.Millisecond},
			TokenInterval: time.Millisecond, ReportLag: 20 * time.Millisecond,
		})
	}
	o.Services = []service.Options{
		{ID: "orders-1", Kind: "orders", WorkTime: 5 * time.Millisecond},
		{ID: "status-1", Kind: "status"},
	}
	return o
}

// TestColdBurstLoadsOnce checks that a burst of first requests at all hosts loads a cold model once, and that
// every caller gets the whole answer to its own request.
func TestColdBurstLoadsOnce(t *testing.T) {
	s := harness.Start(t, siteOptions())
	key, _ := s.Key("clerks")
	var wg sync.WaitGroup
	for i := range 24 {
		h := s.Hosts[i%len(s.Hosts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := h.Do(harness.Chat(key, "cold", 5, true))
			text, whole := harness.StreamText(a.Body)
			id := entity.RequestID(a.Header.Get("X-Request-Id"))
			if a.Status != 200 || !whole || text != engine.ExpectedText(id, "cold", 5) {
				t.Errorf("status %d, whole %t, body %s, err %v; want status 200 and the whole expected text", a.Status, whole, a.Body, a.Err)
			}
		}()
	}
	wg.Wait()
	loads := 0
	for _, e := range s.Engines {
		loads += len(e.Record().LoadsOf("cold"))
	}
	if loads != 1 {
		t.Errorf("the model was loaded %d times, want once", loads)
	}
}

// TestCallerKeyIsNotForwarded checks that no upstream receives the caller's key, wherever in the request
// the caller puts it.
func TestCallerKeyIsNotForwarded(t *testing.T) {
	s := harness.Start(t, siteOptions())
	key, _ := s.Key("clerks")
	h := s.Hosts[0]
	hidden := map[string]string{
		"Cookie": "session=" + key, "Proxy-Authorization": "Bearer " + key, "X-Api-Key": key,
		"Traceparent": key, "Accept-Language": key, "Forwarded": "for=" + key,
	}
	r := harness.Chat(key, "warm", 2, false)
	r.Headers = hidden
	if a := h.Do(r); a.Status != 200 {
		t.Errorf("chat: status %d, want 200: %s", a.Status, a.Body)
	}
	for _, path := range []string{"/orders/a?api_key=" + key, "/orders/b?x=" + key + "&y=1", "/open/c?token=" + key} {
		if a := h.Do(harness.Request{Method: "POST", Path: path, Key: key, Body: `{"order":"o"}`, Headers: hidden}); a.Status != 200 {
			t.Errorf("%s: status %d, want 200: %s", path, a.Status, a.Body)
		}
	}
	for _, r := range []harness.Request{
		{Method: "POST", Path: "/orders/x", Key: key, Body: `{"order":"` + key + `"}`},
		{Method: "POST", Path: "/orders/" + key, Key: key, Body: `{}`},
	} {
		if a := h.Do(r); a.Status != 400 || a.Code != "key_in_request" {
			t.Errorf("%s: status %d, code %q, want 400, key_in_request", r.Path, a.Status, a.Code)
		}
	}
	for _, e := range s.Engines {
		for _, got := range e.Received() {
			if strings.Contains(fmt.Sprint(got), key) {
				t.Errorf("an engine received the key: %v", got)
			}
		}
	}
	for _, v := range s.Services {
		for _, got := range v.Received() {
			if strings.Contains(fmt.Sprint(got), key) {
				t.Errorf("a service received the key: %v", got)
			}
		}
	}
}

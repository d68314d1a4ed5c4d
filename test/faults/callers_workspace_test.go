package faults

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestCallersWorkspacesKeepTheirAnswers guards against answers that reach a caller of another workspace.
// Requests of two workspaces share the upstream connections while the engines exchange the answers of
// requests and delay them.
func TestCallersWorkspacesKeepTheirAnswers(t *testing.T) {
	for name, faults := range map[string][]engine.Fault{
		"healthy": nil,
		"crossed": {{Kind: engine.FaultCross, Count: 12}},
		"late":    {{Kind: engine.FaultLate, Count: 20, DelayMS: 200}},
		"both":    {{Kind: engine.FaultCross, Count: 8}, {Kind: engine.FaultLate, Count: 20, DelayMS: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, nil)
			keys := make([]string, 2)
			keys[0], _ = s.Key("clerks")
			keys[1], _ = s.Key("archive")
			awaitServed(s, keys[0], "warm")
			for _, e := range s.Engines {
				for _, f := range faults {
					if err := e.SetFault(f); err != nil {
						t.Fatal(err)
					}
				}
			}
			broken := 0
			for i, a := range burst(80, func(i int) harness.Answer {
				time.Sleep(time.Duration(i/20) * 100 * time.Millisecond)
				return s.Hosts[i%3].Do(chat(keys[i%2], "warm", fmt.Sprint("m", i), 4, i%4 < 2, 10*time.Second))
			}) {
				if a.Status == http.StatusOK && a.Code == "" {
					checkOwnAnswer(t, s, a, "warm", fmt.Sprint("m", i), 4)
					continue
				}
				if broken++; a.Code == "" || len(faults) == 0 || faults[0].Kind == engine.FaultLate {
					t.Errorf("m%d: status %d, err %v, want 200, or an error code if the engines exchange answers; body %.200s", i, a.Status, a.Err, a.Body)
				}
			}
			t.Logf("%d of 80 requests got an explicit error", broken)
		})
	}
}

// TestCallersMismatchedPlainAnswer guards against a plain answer that reaches the caller although it has
// the ID of another request.
func TestCallersMismatchedPlainAnswer(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	if err := s.Services[0].SetFault(service.Fault{Kind: service.FaultWrongID, Count: 1}); err != nil {
		t.Fatal(err)
	}
	a := s.Hosts[0].Do(order(key, "o1"))
	if a.Status != http.StatusBadGateway || a.Code != "outcome_unknown" || a.Ran != "unknown" {
		t.Errorf("status %d, code %q, ran %q, want 502, outcome_unknown, unknown; body %s", a.Status, a.Code, a.Ran, a.Body)
	}
	if n := s.Services[0].Runs("o1"); n != 1 {
		t.Errorf("the order ran %d times, want once", n)
	}
}

// TestCallersPermissions guards against requests that run although their workspace may not call the model or the
// route, or although the route requires a key and they have none.
func TestCallersPermissions(t *testing.T) {
	s := startSite(t, nil)
	clerks, _ := s.Key("clerks")
	archive, _ := s.Key("archive")
	awaitServed(s, clerks, "warm")
	get := func(path, key string) harness.Request { return harness.Request{Path: path, Key: key} }
	for _, c := range []struct {
		name    string
		request harness.Request
		status  int
		code    string
	}{
		{"model of the workspace", chat(archive, "warm", "allowed", 2, false, 0), 200, ""},
		{"model of another workspace", chat(archive, "cold", "denied", 2, false, 0), 404, "model_not_found"},
		{"adapter of another workspace", chat(archive, "cold:x", "denied", 2, false, 0), 404, "model_not_found"},
		{"route of another workspace", order(archive, "denied"), 403, "route_not_allowed"},
		{"dot segments behind an open route", harness.Request{Method: "POST", Path: "/open/../orders/denied", Key: archive, Body: `{"order":"denied"}`}, 403, "route_not_allowed"},
		{"encoded dot segments", harness.Request{Method: "POST", Path: "/open/%2e%2e/orders/denied", Body: `{"order":"denied"}`}, 401, "key_missing"},
		{"no key", chat("", "warm", "denied", 2, false, 0), 401, "key_missing"},
		{"unknown key", chat("fxp_unknown", "warm", "denied", 2, false, 0), 401, "key_unknown"},
		{"no key for an order", order("", "denied"), 401, "key_missing"},
		{"open route without a key", get("/open/a", ""), 200, ""},
		{"open route with an unknown key", get("/open/b", "fxp_unknown"), 200, ""},
		{"open route with the key of a workspace without routes", get("/open/c", archive), 200, ""},
	} {
		for _, h := range s.Hosts {
			if a := h.Do(c.request); a.Status != c.status || a.Code != c.code {
				t.Errorf("%s: status %d, code %q, want %d, %q", c.name, a.Status, a.Code, c.status, c.code)
			}
		}
	}
	if n := runsOf(s, "denied"); n != 0 || s.Services[0].Runs("denied") != 0 {
		t.Errorf("refused requests ran: %d at engines, %d at the service", n, s.Services[0].Runs("denied"))
	}
	if a := s.Hosts[0].Do(get("/v1/models", archive)); strings.Contains(a.Body, "cold") {
		t.Errorf("the model list shows models of other workspaces: %s", a.Body)
	}
	for _, e := range s.Engines {
		if e.Runs(entity.RequestID("")) != 0 {
			t.Error("a request ran without an ID")
		}
	}
}

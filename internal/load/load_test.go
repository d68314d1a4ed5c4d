package load

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
)

func startEngine(t *testing.T, o engine.Options) *engine.Engine {
	t.Helper()
	e := engine.New(o)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	if err := e.Preload("m", 1); err != nil {
		t.Fatal(err)
	}
	return e
}

func newScenario(target string, c RequestClass) Scenario {
	c.Name, c.Workspace = "g", "w"
	if c.Kind != KindPlain {
		c.Models = []string{"m"}
	}
	return Scenario{
		Name: "test", Seed: 7, DurationSeconds: 1, Targets: []string{target},
		CheckAnswers: true, TimeoutMillis: 5000, Classes: []RequestClass{c},
	}
}

func runScenario(t *testing.T, s Scenario) *Report {
	t.Helper()
	r, err := Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a generator that counts truncated or refused answers, or answers to other requests, as
// complete.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		fault  string
		stream bool
		count  func(*GroupReport) uint64
	}{
		{"complete", "", false, func(g *GroupReport) uint64 { return g.Complete }},
		{"complete stream", "", true, func(g *GroupReport) uint64 { return g.Complete }},
		{"refused", engine.FaultRefuse, false, func(g *GroupReport) uint64 { return g.Results["503/refused/"] }},
		{"refused stream", engine.FaultRefuse, true, func(g *GroupReport) uint64 { return g.Refused }},
		{"truncated", engine.FaultTruncate, false, func(g *GroupReport) uint64 { return g.Failed }},
		{"truncated stream", engine.FaultTruncate, true, func(g *GroupReport) uint64 { return g.Incomplete }},
		{"broken stream", engine.FaultBreak, true, func(g *GroupReport) uint64 { return g.Incomplete }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEngine(t, engine.Options{})
			if c.fault != "" {
				if err := e.SetFault(engine.Fault{Kind: c.fault, Tokens: 3}); err != nil {
					t.Fatal(err)
				}
			}
			s := newScenario(e.Addr(), RequestClass{Stream: c.stream, Arrivals: Arrivals{Kind: ArrivalsConstant, RatePerSecond: 100}})
			s.DurationSeconds = 0.2
			g := runScenario(t, s).Groups["g"]
			if g.Sent != 20 || c.count(g) != 20 {
				t.Fatalf("%d requests sent, want 20, all with the outcome that the test case names: %+v", g.Sent, g)
			}
		})
	}
}

// Guards against accepting the answer to another request as correct: the expected text follows from the request ID
// in the response header, not from the one in the body. Only the stored answer to a repeated idempotency key may
// carry the ID of an earlier request in its body.
func TestTextMatches(t *testing.T) {
	r := &request{model: "m", outputTokens: 8}
	text := engine.ExpectedText("a", "m", 8)
	if !textMatches(r, "a", "a", text) || textMatches(r, "b", "a", text) || textMatches(r, "a", "a", text[4:]) {
		t.Fatal("textMatches accepts the text of another request or a truncated text, or rejects the expected text")
	}
	r.repeated = true
	if !textMatches(r, "b", "a", text) {
		t.Fatal("textMatches rejects the stored answer to a repeated idempotency key")
	}
}

// Guards against coordinated omission: a stall of the target must show in the latencies of all requests
// whose intended send time falls into the stall.
func TestLatencyFromIntendedTime(t *testing.T) {
	e := startEngine(t, engine.Options{Slots: 1, TokenInterval: 5 * time.Millisecond})
	s := newScenario(e.Addr(), RequestClass{
		OutputTokens: Range{Min: 10},
		Arrivals:     Arrivals{Kind: ArrivalsBurst, BurstSize: 10, BurstEveryMillis: 5000},
	})
	s.DurationSeconds = 0.1
	g := runScenario(t, s).Groups["g"]
	if g.Complete != 10 || g.Whole.Max < 490_000 || g.Whole.P50 < 200_000 {
		t.Fatalf("10 requests of 50 ms each, served one after another; want 10 answers, a maximum of at least 490 ms and a median of at least 200 ms: %+v", g.Whole)
	}
}

// Guards against counts of refusals within the rate and of excess tokens that differ from those of the exact
// central token bucket.
func TestRateLimitAccounting(t *testing.T) {
	e := startEngine(t, engine.Options{})
	if err := e.SetFault(engine.Fault{Kind: engine.FaultRefuse}); err != nil {
		t.Fatal(err)
	}
	s := newScenario(e.Addr(), RequestClass{Arrivals: Arrivals{Kind: ArrivalsConstant, RatePerSecond: 100}})
	// Each request costs 32 tokens: the burst covers 10 requests, and the rate covers 10 more per second.
	s.Workspaces = map[entity.WorkspaceID]Rate{"w": {TokensPerSecond: 320, BurstTokens: 320}}
	w := runScenario(t, s).Workspaces["w"]
	if w.Sent != 100 || w.Admissible < 19 || w.Admissible > 20 || w.OtherRefusedWithinRate != w.Admissible {
		t.Fatalf("100 requests, all refused with another code than rate_limited: want 19 or 20 of them admissible and all of these in OtherRefusedWithinRate: %+v", w)
	}
	q := &request{sendAt: 0, cost: 32, limited: true, withinRate: true, class: &RequestClass{}}
	w.ended(q, result{outcome: outcomeRefused, code: codeRateLimited}, false)
	if w.RefusedWithinRate != 1 {
		t.Fatalf("a rate_limited refusal within the rate is not counted: %+v", w)
	}
	charges := []charge{{sendAt: time.Second, cost: 320}, {sendAt: time.Second, cost: 100}, {sendAt: 0, cost: 320}}
	rate := Rate{TokensPerSecond: 320, BurstTokens: 320}
	if got := excess(rate, charges); got != 100 {
		t.Fatalf("excess %f, want 100", got)
	}
	// At first, all three requests end within one second. 640 tokens are allowed for this second, so 100 of
	// their 740 tokens are proven excess. When the third one ends after 2 s instead, it could have been
	// admitted later and proves nothing.
	charges = []charge{{0, 0, 320}, {0, time.Second, 320}, {0, time.Second, 100}}
	if got := provenExcess(rate, charges); got != 100 {
		t.Fatalf("proven excess %f, want 100", got)
	}
	charges[2].ended = 2 * time.Second
	if got := provenExcess(rate, charges); got != 0 {
		t.Fatalf("proven excess %f, want 0", got)
	}
}

// Guards against plain calls that repeat an order without repeating its idempotency key.
func TestRepeatedPlainCallKeepsKey(t *testing.T) {
	sv := service.New(service.Options{})
	if err := sv.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Stop)
	s := newScenario(sv.Addr(), RequestClass{
		Kind: KindPlain, Path: "/cut", Idempotency: IdempotencyRepeat, RepeatShare: 0.5,
		Arrivals: Arrivals{RatePerSecond: 200},
	})
	g := runScenario(t, s).Groups["g"]
	rec := sv.Record()
	if g.Complete != g.Sent || rec.Runs != g.Sent || uint64(len(rec.Orders)) >= g.Sent {
		t.Fatalf("%+v, %d runs of %d different orders; want every request complete and run, and fewer orders than requests", g.Counts, rec.Runs, len(rec.Orders))
	}
	keys := map[string]string{}
	for _, got := range sv.Received() {
		key := got.Headers["Idempotency-Key"]
		if body, ok := keys[key]; key == "" || ok && body != got.Body {
			t.Fatalf("idempotency key %q is empty or was sent with another body before; body %s", key, got.Body)
		}
		keys[key] = got.Body
	}
}

// Guards against schedules that differ between runs with the same seed.
func TestScheduleIsReproducible(t *testing.T) {
	s := newScenario("x", RequestClass{ModelChoice: ChooseZipf, PromptTokens: Range{1, 99}, Arrivals: Arrivals{RatePerSecond: 500}}).withDefaults()
	s.Classes[0].Models = []string{"a", "b", "c"}
	one, two := newSchedule(&s, "run"), newSchedule(&s, "run")
	n := 0
	for {
		a, b := one.take(), two.take()
		if a == nil || b == nil {
			break
		}
		n++
		if a.sendAt != b.sendAt || !bytes.Equal(a.body, b.body) {
			t.Fatalf("request %d differs between two schedules with the same seed", n)
		}
	}
	if n < 400 || n > 600 {
		t.Fatalf("%d arrivals in 1 s at a rate of 500/s, want 400 to 600", n)
	}
}

// Guards against scenario files with errors that are accepted, and against reports of only the first error.
func TestReadScenario(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"valid", `{"duration_s":1,"targets":["a:1"],"classes":[{"name":"x","models":["m"],"arrivals":{"rate_per_s":5}}]}`, ""},
		{"unknown field", `{"durations":1}`, "durations"},
		{"first of two errors", `{"duration_s":1,"classes":[{"name":"x","models":["m"],"arrivals":{"kind":"burst"}}]}`, "targets: at least one"},
		{"second of two errors", `{"duration_s":1,"classes":[{"name":"x","models":["m"],"arrivals":{"kind":"burst"}}]}`, "burst_size"},
		{"weights", `{"duration_s":1,"targets":["a:1"],"balancer":{"policy":"skewed"},"classes":[{"name":"x","kind":"plain","path":"/p","arrivals":{"rate_per_s":5}}]}`, "balancer.weights"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.json")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadScenario(file)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one that names the wrong field, or none for the valid scenario", err)
			}
		})
	}
}

// Guards against a run that continues after its context has ended, and against reports that cannot be read
// back from their file.
func TestStopAndCompare(t *testing.T) {
	e := startEngine(t, engine.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	s := newScenario(e.Addr(), RequestClass{Arrivals: Arrivals{RatePerSecond: 50}})
	s.DurationSeconds = 60
	r, err := Run(ctx, s)
	if err != nil || r.DurationSeconds > 5 {
		t.Fatal(err, r.DurationSeconds)
	}
	file := filepath.Join(t.TempDir(), "a.json")
	if err := r.Write(file); err != nil {
		t.Fatal(err)
	}
	back, err := ReadReport(file)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Compare(&out, r, back); err != nil || !strings.Contains(out.String(), "group g complete") {
		t.Fatalf("the comparison lacks the row \"group g complete\", or cannot be written (error %v): %s", err, out.String())
	}
}

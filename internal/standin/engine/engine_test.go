package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

func start(t *testing.T, o Options) *Engine {
	t.Helper()
	e := New(o)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

func fastStore() *WeightStore {
	return NewWeightStore(WeightStoreOptions{TimeScale: 0.005})
}

func load(t *testing.T, e *Engine, m entity.ModelID) {
	t.Helper()
	o := command.Order{OrderID: "load-" + string(m), Fence: 1, Action: command.LoadModel, Model: m, Bytes: 1 << 30}
	if status, code := e.Order(o); status != 202 {
		t.Fatalf("load order: status %d, code %q, want status 202", status, code)
	}
	waitFor(t, func() bool { return stateOf(e, m) == stateReady })
}

func stateOf(e *Engine, m entity.ModelID) string {
	for _, entry := range e.Report().Entries {
		if entry.Model == m && entry.Adapter == "" {
			return entry.State
		}
	}
	return ""
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in 5 s")
		}
	}
}

// post sends one request. If the body breaks off, it returns the part that arrived.
func post(e *Engine, path, id, body string) (status int, header http.Header, got string, err error) {
	req, _ := http.NewRequest("POST", "http://"+e.Addr()+path, strings.NewReader(body))
	req.Header.Set(HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b), err
}

// sseText joins the token texts of a stream and reports whether it ended with [DONE].
func sseText(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("bad chunk %q: %v", data, err)
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

func chatBody(model string, n int, extraFields string) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]%s}`, model, n, extraFields)
}

// Guards against answers that differ from ExpectedText: the completeness checks of other tests compare
// answers with it and would then reject complete answers or accept incomplete ones.
func TestAnswersAreExpectedText(t *testing.T) {
	e := start(t, Options{ID: "e1", Store: fastStore(), TokenInterval: 100 * time.Microsecond})
	load(t, e, "m")
	want := ExpectedText("r1", "m", 20)
	_, h, body, err := post(e, "/v1/chat/completions", "r1", chatBody("m", 20, ""))
	if err != nil || !strings.Contains(body, want) || h.Get(HeaderRequestID) != "r1" {
		t.Fatalf("unstreamed answer: error %v, body %q; want the text of ExpectedText and the request ID r1", err, body)
	}
	if !strings.Contains(body, `"prompt_tokens":2,"completion_tokens":20`) {
		t.Fatalf("the usage does not have 2 prompt tokens and 20 completion tokens: %s", body)
	}
	_, _, body, err = post(e, "/v1/chat/completions", "r1", chatBody("m", 20, `,"stream":true`))
	if text, done := sseText(t, body); err != nil || text != want || !done {
		t.Fatalf("stream: error %v, body %q; want the text of ExpectedText and [DONE]", err, body)
	}
	if e.Runs("r1") != 2 || e.Record().RepeatedIDs != 1 {
		t.Fatal("the runs are not counted by request ID")
	}
	status, h, _, _ := post(e, "/v1/completions", "r2", `{"model":"other","prompt":"x"}`)
	if status != 409 || h.Get(HeaderRan) != "no" {
		t.Fatalf("request for a model that is not loaded: status %d, want 409 with the proof that it was not run", status)
	}
}

// Guards against an engine stand-in that accepts overcommitted memory or stale orders, or that loads a model
// twice.
func TestOrders(t *testing.T) {
	cases := []struct {
		name   string
		checks bool
		order  command.Order
		status int
		code   string
	}{
		{"repeated ID", true, command.Order{OrderID: "load-m", Fence: 1, Action: command.LoadModel, Model: "m", Bytes: 1 << 30}, 202, ""},
		{"load of a ready model", true, command.Order{OrderID: "x", Fence: 2, Action: command.LoadModel, Model: "m", Bytes: 1 << 30}, 202, ""},
		{"stale fence", true, command.Order{OrderID: "x", Fence: 0, Action: command.UnloadModel, Model: "m"}, 409, "stale_fence"},
		{"stale fence ignored", false, command.Order{OrderID: "x", Fence: 0, Action: command.UnloadModel, Model: "m"}, 202, ""},
		{"no memory", true, command.Order{OrderID: "x", Fence: 1, Action: command.LoadModel, Model: "n", Bytes: 2 << 30}, 507, "no_memory"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := start(t, Options{ID: "e1", Store: fastStore(), ChecksFence: c.checks, MemoryBytes: 2 << 30})
			load(t, e, "m")
			if status, code := e.Order(c.order); status != c.status || code != c.code {
				t.Fatalf("the order was answered with status %d, code %q, which the test case does not want", status, code)
			}
			rec := e.Record()
			if len(rec.LoadsOf("m")) != 1 || rec.MaxReservedBytes > 2<<30 {
				t.Fatalf("loads %v, at most %d bytes reserved; want one load of m and at most 2 GiB", rec.Loads, rec.MaxReservedBytes)
			}
			if (c.status == 507) != (len(rec.MemoryViolations) == 1) {
				t.Fatalf("memory violations %v, want one if the order was refused with status 507 and else none", rec.MemoryViolations)
			}
		})
	}
}

// Guards against a resume that loses or repeats tokens after a broken stream.
func TestBreakAndResume(t *testing.T) {
	e := start(t, Options{Store: fastStore(), TokenInterval: time.Millisecond})
	load(t, e, "m")
	if err := e.SetFault(Fault{Kind: FaultBreak, Count: 1, Tokens: 5}); err != nil {
		t.Fatal(err)
	}
	_, _, body, err := post(e, "/v1/chat/completions", "r1", chatBody("m", 12, `,"stream":true`))
	first, done := sseText(t, body)
	if err == nil || done || len(first) != 5*charsPerToken {
		t.Fatalf("broken stream: error %v, text %q; want an error after the text of 5 tokens", err, first)
	}
	resp, err := http.Get("http://" + e.Addr() + "/engine/v1/streams/r1?from=5")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	rest, done := sseText(t, string(b))
	if !done || first+rest != ExpectedText("r1", "m", 12) || e.Runs("r1") != 1 {
		t.Fatalf("the resumed stream has the text %q, want the rest of ExpectedText, [DONE] and no second run", rest)
	}
}

// Guards against faults that have no effect on the answers over HTTP, because the tests of hosts rely on them.
func TestFaults(t *testing.T) {
	e := start(t, Options{Store: fastStore()})
	load(t, e, "m")
	send := func(id string) (int, http.Header, string, error) {
		return post(e, "/v1/chat/completions", id, chatBody("m", 8, ""))
	}
	set := func(f Fault) {
		if err := e.SetFault(f); err != nil {
			t.Fatal(err)
		}
	}
	set(Fault{Kind: FaultRefuse, Count: 1})
	if status, h, _, _ := send("a"); status != 503 || h.Get(HeaderRan) != "no" || e.Runs("a") != 0 {
		t.Fatalf("refuse: status %d, want 503 with the proof that the request was not run, and no run", status)
	}
	set(Fault{Kind: FaultTruncate, Count: 1})
	if _, _, body, err := send("b"); err == nil || body == "" {
		t.Fatalf("truncate: error %v, body %q; want an error after a part of the body", err, body)
	}
	set(Fault{Kind: FaultCross, Count: 2})
	var wg sync.WaitGroup
	for _, pair := range [][2]string{{"c", "d"}, {"d", "c"}} {
		wg.Go(func() {
			_, h, body, _ := send(pair[0])
			if h.Get(HeaderRequestID) != pair[1] || !strings.Contains(body, ExpectedText(entity.RequestID(pair[1]), "m", 8)) {
				t.Errorf("cross: request %s got the answer of %s, want that of the other request", pair[0], h.Get(HeaderRequestID))
			}
		})
	}
	wg.Wait()
	set(Fault{Kind: FaultHang, Count: 1})
	time.AfterFunc(50*time.Millisecond, func() { _ = e.Restart() })
	boot := e.Boot()
	if _, _, _, err := send("e"); err == nil {
		t.Fatal("hang: the request got an answer, want a closed connection")
	}
	waitFor(t, func() bool { return e.Boot() != boot })
	// The name of the new boot is visible shortly before its port is open.
	status := 0
	waitFor(t, func() bool {
		status, _, _, _ = send("f")
		return status != 0
	})
	if status != 409 || len(e.Report().Entries) != 0 {
		t.Fatalf("request after the restart: status %d, want 409 and no entries, because no replica survives a restart", status)
	}
	if current, highest := e.opts.Store.Replicas("m"); current != 0 || highest != 1 {
		t.Fatalf("the weight store counts %d replicas and at most %d at the same time, want 0 and 1", current, highest)
	}
}

// Guards against reports that show a newer state than their lag allows, which would hide races in hosts.
func TestReportLag(t *testing.T) {
	e := start(t, Options{Store: fastStore(), ReportLag: 200 * time.Millisecond})
	load(t, e, "m")
	get := func() (r wire.UpstreamReport) {
		resp, err := http.Get("http://" + e.Addr() + "/engine/v1/state")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := get(); len(r.Entries) != 0 {
		t.Fatalf("the report already shows the loaded model, although the lag has not passed: %+v", r)
	}
	waitFor(t, func() bool {
		r := get()
		return len(r.Entries) == 1 && r.Entries[0].State == stateReady && r.Age >= 200*time.Millisecond
	})
}

// Guards against parallel loads that together are faster than the capacity of the weight store.
func TestWeightStoreShares(t *testing.T) {
	s := NewWeightStore(WeightStoreOptions{LoadsPerSecond: 1000, Parallel: 2})
	began := time.Now()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { _ = s.Load(t.Context(), 100*time.Millisecond) })
	}
	wg.Wait()
	if took := time.Since(began); took < 190*time.Millisecond {
		t.Fatalf("4 loads of 100 ms at 2 in parallel took %v, want about 200 ms", took)
	}
}

// Guards against a waiting list that ignores priorities and against a prefix cache that has no hits.
func TestPriorityAndPrefixCache(t *testing.T) {
	e := start(t, Options{Store: fastStore(), Slots: 1, TokenInterval: 5 * time.Millisecond, ReceivedLimit: 16})
	load(t, e, "m")
	prompt := strings.Repeat("x", 2*prefixBlockChars)
	body := func(priority int) string {
		return fmt.Sprintf(`{"model":"m","max_tokens":10,"prompt":%q,"priority":%d}`, prompt, priority)
	}
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	for i, r := range []struct {
		id       string
		priority int
	}{{"first", 0}, {"late", 9}, {"urgent", 1}} {
		wg.Go(func() {
			_, _, _, _ = post(e, "/v1/completions", r.id, body(r.priority))
			mu.Lock()
			defer mu.Unlock()
			order = append(order, r.id)
		})
		waitFor(t, func() bool { return len(e.Received()) == i+1 })
	}
	wg.Wait()
	if fmt.Sprint(order) != "[first urgent late]" {
		t.Fatalf("the requests ended in the order %v, want first, urgent, late", order)
	}
	if got := e.Record().CachedTokens; got != 2*2*prefixBlockTokens {
		t.Fatalf("%d prompt tokens were cached, want the 2 blocks of both later requests", got)
	}
	resp, err := http.Get("http://" + e.Addr() + "/engine/v1/events?since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	if !bytes.Contains(raw, []byte(PrefixHashes("m", prompt)[1])) {
		t.Fatalf("the cache events lack the second block of the prompt: %s", raw)
	}
}

// Guards against orders over HTTP that violate the protocol: the fault order_lost must apply the order, a
// refusal must prove that the order was not run, and a delayed order must not survive a restart.
func TestOrdersOverHTTP(t *testing.T) {
	e := start(t, Options{Store: fastStore(), ChecksFence: true})
	load := func(model string, fence int) (int, http.Header, error) {
		status, h, _, err := post(e, "/engine/v1/orders", "", fmt.Sprintf(
			`{"order_id":"%s-%d","fence":%d,"action":"load","model":%q,"bytes":1}`, model, fence, fence, model))
		return status, h, err
	}
	faults := func(body string) {
		if status, _, got, _ := post(e, "/standin/faults", "", body); status != 200 {
			t.Fatalf("faults: %d %s", status, got)
		}
	}
	if status, _, _ := load("m", 5); status != 202 {
		t.Fatalf("load order: status %d, want 202", status)
	}
	if status, h, _ := load("m", 4); status != 409 || h.Get(HeaderRan) != "no" {
		t.Fatalf("order with a stale fence: status %d, want 409 with the proof that it was not run", status)
	}
	faults(`{"set":[{"kind":"order_lost","count":1}]}`)
	if _, _, err := load("lost", 1); err == nil || stateOf(e, "lost") == "" {
		t.Fatalf("order_lost: error %v, state of the model %q; want an error and an applied order", err, stateOf(e, "lost"))
	}
	const orderDelay = 2 * time.Second
	faults(fmt.Sprintf(`{"set":[{"kind":"order_delay","count":1,"delay_ms":%d}]}`, orderDelay.Milliseconds()))
	boot := e.Boot()
	sent := time.Now()
	time.AfterFunc(20*time.Millisecond, func() {
		// The restart may close this connection before the answer.
		_, _, _, _ = post(e, "/standin/faults", "", `{"set":[{"kind":"restart"}]}`)
	})
	if _, _, err := load("late", 1); err == nil {
		t.Fatal("a delayed order was answered after the restart of its engine")
	}
	waitFor(t, func() bool { return e.Boot() != boot })
	time.Sleep(time.Until(sent.Add(orderDelay + 100*time.Millisecond)))
	if got := e.Report().Entries; len(got) != 0 {
		t.Fatalf("entries after the restart: %+v, want none, because the delayed order belongs to the former boot", got)
	}
}

// Guards against an unload that interrupts running requests or does not release all memory, and against a
// cancellation that reports a request as run although it never ran.
func TestUnloadDrainsAndCancel(t *testing.T) {
	e := start(t, Options{Store: fastStore(), Slots: 1, TokenInterval: 5 * time.Millisecond})
	load(t, e, "m")
	adapter := command.Order{OrderID: "a", Action: command.LoadAdapter, Model: "m", Adapter: "x", Bytes: 7}
	if status, _ := e.Order(adapter); status != 202 {
		t.Fatalf("order to load an adapter: status %d, want 202", status)
	}
	waitFor(t, func() bool { return strings.Contains(fmt.Sprint(e.Report().AppliedOrders), " a") })
	var wg sync.WaitGroup
	send := func(id string, status int, ran string) {
		wg.Go(func() {
			got, h, _, err := post(e, "/v1/chat/completions", id, chatBody("m:x", 20, ""))
			if err != nil || got != status || h.Get(HeaderRan) != ran {
				t.Errorf("request %s: status %d or header X-Engine-Ran is not the wanted one, error %v", id, got, err)
			}
		})
	}
	send("running", 200, "")
	waitFor(t, func() bool { return e.Report().Running == 1 })
	send("waiting", statusCanceled, "no")
	waitFor(t, func() bool { return e.Report().Waiting == 1 })
	if got := e.Cancel("waiting"); !got.Canceled || got.Ran || e.Report().Waiting != 0 {
		t.Fatalf("cancellation of a waiting request: %+v, want canceled, not run and no longer waiting", got)
	}
	send("refused", 409, "no")
	waitFor(t, func() bool { return e.Report().Waiting == 1 })
	_, _ = e.Order(command.Order{OrderID: "u", Fence: 2, Action: command.UnloadModel, Model: "m"})
	if stateOf(e, "m") != stateUnloading {
		t.Fatalf("state %q after the unload order, want unloading while a request runs", stateOf(e, "m"))
	}
	wg.Wait()
	waitFor(t, func() bool { return e.Report().UsedBytes == 0 && len(e.Report().Entries) == 0 })
	rec := e.Record()
	if rec.HeldSeconds <= rec.IdleSeconds || rec.GeneratedTokens != 20 || rec.Runs != 1 {
		t.Fatalf("want more held than idle seconds, 20 generated tokens and one run: %+v", rec)
	}
}

// Package scenarios runs the scripts in testdata against a site of real host processes.
//
// The scripts use the following commands. Hosts are named host-1, host-2 and host-3, engines are named engine-1
// and engine-2.
//
//	site start                               start three hosts and wait until they are ready
//	key NAME WORKSPACE                       issue a key
//	withdraw NAME                            withdraw the key
//	sigkill|pause|resume|restart HOST        act on the process of a host; the name kill is taken by testscript
//	cut|heal LINK                            break or restore a link; package harness defines the names of links
//	fault ENGINE KIND [count=N] [delay=MS] [tokens=N] [factor=N]
//	                                         set a fault of an engine; package engine defines the kinds
//	fault platform refuse|freeze|delay=MS|none
//	                                         replace the faults of the key-value service: refuse calls and freeze
//	                                         watches, only freeze watches, delay calls, or no faults
//	chat ID HOST KEY MODEL TOKENS [stream]   send a request and continue without waiting for the answer
//	order ID HOST KEY ORDER [claim]          the same for an order at a plain service; claim adds an idempotency
//	                                         key, so hosts record the order in a claim before they send it
//	sleep DURATION                           wait
//	expect ID STATUS|CODE [DURATION]         wait for the answer and compare its error code or, if it has none, its
//	                                         status; with DURATION, it must arrive within this time after the last
//	                                         withdrawal
//	expect runs ORDER N                      compare the number of runs of an order
//	expect loads MODEL N                     compare the number of loads of a model at all engines together
package scenarios

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

const baseDocument = `{
  "models": {
    "warm": {"bytes": 1000, "cold_start_ms": 300, "min_replicas": 1, "max_replicas": 2},
    "cold": {"bytes": 1000, "cold_start_ms": 300, "max_replicas": 1},
    "huge": {"bytes": 1000000, "cold_start_ms": 300}
  },
  "workspaces": {
    "clerks": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["*"], "routes": ["*"]},
    "archive": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["warm"]}
  },
  "routes": {"/orders/": {"upstream_kind": "orders", "timeout_ms": 5000}}
}`

// siteSlots limits the number of sites that run at the same time.
var siteSlots = make(chan struct{}, 4)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}

// TestScenarios runs every script in testdata. Each script guards against a wrong outcome of a sequence of events
// that operators know, such as the crash of an engine; its first lines say which outcome is right.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &scriptState{t: env.T().(testing.TB), keys: map[string]issuedKey{}, answers: map[string]chan harness.Answer{}}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"site": command(startSite), "key": command(issueKey), "withdraw": command(withdraw),
			"sigkill": hostCommand((*harness.Host).Kill), "pause": hostCommand((*harness.Host).Pause),
			"resume": hostCommand((*harness.Host).Resume), "restart": hostCommand(restart),
			"cut":   command(func(s *scriptState, a []string) error { s.site.Net.Cut(strings.Join(a, " ")); return nil }),
			"heal":  command(func(s *scriptState, a []string) error { s.site.Net.Heal(strings.Join(a, " ")); return nil }),
			"fault": command(setFault), "chat": command(chat), "order": command(order), "sleep": command(sleep), "expect": command(expect),
		},
	})
}

type stateKey struct{}

type issuedKey struct {
	value string
	id    entity.KeyID
}

// scriptState is the state of one running script.
type scriptState struct {
	t         testing.TB
	site      *harness.Site
	keys      map[string]issuedKey
	answers   map[string]chan harness.Answer
	withdrawn time.Time
}

// command returns a testscript command that calls f with the state of the script. It cannot be negated.
func command(f func(s *scriptState, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(stateKey{}).(*scriptState)
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		ts.Check(f(s, args))
	}
}

// hostCommand returns a testscript command that calls f with the host that its first argument names.
func hostCommand(f func(*harness.Host)) func(*testscript.TestScript, bool, []string) {
	return command(func(s *scriptState, args []string) error {
		h, err := s.host(args[0])
		if err == nil {
			f(h)
		}
		return err
	})
}

func restart(h *harness.Host) {
	h.Start()
	h.WaitReady()
}

func (s *scriptState) host(name string) (*harness.Host, error) {
	for _, h := range s.site.Hosts {
		if string(h.Settings.Host) == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host %q", name)
}

func startSite(s *scriptState, _ []string) error {
	siteSlots <- struct{}{}
	s.t.Cleanup(func() { <-siteSlots })
	o := harness.Options{Hosts: 3, Base: baseDocument, Services: []service.Options{{ID: "orders-1", Kind: "orders", WorkTime: 5 * time.Millisecond}}}
	store := engine.NewWeightStore(engine.WeightStoreOptions{})
	for i := range 2 {
		o.Engines = append(o.Engines, engine.Options{
			ID: entity.UpstreamID(fmt.Sprintf("engine-%d", i+1)), MemoryBytes: 3000, ChecksFence: true, Store: store,
			LoadTimes:     engine.LoadTimes{Memory: 50 * time.Millisecond, Disk: 100 * time.Millisecond, Remote: 300 * time.Millisecond},
			TokenInterval: 10 * time.Millisecond, ReportLag: 20 * time.Millisecond,
		})
	}
	s.site = harness.Start(s.t, o)
	return nil
}

func issueKey(s *scriptState, args []string) error {
	value, id := s.site.Key(entity.WorkspaceID(args[1]))
	s.keys[args[0]] = issuedKey{value, id}
	return nil
}

func withdraw(s *scriptState, args []string) error {
	s.site.Withdraw(s.keys[args[0]].id)
	s.withdrawn = time.Now()
	return nil
}

func setFault(s *scriptState, args []string) error {
	number := func(a, name string) (int64, bool) {
		v, ok := strings.CutPrefix(a, name+"=")
		n, err := strconv.ParseInt(v, 10, 64)
		return n, ok && err == nil
	}
	if args[0] == "platform" {
		delay, _ := number(args[1], "delay")
		s.site.Store.SetFaults(kv.Faults{Refuse: args[1] == "refuse", FreezeWatches: args[1] != "none" && delay == 0, DelayMillis: delay})
		return nil
	}
	f := engine.Fault{Kind: args[1]}
	for _, a := range args[2:] {
		for name, set := range map[string]func(n int64){
			"count": func(n int64) { f.Count = int(n) }, "delay": func(n int64) { f.DelayMS = n },
			"tokens": func(n int64) { f.Tokens = int(n) }, "factor": func(n int64) { f.Factor = float64(n) },
		} {
			if n, ok := number(a, name); ok {
				set(n)
			}
		}
	}
	for _, e := range s.site.Engines {
		if string(e.ID()) == args[0] {
			return e.SetFault(f)
		}
	}
	return fmt.Errorf("no engine %q", args[0])
}

func (s *scriptState) send(id, host string, r harness.Request) error {
	h, err := s.host(host)
	if err != nil {
		return err
	}
	out := make(chan harness.Answer, 1)
	s.answers[id] = out
	go func() { out <- h.Do(r) }()
	return nil
}

func chat(s *scriptState, args []string) error {
	tokens, err := strconv.Atoi(args[4])
	if err != nil {
		return err
	}
	return s.send(args[0], args[1], harness.Chat(s.keys[args[2]].value, args[3], tokens, len(args) > 5))
}

func order(s *scriptState, args []string) error {
	r := harness.Request{Method: "POST", Path: "/orders/new", Key: s.keys[args[2]].value, Body: fmt.Sprintf(`{"order":%q}`, args[3])}
	if len(args) > 4 {
		r.IdempotencyKey = args[3]
	}
	return s.send(args[0], args[1], r)
}

func sleep(_ *scriptState, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

func expect(s *scriptState, args []string) error {
	switch args[0] {
	case "runs":
		return compareCount(args[2], s.site.Services[0].Runs(args[1]))
	case "loads":
		n := 0
		for _, e := range s.site.Engines {
			n += len(e.Record().LoadsOf(entity.ModelID(args[1])))
		}
		return compareCount(args[2], n)
	}
	a := <-s.answers[args[0]]
	got := a.Code
	if got == "" {
		got = strconv.Itoa(a.Status)
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		if _, whole := harness.StreamText(a.Body); whole != (a.Code == "") {
			return fmt.Errorf("the stream has an end marker: %t, its error code is %q; want exactly one of the two", whole, a.Code)
		}
	}
	if len(args) > 2 {
		limit, err := time.ParseDuration(args[2])
		if took := time.Since(s.withdrawn); err != nil || took > limit {
			return fmt.Errorf("the answer arrived %v after the withdrawal, later than DURATION, or DURATION is invalid: %v", took, err)
		}
	}
	return compareAnswer(args[1], got, a)
}

func compareCount(want string, got int) error {
	if strconv.Itoa(got) != want {
		return fmt.Errorf("got %d, want %s", got, want)
	}
	return nil
}

func compareAnswer(want, got string, a harness.Answer) error {
	if want != got {
		return fmt.Errorf("got %s, want %s: error %v, body %.300s", got, want, a.Err, a.Body)
	}
	return nil
}

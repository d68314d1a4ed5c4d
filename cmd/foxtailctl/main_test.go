package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/config/check"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/httphead/headtest"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/settings"
	"github.com/foxtailpass/foxtailpass/platform"
	"github.com/foxtailpass/foxtailpass/platform/standin"
)

// memKV is a key-value service in memory. If err is set, every call fails with it.
type memKV struct {
	kvstore.KV
	mu    sync.Mutex
	rev   int64
	pairs map[string]kvstore.Pair
	err   error
}

func (m *memKV) pair(key string) (*kvstore.Pair, int64) {
	if p, ok := m.pairs[key]; ok {
		return &p, p.ModRevision
	}
	return nil, 0
}

func (m *memKV) Get(_ context.Context, key string) (*kvstore.Pair, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, _ := m.pair(key)
	return p, m.rev, m.err
}

func (m *memKV) Range(_ context.Context, r kvstore.RangeRequest) (kvstore.RangeResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out kvstore.RangeResult
	for key, p := range m.pairs {
		if strings.HasPrefix(key, r.Prefix) {
			out.Pairs = append(out.Pairs, p)
		}
	}
	return out, m.err
}

func (m *memKV) Txn(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return kvstore.TxnResult{}, m.err
	}
	m.rev++
	res := kvstore.TxnResult{Succeeded: true, Revision: m.rev}
	for _, c := range t.Compares {
		_, rev := m.pair(c.Key)
		res.Succeeded = res.Succeeded && rev == c.Value
	}
	ops := t.Success
	if !res.Succeeded {
		ops = t.Failure
	}
	for _, op := range ops {
		if op.Kind == kvstore.OpPut {
			m.pairs[op.Key] = kvstore.Pair{Key: op.Key, Value: op.Value, ModRevision: m.rev}
			continue
		}
		p, _ := m.pair(op.Key)
		res.Gets = append(res.Gets, p)
	}
	return res, nil
}

// useMemoryStore makes the commands use a key-value service in memory until the test ends.
func useMemoryStore(t *testing.T) *memKV {
	kv := &memKV{pairs: map[string]kvstore.Pair{}}
	old := openKV
	openKV = func(Settings) (kvstore.KV, error) { return kv, nil }
	t.Cleanup(func() { openKV = old })
	return kv
}

// runCommand runs one command line, checks its exit code and returns its standard output.
func runCommand(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	line := append([]string{"foxtailctl", "--endpoint", "127.0.0.1:1", "--who", "op", "--json"}, args...)
	if code := run(t.Context(), line, &out, io.Discard); code != want {
		t.Fatalf("%v: exit code %d, want %d\n%s", args, code, want, out.String())
	}
	return out.String()
}

// register registers a host whose operator port reports the given revision.
func (m *memKV) register(t *testing.T, id string, revision *atomic.Int64) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"config_revision":%d}`, revision.Load())
	}))
	t.Cleanup(server.Close)
	record := config.HostRecord{ID: entity.HostID(id), Incarnation: "i1", OperatorAddr: strings.TrimPrefix(server.URL, "http://")}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	m.pairs[config.HostsPrefix+id] = kvstore.Pair{Key: config.HostsPrefix + id, Value: value, ModRevision: 1}
}

const examples = "../../examples/"

var localFiles = []string{"--base", examples + "local/base.json", "--overlay", "local=" + examples + "local/overlay-local.json"}

// Guards against example files in the repository that are no longer valid.
func TestExamples(t *testing.T) {
	runCommand(t, exitOK, append([]string{"validate"}, localFiles...)...)
	out := runCommand(t, exitOK, "validate", "--base", examples+"base.json",
		"--overlay", "reykjavik="+examples+"overlay-reykjavik.json", "--overlay", "thessaly="+examples+"overlay-thessaly.json")
	var got []siteCounts
	want := []siteCounts{{"reykjavik", 100, 120, 5, 2}, {"thessaly", 65, 80, 5, 2}}
	if err := json.Unmarshal([]byte(out), &got); err != nil || !slices.Equal(got, want) {
		t.Errorf("models, adapters, workspaces and routes of the sites: %+v, error %v; want reykjavik 100 120 5 2 and thessaly 65 80 5 2", got, err)
	}
	for _, file := range []string{"foxtailctl.json", "local/foxtailctl.json"} {
		if _, err := settings.Load[Settings](examples + file); err != nil {
			t.Error(err)
		}
	}
}

// Guards against exit codes that differ from the documented ones, above all against an apply that loses to
// another change and ends with code 0: scripts would take it for applied.
func TestExitCodes(t *testing.T) {
	kv := useMemoryStore(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"models":{"m":{"byte":1}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	apply := append([]string{"apply"}, localFiles...)
	runCommand(t, exitOK, apply...)
	runCommand(t, exitUsage, "apply")
	runCommand(t, exitUsage, "apply", "--overlay", "x")
	runCommand(t, exitUsage, "history", "extra")
	runCommand(t, exitUsage, "history", "--settings", bad)
	runCommand(t, exitUsage, "history", "--prefix", "no-slash")
	runCommand(t, exitUsage, "nonsense")
	runCommand(t, exitUsage, "keys", "issue", "clerk")
	runCommand(t, exitFailure, "keys", "withdraw", "k-0000000000000000")
	if out := runCommand(t, exitInvalid, "apply", "--from-revision", "1", "--base", bad); !strings.Contains(out, `"path": "models[m].byte"`) {
		t.Errorf("the invalid field is not listed: %s", out)
	}
	if out := runCommand(t, exitConflict, apply...); !strings.Contains(out, `"who": "op"`) {
		t.Errorf("the winner is not named: %s", out)
	}
	for _, kv.err = range []error{kvstore.ErrUnavailable, kvstore.ErrUnknown} {
		runCommand(t, exitUnavailable, "apply", "--from-revision", "1", "--base", examples+"local/base.json")
		runCommand(t, exitUnavailable, "status")
	}
}

// Guards against an apply that reports success although a host still has the old revision active.
func TestApplyWaitsForHosts(t *testing.T) {
	kv := useMemoryStore(t)
	var fast, slow atomic.Int64
	fast.Store(1)
	kv.register(t, "fast", &fast)
	kv.register(t, "slow", &slow)
	out := runCommand(t, exitNotConfirmed, append([]string{"apply", "--wait", "300ms"}, localFiles...)...)
	var result applyResult
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatal(err)
	}
	if len(result.Hosts) != 2 || !result.Hosts[0].Confirmed || result.Hosts[1].Confirmed {
		t.Errorf("host fast must be confirmed and host slow must not: %+v", result.Hosts)
	}
	time.AfterFunc(100*time.Millisecond, func() { fast.Store(2); slow.Store(2) })
	runCommand(t, exitOK, "apply", "--wait", "10s", "--from-revision", "1", "--base", examples+"local/base.json")
}

// Guards against operator actions that leave no audit entry.
func TestKeysAndHostsAreAudited(t *testing.T) {
	kv := useMemoryStore(t)
	var revision atomic.Int64
	kv.register(t, "h1", &revision)
	runCommand(t, exitOK, append([]string{"apply"}, localFiles...)...)
	var issued struct{ Record config.KeyRecord }
	if err := json.Unmarshal([]byte(runCommand(t, exitOK, "keys", "issue", "clerks")), &issued); err != nil {
		t.Fatal(err)
	}
	runCommand(t, exitOK, "keys", "withdraw", string(issued.Record.ID))
	runCommand(t, exitOK, "keys", "withdraw", string(issued.Record.ID))
	runCommand(t, exitOK, "hosts", "gone", "h1")
	runCommand(t, exitUsage, "hosts", "gone", "h2")
	runCommand(t, exitOK, "hosts", "gone", "h2", "--incarnation", "i2")
	var entries []config.AuditEntry
	if err := json.Unmarshal([]byte(runCommand(t, exitOK, "audit")), &entries); err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, e := range entries {
		kinds = append(kinds, string(e.Kind))
	}
	if got := strings.Join(kinds, " "); got != "host_gone host_gone withdraw_key issue_key apply" {
		t.Errorf("kinds of the audit entries, newest first: %s", got)
	}
	if kv.pairs[config.TerminatedHostsPrefix+"h1/i1"].Key == "" || kv.pairs[config.TerminatedHostsPrefix+"h2/i2"].Key == "" {
		t.Error("the confirmation that the host no longer exists is not stored")
	}
	if out := runCommand(t, exitOK, "diff", "--overlay", "local="+examples+"overlay-thessaly.json"); !strings.Contains(out, `"models[assist-000]"`) {
		t.Errorf("diff does not list models[assist-000], which only the overlay has: %s", out)
	}
}

// Guards against a check of the platform's form with the wrong exit code, one that does not read the store, and flags that
// are ignored without a message.
func TestCheckPlatform(t *testing.T) {
	const dir = "../../examples/platform"
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	addr := store.Addr()
	report := func(want int, args ...string) platform.CheckReport {
		t.Helper()
		var r platform.CheckReport
		if err := json.Unmarshal([]byte(runCommand(t, want, append([]string{"check", "--platform"}, args...)...)), &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	clean, mistakes := dir+"/in-force.json", dir+"/next.json"
	if r := report(exitOK, clean); len(r.NotChecked) != 3 || r.Comparison != nil {
		t.Errorf("report of a file alone: %+v", r)
	}
	if r := report(exitInvalid, mistakes, "--in-force", clean); r.Comparison == nil || r.Comparison.Version != 11 {
		t.Errorf("comparison with a file: %+v", r.Comparison)
	}
	if r := report(exitOK, clean, "--store", addr); len(r.NotChecked) != 3 || r.NotChecked[2].Why != "no configuration is in force" {
		t.Errorf("not checked with an empty store: %v", r.NotChecked)
	}
	data, err := os.ReadFile(clean)
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.ConfigKey, data)
	for i, entry := range []string{`{"service":"readers","address":"127.0.0.1:1","state":"ready"}`, `{"service":"readers","address":"127.0.0.1:2","state":"draining"}`, `{"service":`} {
		store.Put(fmt.Sprintf("%s%d", platform.ServersPrefix, i), []byte(entry))
	}
	// One replica with 16 slots counts; the rates sum to 2,500 tokens/s.
	if r := report(exitWarnings, clean, "--store", addr, "--slot-tokens-per-s", "156"); len(r.Findings) != 1 || r.Comparison == nil || len(r.Comparison.Changes) != 0 {
		t.Errorf("report with the replicas of the store: %+v", r)
	}
	report(exitOK, clean, "--store", addr, "--slot-tokens-per-s", "157")
	report(exitOK, clean, "--store", addr, "--slot-tokens-per-s", "100", "--replicas", "readers=2")
	store.Close()
	if r := report(exitUnavailable, clean, "--store", addr); !strings.Contains(r.NotChecked[2].Why, "unavailable") {
		t.Errorf("not checked without the store: %v", r.NotChecked)
	}
	for _, args := range [][]string{
		{"--platform", dir + "/none.json"}, {"--platform", clean, "--in-force", dir + "/none.json"}, {"--platform", clean, "--base", clean}, {"--platform", clean, "--offline"},
		{"--platform", clean, "--in-force", clean, "--store", addr}, {"--platform", clean, "--store", "127.0.0.1"}, {"--platform", clean, "--replicas", "readers"}, {"--platform", clean, "--replicas", "readers=-1"},
		{"--platform", clean, "--slot-tokens-per-s", "0"}, {"--base", clean, "--store", addr},
	} {
		runCommand(t, exitUsage, append([]string{"check"}, args...)...)
	}
	var out bytes.Buffer
	if code := run(t.Context(), []string{"foxtailctl", "check", "--platform", mistakes, "--in-force", clean}, &out, io.Discard); code != exitInvalid ||
		!strings.HasPrefix(out.String(), mistakes+":7: error: routes[3].kind: hosts leave out route ask-old") || !strings.Contains(out.String(), "\n  ~ limits.max_body_bytes: 1048576 -> 2097152\n") ||
		strings.Contains(out.String(), "example-key") {
		t.Errorf("exit code %d, text:\n%s", code, out.String())
	}
}

// Guards against a host that counts as having a configuration, or as having released a request, because of an answer with a
// malformed head (issue 52).
func TestMalformedAnswerOfHostIsRefused(t *testing.T) {
	const body = `{"config_revision":7}`
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			host := headtest.Serve(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			if revision, err := fetchRevision(t.Context(), host); err == nil {
				t.Errorf("the host counts as having revision %d", revision)
			}
			runCommand(t, exitFailure, "quarantine", "release", "--host", host, "caa6")
		})
	}
}

// Guards against quarantine commands that fail, or report success, whatever the host answers.
func TestQuarantineCommands(t *testing.T) {
	var released string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/quarantine":
			_, _ = io.WriteString(w, `[{"service":"s","part":"5c1e","engines":["e1","e2"],"probes":1},{"request":"caa6","engines":["p1"],"probes":0}]`)
		case r.Method == http.MethodPost && (r.URL.Query().Get("part") == "5c1e" || r.URL.Query().Get("request") == "caa6"):
			released = r.URL.RawQuery
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	host := server.Listener.Addr().String()
	if out := runCommand(t, exitOK, "quarantine", "list", "--host", host); !strings.Contains(out, `"part": "5c1e"`) || !strings.Contains(out, "e2") || !strings.Contains(out, `"request": "caa6"`) {
		t.Errorf("the quarantined part and request are not listed: %s", out)
	}
	runCommand(t, exitOK, "quarantine", "release", "--host", host, "--service", "s", "5c1e")
	if released != "part=5c1e&service=s&who=op" {
		t.Errorf("query of the release %q", released)
	}
	runCommand(t, exitOK, "quarantine", "release", "--host", host, "caa6")
	if released != "request=caa6&who=op" {
		t.Errorf("query of the release of a request %q", released)
	}
	runCommand(t, exitFailure, "quarantine", "release", "--host", host, "--service", "s", "other")
	runCommand(t, exitUsage, "quarantine", "release", "--host", host, "--service", "s")
	runCommand(t, exitUsage, "quarantine", "list")
	server.Close()
	runCommand(t, exitFailure, "quarantine", "list", "--host", host)
}

// Guards against a check that scripts cannot rely on: an exit code that hides errors, warnings or a key-value service
// that does not answer, or a JSON report that does not say what was not checked.
func TestCheck(t *testing.T) {
	kv := useMemoryStore(t)
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := file("bad.json", `{"models":{"m":{"byte":1}}}`)
	warned := file("warned.json", `{"limits":{"retry_ratio":0}}`)
	clean := append([]string{"check"}, localFiles...)
	report := func(want int, args ...string) (r check.Report) {
		t.Helper()
		if err := json.Unmarshal([]byte(runCommand(t, want, args...)), &r); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		return r
	}
	runCommand(t, exitUsage, "check")
	runCommand(t, exitOK, append([]string{"apply"}, localFiles...)...)
	runCommand(t, exitOK, "keys", "issue", "clerks")
	runCommand(t, exitOK, "keys", "issue", "archive")
	if r := report(exitOK, clean...); r.Comparison == nil || r.Comparison.Revision != 1 || len(r.Comparison.Sites["local"]) != 0 {
		t.Errorf("comparison of the documents in force: %+v", r.Comparison)
	}
	report(exitOK, "check")
	r := report(exitWarnings, "check", "--overlay", "local="+warned)
	if len(r.Findings) != 1 || r.Findings[0].File != warned || r.Findings[0].Line != 1 || len(r.Comparison.Sites["local"]) == 0 {
		t.Errorf("report of an overlay with a warning: %+v", r)
	}
	report(exitInvalid, "check", "--overlay", "local="+bad)
	runCommand(t, exitUsage, "check", "--site", "other")
	runCommand(t, exitUsage, "check", "--overlay", "local="+dir+"/none.json")
	runCommand(t, exitUsage, "check", "--offline")
	kv.pairs[config.UpstreamsPrefix+"e"] = kvstore.Pair{Key: config.UpstreamsPrefix + "e", Value: []byte(`{"kind":"engine","state":"live","memory_bytes":7000000000}`)}
	if r := report(exitWarnings, append(clean, "--site", "local")...); len(r.Findings) != 3 || r.Findings[0].Path != "models[local-c].bytes" {
		t.Errorf("findings with an engine that is too small, and without plain services: %v", r.Findings)
	}
	if r := report(exitOK, append(clean, "--offline")...); r.Comparison != nil || len(r.NotChecked) != 2 {
		t.Errorf("report of an offline check: %+v", r)
	}
	kv.err = kvstore.ErrUnavailable
	if r := report(exitUnavailable, clean...); len(r.NotChecked) != 2 || !strings.Contains(r.NotChecked[0].Why, "unavailable") {
		t.Errorf("not checked without the key-value service: %+v", r.NotChecked)
	}
	report(exitInvalid, "check", "--base", bad)
	runCommand(t, exitUnavailable, "check")
	var out bytes.Buffer
	if code := run(t.Context(), []string{"foxtailctl", "check", "--base", bad}, &out, io.Discard); code != exitInvalid ||
		!strings.HasPrefix(out.String(), bad+":1: error: models[m].byte: is an unknown field [invalid]\n    hint: allowed: ") || !strings.HasSuffix(out.String(), "\n1 error, 0 warnings\n") {
		t.Errorf("exit code %d, text:\n%s", code, out.String())
	}
}

// Package overhead measures the latency that one host on one core adds to calls of a loaded model. The host
// runs as a process of its own, so that its processor time and memory can be measured separately.
package overhead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/experiment"
	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/load"
	"github.com/foxtailpass/foxtailpass/internal/settings"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/site"
)

const (
	overheadModel                        = "warm"
	overheadWorkspace entity.WorkspaceID = "bench"
	// saturatingWorkers is the number of concurrent requests of the measurement at saturation. It keeps one core
	// busy without a long queue.
	saturatingWorkers = 64
	hostStartTimeout  = 20 * time.Second
	// hostPollInterval is the time between two checks whether the host serves requests.
	hostPollInterval = 20 * time.Millisecond
	// productionReportInterval is the default in the settings of hosts. The hosts of a local site read reports
	// more often.
	productionReportInterval = 100 * time.Millisecond
	// clockTicks is the number of clock ticks per second of CPU times in /proc on Linux.
	clockTicks = 100
)

const overheadBase = `{
  "models": {"warm": {"bytes": 1000, "cold_start_ms": 100, "slots": 4096, "min_replicas": 1}},
  "workspaces": {"bench": {"rate_tokens_per_s": 1000000000, "burst_tokens": 1000000000, "models": ["*"]}}
}`

// Config holds the parameters of Run.
type Config struct {
	// Binary is the foxtailpass program; it runs as a process of its own with GOMAXPROCS=1.
	Binary string
	// Duration is the length of each measurement: one at saturation, and two in each round.
	Duration time.Duration
	// Rounds is the number of rounds. A round measures direct calls and then calls through the host, both at a
	// share of the saturating load.
	Rounds int
	// Share is the share of the saturating load that is sent in the rounds.
	Share float64
	Seed  uint64
	// Stream requests the answers as event streams.
	Stream bool
}

// Report is the result of Run.
type Report struct {
	LoadAverageBefore string `json:"load_average_before"`
	LoadAverageAfter  string `json:"load_average_after"`
	// Saturated is the number of complete answers per second in a closed loop at saturation. PerCore is the number
	// of these answers per second of the host's CPU time. Failed counts the requests at saturation without a
	// complete answer.
	Saturated float64 `json:"saturated_per_s"`
	PerCore   float64 `json:"per_cpu_second"`
	Failed    uint64  `json:"failed"`
	// MemoryIdle and MemoryLoaded are the resident memory of the host before and after the measurement at
	// saturation, and MemoryHighest is its highest value.
	MemoryIdle    int64 `json:"memory_idle_bytes"`
	MemoryLoaded  int64 `json:"memory_loaded_bytes"`
	MemoryHighest int64 `json:"memory_highest_bytes"`
	// Rate is the rate of the open-loop requests in the rounds, in requests per second.
	Rate   float64 `json:"rate_per_s"`
	Rounds []Round `json:"rounds"`
}

// Round holds the results of one round. Direct is measured at the engine stand-in, Through at the host.
type Round struct {
	Direct  load.Latency `json:"direct"`
	Through load.Latency `json:"through"`
	// Answered is the share of complete answers through the host.
	Answered float64 `json:"answered"`
	// CPUShare is the CPU time of the host per second of the round's calls through it. RunDelay is the time per
	// second for which its threads were ready but waited for a CPU. The machine, not the host, causes this part of
	// the latency.
	CPUShare float64 `json:"cpu_share"`
	RunDelay float64 `json:"run_delay"`
}

// Run compares calls through one host on one core with direct calls of the engine stand-in.
func Run(ctx context.Context, c Config) (*Report, error) {
	s, err := site.Start(ctx, site.Options{
		Hosts: site.NoHosts, Base: []byte(overheadBase), Overlay: []byte("{}"),
		Engines: []engine.Options{{ID: "engine-1", Slots: 4096, ReceivedLimit: -1, LoadTimes: engine.LoadTimes{Memory: 1, Disk: 1, Remote: 1}}},
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Stop() }()
	h, err := startHostProcess(ctx, s, c.Binary)
	if err != nil {
		return nil, err
	}
	defer h.stop()
	key, _, err := s.IssueKey(ctx, overheadWorkspace)
	if err != nil {
		return nil, err
	}
	if err := h.waitServing(ctx, key); err != nil {
		return nil, err
	}
	return c.measure(ctx, h, s.Engines[0].Addr(), key)
}

func (c Config) class(key string) load.RequestClass {
	return load.RequestClass{
		Name: "short", Workspace: overheadWorkspace, Key: key, Models: []string{overheadModel},
		Arrivals:     load.Arrivals{RatePerSecond: 1},
		PromptTokens: load.Range{Min: 8}, OutputTokens: load.Range{Min: 4}, Stream: c.Stream,
	}
}

func (c Config) measure(ctx context.Context, h *hostProcess, direct, key string) (*Report, error) {
	r := &Report{LoadAverageBefore: experiment.LoadAverage(), MemoryIdle: h.memory("VmRSS")}
	before := h.cpu()
	sat, err := load.Saturate(ctx, h.caller, c.class(key), saturatingWorkers, c.Duration)
	if err != nil {
		return nil, err
	}
	r.Saturated, r.Failed, r.MemoryLoaded = sat.PerSecond(), sat.Failed, h.memory("VmRSS")
	if used := h.cpu() - before; used > 0 {
		r.PerCore = float64(sat.Complete) / used.Seconds()
	}
	r.Rate = r.Saturated * c.Share
	for i := range c.Rounds {
		var round Round
		if round.Direct, _, err = c.openLoop(ctx, direct, key, r.Rate, uint64(i)); err != nil {
			return nil, err
		}
		began, cpu, delay := time.Now(), h.cpu(), h.runDelay()
		if round.Through, round.Answered, err = c.openLoop(ctx, h.caller, key, r.Rate, uint64(i)); err != nil {
			return nil, err
		}
		took := time.Since(began).Seconds()
		round.CPUShare = (h.cpu() - cpu).Seconds() / took
		round.RunDelay = (h.runDelay() - delay).Seconds() / took
		r.Rounds = append(r.Rounds, round)
	}
	r.MemoryHighest, r.LoadAverageAfter = h.memory("VmHWM"), experiment.LoadAverage()
	return r, nil
}

func (c Config) openLoop(ctx context.Context, target, key string, rate float64, round uint64) (load.Latency, float64, error) {
	class := c.class(key)
	class.Arrivals.RatePerSecond = rate
	out, err := load.Run(ctx, load.Scenario{
		Name: "overhead", Seed: c.Seed + round, DurationSeconds: c.Duration.Seconds(), Targets: []string{target},
		Precise: true, Classes: []load.RequestClass{class},
	})
	if err != nil {
		return load.Latency{}, 0, err
	}
	g := out.Groups["short"]
	return g.Whole, float64(g.Complete) / float64(max(g.Sent, 1)), nil
}

// hostProcess is a foxtailpass process on one core, with its addresses for callers and operators.
type hostProcess struct {
	cmd              *exec.Cmd
	dir              string
	caller, operator string
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("overhead: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func startHostProcess(ctx context.Context, s *site.Site, binary string) (*hostProcess, error) {
	set := s.HostSettings(0)
	for _, addr := range []*string{&set.CallerAddr, &set.OperatorAddr, &set.PeerAddr} {
		port, err := freeAddr()
		if err != nil {
			return nil, err
		}
		*addr = port
	}
	set.ReportInterval = settings.Duration(productionReportInterval)
	set.Log = host.LogSettings{Level: "warn", Format: "text"}
	data, err := json.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	dir, err := os.MkdirTemp("", "foxtailload")
	if err != nil {
		return nil, fmt.Errorf("overhead: %w", err)
	}
	h := &hostProcess{dir: dir, caller: set.CallerAddr, operator: set.OperatorAddr}
	file := filepath.Join(dir, "host.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	h.cmd = exec.CommandContext(ctx, binary, "--settings", file)
	h.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	h.cmd.Stderr = os.Stderr
	if err := h.cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("overhead: start host: %w", err), os.RemoveAll(dir))
	}
	return h, nil
}

func (h *hostProcess) stop() {
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	_ = os.RemoveAll(h.dir)
}

// waitServing waits until a request through the host is answered.
func (h *hostProcess) waitServing(ctx context.Context, key string) error {
	body := fmt.Appendf(nil, `{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"warm"}]}`, overheadModel)
	for limit := time.Now().Add(hostStartTimeout); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(hostPollInterval) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + h.caller + "/v1/chat/completions")
		req.Header.SetMethod("POST")
		req.Header.Set("Authorization", "Bearer "+key)
		req.SetBody(body)
		err := fasthttp.DoTimeout(req, resp, time.Second)
		status := resp.StatusCode()
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
	}
	return errors.New("overhead: the host process did not serve a request in time")
}

// memory returns a field of /proc/PID/status in bytes, or 0 if it cannot be read.
func (h *hostProcess) memory(field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for l := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(l, field+":"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// cpu returns the CPU time that the process has used.
func (h *hostProcess) cpu() time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	// The fields after the name in parentheses are separated by spaces; those with index 11 and 12 are user and
	// system time.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// runDelay returns the total time for which the threads of the process were ready to run but waited for a CPU.
func (h *hostProcess) runDelay() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", h.cmd.Process.Pid))
	var sum time.Duration
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if fields := strings.Fields(string(data)); len(fields) == 3 {
			ns, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(label, format string, args ...any) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", label, fmt.Sprintf(format, args...))
	}
	row("load average before/after", "%s/%s", r.LoadAverageBefore, r.LoadAverageAfter)
	row("requests/s of one host, GOMAXPROCS=1", "%.0f (%d failed)", r.Saturated, r.Failed)
	row("requests per CPU second of the host", "%.0f", r.PerCore)
	row("memory idle/loaded/highest", "%.1f/%.1f/%.1f MB", mb(r.MemoryIdle), mb(r.MemoryLoaded), mb(r.MemoryHighest))
	row("rate of the rounds", "%.0f/s", r.Rate)
	for i, o := range r.Rounds {
		row(fmt.Sprintf("round %d direct p50/p99", i+1), "%.2f/%.2f ms", ms(o.Direct.P50), ms(o.Direct.P99))
		row(fmt.Sprintf("round %d through the host p50/p99", i+1), "%.2f/%.2f ms, %.2f %% answered", ms(o.Through.P50), ms(o.Through.P99), 100*o.Answered)
		row(fmt.Sprintf("round %d added p50/p99", i+1), "%.2f/%.2f ms", ms(o.Through.P50-o.Direct.P50), ms(o.Through.P99-o.Direct.P99))
		row(fmt.Sprintf("round %d host on CPU/ready but waiting for one", i+1), "%.0f/%.0f ms per s", 1000*o.CPUShare, 1000*o.RunDelay)
	}
	return tw.Flush()
}

func mb(bytes int64) float64  { return float64(bytes) / 1e6 }
func ms(micros int64) float64 { return float64(micros) / 1000 }

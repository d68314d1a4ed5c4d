package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/load"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
)

// maxSlowestListed bounds the number of cold starts that the report lists individually.
const maxSlowestListed = 20

// Report is the result of one experiment. Times are in seconds as measured, in compressed time (see
// Compression).
type Report struct {
	Experiment  string    `json:"experiment"`
	Site        string    `json:"site"`
	Policy      string    `json:"policy"`
	Seed        uint64    `json:"seed"`
	Compression float64   `json:"compression"`
	Started     time.Time `json:"started"`
	// LoadAverage is the load average of the machine over the last minute, at the end of the run.
	LoadAverage string `json:"load_average"`

	Requests uint64 `json:"requests"`
	// ColdRequests counts the cold requests that got a complete answer. ColdStart is the time to their first
	// token, and ColdBare their bare time.
	ColdRequests int `json:"cold_requests"`
	// ColdRefused counts the cold requests that got no complete answer, for another reason than the rate limit.
	ColdRefused int         `json:"cold_refused"`
	ColdStart   Percentiles `json:"cold_start_s"`
	ColdBare    Percentiles `json:"cold_bare_s"`
	// SlowestColdStarts lists the cold starts that exceeded their bare time the most.
	SlowestColdStarts []ColdDetail `json:"slowest_cold_starts"`
	// ColdRatio is the p99 of ColdStart divided by that of ColdBare.
	ColdRatio float64 `json:"cold_ratio"`
	// ColdModels counts the periods in which a model that may have one replica only was loaded while it was cold.
	// For other models, hosts may order further loads for capacity while the first one runs. LoadsPerColdModel and
	// MaxLoadsPerColdModel are the mean and the maximum number of loads in these periods; one is enough.
	ColdModels           int     `json:"cold_models"`
	LoadsPerColdModel    float64 `json:"loads_per_cold_model"`
	MaxLoadsPerColdModel int     `json:"max_loads_per_cold_model"`
	// Loads counts the loads of models that began after the first request was sent. HeldSeconds is the sum over all
	// replicas of the time in which they occupied accelerators, and IdleSeconds the part of it in which they were
	// loaded but ran no request. MemoryViolations counts the load orders for which an engine lacked memory.
	Loads            int     `json:"loads"`
	IdleSeconds      float64 `json:"idle_accelerator_s"`
	HeldSeconds      float64 `json:"held_accelerator_s"`
	MemoryViolations int     `json:"memory_violations"`
	// WorstWorkspace is the workspace with the lowest share of in-time answers to requests within its rate,
	// among the workspaces that the scenario keeps within their rate.
	WorstWorkspace   entity.WorkspaceID             `json:"worst_workspace"`
	WorstInTimeShare float64                        `json:"worst_in_time_share"`
	InTimeShares     map[entity.WorkspaceID]float64 `json:"in_time_shares"`
	// RequestsWithinRate counts the requests that the exact central token bucket of their workspace admits (see
	// package load), and WrongRefusals those of them that the hosts refused because of the limit.
	RequestsWithinRate uint64 `json:"requests_within_rate"`
	WrongRefusals      uint64 `json:"wrong_refusals"`
	// WrongRefusalShare is WrongRefusals divided by RequestsWithinRate. A workspace that the scenario lets
	// exceed its rate is left out of both, because which of its requests the exact bucket admits depends on
	// their order.
	WrongRefusalShare float64 `json:"wrong_refusal_share"`
	// ExcessTokens is the proven excess over the token limit, summed over all workspaces.
	ExcessTokens float64 `json:"tokens_over_limit"`
	// Unanswered counts the requests that got neither a complete answer nor an error. Those sent to a host
	// that the scenario terminated are counted in UnansweredKilled instead.
	Unanswered       uint64             `json:"unanswered"`
	UnansweredKilled uint64             `json:"unanswered_at_killed_host"`
	PlatformCalls    map[string]float64 `json:"platform_calls_per_s"`
	Results          map[string]uint64  `json:"results"`
	Load             *load.Report       `json:"load"`
}

// Percentiles are the p50, p95 and p99 of a set of durations, in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func percentiles(values []time.Duration) Percentiles {
	slices.Sort(values)
	at := func(q float64) float64 {
		if len(values) == 0 {
			return 0
		}
		return values[min(int(q*float64(len(values))), len(values)-1)].Seconds()
	}
	return Percentiles{at(0.5), at(0.95), at(0.99)}
}

// usage holds counters that the engines and the key-value service have accumulated since their start: the idle and
// held accelerator seconds (see Report), and the calls of the key-value service by kind.
type usage struct {
	idleSeconds, heldSeconds float64
	platformCalls            map[string]int64
}

func (r *run) sumUsage() usage {
	u := usage{platformCalls: r.site.Store.Counts().Map()}
	for _, rec := range r.records() {
		u.idleSeconds += rec.IdleSeconds
		u.heldSeconds += rec.HeldSeconds
	}
	return u
}

func (r *run) report(l *load.Report, before usage) *Report {
	took := time.Since(r.loadStart).Seconds()
	after := r.sumUsage()
	out := &Report{
		Experiment: r.config.Experiment, Site: r.config.Site, Policy: r.config.Policy, Seed: r.config.Seed,
		Compression: Compression, Started: r.loadStart, LoadAverage: LoadAverage(),
		IdleSeconds: after.idleSeconds - before.idleSeconds, HeldSeconds: after.heldSeconds - before.heldSeconds,
		PlatformCalls: map[string]float64{}, InTimeShares: map[entity.WorkspaceID]float64{}, Results: map[string]uint64{}, Load: l,
	}
	for kind, n := range after.platformCalls {
		out.PlatformCalls[kind] = float64(n-before.platformCalls[kind]) / took
	}
	r.addColdStarts(out)
	r.addWorkspaces(out, l)
	for _, g := range l.Groups {
		for k, n := range g.Results {
			out.Results[k] += n
		}
	}
	return out
}

func (r *run) addColdStarts(out *Report) {
	records := r.records()
	h := newLoadHistory(records, r.leaving)
	r.mu.Lock()
	defer r.mu.Unlock()
	var took, bare []time.Duration
	starts := h.requestColdStarts(r.document, r.remainingEngines, r.samples)
	slices.SortFunc(starts, func(a, b requestColdStart) int { return int(b.took - b.bare - a.took + a.bare) })
	for i, c := range starts {
		took = append(took, c.took)
		bare = append(bare, c.bare)
		if i < maxSlowestListed {
			out.SlowestColdStarts = append(out.SlowestColdStarts, h.coldDetail(c, r.remainingEngines(c.sample.At), r.loadStart))
		}
	}
	out.ColdRequests = len(took)
	out.ColdStart, out.ColdBare = percentiles(took), percentiles(bare)
	if out.ColdBare.P99 > 0 {
		out.ColdRatio = out.ColdStart.P99 / out.ColdBare.P99
	}
	loads := 0
	for _, e := range h.modelColdStarts(r.loadStart) {
		if !slices.Contains(r.singleReplica, e.model) {
			continue
		}
		out.ColdModels++
		loads += e.loads
		out.MaxLoadsPerColdModel = max(out.MaxLoadsPerColdModel, e.loads)
	}
	if out.ColdModels > 0 {
		out.LoadsPerColdModel = float64(loads) / float64(out.ColdModels)
	}
	for _, rec := range records {
		out.MemoryViolations += len(rec.MemoryViolations)
		for _, l := range rec.Loads {
			if l.Adapter == "" && !l.Began.Before(r.loadStart) {
				out.Loads++
			}
		}
	}
	for _, s := range r.samples {
		out.Requests++
		if s.Model != "" && !s.Complete && s.Code != "rate_limited" && h.isCold(entity.ModelID(s.Model), s.At) {
			out.ColdRefused++
		}
		switch {
		case s.Complete, s.Refused, s.ErrorEvent:
		case s.Target == r.killedTarget:
			out.UnansweredKilled++
		default:
			out.Unanswered++
		}
	}
}

// remainingEngines returns the engines that are not announced to leave at the given time.
func (r *run) remainingEngines(at time.Time) []engine.Options {
	return slices.DeleteFunc(slices.Clone(r.engines), func(o engine.Options) bool {
		since, leaving := r.leaving[o.ID]
		return leaving && at.After(since)
	})
}

func (r *run) addWorkspaces(out *Report, l *load.Report) {
	out.WorstInTimeShare = 1
	for ws, w := range l.Workspaces {
		out.ExcessTokens += w.ProvenExcessTokens
		if w.Sent == 0 || out.Experiment == "greedy" && ws == r.size.greedy {
			continue
		}
		out.InTimeShares[ws] = w.AdmissibleInTimeShare
		out.RequestsWithinRate += w.Admissible
		out.WrongRefusals += w.RefusedWithinRate
		if w.Admissible > 0 && w.AdmissibleInTimeShare < out.WorstInTimeShare {
			out.WorstWorkspace, out.WorstInTimeShare = ws, w.AdmissibleInTimeShare
		}
	}
	if out.RequestsWithinRate > 0 {
		out.WrongRefusalShare = float64(out.WrongRefusals) / float64(out.RequestsWithinRate)
	}
}

// LoadAverage returns the load average of the last minute, or "unknown".
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}

// Write stores the report as a JSON file.
func (r *Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: write report: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("experiment: write report: %w", err)
	}
	return nil
}

// ReadReport reads a report file. It returns nil without an error if the file holds another kind of report.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("experiment: read report %s: %w", file, err)
	}
	if r.Experiment == "" {
		return nil, nil
	}
	return &r, nil
}

// tableLine is one line of the printed table.
type tableLine struct {
	label string
	value func(*Report) string
}

func (p Percentiles) String() string { return fmt.Sprintf("%.3f/%.3f/%.3f s", p.P50, p.P95, p.P99) }

var tableLines = []tableLine{
	{"experiment", func(r *Report) string { return r.Experiment + " " + r.Site }},
	{"policy, seed", func(r *Report) string { return fmt.Sprintf("%s, %d", r.Policy, r.Seed) }},
	{"load average", func(r *Report) string { return r.LoadAverage }},
	{"requests", func(r *Report) string { return fmt.Sprint(r.Requests) }},
	{"cold requests answered/not", func(r *Report) string { return fmt.Sprintf("%d/%d", r.ColdRequests, r.ColdRefused) }},
	{"cold start p50/p95/p99", func(r *Report) string { return r.ColdStart.String() }},
	{"bare load and store wait p50/p95/p99", func(r *Report) string { return r.ColdBare.String() }},
	{"cold start p99 / bare p99", func(r *Report) string { return fmt.Sprintf("%.2f", r.ColdRatio) }},
	{"loads per cold model mean/max", func(r *Report) string {
		return fmt.Sprintf("%.3f/%d of %d", r.LoadsPerColdModel, r.MaxLoadsPerColdModel, r.ColdModels)
	}},
	{"idle of held accelerator seconds", func(r *Report) string { return fmt.Sprintf("%.1f of %.1f", r.IdleSeconds, r.HeldSeconds) }},
	{"worst-served workspace in time", func(r *Report) string { return fmt.Sprintf("%.2f %% (%s)", 100*r.WorstInTimeShare, r.WorstWorkspace) }},
	{"wrong refusals", func(r *Report) string {
		return fmt.Sprintf("%d of %d (%.3f %%)", r.WrongRefusals, r.RequestsWithinRate, 100*r.WrongRefusalShare)
	}},
	{"tokens over the limit", func(r *Report) string { return fmt.Sprintf("%.0f", r.ExcessTokens) }},
	{"without answer (at killed host)", func(r *Report) string { return fmt.Sprintf("%d (%d)", r.Unanswered, r.UnansweredKilled) }},
	{"memory violations", func(r *Report) string { return fmt.Sprint(r.MemoryViolations) }},
	{"platform calls/s", func(r *Report) string { return callList(r.PlatformCalls) }},
	{"results", func(r *Report) string { return resultList(r.Results) }},
}

func callList(calls map[string]float64) string {
	var list []string
	for k, v := range calls {
		list = append(list, fmt.Sprintf("%s %.1f", k, v))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func resultList(results map[string]uint64) string {
	var list []string
	for k, n := range results {
		list = append(list, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Print writes reports as a table with one column per report.
func Print(out io.Writer, reports ...*Report) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, l := range tableLines {
		row := []string{l.label}
		for _, r := range reports {
			row = append(row, l.value(r))
		}
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

package load

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// maxRecordedMicros is the largest latency that a histogram records: one hour. Longer ones are recorded
	// as one hour.
	maxRecordedMicros = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Report is the result of one run.
type Report struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	// DurationSeconds is the time from the start of the run to the last answer.
	DurationSeconds float64 `json:"duration_s"`
	// SendLag is how much later than intended the generator sent the requests. All latencies include it.
	SendLag    Latency                                `json:"send_lag"`
	Groups     map[string]*GroupReport                `json:"groups"`
	Workspaces map[entity.WorkspaceID]WorkspaceReport `json:"workspaces"`
	Targets    map[string]Counts                      `json:"targets"`
	// Seconds holds the counts for each second of the run, by intended send time.
	Seconds []Counts `json:"seconds"`
}

// Counts are the numbers of requests by outcome.
type Counts struct {
	// Sent counts the requests that were due, including those in NotSent. In Report.Targets it counts the
	// requests that were sent to the target and have ended.
	Sent     uint64 `json:"sent"`
	Complete uint64 `json:"complete"`
	Refused  uint64 `json:"refused"`
	// ErrorEvents counts the streams that ended with an explicit error event.
	ErrorEvents uint64 `json:"error_events"`
	// Incomplete counts the answers that broke off without an explicit error. Wrong counts the complete
	// answers that are not the expected ones.
	Incomplete uint64 `json:"incomplete"`
	Wrong      uint64 `json:"wrong"`
	// Failed counts the requests without an answer. NotSent counts the requests that the generator left out
	// because MaxInFlight others were open.
	Failed  uint64 `json:"failed"`
	NotSent uint64 `json:"not_sent"`
	// InTime counts the complete answers that arrived within InTimeMillis of their class.
	InTime uint64 `json:"in_time"`
}

func (c *Counts) add(v outcome, inTime bool) {
	switch v {
	case outcomeComplete:
		c.Complete++
	case outcomeRefused:
		c.Refused++
	case outcomeErrorEvent:
		c.ErrorEvents++
	case outcomeIncomplete:
		c.Incomplete++
	case outcomeWrong:
		c.Wrong++
	case outcomeFailed:
		c.Failed++
	}
	if inTime {
		c.InTime++
	}
}

// Latency summarizes one latency histogram, in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p999_us"`
	Max   int64   `json:"max_us"`
}

// GroupReport is the result of one group of request classes.
type GroupReport struct {
	Counts
	// Results counts the requests by "status/code/ran": the HTTP status, the error code, and the statement of the
	// target whether the request was run.
	Results map[string]uint64 `json:"results"`
	// RefusedWithRetryAfter counts the refusals with a Retry-After header.
	RefusedWithRetryAfter uint64  `json:"refused_with_retry_after"`
	FirstToken            Latency `json:"first_token"`
	BetweenTokens         Latency `json:"between_tokens"`
	// Whole is the time to the end of a complete answer.
	Whole Latency `json:"whole"`
	// RefusalTime is the time to the end of a refusal.
	RefusalTime Latency `json:"refusal_time"`
}

// WorkspaceReport is the result of one workspace.
type WorkspaceReport struct {
	Counts
	// InTimeShare is InTime divided by Sent.
	InTimeShare float64 `json:"in_time_share"`
	// Admissible counts the requests that the exact central token bucket admits.
	Admissible uint64 `json:"admissible"`
	// AdmissibleInTimeShare is the share of the admissible requests that were answered in time.
	AdmissibleInTimeShare float64 `json:"admissible_in_time_share"`
	// RefusedWithinRate counts the admissible requests that the target refused because of the workspace's limit
	// (codes rate_limited and exceeds_burst). RefusedWithinRateShare is this number divided by Admissible.
	RefusedWithinRate      uint64  `json:"refused_within_rate"`
	RefusedWithinRateShare float64 `json:"refused_within_rate_share"`
	// OtherRefusedWithinRate counts the admissible requests that the target refused for other reasons.
	OtherRefusedWithinRate uint64 `json:"other_refused_within_rate"`
	// CompleteBeyondRate counts the complete answers to requests that are not admissible.
	CompleteBeyondRate uint64 `json:"complete_beyond_rate"`
	// ExcessTokens is the largest excess of completed tokens over burst + rate × d in any interval of
	// length d. The tokens count at the intended send time of their request. This is too early for a
	// request that waited for its tokens, so small values do not prove that the limit was exceeded.
	ExcessTokens float64 `json:"excess_tokens"`
	// ProvenExcessTokens is the largest excess over burst + rate × d of the tokens of requests that were
	// both sent and completed within an interval of length d. These requests were admitted within the
	// interval, so any positive value proves that the limit was exceeded.
	ProvenExcessTokens float64 `json:"proven_excess_tokens"`
	CompletedTokens    float64 `json:"completed_tokens"`

	admissibleInTime uint64
	charges          []charge
}

// charge is the cost in tokens of one completed request, with its intended send time and its end, both since
// the start of the run.
type charge struct {
	sendAt, ended time.Duration
	cost          float64
}

// collector gathers the results of a run. Each group has its own lock, so that groups do not delay each other.
type collector struct {
	groups map[string]*group

	mu         sync.Mutex
	lag        *hdrhistogram.Histogram
	workspaces map[entity.WorkspaceID]*WorkspaceReport
	targets    map[string]*Counts
	seconds    []Counts
}

type group struct {
	mu              sync.Mutex
	counts          Counts
	results         map[resultKey]uint64
	retryAfterCount uint64
	firstToken      *hdrhistogram.Histogram
	betweenTokens   *hdrhistogram.Histogram
	whole           *hdrhistogram.Histogram
	refusalTime     *hdrhistogram.Histogram
}

type resultKey struct {
	status    int
	code, ran string
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

func newCollector(s Scenario) *collector {
	c := &collector{
		groups:     map[string]*group{},
		lag:        newHistogram(),
		workspaces: map[entity.WorkspaceID]*WorkspaceReport{},
		targets:    map[string]*Counts{},
		seconds:    make([]Counts, int(s.DurationSeconds)+1),
	}
	for _, cl := range s.Classes {
		c.workspaces[cl.Workspace] = &WorkspaceReport{}
		if c.groups[cl.Group] == nil {
			c.groups[cl.Group] = &group{
				results:    map[resultKey]uint64{},
				firstToken: newHistogram(), betweenTokens: newHistogram(),
				whole: newHistogram(), refusalTime: newHistogram(),
			}
		}
	}
	for _, t := range s.Targets {
		c.targets[t] = &Counts{}
	}
	return c
}

func (c *collector) secondCounts(q *request) *Counts {
	return &c.seconds[min(int(q.sendAt/time.Second), len(c.seconds)-1)]
}

// recordSent counts a request that is due, with the delay between its intended and its actual send time.
func (c *collector) recordSent(q *request, lag time.Duration) {
	g := c.groups[q.class.Group]
	g.mu.Lock()
	g.counts.Sent++
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lag, lag)
	c.secondCounts(q).Sent++
	w := c.workspaces[q.class.Workspace]
	w.Sent++
	if q.withinRate {
		w.Admissible++
	}
}

// recordNotSent counts a request that is left out because too many others are open.
func (c *collector) recordNotSent(q *request) {
	g := c.groups[q.class.Group]
	g.mu.Lock()
	g.counts.NotSent++
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secondCounts(q).NotSent++
	c.workspaces[q.class.Workspace].NotSent++
}

// ended records the result of a request that has ended.
func (c *collector) ended(target string, q *request, res result) {
	limit := time.Duration(q.class.InTimeMillis) * time.Millisecond
	inTime := res.outcome == outcomeComplete && (limit <= 0 || res.whole <= limit)
	c.groups[q.class.Group].ended(q, res, inTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target].Sent++
	c.targets[target].add(res.outcome, inTime)
	c.secondCounts(q).add(res.outcome, inTime)
	c.workspaces[q.class.Workspace].ended(q, res, inTime)
}

func (g *group) ended(q *request, res result, inTime bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.add(res.outcome, inTime)
	g.results[resultKey{res.status, res.code, res.ran}]++
	switch res.outcome {
	case outcomeComplete:
		record(g.whole, res.whole)
	case outcomeRefused:
		record(g.refusalTime, res.whole)
		if res.retryAfter {
			g.retryAfterCount++
		}
	}
	if res.firstToken > 0 && q.class.Stream {
		record(g.firstToken, res.firstToken)
	}
	for _, d := range res.tokenGaps {
		record(g.betweenTokens, d)
	}
}

// Error codes of refusals that are caused by the limit of a workspace.
const (
	codeRateLimited  = "rate_limited"
	codeExceedsBurst = "exceeds_burst"
)

func (w *WorkspaceReport) ended(q *request, res result, inTime bool) {
	w.Counts.add(res.outcome, inTime)
	if !q.limited {
		return
	}
	if q.withinRate && inTime {
		w.admissibleInTime++
	}
	switch {
	case res.outcome == outcomeRefused && q.withinRate && (res.code == codeRateLimited || res.code == codeExceedsBurst):
		w.RefusedWithinRate++
	case res.outcome == outcomeRefused && q.withinRate:
		w.OtherRefusedWithinRate++
	case res.outcome == outcomeComplete:
		w.charges = append(w.charges, charge{q.sendAt, q.sendAt + res.whole, q.cost})
		w.CompletedTokens += q.cost
		if !q.withinRate {
			w.CompleteBeyondRate++
		}
	}
}

// excess computes WorkspaceReport.ExcessTokens. It deducts the completed requests from a token bucket whose level
// may become negative; the lowest level is the largest excess.
func excess(rate Rate, charges []charge) float64 {
	sort.Slice(charges, func(i, j int) bool { return charges[i].sendAt < charges[j].sendAt })
	b := newBucket(rate)
	worst := 0.0
	for _, c := range charges {
		b.admit(c.sendAt, 0)
		b.level -= c.cost
		worst = max(worst, -b.level)
	}
	return worst
}

// provenExcess computes WorkspaceReport.ProvenExcessTokens. It examines every interval that begins with the
// intended send time of a request and ends with the completion of one, which takes quadratic time.
func provenExcess(rate Rate, charges []charge) float64 {
	byEnd := append([]charge(nil), charges...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended < byEnd[j].ended })
	worst := 0.0
	for _, from := range charges {
		sum := -rate.BurstTokens
		for _, c := range byEnd {
			if c.sendAt < from.sendAt {
				continue
			}
			sum += c.cost
			worst = max(worst, sum-rate.TokensPerSecond*(c.ended-from.sendAt).Seconds())
		}
	}
	return worst
}

func (c *collector) report(s Scenario, began time.Time, took time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &Report{
		Name: s.Name, Seed: s.Seed, Started: began, DurationSeconds: took.Seconds(),
		SendLag:    summarize(c.lag),
		Groups:     map[string]*GroupReport{},
		Workspaces: map[entity.WorkspaceID]WorkspaceReport{},
		Targets:    map[string]Counts{},
		Seconds:    c.seconds,
	}
	for name, g := range c.groups {
		out.Groups[name] = g.report()
	}
	for name, w := range c.workspaces {
		w.InTimeShare = share(w.InTime, w.Sent)
		w.AdmissibleInTimeShare = share(w.admissibleInTime, w.Admissible)
		w.RefusedWithinRateShare = share(w.RefusedWithinRate, w.Admissible)
		if rate, ok := s.Workspaces[name]; ok {
			w.ExcessTokens = excess(rate, w.charges)
			w.ProvenExcessTokens = provenExcess(rate, w.charges)
		}
		out.Workspaces[name] = *w
	}
	for name, t := range c.targets {
		out.Targets[name] = *t
	}
	return out
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (g *group) report() *GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := &GroupReport{
		Counts: g.counts, Results: map[string]uint64{}, RefusedWithRetryAfter: g.retryAfterCount,
		FirstToken: summarize(g.firstToken), BetweenTokens: summarize(g.betweenTokens),
		Whole: summarize(g.whole), RefusalTime: summarize(g.refusalTime),
	}
	for k, n := range g.results {
		out.Results[fmt.Sprintf("%d/%s/%s", k.status, k.code, k.ran)] = n
	}
	return out
}

func summarize(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

// Write stores the report as a JSON file.
func (r *Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// ReadReport reads a report file.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("read report %s: %w", file, err)
	}
	return &r, nil
}

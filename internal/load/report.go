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
	// maxRecordedMicros is the largest latency a histogram tells apart: one hour.
	maxRecordedMicros = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Report is the result of one run.
type Report struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	// DurationSeconds runs from the start to the last answer.
	DurationSeconds float64 `json:"duration_s"`
	// SendLag is the delay of the generator itself. It is included in all latencies.
	SendLag    Latency                                `json:"send_lag"`
	Groups     map[string]*GroupReport                `json:"groups"`
	Workspaces map[entity.WorkspaceID]WorkspaceReport `json:"workspaces"`
	Targets    map[string]Counts                      `json:"targets"`
	// Seconds counts by the second of the intended send time.
	Seconds []Counts `json:"seconds"`
}

// Counts are final results of requests.
type Counts struct {
	Sent     uint64 `json:"sent"`
	Complete uint64 `json:"complete"`
	Refused  uint64 `json:"refused"`
	// ErrorEvents are streams that ended with an explicit error event.
	ErrorEvents uint64 `json:"error_events"`
	// Incomplete answers were cut without an explicit error; Wrong ones answer something else.
	Incomplete uint64 `json:"incomplete"`
	Wrong      uint64 `json:"wrong"`
	// Failed requests got no answer. NotSent ones exceeded the generator's bound in flight.
	Failed  uint64 `json:"failed"`
	NotSent uint64 `json:"not_sent"`
	InTime  uint64 `json:"in_time"`
}

func (c *Counts) add(v verdict, inTime bool) {
	switch v {
	case complete:
		c.Complete++
	case refused:
		c.Refused++
	case errorEvent:
		c.ErrorEvents++
	case incomplete:
		c.Incomplete++
	case wrong:
		c.Wrong++
	case failed:
		c.Failed++
	}
	if inTime {
		c.InTime++
	}
}

// Latency is the summary of one histogram, in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p999_us"`
	Max   int64   `json:"max_us"`
}

// GroupReport is the result of one group of classes.
type GroupReport struct {
	Counts
	// Results counts by "status/code/ran".
	Results map[string]uint64 `json:"results"`
	// RefusedWithRetryAfter counts the refusals that told when to come back.
	RefusedWithRetryAfter uint64  `json:"refused_with_retry_after"`
	FirstToken            Latency `json:"first_token"`
	BetweenTokens         Latency `json:"between_tokens"`
	Whole                 Latency `json:"whole"`
	// RefusalTime is the time to a refusal.
	RefusalTime Latency `json:"refusal_time"`
}

// WorkspaceReport is the result of one workspace.
type WorkspaceReport struct {
	Counts
	// InTimeShare is the share of complete answers in time among all sent requests.
	InTimeShare float64 `json:"in_time_share"`
	// Admissible counts the requests that the exact central bucket admits.
	Admissible uint64 `json:"admissible"`
	// AdmissibleInTimeShare is the in-time share among the admissible requests.
	AdmissibleInTimeShare float64 `json:"admissible_in_time_share"`
	// RefusedWithinRate counts limit refusals (rate_limited, exceeds_burst) of admissible
	// requests; RefusedWithinRateShare relates them to the admissible requests.
	RefusedWithinRate      uint64  `json:"refused_within_rate"`
	RefusedWithinRateShare float64 `json:"refused_within_rate_share"`
	// OtherRefusedWithinRate counts the other refusals of admissible requests.
	OtherRefusedWithinRate uint64 `json:"other_refused_within_rate"`
	// CompleteBeyondRate counts complete answers that the bucket would not have admitted.
	CompleteBeyondRate uint64 `json:"complete_beyond_rate"`
	// ExcessTokens is the largest excess of completed tokens over burst + rate × d in any
	// interval, by intended send times. A request that waited for its tokens counts too early,
	// so that small values do not prove that the limit was exceeded.
	ExcessTokens float64 `json:"excess_tokens"`
	// ProvenExcessTokens is the largest excess over burst + rate × d of the tokens of requests
	// that were both sent and completed within an interval of length d. These were admitted
	// within it, so that any positive value proves that the limit was exceeded.
	ProvenExcessTokens float64 `json:"proven_excess_tokens"`
	CompletedTokens    float64 `json:"completed_tokens"`

	admissibleInTime uint64
	charges          []charge
}

type charge struct {
	at, ended time.Duration
	cost      float64
}

// collector gathers results. Groups have a lock each, so that they do not delay each other.
type collector struct {
	groups map[string]*group

	mu         sync.Mutex
	lag        *hdrhistogram.Histogram
	workspaces map[entity.WorkspaceID]*WorkspaceReport
	targets    map[string]*Counts
	seconds    []Counts
}

type group struct {
	mu      sync.Mutex
	counts  Counts
	results map[resultKey]uint64
	retry   uint64
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

type resultKey struct {
	status    int
	code, ran string
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are clamped to the range, so that recording cannot fail.
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
				results: map[resultKey]uint64{},
				first:   newHistogram(), between: newHistogram(),
				whole: newHistogram(), refusal: newHistogram(),
			}
		}
	}
	for _, t := range s.Targets {
		c.targets[t] = &Counts{}
	}
	return c
}

func (c *collector) second(q *request) *Counts {
	return &c.seconds[min(int(q.at/time.Second), len(c.seconds)-1)]
}

func (c *collector) sent(q *request, lag time.Duration) {
	g := c.groups[q.class.Group]
	g.mu.Lock()
	g.counts.Sent++
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lag, lag)
	c.second(q).Sent++
	w := c.workspaces[q.class.Workspace]
	w.Sent++
	if q.withinRate {
		w.Admissible++
	}
}

func (c *collector) notSent(q *request) {
	g := c.groups[q.class.Group]
	g.mu.Lock()
	g.counts.NotSent++
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.second(q).NotSent++
	c.workspaces[q.class.Workspace].NotSent++
}

func (c *collector) ended(target string, q *request, res result) {
	limit := time.Duration(q.class.InTimeMillis) * time.Millisecond
	inTime := res.verdict == complete && (limit <= 0 || res.whole <= limit)
	c.groups[q.class.Group].ended(q, res, inTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target].Sent++
	c.targets[target].add(res.verdict, inTime)
	c.second(q).add(res.verdict, inTime)
	c.workspaces[q.class.Workspace].ended(q, res, inTime)
}

func (g *group) ended(q *request, res result, inTime bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.add(res.verdict, inTime)
	g.results[resultKey{res.status, res.code, res.ran}]++
	switch res.verdict {
	case complete:
		record(g.whole, res.whole)
	case refused:
		record(g.refusal, res.whole)
		if res.retryAfter {
			g.retry++
		}
	}
	if res.first > 0 && q.class.Stream {
		record(g.first, res.first)
	}
	for _, d := range res.gaps {
		record(g.between, d)
	}
}

// Codes of refusals by a workspace's limit.
const (
	codeRateLimited  = "rate_limited"
	codeExceedsBurst = "exceeds_burst"
)

func (w *WorkspaceReport) ended(q *request, res result, inTime bool) {
	w.Counts.add(res.verdict, inTime)
	if !q.limited {
		return
	}
	if q.withinRate && inTime {
		w.admissibleInTime++
	}
	switch {
	case res.verdict == refused && q.withinRate && (res.code == codeRateLimited || res.code == codeExceedsBurst):
		w.RefusedWithinRate++
	case res.verdict == refused && q.withinRate:
		w.OtherRefusedWithinRate++
	case res.verdict == complete:
		w.charges = append(w.charges, charge{q.at, q.at + res.whole, q.cost})
		w.CompletedTokens += q.cost
		if !q.withinRate {
			w.CompleteBeyondRate++
		}
	}
}

// excess replays the completed requests through a bucket that may go into debt.
func excess(rate Rate, charges []charge) float64 {
	sort.Slice(charges, func(i, j int) bool { return charges[i].at < charges[j].at })
	b := newBucket(rate)
	worst := 0.0
	for _, c := range charges {
		b.admit(c.at, 0)
		b.level -= c.cost
		worst = max(worst, -b.level)
	}
	return worst
}

// provenExcess compares the tokens of all intervals that begin with a send and end with a
// completion. It takes quadratic time.
func provenExcess(rate Rate, charges []charge) float64 {
	byEnd := append([]charge(nil), charges...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended < byEnd[j].ended })
	worst := 0.0
	for _, from := range charges {
		sum := -rate.BurstTokens
		for _, c := range byEnd {
			if c.at < from.at {
				continue
			}
			sum += c.cost
			worst = max(worst, sum-rate.TokensPerSecond*(c.ended-from.at).Seconds())
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
		Counts: g.counts, Results: map[string]uint64{}, RefusedWithRetryAfter: g.retry,
		FirstToken: summarize(g.first), BetweenTokens: summarize(g.between),
		Whole: summarize(g.whole), RefusalTime: summarize(g.refusal),
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

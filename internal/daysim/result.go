package daysim

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/swap"
)

// Policy is a combination of a dispatch and a swap policy that a site is run with.
type Policy struct {
	Name     string
	Dispatch dispatch.Policy
	Swap     swap.Policy
	// AllModels loads every model on every engine, which no real site can do. Worth is then lost only because
	// of the speed of the engines and the limits of the workspaces.
	AllModels bool
}

// Policies lists the policies: that of the product, an upper bound ("ceiling"), that of an earlier version of
// the product, and those that replace one rule of the product by a simpler one.
var Policies = []Policy{
	{Name: "product"},
	{Name: "ceiling", AllModels: true},
	{Name: "earlier", Dispatch: dispatch.Policy{MixPrompts: true}, Swap: swap.Policy{ReportsOnly: true, CountFirst: true}},
	{Name: "mixed-prompts", Dispatch: dispatch.Policy{MixPrompts: true}},
	{Name: "count-first", Swap: swap.Policy{CountFirst: true}},
	{Name: "reports-only", Swap: swap.Policy{ReportsOnly: true}},
	{Name: "random-replica", Dispatch: dispatch.Policy{RandomReplica: true}},
}

// Counts are the numbers of requests of one class: Asked of all requests, the others by outcome.
type Counts struct {
	// Limited counts the requests that were refused because of the limit of their workspace, Refused those
	// that were refused for another reason, and Failed those that may have run and got no answer.
	Asked, InTime, Late, Limited, Refused, Failed int
	// LatePause counts the late requests whose first event was in time but whose stream had a pause of more
	// than maxFullCreditPause.
	LatePause int
}

// Result is the outcome of one run.
type Result struct {
	Site, Day, Policy string
	Seed              uint64
	Classes           []string
	Counts            map[string]*Counts
	Orders            int
	StoreLoads        int
	// Overcommitted counts load orders that exceed the memory of an engine.
	Overcommitted int
	site          *Site
}

func newResult(site *Site, day Day, policy Policy, seed uint64) *Result {
	r := &Result{Site: site.Name, Day: day.Name, Policy: policy.Name, Seed: seed, Counts: make(map[string]*Counts), site: site}
	for _, c := range site.Classes {
		r.Classes = append(r.Classes, c.Name)
		r.Counts[c.Name] = new(Counts)
	}
	return r
}

// maxFullCreditPause is the longest pause in a stream that still earns full credit.
const maxFullCreditPause = 250 * time.Millisecond

func (r *Result) recordArrival(c *Class) { r.Counts[c.Name].Asked++ }
func (r *Result) recordFailure(c *Class) { r.Counts[c.Name].Failed++ }

func (r *Result) recordRefusal(c *Class, limited bool) {
	if limited {
		r.Counts[c.Name].Limited++
		return
	}
	r.Counts[c.Name].Refused++
}

func (r *Result) recordServed(q *request) {
	c := q.arrival.class
	n := r.Counts[c.Name]
	first := q.firstAt.Sub(epoch.Add(q.arrival.at))
	switch {
	case first <= c.TargetLatency && q.longestPause <= maxFullCreditPause:
		n.InTime++
		return
	case first <= c.TargetLatency:
		n.LatePause++
	}
	n.Late++
}

// Worth returns the earned credit as a share of the credit for answering all requests in time, except those that
// were refused because of the limit of their workspace.
func (r *Result) Worth() float64 {
	earned, owed := 0.0, 0.0
	for i := range r.site.Classes {
		c := &r.site.Classes[i]
		n := r.Counts[c.Name]
		earned += float64(n.InTime)*c.Worth + float64(n.Late)*c.Late
		owed += float64(n.Asked-n.Limited) * c.Worth
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}

// Run simulates one day.
func Run(site Site, day Day, policy Policy, seed uint64) *Result {
	return newWorld(&site, day, policy, seed).run()
}

// Print writes one line for each policy at each site and day: the mean worth over the seeds, its difference
// from the first policy with the standard error over the seeds, and the numbers of late, refused and failed
// requests, orders, and loads from the weight store.
func Print(out io.Writer, results []*Result) error {
	type group struct{ site, day, policy string }
	groups := make(map[group][]*Result)
	var order []group
	for _, r := range results {
		g := group{r.Site, r.Day, r.Policy}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], r)
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "site\tday\tpolicy\tworth\tdifference\terror\tlate by class (of these by a pause)\trefused\tlimited\tfailed\torders\tstore loads")
	for _, g := range order {
		first := groups[group{g.site, g.day, results[0].Policy}]
		mean, diff, standardError := compare(groups[g], first)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.4f\t%+.4f\t%.4f\t%s\n", g.site, g.day, g.policy, mean, diff, standardError, totals(groups[g]))
	}
	return t.Flush()
}

// compare returns the mean worth of a, and the mean and standard error of its differences from b by seed.
func compare(a, b []*Result) (mean, diff, standardError float64) {
	var squares float64
	for i := range a {
		mean += a[i].Worth() / float64(len(a))
		diff += (a[i].Worth() - b[i].Worth()) / float64(len(a))
	}
	for i := range a {
		d := a[i].Worth() - b[i].Worth() - diff
		squares += d * d
	}
	if n := float64(len(a)); n > 1 {
		standardError = math.Sqrt(squares/(n-1)) / math.Sqrt(n)
	}
	return mean, diff, standardError
}

// totals returns the columns of Print that sum counts over the runs of one group.
func totals(results []*Result) string {
	late := ""
	var sum Counts
	for _, c := range results[0].Classes {
		var n Counts
		for _, r := range results {
			x := r.Counts[c]
			n.Late += x.Late
			n.LatePause += x.LatePause
			sum.Refused += x.Refused
			sum.Limited += x.Limited
			sum.Failed += x.Failed
		}
		late += fmt.Sprintf("%s %d (%d) ", c, n.Late, n.LatePause)
	}
	orders, loads := 0, 0
	for _, r := range results {
		orders += r.Orders
		loads += r.StoreLoads
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d", late, sum.Refused, sum.Limited, sum.Failed, orders, loads)
}

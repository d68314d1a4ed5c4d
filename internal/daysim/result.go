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

// Policy is a way to run the site.
type Policy struct {
	Name     string
	Dispatch dispatch.Policy
	Swap     swap.Policy
	// AllModels puts every model on every engine at once, which no real site can: what is lost then
	// is lost by the speed of the engines and by the limits of the workspaces.
	AllModels bool
}

// Policies lists the policies: the product's, a ceiling, the product's earlier version, and simple ones.
var Policies = []Policy{
	{Name: "product"},
	{Name: "ceiling", AllModels: true},
	{Name: "earlier", Dispatch: dispatch.Policy{MixPrompts: true}, Swap: swap.Policy{ReportsOnly: true, CountFirst: true}},
	{Name: "mixed-prompts", Dispatch: dispatch.Policy{MixPrompts: true}},
	{Name: "count-first", Swap: swap.Policy{CountFirst: true}},
	{Name: "reports-only", Swap: swap.Policy{ReportsOnly: true}},
	{Name: "random-replica", Dispatch: dispatch.Policy{RandomReplica: true}},
}

// Counts are the requests of one class by outcome.
type Counts struct {
	Asked, InTime, Late, Limited, Refused, Failed int
	// LatePause counts the late ones whose first event was in time.
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
	// Overcommitted counts orders beyond the memory of an engine.
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

// maxPause is the pause in a stream up to which it earns full credit.
const maxPause = 250 * time.Millisecond

func (r *Result) asked(c *Class)  { r.Counts[c.Name].Asked++ }
func (r *Result) failed(c *Class) { r.Counts[c.Name].Failed++ }

func (r *Result) refused(c *Class, limited bool) {
	if limited {
		r.Counts[c.Name].Limited++
		return
	}
	r.Counts[c.Name].Refused++
}

func (r *Result) served(q *request) {
	c := q.arrival.class
	n := r.Counts[c.Name]
	first := q.firstAt.Sub(epoch.Add(q.arrival.at))
	switch {
	case first <= c.Target && q.pause <= maxPause:
		n.InTime++
		return
	case first <= c.Target:
		n.LatePause++
	}
	n.Late++
}

// Worth is the credit earned as a share of what is owed. Requests beyond the limit of their workspace
// are not owed.
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

// Run plays one day.
func Run(site Site, day Day, policy Policy, seed uint64) *Result {
	return newWorld(&site, day, policy, seed).run()
}

// Print writes one line for each policy of each site and day: the mean worth over the seeds, its
// difference to the first policy with the standard error over the seeds, and late and lost requests.
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
		mean, diff, err := compare(groups[g], first)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.4f\t%+.4f\t%.4f\t%s\n", g.site, g.day, g.policy, mean, diff, err, totals(groups[g]))
	}
	return t.Flush()
}

// compare returns the mean worth, and the mean and standard error of the differences by seed.
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

package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// measure is one value of a report that is compared between policies.
type measure struct {
	name string
	// coldOnly marks measures that are left out when no report of the experiment has a cold start.
	coldOnly bool
	value    func(*Report) float64
}

var measures = []measure{
	{"cold start p50 (s)", true, func(r *Report) float64 { return r.ColdStart.P50 }},
	{"cold start p99 (s)", true, func(r *Report) float64 { return r.ColdStart.P99 }},
	{"cold p99 / bare p99", true, func(r *Report) float64 { return r.ColdRatio }},
	{"cold requests refused", true, func(r *Report) float64 { return float64(r.ColdRefused) }},
	{"loads per cold model", true, func(r *Report) float64 { return r.LoadsPerColdModel }},
	{"idle accelerator s", false, func(r *Report) float64 { return r.IdleSeconds }},
	{"worst in-time share", false, func(r *Report) float64 { return r.WorstInTimeShare }},
	{"wrong refusal share", false, func(r *Report) float64 { return r.WrongRefusalShare }},
	{"tokens over the limit", false, func(r *Report) float64 { return r.ExcessTokens }},
	{"without answer", false, func(r *Report) float64 { return float64(r.Unanswered) }},
	{"platform calls/s", false, func(r *Report) float64 {
		sum := 0.0
		for _, v := range r.PlatformCalls {
			sum += v
		}
		return sum
	}},
}

// Summarize prints every measure of each experiment and policy as "mean (minimum to maximum)" over the seeds.
// For each policy but the first in the order of Policies, it also prints the ratio to the first policy. The ratio
// is computed for each seed; printed are "mean (minimum to maximum)" over the seeds.
func Summarize(out io.Writer, reports []*Report) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(tw, "experiment\tmeasure\tpolicy\tvalue\tratio to the first policy"); err != nil {
		return err
	}
	for _, name := range distinct(reports, func(r *Report) string { return r.Experiment + " " + r.Site }) {
		if err := summarizeExperiment(tw, name, reports); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func distinct(reports []*Report, key func(*Report) string) []string {
	var out []string
	for _, r := range reports {
		if k := key(r); !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

func summarizeExperiment(out io.Writer, name string, reports []*Report) error {
	var own []*Report
	for _, r := range reports {
		if r.Experiment+" "+r.Site == name {
			own = append(own, r)
		}
	}
	policies := distinct(own, func(r *Report) string { return r.Policy })
	slices.SortFunc(policies, func(a, b string) int { return slices.Index(Policies, a) - slices.Index(Policies, b) })
	for _, m := range measures {
		if m.coldOnly && !slices.ContainsFunc(own, func(r *Report) bool { return r.ColdModels > 0 }) {
			continue
		}
		for _, p := range policies {
			var values, ratios []float64
			for _, r := range own {
				if r.Policy != p {
					continue
				}
				v := m.value(r)
				values = append(values, v)
				if ref := findReport(own, policies[0], r.Seed); ref != nil && p != policies[0] && m.value(ref) > 0 {
					ratios = append(ratios, v/m.value(ref))
				}
			}
			if _, err := fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n", name, m.name, p, formatMeanRange(values), formatMeanRange(ratios)); err != nil {
				return err
			}
		}
	}
	return nil
}

func findReport(reports []*Report, policy string, seed uint64) *Report {
	for _, r := range reports {
		if r.Policy == policy && r.Seed == seed {
			return r
		}
	}
	return nil
}

func formatMeanRange(v []float64) string {
	if len(v) == 0 {
		return "-"
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", sum/float64(len(v)), slices.Min(v), slices.Max(v))
}

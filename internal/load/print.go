package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// row is one line of the printed table: a label and one value per report.
type row struct {
	label  string
	values []string
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error { return printRows(w, []*Report{r}) }

// Compare writes two reports side by side.
func Compare(w io.Writer, a, b *Report) error { return printRows(w, []*Report{a, b}) }

func printRows(out io.Writer, reports []*Report) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, line := range tableRows(reports) {
		if _, err := fmt.Fprintf(tw, "%s\t%s\n", line.label, strings.Join(line.values, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func tableRows(reports []*Report) []row {
	var rows []row
	add := func(label string, value func(*Report) string) {
		line := row{label: label}
		for _, r := range reports {
			line.values = append(line.values, value(r))
		}
		rows = append(rows, line)
	}
	add("run", func(r *Report) string { return fmt.Sprintf("%s (seed %d)", r.Name, r.Seed) })
	add("duration", func(r *Report) string { return fmt.Sprintf("%.1f s", r.DurationSeconds) })
	add("send lag p50/p99", func(r *Report) string { return r.SendLag.formatShort() })
	for _, name := range sortedKeys(reports, func(r *Report) map[string]*GroupReport { return r.Groups }) {
		addGroup(add, name)
	}
	for _, name := range sortedKeys(reports, func(r *Report) map[entity.WorkspaceID]WorkspaceReport { return r.Workspaces }) {
		addWorkspace(add, name)
	}
	return rows
}

func addGroup(add func(string, func(*Report) string), name string) {
	with := func(label string, value func(*GroupReport) string) {
		add("group "+name+" "+label, func(r *Report) string {
			if g := r.Groups[name]; g != nil {
				return value(g)
			}
			return "-"
		})
	}
	with("sent", func(g *GroupReport) string { return fmt.Sprint(g.Sent) })
	with("complete", func(g *GroupReport) string {
		return fmt.Sprintf("%d (%.2f %%)", g.Complete, 100*share(g.Complete, g.Sent))
	})
	with("refused/with retry-after", func(g *GroupReport) string {
		return fmt.Sprintf("%d/%d", g.Refused, g.RefusedWithRetryAfter)
	})
	with("error event/cut/wrong/failed/not sent", func(g *GroupReport) string {
		return fmt.Sprintf("%d/%d/%d/%d/%d", g.ErrorEvents, g.Incomplete, g.Wrong, g.Failed, g.NotSent)
	})
	with("first token p50/p99/p99.9", func(g *GroupReport) string { return g.FirstToken.formatLong() })
	with("between tokens p50/p99/p99.9", func(g *GroupReport) string { return g.BetweenTokens.formatLong() })
	with("whole p50/p99/p99.9", func(g *GroupReport) string { return g.Whole.formatLong() })
	with("refusal p50/p99", func(g *GroupReport) string { return g.RefusalTime.formatShort() })
	with("results", func(g *GroupReport) string { return resultList(g.Results) })
}

func addWorkspace(add func(string, func(*Report) string), name entity.WorkspaceID) {
	with := func(label string, value func(WorkspaceReport) string) {
		add("workspace "+string(name)+" "+label, func(r *Report) string {
			if w, ok := r.Workspaces[name]; ok {
				return value(w)
			}
			return "-"
		})
	}
	with("in time", func(w WorkspaceReport) string { return fmt.Sprintf("%.2f %%", 100*w.InTimeShare) })
	with("in time within rate", func(w WorkspaceReport) string {
		return fmt.Sprintf("%.2f %% of %d", 100*w.AdmissibleInTimeShare, w.Admissible)
	})
	with("refused within rate", func(w WorkspaceReport) string {
		return fmt.Sprintf("%d (%.3f %%)", w.RefusedWithinRate, 100*w.RefusedWithinRateShare)
	})
	with("tokens/excess", func(w WorkspaceReport) string {
		return fmt.Sprintf("%.0f/%.0f", w.CompletedTokens, w.ExcessTokens)
	})
}

func resultList(results map[string]uint64) string {
	var list []string
	for k, n := range results {
		list = append(list, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func sortedKeys[K ~string, V any](reports []*Report, of func(*Report) map[K]V) []K {
	seen := map[K]bool{}
	var out []K
	for _, r := range reports {
		for k := range of(r) {
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func millis(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }

func (l Latency) formatShort() string {
	if l.Count == 0 {
		return "-"
	}
	return millis(l.P50) + "/" + millis(l.P99) + " ms"
}

func (l Latency) formatLong() string {
	if l.Count == 0 {
		return "-"
	}
	return millis(l.P50) + "/" + millis(l.P99) + "/" + millis(l.P999) + " ms"
}

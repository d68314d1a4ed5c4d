package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// LoanTerm is how long a loan may be used after the host asked for it.
	LoanTerm = 1500 * time.Millisecond
	// returnMargin covers the difference between the clocks of lender and borrower.
	returnMargin = 250 * time.Millisecond
)

// Lender divides the part of the rates that is not fixed among the hosts. It belongs to the
// coordinator. A part stays lent until its term has ended, also when the borrower asks for less,
// so that the parts never sum to more than the rate.
type Lender struct {
	// start is when the first loans may be given: those of a former coordinator have ended then.
	start time.Time
	lent  map[entity.WorkspaceID]map[entity.HostID][]lentPart
}

type lentPart struct {
	part  float64
	until time.Time
}

// NewLender returns the lender of a coordinator that has just taken over.
func NewLender(now time.Time) *Lender {
	return &Lender{start: now.Add(LoanTerm + returnMargin), lent: make(map[entity.WorkspaceID]map[entity.HostID][]lentPart)}
}

// Lend returns the parts for a host that asked just now and states its demand by workspace.
// demands holds the last known demand of every host.
func (l *Lender) Lend(host entity.HostID, demands map[entity.HostID]map[entity.WorkspaceID]float64, hosts int, c *catalog.Catalog, now time.Time) map[entity.WorkspaceID]float64 {
	if c == nil || now.Before(l.start) {
		return nil
	}
	out := make(map[entity.WorkspaceID]float64)
	for id, demand := range demands[host] {
		w := c.Workspace(id)
		if w == nil || w.Rate <= 0 {
			continue
		}
		if part := l.lend(host, w, demand, demands, hosts, now); part > 0 {
			out[id] = part
		}
	}
	return out
}

func (l *Lender) lend(host entity.HostID, w *catalog.Workspace, demand float64, demands map[entity.HostID]map[entity.WorkspaceID]float64, hosts int, now time.Time) float64 {
	fixed := w.Rate * FixedPart / float64(max(hosts, 1))
	want := lack(demand, fixed, w.Rate)
	total := 0.0
	for _, d := range demands {
		total += lack(d[w.ID], fixed, w.Rate)
	}
	if want <= 0 || total <= 0 {
		return 0
	}
	part := min(want/total, 1) * (1 - FixedPart)
	part = min(part, 1-FixedPart-l.lentToOthers(w.ID, host, now))
	if part <= 0 {
		return 0
	}
	byHost := l.lent[w.ID]
	if byHost == nil {
		byHost = make(map[entity.HostID][]lentPart)
		l.lent[w.ID] = byHost
	}
	byHost[host] = append(unexpired(byHost[host], now), lentPart{part: part, until: now.Add(LoanTerm + returnMargin)})
	return part
}

// lentToOthers sums the largest unexpired part of every other host.
func (l *Lender) lentToOthers(id entity.WorkspaceID, self entity.HostID, now time.Time) float64 {
	sum := 0.0
	for host, parts := range l.lent[id] {
		if host == self {
			continue
		}
		parts = unexpired(parts, now)
		l.lent[id][host] = parts
		largest := 0.0
		for _, p := range parts {
			largest = max(largest, p.part)
		}
		sum += largest
	}
	return sum
}

func unexpired(parts []lentPart, now time.Time) []lentPart {
	kept := parts[:0]
	for _, p := range parts {
		if now.Before(p.until) {
			kept = append(kept, p)
		}
	}
	return kept
}

// lack is the demand that the fixed part of a host does not cover. Demand is bounded by the
// rate, so that a workspace far above its rate is divided in proportion. A little is added: the
// smallest demand also comes in whole requests.
func lack(demand, fixed, rate float64) float64 {
	if demand <= 0 {
		return 0
	}
	return max(min(demand, rate)-fixed, 0.02*rate)
}

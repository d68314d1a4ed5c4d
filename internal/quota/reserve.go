package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Reserve hands out the part of every rate that is not split over the hosts. It belongs to the
// coordinator, of which there is one at a time.
type Reserve struct {
	slack   Slack
	catalog *catalog.Catalog
	buckets map[entity.WorkspaceID]*bucket
	// part is the part of every rate that hosts leave to the reserve.
	part float64
}

// NewReserve returns the reserve of a coordinator that has just taken over. It starts without burst,
// and below zero by its overdraft, because its predecessor may have spent both just now.
func NewReserve(slack Slack) *Reserve {
	return &Reserve{slack: slack, buckets: make(map[entity.WorkspaceID]*bucket)}
}

func (r *Reserve) overdraft() float64 { return r.slack.Tokens / 2 }

// share returns the reserve's part of a workspace's rate and burst.
func (r *Reserve) share(w *catalog.Workspace) (rate, capacity float64) {
	rate, burst := r.slack.limits(w)
	return rate * r.part, burst * r.part
}

// SetConnected says how many of the hosts have reported within ReportTerm. The others use the whole
// of their shares.
func (r *Reserve) SetConnected(connected, hosts int, now time.Time) {
	part := (1 - fixedPart) * float64(min(connected, hosts)) / float64(max(hosts, 1))
	if part == r.part {
		return
	}
	r.refillAll(now)
	r.part = part
	for id, b := range r.buckets {
		if w := r.workspace(id); w != nil {
			_, capacity := r.share(w)
			b.level = min(b.level, capacity)
		}
	}
}

func (r *Reserve) refillAll(now time.Time) {
	for id, b := range r.buckets {
		if w := r.workspace(id); w != nil {
			rate, capacity := r.share(w)
			b.refill(rate, capacity, now)
		}
	}
}

// SetCatalog puts a configuration in force. A changed rate counts from now and refills nothing.
func (r *Reserve) SetCatalog(c *catalog.Catalog, now time.Time) {
	r.refillAll(now)
	r.catalog = c
	for id, w := range c.Workspaces() {
		b := r.buckets[id]
		if b == nil {
			b = &bucket{level: -r.overdraft(), updated: now}
			r.buckets[id] = b
		}
		_, capacity := r.share(w)
		b.level = min(b.level, capacity)
	}
}

func (r *Reserve) workspace(id entity.WorkspaceID) *catalog.Workspace {
	if r.catalog == nil {
		return nil
	}
	return r.catalog.Workspace(id)
}

// Take grants tokens to a host that lacks some for a number of requests, as many as there are. wait is
// zero when all was granted, else the time until there will be enough for one more of the requests: a
// host with many of them must not ask less often than the others.
func (r *Reserve) Take(id entity.WorkspaceID, tokens float64, requests int, now time.Time) (granted float64, wait time.Duration) {
	w := r.workspace(id)
	b := r.buckets[id]
	if w == nil || b == nil || tokens <= 0 {
		return 0, 0
	}
	rate, capacity := r.share(w)
	b.refill(rate, capacity, now)
	granted = max(min(tokens, b.level+r.overdraft()), 0)
	b.level -= granted
	if missing := tokens - granted; missing > 0 {
		one := tokens / float64(max(requests, 1))
		wait = waitFor(min(missing, one), rate)
	}
	return granted, wait
}

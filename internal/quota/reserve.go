package quota

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// stockLevel is the part of its capacity above which the reserve grants more than a request lacks.
const stockLevel = 0.5

// Reserve hands out the part of every rate that is not split over the hosts. It belongs to the
// coordinator, of which there is one at a time.
type Reserve struct {
	slack   Slack
	catalog *catalog.Catalog
	buckets map[entity.WorkspaceID]*bucket
	// withheld are the fallback parts of hosts that the coordinator does not hear.
	withheld map[entity.WorkspaceID]float64
	stocks   map[entity.WorkspaceID]*stocks
}

// stocks are the tokens of one workspace that lie at hosts beyond what their requests lacked.
type stocks struct {
	byHost map[entity.HostID]stock
	total  float64
}

type stock struct {
	tokens float64
	at     time.Time
}

// set replaces the stock of a host.
func (s *stocks) set(host entity.HostID, tokens float64, now time.Time) {
	s.total += tokens - s.byHost[host].tokens
	s.byHost[host] = stock{tokens: tokens, at: now}
}

// expire forgets the stocks that their hosts have dropped.
func (s *stocks) expire(now time.Time) {
	for host, st := range s.byHost {
		if now.Sub(st.at) > stockMemory {
			s.total -= st.tokens
			delete(s.byHost, host)
		}
	}
}

// NewReserve returns the reserve of a coordinator that has just taken over. It starts without burst,
// and below zero by its overdraft, because its predecessor may have spent both just now.
func NewReserve(slack Slack) *Reserve {
	return &Reserve{
		slack:    slack,
		buckets:  make(map[entity.WorkspaceID]*bucket),
		withheld: make(map[entity.WorkspaceID]float64),
		stocks:   make(map[entity.WorkspaceID]*stocks),
	}
}

// share returns the reserve's part of a workspace's rate and burst.
func (r *Reserve) share(w *catalog.Workspace) (rate, capacity float64) {
	part := max(reservePart-r.withheld[w.ID], 0)
	rate, burst := r.slack.limits(w)
	return rate * part, burst * part
}

// SetWithheld takes over the fallback parts that hosts may use which the coordinator does not hear.
func (r *Reserve) SetWithheld(parts map[entity.WorkspaceID]float64, now time.Time) {
	r.refillAll(now)
	r.withheld = parts
	for id, b := range r.buckets {
		if w := r.workspace(id); w != nil {
			_, capacity := r.share(w)
			b.level = min(b.level, capacity)
		}
	}
	for _, s := range r.stocks {
		s.expire(now)
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
			b = &bucket{level: -r.slack.overdraft(), updated: now}
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

// Take grants tokens to a host that lacks some for a number of requests, as many as there are, and
// some more while the reserve is well filled, so that the next request of the host need not ask. wait
// is zero when all was granted, else the time until there will be enough for one more of the requests:
// a host with many of them must not ask less often than the others.
func (r *Reserve) Take(host entity.HostID, id entity.WorkspaceID, tokens float64, requests int, now time.Time) (granted float64, wait time.Duration) {
	w := r.workspace(id)
	b := r.buckets[id]
	if w == nil || b == nil || tokens <= 0 {
		return 0, 0
	}
	rate, capacity := r.share(w)
	b.refill(rate, capacity, now)
	one := tokens / float64(max(requests, 1))
	granted = max(min(tokens, b.level+r.slack.overdraft()), 0)
	b.level -= granted
	if missing := tokens - granted; missing > 0 {
		r.stocksOf(id).set(host, 0, now)
		return granted, waitFor(min(missing, one), rate)
	}
	extra := 0.0
	if b.level-one >= stockLevel*capacity {
		extra = max(min(one, r.slack.stock(w)-r.stocksOf(id).total+r.stocksOf(id).byHost[host].tokens), 0)
	}
	r.stocksOf(id).set(host, extra, now)
	b.level -= extra
	return granted + extra, 0
}

func (r *Reserve) stocksOf(id entity.WorkspaceID) *stocks {
	s := r.stocks[id]
	if s == nil {
		s = &stocks{byHost: make(map[entity.HostID]stock)}
		r.stocks[id] = s
	}
	return s
}

package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// stockLevel is the part of its capacity above which the reserve grants more than a request lacks.
	stockLevel = 0.5
	// longestReturn bounds the time after which a refused request is told to come back.
	longestReturn = 4 * time.Second
)

// Reserve hands out the part of every rate that is not split over the hosts: the tokens of whole requests,
// in the order in which they are asked for. It belongs to the coordinator, of which there is one at a
// time.
type Reserve struct {
	slack   Slack
	catalog *catalog.Catalog
	rows    map[entity.WorkspaceID]*reserveRow
	// withheld are the fallback parts of hosts that the coordinator does not hear; hosts is the number of
	// hosts that have an even part.
	withheld map[entity.WorkspaceID]float64
	hosts    int
}

// reserveRow is the reserve of one workspace.
type reserveRow struct {
	bucket
	stocks stocks
	// waiting asks are granted in order; backlog sums them.
	waiting []Ask
	backlog float64
	// returns is until when the accrual is expected to be used by refused requests that come back.
	returns time.Time
}

// Ask is what one request lacks at its host.
type Ask struct {
	Host entity.HostID
	// ID identifies the ask at its host.
	ID        uint64
	Workspace entity.WorkspaceID
	Tokens    float64
	// Until is how long the request can wait.
	Until time.Time
}

// Reply grants tokens, or says after which time the request should come back.
type Reply struct {
	Host      entity.HostID
	ID        uint64
	Workspace entity.WorkspaceID
	Tokens    float64
	Wait      time.Duration
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
func NewReserve(slack Slack, hosts int) *Reserve {
	return &Reserve{slack: slack, hosts: hosts, rows: make(map[entity.WorkspaceID]*reserveRow), withheld: make(map[entity.WorkspaceID]float64)}
}

// share returns the reserve's part of a workspace's rate and burst.
func (r *Reserve) share(w *catalog.Workspace) (rate, capacity float64) {
	part := max(reservePart(r.hosts)-r.withheld[w.ID], 0)
	rate, burst := r.slack.limits(w)
	return rate * part, burst * part
}

// SetWithheld takes over the fallback parts that hosts may use which the coordinator does not hear, and
// the number of hosts.
func (r *Reserve) SetWithheld(parts map[entity.WorkspaceID]float64, hosts int, now time.Time) {
	r.refillAll(now)
	r.withheld = parts
	r.hosts = hosts
	for id, row := range r.rows {
		if w := r.workspace(id); w != nil {
			_, capacity := r.share(w)
			row.level = min(row.level, capacity)
		}
		row.stocks.expire(now)
	}
}

func (r *Reserve) refillAll(now time.Time) {
	for id, row := range r.rows {
		if w := r.workspace(id); w != nil {
			rate, capacity := r.share(w)
			row.refill(rate, capacity, now)
		}
	}
}

// SetCatalog puts a configuration in force. A changed rate counts from now and refills nothing.
func (r *Reserve) SetCatalog(c *catalog.Catalog, now time.Time) {
	r.refillAll(now)
	r.catalog = c
	for id, w := range c.Workspaces() {
		row := r.rows[id]
		if row == nil {
			row = &reserveRow{bucket: bucket{level: -r.slack.overdraft(), updated: now}, stocks: stocks{byHost: make(map[entity.HostID]stock)}}
			r.rows[id] = row
		}
		_, capacity := r.share(w)
		row.level = min(row.level, capacity)
	}
}

func (r *Reserve) workspace(id entity.WorkspaceID) *catalog.Workspace {
	if r.catalog == nil {
		return nil
	}
	return r.catalog.Workspace(id)
}

// Waiting says whether asks wait for their tokens.
func (r *Reserve) Waiting() bool {
	for _, row := range r.rows {
		if len(row.waiting) > 0 {
			return true
		}
	}
	return false
}

// Ask grants what a request lacks, or refuses it when the tokens cannot be there in its time. Otherwise
// the ask waits, and Advance returns the reply.
func (r *Reserve) Ask(a Ask, now time.Time) (reply Reply, replied bool) {
	w, row := r.workspace(a.Workspace), r.rows[a.Workspace]
	if w == nil || row == nil || w.Rate <= 0 {
		return a.granted(a.Tokens), true
	}
	if !validTokens(a.Tokens) {
		return a.refused(longestReturn), true
	}
	rate, capacity := r.share(w)
	row.refill(rate, capacity, now)
	if len(row.waiting) == 0 && a.Tokens <= row.level+r.slack.overdraft()+rounding {
		return r.grant(a, w, row, capacity, now), true
	}
	wait := row.waitFor(a.Tokens, r.slack.overdraft(), rate)
	if now.Add(wait).After(a.Until) {
		return a.refused(row.comeBack(a.Tokens, wait, rate, now)), true
	}
	row.waiting = append(row.waiting, a)
	row.backlog += a.Tokens
	return Reply{}, false
}

// waitFor returns when a number of tokens will be there behind the asks that wait.
func (row *reserveRow) waitFor(tokens, overdraft, rate float64) time.Duration {
	return waitFor(max(row.backlog+tokens-row.level-overdraft, 0), rate)
}

// comeBack returns after which time a refused request should come back. Requests that were refused
// before are expected to come back before it, so that not all do at once.
func (row *reserveRow) comeBack(tokens float64, wait time.Duration, rate float64, now time.Time) time.Duration {
	at := now.Add(wait)
	if row.returns.After(at) {
		at = row.returns
	}
	if at.Sub(now) > longestReturn {
		return longestReturn
	}
	row.returns = at.Add(waitFor(tokens, rate))
	return at.Sub(now)
}

// grant takes the tokens of an ask, and some more while the reserve is well filled, so that the next
// request of the host need not ask.
func (r *Reserve) grant(a Ask, w *catalog.Workspace, row *reserveRow, capacity float64, now time.Time) Reply {
	row.level -= a.Tokens
	extra := 0.0
	if row.level-a.Tokens >= stockLevel*capacity {
		extra = max(min(a.Tokens, r.slack.stock(w)-row.stocks.total+row.stocks.byHost[a.Host].tokens), 0)
	}
	row.stocks.set(a.Host, extra, now)
	row.level -= extra
	return a.granted(a.Tokens + extra)
}

func (a Ask) granted(tokens float64) Reply {
	return Reply{Host: a.Host, ID: a.ID, Workspace: a.Workspace, Tokens: tokens}
}

func (a Ask) refused(wait time.Duration) Reply {
	return Reply{Host: a.Host, ID: a.ID, Workspace: a.Workspace, Wait: max(wait, time.Millisecond)}
}

// Advance replies to the asks whose tokens are there, and to those that can wait no longer.
func (r *Reserve) Advance(now time.Time) []Reply {
	var out []Reply
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		row := r.rows[id]
		if len(row.waiting) > 0 {
			out = append(out, r.advance(id, row, now)...)
		}
	}
	return out
}

func (r *Reserve) advance(id entity.WorkspaceID, row *reserveRow, now time.Time) []Reply {
	w := r.workspace(id)
	if w == nil {
		return row.refuseAll()
	}
	rate, capacity := r.share(w)
	row.refill(rate, capacity, now)
	var out []Reply
	for len(row.waiting) > 0 {
		a := row.waiting[0]
		fits := a.Tokens <= row.level+r.slack.overdraft()+rounding
		if !fits && now.Before(a.Until) {
			break
		}
		row.waiting = row.waiting[1:]
		row.backlog -= a.Tokens
		if fits {
			out = append(out, r.grant(a, w, row, capacity, now))
			continue
		}
		wait := row.waitFor(a.Tokens, r.slack.overdraft(), rate)
		out = append(out, a.refused(row.comeBack(a.Tokens, wait, rate, now)))
	}
	if len(row.waiting) == 0 {
		row.backlog = 0
	}
	return out
}

// refuseAll ends the asks of a workspace that is gone.
func (row *reserveRow) refuseAll() []Reply {
	var out []Reply
	for _, a := range row.waiting {
		out = append(out, a.refused(longestReturn))
	}
	row.waiting, row.backlog = nil, 0
	return out
}

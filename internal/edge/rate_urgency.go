package edge

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/tokenqueue"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// minTargetRatio is how many times the shortest target latency of streams the longest one must be. Requests wait for
	// tokens for half of their target, so what the patient ones wait for then covers ten such waits of the urgent ones.
	minTargetRatio = 10
	// deficitInterval is the least time between two messages with deficits to the coordinator. It is shorter than the
	// interval of ticks of a busy host, which send what remains.
	deficitInterval = 10 * time.Millisecond
	// returnFraction is the part of the time left to the deadline of a request within which its caller returns after a
	// refusal. returnMargin is the time for the refusal and the return to be transferred.
	returnFraction = 3
	returnMargin   = 10 * time.Millisecond
	// rateLogInterval is the time between two log lines about one workspace, and rateLogTTL how long the time of the last
	// line is kept.
	rateLogInterval = time.Second
	rateLogTTL      = 10 * time.Second
	// digestDigits is the number of hexadecimal digits of a request digest that recognize a request which returns.
	digestDigits = 16
)

// rateUrgency is the state of a host that grants the tokens of workspaces by urgency.
type rateUrgency struct {
	// queues holds the parked requests while there is no coordinator.
	queues map[entity.WorkspaceID]*tokenqueue.Queue[*parkedRequest]
	// closed holds the classes for which the coordinator has named the time until which no new request can be granted.
	closed map[workspaceClass]*closedClass
	// sentAt is the time of the last message with deficits.
	sentAt time.Time
	// counts holds the requests of the current log line of each workspace.
	counts map[entity.WorkspaceID]*rateCounts
	// totals are the tokens counted for the metrics.
	totals map[rateTotal]float64
	// returns counts the refusals without the coordinator, to spread the returns.
	returns int
}

// workspaceClass is a class of requests of a workspace.
type workspaceClass struct {
	workspace entity.WorkspaceID
	class     tokenqueue.Class
}

// closedClass is a class whose requests of at least a number of tokens are refused until a time.
type closedClass struct {
	until  time.Time
	tokens float64
	// refused is the sum of the tokens that were refused and not reported to the coordinator.
	refused float64
}

// tokenOutcome is what became of a request that exceeded the rate of its workspace.
type tokenOutcome string

const (
	// tokensLacking counts the requests for which the host had no tokens when they arrived. Of these, tokensRefused
	// includes tokensUnanswered and tokensClosed.
	tokensLacking    tokenOutcome = "lacking"
	tokensGranted    tokenOutcome = "granted"
	tokensRefused    tokenOutcome = "refused"
	tokensUnanswered tokenOutcome = "unanswered"
	tokensClosed     tokenOutcome = "closed"
)

// rateTotal identifies a sum of tokens.
type rateTotal struct {
	rank    int
	outcome tokenOutcome
}

// rateCounts counts the requests of one workspace since the last log line.
type rateCounts struct {
	loggedAt time.Time
	byClass  map[tokenqueue.Class]map[tokenOutcome]int
}

func newRateUrgency() *rateUrgency {
	return &rateUrgency{
		queues: make(map[entity.WorkspaceID]*tokenqueue.Queue[*parkedRequest]),
		closed: make(map[workspaceClass]*closedClass),
		counts: make(map[entity.WorkspaceID]*rateCounts),
		totals: make(map[rateTotal]float64),
	}
}

// selectRateUrgency turns the grants by urgency on or off as Sharing.RateUrgency and the configuration ask for.
func (c *core) selectRateUrgency(now time.Time) {
	shortest, longest := c.catalog.StreamTargets()
	on := c.sharing.RateUrgency && shortest > 0 && longest >= minTargetRatio*shortest
	if on == (c.rateUrgency != nil) {
		return
	}
	c.log.Info("Rates are shared by urgency if the targets differ enough.", "by_urgency", on, "shortest_target", shortest, "longest_target", longest)
	parked := c.parked
	c.rateUrgency = nil
	if on {
		c.rateUrgency = newRateUrgency()
	}
	for _, p := range parked {
		p.queued = false
	}
	c.scheduler.SetEarlyRefusal(on)
	if c.coordinator != nil {
		c.coordinator.reserve.SetUrgency(on)
	}
	c.readmitAll(now)
}

// classOf returns the class of a request.
func classOf(r *dispatch.Request) tokenqueue.Class {
	return tokenqueue.Class{Rank: r.Rank, Aim: r.Route.TargetLatency}
}

// classOfDeficit returns the class of a deficit. Deficits of builds that send no class form one of their own.
func classOfDeficit(d wire.TokenDeficit) tokenqueue.Class {
	return tokenqueue.Class{Rank: d.Rank, Aim: max(d.Aim, 0)}
}

// returnWithin returns the longest time after which the caller of a request can return.
func returnWithin(r *dispatch.Request, now time.Time) time.Duration {
	return max(r.Deadline.Sub(now)/returnFraction-returnMargin, time.Millisecond)
}

// shortDigest returns the number by which a request is recognized when it returns, zero if it has no digest.
func shortDigest(d entity.RequestDigest) uint64 {
	if len(d) < digestDigits {
		return 0
	}
	n, err := strconv.ParseUint(string(d[:digestDigits]), 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// admitByUrgency does the work of admit if tokens are granted by urgency.
func (c *core) admitByUrgency(r *dispatch.Request, since, now time.Time) {
	p := &parkedRequest{request: r, waitUntil: tokenWaitDeadline(r, since)}
	if c.usesQueue(r) {
		c.offer(p, now)
		return
	}
	deficit, wait, ok := c.limiter.Admit(entity.RateKey(r.Workspace), r.Tokens, now)
	if ok {
		c.enqueue(r, now)
		return
	}
	c.countLack(p, now)
	c.waitForTokens(p, deficit, wait, now)
}

// usesQueue reports whether a request gets its tokens from the queue of this host: without a coordinator, if its
// workspace has a rate.
func (c *core) usesQueue(r *dispatch.Request) bool {
	if c.rateUrgency == nil || c.hasCoordinator() || c.catalog == nil {
		return false
	}
	w := c.catalog.Workspace(r.Workspace)
	return w != nil && w.Rate > 0
}

// offer offers a request to the queue of its workspace at this host. If the queue refuses it, it is held if
// holdForTokens permits.
func (c *core) offer(p *parkedRequest, now time.Time) {
	r := p.request
	p.tokenRequestID = 0
	q := c.rateUrgency.queues[r.Workspace]
	if q == nil {
		q = tokenqueue.New[*parkedRequest]()
		c.rateUrgency.queues[r.Workspace] = q
	}
	v := q.Offer(tokenqueue.Request[*parkedRequest]{
		Class: classOf(r), Tokens: r.Tokens, Until: p.currentDeadline(false, now), RetryWithin: returnWithin(r, now), Digest: shortDigest(r.Digest), Payload: p,
	}, c.limiter.Supply(entity.RateKey(r.Workspace), now), now)
	if v.Outcome != tokenqueue.Granted {
		c.countLack(p, now)
	}
	c.applyVerdict(p, v, now)
}

// applyVerdict applies the decision of a queue of this host.
func (c *core) applyVerdict(p *parkedRequest, v tokenqueue.Verdict, now time.Time) {
	r := p.request
	p.queued = v.Outcome == tokenqueue.Waits
	switch {
	case p.queued:
		c.parked = append(c.parked, p)
	case v.Outcome == tokenqueue.Granted:
		if _, wait, ok := c.limiter.Admit(entity.RateKey(r.Workspace), r.Tokens, now); !ok {
			// The tokens may differ by a rounding error.
			c.refuseTokens(r, c.retryAfter(wait, now), now)
			return
		}
		c.countGrant(p, now)
		c.enqueue(r, now)
	case c.holdForTokens(p, now):
		c.parked = append(c.parked, p)
	default:
		c.refuseTokens(r, c.retryAfter(v.RetryAfter, now), now)
	}
}

// tickRateUrgency applies the decisions of the queues of this host and logs the workspaces that exceed their rate.
func (c *core) tickRateUrgency(now time.Time) {
	u := c.rateUrgency
	if u == nil {
		return
	}
	if len(u.queues) > 0 && c.hasCoordinator() {
		// This host has become the coordinator.
		c.readmitAll(now)
	}
	for _, id := range slices.Sorted(maps.Keys(u.queues)) {
		q := u.queues[id]
		for {
			req, v, ok := q.Next(c.limiter.Supply(entity.RateKey(id), now), now)
			if !ok {
				break
			}
			c.parked = slices.DeleteFunc(c.parked, func(p *parkedRequest) bool { return p == req.Payload })
			c.applyVerdict(req.Payload, v, now)
		}
	}
	c.logRates(now)
}

// unqueue removes a request whose caller has left from the queue of this host.
func (c *core) unqueue(p *parkedRequest) {
	if !p.queued {
		return
	}
	if q := c.rateUrgency.queues[p.request.Workspace]; q != nil {
		q.Remove(func(other *parkedRequest) bool { return other == p })
	}
}

// clearQueues removes all requests from the queues of this host, because a coordinator was gained or lost.
func (c *core) clearQueues(parked []*parkedRequest) {
	if c.rateUrgency == nil {
		return
	}
	clear(c.rateUrgency.queues)
	clear(c.rateUrgency.closed)
	for _, p := range parked {
		p.queued = false
	}
}

// describeDeficit adds to a deficit what the coordinator needs to grant tokens by urgency.
func (c *core) describeDeficit(p *parkedRequest, d *wire.TokenDeficit, now time.Time) {
	u, r := c.rateUrgency, p.request
	if u == nil {
		return
	}
	class := classOf(r)
	d.Rank, d.Aim, d.ReturnWithin, d.Digest = class.Rank, class.Aim, returnWithin(r, now), shortDigest(r.Digest)
	for _, other := range c.parked {
		if other.tokenRequestID != 0 && other.request.Workspace == r.Workspace {
			// The other request gets the tokens that this host has. With the deficit alone, one of the two would
			// lack tokens after both grants.
			d.Tokens = r.Tokens
			break
		}
	}
	if closed := u.closed[workspaceClass{r.Workspace, class}]; closed != nil {
		d.Refused, closed.refused = closed.refused, 0
	}
}

// batchesDeficits reports whether deficits wait for the next tick, because others have just been sent.
func (c *core) batchesDeficits(now time.Time) bool {
	if c.rateUrgency == nil || c.coordinator != nil {
		return false
	}
	if now.Sub(c.rateUrgency.sentAt) < deficitInterval {
		return true
	}
	c.rateUrgency.sentAt = now
	return false
}

// closeClass records that the coordinator grants no tokens to new requests of a class for some time.
func (c *core) closeClass(r *dispatch.Request, g wire.TokenGrant, now time.Time) {
	u := c.rateUrgency
	if u == nil || g.ClosedFor <= 0 {
		return
	}
	key := workspaceClass{r.Workspace, classOf(r)}
	closed := u.closed[key]
	if closed == nil {
		closed = &closedClass{}
		u.closed[key] = closed
	}
	closed.until, closed.tokens = now.Add(min(g.ClosedFor, maxRetryAfter)), r.Tokens
}

// refuseClosed refuses a new request whose class is closed, and reports whether it did.
func (c *core) refuseClosed(p *parkedRequest, now time.Time) bool {
	u, r := c.rateUrgency, p.request
	closed := u.closed[workspaceClass{r.Workspace, classOf(r)}]
	if closed == nil || !now.Before(closed.until) || r.Tokens < closed.tokens || p.unanswered || !p.heldUntil.IsZero() {
		return false
	}
	closed.refused += r.Tokens
	u.returns++
	c.countTokens(r, tokensClosed, now)
	c.refuseTokens(r, max(tokenqueue.SpreadReturn(u.returns, returnWithin(r, now)), closed.until.Sub(now)), now)
	return true
}

// countLack counts a request for which this host has no tokens, and countGrant one that has got them later.
func (c *core) countLack(p *parkedRequest, now time.Time) {
	if !p.lacked {
		p.lacked = true
		c.countTokens(p.request, tokensLacking, now)
	}
}

func (c *core) countGrant(p *parkedRequest, now time.Time) {
	if p.lacked {
		c.countTokens(p.request, tokensGranted, now)
	}
}

// countTokens counts what became of a request that exceeded the rate of its workspace.
func (c *core) countTokens(r *dispatch.Request, outcome tokenOutcome, now time.Time) {
	u := c.rateUrgency
	if u == nil {
		return
	}
	u.totals[rateTotal{r.Rank, outcome}] += r.Tokens
	counts := u.counts[r.Workspace]
	if counts == nil {
		// The first line comes after an interval, so that it describes the overload.
		counts = &rateCounts{loggedAt: now, byClass: make(map[tokenqueue.Class]map[tokenOutcome]int)}
		u.counts[r.Workspace] = counts
	}
	class := counts.byClass[classOf(r)]
	if class == nil {
		class = make(map[tokenOutcome]int)
		counts.byClass[classOf(r)] = class
	}
	class[outcome]++
}

// logRates logs one line for each workspace of which requests were refused. Requests that lack tokens at a host and are
// granted them by the coordinator are usual where there are many hosts.
func (c *core) logRates(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.rateUrgency.counts)) {
		counts := c.rateUrgency.counts[id]
		since := now.Sub(counts.loggedAt)
		switch {
		case since < rateLogInterval:
			continue
		case len(counts.byClass) == 0:
			if since > rateLogTTL {
				delete(c.rateUrgency.counts, id)
			}
			continue
		}
		if counts.refused() > 0 {
			c.log.Info("Workspace exceeds its rate.", "workspace", id, "classes", counts.describe(), "hosts", c.limiter.Hosts(), "coordinated", c.hasCoordinator())
		}
		counts.loggedAt = now
		clear(counts.byClass)
	}
}

// refused returns the number of refused requests.
func (c *rateCounts) refused() (n int) {
	for _, class := range c.byClass {
		n += class[tokensRefused]
	}
	return n
}

// describe returns the counts by class, the most urgent one first.
func (c *rateCounts) describe() string {
	var out []string
	for _, class := range slices.SortedFunc(maps.Keys(c.byClass), tokenqueue.Class.Compare) {
		n := c.byClass[class]
		out = append(out, fmt.Sprintf("rank %d aim %s: lacking %d granted %d refused %d (unanswered %d, closed %d)",
			class.Rank, class.Aim, n[tokensLacking], n[tokensGranted], n[tokensRefused], n[tokensUnanswered], n[tokensClosed]))
	}
	return strings.Join(out, "; ")
}

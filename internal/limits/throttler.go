// Package limits enforces the rate and burst of each workspace over all hosts together.
// Tokens are conserved: see section 2.6 of docs/design.md. The package is pure: it takes the
// time as an argument and returns commands; a Throttler is owned by one goroutine.
//
// The caller must keep three rules, on which the bound depends:
//   - A host registers with create-if-absent, or overwrites a registration with its own address.
//   - HandleHosts is called before HandleRecord when one view update changes both.
//   - HandleLease is called only when the lease was renewed and the registration is bound to it.
package limits

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Durations of the protocol. All hosts must use the same values.
const (
	// LoanTerm is how long a lender keeps its capacity lowered for a loan.
	LoanTerm = 250 * time.Millisecond
	// loanMargin shortens the term at the borrower; it covers 2 % difference in clock speed.
	loanMargin = 5 * time.Millisecond
	// heartbeatAlive is how long a process counts as alive after its last heartbeat: four intervals.
	heartbeatAlive = 2 * time.Second
	// WitnessTerm is how long a witness answer counts, from when the heartbeat was sent.
	WitnessTerm = 5 * time.Second
	// LongTerm bounds the time without a lease, also when all witnesses answer.
	LongTerm = 15 * time.Minute
	// loanHold is added to every proof that a term is over, because loans that were given at its
	// end are still valid.
	loanHold = LoanTerm + 50*time.Millisecond
	// driftParts is the inverse of the assumed bound of clock drift between hosts (1 %).
	driftParts = 100
)

// Durations that affect only service quality.
const (
	// loanWait bounds how long a request waits for loans.
	loanWait = 150 * time.Millisecond
	// lateWait bounds how much longer a request waits while a peer owes an answer. A peer that is only slow
	// answers, or is heard again and can be asked again, within two intervals of heartbeats.
	lateWait = 900 * time.Millisecond
	// askTimeout ends the wait for one peer's answer, so that a second round fits in loanWait.
	askTimeout = 60 * time.Millisecond
	// firstShareWait bounds how long requests of a workspace that is new in the configuration wait
	// for this host's first share: two writes to the key-value service and their conflicts.
	firstShareWait = time.Second
	// keepBorrowed is how long unspent loans are kept for later requests before they are returned.
	keepBorrowed = 120 * time.Millisecond
	// peerSilence is the age of the last heartbeat after which a peer is not asked.
	peerSilence = 1500 * time.Millisecond
	// demandWindow is the time constant of the demand averages.
	demandWindow = 10 * time.Second
)

// Policy selects how tokens move between hosts.
type Policy string

// The policies. PolicyStatic is the baseline for measurements: equal shares and no loans.
const (
	PolicyLoans  Policy = "loans"
	PolicyStatic Policy = "static"
)

// Options configures a Throttler.
type Options struct {
	Self        entity.HostID
	Incarnation entity.Incarnation
	// Addr is the peer address of this process; no two live processes share one.
	Addr string
	Rand *rand.Rand
	// Policy is PolicyLoans when empty.
	Policy Policy
}

// Admission asks for tokens for one request.
type Admission struct {
	ID        entity.RequestID
	Workspace entity.WorkspaceID
	// Tokens is the prompt plus the maximum output.
	Tokens   float64
	Deadline time.Time
}

// Throttler holds the token state of one host for all workspaces. It is owned by one goroutine.
type Throttler struct {
	opt      Options
	accounts map[entity.WorkspaceID]*account
	// active holds the accounts with requests, asks, loans or writes in progress.
	active  map[*account]struct{}
	charges map[entity.RequestID]charge
	writes  map[uint64]*account
	nextID  uint64
	heard   map[entity.HostID]time.Time
	term    term
	// siteRevision is the newest configuration revision taken.
	siteRevision int64
	// nextSweep is when all accounts are next checked for share changes.
	nextSweep time.Time
	stopping  bool
}

// charge is what an admitted request has taken.
type charge struct {
	account         *account
	local, borrowed float64
}

// account is the state of one workspace.
type account struct {
	id entity.WorkspaceID
	ledger
	configured bool
	// newUntil ends the time in which requests wait for the first share.
	newUntil time.Time
	share    share
	waiting  []*waiter
	asks     map[uint64]*ask
	borrowed []borrowed
	// spent holds loans that are used up and whose end the lender does not know yet.
	spent []borrowed
	peers map[entity.HostID]*peerLevel
	// pressed is set while this host borrows ahead of its demand.
	pressed   bool
	nextAhead time.Time
	used      average
	short     average
}

// waiter is a request that waits for tokens.
type waiter struct {
	id     entity.RequestID
	tokens float64
	until  time.Time
	// last is until when the wait is prolonged while a peer owes an answer.
	last time.Time
	// first marks a request that waits for the first share of its workspace.
	first bool
}

// New returns a Throttler without units and outside its term.
func New(opt Options) *Throttler {
	if opt.Policy == "" {
		opt.Policy = PolicyLoans
	}
	return &Throttler{
		opt:      opt,
		accounts: map[entity.WorkspaceID]*account{},
		active:   map[*account]struct{}{},
		charges:  map[entity.RequestID]charge{},
		writes:   map[uint64]*account{},
		heard:    map[entity.HostID]time.Time{},
		term:     newTerm(),
	}
}

func (t *Throttler) account(id entity.WorkspaceID) *account {
	a := t.accounts[id]
	if a == nil {
		a = &account{id: id, asks: map[uint64]*ask{}, peers: map[entity.HostID]*peerLevel{}}
		t.accounts[id] = a
	}
	return a
}

func (t *Throttler) newID() uint64 {
	t.nextID++
	return t.nextID
}

// HandleSite takes the rates and bursts of a configuration from now on. Levels are never
// raised. Workspaces that are not listed admit nothing. An older revision is ignored, because it
// could restore a larger rate.
func (t *Throttler) HandleSite(site *config.Site, now time.Time) {
	if site.Revision < t.siteRevision {
		return
	}
	t.siteRevision = site.Revision
	for id, a := range t.accounts {
		if _, listed := site.Workspaces[id]; !listed && a.configured {
			a.configured = false
			a.setLimits(0, 0, now)
		}
	}
	for id, w := range site.Workspaces {
		a := t.account(id)
		if !a.configured {
			a.newUntil = now.Add(firstShareWait)
		}
		a.configured = true
		a.setLimits(w.RateTokensPerSecond, w.BurstTokens, now)
	}
}

// Request charges a request. It returns Admit or Refuse at once, or starts loans, in which case
// a later call of any method that returns commands answers within loanWait, or
// lateWait later while a peer owes an answer.
func (t *Throttler) Request(r Admission, now time.Time) []command.Command {
	a := t.accounts[r.Workspace]
	if a == nil || !a.configured {
		return refuse(r.ID, 403, "unknown_workspace", "The workspace is not configured.", 0)
	}
	if t.stopping {
		return refuse(r.ID, 503, "stopping", "This host is stopping.", time.Second)
	}
	if r.Tokens > a.burst {
		return refuse(r.ID, 413, "exceeds_burst", "The request needs more tokens than the burst of the workspace.", 0)
	}
	a.advance(now)
	a.dropExpired(now)
	if len(a.waiting) == 0 && t.available(a, now) >= r.Tokens {
		t.charge(a, r.ID, r.Tokens, now)
		return []command.Command{command.Admit{Request: r.ID}}
	}
	queued := a.queuedTokens()
	first := t.awaitsFirstShare(a, now) && queued+r.Tokens <= a.burst
	if !first && t.fleetTokens(a, now) < queued+r.Tokens {
		a.short.add(r.Tokens, now)
		return []command.Command{t.rateLimited(a, r.ID, queued+r.Tokens, now)}
	}
	until := now.Add(loanWait)
	if first {
		until = a.newUntil
	}
	last := until.Add(lateWait)
	if !r.Deadline.IsZero() {
		until, last = earlier(until, r.Deadline), earlier(last, r.Deadline)
	}
	a.waiting = append(a.waiting, &waiter{id: r.ID, tokens: r.Tokens, until: until, last: last, first: first})
	t.active[a] = struct{}{}
	return t.serve(a, now)
}

// awaitsFirstShare says whether the workspace is new and this host has not got its share yet.
func (t *Throttler) awaitsFirstShare(a *account, now time.Time) bool {
	return a.units == 0 && now.Before(a.newUntil)
}

// endFirstWait gives requests that waited for the first share the usual time to borrow the rest.
func (a *account) endFirstWait(now time.Time) {
	for _, w := range a.waiting {
		if w.first {
			w.first = false
			w.until = earlier(w.until, now.Add(loanWait))
		}
	}
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// Cancel removes a waiting request or refunds an admitted one that was not run.
func (t *Throttler) Cancel(id entity.RequestID, now time.Time) []command.Command {
	if _, admitted := t.charges[id]; admitted {
		t.Settle(id, 0, now)
		return nil
	}
	for a := range t.active {
		i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.id == id })
		if i >= 0 {
			a.waiting = slices.Delete(a.waiting, i, i+1)
			return t.serve(a, now)
		}
	}
	return nil
}

// Settle ends the charge of a request that has used a number of tokens. Unused tokens are
// refunded only as far as they were charged to the local ledger, and never above its capacity.
func (t *Throttler) Settle(id entity.RequestID, usedTokens float64, now time.Time) {
	c, ok := t.charges[id]
	if !ok {
		return
	}
	delete(t.charges, id)
	unused := c.local + c.borrowed - max(usedTokens, 0)
	refund := min(c.local, unused)
	if refund <= 0 {
		return
	}
	c.account.advance(now)
	c.account.credit(refund)
}

// available is what a request of this host may spend now.
func (t *Throttler) available(a *account, now time.Time) float64 {
	sum := a.borrowedTokens()
	if t.usable(a, now) {
		sum += a.level
	}
	return sum
}

// charge spends borrowed tokens first, because they expire.
func (t *Throttler) charge(a *account, id entity.RequestID, tokens float64, now time.Time) {
	a.used.add(tokens, now)
	c := charge{account: a}
	c.borrowed = a.spendBorrowed(tokens)
	c.local = max(0, min(tokens-c.borrowed, a.level))
	a.level -= c.local
	t.charges[id] = c
	t.active[a] = struct{}{}
}

// serve answers waiting requests in order and asks for loans for the rest.
func (t *Throttler) serve(a *account, now time.Time) []command.Command {
	a.advance(now)
	a.dropExpired(now)
	if a.units > 0 {
		a.endFirstWait(now)
	}
	var out []command.Command
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		switch {
		case t.available(a, now) >= w.tokens && !now.After(w.until):
			t.charge(a, w.id, w.tokens, now)
			out = append(out, command.Admit{Request: w.id})
		case !now.Before(w.until) && now.Before(w.last) && t.unanswered(a):
			w.until = earlier(w.last, now.Add(loanWait))
			return append(out, t.askLoans(a, now)...)
		case !now.Before(w.until):
			a.short.add(w.tokens, now)
			out = append(out, t.rateLimited(a, w.id, w.tokens, now))
		default:
			return append(out, t.askLoans(a, now)...)
		}
		a.waiting = a.waiting[1:]
	}
	return out
}

// unanswered says whether a peer that was asked for a loan has neither answered nor been heard since.
func (t *Throttler) unanswered(a *account) bool {
	for _, h := range a.share.rec.Holders {
		if p := a.peers[h.Host]; p != nil && math.IsInf(p.level, -1) {
			return true
		}
	}
	return false
}

func (a *account) queuedTokens() float64 {
	var sum float64
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return sum
}

// rateLimited refuses with the time at which the fleet will have accrued the tokens.
func (t *Throttler) rateLimited(a *account, id entity.RequestID, tokens float64, now time.Time) command.Command {
	missing := tokens - t.fleetTokens(a, now)
	after := time.Hour
	if a.rate > 0 {
		seconds := max(missing, 0) / a.rate
		after = time.Duration(math.Min(seconds, after.Seconds()) * float64(time.Second))
	}
	after = max(after, 10*time.Millisecond)
	return refuse(id, 429, "rate_limited", "The workspace has used its rate.", after)[0]
}

func refuse(id entity.RequestID, status int, code, message string, after time.Duration) []command.Command {
	return []command.Command{command.Refuse{Request: id, Refusal: entity.Refusal{
		Status: status, Code: code, Message: message, Ran: entity.NotRun, RetryAfter: after,
	}}}
}

// HandleMessage handles the loan and fence messages of a peer.
func (t *Throttler) HandleMessage(from entity.HostID, inc entity.Incarnation, msg wire.Message, now time.Time) []command.Command {
	switch m := msg.(type) {
	case *wire.LoanAsk:
		return t.handleAsk(from, inc, m, now)
	case *wire.LoanGrant:
		return t.handleGrant(from, m, now)
	case *wire.LoanReturn:
		if a := t.accounts[m.Workspace]; a != nil {
			a.takeBack(loanKey{from, inc, m.ID}, m.Tokens, now)
		}
	case *wire.FenceRequest:
		return t.handleFenceRequest(from, m, now)
	case *wire.FenceGrant:
		t.term.handleFence(inc, m, now)
	}
	return nil
}

// Tick drives time-outs and share changes. It should be called every 10 ms while requests
// wait; its work is proportional to the active accounts, plus a sweep over all every 500 ms.
func (t *Throttler) Tick(now time.Time) []command.Command {
	var out []command.Command
	for _, a := range t.activeAccounts() {
		t.expireAsks(a, now)
		out = append(out, t.serve(a, now)...)
		out = append(out, t.returnIdle(a, now)...)
		out = append(out, t.borrowAhead(a, now)...)
		if a.share.wanted {
			out = append(out, t.plan(a, now)...)
		}
		if a.idle() {
			delete(t.active, a)
		}
	}
	if now.Before(t.nextSweep) {
		return out
	}
	t.nextSweep = now.Add(sweepInterval)
	out = append(out, t.sweep(now)...)
	return out
}

func (a *account) idle() bool {
	return len(a.waiting) == 0 && len(a.asks) == 0 && len(a.borrowed)+len(a.spent) == 0 && len(a.loans) == 0 && !a.share.wanted && !a.pressed
}

// activeAccounts returns the active accounts in a fixed order, so that runs are repeatable.
func (t *Throttler) activeAccounts() []*account { return sorted(t.active) }

func sorted(set map[*account]struct{}) []*account {
	list := make([]*account, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *account) int {
		if x.id < y.id {
			return -1
		}
		return 1
	})
	return list
}

// Package limits enforces the rate and burst of each workspace over all hosts together.
// Tokens are conserved: see section 2.6 of docs/design.md. The package does no I/O and reads no clock: it
// takes the time as an argument and returns commands. A Throttler is owned by one goroutine.
//
// The rate and burst of a workspace are divided into TotalUnits units. The share record of the workspace in the
// key-value service lists the processes that hold units; the units of a process are its share. Each process has a
// token bucket, the ledger, for its share, and the tokens in it are its level. A process that lacks tokens borrows
// some from the level of another process: a loan ends after LoanTerm or when it is returned.
//
// A process may use its units only during its term: while its lease is valid, or while enough of its witnesses
// answer its heartbeats. The witnesses are other processes that its entry in the share record names. To reclaim the
// units of a process that is no longer registered, a host asks the witnesses to fence it, which means that they
// promise not to answer it again. A lease epoch is a period in which the lease was valid without interruption.
//
// The bound on admitted tokens holds only if the code that uses the package keeps three rules:
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
	// LoanTerm is how long a lender holds back capacity for a loan.
	LoanTerm = 250 * time.Millisecond
	// loanMargin is how much earlier a loan ends at the borrower than at the lender. It covers a difference in
	// clock speed of 2 %.
	loanMargin = 5 * time.Millisecond
	// heartbeatTimeout is how long a process counts as running after its last heartbeat: four heartbeat
	// intervals.
	heartbeatTimeout = 2 * time.Second
	// WitnessTerm is how long the answer of a witness is valid, counted from when the heartbeat was sent.
	WitnessTerm = 5 * time.Second
	// MaxTimeWithoutLease bounds how long a host may use its units after its lease has ended, even if all
	// witnesses answer.
	MaxTimeWithoutLease = 15 * time.Minute
	// loanGracePeriod is the time from the end of a term until its units may be reclaimed, because loans granted
	// at the end of the term are still valid.
	loanGracePeriod = LoanTerm + 50*time.Millisecond
	// driftDivisor is the inverse of the assumed bound on clock drift between hosts (1 %).
	driftDivisor = 100
)

// Durations that affect only the quality of service.
const (
	// loanWait bounds how long a request waits for loans.
	loanWait = 150 * time.Millisecond
	// slowPeerWait bounds how much longer a request waits while a peer has not answered a loan request.
	// Within two heartbeat intervals, a peer that is only slow either answers or sends a heartbeat. After the
	// heartbeat it can get another loan request.
	slowPeerWait = 900 * time.Millisecond
	// loanRequestTimeout bounds the wait for one peer's answer. A second round of loan requests then fits in
	// loanWait.
	loanRequestTimeout = 60 * time.Millisecond
	// firstShareWait bounds how long requests of a workspace that is new in the configuration wait for
	// this host's first units. It covers two writes to the key-value service and their conflicts.
	firstShareWait = time.Second
	// borrowedLoanRetention is how long unspent loans are kept for later requests before they are returned.
	borrowedLoanRetention = 120 * time.Millisecond
	// peerTimeout is the age of its last heartbeat above which a peer gets no loan requests.
	peerTimeout = 1500 * time.Millisecond
	// demandWindow is the time constant of the demand averages.
	demandWindow = 10 * time.Second
)

// Policy selects whether and how tokens move between hosts.
type Policy string

// The policies. PolicyStatic uses equal shares and no loans; it is the baseline for measurements.
const (
	PolicyLoans  Policy = "loans"
	PolicyStatic Policy = "static"
)

// Options configures a Throttler.
type Options struct {
	Self        entity.HostID
	Incarnation entity.Incarnation
	// Addr is the peer address of this process. No two live processes have the same one.
	Addr string
	Rand *rand.Rand
	// Policy is PolicyLoans when empty.
	Policy Policy
}

// Admission describes a request that needs tokens to be admitted.
type Admission struct {
	ID        entity.RequestID
	Workspace entity.WorkspaceID
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens   float64
	Deadline time.Time
}

// Throttler holds the token state of one host for all workspaces. It is owned by one goroutine.
type Throttler struct {
	opt      Options
	accounts map[entity.WorkspaceID]*account
	// active holds the accounts with waiting requests, loan requests, loans or pending writes. Tick visits
	// only these between sweeps.
	active  map[*account]struct{}
	charges map[entity.RequestID]charge
	writes  map[uint64]*account
	nextID  uint64
	// reported is when each peer last sent a heartbeat.
	reported map[entity.HostID]time.Time
	term     term
	// siteRevision is the newest configuration revision applied.
	siteRevision int64
	// nextSweep is when all accounts are checked again for needed changes of their units.
	nextSweep time.Time
	stopping  bool
}

// charge holds the tokens that an admitted request has taken from the local level and from loans.
type charge struct {
	account         *account
	local, borrowed float64
}

// account is the state of one workspace.
type account struct {
	id entity.WorkspaceID
	ledger
	configured bool
	// firstShareUntil is the time up to which requests wait for the first units of a new workspace.
	firstShareUntil time.Time
	share           share
	waiting         []*waiter
	loanRequests    map[uint64]*loanRequest
	borrowed        []borrowed
	// spent holds loans without unspent tokens that have not yet been reported to their lenders.
	spent []borrowed
	peers map[entity.HostID]*peerLevel
	// prefetching is set while prefetchLoans borrows tokens for future demand.
	prefetching  bool
	nextPrefetch time.Time
	// usage counts the tokens of admitted requests, deficit the tokens of requests that were refused because
	// too few tokens were available.
	usage   decayingSum
	deficit decayingSum
}

// waiter is a request that waits for tokens.
type waiter struct {
	id     entity.RequestID
	tokens float64
	until  time.Time
	// latestUntil is the time up to which until may be extended while a peer has not answered.
	latestUntil time.Time
	// awaitsShare marks a request that waits for the first units of its workspace.
	awaitsShare bool
}

// New returns a Throttler that holds no units and has no lease.
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
		reported: map[entity.HostID]time.Time{},
		term:     newTerm(),
	}
}

// account returns the account of a workspace and creates it if needed.
func (t *Throttler) account(id entity.WorkspaceID) *account {
	a := t.accounts[id]
	if a == nil {
		a = &account{id: id, loanRequests: map[uint64]*loanRequest{}, peers: map[entity.HostID]*peerLevel{}}
		t.accounts[id] = a
	}
	return a
}

func (t *Throttler) newID() uint64 {
	t.nextID++
	return t.nextID
}

// HandleSite applies the rates and bursts of a configuration from now on. It never raises levels.
// Workspaces that are not listed admit no requests. HandleSite ignores an older revision, because that could
// restore a larger rate.
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
			a.firstShareUntil = now.Add(firstShareWait)
		}
		a.configured = true
		a.setLimits(w.RateTokensPerSecond, w.BurstTokens, now)
	}
}

// Request admits a request and charges its tokens, or refuses it. It returns Admit or Refuse immediately if it
// can decide. Otherwise the request waits for loans or, in a new workspace, for the first units; a later call of
// any method that returns commands then returns Admit or Refuse. The wait for loans takes at most loanWait, plus
// slowPeerWait while a peer has not answered a loan request.
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
	a.dropExpiredLoans(now)
	if len(a.waiting) == 0 && t.availableTokens(a, now) >= r.Tokens {
		t.charge(a, r.ID, r.Tokens, now)
		return []command.Command{command.Admit{Request: r.ID}}
	}
	queued := a.queuedTokens()
	awaitsShare := t.awaitsFirstShare(a, now) && queued+r.Tokens <= a.burst
	if !awaitsShare && t.fleetTokens(a, now) < queued+r.Tokens {
		a.deficit.add(r.Tokens, now)
		return []command.Command{t.refuseRateLimited(a, r.ID, queued+r.Tokens, now)}
	}
	until := now.Add(loanWait)
	if awaitsShare {
		until = a.firstShareUntil
	}
	latestUntil := until.Add(slowPeerWait)
	if !r.Deadline.IsZero() {
		until, latestUntil = earlier(until, r.Deadline), earlier(latestUntil, r.Deadline)
	}
	a.waiting = append(a.waiting, &waiter{id: r.ID, tokens: r.Tokens, until: until, latestUntil: latestUntil, awaitsShare: awaitsShare})
	t.active[a] = struct{}{}
	return t.serveWaiting(a, now)
}

// awaitsFirstShare reports whether the workspace is new and this host does not hold units of it yet.
func (t *Throttler) awaitsFirstShare(a *account, now time.Time) bool {
	return a.units == 0 && now.Before(a.firstShareUntil)
}

// endFirstShareWait is called once this host holds units. The requests that waited for the first units now wait
// at most the usual loanWait, in which the missing tokens can be borrowed.
func (a *account) endFirstShareWait(now time.Time) {
	for _, w := range a.waiting {
		if w.awaitsShare {
			w.awaitsShare = false
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

// Cancel removes a waiting request, or refunds all tokens of an admitted request that was not run.
func (t *Throttler) Cancel(id entity.RequestID, now time.Time) []command.Command {
	if _, admitted := t.charges[id]; admitted {
		t.Settle(id, 0, now)
		return nil
	}
	for a := range t.active {
		i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.id == id })
		if i >= 0 {
			a.waiting = slices.Delete(a.waiting, i, i+1)
			return t.serveWaiting(a, now)
		}
	}
	return nil
}

// Settle ends the charge of a request that has used usedTokens. It refunds unused tokens only as far as
// they were charged to the local ledger, and never above the capacity of the ledger.
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

// availableTokens returns the tokens that a request at this host may spend now.
func (t *Throttler) availableTokens(a *account, now time.Time) float64 {
	sum := a.borrowedTokens()
	if t.mayUseUnits(a, now) {
		sum += a.level
	}
	return sum
}

// charge charges an admitted request. It spends borrowed tokens first, because they expire.
func (t *Throttler) charge(a *account, id entity.RequestID, tokens float64, now time.Time) {
	a.usage.add(tokens, now)
	c := charge{account: a}
	c.borrowed = a.spendBorrowed(tokens)
	c.local = max(0, min(tokens-c.borrowed, a.level))
	a.level -= c.local
	t.charges[id] = c
	t.active[a] = struct{}{}
}

// serveWaiting admits or refuses waiting requests in order, up to the first that must keep waiting, and
// requests loans for the rest.
func (t *Throttler) serveWaiting(a *account, now time.Time) []command.Command {
	a.advance(now)
	a.dropExpiredLoans(now)
	if a.units > 0 {
		a.endFirstShareWait(now)
	}
	var out []command.Command
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		switch {
		case t.availableTokens(a, now) >= w.tokens && !now.After(w.until):
			t.charge(a, w.id, w.tokens, now)
			out = append(out, command.Admit{Request: w.id})
		case !now.Before(w.until) && now.Before(w.latestUntil) && t.hasUnansweredPeer(a):
			w.until = earlier(w.latestUntil, now.Add(loanWait))
			return append(out, t.requestLoans(a, now)...)
		case !now.Before(w.until):
			a.deficit.add(w.tokens, now)
			out = append(out, t.refuseRateLimited(a, w.id, w.tokens, now))
		default:
			return append(out, t.requestLoans(a, now)...)
		}
		a.waiting = a.waiting[1:]
	}
	return out
}

// hasUnansweredPeer reports whether a peer has not answered a loan request in time and has sent no
// heartbeat since.
func (t *Throttler) hasUnansweredPeer(a *account) bool {
	for _, h := range a.share.rec.Holders {
		if p := a.peers[h.Host]; p != nil && math.IsInf(p.level, -1) {
			return true
		}
	}
	return false
}

// queuedTokens returns the tokens of all waiting requests.
func (a *account) queuedTokens() float64 {
	var sum float64
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return sum
}

// refuseRateLimited refuses a request. The retry time is the time in which all hosts together accrue the missing
// tokens, between 10 ms and one hour.
func (t *Throttler) refuseRateLimited(a *account, id entity.RequestID, tokens float64, now time.Time) command.Command {
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
	case *wire.LoanRequest:
		return t.handleLoanRequest(from, inc, m, now)
	case *wire.LoanGrant:
		return t.handleLoanGrant(from, m, now)
	case *wire.LoanReturn:
		if a := t.accounts[m.Workspace]; a != nil {
			a.endLoan(loanKey{from, inc, m.ID}, m.Tokens, now)
		}
	case *wire.FenceRequest:
		return t.handleFenceRequest(from, m, now)
	case *wire.FenceGrant:
		t.term.handleFenceGrant(inc, m, now)
	}
	return nil
}

// Tick handles timeouts, loans and changes of units. It should be called every 10 ms while requests wait.
// Its work is proportional to the number of active accounts, plus a sweep over all accounts every 500 ms.
func (t *Throttler) Tick(now time.Time) []command.Command {
	var out []command.Command
	for _, a := range t.activeAccounts() {
		t.expireLoanRequests(a, now)
		out = append(out, t.serveWaiting(a, now)...)
		out = append(out, t.returnUnusedLoans(a, now)...)
		out = append(out, t.prefetchLoans(a, now)...)
		if a.share.planPending {
			out = append(out, t.planWrite(a, now)...)
		}
		if a.isIdle() {
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

// isIdle reports whether Tick need not visit the account until another call makes it active.
func (a *account) isIdle() bool {
	return len(a.waiting) == 0 && len(a.loanRequests) == 0 && len(a.borrowed)+len(a.spent) == 0 && len(a.loans) == 0 && !a.share.planPending && !a.prefetching
}

// activeAccounts returns the active accounts ordered by workspace, so that runs are repeatable.
func (t *Throttler) activeAccounts() []*account { return sortAccounts(t.active) }

func sortAccounts(set map[*account]struct{}) []*account {
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

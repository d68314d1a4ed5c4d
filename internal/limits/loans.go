package limits

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// loanRequest is a wire.LoanRequest of this host whose wire.LoanGrant has not arrived.
type loanRequest struct {
	peer   entity.HostID
	tokens float64
	sent   time.Time
	// late is set after loanRequestTimeout. A later grant still counts, but this host now requests the
	// tokens from other peers too.
	late bool
}

// borrowed is a loan that this host has received. Its tokens field holds the unspent tokens.
type borrowed struct {
	lender  entity.HostID
	id      uint64
	tokens  float64
	sent    time.Time
	expires time.Time
}

// peerLevel is the last known token state of a workspace at a peer. Usage and deficit are in tokens per
// second. A level of -Inf means that the peer has not answered a loan request in time.
type peerLevel struct {
	level          float64
	at             time.Time
	usage, deficit float64
}

const (
	// loanRequestFactor makes this host request more tokens than it needs, because it knows the levels of
	// its peers only with a delay. The surplus serves later requests or is returned.
	loanRequestFactor = 1.25
	// minOfferFraction is the smallest fraction of the missing tokens that a peer must be able to lend
	// before this host requests a loan from it. Otherwise the loans would be spread over many peers with almost
	// no tokens.
	minOfferFraction = 1.0 / 50
	// smallBurstSeconds is the burst, in seconds of the rate, below which a loan is ended as soon as its tokens
	// are spent.
	// Otherwise the capacity that lenders hold back during LoanTerm would be a large part of the burst.
	smallBurstSeconds = 4
	// A host whose level is below the fraction prefetchBelowLevel of its capacity borrows tokens for
	// prefetchWindow of its demand. It borrows from peers whose level is at least the fraction
	// prefetchPeerLevel of their capacity, and whose fraction exceeds its own by prefetchLevelGap.
	prefetchBelowLevel = 0.9
	prefetchPeerLevel  = 0.5
	prefetchLevelGap   = 0.05
	prefetchWindow     = 50 * time.Millisecond
)

// decayingSum is an exponentially weighted sum of tokens with the time constant demandWindow.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (v *decayingSum) add(tokens float64, now time.Time) {
	v.sum = v.value(now) + tokens
	v.at = now
}

func (v *decayingSum) value(now time.Time) float64 {
	dt := now.Sub(v.at)
	if v.sum == 0 || dt <= 0 {
		return v.sum
	}
	return v.sum * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// perSecond returns the decayed rate in tokens per second.
func (v *decayingSum) perSecond(now time.Time) float64 { return v.value(now) / demandWindow.Seconds() }

// borrowedTokens returns the unspent tokens of all borrowed loans.
func (a *account) borrowedTokens() float64 {
	var sum float64
	for _, b := range a.borrowed {
		sum += b.tokens
	}
	return sum
}

func (a *account) dropExpiredLoans(now time.Time) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool { return !now.Before(b.expires) })
}

// spendBorrowed spends at most the given tokens from the loans, oldest first, and returns the tokens spent.
func (a *account) spendBorrowed(tokens float64) float64 {
	var spent float64
	for i := range a.borrowed {
		take := min(a.borrowed[i].tokens, tokens-spent)
		a.borrowed[i].tokens -= take
		spent += take
	}
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool {
		if b.tokens <= 0 && a.burst < smallBurstSeconds*a.rate {
			a.spent = append(a.spent, b)
		}
		return b.tokens <= 0
	})
	return spent
}

// unitsOf returns the units that a live host holds, and zero for other hosts.
func (t *Throttler) unitsOf(a *account, host entity.HostID) int64 {
	live, ok := t.term.hosts[host]
	if !ok {
		return 0
	}
	if h := a.share.rec.holder(live.Incarnation); h != nil {
		return h.Units
	}
	return 0
}

// estimatedLevel returns the level that a peer probably has now. It is zero for a peer without a recent
// heartbeat. A peer whose heartbeats do not list the workspace is assumed to have a full level.
func (t *Throttler) estimatedLevel(a *account, host entity.HostID, now time.Time) float64 {
	last, reported := t.reported[host]
	if host == t.opt.Self || !reported || now.Sub(last) > peerTimeout {
		return 0
	}
	units := t.unitsOf(a, host)
	full := proRata(a.burst, units)
	p := a.peers[host]
	if p == nil {
		return full
	}
	accrued := proRata(a.rate, units) * max(0, now.Sub(p.at).Seconds())
	return max(0, min(full, p.level+accrued))
}

// fleetTokens estimates the tokens that a request can get while it waits: those that this host can spend
// or has requested, those that its peers can probably lend, and those that the fleet accrues in loanWait.
func (t *Throttler) fleetTokens(a *account, now time.Time) float64 {
	sum := t.availableTokens(a, now) + a.requestedLoanTokens()
	if t.opt.Policy == PolicyStatic {
		if t.mayUseUnits(a, now) {
			sum += proRata(a.rate, a.units) * loanWait.Seconds()
		}
		return sum
	}
	for _, h := range a.share.rec.Holders {
		sum += t.estimatedLevel(a, h.Host, now)
	}
	return sum + a.rate*loanWait.Seconds()
}

// requestedLoanTokens returns the tokens of loan requests that have not timed out.
func (a *account) requestedLoanTokens() float64 {
	var sum float64
	for _, k := range a.loanRequests {
		if !k.late {
			sum += k.tokens
		}
	}
	return sum
}

// requestLoans sends loan requests, for the tokens that the waiting requests lack, to the peers with the highest
// estimated levels.
func (t *Throttler) requestLoans(a *account, now time.Time) []command.Command {
	if t.opt.Policy == PolicyStatic {
		return nil
	}
	have := t.availableTokens(a, now) + a.requestedLoanTokens()
	missing := a.queuedTokens() - have
	if missing <= 0 {
		return nil
	}
	type offer struct {
		host           entity.HostID
		estimatedLevel float64
	}
	var offers []offer
	for _, h := range a.share.rec.Holders {
		e := t.estimatedLevel(a, h.Host, now)
		if e > 0 && e >= missing*minOfferFraction {
			offers = append(offers, offer{h.Host, e})
		}
	}
	t.opt.Rand.Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
	slices.SortStableFunc(offers, func(x, y offer) int {
		switch {
		case x.estimatedLevel > y.estimatedLevel:
			return -1
		case x.estimatedLevel < y.estimatedLevel:
			return 1
		}
		return 0
	})
	var sum float64
	n := 0
	for n < len(offers) && sum < missing*loanRequestFactor {
		sum += offers[n].estimatedLevel
		n++
	}
	if have+sum < a.waiting[0].tokens {
		// Loans cannot serve the first waiting request yet, so they would only move tokens between hosts.
		return nil
	}
	var out []command.Command
	for _, o := range offers[:n] {
		tokens := min(o.estimatedLevel, o.estimatedLevel/sum*missing*loanRequestFactor)
		out = append(out, t.sendLoanRequest(a, o.host, tokens, now))
	}
	return out
}

// sendLoanRequest returns the command that requests a loan, and deducts the loan from the peer's estimated level.
func (t *Throttler) sendLoanRequest(a *account, peer entity.HostID, tokens float64, now time.Time) command.Command {
	id := t.newID()
	a.loanRequests[id] = &loanRequest{peer: peer, tokens: tokens, sent: now}
	t.active[a] = struct{}{}
	left := t.estimatedLevel(a, peer, now) - tokens
	t.setPeerLevel(a, peer, left, now)
	return command.SendPeer{To: peer, Message: &wire.LoanRequest{ID: id, Workspace: a.id, Tokens: tokens}}
}

func (t *Throttler) setPeerLevel(a *account, peer entity.HostID, level float64, now time.Time) {
	p := a.peers[peer]
	if p == nil {
		p = &peerLevel{}
		a.peers[peer] = p
	}
	p.level, p.at = level, now
}

// prefetchLoans borrows tokens for the demand of the next prefetchWindow from peers with much higher levels.
// Peers with a full level lose the tokens that they accrue, and the fleet would lack these at the next
// burst of requests.
func (t *Throttler) prefetchLoans(a *account, now time.Time) []command.Command {
	capacity := a.capacity()
	expected := (a.usage.perSecond(now) + a.deficit.perSecond(now)) * prefetchWindow.Seconds()
	a.prefetching = t.opt.Policy != PolicyStatic && t.mayUseUnits(a, now) && a.level < capacity*prefetchBelowLevel && expected > a.rate*prefetchWindow.Seconds()/100
	if !a.prefetching || now.Before(a.nextPrefetch) {
		return nil
	}
	a.nextPrefetch = now.Add(prefetchWindow / 2)
	missing := expected - a.borrowedTokens() - a.requestedLoanTokens()
	var out []command.Command
	for _, h := range a.share.rec.Holders {
		e := t.estimatedLevel(a, h.Host, now)
		full := proRata(a.burst, h.Units)
		if missing <= 0 || e < full*max(prefetchPeerLevel, a.level/capacity+prefetchLevelGap) {
			continue
		}
		tokens := min(missing, e/2)
		missing -= tokens
		out = append(out, t.sendLoanRequest(a, h.Host, tokens, now))
	}
	return out
}

// handleLoanRequest lends tokens from the level of this host, up to the requested amount. It lends nothing while
// requests at this host wait for tokens.
func (t *Throttler) handleLoanRequest(from entity.HostID, inc entity.Incarnation, m *wire.LoanRequest, now time.Time) []command.Command {
	grant := &wire.LoanGrant{ID: m.ID, Workspace: m.Workspace}
	out := []command.Command{command.SendPeer{To: from, Message: grant}}
	a := t.accounts[m.Workspace]
	if a == nil || t.opt.Policy == PolicyStatic {
		return out
	}
	a.advance(now)
	key := loanKey{from, inc, m.ID}
	if !t.mayUseUnits(a, now) || a.findLoan(key) >= 0 {
		return out
	}
	if len(a.waiting) == 0 && m.Tokens > 0 {
		grant.Tokens = min(m.Tokens, a.level)
	}
	if grant.Tokens > 0 {
		a.lend(key, grant.Tokens, now)
		t.active[a] = struct{}{}
	}
	grant.Level = a.level
	return out
}

// handleLoanGrant records a granted loan and serves waiting requests. The term at the borrower starts when
// it sent its request, so that it ends before the term at the lender.
func (t *Throttler) handleLoanGrant(from entity.HostID, m *wire.LoanGrant, now time.Time) []command.Command {
	a := t.accounts[m.Workspace]
	if a == nil {
		return nil
	}
	k := a.loanRequests[m.ID]
	if k == nil || k.peer != from {
		return nil
	}
	delete(a.loanRequests, m.ID)
	t.setPeerLevel(a, from, m.Level, now)
	expires := k.sent.Add(LoanTerm - loanMargin)
	if m.Tokens > 0 && now.Before(expires) {
		a.borrowed = append(a.borrowed, borrowed{from, m.ID, m.Tokens, k.sent, expires})
	}
	return t.serveWaiting(a, now)
}

// expireLoanRequests marks loan requests as late after loanRequestTimeout, and deletes those whose loan
// would have expired.
func (t *Throttler) expireLoanRequests(a *account, now time.Time) {
	for id, k := range a.loanRequests {
		age := now.Sub(k.sent)
		if age >= LoanTerm {
			delete(a.loanRequests, id)
			continue
		}
		if age >= loanRequestTimeout && !k.late {
			k.late = true
			// The peer gets no further loan request until it sends a heartbeat or a grant.
			t.setPeerLevel(a, k.peer, math.Inf(-1), now)
		}
	}
}

// returnUnusedLoans returns loans that no request needs before they expire, and reports spent loans to
// their lenders.
func (t *Throttler) returnUnusedLoans(a *account, now time.Time) []command.Command {
	var out []command.Command
	for _, b := range a.spent {
		out = append(out, returnLoan(a, b))
	}
	a.spent = nil
	if len(a.waiting) > 0 {
		return out
	}
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool {
		if now.Sub(b.sent) < borrowedLoanRetention {
			return false
		}
		out = append(out, returnLoan(a, b))
		return true
	})
	return out
}

// returnLoan returns the command that returns a loan with its unspent tokens to the lender.
func returnLoan(a *account, b borrowed) command.Command {
	return command.SendPeer{To: b.lender, Message: &wire.LoanReturn{ID: b.id, Workspace: a.id, Tokens: max(0, b.tokens)}}
}

// HandlePeerLevels applies the token state in a peer's heartbeat. The caller must call it for every
// heartbeat, including those that list no workspace.
func (t *Throttler) HandlePeerLevels(from entity.HostID, levels []wire.WorkspaceLevel, now time.Time) {
	t.reported[from] = now
	for _, l := range levels {
		a := t.accounts[l.Workspace]
		if a == nil {
			continue
		}
		t.setPeerLevel(a, from, l.Level, now)
		a.peers[from].usage, a.peers[from].deficit = l.UsedPerSecond, l.DeficitPerSecond
	}
	for _, a := range t.accounts {
		if p := a.peers[from]; p != nil && math.IsInf(p.level, -1) {
			p.level = 0
		}
	}
}

// Levels returns the token state of the workspaces in use, for this host's next heartbeat.
func (t *Throttler) Levels(now time.Time) []wire.WorkspaceLevel {
	var out []wire.WorkspaceLevel
	for _, a := range t.sortedAccounts() {
		a.advance(now)
		l := wire.WorkspaceLevel{Workspace: a.id, UsedPerSecond: a.usage.perSecond(now), DeficitPerSecond: a.deficit.perSecond(now)}
		if t.mayUseUnits(a, now) && len(a.waiting) == 0 {
			l.Level = a.level
		}
		inUse := l.UsedPerSecond+l.DeficitPerSecond > a.rate/1e6 || l.Level < proRata(a.burst, a.units)
		if inUse && a.configured {
			out = append(out, l)
		}
	}
	return out
}

package limits

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// ask is a LoanAsk whose answer has not arrived.
type ask struct {
	peer   entity.HostID
	tokens float64
	sent   time.Time
	// late is set after askTimeout; the answer still counts, but the tokens are asked for elsewhere.
	late bool
}

// borrowed is a loan that this host has received.
type borrowed struct {
	lender  entity.HostID
	id      uint64
	tokens  float64
	sent    time.Time
	expires time.Time
}

// peerLevel is what is known of a workspace's tokens at a peer.
type peerLevel struct {
	level       float64
	at          time.Time
	used, short float64
}

const (
	// spareFactor asks peers for more than is missing, because their levels are known with a
	// delay; the surplus serves later requests or is returned.
	spareFactor = 1.25
	// leastPart is the smallest part of the missing tokens for which a peer is asked, so that a
	// loan is not spread over many peers that have almost nothing.
	leastPart = 1.0 / 50
	// smallBurst is the burst, in seconds of the rate, below which spent loans are ended at once.
	// Otherwise the capacity that lenders hold back during LoanTerm is a large part of the burst.
	smallBurst = 4
	// A host whose level is below aheadBelow of its capacity borrows for aheadTime of its demand
	// from peers that are at least aheadPeer full and fuller than itself by aheadGap.
	aheadBelow = 0.9
	aheadPeer  = 0.5
	aheadGap   = 0.05
	aheadTime  = 50 * time.Millisecond
)

// average is an exponentially weighted sum of tokens.
type average struct {
	sum float64
	at  time.Time
}

func (v *average) add(tokens float64, now time.Time) {
	v.sum = v.value(now) + tokens
	v.at = now
}

func (v *average) value(now time.Time) float64 {
	dt := now.Sub(v.at)
	if v.sum == 0 || dt <= 0 {
		return v.sum
	}
	return v.sum * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// perSecond returns the average in tokens per second.
func (v *average) perSecond(now time.Time) float64 { return v.value(now) / demandWindow.Seconds() }

func (a *account) borrowedTokens() float64 {
	var sum float64
	for _, b := range a.borrowed {
		sum += b.tokens
	}
	return sum
}

func (a *account) dropExpired(now time.Time) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool { return !now.Before(b.expires) })
}

// spendBorrowed spends up to tokens from the loans that expire first and returns how much.
func (a *account) spendBorrowed(tokens float64) float64 {
	var spent float64
	for i := range a.borrowed {
		take := min(a.borrowed[i].tokens, tokens-spent)
		a.borrowed[i].tokens -= take
		spent += take
	}
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool {
		if b.tokens <= 0 && a.burst < smallBurst*a.rate {
			a.spent = append(a.spent, b)
		}
		return b.tokens <= 0
	})
	return spent
}

// unitsOf returns the units that a live host holds.
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

// estimate is the level that a peer probably has now; a peer that has reported nothing is taken as full.
func (t *Throttler) estimate(a *account, host entity.HostID, now time.Time) float64 {
	last, heard := t.heard[host]
	if host == t.opt.Self || !heard || now.Sub(last) > peerSilence {
		return 0
	}
	units := t.unitsOf(a, host)
	full := part(a.burst, units)
	p := a.peers[host]
	if p == nil {
		return full
	}
	accrued := part(a.rate, units) * max(0, now.Sub(p.at).Seconds())
	return max(0, min(full, p.level+accrued))
}

// fleetTokens is what this host can spend, including loans under way, what its peers can
// probably lend, and what the fleet accrues while a request waits.
func (t *Throttler) fleetTokens(a *account, now time.Time) float64 {
	sum := t.available(a, now) + a.askedTokens()
	if t.opt.Policy == PolicyStatic {
		if t.usable(a, now) {
			sum += part(a.rate, a.units) * loanWait.Seconds()
		}
		return sum
	}
	for _, h := range a.share.rec.Holders {
		sum += t.estimate(a, h.Host, now)
	}
	return sum + a.rate*loanWait.Seconds()
}

// askedTokens is what answers that have not timed out may bring.
func (a *account) askedTokens() float64 {
	var sum float64
	for _, k := range a.asks {
		if !k.late {
			sum += k.tokens
		}
	}
	return sum
}

// askLoans asks the peers that probably have most for what the waiting requests miss.
func (t *Throttler) askLoans(a *account, now time.Time) []command.Command {
	if t.opt.Policy == PolicyStatic {
		return nil
	}
	have := t.available(a, now) + a.askedTokens()
	missing := a.queuedTokens() - have
	if missing <= 0 {
		return nil
	}
	type offer struct {
		host     entity.HostID
		estimate float64
	}
	var offers []offer
	for _, h := range a.share.rec.Holders {
		e := t.estimate(a, h.Host, now)
		if e > 0 && e >= missing*leastPart {
			offers = append(offers, offer{h.Host, e})
		}
	}
	t.opt.Rand.Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
	slices.SortStableFunc(offers, func(x, y offer) int {
		switch {
		case x.estimate > y.estimate:
			return -1
		case x.estimate < y.estimate:
			return 1
		}
		return 0
	})
	var sum float64
	n := 0
	for n < len(offers) && sum < missing*spareFactor {
		sum += offers[n].estimate
		n++
	}
	if have+sum < a.waiting[0].tokens {
		// The first request cannot be served by loans yet; asking would only move tokens around.
		return nil
	}
	var out []command.Command
	for _, o := range offers[:n] {
		tokens := min(o.estimate, o.estimate/sum*missing*spareFactor)
		out = append(out, t.sendAsk(a, o.host, tokens, now))
	}
	return out
}

func (t *Throttler) sendAsk(a *account, peer entity.HostID, tokens float64, now time.Time) command.Command {
	id := t.newID()
	a.asks[id] = &ask{peer: peer, tokens: tokens, sent: now}
	t.active[a] = struct{}{}
	left := t.estimate(a, peer, now) - tokens
	t.setPeer(a, peer, left, now)
	return command.SendPeer{To: peer, Message: &wire.LoanAsk{ID: id, Workspace: a.id, Tokens: tokens}}
}

func (t *Throttler) setPeer(a *account, peer entity.HostID, level float64, now time.Time) {
	p := a.peers[peer]
	if p == nil {
		p = &peerLevel{}
		a.peers[peer] = p
	}
	p.level, p.at = level, now
}

// borrowAhead borrows from peers that are much fuller than this host, for the demand of the next
// moments. Full peers lose their accrual, which the fleet misses when the next burst arrives.
func (t *Throttler) borrowAhead(a *account, now time.Time) []command.Command {
	capacity := a.capacity()
	expected := (a.used.perSecond(now) + a.short.perSecond(now)) * aheadTime.Seconds()
	a.pressed = t.opt.Policy != PolicyStatic && t.usable(a, now) && a.level < capacity*aheadBelow && expected > a.rate*aheadTime.Seconds()/100
	if !a.pressed || now.Before(a.nextAhead) {
		return nil
	}
	a.nextAhead = now.Add(aheadTime / 2)
	missing := expected - a.borrowedTokens() - a.askedTokens()
	var out []command.Command
	for _, h := range a.share.rec.Holders {
		e := t.estimate(a, h.Host, now)
		full := part(a.burst, h.Units)
		if missing <= 0 || e < full*max(aheadPeer, a.level/capacity+aheadGap) {
			continue
		}
		tokens := min(missing, e/2)
		missing -= tokens
		out = append(out, t.sendAsk(a, h.Host, tokens, now))
	}
	return out
}

// handleAsk lends what this host can spare. Its own waiting requests come first.
func (t *Throttler) handleAsk(from entity.HostID, inc entity.Incarnation, m *wire.LoanAsk, now time.Time) []command.Command {
	grant := &wire.LoanGrant{ID: m.ID, Workspace: m.Workspace}
	out := []command.Command{command.SendPeer{To: from, Message: grant}}
	a := t.accounts[m.Workspace]
	if a == nil || t.opt.Policy == PolicyStatic {
		return out
	}
	a.advance(now)
	key := loanKey{from, inc, m.ID}
	if !t.usable(a, now) || a.findLoan(key) >= 0 {
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

// handleGrant takes a loan. Its term counts from before the ask was sent, so it ends here
// before it ends at the lender.
func (t *Throttler) handleGrant(from entity.HostID, m *wire.LoanGrant, now time.Time) []command.Command {
	a := t.accounts[m.Workspace]
	if a == nil {
		return nil
	}
	k := a.asks[m.ID]
	if k == nil || k.peer != from {
		return nil
	}
	delete(a.asks, m.ID)
	t.setPeer(a, from, m.Level, now)
	expires := k.sent.Add(LoanTerm - loanMargin)
	if m.Tokens > 0 && now.Before(expires) {
		a.borrowed = append(a.borrowed, borrowed{from, m.ID, m.Tokens, k.sent, expires})
	}
	return t.serve(a, now)
}

// expireAsks stops counting on answers that are late, and forgets asks whose loan has expired.
func (t *Throttler) expireAsks(a *account, now time.Time) {
	for id, k := range a.asks {
		age := now.Sub(k.sent)
		if age >= LoanTerm {
			delete(a.asks, id)
			continue
		}
		if age >= askTimeout && !k.late {
			k.late = true
			// The peer is not asked again until it is heard from.
			t.setPeer(a, k.peer, math.Inf(-1), now)
		}
	}
}

// returnIdle gives back loans that no request needs, before they expire, and ends spent ones.
func (t *Throttler) returnIdle(a *account, now time.Time) []command.Command {
	var out []command.Command
	for _, b := range a.spent {
		out = append(out, returnLoan(a, b))
	}
	a.spent = nil
	if len(a.waiting) > 0 {
		return out
	}
	a.borrowed = slices.DeleteFunc(a.borrowed, func(b borrowed) bool {
		if now.Sub(b.sent) < keepBorrowed {
			return false
		}
		out = append(out, returnLoan(a, b))
		return true
	})
	return out
}

func returnLoan(a *account, b borrowed) command.Command {
	return command.SendPeer{To: b.lender, Message: &wire.LoanReturn{ID: b.id, Workspace: a.id, Tokens: max(0, b.tokens)}}
}

// HandlePeerLevels takes the levels of a peer's heartbeat. It must be called for every
// heartbeat, also when it lists no workspace.
func (t *Throttler) HandlePeerLevels(from entity.HostID, levels []wire.WorkspaceLevel, now time.Time) {
	t.heard[from] = now
	for _, l := range levels {
		a := t.accounts[l.Workspace]
		if a == nil {
			continue
		}
		t.setPeer(a, from, l.Level, now)
		a.peers[from].used, a.peers[from].short = l.Used, l.Short
	}
	for _, a := range t.accounts {
		if p := a.peers[from]; p != nil && math.IsInf(p.level, -1) {
			p.level = 0
		}
	}
}

// Levels returns the token state of the workspaces in use, for the next heartbeat.
func (t *Throttler) Levels(now time.Time) []wire.WorkspaceLevel {
	var out []wire.WorkspaceLevel
	for _, a := range t.sortedAccounts() {
		a.advance(now)
		l := wire.WorkspaceLevel{Workspace: a.id, Used: a.used.perSecond(now), Short: a.short.perSecond(now)}
		if t.usable(a, now) && len(a.waiting) == 0 {
			l.Level = a.level
		}
		inUse := l.Used+l.Short > a.rate/1e6 || l.Level < part(a.burst, a.units)
		if inUse && a.configured {
			out = append(out, l)
		}
	}
	return out
}

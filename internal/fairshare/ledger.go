// Package fairshare divides a scarce resource among the workspaces that compete for it, in proportion to their weights. It
// decides the order in which waiting requests of different workspaces are served. It does no I/O, and the time is passed
// in. Its types are not safe for concurrent use.
//
// The order is that of worst-case fair weighted fair queueing (WF2Q) with tokens as the unit of service. A virtual time is
// the number of tokens per weight that each competing workspace is due. Each workspace has a tag: the tokens per weight
// that it has been given. Its lead is the difference, in tokens. Among the workspaces whose tag is not ahead of the virtual
// time, the one whose next request ends first at its due pace is served, which keeps each within one largest request of
// its due. A workspace that does not compete collects no claim, and one that is alone collects no lead.
package fairshare

import (
	"cmp"
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// leadHalfLife is the time in which a lead halves while nobody competes, and the half-life of the window over which
	// shares are compared. A burst of a workspace lasts about ten seconds, so its lead outlasts short gaps in it.
	leadHalfLife = 3 * time.Second
	// largestHalfLife is the half-life of the size of the largest request.
	largestHalfLife = 30 * time.Second
	// marginRequests and marginShare bound the lead within which rank takes precedence over shares: so many largest
	// requests, or that part of what the workspace was due in the window. Rounding to whole requests causes leads of up to
	// one largest request, and a lead below a quarter of the due comes from short bursts that need no correction.
	marginRequests = 2
	marginShare    = 0.25
	// maxLeadMargins bounds leads and lags, in margins. A workspace also gets ahead when others wait for something else than
	// what it uses; a bounded lead is made up for within a few seconds.
	maxLeadMargins = 2
	// contendedTerm is how long a resource counts as contended after a workspace was given something while another
	// competed: a workspace may use up a resource without that its own requests wait.
	contendedTerm = time.Second
	// claimTerm is how long a workspace keeps its claim after it has stopped competing. Queues are short, so a workspace
	// with steady requests often has none that waits for a moment.
	claimTerm = time.Second
	// publishedTerm is how long published leads are used after the last message of the coordinator.
	publishedTerm = 3 * time.Second
	// maxAmount bounds the tokens that are recorded at once. Callers state the tokens of their requests, and hosts those of
	// their reports; one absurd number would leave the virtual time without the precision for ordinary requests.
	maxAmount = 1 << 30
	// eligibilityTolerance absorbs rounding errors when tags are compared with the virtual time.
	eligibilityTolerance = 1e-9
)

// Standing is the position of a workspace relative to its share.
type Standing int8

// The standings, in the order in which workspaces are served.
const (
	// Under marks a waiting workspace that has had less than its share by more than the margin.
	Under Standing = iota - 1
	// Even marks a workspace whose share is within the margin.
	Even
	// Over marks a workspace that has had more than its share by more than the margin.
	Over
)

// Request is a waiting request as seen by the order.
type Request struct {
	Workspace entity.WorkspaceID
	Rank      int
	Tokens    float64
}

// Ledger records what the workspaces that compete for one resource have been given.
type Ledger struct {
	weights *Weights
	flows   map[entity.WorkspaceID]*flow
	// virtual is the number of tokens per weight that each competing workspace is due.
	virtual float64
	// competing is the number of competing workspaces, and weight the sum of their weights.
	competing int
	weight    float64
	// sent is the decaying sum of tokens over the window, and largest the decaying size of the largest request.
	sent, largest float64
	at            time.Time
	// idle is the total time without competition; leads fade only then. contendedAt is when a workspace was last given
	// something while another competed.
	idle        time.Duration
	contendedAt time.Time
	// publishedUntil is the time until which published leads are used.
	publishedUntil time.Time
	// unreported is what this host has given since its last report while others competed, nil if nobody reports it.
	unreported map[entity.WorkspaceID]Amount
}

// Amount is a number of requests and of their tokens.
type Amount struct {
	Tokens   float64
	Requests int
}

// flow is one workspace.
type flow struct {
	weight, tag float64
	// idle is the Ledger.idle up to which the lead has faded.
	idle time.Duration
	// leftAt is when the flow last stopped competing, and leftLead its lead then.
	leftAt   time.Time
	leftLead float64
	// waiting is the number of requests that wait. published is set while the coordinator has published the lead and the
	// margin over all hosts, which are base and baseMargin.
	waiting          int
	published        bool
	base, baseMargin float64
}

func (f *flow) competes() bool { return f.waiting > 0 || f.published }

// NewLedger returns an empty Ledger.
func NewLedger(w *Weights) *Ledger {
	return &Ledger{weights: w, flows: make(map[entity.WorkspaceID]*flow)}
}

// SetWeights replaces the weights. Leads in tokens are kept, and workspaces that no longer compete are forgotten once
// they have none.
func (l *Ledger) SetWeights(w *Weights, now time.Time) {
	l.advance(now)
	l.weights = w
	l.weight = 0
	for id, f := range l.flows {
		lead := l.lead(f)
		f.weight = w.Of(id)
		f.tag = l.virtual + lead/f.weight
		if f.competes() {
			l.weight += f.weight
		} else if lead == 0 {
			delete(l.flows, id)
		}
	}
}

// advance moves the clock of the ledger.
func (l *Ledger) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	dt := now.Sub(l.at)
	if dt <= 0 {
		return
	}
	l.at = now
	l.sent *= halving(dt, leadHalfLife)
	l.largest *= halving(dt, largestHalfLife)
	if l.competing < 2 {
		l.idle += min(dt, max(now.Sub(l.contendedAt)-contendedTerm, 0))
	}
	if !l.publishedUntil.IsZero() && !now.Before(l.publishedUntil) {
		l.ForgetPublished()
	}
}

func halving(dt, halfLife time.Duration) float64 {
	return math.Exp2(-dt.Seconds() / halfLife.Seconds())
}

// flow returns the flow of a workspace and creates it if necessary.
func (l *Ledger) flow(id entity.WorkspaceID) *flow {
	f := l.flows[id]
	if f == nil {
		f = &flow{weight: l.weights.Of(id), tag: l.virtual, idle: l.idle}
		l.flows[id] = f
	}
	return f
}

// lead returns the lead of a flow in tokens. A flow that does not compete has no claim to what others are given meanwhile,
// and keeps its former claim for a short time only.
func (l *Ledger) lead(f *flow) float64 {
	lead := (f.tag - l.virtual) * f.weight
	if lead < 0 && !f.competes() {
		if l.at.Sub(f.leftAt) >= claimTerm {
			return 0
		}
		lead = min(f.leftLead, 0)
	}
	if idle := l.idle - f.idle; idle > 0 && lead > 0 {
		lead *= halving(idle, leadHalfLife)
	}
	limit := maxLeadMargins * l.margin(f)
	if limit == 0 {
		return lead
	}
	return min(max(lead, -limit), limit)
}

// settle writes the lead of a flow back to its tag.
func (l *Ledger) settle(f *flow) {
	f.tag = l.virtual + l.lead(f)/f.weight
	f.idle = l.idle
}

// margin returns the lead in tokens up to which a workspace counts as even.
func (l *Ledger) margin(f *flow) float64 {
	due := 0.0
	if l.weight > 0 {
		due = l.sent * min(f.weight/l.weight, 1)
	}
	margin := max(marginRequests*l.largest, marginShare*due)
	if f.published {
		return max(margin, f.baseMargin)
	}
	return margin
}

func (l *Ledger) standing(f *flow) Standing {
	lead, margin := l.lead(f), l.margin(f)
	switch {
	case margin == 0:
		return Even
	case lead >= margin:
		return Over
	case lead <= -margin:
		return Under
	}
	return Even
}

// update applies a change of what makes a flow compete.
func (l *Ledger) update(f *flow, change func()) {
	l.settle(f)
	before := f.competes()
	change()
	switch after := f.competes(); {
	case after && !before:
		l.competing++
		l.weight += f.weight
	case before && !after:
		l.competing--
		l.weight -= f.weight
		f.leftAt, f.leftLead = l.at, (f.tag-l.virtual)*f.weight
	}
	if l.competing == 0 {
		l.weight = 0
	}
}

// AddWaiting records that another request of a workspace waits.
func (l *Ledger) AddWaiting(id entity.WorkspaceID, now time.Time) {
	l.advance(now)
	f := l.flow(id)
	l.update(f, func() { f.waiting++ })
}

// RemoveWaiting records that a request of a workspace no longer waits.
func (l *Ledger) RemoveWaiting(id entity.WorkspaceID) {
	f := l.flow(id)
	l.update(f, func() { f.waiting-- })
}

// SetWaiting records whether requests of a workspace wait.
func (l *Ledger) SetWaiting(id entity.WorkspaceID, waits bool, now time.Time) {
	l.advance(now)
	f := l.flow(id)
	l.update(f, func() {
		f.waiting = 0
		if waits {
			f.waiting = 1
		}
	})
}

// Give records that a workspace has been given service, or with a negative number of tokens, that it has not been given
// what was recorded before. It must be called before the request stops waiting.
func (l *Ledger) Give(id entity.WorkspaceID, a Amount, now time.Time) {
	if a.Requests < 0 || math.IsNaN(a.Tokens) || math.IsInf(a.Tokens, 0) {
		return
	}
	a.Tokens = min(max(a.Tokens, -maxAmount), maxAmount)
	l.advance(now)
	f := l.flow(id)
	l.give(f, a)
	if !l.othersCompete(f) {
		return
	}
	l.contendedAt = now
	if l.unreported != nil {
		u := l.unreported[id]
		l.unreported[id] = Amount{Tokens: u.Tokens + a.Tokens, Requests: u.Requests + a.Requests}
	}
}

// othersCompete reports whether any workspace but that of f competes.
func (l *Ledger) othersCompete(f *flow) bool {
	return l.competing > 1 || l.competing == 1 && !f.competes()
}

func (l *Ledger) give(f *flow, a Amount) {
	l.settle(f)
	weight := l.weight
	if !f.competes() {
		weight += f.weight
	}
	l.sent = max(l.sent+a.Tokens, 0)
	if a.Requests > 0 {
		l.largest = max(l.largest, a.Tokens/float64(a.Requests))
	}
	f.tag += a.Tokens / f.weight
	l.virtual += a.Tokens / weight
	l.settle(f)
}

// Position is the place of a request in the order. The standing comes first: a workspace over its share falls behind all
// others, and one under its share goes before them, whatever their ranks. Between other workspaces, rank decides, then the
// order of WF2Q.
type Position struct {
	standing Standing
	rank     int
	ahead    bool
	// finish is the tag at the end of the request, relative to the virtual time.
	finish float64
}

// Position returns the place of a request. It holds until the ledger changes.
func (l *Ledger) Position(r Request, now time.Time) Position {
	l.advance(now)
	f := l.flow(r.Workspace)
	lead := l.lead(f) / f.weight
	p := Position{standing: l.standing(f), rank: r.Rank, ahead: !l.eligible(lead), finish: lead + max(r.Tokens, 1)/f.weight}
	if p.standing == Under {
		p.rank = 0
	}
	return p
}

// Compare returns a negative number if the request at position p is served before that at q, zero if they are equal.
func (p Position) Compare(q Position) int {
	ahead := 0
	if p.ahead != q.ahead {
		ahead = 1
		if q.ahead {
			ahead = -1
		}
	}
	return cmp.Or(cmp.Compare(p.standing, q.standing), cmp.Compare(p.rank, q.rank), ahead, cmp.Compare(p.finish, q.finish))
}

// eligible reports whether a workspace with a lead per weight is not ahead of the virtual time.
func (l *Ledger) eligible(lead float64) bool {
	return lead <= eligibilityTolerance*max(l.largest, 1)
}

// Standing returns the standing of a workspace.
func (l *Ledger) Standing(id entity.WorkspaceID, now time.Time) Standing {
	l.advance(now)
	if f := l.flows[id]; f != nil {
		return l.standing(f)
	}
	return Even
}

// Ahead reports whether a workspace is ahead of its share by more than the rounding to whole requests.
func (l *Ledger) Ahead(id entity.WorkspaceID, now time.Time) bool {
	l.advance(now)
	f := l.flows[id]
	return f != nil && l.lead(f) > max(l.largest, l.margin(f)/4)
}

// Lead is the number of tokens by which a workspace is ahead of its share, negative if it is behind.
type Lead struct {
	Workspace entity.WorkspaceID
	Tokens    float64
	// Margin is the lead from which on the workspace is over its share.
	Margin   float64
	Standing Standing
	Competes bool
}

// Leads returns the competing workspaces and those with a lead, in no particular order.
func (l *Ledger) Leads(now time.Time) []Lead {
	l.advance(now)
	out := make([]Lead, 0, len(l.flows))
	for id, f := range l.flows {
		lead := l.lead(f)
		if f.competes() || lead >= max(l.largest/2, 1) {
			out = append(out, Lead{Workspace: id, Tokens: lead, Margin: l.margin(f), Standing: l.standing(f), Competes: f.competes()})
		}
	}
	return out
}

// Published is a published lead over all hosts with its margin.
type Published struct{ Tokens, Margin float64 }

// valid reports whether the values can be used.
func (p Published) valid() bool {
	return !math.IsNaN(p.Tokens) && !math.IsInf(p.Tokens, 0) && p.Margin >= 0 && !math.IsInf(p.Margin, 0)
}

// SetPublished replaces the leads that the coordinator has published. What this host has given since its last report is
// added, because the published leads do not include it.
func (l *Ledger) SetPublished(leads map[entity.WorkspaceID]Published, now time.Time) {
	l.advance(now)
	l.publishedUntil = now.Add(publishedTerm)
	for id, f := range l.flows {
		if _, listed := leads[id]; f.published && !listed {
			l.update(f, func() { f.published = false })
		}
	}
	for id, p := range leads {
		if f := l.flow(id); p.valid() {
			l.update(f, func() { f.published, f.base, f.baseMargin = true, p.Tokens, p.Margin })
		}
	}
	due := 0.0
	for _, a := range l.unreported {
		if l.weight > 0 {
			due += a.Tokens / l.weight
		}
	}
	for id, f := range l.flows {
		if f.published {
			f.tag = l.virtual + (f.base+l.unreported[id].Tokens)/f.weight - due
		}
	}
}

// ForgetPublished drops the published leads. Their effect fades from then on.
func (l *Ledger) ForgetPublished() {
	l.publishedUntil = time.Time{}
	for _, f := range l.flows {
		if f.published {
			l.update(f, func() { f.published = false })
		}
	}
}

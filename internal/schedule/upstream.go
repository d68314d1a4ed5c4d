package schedule

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// reportDecay is the time constant with which the reported load of other hosts loses its weight.
	// Reports lag, so the current load may differ much from that of an old report.
	reportDecay = 500 * time.Millisecond
	// ejectBase and ejectMax bound the time of an ejection, in which an upstream gets no requests because its
	// last attempts failed. The time doubles with every consecutive failure.
	ejectBase = 50 * time.Millisecond
	ejectMax  = 2 * time.Second
	// brokenAttemptsToEject is the number of consecutive attempts with an unknown outcome that eject an
	// upstream. A single one can also be caused by an idle connection that the upstream has closed, or by
	// a lost answer.
	brokenAttemptsToEject = 3
	// probePeriod is how long after an ejection an upstream with at least brokenAttemptsToEject consecutive
	// failures gets only one request at a time. The period ends even if no attempt has ended in it, because a
	// long stream shows only at its end that the upstream works.
	probePeriod = time.Second
	// interactiveHeadroom lets interactive requests exceed the slots by a quarter, because the engine runs
	// them before the patient requests in its own queue.
	interactiveHeadroom = 1.25
)

// upstream is one entry of the upstream table: the load and health of one upstream as known to this host.
type upstream struct {
	id       entity.UpstreamID
	inflight int
	// averageInflight is inflight smoothed over reportDecay, for comparison with load reports, which lag.
	// averageAt is the time of its last update.
	averageInflight float64
	averageAt       time.Time
	// othersLoad is the number of requests of other hosts according to the last report, and othersLoadAt
	// is the time to which that report refers.
	othersLoad   float64
	othersLoadAt time.Time
	// consecutiveFailures counts the consecutive attempts that were unreachable or had an unknown outcome.
	consecutiveFailures int
	ejectedUntil        time.Time
	retries             retryBudget
	// pools holds the pools of which the upstream is a target.
	pools []*pool
}

func (u *upstream) attach(p *pool) { u.pools = append(u.pools, p) }

func (u *upstream) detach(p *pool) {
	for i, q := range u.pools {
		if q == p {
			u.pools = append(u.pools[:i:i], u.pools[i+1:]...)
			return
		}
	}
}

// addInflight changes the number of this host's requests at the upstream by n.
func (u *upstream) addInflight(n int, now time.Time) {
	u.updateAverage(now)
	u.inflight += n
	if u.inflight < 0 {
		panic("schedule: negative in-flight count at upstream " + string(u.id))
	}
}

func (u *upstream) updateAverage(now time.Time) {
	dt := now.Sub(u.averageAt)
	u.averageAt = now
	keep := math.Exp(-dt.Seconds() / reportDecay.Seconds())
	u.averageInflight = u.averageInflight*keep + float64(u.inflight)*(1-keep)
}

// handleReportedLoad derives the load of the other hosts from the report of an upstream. It subtracts the smoothed in-flight
// count of this host, because the report lags.
func (u *upstream) handleReportedLoad(l wire.UpstreamLoad, now time.Time) {
	u.updateAverage(now)
	u.othersLoad = max(0, float64(l.Requests)-u.averageInflight)
	u.othersLoadAt = now.Add(-l.Age)
}

// estimatedLoad estimates the number of requests of all hosts at the upstream.
func (u *upstream) estimatedLoad(now time.Time) float64 {
	if u.othersLoad == 0 {
		return float64(u.inflight)
	}
	age := now.Sub(u.othersLoadAt)
	return float64(u.inflight) + u.othersLoad*math.Exp(-age.Seconds()/reportDecay.Seconds())
}

// accepts reports whether another request of a tier may be sent to the upstream now, given the slots of the target
// and the estimated load.
func (u *upstream) accepts(tier entity.Class, slots int, load float64, now time.Time) bool {
	if now.Before(u.ejectedUntil) {
		return false
	}
	if u.consecutiveFailures >= brokenAttemptsToEject && now.Sub(u.ejectedUntil) < probePeriod {
		// A single request at a time probes whether the upstream works again.
		return u.inflight == 0
	}
	limit := float64(slots)
	if tier == entity.Interactive {
		limit = math.Ceil(limit * interactiveHeadroom)
	}
	return load < limit
}

// recordResult ejects an upstream for an increasing time when it does not accept connections, or when an attempt has
// an unknown outcome and the number of consecutive failures has reached brokenAttemptsToEject. Without ejection, the
// whole queue would be dispatched to the broken upstream and refused within moments.
func (u *upstream) recordResult(res AttemptResult, now time.Time) {
	broken := res.Outcome == entity.AttemptUnknown
	switch {
	case res.Outcome == entity.Canceled:
		return
	case !res.Unreachable && !broken:
		u.consecutiveFailures = 0
		return
	case now.Before(u.ejectedUntil):
		// This attempt began before the ejection, so it must not prolong it.
		return
	}
	u.consecutiveFailures++
	if broken && u.consecutiveFailures < brokenAttemptsToEject {
		return
	}
	wait := ejectBase << min(u.consecutiveFailures-1, 10)
	u.ejectedUntil = now.Add(min(wait, ejectMax))
}

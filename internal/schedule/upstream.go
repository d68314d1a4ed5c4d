package schedule

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// reportDecay is the time in which the load that other hosts had at a report loses most of
	// its weight. Reports lag, so an old one says little about the present.
	reportDecay = 500 * time.Millisecond
	// ejectBase and ejectMax bound how long an unreachable upstream gets no work; the time
	// doubles with every failure in a row.
	ejectBase = 50 * time.Millisecond
	ejectMax  = 2 * time.Second
	// unknownFailures is the number of broken attempts in a row that eject an upstream. Single ones
	// also come from idle connections that the upstream has closed, or from answers that went astray.
	unknownFailures = 3
	// probeTime is how long after an ejection only one request is sent. It ends by itself, because
	// a long stream says only at its end that the upstream works.
	probeTime = time.Second
	// interactiveHeadroom lets interactive requests exceed the slots by a quarter, because the
	// engine runs them before the patient ones that it has waiting.
	interactiveHeadroom = 1.25
)

// upstream is one row of the upstream table: the load and health of one upstream as this host
// sees it.
type upstream struct {
	id       entity.UpstreamID
	inflight int
	// average is inflight smoothed over the report lag, to be compared with lagging reports.
	average   float64
	averageAt time.Time
	others    float64
	othersAt  time.Time
	failures  int
	ejected   time.Time
	retries   retryBudget
	pools     []*pool
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

// add changes the number of this host's requests at the upstream.
func (u *upstream) add(n int, now time.Time) {
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
	u.average = u.average*keep + float64(u.inflight)*(1-keep)
}

// handleLoad derives the load of the other hosts from a lagging report.
func (u *upstream) handleLoad(l wire.UpstreamLoad, now time.Time) {
	u.updateAverage(now)
	u.others = max(0, float64(l.Requests)-u.average)
	u.othersAt = now.Add(-l.Age)
}

// load estimates all requests at the upstream.
func (u *upstream) load(now time.Time) float64 {
	if u.others == 0 {
		return float64(u.inflight)
	}
	age := now.Sub(u.othersAt)
	return float64(u.inflight) + u.others*math.Exp(-age.Seconds()/reportDecay.Seconds())
}

// accepts says whether another request of a tier may be sent now under the estimated load.
func (u *upstream) accepts(tier entity.Class, slots int, load float64, now time.Time) bool {
	if now.Before(u.ejected) {
		return false
	}
	if u.failures >= unknownFailures && now.Sub(u.ejected) < probeTime {
		// A single request shows whether the upstream works again.
		return u.inflight == 0
	}
	limit := float64(slots)
	if tier == entity.Interactive {
		limit = math.Ceil(limit * interactiveHeadroom)
	}
	return load < limit
}

// handleOutcome ejects an upstream that does not accept connections, or breaks several in a row,
// for a growing time. Otherwise its queue would be sent into it and refused within moments.
func (u *upstream) handleOutcome(res AttemptResult, now time.Time) {
	broken := res.Outcome == entity.AttemptUnknown
	switch {
	case res.Outcome == entity.Canceled:
		return
	case !res.Unreachable && !broken:
		u.failures = 0
		return
	case now.Before(u.ejected):
		// This attempt began before the ejection and says nothing new.
		return
	}
	u.failures++
	if broken && u.failures < unknownFailures {
		return
	}
	wait := ejectBase << min(u.failures-1, 10)
	u.ejected = now.Add(min(wait, ejectMax))
}

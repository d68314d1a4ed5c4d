package dispatch

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/prefill"
	"github.com/foxtailpass/foxtailpass/internal/speed"
)

const (
	// minEjection and maxEjection limit how long a failing upstream is ejected, that is, gets no requests. The
	// time doubles with every consecutive failure.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// failuresToEject is the number of consecutive failures that eject an upstream. An attempt that gets no
	// connection, or no answer in time, ejects it at once.
	failuresToEject = 2
	// errorWeight is the weight of the newest attempt in the smoothed share of failed attempts.
	errorWeight = 0.15
	// reportDecay is the time constant of the exponential decay of the reported load of other hosts.
	reportDecay = time.Second
	// unchangedReportDecay is that constant where upstreams are chosen by speed. The coordinator sends the load of an
	// upstream only when it has changed, so with the shorter constant a steady load would soon count as none, and the
	// busiest upstreams get the most requests.
	unchangedReportDecay = 5 * time.Second
	// notLoadedBackOff is how long an upstream gets no requests of a pool after it answered that the model or
	// adapter was not loaded. By then the list of upstreams or the coordinator states which models are loaded
	// there.
	notLoadedBackOff = 300 * time.Millisecond
	// fullBackOff is how long an upstream without a free slot gets no requests.
	fullBackOff = 50 * time.Millisecond
)

// Target describes one upstream to the scheduler.
type Target struct {
	ID      entity.UpstreamID
	Service catalog.ServiceID
	Addr    string
	Domain  string
	// Release is the version of the software of the upstream.
	Release entity.Release
	// NoStreamsBegin is set if no stream that may be continued elsewhere must begin at the upstream, because its release
	// has no record yet.
	NoStreamsBegin bool
	// BornMillis is the start time of the upstream; it distinguishes the incarnations with one ID.
	BornMillis int64
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Draining is set if the upstream must get no new requests.
	Draining bool
	// LoadedModels holds the models that are ready, with their ready adapters.
	LoadedModels map[entity.ModelID][]entity.AdapterID
	// Source is the source of LoadedModels, for logs.
	Source string
}

// hasLoaded reports whether the model and adapter of a pool are ready. It is always true for a plain service.
func (t *Target) hasLoaded(p Pool) bool {
	if p.Model == "" {
		return true
	}
	adapters, ok := t.LoadedModels[p.Model]
	if !ok || p.Adapter == "" {
		return ok
	}
	for _, a := range adapters {
		if a == p.Adapter {
			return true
		}
	}
	return false
}

// target is a row of the upstream table. It adds the load, failures and self-reported status of the upstream
// to its description.
type target struct {
	Target
	// drainingElsewhere is the start time of the incarnation that has reported to another host that it is draining, zero
	// if none has.
	drainingElsewhere int64
	// selfReported is the status that the upstream has reported of itself, nil if none.
	selfReported *selfReportedStatus
	inflight     int
	byPool       map[Pool]int
	// othersLoad is the number of requests of other hosts at the time othersLoadAt.
	othersLoad          float64
	othersLoadAt        time.Time
	ejectedUntil        time.Time
	consecutiveFailures int
	// errorRate is the smoothed share of attempts that failed.
	errorRate float64
	// unreachable is set if the last attempt got no connection, or no answer in time.
	unreachable bool
	// notLoaded holds the time until which the upstream gets no requests of a pool that it could not serve.
	notLoaded map[Pool]time.Time
	fullUntil time.Time
	// prefillTokens is the estimate of pending prompt tokens of this host, as of prefillUpdatedAt.
	prefillTokens    float64
	prefillUpdatedAt time.Time
	// speed is what is known of the speed of the upstream, nil if speeds are not learned.
	speed *speed.Replica
	// ledger is what this host has sent to the upstream that it still has to read, if that is bounded.
	ledger prefill.Ledger
}

// estimatedLoad estimates the number of requests of all hosts at the upstream.
func (t *target) estimatedLoad(now time.Time) float64 {
	if t.othersLoad == 0 {
		return float64(t.inflight)
	}
	age, decay := now.Sub(t.othersLoadAt), reportDecay
	if t.speed.Uneven() {
		decay = unchangedReportDecay
	}
	return float64(t.inflight) + t.othersLoad*math.Exp(-age.Seconds()/decay.Seconds())
}

// serves reports whether the upstream can get requests of a pool, regardless of its load.
func (t *target) serves(p Pool, now time.Time) bool {
	if t.isDraining() || !t.hasLoaded(p) || p.Release != "" && p.Release != t.Release {
		return false
	}
	until, notLoaded := t.notLoaded[p]
	return !notLoaded || !now.Before(until)
}

// accepts reports whether the upstream can get another request now: it has a free slot, is neither ejected nor in a
// back-off, and gets no more requests after a back-off than its answers allow.
func (t *target) accepts(now time.Time) bool {
	if now.Before(t.ejectedUntil) || now.Before(t.fullUntil) || t.backOff(now) > 0 || !t.rampAllows() {
		return false
	}
	return t.estimatedLoad(now) < float64(max(t.Slots, 1))
}

// recordResult updates the state of the upstream with the result of an attempt.
func (t *target) recordResult(res AttemptResult, p Pool, now time.Time) {
	t.rampEnded(res)
	failed := res.Unreachable || res.Broken || res.TimedOut || res.Status >= 500
	if res.Outcome != entity.Canceled {
		t.unreachable = res.Unreachable || res.TimedOut
	}
	switch {
	case res.Outcome == entity.Canceled:
		return
	case res.NotLoaded:
		t.notLoaded[p] = now.Add(notLoadedBackOff)
		return
	case res.NoFreeSlot:
		t.fullUntil = now.Add(fullBackOff)
		t.errorRate += errorWeight * (0 - t.errorRate)
		return
	}
	value := 0.0
	if failed {
		value = 1
	}
	t.errorRate += errorWeight * (value - t.errorRate)
	if !failed {
		t.consecutiveFailures = 0
		return
	}
	if now.Before(t.ejectedUntil) {
		// The attempt began before the ejection, so it is no new failure.
		return
	}
	t.consecutiveFailures++
	if t.consecutiveFailures >= failuresToEject || res.Unreachable || res.TimedOut {
		wait := minEjection << min(max(t.consecutiveFailures-1, 0), 4)
		t.ejectedUntil = now.Add(min(wait, maxEjection))
	}
}

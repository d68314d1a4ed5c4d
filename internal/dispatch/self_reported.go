package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// statusRetention is how long the self-reported status of an upstream is kept after its last update while the
	// upstream is not in the table: the entry of a running upstream may lapse and be added again. A back-off is kept
	// until it ends.
	statusRetention = 10 * time.Minute
	// rampStart is how many requests are sent to an upstream when a back-off has ended before the first answer
	// arrives, and rampFactor how many more with each answer. After rampAnswers answers there is no such limit.
	rampStart   = 1
	rampFactor  = 2
	rampAnswers = 4
)

// StatusReport is the status that an upstream reports of itself in an answer to this host.
type StatusReport struct {
	// Draining is set if the upstream is draining. It gets no new requests, even if it is listed as not
	// draining.
	Draining bool
	// BackOff is how long this host must send nothing to the upstream, as requested by the upstream.
	BackOff time.Duration
	// InvalidBackOff is set if the answer requests a back-off that cannot be read.
	InvalidBackOff bool
	// Limit is the request limit of the upstream.
	Limit RequestLimit
}

// RequestLimit is what an answer states about the request limit of its upstream: the number of requests per second
// that the upstream takes from all hosts together. An answer that names none, validly or not, states that there
// is no limit.
type RequestLimit struct {
	// Named reports whether the answer names a valid limit, which is PerSecond.
	Named     bool
	PerSecond float64
	// Invalid reports whether the answer names a limit that cannot be read.
	Invalid bool
}

// Empty reports whether the answer contained no status.
func (st StatusReport) Empty() bool { return st == StatusReport{} }

// selfReportedStatus is the status that one incarnation of an upstream has reported of itself.
type selfReportedStatus struct {
	bornMillis   int64
	receivedAt   time.Time
	draining     bool
	backOffUntil time.Time
	// rampLeft is how many requests may be sent until the next answer, and rampAnswers how many answers have arrived
	// since the last back-off. They apply while ramping is set.
	ramping               bool
	rampLeft, rampAnswers int
}

// RecordStatus records the status that an upstream has reported of itself. bornMillis identifies the
// incarnation of the upstream that gave the answer; the status does not apply to other incarnations.
func (s *Scheduler) RecordStatus(id entity.UpstreamID, bornMillis int64, st StatusReport, now time.Time) {
	if row := s.targets[id]; row != nil && row.BornMillis != bornMillis {
		return
	}
	selfReported := s.selfReported[id]
	if selfReported == nil || selfReported.bornMillis != bornMillis {
		selfReported = &selfReportedStatus{bornMillis: bornMillis}
		s.selfReported[id] = selfReported
	}
	selfReported.receivedAt = now
	selfReported.draining = selfReported.draining || st.Draining
	if until := now.Add(st.BackOff); st.BackOff > 0 && until.After(selfReported.backOffUntil) {
		selfReported.backOffUntil = until
		selfReported.ramping, selfReported.rampLeft, selfReported.rampAnswers = true, rampStart, 0
	}
	if row := s.targets[id]; row != nil {
		row.selfReported = selfReported
	}
	s.removeOldStatuses(now)
}

// removeOldStatuses removes the statuses of upstreams that are not in the table, whose last status is older than
// statusRetention and whose back-off has ended.
func (s *Scheduler) removeOldStatuses(now time.Time) {
	for id, selfReported := range s.selfReported {
		if s.targets[id] == nil && now.Sub(selfReported.receivedAt) > statusRetention && now.After(selfReported.backOffUntil) {
			delete(s.selfReported, id)
		}
	}
}

// rampAllows reports whether another request may be sent to the upstream. After a back-off, few requests are sent at
// once, and more with each answer, so that the waiting requests do not all arrive when it ends.
func (t *target) rampAllows() bool {
	return t.selfReported == nil || !t.selfReported.ramping || t.selfReported.rampLeft > 0
}

// rampSent records that a request is sent to the upstream.
func (t *target) rampSent() {
	if t.selfReported != nil && t.selfReported.ramping {
		t.selfReported.rampLeft--
	}
}

// rampEnded records the result of an attempt at the upstream.
func (t *target) rampEnded(res AttemptResult) {
	if t.selfReported == nil || !t.selfReported.ramping {
		return
	}
	t.selfReported.rampLeft++
	if res.Outcome != entity.Completed && res.Outcome != entity.AttemptFailed {
		return
	}
	t.selfReported.rampLeft += rampFactor
	t.selfReported.rampAnswers++
	t.selfReported.ramping = t.selfReported.rampAnswers < rampAnswers
}

// listedStatus returns the self-reported status of the incarnation of the upstream that t describes, or nil. A
// status of another incarnation is removed.
func (s *Scheduler) listedStatus(t Target) *selfReportedStatus {
	selfReported := s.selfReported[t.ID]
	if selfReported == nil || selfReported.bornMillis != t.BornMillis {
		delete(s.selfReported, t.ID)
		return nil
	}
	return selfReported
}

// IsDraining reports whether an upstream is draining, by its entry or by its own report.
func (s *Scheduler) IsDraining(id entity.UpstreamID) bool {
	row := s.targets[id]
	return row != nil && row.isDraining()
}

// isDraining reports whether the upstream is draining, by its entry or by its own report.
func (t *target) isDraining() bool {
	return t.Draining || t.selfReported != nil && t.selfReported.draining
}

// backOff returns the remaining time for which this host must send nothing to the upstream.
func (t *target) backOff(now time.Time) time.Duration {
	return t.selfReported.backOff(now)
}

// backOff returns the remaining back-off, zero if there is no status.
func (st *selfReportedStatus) backOff(now time.Time) time.Duration {
	if st == nil {
		return 0
	}
	return max(st.backOffUntil.Sub(now), 0)
}

// BackOff returns the remaining time for which this host must send nothing to an incarnation of an upstream.
func (s *Scheduler) BackOff(id entity.UpstreamID, bornMillis int64, now time.Time) time.Duration {
	selfReported := s.selfReported[id]
	if selfReported == nil || selfReported.bornMillis != bornMillis {
		return 0
	}
	return selfReported.backOff(now)
}

// OwnStatus is the self-reported status of an upstream that this host has received.
type OwnStatus struct {
	Upstream   entity.UpstreamID
	BornMillis int64
	Draining   bool
	// BackOff is the remaining back-off.
	BackOff time.Duration
}

// OwnStatuses returns the upstreams in the table that have reported to this host that they are draining, or that are
// in a back-off.
func (s *Scheduler) OwnStatuses(now time.Time) []OwnStatus {
	var out []OwnStatus
	for _, id := range slices.Sorted(maps.Keys(s.selfReported)) {
		selfReported := s.selfReported[id]
		st := OwnStatus{Upstream: id, BornMillis: selfReported.bornMillis, Draining: selfReported.draining, BackOff: selfReported.backOff(now)}
		if s.targets[id] != nil && (st.Draining || st.BackOff > 0) {
			out = append(out, st)
		}
	}
	return out
}

// AvoidDraining records that an incarnation of an upstream has reported to another host that it is draining. This host
// prefers other upstreams. It returns false if the upstream is not in the table, or if this was known.
func (s *Scheduler) AvoidDraining(id entity.UpstreamID, bornMillis int64) bool {
	row := s.targets[id]
	if row == nil || row.BornMillis != bornMillis || row.drainingElsewhere == bornMillis || row.isDraining() {
		return false
	}
	row.drainingElsewhere = bornMillis
	return true
}

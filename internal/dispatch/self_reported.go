package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// statusRetention is how long the self-reported status of an upstream is kept after its last update while the
// upstream is not in the table: the entry of a running upstream may lapse and be added again.
const statusRetention = 10 * time.Minute

// StatusReport is the status that an upstream reports of itself in an answer to this host.
type StatusReport struct {
	// Draining is set if the upstream is draining. It gets no new requests, even if it is listed as not
	// draining.
	Draining bool
	// BackOff is how long this host must send nothing to the upstream, as requested by the upstream.
	BackOff time.Duration
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
func (st StatusReport) Empty() bool {
	return !st.Draining && st.BackOff <= 0 && st.Limit == RequestLimit{}
}

// selfReportedStatus is the status that one incarnation of an upstream has reported of itself.
type selfReportedStatus struct {
	bornMillis   int64
	receivedAt   time.Time
	draining     bool
	backOffUntil time.Time
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
	}
	if row := s.targets[id]; row != nil {
		row.selfReported = selfReported
	}
	s.removeOldStatuses(now)
}

// removeOldStatuses removes the status of upstreams that are not in the table and whose last status is older
// than statusRetention.
func (s *Scheduler) removeOldStatuses(now time.Time) {
	for id, selfReported := range s.selfReported {
		if s.targets[id] == nil && now.Sub(selfReported.receivedAt) > statusRetention {
			delete(s.selfReported, id)
		}
	}
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
	if t.selfReported == nil {
		return 0
	}
	return max(t.selfReported.backOffUntil.Sub(now), 0)
}

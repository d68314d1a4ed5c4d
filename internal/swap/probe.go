package swap

import "time"

// A report shows the end of a load only after its lag. During the lag a request waits and the engine executes
// no other order. So the load order is sent again when the load should be complete: an engine that has loaded
// the model answers AlreadyDone at once. Such a probe contains the number of orders that the engine has
// accepted, so that a copy that arrives after a newer order has no effect. A lost answer does no harm,
// because the report follows.

const (
	// probeInterval is the time between two probes of one load.
	probeInterval = 30 * time.Millisecond
	// maxProbes limits the probes of one load, which can take longer than expected while other loads run.
	maxProbes = 4
)

// probe asks the engine whether a load is complete.
func (s *Swapper) probe(r *engineState, t *task, now time.Time) {
	if s.policy.ReportsOnly || t.probes >= maxProbes || t.usesStore() || now.Before(t.probeAt) {
		return
	}
	t.probes++
	t.probeAt = never
	s.nextID++
	t.probe = s.nextID
	s.probes[t.probe] = r
	s.commands = append(s.commands, Command{Order: &Order{
		ID:       t.probe,
		Upstream: r.upstream.Incarnation,
		Addr:     r.upstream.Addr,
		Action:   Load,
		Model:    t.model,
		Expected: r.sequence,
	}})
}

// handleProbeAnswer processes the answer to a probe.
func (s *Swapper) handleProbeAnswer(id uint64, a Answer, now time.Time) {
	r := s.probes[id]
	delete(s.probes, id)
	if a == Unknown {
		r.unansweredAt = now
	}
	t := r.task
	if s.engineStates[r.upstream.ID] != r || t == nil || t.probe != id {
		return
	}
	switch a {
	case AlreadyDone:
		r.ignoreReportsBefore = now
		s.finishLoad(r, now)
	case Accepted:
		// The load had ended without the model, or the engine loads the model again. Wait for a report to
		// show the end, because another probe could start yet another load.
		r.sequence++
		r.ignoreReportsBefore = now
		s.handleLoadAccepted(r, t, now)
		t.probeAt = never
	case Conflict:
		t.probeAt = now.Add(probeInterval)
	}
}

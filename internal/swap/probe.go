package swap

import "time"

// A report shows the end of a load only after its lag, in which a request waits and the engine takes
// no other order. So the load order is sent again when the load should be over: an engine that holds
// the model says so at once. Such a probe names the count of orders that the engine has accepted, so
// that a late copy of it does nothing after a newer order. Its answer is not needed: the report follows.

const (
	// probeInterval is the time between two probes of one load.
	probeInterval = 30 * time.Millisecond
	// maxProbes bounds the probes of one load, which takes longer while others run.
	maxProbes = 4
)

// probe asks whether a load is over.
func (s *Swapper) probe(r *replica, t *task, now time.Time) {
	if s.policy.ReportsOnly || t.probes >= maxProbes || t.usesStore() || now.Before(t.probeAt) {
		return
	}
	t.probes++
	t.probeAt = never
	s.nextID++
	t.probe = s.nextID
	s.probes[t.probe] = r
	s.out = append(s.out, Command{Order: &Order{
		ID:       t.probe,
		Upstream: r.up.Incarnation,
		Addr:     r.up.Addr,
		Action:   Load,
		Model:    t.model,
		Expected: r.sequence,
	}})
}

// probeAnswered takes over the answer to a probe.
func (s *Swapper) probeAnswered(id uint64, a Answer, now time.Time) {
	r := s.probes[id]
	delete(s.probes, id)
	if a == Unknown {
		r.unansweredAt = now
	}
	t := r.task
	if s.replicas[r.up.ID] != r || t == nil || t.probe != id {
		return
	}
	switch a {
	case AlreadyHolds:
		r.ignoreBefore = now
		s.loaded(r, now)
	case Accepted:
		// The load had ended without the model, or the engine loads it once more. A report tells the
		// end, because another probe could begin yet another load.
		r.sequence++
		r.ignoreBefore = now
		s.loadAccepted(r, t, now)
		t.probeAt = never
	case Conflict:
		t.probeAt = now.Add(probeInterval)
	}
}

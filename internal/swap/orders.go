package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// adapterTime is how long an accepted adapter needs until requests can use it.
	adapterTime = 15 * time.Millisecond
	// unloadTime is how long an engine needs to drop a model that no request uses; a load that comes
	// earlier is refused.
	unloadTime = 55 * time.Millisecond
	// conflictRetry is the time after which a load is tried again that came before the end of the
	// unload that makes room for it.
	conflictRetry = 40 * time.Millisecond
	// failedPoll is the time until the report of an engine that did not answer is read again.
	failedPoll = 250 * time.Millisecond
	// conflictPause keeps changes away from an engine whose state has just been read anew.
	conflictPause = 100 * time.Millisecond
)

// never is later than any time that occurs.
var never = time.Unix(1<<40, 0)

// send gives an order to an engine that has no unanswered one.
func (s *Swapper) send(r *replica, action Action, model entity.ModelID, adapterID entity.AdapterID, now time.Time) {
	s.nextID++
	r.sending = &Order{
		ID:       s.nextID,
		Upstream: r.up.Incarnation,
		Addr:     r.up.Addr,
		Action:   action,
		Model:    model,
		Adapter:  adapterID,
		Expected: r.sequence,
	}
	s.orders[s.nextID] = r
	copied := *r.sending
	s.out = append(s.out, Command{Order: &copied})
	s.active = true
}

// resend gives the unanswered order again, under the same expected count: when it is accepted,
// a late arrival of the first one finds another count and does nothing.
func (s *Swapper) resend(r *replica, now time.Time) {
	s.nextID++
	r.sending.ID = s.nextID
	r.resendAt = never
	s.orders[s.nextID] = r
	copied := *r.sending
	s.out = append(s.out, Command{Order: &copied})
}

// read asks for the report of an engine.
func (s *Swapper) read(r *replica, now time.Time) {
	if r.reading {
		return
	}
	r.reading = true
	r.readFrom = now
	r.readAt = never
	s.out = append(s.out, Command{Read: r.up})
}

// HandleAnswer takes over the answer to an order.
func (s *Swapper) HandleAnswer(id uint64, a Answer, now time.Time) []Command {
	if r := s.probes[id]; r != nil {
		s.probeAnswered(id, a, now)
		s.follow(r, now)
		return s.take()
	}
	r := s.orders[id]
	delete(s.orders, id)
	if r == nil || r.sending == nil || r.sending.ID != id {
		return nil
	}
	switch a {
	case Accepted, AlreadyHolds:
		s.confirmed(r, a, now)
	case Conflict:
		s.conflict(r, now)
	case Rejected:
		s.abandon(r, now)
	case NotSent:
		if r.doubtful {
			s.later(r, now)
			break
		}
		s.abandon(r, now)
	case Unknown:
		r.doubtful = true
		r.unansweredAt = now
		s.later(r, now)
	}
	s.follow(r, now)
	return s.take()
}

// later plans the next send of the unanswered order.
func (s *Swapper) later(r *replica, now time.Time) {
	wait := min(resendInterval<<min(r.resends, 5), resendMax)
	r.resends++
	r.resendAt = now.Add(wait)
}

// confirmed takes over an order that the engine carries out or that already holds.
func (s *Swapper) confirmed(r *replica, a Answer, now time.Time) {
	o := r.sending
	s.settle(r)
	if a == Accepted || o.Adapter != "" && o.Action == Unload {
		r.sequence = o.Expected + 1
	}
	r.ignoreBefore = now
	if o.Adapter != "" {
		s.adapterConfirmed(r, o, a, now)
		return
	}
	t := r.task
	switch {
	case t == nil:
	case o.Action == Unload:
		s.unloadConfirmed(r, o, a, now)
	case a == AlreadyHolds:
		s.loaded(r, now)
	default:
		s.loadAccepted(r, t, now)
	}
}

func (s *Swapper) settle(r *replica) {
	r.sending = nil
	r.doubtful = false
	r.resends = 0
}

func (s *Swapper) adapterConfirmed(r *replica, o *Order, a Answer, now time.Time) {
	h := r.held[o.Model]
	if h == nil {
		return
	}
	if o.Action == Unload {
		delete(h.adapters, o.Adapter)
		return
	}
	ad := h.adapters[o.Adapter]
	if ad == nil {
		return
	}
	ad.readyAt = now.Add(adapterTime)
	if a == AlreadyHolds {
		ad.readyAt = time.Time{}
		s.changed()
	}
}

// unloadConfirmed goes on with the next step of a task. An unload without running requests is over
// at once; otherwise the report tells when.
func (s *Swapper) unloadConfirmed(r *replica, o *Order, a Answer, now time.Time) {
	t := r.task
	t.accepted = true
	t.readyAt = now.Add(unloadTime)
	h := r.held[o.Model]
	if a == Accepted && h != nil && h.running > 0 {
		t.awaitReport = true
		r.readAt = now.Add(firstPoll)
	}
}

func (s *Swapper) loadAccepted(r *replica, t *task, now time.Time) {
	t.stage = stageLoading
	t.accepted = true
	t.started = now
	t.readyAt = now.Add(s.loadTime(r, t))
	t.probeAt = t.readyAt
	t.probes = 0
	t.beside = s.storeLoads()
	// The report that shows the end of the load is behind by its lag.
	r.readAt = t.readyAt.Add(reportLag)
}

// loadTime estimates a load that starts now.
func (s *Swapper) loadTime(r *replica, t *task) time.Duration {
	e := s.engine(r.up.Service)
	if e == nil || e.Models[t.model] == nil {
		return 0
	}
	m := e.Models[t.model]
	switch t.from {
	case inMemory:
		return m.MemoryLoad
	case onDisk:
		return m.DiskLoad
	}
	return s.parallel.loadTime(m.StoreLoad, s.storeLoads())
}

// loaded ends a task: its model can be used.
func (s *Swapper) loaded(r *replica, now time.Time) {
	t := r.task
	s.noteStoreLoad(r, t, now)
	r.task = nil
	r.readAt = never
	r.held[t.model] = &held{model: t.model, version: 0, adapters: make(map[entity.AdapterID]*adapter), usedAt: now, loadedAt: now}
	if r.copies[t.model] == 0 {
		r.copies[t.model] = onDisk
		s.index.dropCopies()
	}
	s.changed()
}

// conflict handles an order that the engine did not take because of another one or of its count.
func (s *Swapper) conflict(r *replica, now time.Time) {
	t := r.task
	if o := r.sending; o.Adapter != "" && t != nil && !r.doubtful {
		// The order of the task is being carried out; the adapter is tried again after it.
		s.forgetAdapter(r, o)
		s.settle(r)
		return
	}
	early := t != nil && t.stage == stageLoad && !r.doubtful && r.sending.Adapter == "" && now.Sub(t.started) < time.Second
	if early {
		// The unload before is not over yet.
		s.settle(r)
		t.readyAt = now.Add(conflictRetry)
		return
	}
	r.ignoreBefore = now.Add(reportLag)
	r.readAt = r.ignoreBefore
	r.resendAt = never
	if !r.doubtful {
		s.abandon(r, now)
	}
}

// abandon gives up the order and the task of an engine; its report tells what it holds.
func (s *Swapper) abandon(r *replica, now time.Time) {
	if r.sending != nil {
		s.forgetAdapter(r, r.sending)
	}
	s.settle(r)
	r.task = nil
	s.index.dropHolders()
	r.pausedTo = now.Add(conflictPause)
	r.ignoreBefore = now.Add(reportLag)
	r.readAt = r.ignoreBefore
	for _, h := range r.held {
		h.unloading = false
		for _, a := range h.adapters {
			a.unloading = false
		}
	}
	r.known = false
	s.changed()
}

// forgetAdapter undoes what was noted when an order for an adapter was sent.
func (s *Swapper) forgetAdapter(r *replica, o *Order) {
	h := r.held[o.Model]
	if h == nil || h.adapters[o.Adapter] == nil {
		return
	}
	if o.Action == Load {
		delete(h.adapters, o.Adapter)
		return
	}
	h.adapters[o.Adapter].unloading = false
	s.changed()
}

// ReportFailed says that the report of an engine could not be read.
func (s *Swapper) ReportFailed(id entity.UpstreamID, now time.Time) {
	if r := s.replicas[id]; r != nil {
		r.reading = false
		r.readAt = now.Add(failedPoll)
	}
}

// HandleReport takes over the report of an engine.
func (s *Swapper) HandleReport(id entity.UpstreamID, rep Report, now time.Time) []Command {
	r := s.replicas[id]
	if r == nil {
		return nil
	}
	r.reading = false
	s.up(r)
	s.useReport(r, rep, now)
	s.follow(r, now)
	return s.take()
}

func (s *Swapper) useReport(r *replica, rep Report, now time.Time) {
	stale := r.readFrom.Before(r.ignoreBefore) || rep.Sequence < r.sequence
	if stale && r.readFrom.Before(r.ignoreBefore.Add(time.Second)) {
		r.readAt = now.Add(pollInterval)
		return
	}
	if r.doubtful {
		s.resolveDoubt(r, rep, now)
		return
	}
	t := r.task
	switch {
	case t == nil && r.sending != nil:
		// The answer to the order will tell more than the report.
		r.readAt = now.Add(pollInterval)
	case t == nil && rep.Busy:
		r.readAt = now.Add(pollInterval)
	case t == nil:
		s.adopt(r, rep, now)
		s.changed()
	case rep.Busy || !t.accepted:
		r.readAt = now.Add(pollInterval)
	case t.stage == stageLoading && reports(rep, t.model):
		s.loaded(r, now)
	case t.stage == stageUnload:
		t.awaitReport = false
		t.readyAt = now
	default:
		// The engine has ended the order without the model, for example by a restart.
		s.abandon(r, now)
	}
}

// resolveDoubt compares the count of orders with that of the unanswered one.
func (s *Swapper) resolveDoubt(r *replica, rep Report, now time.Time) {
	if rep.Sequence <= r.sending.Expected {
		s.later(r, now)
		return
	}
	s.abandon(r, now)
	r.ignoreBefore = now
	if rep.Busy {
		r.readAt = now.Add(pollInterval)
		return
	}
	s.adopt(r, rep, now)
	s.changed()
	r.readAt = never
}

// adopt takes over what an engine says that it holds.
func (s *Swapper) adopt(r *replica, rep Report, now time.Time) {
	if r.adopt(rep, now) {
		s.index.dropCopies()
	}
}

func reports(rep Report, id entity.ModelID) bool {
	for _, m := range rep.Models {
		if m.Model == id {
			return true
		}
	}
	return false
}

// engine returns the engine description of a service, or nil.
func (s *Swapper) engine(id catalog.ServiceID) *catalog.Engine {
	if s.catalog == nil {
		return nil
	}
	svc := s.catalog.Service(id)
	if svc == nil {
		return nil
	}
	return svc.Engine
}

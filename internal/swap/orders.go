package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// adapterLoadTime is the time from the acceptance of an adapter load until requests can use the
	// adapter.
	adapterLoadTime = 15 * time.Millisecond
	// unloadTime is how long an engine needs to unload a model that no request uses. It refuses a load that
	// arrives earlier.
	unloadTime = 55 * time.Millisecond
	// conflictRetryDelay is the delay before a load order is sent again after the engine refused it because
	// the unload before it was not complete.
	conflictRetryDelay = 40 * time.Millisecond
	// failedReadRetryDelay is the delay before the report of an engine is requested again after a request for
	// it failed.
	failedReadRetryDelay = 250 * time.Millisecond
	// conflictPause is how long no new task starts on an engine after its last one was abandoned.
	conflictPause = 100 * time.Millisecond
)

// never is later than any time that occurs in practice.
var never = time.Unix(1<<40, 0)

// sendOrder sends an order to an engine that has no unanswered one.
func (s *Swapper) sendOrder(r *engineState, action Action, model entity.ModelID, adapterID entity.AdapterID, now time.Time) {
	s.nextID++
	r.pendingOrder = &Order{
		ID:       s.nextID,
		Upstream: r.upstream.Incarnation,
		Addr:     r.upstream.Addr,
		Action:   action,
		Model:    model,
		Adapter:  adapterID,
		Expected: r.sequence,
	}
	s.orders[s.nextID] = r
	copied := *r.pendingOrder
	s.commands = append(s.commands, Command{Order: &copied})
	s.active = true
}

// resendOrder sends the unanswered order again with the same expected order count. When the engine accepts
// it, a late arrival of the first copy finds a different count and has no effect.
func (s *Swapper) resendOrder(r *engineState, now time.Time) {
	s.nextID++
	r.pendingOrder.ID = s.nextID
	r.resendAt = never
	s.orders[s.nextID] = r
	copied := *r.pendingOrder
	s.commands = append(s.commands, Command{Order: &copied})
}

// readReport requests the report of an engine unless a request is already in progress.
func (s *Swapper) readReport(r *engineState, now time.Time) {
	if r.readInProgress {
		return
	}
	r.readInProgress = true
	r.readStartedAt = now
	r.nextReadAt = never
	s.commands = append(s.commands, Command{Read: r.upstream})
}

// HandleAnswer processes the answer to an order.
func (s *Swapper) HandleAnswer(id uint64, a Answer, now time.Time) []Command {
	if r := s.probes[id]; r != nil {
		s.handleProbeAnswer(id, a, now)
		s.advanceNow(r, now)
		return s.takeCommands()
	}
	r := s.orders[id]
	delete(s.orders, id)
	if r == nil || r.pendingOrder == nil || r.pendingOrder.ID != id {
		return nil
	}
	switch a {
	case Accepted, AlreadyDone:
		s.handleConfirmed(r, a, now)
	case Conflict:
		s.handleConflict(r, now)
	case Rejected:
		s.abandonTask(r, now)
	case NotSent:
		if r.outcomeUnknown {
			s.scheduleResend(r, now)
			break
		}
		s.abandonTask(r, now)
	case Unknown:
		r.outcomeUnknown = true
		r.unansweredAt = now
		s.scheduleResend(r, now)
	}
	s.advanceNow(r, now)
	return s.takeCommands()
}

// scheduleResend schedules the next send of the unanswered order with exponential back-off.
func (s *Swapper) scheduleResend(r *engineState, now time.Time) {
	wait := min(resendInterval<<min(r.resends, 5), maxResendInterval)
	r.resends++
	r.resendAt = now.Add(wait)
}

// handleConfirmed processes an order that the engine executes or whose effect already exists.
func (s *Swapper) handleConfirmed(r *engineState, a Answer, now time.Time) {
	o := r.pendingOrder
	s.clearPendingOrder(r)
	// An engine also counts an unload of an adapter that it answers with AlreadyDone.
	if a == Accepted || o.Adapter != "" && o.Action == Unload {
		r.sequence = o.Expected + 1
	}
	r.ignoreReportsBefore = now
	if o.Adapter != "" {
		s.handleAdapterConfirmed(r, o, a, now)
		return
	}
	t := r.task
	switch {
	case t == nil:
	case o.Action == Unload:
		s.handleUnloadConfirmed(r, o, a, now)
	case a == AlreadyDone:
		s.finishLoad(r, now)
	default:
		s.handleLoadAccepted(r, t, now)
	}
}

func (s *Swapper) clearPendingOrder(r *engineState) {
	r.pendingOrder = nil
	r.outcomeUnknown = false
	r.resends = 0
}

func (s *Swapper) handleAdapterConfirmed(r *engineState, o *Order, a Answer, now time.Time) {
	lm := r.loadedModels[o.Model]
	if lm == nil {
		return
	}
	if o.Action == Unload {
		delete(lm.adapters, o.Adapter)
		return
	}
	ad := lm.adapters[o.Adapter]
	if ad == nil {
		return
	}
	ad.readyAt = now.Add(adapterLoadTime)
	if a == AlreadyDone {
		ad.readyAt = time.Time{}
		s.markChanged()
	}
}

// handleUnloadConfirmed records that an unload is in progress. Without running requests it ends after
// unloadTime; otherwise only a report shows its end.
func (s *Swapper) handleUnloadConfirmed(r *engineState, o *Order, a Answer, now time.Time) {
	t := r.task
	t.accepted = true
	t.readyAt = now.Add(unloadTime)
	lm := r.loadedModels[o.Model]
	if a == Accepted && lm != nil && lm.running > 0 {
		t.awaitsReport = true
		r.nextReadAt = now.Add(firstPollDelay)
	}
}

func (s *Swapper) handleLoadAccepted(r *engineState, t *task, now time.Time) {
	t.stage = stageLoading
	t.accepted = true
	t.started = now
	t.readyAt = now.Add(s.loadTime(r, t))
	t.probeAt = t.readyAt
	t.probes = 0
	t.concurrentLoads = s.storeLoads()
	// The report that shows the end of the load is delayed by up to maxReportLag.
	r.nextReadAt = t.readyAt.Add(maxReportLag)
}

// loadTime estimates the duration of a load that starts now.
func (s *Swapper) loadTime(r *engineState, t *task) time.Duration {
	e := s.engine(r.upstream.Service)
	if e == nil || e.Models[t.model] == nil {
		return 0
	}
	m := e.Models[t.model]
	switch t.loadFrom {
	case inMemory:
		return m.MemoryLoad
	case onDisk:
		return m.DiskLoad
	}
	return s.parallel.loadTime(m.StoreLoad, s.storeLoads())
}

// finishLoad ends a task whose model has been loaded.
func (s *Swapper) finishLoad(r *engineState, now time.Time) {
	t := r.task
	s.learnFromStoreLoad(r, t, now)
	delete(s.loadCrashes, modelKey{service: r.upstream.Service, model: t.model})
	r.task = nil
	r.nextReadAt = never
	r.loadedModels[t.model] = &loadedModel{model: t.model, version: 0, adapters: make(map[entity.AdapterID]*adapter), usedAt: now, loadedAt: now}
	if r.copies[t.model] == 0 {
		r.copies[t.model] = onDisk
		s.index.invalidateCopies()
	}
	s.markChanged()
}

// handleConflict handles an order that the engine refused because it is executing another one or because it has
// accepted another number of orders than the order expects.
func (s *Swapper) handleConflict(r *engineState, now time.Time) {
	t := r.task
	if o := r.pendingOrder; o.Adapter != "" && t != nil && !r.outcomeUnknown {
		// The engine is executing the order of the task. The adapter is tried again after it.
		s.undoAdapterOrder(r, o)
		s.clearPendingOrder(r)
		return
	}
	early := t != nil && t.stage == stageLoad && !r.outcomeUnknown && r.pendingOrder.Adapter == "" && now.Sub(t.started) < time.Second
	if early {
		// The unload before this load is not complete yet.
		s.clearPendingOrder(r)
		t.readyAt = now.Add(conflictRetryDelay)
		return
	}
	r.ignoreReportsBefore = now.Add(maxReportLag)
	r.nextReadAt = r.ignoreReportsBefore
	r.resendAt = never
	if !r.outcomeUnknown {
		s.abandonTask(r, now)
	}
}

// abandonTask drops the pending order and the task of an engine. Its next report shows which models it has
// loaded.
func (s *Swapper) abandonTask(r *engineState, now time.Time) {
	if r.pendingOrder != nil {
		s.undoAdapterOrder(r, r.pendingOrder)
	}
	s.clearPendingOrder(r)
	r.task = nil
	s.index.invalidateModelReplicas()
	r.pausedUntil = now.Add(conflictPause)
	r.ignoreReportsBefore = now.Add(maxReportLag)
	r.nextReadAt = r.ignoreReportsBefore
	for _, lm := range r.loadedModels {
		lm.unloading = false
		for _, a := range lm.adapters {
			a.unloading = false
		}
	}
	r.stateKnown = false
	s.markChanged()
}

// undoAdapterOrder reverts the state change that was made when an order for an adapter was sent.
func (s *Swapper) undoAdapterOrder(r *engineState, o *Order) {
	lm := r.loadedModels[o.Model]
	if lm == nil || lm.adapters[o.Adapter] == nil {
		return
	}
	if o.Action == Load {
		delete(lm.adapters, o.Adapter)
		return
	}
	lm.adapters[o.Adapter].unloading = false
	s.markChanged()
}

// HandleReportFailure records that the report of an engine could not be read.
func (s *Swapper) HandleReportFailure(id entity.UpstreamID, now time.Time) {
	if r := s.engineStates[id]; r != nil {
		r.readInProgress = false
		r.nextReadAt = now.Add(failedReadRetryDelay)
	}
}

// HandleReport processes the report of an engine.
func (s *Swapper) HandleReport(id entity.UpstreamID, rep Report, now time.Time) []Command {
	r := s.engineStates[id]
	if r == nil {
		return nil
	}
	r.readInProgress = false
	s.markReachable(r)
	s.applyReport(r, rep, now)
	s.advanceNow(r, now)
	return s.takeCommands()
}

func (s *Swapper) applyReport(r *engineState, rep Report, now time.Time) {
	// A report that may be older than the last order is ignored, but only for one second after
	// ignoreReportsBefore.
	stale := r.readStartedAt.Before(r.ignoreReportsBefore) || rep.Sequence < r.sequence
	if stale && r.readStartedAt.Before(r.ignoreReportsBefore.Add(time.Second)) {
		r.nextReadAt = now.Add(pollInterval)
		return
	}
	if r.outcomeUnknown {
		s.resolveUnknownOutcome(r, rep, now)
		return
	}
	t := r.task
	switch {
	case t == nil && r.pendingOrder != nil:
		// The answer to the pending order will be more recent than this report.
		r.nextReadAt = now.Add(pollInterval)
	case t == nil && rep.Busy:
		r.nextReadAt = now.Add(pollInterval)
	case t == nil:
		s.adoptReport(r, rep, now)
		s.markChanged()
	case rep.Busy || !t.accepted:
		r.nextReadAt = t.nextRead(now)
	case t.stage == stageLoading && listsModel(rep, t.model):
		s.finishLoad(r, now)
	case t.stage == stageUnload:
		t.awaitsReport = false
		t.readyAt = now
	default:
		// The engine finished the order without loading the model, for example because it restarted.
		s.abandonTask(r, now)
	}
}

// nextRead returns when to read the report of the engine again after a report that did not show the end of the task. A load
// is expected to end at readyAt, and its report follows maxReportLag later; an earlier one would show nothing new.
func (t *task) nextRead(now time.Time) time.Time {
	next := now.Add(pollInterval)
	if expected := t.readyAt.Add(maxReportLag); t.stage == stageLoading && expected.After(next) {
		return expected
	}
	return next
}

// resolveUnknownOutcome determines from the order count in a report whether the unanswered order was
// accepted.
func (s *Swapper) resolveUnknownOutcome(r *engineState, rep Report, now time.Time) {
	if rep.Sequence <= r.pendingOrder.Expected {
		s.scheduleResend(r, now)
		return
	}
	s.abandonTask(r, now)
	r.ignoreReportsBefore = now
	if rep.Busy {
		r.nextReadAt = now.Add(pollInterval)
		return
	}
	s.adoptReport(r, rep, now)
	s.markChanged()
	r.nextReadAt = never
}

// adoptReport replaces the state of an engine by that in its report.
func (s *Swapper) adoptReport(r *engineState, rep Report, now time.Time) {
	if r.adoptReport(rep, now) {
		s.index.invalidateCopies()
	}
}

func listsModel(rep Report, id entity.ModelID) bool {
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

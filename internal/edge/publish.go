package edge

import (
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// publishInterval is the least time between two messages of the coordinator to all hosts. If the number of
	// hosts times publishIntervalPerHost is longer, that is the time, to bound the rate of messages.
	publishInterval        = 200 * time.Millisecond
	publishIntervalPerHost = 1500 * time.Microsecond
	// loadGranularity is the number of running requests at an engine from which small changes are not sent: a
	// change must exceed the fraction 1/loadGranularity of the load, rounded down.
	loadGranularity = 8
)

// errChangesDiscarded reports that the oldest kept changes are newer than the revision of the host.
var errChangesDiscarded = errors.New("edge: changes since the revision of the host are no longer kept")

// stateMark identifies a version of the engine states by the number of refreshes so far: of the loaded models,
// of the loads (numbers of running requests), and of the shares of workspaces.
type stateMark struct{ models, loads, shares uint64 }

// stateTable holds the states of the engines that are sent to hosts, each with the mark of its last change.
type stateTable struct {
	rows map[entity.UpstreamID]*stateRow
	mark stateMark
	// version is the version of the swapper's state that the rows show.
	version     uint64
	publishedAt time.Time
	nextIndex   int
	// shares holds the published shares of workspaces.
	shares shareTable
	// changedModels are the models that were loaded at or removed from an engine since the waiting hosts were
	// last notified.
	changedModels map[entity.ModelID]bool
}

type stateRow struct {
	state wire.UpstreamState
	// running is the number of running requests that was sent last.
	running int
	changed stateMark
}

func newStateTable() stateTable {
	return stateTable{rows: make(map[entity.UpstreamID]*stateRow), changedModels: make(map[entity.ModelID]bool), shares: newShareTable()}
}

// refresh applies the state of the swapper. It updates the loads only if loads is set.
func (t *stateTable) refresh(views []swap.EngineView, loads bool) {
	present := make(map[entity.UpstreamID]bool, len(views))
	t.mark.models++
	if loads {
		t.mark.loads++
	}
	for _, v := range views {
		present[v.Upstream.ID] = true
		row := t.rows[v.Upstream.ID]
		if row == nil {
			row = &stateRow{state: wire.UpstreamState{Upstream: v.Upstream.ID, Index: t.nextIndex}}
			t.nextIndex++
			t.rows[v.Upstream.ID] = row
		}
		t.refreshRow(row, v, loads)
	}
	for id, row := range t.rows {
		if !present[id] {
			t.noteChangedModels(row.state.LoadedModels)
			delete(t.rows, id)
		}
	}
}

func (t *stateTable) refreshRow(row *stateRow, v swap.EngineView, loads bool) {
	models := make([]wire.LoadedModel, 0, len(v.LoadedModels))
	for _, m := range v.LoadedModels {
		models = append(models, wire.LoadedModel{Model: m.Model, Adapters: m.Adapters})
	}
	if row.changed.models == 0 || row.state.BornMillis != v.Upstream.BornMillis || !reflect.DeepEqual(row.state.LoadedModels, models) {
		t.noteChangedModels(row.state.LoadedModels)
		t.noteChangedModels(models)
		row.state.BornMillis = v.Upstream.BornMillis
		row.state.LoadedModels = models
		row.changed.models = t.mark.models
	}
	if loads && runningChanged(row.running, v.Running) {
		row.running = v.Running
		row.changed.loads = t.mark.loads
	}
}

// noteChangedModels records the models of a row that changes.
func (t *stateTable) noteChangedModels(models []wire.LoadedModel) {
	for _, m := range models {
		t.changedModels[m.Model] = true
	}
}

// runningChanged reports whether a number of running requests differs enough from the one that was sent last.
func runningChanged(sent, now int) bool {
	diff := max(sent-now, now-sent)
	return diff > max(sent, now)/loadGranularity
}

// changedSince returns what has changed since a mark, or nil.
func (t *stateTable) changedSince(m stateMark, self entity.HostID) *wire.FleetState {
	out := &wire.FleetState{Coordinator: self}
	for _, row := range t.rows {
		if row.changed.models > m.models {
			out.Upstreams = append(out.Upstreams, row.state)
		}
		if row.changed.loads > m.loads {
			out.Indexes = append(out.Indexes, row.state.Index)
			out.Running = append(out.Running, row.running)
		}
	}
	t.shares.addChanges(out, m.shares, t.mark.shares)
	if len(out.Upstreams)+len(out.Indexes) == 0 && out.SharesMark == 0 {
		return nil
	}
	return out
}

// publish sends hosts what has changed. All hosts are notified together once per interval. A host is notified at
// once if it has just reported waiting requests, or if its requests wait for a model that was loaded at or
// removed from an engine.
func (c *core) publish(now time.Time) {
	coord := c.coordinator
	interval := max(publishInterval, time.Duration(len(coord.hosts))*publishIntervalPerHost)
	due := now.Sub(coord.states.publishedAt) >= interval
	changed := coord.swapper.Version() != coord.states.version
	if changed || due {
		coord.states.version = coord.swapper.Version()
		coord.states.refresh(coord.swapper.EngineViews(), due)
	}
	if due {
		coord.states.publishedAt = now
		c.refreshShares(now)
		c.publishStates(now)
	}
	frames := make(map[stateMark]peer.Frame)
	for _, h := range coord.hosts {
		if !h.estimatesDue && !h.waitsForAny(coord.states.changedModels) {
			continue
		}
		h.estimatesDue = false
		if !due {
			c.sendStates(h, frames, now)
		}
		c.sendHostState(h, &wire.HostState{Estimates: c.estimatesFor(h, now)}, now)
	}
	clear(coord.states.changedModels)
}

// waitsForAny reports whether requests of the host wait for one of the models.
func (h *hostSession) waitsForAny(models map[entity.ModelID]bool) bool {
	return len(models) > 0 && slices.ContainsFunc(h.poolDemands, func(n wire.PoolDemand) bool { return models[n.Model] })
}

// publishStates sends every host the states that it has not been sent yet. Most hosts need the same states, so
// a message is encoded once and sent to all of them.
func (c *core) publishStates(now time.Time) {
	coord := c.coordinator
	frames := make(map[stateMark]peer.Frame)
	for _, h := range coord.hosts {
		c.sendStates(h, frames, now)
	}
}

// sendStates sends one host the states that it has not been sent yet. frames holds the messages that were
// encoded for other hosts.
func (c *core) sendStates(h *hostSession, frames map[stateMark]peer.Frame, now time.Time) {
	coord := c.coordinator
	from := h.sentMark
	h.sentMark = coord.states.mark
	if h.session == nil {
		if states := coord.states.changedSince(from, c.self); states != nil {
			c.fleetStateReceived(states, now)
		}
		return
	}
	frame, ok := frames[from]
	if !ok {
		frame = c.encodeStates(from)
		frames[from] = frame
	}
	if frame != nil {
		c.sendFrame(h, frame)
	}
}

func (c *core) encodeStates(m stateMark) peer.Frame {
	states := c.coordinator.states.changedSince(m, c.self)
	if states == nil {
		return nil
	}
	frame, err := peer.Encode(states)
	if err != nil {
		c.log.Error("States of the engines cannot be encoded.", "err", err)
	}
	return frame
}

func (c *core) sendFrame(h *hostSession, frame peer.Frame) {
	if err := h.session.SendFrame(frame); err != nil {
		c.log.Debug("Message not sent.", "host", h.host, "err", err)
	}
}

// sendHostState sends one host what concerns only this host.
func (c *core) sendHostState(h *hostSession, m *wire.HostState, now time.Time) {
	if h.session == nil {
		c.hostStateReceived(m, now)
		return
	}
	if since := c.readableSince.Load(); since != 0 {
		m.StoreReadableFor = max(now.Sub(time.Unix(0, since)), 0)
	}
	if err := h.session.Send(m); err != nil {
		c.log.Debug("Message not sent.", "host", h.host, "err", err)
	}
}

// serviceModel identifies a model of a service; engines of another service may have a model of the same name.
type serviceModel struct {
	service catalog.ServiceID
	model   entity.ModelID
	release entity.Release
}

// estimateTable holds the estimates at one point in time, for all hosts.
type estimateTable struct {
	at      time.Time
	readyIn map[serviceModel]time.Duration
}

// modelsReadyIn returns the estimated time until each model that requests wait for is ready. The estimates are
// computed once for all hosts that are notified at the same time.
func (c *core) modelsReadyIn(now time.Time) map[serviceModel]time.Duration {
	t := &c.coordinator.estimates
	if t.readyIn != nil && t.at.Equal(now) {
		return t.readyIn
	}
	t.at = now
	t.readyIn = make(map[serviceModel]time.Duration)
	for _, e := range c.coordinator.swapper.Estimates(now) {
		t.readyIn[serviceModel{service: e.Service, model: e.Model, release: e.Release}] = e.ReadyIn
	}
	return t.readyIn
}

// estimatesFor returns the estimated time until each model that requests of the host wait for is ready.
func (c *core) estimatesFor(h *hostSession, now time.Time) []wire.ModelEstimate {
	if !h.hasWaiting {
		return nil
	}
	var out []wire.ModelEstimate
	all := c.modelsReadyIn(now)
	added := make(map[serviceModel]bool, len(h.poolDemands))
	for _, n := range h.poolDemands {
		key := serviceModel{service: catalog.ServiceID(n.Service), model: n.Model, release: n.Release}
		readyIn, known := all[key]
		if !known || added[key] {
			continue
		}
		added[key] = true
		out = append(out, wire.ModelEstimate{Service: n.Service, Model: n.Model, Release: n.Release, ReadyIn: readyIn})
	}
	return out
}

// revisionAdvanced stores the changes of the key-value service. The coordinator relays those that it has read
// itself, and confirms the views of the hosts.
func (c *core) revisionAdvanced(e revisionAdvanced, now time.Time) {
	c.changeLog.Add(e.changes, e.revision)
	if c.coordinator == nil || e.began.IsZero() {
		return
	}
	frames := make(map[int64]peer.Frame)
	for _, h := range c.coordinator.hosts {
		if kvstore.EraOf(h.revision) != kvstore.EraOf(e.revision) {
			// The host reads the service itself after a restore.
			h.revision = 0
		}
		if h.session == nil || h.revision == 0 {
			continue
		}
		h.confirmReports(e.began)
		if h.revision < e.revision {
			c.sendChanges(h, e.revision, frames)
		}
		if h.confirmed != 0 {
			c.sendHostState(h, &wire.HostState{ConfirmedSentAt: h.confirmed, Revision: h.revision, Estimates: c.estimatesFor(h, now)}, now)
		}
	}
}

// sendChanges sends a host the changes after its own revision up to the given one. frames holds the messages
// that were encoded for other hosts, by their revision.
func (c *core) sendChanges(h *hostSession, revision int64, frames map[int64]peer.Frame) {
	frame, ok := frames[h.revision]
	if !ok {
		var err error
		if frame, err = c.encodeChanges(h.revision, revision); err != nil {
			c.log.Error("Changes cannot be encoded.", "from", h.revision, "to", revision, "err", err)
			h.revision = 0
			return
		}
		frames[h.revision] = frame
	}
	h.revision = revision
	if frame != nil {
		c.sendFrame(h, frame)
	}
}

func (c *core) encodeChanges(from, to int64) (peer.Frame, error) {
	changes, complete := c.changeLog.Since(from)
	if !complete {
		return nil, errChangesDiscarded
	}
	if len(changes) == 0 {
		return nil, nil
	}
	packed, err := relay.Encode(changes)
	if err != nil {
		return nil, err
	}
	return peer.Encode(&wire.ListUpdate{From: from, To: to, Changes: packed})
}

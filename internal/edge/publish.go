package edge

import (
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/relay"
	"github.com/foxtailpass/foxtailpass/internal/swap"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// publishInterval is the time between two messages of the coordinator to all hosts;
	// publishIntervalPerHost bounds what many hosts get.
	publishInterval        = 200 * time.Millisecond
	publishIntervalPerHost = 1500 * time.Microsecond
	// roundedLoad is the number of requests at an engine above which small changes are not told.
	roundedLoad = 8
)

// errIncompleteList says that the changes do not reach back far enough.
var errIncompleteList = errors.New("edge: changes are no longer known")

// stateMark is how far a host has been told the states of the engines.
type stateMark struct{ held, loads uint64 }

// stateTable is what the hosts are told about the engines, with the mark of each last change.
type stateTable struct {
	rows map[entity.UpstreamID]*stateRow
	mark stateMark
	// version is that of the swapper which the rows show.
	version     uint64
	publishedAt time.Time
	nextIndex   int
	// moved are the models that have come to an engine or gone from one since the hosts that wait were told.
	moved map[entity.ModelID]bool
}

type stateRow struct {
	state wire.UpstreamState
	// running is what was told last of the requests there.
	running int
	changed stateMark
}

func newStateTable() stateTable {
	return stateTable{rows: make(map[entity.UpstreamID]*stateRow), moved: make(map[entity.ModelID]bool)}
}

// refresh takes over what the swapper knows. Loads are compared only when asked to.
func (t *stateTable) refresh(holdings []swap.Holding, loads bool) {
	seen := make(map[entity.UpstreamID]bool, len(holdings))
	t.mark.held++
	if loads {
		t.mark.loads++
	}
	for _, h := range holdings {
		seen[h.Upstream.ID] = true
		row := t.rows[h.Upstream.ID]
		if row == nil {
			row = &stateRow{state: wire.UpstreamState{Upstream: h.Upstream.ID, Index: t.nextIndex}}
			t.nextIndex++
			t.rows[h.Upstream.ID] = row
		}
		t.refreshRow(row, h, loads)
	}
	for id, row := range t.rows {
		if !seen[id] {
			t.noteMoved(row.state.Held)
			delete(t.rows, id)
		}
	}
}

func (t *stateTable) refreshRow(row *stateRow, h swap.Holding, loads bool) {
	held := make([]wire.HeldModel, 0, len(h.Held))
	for _, m := range h.Held {
		held = append(held, wire.HeldModel{Model: m.Model, Adapters: m.Adapters})
	}
	if row.changed.held == 0 || row.state.BornMillis != h.Upstream.BornMillis || !reflect.DeepEqual(row.state.Held, held) {
		t.noteMoved(row.state.Held)
		t.noteMoved(held)
		row.state.BornMillis = h.Upstream.BornMillis
		row.state.Held = held
		row.changed.held = t.mark.held
	}
	if loads && loadChanged(row.running, h.Running) {
		row.running = h.Running
		row.changed.loads = t.mark.loads
	}
}

// noteMoved notes the models of a row that changes.
func (t *stateTable) noteMoved(held []wire.HeldModel) {
	for _, m := range held {
		t.moved[m.Model] = true
	}
}

// loadChanged says whether a load differs enough from the one that was told.
func loadChanged(told, now int) bool {
	diff := max(told-now, now-told)
	return diff > max(told, now)/roundedLoad
}

// since returns what has changed since a mark, or nil.
func (t *stateTable) since(m stateMark, self entity.HostID) *wire.FleetState {
	out := &wire.FleetState{Coordinator: self}
	for _, row := range t.rows {
		if row.changed.held > m.held {
			out.Upstreams = append(out.Upstreams, row.state)
		}
		if row.changed.loads > m.loads {
			out.Indexes = append(out.Indexes, row.state.Index)
			out.Running = append(out.Running, row.running)
		}
	}
	if len(out.Upstreams)+len(out.Indexes) == 0 {
		return nil
	}
	return out
}

// publish tells hosts what has changed: those whose requests wait for a model that has moved at once, the
// others together after a while.
func (c *core) publish(now time.Time) {
	l := c.lead
	interval := max(publishInterval, time.Duration(len(l.hosts))*publishIntervalPerHost)
	all := now.Sub(l.states.publishedAt) >= interval
	changed := l.swapper.Version() != l.states.version
	if changed || all {
		l.states.version = l.swapper.Version()
		l.states.refresh(l.swapper.Holdings(), all)
	}
	if all {
		l.states.publishedAt = now
		c.publishAll(now)
	}
	frames := make(map[stateMark]peer.Frame)
	for _, h := range l.hosts {
		if !h.urgent && !h.waitsForAny(l.states.moved) {
			continue
		}
		h.urgent = false
		if !all {
			c.sendStates(h, frames, now)
		}
		c.tell(h, &wire.HostState{Estimates: c.estimatesFor(h, now)}, now)
	}
	clear(l.states.moved)
}

// waitsForAny says whether requests of the host wait for one of some models.
func (h *hostSession) waitsForAny(models map[entity.ModelID]bool) bool {
	return len(models) > 0 && slices.ContainsFunc(h.needs, func(n wire.PoolNeed) bool { return models[n.Model] })
}

// publishAll sends every host the states that it lacks. Most lack the same, so that one encoding serves
// them.
func (c *core) publishAll(now time.Time) {
	l := c.lead
	frames := make(map[stateMark]peer.Frame)
	for _, h := range l.hosts {
		c.sendStates(h, frames, now)
	}
}

// sendStates sends one host the states that it lacks. frames holds what was encoded for others.
func (c *core) sendStates(h *hostSession, frames map[stateMark]peer.Frame, now time.Time) {
	l := c.lead
	from := h.told
	h.told = l.states.mark
	if h.session == nil {
		if states := l.states.since(from, c.self); states != nil {
			c.stateReceived(states, now)
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
	states := c.lead.states.since(m, c.self)
	if states == nil {
		return nil
	}
	frame, err := peer.Encode(states)
	if err != nil {
		c.log.Error("States cannot be encoded.", "err", err)
	}
	return frame
}

func (c *core) sendFrame(h *hostSession, frame peer.Frame) {
	if err := h.session.SendFrame(frame); err != nil {
		c.log.Debug("Message not sent.", "host", h.host, "err", err)
	}
}

// tell sends one host what concerns it alone.
func (c *core) tell(h *hostSession, m *wire.HostState, now time.Time) {
	if h.session == nil {
		c.hostStateReceived(m, now)
		return
	}
	if err := h.session.Send(m); err != nil {
		c.log.Debug("Message not sent.", "host", h.host, "err", err)
	}
}

// modelAt names a model of a service, whose engines may hold models of the same name.
type modelAt struct {
	service catalog.ServiceID
	model   entity.ModelID
}

// estimateTable holds the estimates of one moment, for all hosts.
type estimateTable struct {
	at      time.Time
	readyIn map[modelAt]time.Duration
}

// modelsReadyIn returns when models will be there that requests wait for. They are worked out once for all
// hosts that are told at the same moment.
func (c *core) modelsReadyIn(now time.Time) map[modelAt]time.Duration {
	t := &c.lead.estimates
	if t.readyIn != nil && t.at.Equal(now) {
		return t.readyIn
	}
	t.at = now
	t.readyIn = make(map[modelAt]time.Duration)
	for _, e := range c.lead.swapper.Estimates(now) {
		t.readyIn[modelAt{service: e.Service, model: e.Model}] = e.ReadyIn
	}
	return t.readyIn
}

// estimatesFor returns when the models will be there that the requests of a host wait for.
func (c *core) estimatesFor(h *hostSession, now time.Time) []wire.ModelEstimate {
	if !h.waits {
		return nil
	}
	var out []wire.ModelEstimate
	all := c.modelsReadyIn(now)
	told := make(map[modelAt]bool, len(h.needs))
	for _, n := range h.needs {
		key := modelAt{service: catalog.ServiceID(n.Service), model: n.Model}
		readyIn, known := all[key]
		if !known || told[key] {
			continue
		}
		told[key] = true
		out = append(out, wire.ModelEstimate{Service: n.Service, Model: n.Model, ReadyIn: readyIn})
	}
	return out
}

// listAdvanced keeps the changes of the key-value service. The coordinator passes on those that it has
// read itself, and confirms the knowledge of the hosts.
func (c *core) listAdvanced(e listAdvanced, now time.Time) {
	c.list.Add(e.changes, e.revision)
	if c.lead == nil || e.began.IsZero() {
		return
	}
	frames := make(map[int64]peer.Frame)
	for _, h := range c.lead.hosts {
		if h.session == nil || h.revision == 0 {
			continue
		}
		h.confirm(e.began)
		if h.revision < e.revision {
			c.passOn(h, e.revision, frames)
		}
		if h.confirmed != 0 {
			c.tell(h, &wire.HostState{Confirmed: h.confirmed, Revision: h.revision, Estimates: c.estimatesFor(h, now)}, now)
		}
	}
}

// passOn sends a host the changes up to a revision that it may lack.
func (c *core) passOn(h *hostSession, revision int64, frames map[int64]peer.Frame) {
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
	changes, complete := c.list.Since(from)
	if !complete {
		return nil, errIncompleteList
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

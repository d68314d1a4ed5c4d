package edge

import (
	"errors"
	"reflect"
	"slices"
	"time"

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
}

type stateRow struct {
	state wire.UpstreamState
	// running is what was told last of the requests there.
	running int
	changed stateMark
}

func newStateTable() stateTable { return stateTable{rows: make(map[entity.UpstreamID]*stateRow)} }

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
	for id := range t.rows {
		if !seen[id] {
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
		row.state.BornMillis = h.Upstream.BornMillis
		row.state.Held = held
		row.changed.held = t.mark.held
	}
	if loads && loadChanged(row.running, h.Running) {
		row.running = h.Running
		row.changed.loads = t.mark.loads
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

// publish tells hosts what has changed: those whose requests wait at once, the others together after a
// while.
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
	for _, h := range l.hosts {
		if !h.urgent && !(changed && h.waits) {
			continue
		}
		h.urgent = false
		if !all {
			c.publishStates(h, l.states.since(h.told, c.self), now)
		}
		c.tell(h, &wire.HostState{Estimates: c.estimatesFor(h, now)}, now)
	}
}

// publishAll sends every host the states that it lacks. Most lack the same, so that one encoding serves
// them.
func (c *core) publishAll(now time.Time) {
	l := c.lead
	frames := make(map[stateMark]peer.Frame)
	for _, h := range l.hosts {
		if h.session == nil {
			c.publishStates(h, l.states.since(h.told, c.self), now)
			continue
		}
		frame, ok := frames[h.told]
		if !ok {
			frame = c.encodeStates(h.told)
			frames[h.told] = frame
		}
		h.told = l.states.mark
		if frame != nil {
			c.sendFrame(h, frame)
		}
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

// publishStates sends one host the states that it lacks.
func (c *core) publishStates(h *hostSession, states *wire.FleetState, now time.Time) {
	h.told = c.lead.states.mark
	if states == nil {
		return
	}
	if h.session == nil {
		c.stateReceived(states, now)
		return
	}
	if err := h.session.Send(states); err != nil {
		c.log.Debug("States not sent.", "host", h.host, "err", err)
	}
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

// estimatesFor returns when the models will be there that the requests of a host wait for.
func (c *core) estimatesFor(h *hostSession, now time.Time) []wire.ModelEstimate {
	if !h.waits {
		return nil
	}
	var out []wire.ModelEstimate
	for _, e := range c.lead.swapper.Estimates(now) {
		waits := slices.ContainsFunc(h.needs, func(n wire.PoolNeed) bool { return n.Model == e.Model && n.Service == string(e.Service) })
		if waits {
			out = append(out, wire.ModelEstimate{Service: string(e.Service), Model: e.Model, ReadyIn: e.ReadyIn})
		}
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

package swap

import (
	"sort"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
)

// replica is one row of the table of engines.
type replica struct {
	up *fleet.Upstream
	// known says that a report or an own order has told what the engine holds.
	known bool
	// down says that hosts cannot reach the engine.
	down bool
	// sequence is the number of orders that the engine has accepted.
	sequence int64
	held     map[entity.ModelID]*held
	copies   map[entity.ModelID]place
	running  int

	// sending is the order that has no answer yet; nothing else is sent meanwhile.
	sending *Order
	// unansweredAt is when the last order was sent that got no answer.
	unansweredAt time.Time
	// doubtful says that the order may have been accepted or may be carried out later.
	doubtful bool
	resendAt time.Time
	resends  int
	// task is the change under way.
	task *task
	// reading says that a report was asked for, readAt when to ask for the next one.
	reading  bool
	readFrom time.Time
	readAt   time.Time
	// ignoreBefore is the time until which reports may be older than the last order.
	ignoreBefore time.Time
	// pausedTo keeps new changes away after a conflict.
	pausedTo time.Time
}

// place is where a copy of weights lies on the machine of an engine.
type place uint8

const (
	onDisk place = iota + 1
	inMemory
)

// held is one model on an engine.
type held struct {
	model    entity.ModelID
	version  int
	adapters map[entity.AdapterID]*adapter
	running  int
	usedAt   time.Time
	loadedAt time.Time
	// unloading models get no new requests.
	unloading bool
}

// adapter is one adapter on an engine.
type adapter struct {
	readyAt   time.Time
	usedAt    time.Time
	running   int
	unloading bool
}

// stage is how far a task has come.
type stage uint8

const (
	stageUnload stage = iota
	stageLoad
	stageLoading
)

// task is one change of the models of an engine: models to unload, then one to load.
type task struct {
	model entity.ModelID
	evict []entity.ModelID
	stage stage
	// accepted says that the current order is being carried out.
	accepted bool
	// awaitReport says that only a report can tell that the unload is over.
	awaitReport bool
	// from is where the copy lies, zero for a load from the weight store.
	from    place
	started time.Time
	readyAt time.Time
	// beside is the number of loads at the weight store when this one began.
	beside int
	// probe is the last probe of the load, probeAt the time of the next one.
	probe   uint64
	probeAt time.Time
	probes  int
}

// usesStore says whether the task loads from the weight store.
func (t *task) usesStore() bool { return t.from == 0 }

func newReplica(u *fleet.Upstream) *replica {
	r := &replica{
		up:       u,
		sequence: u.Sequence,
		held:     make(map[entity.ModelID]*held),
		copies:   make(map[entity.ModelID]place),
	}
	r.noteCopies(u.InMemory, u.OnDisk)
	return r
}

// noteCopies takes over where copies lie and says whether the set of models with a copy has changed.
func (r *replica) noteCopies(memory, disk []entity.ModelID) bool {
	if len(memory)+len(disk) == 0 {
		return false
	}
	copies := make(map[entity.ModelID]place, len(memory)+len(disk))
	for _, m := range disk {
		copies[m] = onDisk
	}
	for _, m := range memory {
		copies[m] = inMemory
	}
	same := len(copies) == len(r.copies)
	for m := range copies {
		same = same && r.copies[m] != 0
	}
	r.copies = copies
	return !same
}

// serves says whether requests can be given to the engine.
func (r *replica) serves() bool { return !r.up.Draining && !r.down }

func (r *replica) clearUse() {
	r.running = 0
	for _, h := range r.held {
		h.running = 0
		for _, a := range h.adapters {
			a.running = 0
		}
	}
}

// adopt takes over a report and says whether the set of models with a copy has changed.
func (r *replica) adopt(rep Report, now time.Time) bool {
	r.known = true
	r.sequence = rep.Sequence
	former := r.held
	r.held = make(map[entity.ModelID]*held, len(rep.Models))
	for _, m := range rep.Models {
		h := former[m.Model]
		if h == nil {
			// The hosts may use it, and have not told this coordinator yet.
			h = &held{model: m.Model, usedAt: now}
		}
		h.version = m.Version
		h.adapters = adoptAdapters(h.adapters, m.Adapters, now)
		r.held[m.Model] = h
	}
	for _, p := range rep.Pending {
		if h := r.held[p.Model]; h != nil && h.adapters[p.Adapter] == nil {
			h.adapters[p.Adapter] = &adapter{readyAt: now.Add(adapterTime), usedAt: now}
		}
	}
	return r.noteCopies(rep.InMemory, rep.OnDisk)
}

func adoptAdapters(former map[entity.AdapterID]*adapter, ids []entity.AdapterID, now time.Time) map[entity.AdapterID]*adapter {
	out := make(map[entity.AdapterID]*adapter, len(ids))
	for _, id := range ids {
		a := former[id]
		if a == nil {
			a = &adapter{usedAt: now}
		}
		a.readyAt = time.Time{}
		a.unloading = false
		out[id] = a
	}
	return out
}

// usable lists what requests may be sent for.
func (r *replica) usable() []fleet.Held {
	out := make([]fleet.Held, 0, len(r.held))
	for _, h := range r.held {
		if h.unloading {
			continue
		}
		m := fleet.Held{Model: h.model, Version: h.version}
		for id, a := range h.adapters {
			if a.readyAt.IsZero() && !a.unloading {
				m.Adapters = append(m.Adapters, id)
			}
		}
		sort.Slice(m.Adapters, func(i, j int) bool { return m.Adapters[i] < m.Adapters[j] })
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// usedMB sums the memory of weights, of what is being loaded, and of the adapter places.
func (r *replica) usedMB(e *catalog.Engine) float64 {
	used := 0.0
	for id := range r.held {
		used += sizeMB(e, id)
	}
	if r.task != nil && r.held[r.task.model] == nil && r.task.stage != stageUnload {
		used += sizeMB(e, r.task.model)
	}
	return used
}

func sizeMB(e *catalog.Engine, id entity.ModelID) float64 {
	if m := e.Models[id]; m != nil {
		return m.SizeMB
	}
	// A model that the configuration no longer lists still occupies memory of an unknown size.
	return e.WeightsMB
}

// adapterReserveMB is the memory that full adapter places need.
func adapterReserveMB(e *catalog.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(e.AdapterPlaces)
}

// adapterCount counts loaded adapters and those that are on their way.
func (r *replica) adapterCount() int {
	n := 0
	for _, h := range r.held {
		n += len(h.adapters)
	}
	return n
}

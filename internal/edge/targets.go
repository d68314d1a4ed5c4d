package edge

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// linkMemory is how long the coordinator's report about the engines is used after its session;
	// afterwards the list says what they hold.
	reportedStateTerm = 3 * time.Second
	// estimateTerm is how long the coordinator's estimates are used.
	maxEstimateAge = 2 * time.Second
	// unknownSwap and unknownLoad are added to the known load times when there is no estimate.
	assumedSwapTime = 600 * time.Millisecond
	assumedLoadTime = 2 * time.Second
	// adapterWait is the time for an adapter of a model that is there, with a coordinator.
	adapterLoadTime = 80 * time.Millisecond
)

// readyEstimate is when the coordinator expects a model to be ready.
type readyEstimate struct{ at time.Time }

// refreshTarget tells the scheduler what is known of an upstream.
func (c *core) refreshTarget(id entity.UpstreamID, now time.Time) {
	u := c.fleet.Get(id)
	if u == nil {
		return
	}
	t := dispatch.Target{
		ID:         u.ID,
		Service:    u.Service,
		Addr:       u.Addr,
		Domain:     u.Domain,
		BornMillis: u.BornMillis,
		Slots:      u.Slots,
		Draining:   u.Draining,
		Held:       make(map[entity.ModelID][]entity.AdapterID),
	}
	t.Source = "list"
	state, reported := c.states[id]
	if reported && state.BornMillis == u.BornMillis && c.reportedStateIsCurrent(now) {
		t.Source = "coordinator"
		for _, h := range state.Held {
			t.Held[h.Model] = h.Adapters
		}
	} else {
		for _, h := range u.Models {
			t.Held[h.Model] = h.Adapters
		}
	}
	c.applyDecisions(c.scheduler.SetTarget(t, now), now)
}

// linkCounts says whether the coordinator's report is newer than the list.
func (c *core) reportedStateIsCurrent(now time.Time) bool {
	return c.hasCoordinator() || now.Sub(c.linkLostAt) < reportedStateTerm
}

// coordinated says whether a coordinator can be asked for anything.
func (c *core) hasCoordinator() bool {
	return c.link != nil && c.linkEstablished || c.coordinator != nil
}

// readyIn estimates when a pool that no upstream serves will have one.
func (c *core) readyIn(p dispatch.Pool, now time.Time) (time.Duration, bool) {
	model := dispatch.Pool{Service: p.Service, Model: p.Model}
	if e, ok := c.estimates[model]; ok && now.Sub(c.estimatesReceivedAt) < maxEstimateAge {
		return max(e.at.Sub(now), 0), true
	}
	return c.readyInFromLoadTimes(p)
}

// guessReadyIn uses the known load times of the model, by where its copies lie.
func (c *core) readyInFromLoadTimes(p dispatch.Pool) (time.Duration, bool) {
	if c.catalog == nil {
		return 0, false
	}
	svc := c.catalog.Service(p.Service)
	if svc == nil || svc.Engine == nil || svc.Engine.Models[p.Model] == nil {
		return time.Hour, true
	}
	m := svc.Engine.Models[p.Model]
	copied := false
	for _, u := range c.fleet.Rows() {
		if u.Service != p.Service || u.Draining || c.scheduler.Leaves(u.ID) {
			continue
		}
		for _, h := range u.Models {
			if h.Model == p.Model && c.hasCoordinator() {
				return adapterLoadTime, true
			}
			if h.Model == p.Model {
				return assumedSwapTime, true
			}
		}
		copied = copied || slices.Contains(u.OnDisk, p.Model) || slices.Contains(u.InMemory, p.Model)
	}
	if copied {
		return m.DiskLoad + assumedSwapTime, true
	}
	return m.StoreLoad + assumedLoadTime, true
}

package edge

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/releases"
)

const (
	// reportedStateTerm is how long the coordinator's report about the engines is used after its session has
	// ended; afterwards the models in the list are used.
	reportedStateTerm = 3 * time.Second
	// maxEstimateAge is how long the coordinator's estimates are used.
	maxEstimateAge = 2 * time.Second
	// assumedSwapTime is added to the time to load a model from the disk of an engine, and assumedLoadTime to
	// the time to load it from the weight store, when there is no estimate of the coordinator. assumedSwapTime
	// is also the assumed time until an engine that has loaded the model serves the pool while there is no
	// coordinator.
	assumedSwapTime = 600 * time.Millisecond
	assumedLoadTime = 2 * time.Second
	// adapterLoadTime is the assumed time to load an adapter of a loaded model while there is a coordinator.
	adapterLoadTime = 80 * time.Millisecond
)

// readyEstimate is the time at which the coordinator expects a model to be ready.
type readyEstimate struct{ at time.Time }

// refreshTarget passes to the scheduler what is known of an upstream.
func (c *core) refreshTarget(id entity.UpstreamID, now time.Time) {
	u := c.fleet.Get(id)
	if u == nil {
		return
	}
	t := dispatch.Target{
		ID:         u.ID,
		Service:    u.Service,
		Addr:       u.Addr,
		Release:    u.Release,
		Domain:     u.Domain,
		BornMillis: u.BornMillis,
		Slots:      u.Slots,
		Draining:   u.Draining,

		NoStreamsBegin: !c.mayBegin(releases.ServiceRelease{Service: u.Service, Release: u.Release}),
		LoadedModels:   make(map[entity.ModelID][]entity.AdapterID),
	}
	t.Source = "list"
	state, reported := c.states[id]
	if reported && state.BornMillis == u.BornMillis && c.reportedStateIsCurrent(now) {
		t.Source = "coordinator"
		for _, h := range state.LoadedModels {
			t.LoadedModels[h.Model] = h.Adapters
		}
	} else {
		for _, h := range u.Models {
			t.LoadedModels[h.Model] = h.Adapters
		}
	}
	c.applyDecisions(c.scheduler.SetTarget(t, now), now)
}

// reportedStateIsCurrent reports whether the coordinator's report about the engines takes precedence over the
// list.
func (c *core) reportedStateIsCurrent(now time.Time) bool {
	return c.hasCoordinator() || now.Sub(c.linkLostAt) < reportedStateTerm
}

// hasCoordinator reports whether this host has an established session with the coordinator or is the
// coordinator itself.
func (c *core) hasCoordinator() bool {
	return c.link != nil && c.linkEstablished || c.coordinator != nil
}

// readyIn estimates the time until an upstream serves a pool that none serves now. It returns false if there
// is no estimate.
func (c *core) readyIn(p dispatch.Pool, now time.Time) (time.Duration, bool) {
	model := dispatch.Pool{Service: p.Service, Model: p.Model, Release: p.Release}
	if e, ok := c.estimates[model]; ok && now.Sub(c.estimatesReceivedAt) < maxEstimateAge {
		return max(e.at.Sub(now), 0), true
	}
	if p.Release != "" && c.hasCoordinator() {
		// The coordinator loads the model first for streams that have begun, so load times alone say too little.
		return 0, false
	}
	return c.readyInFromLoadTimes(p)
}

// readyInFromLoadTimes estimates the time until an upstream serves a pool, from the known load times of the
// model and the places of its copies. It returns an hour for a model that is not configured, and false without a
// configuration.
func (c *core) readyInFromLoadTimes(p dispatch.Pool) (time.Duration, bool) {
	if c.catalog == nil {
		return 0, false
	}
	svc := c.catalog.Service(p.Service)
	if svc == nil || svc.Engine == nil || svc.Engine.Models[p.Model] == nil {
		return time.Hour, true
	}
	m := svc.Engine.Models[p.Model]
	hasCopy := false
	for _, u := range c.fleet.Rows() {
		if u.Service != p.Service || u.Draining || c.scheduler.IsDraining(u.ID) || p.Release != "" && u.Release != p.Release {
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
		hasCopy = hasCopy || slices.Contains(u.OnDisk, p.Model) || slices.Contains(u.InMemory, p.Model)
	}
	if hasCopy {
		return m.DiskLoad + assumedSwapTime, true
	}
	return m.StoreLoad + assumedLoadTime, true
}

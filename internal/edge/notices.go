package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// minBackOffToAvoid is the remaining back-off from which the coordinator loads nothing at an engine, and
	// minBackOffHosts the number of hosts that must report it; a single host may have sent too much itself.
	minBackOffToAvoid = time.Second
	minBackOffHosts   = 2
	// statusReportAge is how long the coordinator uses the back-offs in the report of a host.
	statusReportAge = 2 * time.Second
)

// statusTable is the coordinator's knowledge of what upstreams have reported of themselves to the hosts.
type statusTable struct {
	// draining holds the start times of the upstreams that have reported that they are shutting down. version rises
	// with every addition.
	draining map[entity.UpstreamID]int64
	version  uint64
	// backOffs holds the reported back-offs by host.
	backOffs map[entity.HostID]reportedBackOffs
}

// reportedBackOffs are the upstreams that want no requests of one host until the given times.
type reportedBackOffs struct {
	receivedAt time.Time
	until      map[entity.UpstreamID]time.Time
}

func newStatusTable() statusTable {
	return statusTable{draining: make(map[entity.UpstreamID]int64), backOffs: make(map[entity.HostID]reportedBackOffs)}
}

// record processes the statuses in the report of a host.
func (t *statusTable) record(host entity.HostID, statuses []wire.UpstreamStatus, now time.Time) {
	until := make(map[entity.UpstreamID]time.Time)
	for _, st := range statuses {
		if st.Draining && t.draining[st.Upstream] < st.BornMillis {
			t.draining[st.Upstream] = st.BornMillis
			t.version++
		}
		if st.BackOff >= minBackOffToAvoid {
			until[st.Upstream] = now.Add(st.BackOff)
		}
	}
	if len(until) == 0 {
		delete(t.backOffs, host)
		return
	}
	t.backOffs[host] = reportedBackOffs{receivedAt: now, until: until}
}

// drainingRefs returns the upstreams that have reported that they are shutting down.
func (t *statusTable) drainingRefs() []wire.UpstreamRef {
	out := make([]wire.UpstreamRef, 0, len(t.draining))
	for _, id := range slices.Sorted(maps.Keys(t.draining)) {
		out = append(out, wire.UpstreamRef{Upstream: id, BornMillis: t.draining[id]})
	}
	return out
}

// removeUnlisted removes the upstreams that are not listed, or only as a later incarnation.
func (t *statusTable) removeUnlisted(born func(entity.UpstreamID) (int64, bool)) {
	maps.DeleteFunc(t.draining, func(id entity.UpstreamID, bornMillis int64) bool {
		listed, ok := born(id)
		return !ok || listed != bornMillis
	})
}

// avoided returns the engines at which the coordinator loads nothing: those that are shutting down, and those that
// want no requests of several hosts for a while. If there is only one host, its report suffices.
func (t *statusTable) avoided(hosts int, now time.Time) map[entity.UpstreamID]bool {
	out := make(map[entity.UpstreamID]bool)
	for id := range t.draining {
		out[id] = true
	}
	counts := make(map[entity.UpstreamID]int)
	for host, reported := range t.backOffs {
		if now.Sub(reported.receivedAt) > statusReportAge {
			delete(t.backOffs, host)
			continue
		}
		for id, until := range reported.until {
			if until.After(now) {
				counts[id]++
			}
		}
	}
	for id, n := range counts {
		if n >= min(minBackOffHosts, hosts) {
			out[id] = true
		}
	}
	return out
}

// reportedStatuses returns what upstreams have reported of themselves to this host, for its report.
func reportedStatuses(own []dispatch.OwnStatus) []wire.UpstreamStatus {
	var out []wire.UpstreamStatus
	for _, st := range own {
		out = append(out, wire.UpstreamStatus{
			UpstreamRef: wire.UpstreamRef{Upstream: st.Upstream, BornMillis: st.BornMillis},
			Draining:    st.Draining,
			BackOff:     st.BackOff,
		})
	}
	return out
}

// listedBorn returns the start time of a listed upstream.
func (c *core) listedBorn(id entity.UpstreamID) (int64, bool) {
	if u := c.fleet.Get(id); u != nil {
		return u.BornMillis, true
	}
	return 0, false
}

// noticesReceived applies the coordinator's message about what upstreams have reported to other hosts. The first one of
// a session shows that the coordinator keeps request limits.
func (c *core) noticesReceived(m *wire.UpstreamNotices, now time.Time) {
	c.setLimitsCoordinated(c.hasCoordinator(), now)
	c.requestLimits.Apply(m, now)
	c.logLimitChanges(now)
	if c.speeds != nil && c.coordinator == nil {
		c.speeds.Adopt(m, now)
		c.linkSendsSpeeds = c.linkSendsSpeeds || len(m.Speeds) > 0
	}
	for _, ref := range m.Draining {
		if c.scheduler.AvoidDraining(ref.Upstream, ref.BornMillis) {
			c.log.Info("Upstream says to another host that it leaves.", "upstream", ref.Upstream)
		}
	}
}

// publishNotices sends all hosts what upstreams have reported of themselves, if that has changed.
func (c *core) publishNotices(now time.Time) {
	coord := c.coordinator
	version := coord.limits.Version() + coord.statuses.version
	if version == coord.noticesVersion || now.Sub(coord.noticesPublishedAt) < noticesInterval {
		return
	}
	coord.noticesVersion = version
	coord.noticesPublishedAt = now
	m := c.allNotices()
	for _, h := range coord.hosts {
		c.sendNotices(h, m, now)
	}
}

// allNotices returns all that the coordinator knows of what upstreams have reported of themselves.
func (c *core) allNotices() *wire.UpstreamNotices {
	return &wire.UpstreamNotices{Draining: c.coordinator.statuses.drainingRefs(), Limits: c.coordinator.limits.Limits()}
}

// sendNotices sends one host a message about what upstreams have reported of themselves.
func (c *core) sendNotices(h *hostSession, m *wire.UpstreamNotices, now time.Time) {
	if h.session == nil {
		c.noticesReceived(m, now)
		return
	}
	if err := h.session.Send(m); err != nil {
		c.log.Debug("Message not sent.", "host", h.host, "err", err)
	}
}

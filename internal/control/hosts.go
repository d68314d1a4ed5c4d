package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// applyHostRecord updates the table of hosts and reports whether it has changed.
func (c *Core) applyHostRecord(ch KeyChange) bool {
	id := entity.HostID(ch.Key[len(config.HostsPrefix):])
	if ch.Pair == nil {
		delete(c.hosts, id)
		return true
	}
	var rec config.HostRecord
	if err := json.Unmarshal(ch.Pair.Value, &rec); err != nil {
		c.reportInvalidRecord(ch.Key, err)
		return false
	}
	rec.ID = id
	c.hosts[id] = rec
	return true
}

// updateHosts passes the current hosts to the throttler and the placer.
func (c *Core) updateHosts(now time.Time) {
	records := make([]config.HostRecord, 0, len(c.hosts))
	for _, h := range c.hosts {
		records = append(records, h)
	}
	c.throttler.HandleHosts(records, now)
	c.placer.HandleHosts(records, c.canDecide, now)
}

// setServiceReachable records whether a host can reach the key-value service, and informs the throttler and the
// placer if that has changed.
func (c *Core) setServiceReachable(id entity.HostID, reachable bool, now time.Time) {
	if c.serviceUnreachable[id] != reachable {
		// The recorded state already says the same.
		return
	}
	if reachable {
		delete(c.serviceUnreachable, id)
	} else {
		c.serviceUnreachable[id] = true
	}
	c.updateHosts(now)
}

// canDecide reports whether a host can be the placement decider: it is this host or a linked one, and it can
// reach the key-value service. If none of these hosts can reach the service, the second condition is ignored.
func (c *Core) canDecide(id entity.HostID) bool {
	if !c.isLinked(id) {
		return false
	}
	if !c.serviceUnreachable[id] {
		return true
	}
	for other := range c.hosts {
		if c.isLinked(other) && !c.serviceUnreachable[other] {
			return false
		}
	}
	return true
}

// isLinked reports whether this host has a link to the incarnation under which the other host is registered.
// This host counts as linked to itself.
func (c *Core) isLinked(id entity.HostID) bool {
	if id == c.opts.Self {
		return true
	}
	inc, ok := c.linked[id]
	return ok && inc == c.hosts[id].Incarnation
}

// applyTerminatedHost handles the record with which an operator confirms that one process of a host has ended:
// it passes the host and the incarnation to the placer. The key ends with "host/incarnation".
func (c *Core) applyTerminatedHost(key string, now time.Time) {
	host, inc, ok := strings.Cut(key[len(config.TerminatedHostsPrefix):], "/")
	if ok {
		c.placer.ConfirmProcessEnded(entity.HostID(host), entity.Incarnation(inc), now)
	}
}

func (c *Core) handlePeerLink(e PeerLink, now time.Time) {
	if e.Up {
		c.linked[e.Host] = e.Incarnation
	} else if c.linked[e.Host] == e.Incarnation {
		delete(c.linked, e.Host)
	}
	c.updateHosts(now)
}

// handleHeartbeat records the content of a heartbeat and acknowledges it, unless this host has fenced the sender,
// which means that it has promised another host not to acknowledge the sender again. While the sender cannot renew
// its lease, the acknowledgements of its witnesses let it continue to use its shares; see package limits.
func (c *Core) handleHeartbeat(e HeartbeatReceived, now time.Time) {
	c.throttler.HandlePeerLevels(e.From, e.Heartbeat.Levels, now)
	c.setServiceReachable(e.From, e.Heartbeat.ServiceReachable, now)
	if c.throttler.AllowHeartbeatAnswer(e.Incarnation, now) {
		e.Acknowledge()
	}
}

// handlePeerMessage passes a message of another host to the subsystem that handles it. A Reports message holds
// complete states of upstreams, a Loads message only their numbers of requests.
// handlePeerMessage passes a message of another host to the subsystem that handles it. A Reports message holds
// complete states of upstreams, a Loads message only their numbers of requests.
// handlePeerMessage passes a message of another host to the subsystem that handles it. A Reports message holds
// complete states of upstreams, a Loads message only their numbers of requests.
func (c *Core) handlePeerMessage(e PeerMessage, now time.Time) {
	switch m := e.Message.(type) {
	case *wire.LoanRequest, *wire.LoanGrant, *wire.LoanReturn, *wire.FenceRequest, *wire.FenceGrant:
		c.executeCommands(subsystemLimits, c.throttler.HandleMessage(e.From, e.Incarnation, m, now), now)
	case *wire.Demand:
		c.placer.HandleDemand(e.From, *m, now)
	case *wire.Reports:
		for i := range m.Reports {
			c.handleReport(&m.Reports[i], e.ReceivedAt, now)
		}
	case *wire.Loads:
		for _, l := range m.Loads {
			c.executeCommands(subsystemPlacement, c.scheduler.HandleReportedLoad(l, now), now)
		}
	}
}

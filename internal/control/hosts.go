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

// setServiceAccess records whether a host can reach the key-value service.
func (c *Core) setServiceAccess(id entity.HostID, hasAccess bool, now time.Time) {
	if c.withoutService[id] != hasAccess {
		return
	}
	if hasAccess {
		delete(c.withoutService, id)
	} else {
		c.withoutService[id] = true
	}
	c.updateHosts(now)
}

// canDecide reports whether a host can be the placement decider: this host has a link to it, and it can
// reach the key-value service. If no reachable host can reach the service, the second condition is ignored.
func (c *Core) canDecide(id entity.HostID) bool {
	if !c.reachable(id) {
		return false
	}
	if !c.withoutService[id] {
		return true
	}
	for other := range c.hosts {
		if c.reachable(other) && !c.withoutService[other] {
			return false
		}
	}
	return true
}

// reachable reports whether this host has a link to the registered incarnation of a host.
func (c *Core) reachable(id entity.HostID) bool {
	if id == c.opts.Self {
		return true
	}
	inc, ok := c.linked[id]
	return ok && inc == c.hosts[id].Incarnation
}

// applyTerminatedHost passes an incarnation whose end an operator has confirmed to the placer. The key ends
// with "host/incarnation".
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

// handleHeartbeat records the content of a heartbeat and acknowledges it, unless the sender has been fenced.
// The sender counts an acknowledging host as its witness.
func (c *Core) handleHeartbeat(e HeartbeatReceived, now time.Time) {
	c.throttler.HandlePeerLevels(e.From, e.Heartbeat.Levels, now)
	c.setServiceAccess(e.From, e.Heartbeat.ServiceReachable, now)
	if c.throttler.AllowHeartbeatAnswer(e.Incarnation, now) {
		e.Acknowledge()
	}
}

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
			c.executeCommands(subsystemPlacement, c.scheduler.HandleLoad(l, now), now)
		}
	}
}

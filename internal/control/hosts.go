package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

func (c *Core) hostChanged(ch KeyChange) bool {
	id := entity.HostID(ch.Key[len(config.HostsPrefix):])
	if ch.Pair == nil {
		delete(c.hosts, id)
		return true
	}
	var rec config.HostRecord
	if err := json.Unmarshal(ch.Pair.Value, &rec); err != nil {
		c.invalid(ch.Key, err)
		return false
	}
	rec.ID = id
	c.hosts[id] = rec
	return true
}

func (c *Core) hostsChanged(now time.Time) {
	live := make([]config.HostRecord, 0, len(c.hosts))
	for _, h := range c.hosts {
		live = append(live, h)
	}
	c.throttler.HandleHosts(live, now)
	c.placer.HandleHosts(live, c.canDecide, now)
}

// setServed notes whether a host reaches the key-value service.
func (c *Core) setServed(id entity.HostID, served bool, now time.Time) {
	if c.unserved[id] != served {
		return
	}
	if served {
		delete(c.unserved, id)
	} else {
		c.unserved[id] = true
	}
	c.hostsChanged(now)
}

// canDecide says whether a host can be expected to decide about placement: this host has a link
// to it and it reaches the key-value service. When the service is down for all, it does not count.
func (c *Core) canDecide(id entity.HostID) bool {
	if !c.reachable(id) {
		return false
	}
	if !c.unserved[id] {
		return true
	}
	for other := range c.hosts {
		if c.reachable(other) && !c.unserved[other] {
			return false
		}
	}
	return true
}

// reachable says whether this host has a link to the registered incarnation of a host.
func (c *Core) reachable(id entity.HostID) bool {
	if id == c.opts.Self {
		return true
	}
	inc, ok := c.linked[id]
	return ok && inc == c.hosts[id].Incarnation
}

func (c *Core) hostGone(key string, now time.Time) {
	host, inc, ok := strings.Cut(key[len(config.GonePrefix):], "/")
	if ok {
		c.placer.HandleGone(entity.HostID(host), entity.Incarnation(inc), now)
	}
}

func (c *Core) peerLink(e PeerLink, now time.Time) {
	if e.Up {
		c.linked[e.Host] = e.Incarnation
	} else if c.linked[e.Host] == e.Incarnation {
		delete(c.linked, e.Host)
	}
	c.hostsChanged(now)
}

// heartbeat lets a host count this one as its witness, unless it has been fenced.
func (c *Core) heartbeat(e HeartbeatReceived, now time.Time) {
	c.throttler.HandlePeerLevels(e.From, e.Heartbeat.Levels, now)
	c.setServed(e.From, e.Heartbeat.ServiceReachable, now)
	if c.throttler.AnswerHeartbeat(e.Incarnation, now) {
		e.Acknowledge()
	}
}

func (c *Core) peerMessage(e PeerMessage, now time.Time) {
	switch m := e.Message.(type) {
	case *wire.LoanAsk, *wire.LoanGrant, *wire.LoanReturn, *wire.FenceRequest, *wire.FenceGrant:
		c.run(systemLimits, c.throttler.HandleMessage(e.From, e.Incarnation, m, now), now)
	case *wire.Demand:
		c.placer.HandleDemand(e.From, *m, now)
	case *wire.Reports:
		for i := range m.Reports {
			c.report(&m.Reports[i], e.ReceivedAt, now)
		}
	case *wire.Loads:
		for _, l := range m.Loads {
			c.run(systemPlacement, c.scheduler.HandleLoad(l, now), now)
		}
	}
}

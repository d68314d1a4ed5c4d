package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
)

func (c *Core) siteChanged(site *config.Site, now time.Time) {
	c.site = site
	c.throttler.HandleSite(site, now)
	for ws := range site.Workspaces {
		if !c.shared[ws] {
			c.run(systemLimits, c.throttler.HandleRecord(ws, nil, now), now)
		}
	}
	c.placer.HandleSite(site, now)
	c.run(systemPlacement, c.scheduler.SetSite(site, now), now)
	for kind := range c.plainKinds() {
		c.refreshPlain(kind, now)
	}
	for pool := range c.pools {
		c.pools[pool] = 0
	}
}

// plainKinds returns the kinds of plain services that routes name.
func (c *Core) plainKinds() map[string]bool {
	kinds := make(map[string]bool)
	if c.site == nil {
		return kinds
	}
	for _, r := range c.site.Routes {
		kinds[r.UpstreamKind] = true
	}
	return kinds
}

func (c *Core) refreshPlain(kind string, now time.Time) {
	var targets []schedule.Target
	for id, u := range c.upstreams {
		if u.Kind == kind && u.State == config.UpstreamLive {
			targets = append(targets, schedule.Target{Upstream: id, Slots: plainSlots})
		}
	}
	c.run(systemPlacement, c.scheduler.SetTargets(schedule.PoolID{Kind: kind}, targets, now), now)
}

func withdrawnRefusal() entity.Refusal {
	return entity.Refusal{Status: 401, Code: "key_withdrawn", Message: "The key has been withdrawn."}
}

// keysWithdrawn ends every request that came with one of the keys.
func (c *Core) keysWithdrawn(keys map[entity.KeyID]bool, now time.Time) {
	for key, until := range c.withdrawn {
		if now.After(until) {
			delete(c.withdrawn, key)
		}
	}
	for key := range keys {
		c.withdrawn[key] = now.Add(withdrawnMemory)
	}
	c.refuseUnscheduled(func(r *schedule.Request) bool { return keys[r.Key] }, withdrawnRefusal(), now)
	c.run(systemPlacement, c.scheduler.RefuseKeys(keys), now)
}

// viewStale ends every request that came with a key: the key may have been withdrawn, and a
// withdrawn key must stop within 3 s also for a caller who is connected already.
func (c *Core) viewStale(now time.Time) {
	refusal := entity.Refusal{Status: 503, Code: "stale_configuration", Message: "This host cannot confirm that its keys are current.", RetryAfter: time.Second}
	c.refuseUnscheduled(func(r *schedule.Request) bool { return r.Key != "" }, refusal, now)
	c.run(systemPlacement, c.scheduler.RefuseKeyed(refusal), now)
}

// refuseUnscheduled ends requests that wait for tokens or for their claim.
func (c *Core) refuseUnscheduled(match func(*schedule.Request) bool, refusal entity.Refusal, now time.Time) {
	for id, r := range c.requests {
		if r.phase == phaseScheduled || !match(r.row) {
			continue
		}
		var commands []command.Command
		if r.phase == phaseAdmitting {
			commands = c.throttler.Cancel(id, now)
		}
		c.refuse(id, refusal, now)
		c.run(systemLimits, commands, now)
	}
}

// viewChanged hands changed records to the systems that they belong to. Hosts come first: the
// records may name hosts that are new in the same change.
func (c *Core) viewChanged(changes []KeyChange, now time.Time) {
	hosts := false
	for _, ch := range changes {
		switch {
		case strings.HasPrefix(ch.Key, config.HostsPrefix):
			hosts = c.hostChanged(ch) || hosts
		case strings.HasPrefix(ch.Key, config.GonePrefix):
			c.hostGone(ch.Key, now)
		}
	}
	if hosts {
		c.hostsChanged(now)
	}
	for _, ch := range changes {
		c.recordChanged(ch, now)
	}
}

func (c *Core) recordChanged(ch KeyChange, now time.Time) {
	switch {
	case strings.HasPrefix(ch.Key, config.LimitsPrefix):
		ws := entity.WorkspaceID(ch.Key[len(config.LimitsPrefix):])
		c.shared[ws] = ch.Pair != nil
		c.run(systemLimits, c.throttler.HandleRecord(ws, ch.Pair, now), now)
	case strings.HasPrefix(ch.Key, config.PlaceModels), strings.HasPrefix(ch.Key, config.PlaceUpstreams):
		c.placer.HandleRecord(ch.Key, ch.Pair, now)
	case strings.HasPrefix(ch.Key, config.UpstreamsPrefix):
		c.upstreamChanged(ch, now)
	}
}

func (c *Core) invalid(key string, err error) {
	if c.opts.OnInvalidRecord != nil {
		c.opts.OnInvalidRecord(key, err)
	}
}

func (c *Core) upstreamChanged(ch KeyChange, now time.Time) {
	id := entity.UpstreamID(ch.Key[len(config.UpstreamsPrefix):])
	former := c.upstreams[id]
	if ch.Pair == nil {
		delete(c.upstreams, id)
		c.placer.HandleUpstreams(nil, []entity.UpstreamID{id}, now)
		c.refreshKind(former.Kind, now)
		return
	}
	var rec config.UpstreamRecord
	if err := json.Unmarshal(ch.Pair.Value, &rec); err != nil {
		c.invalid(ch.Key, err)
		return
	}
	rec.ID = id
	c.upstreams[id] = rec
	c.placer.HandleUpstreams([]config.UpstreamRecord{rec}, nil, now)
	c.refreshKind(rec.Kind, now)
	if former.Kind != rec.Kind {
		c.refreshKind(former.Kind, now)
	}
}

func (c *Core) refreshKind(kind string, now time.Time) {
	if c.plainKinds()[kind] {
		c.refreshPlain(kind, now)
	}
}

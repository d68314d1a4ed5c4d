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

// handleSiteChanged passes a new configuration to the subsystems. A workspace without a share record is
// passed to the throttler with a nil record, because no change of the view will report that the record is absent.
// The targets of all pools are computed again.
func (c *Core) handleSiteChanged(site *config.Site, now time.Time) {
	c.site = site
	c.throttler.HandleSite(site, now)
	for ws := range site.Workspaces {
		if !c.hasShareRecord[ws] {
			c.executeCommands(subsystemLimits, c.throttler.HandleRecord(ws, nil, now), now)
		}
	}
	c.placer.HandleSite(site, now)
	c.executeCommands(subsystemPlacement, c.scheduler.SetSite(site, now), now)
	for kind := range c.plainKinds() {
		c.setPlainTargets(kind, now)
	}
	for pool := range c.pools {
		c.pools[pool] = 0
	}
}

// plainKinds returns the kinds of plain services that are named by routes.
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

// setPlainTargets makes the live services of a kind the targets of its pool.
func (c *Core) setPlainTargets(kind string, now time.Time) {
	var targets []schedule.Target
	for id, u := range c.upstreams {
		if u.Kind == kind && u.State == config.UpstreamLive {
			targets = append(targets, schedule.Target{Upstream: id, Slots: plainSlots})
		}
	}
	c.executeCommands(subsystemPlacement, c.scheduler.SetTargets(schedule.PoolID{Kind: kind}, targets, now), now)
}

func withdrawnRefusal() entity.Refusal {
	return entity.Refusal{Status: 401, Code: "key_withdrawn", Message: "The key has been withdrawn."}
}

// handleKeysWithdrawn ends every request that came with one of the keys, and remembers the keys for
// withdrawnRetention.
func (c *Core) handleKeysWithdrawn(keys map[entity.KeyID]bool, now time.Time) {
	for key, until := range c.withdrawn {
		if now.After(until) {
			delete(c.withdrawn, key)
		}
	}
	for key := range keys {
		c.withdrawn[key] = now.Add(withdrawnRetention)
	}
	c.refuseUnscheduled(func(r *schedule.Request) bool { return keys[r.Key] }, withdrawnRefusal(), now)
	c.executeCommands(subsystemPlacement, c.scheduler.RefuseKeys(keys), now)
}

// handleViewStale ends every request that came with a key, because the key may have been withdrawn. The requests
// of a withdrawn key must end within 3 s of the withdrawal, even if they are already running.
func (c *Core) handleViewStale(now time.Time) {
	refusal := entity.Refusal{Status: 503, Code: "stale_configuration", Message: "This host cannot confirm that its keys are current.", RetryAfter: time.Second}
	c.refuseUnscheduled(func(r *schedule.Request) bool { return r.Key != "" }, refusal, now)
	c.executeCommands(subsystemPlacement, c.scheduler.RefuseAllWithKey(refusal), now)
}

// refuseUnscheduled refuses the matching requests that wait for tokens or for their idempotency claim.
func (c *Core) refuseUnscheduled(match func(*schedule.Request) bool, refusal entity.Refusal, now time.Time) {
	for id, r := range c.requests {
		if r.phase == phaseScheduled || !match(r.spec) {
			continue
		}
		var commands []command.Command
		if r.phase == phaseAdmitting {
			commands = c.throttler.Cancel(id, now)
		}
		c.refuse(id, refusal, now)
		c.executeCommands(subsystemLimits, commands, now)
	}
}

// handleViewChanged passes changed records to their subsystems. Host records are processed first, because other
// records of the same change may name new hosts.
func (c *Core) handleViewChanged(changes []KeyChange, now time.Time) {
	hostsChanged := false
	for _, ch := range changes {
		switch {
		case strings.HasPrefix(ch.Key, config.HostsPrefix):
			hostsChanged = c.applyHostRecord(ch) || hostsChanged
		case strings.HasPrefix(ch.Key, config.TerminatedHostsPrefix):
			c.applyTerminatedHost(ch.Key, now)
		}
	}
	if hostsChanged {
		c.updateHosts(now)
	}
	for _, ch := range changes {
		c.applyRecord(ch, now)
	}
}

// applyRecord passes a share record, a placement record or an upstream record to its subsystem, and ignores other
// keys.
// applyRecord passes a share record, a placement record or an upstream record to its subsystem, and ignores other
// keys.
// applyRecord passes a share record, a placement record or an upstream record to its subsystem, and ignores other
// keys.
func (c *Core) applyRecord(ch KeyChange, now time.Time) {
	switch {
	case strings.HasPrefix(ch.Key, config.LimitsPrefix):
		ws := entity.WorkspaceID(ch.Key[len(config.LimitsPrefix):])
		c.hasShareRecord[ws] = ch.Pair != nil
		c.executeCommands(subsystemLimits, c.throttler.HandleRecord(ws, ch.Pair, now), now)
	case strings.HasPrefix(ch.Key, config.PlacementModelsPrefix), strings.HasPrefix(ch.Key, config.PlacementUpstreamsPrefix):
		c.placer.HandleRecord(ch.Key, ch.Pair, now)
	case strings.HasPrefix(ch.Key, config.UpstreamsPrefix):
		c.applyUpstreamRecord(ch, now)
	}
}

func (c *Core) reportInvalidRecord(key string, err error) {
	if c.opts.OnInvalidRecord != nil {
		c.opts.OnInvalidRecord(key, err)
	}
}

func (c *Core) applyUpstreamRecord(ch KeyChange, now time.Time) {
	id := entity.UpstreamID(ch.Key[len(config.UpstreamsPrefix):])
	former := c.upstreams[id]
	if ch.Pair == nil {
		delete(c.upstreams, id)
		c.placer.HandleUpstreams(nil, []entity.UpstreamID{id}, now)
		c.refreshPlainKind(former.Kind, now)
		return
	}
	var rec config.UpstreamRecord
	if err := json.Unmarshal(ch.Pair.Value, &rec); err != nil {
		c.reportInvalidRecord(ch.Key, err)
		return
	}
	rec.ID = id
	c.upstreams[id] = rec
	c.placer.HandleUpstreams([]config.UpstreamRecord{rec}, nil, now)
	c.refreshPlainKind(rec.Kind, now)
	if former.Kind != rec.Kind {
		c.refreshPlainKind(former.Kind, now)
	}
}

// refreshPlainKind computes the targets of a kind of plain service again if a route uses the kind.
func (c *Core) refreshPlainKind(kind string, now time.Time) {
	if c.plainKinds()[kind] {
		c.setPlainTargets(kind, now)
	}
}

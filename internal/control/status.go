package control

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Addr returns the address of an upstream, or the empty string if the upstream is not listed.
func (c *Core) Addr(id entity.UpstreamID) string { return c.upstreams[id].Addr }

// Levels returns the token levels of the workspaces, which are sent in heartbeats.
func (c *Core) Levels(now time.Time) []wire.WorkspaceLevel { return c.throttler.Levels(now) }

// Released reports whether all shares have been released after Stopping.
func (c *Core) Released() bool { return c.throttler.Released() }

// HasShares reports whether this host holds a usable share of the limit of every workspace with a positive rate.
// It then can admit requests without borrowing tokens from other hosts.
func (c *Core) HasShares(now time.Time) bool {
	for _, a := range c.throttler.Status(now) {
		if a.Rate > 0 && (a.Units == 0 || !a.Usable) {
			return false
		}
	}
	return true
}

// RequestCount returns the number of requests without a final answer.
func (c *Core) RequestCount() int { return len(c.requests) }

// Status describes the control state for operators.
type Status struct {
	Requests  int                                  `json:"requests"`
	Scheduler schedule.Status                      `json:"scheduler"`
	Limits    []limits.AccountStatus               `json:"limits"`
	Placement placement.Status                     `json:"placement"`
	Hosts     map[entity.HostID]HostStatus         `json:"hosts"`
	Upstreams map[entity.UpstreamID]UpstreamStatus `json:"upstreams"`
}

// HostStatus describes a registered host, and whether this host has a link to it.
type HostStatus struct {
	Incarnation entity.Incarnation `json:"incarnation"`
	State       string             `json:"state"`
	Linked      bool               `json:"linked"`
}

// UpstreamStatus describes an upstream as its record in the key-value service does.
type UpstreamStatus struct {
	Kind  string `json:"kind"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

// Status returns a description of the control state for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Requests:  len(c.requests),
		Scheduler: c.scheduler.Status(),
		Limits:    c.throttler.Status(now),
		Placement: c.placer.Status(),
		Hosts:     make(map[entity.HostID]HostStatus),
		Upstreams: make(map[entity.UpstreamID]UpstreamStatus),
	}
	for id, h := range c.hosts {
		s.Hosts[id] = HostStatus{Incarnation: h.Incarnation, State: h.State, Linked: c.isLinked(id)}
	}
	for id, u := range c.upstreams {
		s.Upstreams[id] = UpstreamStatus{Kind: u.Kind, Addr: u.Addr, State: u.State}
	}
	return s
}

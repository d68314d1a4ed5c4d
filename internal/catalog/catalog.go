// Package catalog holds the configuration of a site at one version: the routes, the services behind them, the
// models of the engines, and the workspaces with their keys. A Catalog is immutable and safe for concurrent
// use.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// ServiceID identifies a set of interchangeable upstreams.
type ServiceID string

// RouteKind determines whether the requests of a route may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Streaming requests are answered by a stream of events. They run at most once, unless the route is
	// resumable.
	Streaming
)

// String returns the log value of the kind.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Route is one entry of the routing table.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum wait of a request.
	Timeout time.Duration
	// TargetLatency is the time within which the answer, or the first event of a stream, should arrive. The site
	// is rated by its answers: one that arrives in time counts in full, a later one counts for less.
	TargetLatency time.Duration
	// TargetInterval is the time between two events of a stream that should not be exceeded, zero if none is stated.
	TargetInterval time.Duration
	// MaxFirstEventWait is the maximum wait of callers for the first event of a stream. Zero means that they
	// wait until their deadline.
	MaxFirstEventWait time.Duration
	// Priority ranks the requests of the route; 0 is the most urgent.
	Priority int
	// Split divides the requests of the route among services.
	Split []WeightedService
	// MaxAttempts limits how many attempts of one request may have run. Attempts that certainly did not run are
	// not counted.
	MaxAttempts int
	// NoKeyRequired is set if requests of the route need no key.
	NoKeyRequired bool
	// Resumable is set if an interrupted stream may continue at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service with its share of a route's requests. The share is Weight divided by the sum of
// all weights of the route.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID ServiceID
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one replica runs at once.
	Slots int
	// WeightsMB is the memory capacity of one replica for weights and adapters, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapter slots of one replica.
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store that all replicas together may start per second.
	LoadsPerSecond float64
	Models         map[entity.ModelID]*Model
}

// Model is a model that the engines of a service can load.
type Model struct {
	ID     entity.ModelID
	SizeMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times to load the weights from the weight store, from the disk
	// and from the memory of the upstream.
	StoreLoad  time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	// AdapterMB is the size of one adapter in megabytes, Adapters the number of adapters.
	AdapterMB float64
	Adapters  int
}

// Workspace is a workspace with its limits, which apply to all hosts together.
type Workspace struct {
	ID       entity.WorkspaceID
	Priority int
	// Rate is in tokens per second and Burst in tokens. A Rate of 0 means that the workspace has no limit.
	Rate  float64
	Burst float64
	// DefaultTokens is the number of tokens charged for a request that does not state its own.
	DefaultTokens int
}

// Document is the configuration from which New builds a Catalog.
type Document struct {
	Version    int64
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
	// Keys maps caller keys to workspaces.
	Keys map[string]entity.WorkspaceID
	// HeaderTimeout is the time that callers have for the head of a request, and IdleTimeout that between two requests of a
	// connection; zero is not known.
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration of a site, indexed for lookups.
type Catalog struct {
	Version int64
	// HeaderTimeout and IdleTimeout are those of the document.
	HeaderTimeout, IdleTimeout time.Duration

	services   map[ServiceID]*Service
	workspaces map[entity.WorkspaceID]*Workspace
	keys       map[string]*Workspace
	// byHost holds the routes of each lower-case host name, the longest path prefix first.
	byHost map[string][]*Route
	// routes is the number of routes.
	routes int
	// shortestTarget and longestTarget are the shortest and the longest target latency of streaming routes, zero without any.
	shortestTarget, longestTarget time.Duration
	// resumable holds the services of resumable routes with the longest timeout of these routes.
	resumable map[ServiceID]time.Duration
}

// New returns the catalog of a document. Keys of unknown workspaces are left out.
func New(d Document) *Catalog {
	c := &Catalog{
		Version:       d.Version,
		HeaderTimeout: d.HeaderTimeout,
		IdleTimeout:   d.IdleTimeout,

		services:   make(map[ServiceID]*Service, len(d.Services)),
		workspaces: make(map[entity.WorkspaceID]*Workspace, len(d.Workspaces)),
		keys:       make(map[string]*Workspace, len(d.Keys)),
		byHost:     make(map[string][]*Route),
		routes:     len(d.Routes),
		resumable:  make(map[ServiceID]time.Duration),
	}
	for _, s := range d.Services {
		c.services[s.ID] = s
	}
	for _, w := range d.Workspaces {
		c.workspaces[w.ID] = w
	}
	for key, id := range d.Keys {
		if w := c.workspaces[id]; w != nil {
			c.keys[key] = w
		}
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		if r.Kind == Streaming && r.TargetLatency > 0 {
			if c.shortestTarget == 0 || r.TargetLatency < c.shortestTarget {
				c.shortestTarget = r.TargetLatency
			}
			c.longestTarget = max(c.longestTarget, r.TargetLatency)
		}
		if !r.Resumable {
			continue
		}
		for _, s := range r.Split {
			c.resumable[s.Service] = max(c.resumable[s.Service], r.Timeout)
		}
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return c
}

// Route returns the route with the longest prefix of path under host, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// StreamTargets returns the shortest and the longest target latency of streaming routes, zero without any.
func (c *Catalog) StreamTargets() (shortest, longest time.Duration) {
	return c.shortestTarget, c.longestTarget
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Service returns a service, or nil.
func (c *Catalog) Service(id ServiceID) *Service { return c.services[id] }

// Services returns all services.
func (c *Catalog) Services() map[ServiceID]*Service { return c.services }

// Resumable returns the longest timeout of the resumable routes to a service, zero if they have none. It returns false if
// there is no such route.
func (c *Catalog) Resumable(id ServiceID) (time.Duration, bool) {
	timeout, ok := c.resumable[id]
	return timeout, ok
}

// LongestResumable returns the longest timeout of all resumable routes.
func (c *Catalog) LongestResumable() time.Duration {
	var longest time.Duration
	for _, timeout := range c.resumable {
		longest = max(longest, timeout)
	}
	return longest
}

// Workspace returns a workspace, or nil.
func (c *Catalog) Workspace(id entity.WorkspaceID) *Workspace { return c.workspaces[id] }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() map[entity.WorkspaceID]*Workspace { return c.workspaces }

// RequiresKeys reports whether routes without NoKeyRequired need keys. They do if there are workspaces.
func (c *Catalog) RequiresKeys() bool { return len(c.workspaces) > 0 }

// Key returns the workspace of a key, or nil.
func (c *Catalog) Key(key string) *Workspace { return c.keys[key] }

package host

import (
	"fmt"
	"go.uber.org/dig"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/gateway"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/limits"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
	"github.com/foxtailpass/foxtailpass/internal/view"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// providers returns the constructors of all components. Each component logs with its own prefix.
func (h *Host) providers(s Settings, l *log.Logger, version string) []any {
	return []any{
		func() identity { return identity{host: s.Host, incarnation: entity.NewIncarnation()} },
		func() *eventForwarder { return &eventForwarder{} },
		metrics.New,
		upstream.NewClient,
		newHostTable,
		func() (*kvstore.Client, error) {
			return kvstore.NewClient(kvstore.Options{
				Endpoints: s.Platform.Endpoints,
				Prefix:    s.Platform.Prefix,
				Timeout:   s.Platform.Timeout.Std(),
			})
		},
		func(id identity, kv *kvstore.Client) *view.Manager {
			return view.NewManager(view.Options{
				KV:       kv,
				Self:     id.incarnation,
				OnChange: h.handleViewChanged,
				Logger:   l.WithPrefix("view"),
			})
		},
		func(id identity, events *eventForwarder, v *view.Manager) *heartbeatTracker {
			return newHeartbeatTracker(id.incarnation, v, events.Send)
		},
		func(id identity, events *eventForwarder, heartbeats *heartbeatTracker) (*peer.Manager, error) {
			return peer.NewManager(peer.Options{
				Self:      wire.Hello{Host: id.host, Incarnation: id.incarnation, Prefix: s.Platform.Prefix, Build: version},
				Listen:    s.PeerAddr,
				Source:    s.PeerSource,
				Handler:   h.handlePeerMessage,
				Heartbeat: heartbeats.compose,
				OnUp: func(host entity.HostID, inc entity.Incarnation) {
					events.Send(control.PeerLink{Host: host, Incarnation: inc, Up: true})
				},
				OnDown: func(host entity.HostID, inc entity.Incarnation) {
					events.Send(control.PeerLink{Host: host, Incarnation: inc})
				},
				Logger: l.WithPrefix("peer"),
			})
		},
		func(id identity, kv *kvstore.Client) *claims.Store {
			return claims.New(claims.Options{KV: kv, Host: id.host, Incarnation: id.incarnation, ProcessLiveness: h.processLiveness})
		},
		func(events *eventForwarder, c *upstream.Client, st *claims.Store, m *metrics.Metrics, v *view.Manager) *gateway.Gateway {
			return gateway.New(gateway.Options{
				Control:        events,
				Upstreams:      c,
				Claims:         st,
				IsFresh:        func() bool { return v.IsFresh(time.Now()) },
				Metrics:        m,
				Log:            l.WithPrefix("gateway"),
				MaxConnections: s.MaxConnections,
			})
		},
		func(events *eventForwarder, kv *kvstore.Client, p *peer.Manager, g *gateway.Gateway) (*siteWatcher, error) {
			return newSiteWatcher(s.Site, kv, p, g, l.WithPrefix("config"), events.Send)
		},
		func(id identity, events *eventForwarder, c *upstream.Client, p *peer.Manager) *reporter {
			return newReporter(id.host, s.ReportInterval.Std(), c, p, events.Send)
		},
		func(id identity, p *peer.Manager) *control.Core {
			return newCore(s, id, advertised(s, p), l.WithPrefix("control"))
		},
	}
}

// advertised returns the address at which other hosts reach this one.
func advertised(s Settings, p *peer.Manager) string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return p.Addr().String()
}

// newCore builds the control state with the policies of the settings. Other hosts reach this one at addr.
func newCore(s Settings, id identity, addr string, l *log.Logger) *control.Core {
	return control.NewCore(control.Options{
		Self: id.host,
		Throttler: limits.New(limits.Options{
			Self:        id.host,
			Incarnation: id.incarnation,
			Addr:        addr,
			Rand:        newRand(),
			Policy:      limits.Policy(s.Policies.Limits),
		}),
		Scheduler: func(readyIn func(schedule.PoolID, time.Time) (time.Duration, bool)) *schedule.Scheduler {
			return schedule.New(schedule.Options{
				Queue:    schedule.QueuePolicy(s.Policies.Queue),
				Selector: selector(s.Policies.Replica),
				Rand:     newRand(),
				ReadyIn:  readyIn,
			})
		},
		Placer: placement.New(placement.Options{
			Self:        id.host,
			Incarnation: id.incarnation,
			Rand:        newRand(),
			Policy: placement.Policy{
				RandomUpstream: s.Policies.Placement == "random",
				FIFOLoads:      s.Policies.Placement == "fifo",
				NeverUnload:    s.Policies.Placement == "keep",
				ReplicaPerHost: s.Policies.Placement == "per_host",
			},
		}),
		OnInvalidRecord: func(key string, err error) { l.Error("Record cannot be read.", "key", key, "err", err) },
	})
}

func selector(name string) schedule.Selector {
	if name == "random" {
		return schedule.Random{}
	}
	return schedule.PowerOfTwo{}
}

// components holds the components of a host, as dig builds them.
type components struct {
	dig.In

	Identity   identity
	Forwarder  *eventForwarder
	KV         *kvstore.Client
	Metrics    *metrics.Metrics
	Upstreams  *upstream.Client
	Peers      *peer.Manager
	View       *view.Manager
	Core       *control.Core
	Gateway    *gateway.Gateway
	Claims     *claims.Store
	Sites      *siteWatcher
	Reporter   *reporter
	Heartbeats *heartbeatTracker
	Hosts      *hostTable
}

// assemble stores the components in the host. It then builds the control loop, which needs the components that
// send events, and connects their event forwarder to the loop.
func (h *Host) assemble(p components) error {
	h.identity = p.Identity
	h.kv = p.KV
	h.metrics = p.Metrics
	h.upstreams = p.Upstreams
	h.peers = p.Peers
	h.view = p.View
	h.gateway = p.Gateway
	h.claims = p.Claims
	h.sites = p.Sites
	h.reporter = p.Reporter
	h.heartbeats = p.Heartbeats
	h.hosts = p.Hosts
	h.loop = control.NewLoop(p.Core, &effects{
		kv:        p.KV,
		peers:     p.Peers,
		upstreams: p.Upstreams,
		reporter:  p.Reporter,
		log:       h.log.WithPrefix("control"),
		sendEvent: p.Forwarder.Send,
	})
	p.Forwarder.loop.Store(h.loop)
	h.registrar = newRegistrar(p.KV, h.hostRecord(), h.settings.LeaseTTL.Std(), h.log.WithPrefix("lease"), p.Forwarder.Send)
	h.operator = newOperatorServer(h)
	if err := h.registerMetrics(); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

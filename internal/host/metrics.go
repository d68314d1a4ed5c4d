package host

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailpass/foxtailpass/internal/metrics"
)

// registerMetrics registers the gauges and counters whose values are read when metrics are collected.
func (h *Host) registerMetrics() error {
	single := func(read func() float64) func() []metrics.Observation {
		return func() []metrics.Observation { return []metrics.Observation{{Value: read()}} }
	}
	gauges := []struct {
		name, description string
		read              func() []metrics.Observation
	}{
		{"foxtailpass_config_revision", "Configuration revision in force at this host.",
			single(func() float64 { return float64(h.sites.revision.Load()) })},
		{"foxtailpass_view_revision", "Store revision up to which this host has seen changes.",
			single(func() float64 { r, _ := h.view.ConfirmedRevision(time.Now()); return float64(r) })},
		{"foxtailpass_view_age_seconds", "Time since the view was confirmed to be the newest; -1 means never.", single(h.viewAge)},
		{"foxtailpass_active_requests", "Requests without a final answer.",
			single(func() float64 { return float64(h.gateway.ActiveRequests()) })},
		{"foxtailpass_peer_links", "Links to other hosts that are up.",
			single(func() float64 { return float64(len(h.peers.Links())) })},
	}
	for _, g := range gauges {
		if err := h.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	if err := h.metrics.Counter("foxtailpass_platform_calls", "Calls of the key-value service by kind.", h.platformCalls); err != nil {
		return err
	}
	return h.metrics.Counter("foxtailpass_peer_bytes", "Bytes exchanged with other hosts by direction and kind.", h.peerBytes)
}

func (h *Host) viewAge() float64 {
	_, age := h.view.ConfirmedRevision(time.Now())
	if age < 0 {
		return -1
	}
	return age.Seconds()
}

func (h *Host) platformCalls() []metrics.Observation {
	var out []metrics.Observation
	for kind, n := range h.kv.Counts().Map() {
		out = append(out, metrics.Observation{Value: float64(n), Attributes: []attribute.KeyValue{attribute.String("kind", kind)}})
	}
	return out
}

func (h *Host) peerBytes() []metrics.Observation {
	var out []metrics.Observation
	for _, k := range h.peers.Counters().Kinds() {
		kind := attribute.String("kind", k.Kind.String())
		out = append(out,
			metrics.Observation{Value: float64(k.SentBytes), Attributes: []attribute.KeyValue{attribute.String("direction", "sent"), kind}},
			metrics.Observation{Value: float64(k.ReceivedBytes), Attributes: []attribute.KeyValue{attribute.String("direction", "received"), kind}})
	}
	return out
}

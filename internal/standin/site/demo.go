package site

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
)

// demoBase is the base document of the demo site. It declares the models, the workspaces and the routes.
const demoBase = `{
  "models": {
    "tab-labels": {"bytes": 4000000000, "cold_start_ms": 1500, "max_replicas": 2, "adapters": {"parish": {"bytes": 50000000}}},
    "leak-tests": {"bytes": 6000000000, "cold_start_ms": 1500, "max_replicas": 2}
  },
  "workspaces": {
    "clerks": {"rate_tokens_per_s": 5000, "burst_tokens": 20000, "models": ["*"], "routes": ["*"]},
    "archive": {"rate_tokens_per_s": 500, "burst_tokens": 5000, "models": ["tab-labels"]}
  },
  "routes": {
    "/orders/": {"upstream_kind": "orders", "timeout_ms": 5000},
    "/status/": {"upstream_kind": "status", "idempotent": true, "open": true, "timeout_ms": 2000}
  }
}`

const demoOverlay = `{"limits": {"interactive_deadline_ms": 20000}}`

// Demo returns the options of the demo site: two hosts, two engines, one order service and one
// status service.
func Demo() Options {
	store := engine.NewWeightStore(engine.WeightStoreOptions{})
	o := Options{Hosts: 2, Base: []byte(demoBase), Overlay: []byte(demoOverlay)}
	for _, id := range []entity.UpstreamID{"engine-1", "engine-2"} {
		o.Engines = append(o.Engines, engine.Options{
			ID:              id,
			MemoryBytes:     16e9,
			ChecksFence:     id == "engine-1",
			Store:           store,
			LoadTimes:       engine.LoadTimes{Memory: 200 * time.Millisecond, Disk: 600 * time.Millisecond, Remote: 1500 * time.Millisecond},
			TokenInterval:   5 * time.Millisecond,
			PrefillPerToken: 100 * time.Microsecond,
			ReportLag:       50 * time.Millisecond,
		})
	}
	o.Services = []service.Options{
		{ID: "orders-1", Kind: "orders", WorkTime: 20 * time.Millisecond},
		{ID: "status-1", Kind: "status"},
	}
	return o
}

package edge

import (
	"encoding/json"
	"runtime"
	"slices"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
)

const (
	// operatorTimeout bounds reading a request on the operator port.
	operatorTimeout = 5 * time.Second
	// maxOperatorConnections bounds the connections of the operator port, and maxOperatorBody the bodies of its requests,
	// which need none.
	maxOperatorConnections = 16
	maxOperatorBody        = 4 << 10
)

// Status is the answer of GET /status on the operator port.
type Status struct {
	Host          entity.HostID      `json:"host"`
	Incarnation   entity.Incarnation `json:"incarnation"`
	Version       string             `json:"version"`
	Ready         bool               `json:"ready"`
	Stopping      bool               `json:"stopping"`
	ConfigVersion int64              `json:"config_version"`
	// ViewAgeMillis is the age of this host's view of the key-value service; -1 before the first view.
	ViewAgeMillis  int64         `json:"view_age_ms"`
	Coordinator    entity.HostID `json:"coordinator"`
	Coordinates    bool          `json:"coordinates"`
	ActiveRequests int64         `json:"active_requests"`
	// ScheduledRequests is the number of requests that are queued, run at an upstream or wait for tokens.
	ScheduledRequests int `json:"scheduled_requests"`
	Upstreams         int `json:"upstreams"`
	Hosts             int `json:"hosts"`
}

// newOperatorServer returns the server of metrics and status.
func (h *Host) newOperatorServer() *fasthttp.Server {
	r := router.New()
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(h.opts.Metrics.Handler()))
	r.GET("/status", h.serveStatus)
	r.GET("/quarantine", h.serveQuarantine)
	r.POST("/quarantine/release", h.releaseTrait)
	return &fasthttp.Server{Handler: serveGuarded(r.Handler), NoDefaultServerHeader: true, ReadTimeout: operatorTimeout, ReadBufferSize: 4 << 10,
		MaxRequestBodySize: maxOperatorBody, DisablePreParseMultipartForm: true, Concurrency: 4 * maxOperatorConnections, Logger: debugLogger{h.log}}
}

func (h *Host) serveStatus(ctx *fasthttp.RequestCtx) {
	b, err := json.Marshal(h.Status())
	if err != nil {
		panic("edge: status cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Status returns the status of this host.
func (h *Host) Status() Status {
	s := Status{
		Host:           h.opts.Settings.Host,
		Incarnation:    h.incarnation,
		Version:        h.opts.Version,
		Ready:          h.isReady(),
		Stopping:       h.stopping.Load(),
		ConfigVersion:  h.frontend.configVersion(),
		ViewAgeMillis:  h.viewAge(boottime.Now()).Milliseconds(),
		Coordinates:    h.candidate.HoldsLease(),
		ActiveRequests: h.frontend.active.Load(),
	}
	h.queryCore(func(c *core) {
		s.Coordinator = holderName(c.holder)
		s.Upstreams = len(c.fleet.Rows())
		s.ScheduledRequests = c.scheduler.RequestCount() + len(c.parked)
		s.Hosts = c.limiter.Hosts()
	})
	return s
}

// queryCore calls run with the control state on the goroutine that owns it, and waits until run has returned. If that
// goroutine has stopped, run may not be called.
func (h *Host) queryCore(run func(c *core)) {
	q := query{run: func(c *core, _ time.Time) { run(c) }, done: make(chan struct{})}
	select {
	case h.events <- q:
	case <-h.coreStopped:
		return
	}
	select {
	case <-q.done:
	case <-h.coreStopped:
	}
}

// registerMetrics registers the values that are read when metrics are collected.
func (h *Host) registerMetrics() error {
	m := h.opts.Metrics
	one := func(v func() float64) func() []metrics.Observation {
		return func() []metrics.Observation { return []metrics.Observation{{Value: v()}} }
	}
	gauges := []struct {
		name, description string
		read              func() []metrics.Observation
	}{
		{"foxtailpass_active_requests", "Requests without a final answer.", one(func() float64 { return float64(h.frontend.active.Load()) })},
		{"foxtailpass_ready", "1 when the balancer should send callers here.", one(func() float64 { return boolToFloat(h.isReady()) })},
		{"foxtailpass_coordinates", "1 on the host that has the right to give orders.", one(func() float64 { return boolToFloat(h.candidate.HoldsLease()) })},
		{"foxtailpass_view_age_seconds", "Age of this host's knowledge of the key-value service.", one(func() float64 { return h.viewAge(boottime.Now()).Seconds() })},
		{"foxtailpass_config_version", "Version of the configuration in force.", one(func() float64 { return float64(h.frontend.configVersion()) })},
		{"foxtailpass_goroutines", "Goroutines of the process.", one(func() float64 { return float64(runtime.NumGoroutine()) })},
		{"foxtailpass_heap_bytes", "Heap memory in use.", one(heapBytes)},
		{"foxtailpass_retry_budget", "Retries that this host may still make, by service.", h.readBudgets},
		{"foxtailpass_workspace_tokens", "Tokens that this host may admit now, by workspace.", h.readLevels},
		{"foxtailpass_upstream_back_off_seconds", "Remaining time for which an upstream wants no requests of this host, by upstream.", h.readBackOffs},
		{"foxtailpass_quarantined_parts", "Parts of prompts whose requests are refused because they crash engines.", one(h.readQuarantinedParts)},
		{"foxtailpass_quarantined_requests", "Requests that are refused because they crash replicas.", one(h.readQuarantinedRequests)},
		{"foxtailpass_upstream_speed_factor", "How many times as long as the mean of its service an upstream takes, by upstream and time.", h.readSpeedFactors},
		{"foxtailpass_workspace_lead_tokens", "Tokens by which a workspace is ahead of its share of a service, as this host knows it, by service and workspace.", h.readLeads},
		{"foxtailpass_open_connections", "Open connections by listener.", h.readConnections},
		{"foxtailpass_message_memory_bytes", "Memory that connections, requests and answers occupy by their accounts.", one(h.readMessageMemory)},
		{"foxtailpass_upstream_request_limit", "Requests per second that an upstream takes from all hosts, by upstream.", h.readRequestLimits},
	}
	counters := []struct {
		name, description string
		read              func() []metrics.Observation
	}{
		{"foxtailpass_orders", "Orders to engines by action and answer.", h.readOrders},
		{"foxtailpass_rate_tokens", "Tokens of requests for which this host had none when they arrived, by rank and outcome.", h.readRateTokens},
		{"foxtailpass_faster_copies", "Models that were loaded on a faster engine because all engines that served them were slow.", one(h.readFasterCopies)},
		{"foxtailpass_long_prompts", "Long prompts that this host sent, in its order of upstreams or elsewhere.", h.readLongPrompts},
		{"foxtailpass_shared_requests", "Requests that the shares of workspaces put before older ones or ones of a higher rank (earlier), or does not let take the last slots of upstreams (later).", h.readSharedRequests},
		{"foxtailpass_shared_loads", "Models that the shares of workspaces put before (earlier) or behind (later) others in the order of loads.", h.readSharedLoads},
		{"foxtailpass_limited_requests", "Requests sent to an upstream while it had a request limit, by upstream.", h.readLimitSent},
		{"foxtailpass_limit_asks", "Requests that waited for the coordinator to grant one under the request limit of an upstream, by upstream.", h.readLimitHeld},
		{"foxtailpass_suspected_crashes", "Ends of replicas that this host saw under requests that they had not answered.", one(h.readSuspectedCrashes)},
		{"foxtailpass_quarantine_probes", "Requests that this host sent although they are quarantined.", one(h.readProbes)},
		{"foxtailpass_closed_connections", "Connections that were closed or refused to protect the process, by listener and cause.", h.readClosedConnections},
		{"foxtailpass_memory_refusals", "Reservations of memory that did not fit, by listeners and answers together.", one(h.readMemoryRefusals)},
		{"foxtailpass_store_calls", "Calls to the key-value service by kind.", h.readStoreCalls},
		{"foxtailpass_mismatched_answers", "Answers of upstreams that carried the ID of another request.", one(h.mismatchedAnswers)},
		{"foxtailpass_log_lines_dropped", "Log lines that were dropped because nobody read the output.", one(h.logLinesDropped)},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	for _, c := range counters {
		if err := m.Counter(c.name, c.description, c.read); err != nil {
			return err
		}
	}
	return nil
}

// serveQuarantine lists the quarantined parts of prompts and requests.
func (h *Host) serveQuarantine(ctx *fasthttp.RequestCtx) {
	entries := []quarantine.Entry{}
	h.queryCore(func(c *core) { entries = c.quarantine.Entries() })
	b, err := json.Marshal(entries)
	if err != nil {
		panic("edge: quarantine cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// releaseTrait releases a part of prompts, or a request, from quarantine, for all hosts. It answers 404 if it is not
// quarantined.
func (h *Host) releaseTrait(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	trait := quarantine.Trait{
		Service: catalog.ServiceID(args.Peek("service")),
		Part:    entity.PromptPartID(args.Peek("part")),
		Request: entity.RequestDigest(args.Peek("request")),
	}
	who := string(args.Peek("who"))
	var txn kvstore.Txn
	known := false
	h.queryCore(func(c *core) {
		known = slices.ContainsFunc(c.quarantine.Entries(), func(e quarantine.Entry) bool {
			return e.Trait() == trait
		})
		txn = c.quarantine.Release(trait)
	})
	if !known {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	_, err := h.runTxn(txn)
	h.log.Info("Operator releases from quarantine.", "service", trait.Service, "part", trait.Part, "digest", trait.Request, "who", who, "err", err)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (h *Host) readQuarantinedParts() float64 {
	return h.countQuarantined(func(x quarantine.Trait) bool { return !x.IsRequest() })
}

func (h *Host) readQuarantinedRequests() float64 {
	return h.countQuarantined(quarantine.Trait.IsRequest)
}

// countQuarantined counts the quarantined traits that match.
func (h *Host) countQuarantined(match func(quarantine.Trait) bool) (n float64) {
	h.queryCore(func(c *core) {
		for _, e := range c.quarantine.Entries() {
			if match(e.Trait()) {
				n++
			}
		}
	})
	return n
}

func (h *Host) readSuspectedCrashes() (n float64) {
	h.queryCore(func(c *core) { n = float64(c.suspectedCrashes) })
	return n
}

func (h *Host) readProbes() (n float64) {
	h.queryCore(func(c *core) { n = float64(c.probes) })
	return n
}

func (h *Host) mismatchedAnswers() float64 { return float64(h.frontend.upstreams.Mismatched.Load()) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func heapBytes() float64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapInuse)
}

func (h *Host) logLinesDropped() float64 {
	if h.opts.LogDropped == nil {
		return 0
	}
	return float64(h.opts.LogDropped())
}

// observations returns one observation for each value, labeled with its key.
func observations[K ~string, V int64 | float64](label string, values map[K]V) []metrics.Observation {
	out := make([]metrics.Observation, 0, len(values))
	for key, v := range values {
		out = append(out, metrics.Observation{Value: float64(v), Attributes: []attribute.KeyValue{attribute.String(label, string(key))}})
	}
	return out
}

func (h *Host) guards() []*accept.Guard {
	return []*accept.Guard{h.callers, h.ready, h.peers, h.operators}
}

func (h *Host) readConnections() (out []metrics.Observation) {
	for _, g := range h.guards() {
		out = append(out, metrics.Observation{Value: float64(g.Len()), Attributes: []attribute.KeyValue{attribute.String("listener", g.Name())}})
	}
	return out
}

func (h *Host) readClosedConnections() (out []metrics.Observation) {
	for _, g := range h.guards() {
		for cause, n := range g.Counts() {
			out = append(out, metrics.Observation{Value: float64(n), Attributes: []attribute.KeyValue{
				attribute.String("listener", g.Name()), attribute.String("cause", cause.String())}})
		}
	}
	return out
}

func (h *Host) readMessageMemory() float64 { return float64(h.memory.Total() - h.memory.Free()) }

func (h *Host) readMemoryRefusals() float64 { return float64(h.memory.Refused()) }

func (h *Host) readBudgets() (out []metrics.Observation) {
	h.queryCore(func(c *core) { out = observations("service", c.scheduler.Budgets()) })
	return out
}

func (h *Host) readLevels() (out []metrics.Observation) {
	h.queryCore(func(c *core) { out = observations("workspace", c.limiter.Levels()) })
	return out
}

func (h *Host) readBackOffs() (out []metrics.Observation) {
	h.queryCore(func(c *core) {
		seconds := make(map[entity.UpstreamID]float64)
		for _, st := range c.scheduler.OwnStatuses(boottime.Now()) {
			if st.BackOff > 0 {
				seconds[st.Upstream] = st.BackOff.Seconds()
			}
		}
		out = observations("upstream", seconds)
	})
	return out
}

func (h *Host) readRequestLimits() (out []metrics.Observation) {
	h.queryCore(func(c *core) { out = observations("upstream", c.requestLimits.Limits()) })
	return out
}

func (h *Host) readLeads() (out []metrics.Observation) {
	h.queryCore(func(c *core) {
		for key, lead := range c.sharedLeads(boottime.Now()) {
			out = append(out, metrics.Observation{Value: lead, Attributes: []attribute.KeyValue{
				attribute.String("service", string(key.service)), attribute.String("workspace", string(key.workspace))}})
		}
	})
	return out
}

func (h *Host) readSharedRequests() (out []metrics.Observation) {
	h.queryCore(func(c *core) {
		earlier, later := c.scheduler.SharedRequests()
		out = observations("order", map[string]int64{"earlier": earlier, "later": later})
	})
	return out
}

func (h *Host) readSharedLoads() (out []metrics.Observation) {
	h.queryCore(func(c *core) {
		later, earlier := c.sharedLoads()
		out = observations("order", map[string]int64{"earlier": earlier, "later": later})
	})
	return out
}

func (h *Host) readLimitSent() (out []metrics.Observation) {
	h.queryCore(func(c *core) { out = observations("upstream", c.requestLimits.Sent()) })
	return out
}

func (h *Host) readLimitHeld() (out []metrics.Observation) {
	h.queryCore(func(c *core) { out = observations("upstream", c.requestLimits.Held()) })
	return out
}

func (h *Host) readRateTokens() (out []metrics.Observation) {
	h.queryCore(func(c *core) {
		if c.rateUrgency == nil {
			return
		}
		for key, tokens := range c.rateUrgency.totals {
			out = append(out, metrics.Observation{Value: tokens, Attributes: []attribute.KeyValue{
				attribute.Int("rank", key.rank), attribute.String("outcome", string(key.outcome))}})
		}
	})
	return out
}

func (h *Host) readOrders() []metrics.Observation {
	var out []metrics.Observation
	h.queryCore(func(c *core) {
		for key, n := range c.orders {
			out = append(out, metrics.Observation{Value: float64(n), Attributes: []attribute.KeyValue{
				attribute.String("action", key.action.String()), attribute.String("answer", key.answer.String())}})
		}
	})
	return out
}

func (h *Host) readStoreCalls() []metrics.Observation {
	return observations("kind", h.opts.Store.Counts())
}

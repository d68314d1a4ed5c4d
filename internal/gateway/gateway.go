// Package gateway is the HTTP server for callers. It authenticates requests, passes them to the control
// goroutine (package control), runs the attempts that the control goroutine decides on, and makes sure that
// every request gets exactly one final answer.
//
// A request is charged a number of tokens when it arrives, the most that it can cost; its cost is known at the end. A
// refusal is an answer with an error that the gateway or the control goroutine makes. A claim is the record of an
// idempotency key, see package claims.
package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

// State is the configuration and the keys that the gateway reads on every request. It is immutable.
type State struct {
	Site *config.Site
	Keys *config.KeyTable
}

// Sender passes events to the control goroutine.
type Sender interface{ Send(control.Event) }

// Claims is the store of idempotency claims. It makes sure that a request with an idempotency key runs at most
// once.
type Claims interface {
	Claim(ctx context.Context, r claims.ClaimRequest) claims.Result
	Complete(ctx context.Context, c *claims.Claim, a claims.StoredAnswer) error
	Release(ctx context.Context, c *claims.Claim) error
}

// Options configures a Gateway.
type Options struct {
	// Control receives the events of all requests; required.
	Control Sender
	// Upstreams sends the attempts to upstreams; required.
	Upstreams *upstream.Client
	// Claims stores idempotency claims; required.
	Claims Claims
	// IsFresh reports whether this host's copy of the configuration and keys is recent enough to serve requests
	// that require a key; required.
	IsFresh func() bool
	// Metrics counts answers; required.
	Metrics *metrics.Metrics
	// Log is the logger of the gateway; required.
	Log *log.Logger
	// MaxConnections bounds the open connections of callers. Default 20000.
	MaxConnections int
	// MaxHeaderBytes bounds the size of a request header. Default 16 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request body that the HTTP server reads. The limit in the configuration of
	// the site is checked afterwards. Default config.ServerBodyBytes.
	MaxBodyBytes int
	// ReadTimeout bounds the time for reading a whole request. Default 15 s.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection. Default 75 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time for writing one event of a streamed answer to the caller. Default 15 s.
	WriteTimeout time.Duration
}

// Gateway serves callers. Its methods are safe for concurrent use.
type Gateway struct {
	opts     Options
	server   *fasthttp.Server
	state    atomic.Pointer[State]
	watcher  *callerWatcher
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a gateway that refuses all requests until SetState is called.
func New(o Options) *Gateway {
	o = withDefaults(o)
	g := &Gateway{opts: o, watcher: newCallerWatcher()}
	r := router.New()
	r.HandleMethodNotAllowed = true
	r.POST("/v1/chat/completions", g.wrapHandler("chat", g.serveCompletion))
	r.POST("/v1/completions", g.wrapHandler("completions", g.serveCompletion))
	r.GET("/v1/models", g.wrapHandler("models", g.serveModels))
	r.NotFound = g.wrapHandler("plain", g.servePlain)
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		writeRefusal(ctx, entity.Refusal{Status: 405, Code: "method_not_allowed", Message: "This route does not take the method."})
	}
	r.PanicHandler = nil
	g.server = &fasthttp.Server{
		Handler:               r.Handler,
		Name:                  "foxtailpass",
		Concurrency:           o.MaxConnections,
		ReadBufferSize:        o.MaxHeaderBytes,
		MaxRequestBodySize:    o.MaxBodyBytes,
		ReadTimeout:           o.ReadTimeout,
		IdleTimeout:           o.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          g.handleReadError,
		Logger:                quietLogger{o.Log},
		// Upstreams get the bytes of a body as they came. A form that the library has parsed is encoded anew.
		DisablePreParseMultipartForm: true,
	}
	return g
}

func withDefaults(o Options) Options {
	set := func(v *int, def int) {
		if *v == 0 {
			*v = def
		}
	}
	setTime := func(v *time.Duration, def time.Duration) {
		if *v == 0 {
			*v = def
		}
	}
	set(&o.MaxConnections, 20000)
	set(&o.MaxHeaderBytes, 16<<10)
	set(&o.MaxBodyBytes, config.ServerBodyBytes)
	setTime(&o.ReadTimeout, 15*time.Second)
	setTime(&o.IdleTimeout, 75*time.Second)
	setTime(&o.WriteTimeout, 15*time.Second)
	return o
}

// quietLogger logs the messages of the HTTP library, which are about single connections, at debug level.
type quietLogger struct{ log *log.Logger }

// Printf implements fasthttp.Logger.
func (q quietLogger) Printf(format string, args ...any) {
	q.log.Debug("Connection ended early.", "reason", fmt.Sprintf(format, args...))
}

// SetState sets the configuration and keys for new requests.
func (g *Gateway) SetState(s *State) { g.state.Store(s) }

// ActiveRequests returns the number of requests that have no final answer yet.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// Serve accepts connections of callers until Shutdown is called.
func (g *Gateway) Serve(ln net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.watcher.run(ctx)
	if err := g.server.Serve(accept.RetryingListener{Listener: ln}); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}

// Drain makes the server close each connection after the next answer on it, so that callers connect to other hosts. New
// requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown stops accepting connections and returns when all requests have their final answer.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("gateway: shutdown: %w", err)
	}
	return nil
}

// handleReadError answers a request that the HTTP library could not read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	refusal := entity.Refusal{Status: 400, Code: "malformed_request", Message: "The request could not be read."}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case asSmallBuffer(err, &small):
		refusal = entity.Refusal{Status: 431, Code: "header_too_large", Message: "The request header is too large."}
	case isBodyTooLarge(err):
		refusal = bodyTooLargeRefusal(g.opts.MaxBodyBytes)
	case isTimeout(err):
		refusal = entity.Refusal{Status: 408, Code: "request_timeout", Message: "The request did not arrive in time."}
	}
	writeRefusal(ctx, refusal)
	accept.LingerOnClose(ctx.Conn())
	g.opts.Metrics.CountRequest("unread", refusal.Status, refusal.Code, 0)
}

// bodyTooLargeRefusal returns the refusal of a body above limit bytes.
func bodyTooLargeRefusal(limit int) entity.Refusal {
	return entity.Refusal{Status: 413, Code: "body_too_large", Message: fmt.Sprintf("The body must have at most %d bytes.", limit)}
}

// exchange holds the state of one HTTP request while its handler is running.
type exchange struct {
	ctx        *fasthttp.RequestCtx
	state      *State
	receivedAt time.Time
	// label is the route label in metrics.
	label string
	// key is the caller key of the request, empty if none.
	key string
	// code is the outcome of the request in metrics: the error code of a refusal, "replayed" for an answer
	// from a claim, "caller_gone" after a disconnect, and empty for an answer of an upstream.
	code string
	// streamed is set when the answer is written after the handler has returned. The stream then counts the request
	// in the metrics instead of wrapHandler.
	streamed bool
}

// refuse writes a refusal as the final answer.
func (e *exchange) refuse(r entity.Refusal) {
	e.code = r.Code
	writeRefusal(e.ctx, r)
}

// handler serves one route.
type handler func(e *exchange)

// wrapHandler returns the HTTP handler of a route. The handler refuses requests until there is a configuration, closes
// the connection if the gateway is draining, and counts the request in the metrics under the given label.
func (g *Gateway) wrapHandler(label string, h handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		g.active.Add(1)
		e := &exchange{ctx: ctx, state: g.state.Load(), receivedAt: time.Now(), label: label}
		if e.state == nil || e.state.Site == nil {
			e.refuse(entity.Refusal{Status: 503, Code: "not_ready", Message: "This host has no configuration yet.", RetryAfter: time.Second})
		} else {
			h(e)
		}
		if g.draining.Load() {
			ctx.SetConnectionClose()
		}
		if e.streamed {
			return
		}
		g.opts.Metrics.CountRequest(e.label, ctx.Response.StatusCode(), e.code, time.Since(e.receivedAt))
		g.active.Add(-1)
	}
}

// authenticate returns the record of the request's key, or a refusal when the key is missing or invalid or the
// local keys are not fresh.
func (g *Gateway) authenticate(e *exchange) (config.KeyRecord, *entity.Refusal) {
	e.key = bearerKey(&e.ctx.Request.Header)
	if e.key == "" {
		return config.KeyRecord{}, &entity.Refusal{Status: 401, Code: "key_missing", Message: "Send the key in the header Authorization: Bearer."}
	}
	if !g.opts.IsFresh() {
		return config.KeyRecord{}, staleRefusal()
	}
	rec, ok := e.state.Keys.Lookup([]byte(e.key))
	switch {
	case !ok:
		return rec, &entity.Refusal{Status: 401, Code: "key_unknown", Message: "The key is not known."}
	case !rec.Withdrawn.IsZero():
		return rec, &entity.Refusal{Status: 401, Code: "key_withdrawn", Message: "The key has been withdrawn."}
	}
	if _, ok := e.state.Site.Workspaces[rec.Workspace]; !ok {
		return rec, &entity.Refusal{Status: 403, Code: "workspace_unknown", Message: "The workspace of this key is not declared at this site."}
	}
	return rec, nil
}

// staleRefusal returns the refusal of a request whose key this host cannot check: it may have missed the withdrawal of
// the key.
func staleRefusal() *entity.Refusal {
	return &entity.Refusal{
		Status:     503,
		Code:       "stale_configuration",
		Message:    "This host cannot confirm that its keys are current.",
		RetryAfter: time.Second,
	}
}

// serveCompletion handles the two routes for completions: chat completions and text completions.
func (g *Gateway) serveCompletion(e *exchange) {
	rec, refusal := g.authenticate(e)
	if refusal == nil {
		refusal = g.startCompletion(e, rec)
	}
	if refusal != nil {
		e.refuse(*refusal)
	}
}

// startCompletion checks a completion request and serves it. It returns a refusal instead if the request is invalid.
func (g *Gateway) startCompletion(e *exchange, rec config.KeyRecord) *entity.Refusal {
	site := e.state.Site
	header := &e.ctx.Request.Header
	body := e.ctx.PostBody()
	if len(body) > site.Limits.MaxBodyBytes {
		r := bodyTooLargeRefusal(site.Limits.MaxBodyBytes)
		return &r
	}
	if containsKey(body, e.key) {
		return keyInRequestRefusal()
	}
	class, refusal := requestClass(header)
	if refusal != nil {
		return refusal
	}
	c, refusal := parseCompletion(body, class, site.Limits)
	if refusal != nil {
		return refusal
	}
	if refusal := g.checkModel(site, rec.Workspace, c); refusal != nil {
		return refusal
	}
	deadline, refusal := requestDeadline(header, e.receivedAt, site.Limits.DefaultDeadline(class))
	if refusal != nil {
		return refusal
	}
	idem, refusal := idempotencyKey(header)
	if refusal != nil {
		return refusal
	}
	tokens := float64(c.promptTokens + c.outputTokens)
	s := newSession(&schedule.Request{
		ID:         entity.RequestID(entity.RandomHex(12)),
		Workspace:  rec.Workspace,
		Key:        rec.ID,
		Pool:       schedule.PoolID{Model: c.model, Adapter: c.adapter},
		Class:      class,
		Arrived:    e.receivedAt,
		Deadline:   deadline,
		Tokens:     tokens,
		Bytes:      int64(len(c.body)),
		Idempotent: idem == "",
		Prefix:     c.prefix,
	}, e.receivedAt)
	s.key = e.key
	s.call = requestTemplate{
		engine:     true,
		method:     fasthttp.MethodPost,
		uri:        string(e.ctx.Path()),
		body:       c.body,
		stream:     c.stream,
		claimKey:   idem,
		tokens:     tokens,
		prompt:     float64(c.promptTokens),
		idempotent: idem == "",
	}
	copyForwardedHeaders(&s.call.header, header, e.key)
	g.serve(e, s, tokens)
	return nil
}

// keyInRequestRefusal returns the refusal of a request that has a caller key in its body or path.
func keyInRequestRefusal() *entity.Refusal {
	return &entity.Refusal{Status: 400, Code: "key_in_request", Message: "The key must only be sent in the Authorization header."}
}

// checkModel returns a refusal unless the workspace may call the model and the model has the adapter.
func (g *Gateway) checkModel(site *config.Site, ws entity.WorkspaceID, c completion) *entity.Refusal {
	m, ok := site.Models[c.model]
	if !ok || !site.Workspaces[ws].MayCallModel(c.model) {
		// An unknown model and one that the workspace may not call get the same answer, so that callers cannot
		// find out which models exist.
		return &entity.Refusal{Status: 404, Code: "model_not_found", Message: "The model does not exist, or the workspace may not call it."}
	}
	if c.adapter == "" {
		return nil
	}
	if _, ok := m.Adapters[c.adapter]; !ok {
		return &entity.Refusal{Status: 404, Code: "adapter_not_found", Message: "The model has no such adapter."}
	}
	return nil
}

// modelList is the JSON body of the model list.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters that the workspace of the key may call.
func (g *Gateway) serveModels(e *exchange) {
	rec, refusal := g.authenticate(e)
	if refusal != nil {
		e.refuse(*refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	ws := e.state.Site.Workspaces[rec.Workspace]
	for id, m := range e.state.Site.Models {
		if !ws.MayCallModel(id) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: string(id), Object: "model", OwnedBy: "foxtailpass"})
		for a := range m.Adapters {
			list.Data = append(list.Data, modelItem{ID: string(id) + ":" + string(a), Object: "model", OwnedBy: "foxtailpass"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("gateway: model list cannot be encoded: %v", err))
	}
	e.ctx.SetContentType("application/json")
	e.ctx.SetBody(body)
}

// servePlain handles the configured routes to plain services.
func (g *Gateway) servePlain(e *exchange) {
	prefix, route, ok := findRoute(e.state.Site, string(e.ctx.Path()))
	if !ok {
		e.refuse(entity.Refusal{Status: 404, Code: "route_not_found", Message: "There is no such route."})
		return
	}
	e.label = prefix
	if refusal := g.startPlain(e, prefix, route); refusal != nil {
		e.refuse(*refusal)
	}
}

// findRoute returns the route with the longest prefix that matches the path.
func findRoute(site *config.Site, path string) (string, config.Route, bool) {
	best := ""
	for prefix := range site.Routes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return best, site.Routes[best], best != ""
}

// startPlain checks a request to a plain service and serves it. It returns a refusal instead if the request is invalid
// or not allowed.
func (g *Gateway) startPlain(e *exchange, prefix string, route config.Route) *entity.Refusal {
	site := e.state.Site
	header := &e.ctx.Request.Header
	var rec config.KeyRecord
	if route.Open {
		e.key = bearerKey(header)
	} else {
		var refusal *entity.Refusal
		rec, refusal = g.authenticate(e)
		if refusal != nil {
			return refusal
		}
		if !site.Workspaces[rec.Workspace].MayCallRoute(prefix) {
			return &entity.Refusal{Status: 403, Code: "route_not_allowed", Message: "The workspace may not call this route."}
		}
	}
	body := e.ctx.PostBody()
	if len(body) > site.Limits.MaxBodyBytes {
		r := bodyTooLargeRefusal(site.Limits.MaxBodyBytes)
		return &r
	}
	path := string(e.ctx.URI().PathOriginal())
	if containsKey(body, e.key) || containsCallerKey(path, e.key) {
		return keyInRequestRefusal()
	}
	deadline, refusal := requestDeadline(header, e.receivedAt, time.Duration(route.TimeoutMillis)*time.Millisecond)
	if refusal != nil {
		return refusal
	}
	idem, refusal := idempotencyKey(header)
	if refusal != nil {
		return refusal
	}
	if idem != "" && route.Open {
		return invalidRequest("The header %s needs a route with keys.", IdempotencyKeyHeader)
	}
	g.serve(e, g.newPlainSession(e, route, rec, deadline, idem, path), plainCharge(route))
	return nil
}

// plainCharge returns the number of tokens that a request on the route is charged: zero if the route needs no key.
func plainCharge(route config.Route) float64 {
	if route.Open {
		return 0
	}
	return route.CostTokens
}

// newPlainSession returns the session of a request to a plain service. The request may be repeated only if its
// route is idempotent and the request has no idempotency key.
func (g *Gateway) newPlainSession(e *exchange, route config.Route, rec config.KeyRecord, deadline time.Time, idem, path string) *session {
	header := &e.ctx.Request.Header
	method := string(header.Method())
	idempotent := route.Idempotent && idem == ""
	body := append([]byte(nil), e.ctx.PostBody()...)
	s := newSession(&schedule.Request{
		ID:         entity.RequestID(entity.RandomHex(12)),
		Workspace:  rec.Workspace,
		Key:        rec.ID,
		Pool:       schedule.PoolID{Kind: route.UpstreamKind},
		Arrived:    e.receivedAt,
		Deadline:   deadline,
		Tokens:     max(route.CostTokens, 1),
		Bytes:      int64(len(body)),
		Idempotent: idempotent,
	}, e.receivedAt)
	s.key = e.key
	s.call = requestTemplate{
		method:     method,
		uri:        path,
		body:       body,
		claimKey:   idem,
		idempotent: idempotent,
		tokens:     plainCharge(route),
	}
	if query := forwardedQuery(e.ctx.QueryArgs(), e.key); query != "" {
		s.call.uri += "?" + query
	}
	copyForwardedHeaders(&s.call.header, header, e.key)
	return s
}

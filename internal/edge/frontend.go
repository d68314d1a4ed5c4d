package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/quarantine"
	"github.com/foxtailpass/foxtailpass/internal/releases"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// maxConnections bounds the callers' connections.
	maxConnections = 3000
	// maxHeaderBytes and maxBodyBytes bound a request.
	maxHeaderBytes = 16<<10 + 512
	maxBodyBytes   = 4 << 20
	// readTimeout bounds the time in which a request must arrive, and idleTimeout the time between two
	// requests of a connection.
	readTimeout = 10 * time.Second
	idleTimeout = 20 * time.Second
	// defaultDeadline is assumed for callers that do not state how long they wait.
	defaultDeadline = 10 * time.Second
	// acceptWhileStopping is how long a stopping host accepts new requests: a request that is accepted later
	// might not end in time.
	acceptWhileStopping = 3 * time.Second
	// staleRetryAfter is the Retry-After while this host's view is stale, and startingRetryAfter while the
	// host is starting or stopping or a service is not configured.
	staleRetryAfter    = 700 * time.Millisecond
	startingRetryAfter = 400 * time.Millisecond
)

// statusCallerLeft is the status label of requests whose caller left before their answer.
const statusCallerLeft = 499

// frontend serves callers.
type frontend struct {
	protocol  Protocol
	upstreams *upstream.Client
	send      func(event)
	fresh     func() (keysFresh, viewRead bool)
	viewAge   func(now time.Time) time.Duration
	log       *slog.Logger
	catalog   atomic.Pointer[catalog.Catalog]
	// watchedTraits are the traits of requests for which the control state must know of answers.
	watchedTraits atomic.Pointer[map[quarantine.Trait]struct{}]
	// recentTraits are the traits that answers have lately shown to be harmless.
	recentTraits quarantine.RecentTraits
	// streams holds the origins of the streams of this host, and releases the recorded releases by service. readOrigin reads
	// the origin of a stream of another process.
	streams    *releases.Streams
	releases   atomic.Pointer[map[catalog.ServiceID]releases.Service]
	readOrigin func(ctx context.Context, id entity.RequestID, service catalog.ServiceID) (releases.Origin, error)
	// listing is what the list states about the upstreams of resumable routes, and untilListingProves returns the time after
	// which it proves origins.
	listing            atomic.Pointer[releases.Listing]
	untilListingProves func(now time.Time) time.Duration
	// memory bounds what connections, requests and answers occupy.
	memory *membudget.Budget

	server *fasthttp.Server
	active atomic.Int64
	// stopping is the boot time in nanoseconds at which the stop began, zero before.
	stopping    atomic.Int64
	gracePeriod time.Duration
	metrics     *metrics.Metrics
	// learnsSpeeds is set if the control state learns from the times of answers.
	learnsSpeeds bool
}

func newFrontend(f *frontend) *frontend {
	f.server = &fasthttp.Server{
		Handler: f.handle,
		// The guard of the listener bounds the connections. Those that it has given up have a goroutine for a moment longer.
		Concurrency:           2 * maxConnections,
		ReadBufferSize:        maxHeaderBytes,
		WriteBufferSize:       4 << 10,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ErrorHandler:          f.handleReadError,
		// Upstreams get the bytes of a body as they came. A form that the library has parsed is encoded anew.
		DisablePreParseMultipartForm: true,
		// The handler reads bodies itself, within the memory of the process. The library would allocate a body by its
		// declared length.
		StreamRequestBody: true,
		HeaderReceived:    limitRequest,
		Logger:            debugLogger{f.log},
	}
	return f
}

// handleReadError answers a request that the HTTP library could not read. The connection is closed then, but not
// before the caller has had time to read the answer.
func (f *frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	refusal := entity.Refusal{Status: fasthttp.StatusBadRequest, Code: "malformed_request"}
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case outOfMemory(ctx.Conn()):
		refusal = entity.Refusal{Status: fasthttp.StatusServiceUnavailable, Code: "no_memory", RetryAfter: startingRetryAfter}
	case errors.As(err, &smallBuffer):
		refusal = entity.Refusal{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: "header_too_large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refusal = entity.Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Code: "body_too_large"}
	case errors.As(err, &timeout) && timeout.Timeout():
		refusal = entity.Refusal{Status: fasthttp.StatusRequestTimeout, Code: "request_timeout"}
	}
	f.metrics.CountRequest("unread", refusal.Status, refusal.Code, 0)
	writeRefusal(&ctx.Response, refusal)
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.Refused(outOfMemory(conn))
	}
	ctx.Request.Header = fasthttp.RequestHeader{}
	accept.LingerOnClose(ctx.Conn())
}

// debugLogger logs the HTTP library's messages about single connections at the debug level.
type debugLogger struct{ log *slog.Logger }

// Printf implements fasthttp.Logger.
func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug("Connection ended early.", "reason", fmt.Sprintf(format, args...))
}

// handle serves one request.
func (f *frontend) handle(ctx *fasthttp.RequestCtx) {
	if !f.readRequest(ctx) {
		return
	}
	f.active.Add(1)
	s := &requestSession{frontend: f, ctx: ctx, arrived: boottime.Now(), cancel: func() {}, stopWatch: func() {}}
	defer s.recoverPanic()
	s.prepare()
	if refusal := s.check(); refusal != nil {
		s.refuse(*refusal)
		s.release()
		return
	}
	s.serve()
}

// requestSession serves one request from its arrival to its final answer. Only the goroutine of the request
// uses it.
type requestSession struct {
	frontend    *frontend
	ctx         *fasthttp.RequestCtx
	description Description
	route       *catalog.Route
	request     *dispatch.Request
	stepQueue   *stepQueue
	needsKey    bool
	arrived     time.Time
	// alive is canceled when the caller leaves or the session ends.
	alive     context.Context
	cancel    context.CancelFunc
	stopWatch func()
	attempt   int
	// mayHaveRun is set once an attempt has ended without proof that it did not run.
	mayHaveRun bool
	ended      bool
	// basis is the data on which the decision to refuse was based.
	basis basis
}

// prepare reads the description of the request and starts to watch the connection: s.alive is canceled when
// the caller closes it.
func (s *requestSession) prepare() {
	s.description = s.frontend.protocol.Describe(&s.ctx.Request.Header)
	s.alive, s.cancel = context.WithCancel(context.Background())
	if conn, ok := s.ctx.Conn().(*callerConn); ok {
		s.stopWatch = conn.watchForClose(s.cancel)
	}
}

// recoverPanic ends a request whose handler has panicked, so that no other request is affected.
func (s *requestSession) recoverPanic() {
	if cause := recover(); cause != nil {
		s.reportPanic(cause)
		s.ctx.Response.Reset()
		s.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		s.ctx.SetConnectionClose()
		s.release()
	}
}

// reportPanic logs a panic and notifies the control state that the request has ended. The request may have
// run.
func (s *requestSession) reportPanic(cause any) {
	s.frontend.log.Error("Request ended by a panic.", "request", s.description.ID, "route", routeName(s.route), "cause", cause, "stack", string(debug.Stack()))
	if s.request != nil {
		s.frontend.send(callerLeft{id: s.request.ID})
	}
}

// release frees the resources of the session.
func (s *requestSession) release() {
	if s.ended {
		return
	}
	s.ended = true
	if conn, ok := s.ctx.Conn().(*callerConn); ok {
		conn.requestEnded(s.request != nil)
		if conn.hasManyFields && !s.ctx.IsHead() {
			// The library would keep the arrays of the head for further requests.
			s.ctx.Request.Header = fasthttp.RequestHeader{}
		}
	}
	s.stopWatch()
	s.cancel()
	s.frontend.active.Add(-1)
	if s.frontend.stopping.Load() != 0 {
		s.ctx.SetConnectionClose()
	}
}

// check returns a refusal if the request can be refused without the control state. Otherwise it builds the
// request for the control state.
func (s *requestSession) check() *entity.Refusal {
	f := s.frontend
	cat := f.catalog.Load()
	keysFresh, viewRead := f.fresh()
	if cat == nil || !viewRead {
		return &entity.Refusal{Status: 503, Code: "starting", RetryAfter: startingRetryAfter}
	}
	if f.rejectsNewRequests() {
		return &entity.Refusal{Status: 503, Code: string(dispatch.ReasonStopping), RetryAfter: startingRetryAfter}
	}
	s.route = cat.Route(s.description.Host, s.description.Path)
	if s.route == nil {
		if !keysFresh {
			// The route may have been added since the last confirmed read.
			return staleRefusal()
		}
		return &entity.Refusal{Status: 404, Code: "no_route"}
	}
	workspace, refusal := s.authenticate(cat, keysFresh)
	if refusal != nil {
		return refusal
	}
	if refusal := s.buildRequest(cat, workspace); refusal != nil {
		return refusal
	}
	s.request.Digest = requestDigest(s.request.Workspace, &s.ctx.Request)
	return s.pinRelease()
}

// rejectsNewRequests reports whether a stop has lasted so long that new requests are refused.
func (f *frontend) rejectsNewRequests() bool {
	at := f.stopping.Load()
	return at != 0 && boottime.Now().Sub(time.Unix(0, at)) > acceptWhileStopping
}

func staleRefusal() *entity.Refusal {
	return &entity.Refusal{Status: 503, Code: string(dispatch.ReasonStale), RetryAfter: staleRetryAfter}
}

// authenticate returns the workspace of the request's key, nil if the request needs no key.
func (s *requestSession) authenticate(cat *catalog.Catalog, keysFresh bool) (*catalog.Workspace, *entity.Refusal) {
	if s.route.NoKeyRequired || !cat.RequiresKeys() {
		return nil, nil
	}
	s.needsKey = true
	if !keysFresh {
		return nil, staleRefusal()
	}
	w := cat.Key(s.description.Key)
	if w == nil {
		return nil, &entity.Refusal{Status: 401, Code: "unknown_key"}
	}
	return w, nil
}

// buildRequest builds the request for the control state and returns a refusal if its service is not
// configured.
func (s *requestSession) buildRequest(cat *catalog.Catalog, w *catalog.Workspace) *entity.Refusal {
	wait := s.description.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	if s.route.Timeout > 0 {
		wait = min(wait, s.route.Timeout)
	}
	r := &dispatch.Request{
		ID:       s.description.ID,
		Route:    s.route,
		Pool:     dispatch.Pool{Service: pickService(s.route)},
		Rank:     s.route.Priority,
		Arrived:  s.arrived,
		Deadline: s.arrived.Add(wait),
	}
	if r.ID == "" {
		r.ID = entity.RequestID(entity.RandomHex(8))
	}
	if w != nil {
		r.Workspace = w.ID
		r.Key = s.description.Key
		r.Rank = rankOf(w, s.route)
		r.Tokens, r.HasDefaultTokens = float64(w.DefaultTokens), true
	}
	if s.description.HasTokenCounts {
		r.Tokens, r.HasDefaultTokens = float64(s.description.PromptTokens)+float64(s.description.OutputTokens), false
		r.PromptTokens = s.description.PromptTokens
	}
	s.request = r
	svc := cat.Service(r.Pool.Service)
	if svc == nil {
		return &entity.Refusal{Status: 503, Code: string(dispatch.ReasonNoUpstream), RetryAfter: startingRetryAfter}
	}
	if svc.Engine != nil {
		r.Pool.Model, r.Pool.Adapter = s.description.Model, s.description.Adapter
		r.Affinity = s.description.Session
		r.SharedParts = s.description.SharedParts
	}
	return nil
}

// pickService picks a service of a route at random, by the weights of the route.
func pickService(r *catalog.Route) catalog.ServiceID {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	n := rand.IntN(max(total, 1))
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// serve carries out the steps of the control state until the request has its final answer.
func (s *requestSession) serve() {
	s.stepQueue = newStepQueue()
	s.frontend.send(requestArrived{request: s.request, stepQueue: s.stepQueue})
	for {
		select {
		case st := <-s.stepQueue.steps:
			if st.refusal != nil {
				s.basis = st.basis
				s.refuse(*st.refusal)
				s.release()
				return
			}
			if s.runAttempt(st) {
				return
			}
		case <-s.alive.Done():
			s.endForCallerLeft()
			return
		}
	}
}

// endForCallerLeft ends the session of a caller that has closed its connection.
func (s *requestSession) endForCallerLeft() {
	s.frontend.log.Info("Caller left.", "request", s.request.ID, "after", boottime.Now().Sub(s.arrived), "attempt", s.attempt)
	s.reportCallerLeft()
	s.closeWithoutAnswer()
	s.release()
}

// closeWithoutAnswer makes the HTTP server close the connection after the handler without a response. A caller that has closed
// only its own side of the connection would read it, and the response as it stands is a success.
func (s *requestSession) closeWithoutAnswer() {
	s.ctx.HijackSetNoResponse(true)
	s.ctx.Hijack(func(net.Conn) {})
}

// reportCallerLeft ends the request of a caller that has closed its connection.
func (s *requestSession) reportCallerLeft() {
	s.frontend.metrics.CountRequest(s.route.Name, statusCallerLeft, "caller_left", boottime.Now().Sub(s.arrived))
	s.frontend.send(callerLeft{id: s.request.ID})
}

// refuse writes a final answer that comes from this host itself.
func (s *requestSession) refuse(r entity.Refusal) {
	f := s.frontend
	now := boottime.Now()
	f.metrics.CountRequest(routeName(s.route), r.Status, r.Code, now.Sub(s.arrived))
	f.log.Info("Request refused.", "request", s.description.ID, "status", r.Status, "reason", r.Code, "ran", r.Ran, "retry_after", r.RetryAfter,
		"after", now.Sub(s.arrived), "attempts", s.attempt, "route", routeName(s.route), "workspace", s.workspaceID(), "tokens", s.description.PromptTokens+s.description.OutputTokens, "ready_in", s.basis.readyIn, "config", f.configVersion(), "view_age", f.viewAge(now), "model", s.description.Model, "adapter", s.description.Adapter, "parts", partIDs(s.basis.quarantined), "digest", s.digest(),
		"last_event", s.description.LastEvent, "resumes", s.description.Resumes)
	writeRefusal(&s.ctx.Response, r)
}

func writeRefusal(resp *fasthttp.Response, r entity.Refusal) {
	resp.SetStatusCode(r.Status)
	resp.Header.SetContentType("application/json")
	if r.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	resp.SetBodyString(`{"error":{"code":"` + r.Code + `","ran":"` + r.Ran.String() + `"}}`)
}

func routeName(r *catalog.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// configVersion returns the version of the active configuration, zero before there is one.
func (f *frontend) configVersion() int64 {
	if c := f.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// workspaceID returns the workspace of the request, empty before its key has been checked.
func (s *requestSession) workspaceID() entity.WorkspaceID {
	if s.request == nil {
		return ""
	}
	return s.request.Workspace
}

// digest returns the digest of the request, empty before its key has been checked.
func (s *requestSession) digest() entity.RequestDigest {
	if s.request == nil {
		return ""
	}
	return s.request.Digest
}

// Package service is a stand-in for a plain service. It counts the runs of every order, so that tests can
// prove that a non-idempotent request ran at most once.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/listener"
	"github.com/foxtailpass/foxtailpass/internal/standin/received"
	"github.com/valyala/fasthttp"
)

// Headers of the upstream protocol.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderRan has the value "no" in an answer that proves that the request was not run.
	HeaderRan = "X-Service-Ran"
)

// Kinds of faults.
const (
	// FaultRefuse answers 503 with the proof that the request was not run.
	FaultRefuse = "refuse"
	// FaultDelay waits DelayMS before the request runs.
	FaultDelay = "delay"
	// FaultLate runs the request and sends the answer DelayMS later.
	FaultLate = "late"
	// FaultLose runs the request and closes the connection without an answer.
	FaultLose = "lose"
	// FaultHang runs the request and sends no answer. The connection stays open until the client closes it or
	// the service stops.
	FaultHang = "hang"
	// FaultFail runs the request and answers 500.
	FaultFail = "fail"
	// FaultWrongID answers with the ID of another request.
	FaultWrongID = "wrong_id"
	// FaultStop stops the service as Stop does.
	FaultStop = "stop"
)

var faultKinds = []string{
	FaultRefuse, FaultDelay, FaultLate, FaultLose, FaultHang, FaultFail, FaultWrongID, FaultStop,
}

// Fault is one fault to inject. It replaces an earlier fault of the same kind.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of requests that the fault applies to. With zero it applies until it is cleared.
	Count   int   `json:"count,omitempty"`
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// FaultsRequest is the body of POST /standin/faults. If Clear is true, all faults are removed before those in
// Set are set.
type FaultsRequest struct {
	Clear bool    `json:"clear"`
	Set   []Fault `json:"set"`
}

// Options describes one service. Zero fields take the defaults.
type Options struct {
	ID   entity.UpstreamID
	Kind string
	// OrderField is the body field that names the order. If the body does not have it, the order is named
	// after the request path. Default "order".
	OrderField string
	// WorkTime is the time that each run takes.
	WorkTime time.Duration
	// ReceivedLimit is the number of received requests that are recorded; older ones are dropped. Default
	// 4096; -1 records none.
	ReceivedLimit int
}

const (
	defaultReceivedLimit = 4096
	maxBodyBytes         = 8 << 20
)

// Received is one request as the service received it.
type Received = received.Request

// Record summarizes what the service received and ran since it was created.
type Record struct {
	ID       entity.UpstreamID `json:"id"`
	Kind     string            `json:"kind"`
	Requests uint64            `json:"requests"`
	Runs     uint64            `json:"runs"`
	// Orders maps every order to its number of runs.
	Orders map[string]int `json:"orders"`
	// Repeated is the number of orders that ran more than once.
	Repeated        int    `json:"repeated"`
	DroppedReceived uint64 `json:"dropped_received"`
}

// Service is a stand-in for one plain service. All methods are safe for concurrent use.
type Service struct {
	opts Options

	// lifecycle serializes Start, Stop and Shutdown.
	lifecycle sync.Mutex
	addr      string
	server    *fasthttp.Server
	ln        *listener.Tracking
	done      chan struct{}

	mu       sync.Mutex
	faults   map[string]*Fault
	totals   Record
	received *received.Log
}

// New returns a service that is not started.
func New(o Options) *Service {
	if o.OrderField == "" {
		o.OrderField = "order"
	}
	if o.Kind == "" {
		o.Kind = "service"
	}
	if o.ReceivedLimit == 0 {
		o.ReceivedLimit = defaultReceivedLimit
	}
	return &Service{
		opts:     o,
		received: received.NewLog(o.ReceivedLimit),
		faults:   map[string]*Fault{},
		totals:   Record{ID: o.ID, Kind: o.Kind, Orders: map[string]int{}},
	}
}

// Start serves on addr, for example "127.0.0.1:0".
func (s *Service) Start(addr string) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.server != nil {
		return fmt.Errorf("service %s: already started", s.opts.ID)
	}
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("service %s: listen: %w", s.opts.ID, err)
	}
	ln := listener.New(tcp)
	server := &fasthttp.Server{
		Handler:                      s.handle,
		MaxRequestBodySize:           maxBodyBytes,
		ReadBufferSize:               16 << 10,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       discard{},
	}
	done := make(chan struct{})
	s.addr, s.ln, s.server, s.done = ln.Addr().String(), ln, server, done
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	return nil
}

// Addr returns the listen address as host:port.
func (s *Service) Addr() string {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	return s.addr
}

// ID returns the upstream ID.
func (s *Service) ID() entity.UpstreamID { return s.opts.ID }

// Stop simulates a crash: the listener and all connections are closed at once. The records are kept, and the
// service can be started again.
func (s *Service) Stop() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.stop()
}

func (s *Service) stop() {
	if s.server == nil {
		return
	}
	s.server = nil
	s.ln.CloseAll()
	<-s.done
}

// Shutdown waits until the running requests or ctx end, and then stops the service.
func (s *Service) Shutdown(ctx context.Context) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.server == nil {
		return nil
	}
	err := s.server.ShutdownWithContext(ctx)
	s.stop()
	return err
}

// SetFault sets a fault, or stops the service.
func (s *Service) SetFault(f Fault) error {
	known := false
	for _, k := range faultKinds {
		known = known || k == f.Kind
	}
	if !known {
		return fmt.Errorf("unknown fault %q: allowed are %s", f.Kind, strings.Join(faultKinds, ", "))
	}
	if f.Kind == FaultStop {
		s.Stop()
		return nil
	}
	if f.Count == 0 {
		f.Count = -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f.Kind] = &f
	return nil
}

// ClearFaults removes all faults.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
}

// consume counts one use of the active fault of a kind and returns its delay and true. If no fault of the kind is
// active, it returns false.
func (s *Service) consume(kind string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return 0, false
	}
	if f.Count > 0 {
		f.Count--
	}
	if f.Count == 0 {
		delete(s.faults, kind)
	}
	return time.Duration(f.DelayMS) * time.Millisecond, true
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/standin/record":
		writeJSON(ctx, s.Record())
	case path == "/standin/received":
		writeJSON(ctx, s.Received())
	case path == "/standin/faults" && ctx.IsPost():
		s.handleFaults(ctx)
	default:
		s.handleWork(ctx, path)
	}
}

// Answer is the body of a successful answer.
type Answer struct {
	Order     string           `json:"order"`
	RequestID entity.RequestID `json:"request_id"`
	// Runs is the number of runs of the order, including this one.
	Runs int `json:"runs"`
}

func (s *Service) handleWork(ctx *fasthttp.RequestCtx, path string) {
	s.recordRequest(&ctx.Request)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	ctx.Response.Header.Set(HeaderRequestID, id)
	if d, ok := s.consume(FaultDelay); ok {
		time.Sleep(d)
	}
	if _, ok := s.consume(FaultRefuse); ok {
		ctx.Response.Header.Set(HeaderRan, "no")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	order := s.orderName(path, ctx.PostBody())
	runs := s.countRun(order)
	time.Sleep(s.opts.WorkTime)
	if s.applyFaultsAfterRun(ctx) {
		return
	}
	writeJSON(ctx, Answer{order, entity.RequestID(id), runs})
}

// applyFaultsAfterRun applies the faults that act after the run. If it returns true, a fault has replaced the normal
// answer, and the caller must not write it.
func (s *Service) applyFaultsAfterRun(ctx *fasthttp.RequestCtx) bool {
	if _, ok := s.consume(FaultLose); ok {
		_ = ctx.Conn().Close()
		return true
	}
	if _, ok := s.consume(FaultHang); ok {
		// The read returns when the client closes the connection or the service is stopped.
		_, _ = ctx.Conn().Read(make([]byte, 1))
		_ = ctx.Conn().Close()
		return true
	}
	if d, ok := s.consume(FaultLate); ok {
		time.Sleep(d)
	}
	if _, ok := s.consume(FaultFail); ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	if _, ok := s.consume(FaultWrongID); ok {
		ctx.Response.Header.Set(HeaderRequestID, "other-"+entity.RandomHex(8))
	}
	return false
}

// orderName returns the value of the order field of the body, or the path if the body does not have the field.
func (s *Service) orderName(path string, body []byte) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return path
	}
	raw, ok := fields[s.opts.OrderField]
	if !ok {
		return path
	}
	var name string
	if json.Unmarshal(raw, &name) != nil {
		return string(raw)
	}
	return name
}

func (s *Service) countRun(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Runs++
	s.totals.Orders[order]++
	if s.totals.Orders[order] == 2 {
		s.totals.Repeated++
	}
	return s.totals.Orders[order]
}

func (s *Service) recordRequest(req *fasthttp.Request) {
	s.received.Add(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Requests++
}

// Runs returns the number of runs of the order.
func (s *Service) Runs(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals.Orders[order]
}

// Record returns a copy of the current record.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.totals
	out.DroppedReceived = s.received.Dropped()
	out.Orders = make(map[string]int, len(s.totals.Orders))
	for o, n := range s.totals.Orders {
		out.Orders[o] = n
	}
	return out
}

// Received returns the recorded requests, oldest first. Requests to the control paths below /standin/ are not
// recorded.
func (s *Service) Received() []Received { return s.received.All() }

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	var body FaultsRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if body.Clear {
		s.ClearFaults()
	}
	for _, f := range body.Set {
		if f.Kind == FaultStop {
			go s.Stop()
			continue
		}
		if err := s.SetFault(f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	writeJSON(ctx, body)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// discard drops the HTTP server's log messages. Faults break connections on purpose, and the server would log
// each of them.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

// Package service is a stand-in for a plain service. It counts how often every order was run,
// so that tests can prove that a non-idempotent request ran at most once.
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
	// HeaderRan has the value "no" when it is proven that the request was not run.
	HeaderRan = "X-Service-Ran"
)

// Kinds of faults.
const (
	// FaultRefuse answers 503, proven not run.
	FaultRefuse = "refuse"
	// FaultDelay waits DelayMS before the request runs.
	FaultDelay = "delay"
	// FaultLate runs the request and keeps the answer back for DelayMS.
	FaultLate = "late"
	// FaultLose runs the request and closes the connection without an answer.
	FaultLose = "lose"
	// FaultHang runs the request and never answers; it waits until the other side gives up.
	FaultHang = "hang"
	// FaultFail runs the request and answers 500.
	FaultFail = "fail"
	// FaultWrongID answers with another request's ID.
	FaultWrongID = "wrong_id"
	// FaultStop kills the service: all connections are closed and it no longer listens.
	FaultStop = "stop"
)

var faultKinds = []string{
	FaultRefuse, FaultDelay, FaultLate, FaultLose, FaultHang, FaultFail, FaultWrongID, FaultStop,
}

// Fault is one fault. A fault of a kind replaces the former fault of that kind.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of requests it applies to; zero means until cleared.
	Count   int   `json:"count,omitempty"`
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// FaultsRequest is the body of POST /standin/faults: clears first if asked to, then sets.
type FaultsRequest struct {
	Clear bool    `json:"clear"`
	Set   []Fault `json:"set"`
}

// Options describes one service. Zero fields take the defaults.
type Options struct {
	ID   entity.UpstreamID
	Kind string
	// OrderField is the body field that names the order; without it in the body, the order
	// is the request path. Default "order".
	OrderField string
	// WorkTime is the time that each run takes.
	WorkTime time.Duration
	// ReceivedLimit bounds the recorded requests; the oldest are dropped. Default 4096, -1 records none.
	ReceivedLimit int
}

const (
	defaultReceivedLimit = 4096
	maxBodyBytes         = 8 << 20
)

// Received is one request as it arrived.
type Received = received.Request

// Record is the summary of everything since the service was created.
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

// Service is one plain service stand-in. All methods are safe for concurrent use.
type Service struct {
	opts Options

	lifecycle sync.Mutex
	addr      string
	server    *fasthttp.Server
	ln        *listener.Tracking
	done      chan struct{}

	mu       sync.Mutex
	faults   map[string]*Fault
	sum      Record
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
		sum:      Record{ID: o.ID, Kind: o.Kind, Orders: map[string]int{}},
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
		Handler:               s.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        16 << 10,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
	done := make(chan struct{})
	s.addr, s.ln, s.server, s.done = ln.Addr().String(), ln, server, done
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	return nil
}

// Addr returns host:port.
func (s *Service) Addr() string {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	return s.addr
}

// ID returns the upstream ID.
func (s *Service) ID() entity.UpstreamID { return s.opts.ID }

// Stop kills the service: all connections are closed at once. Its records are kept, and it can
// be started again.
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
	s.ln.Kill()
	<-s.done
}

// Shutdown waits for running requests until ctx ends, and stops.
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

func (s *Service) take(kind string) (time.Duration, bool) {
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
	// Runs is how often the order has been run, this run included.
	Runs int `json:"runs"`
}

func (s *Service) handleWork(ctx *fasthttp.RequestCtx, path string) {
	s.receive(&ctx.Request)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	ctx.Response.Header.Set(HeaderRequestID, id)
	if d, ok := s.take(FaultDelay); ok {
		time.Sleep(d)
	}
	if _, ok := s.take(FaultRefuse); ok {
		ctx.Response.Header.Set(HeaderRan, "no")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	order := s.orderOf(path, ctx.PostBody())
	runs := s.countRun(order)
	time.Sleep(s.opts.WorkTime)
	if s.holdAnswer(ctx) {
		return
	}
	writeJSON(ctx, Answer{order, entity.RequestID(id), runs})
}

// holdAnswer applies the faults that act after the run and reports whether the answer is done.
func (s *Service) holdAnswer(ctx *fasthttp.RequestCtx) bool {
	if _, ok := s.take(FaultLose); ok {
		_ = ctx.Conn().Close()
		return true
	}
	if _, ok := s.take(FaultHang); ok {
		// The read returns when the other side closes the connection or the service is killed.
		_, _ = ctx.Conn().Read(make([]byte, 1))
		_ = ctx.Conn().Close()
		return true
	}
	if d, ok := s.take(FaultLate); ok {
		time.Sleep(d)
	}
	if _, ok := s.take(FaultFail); ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	if _, ok := s.take(FaultWrongID); ok {
		ctx.Response.Header.Set(HeaderRequestID, "other-"+entity.RandomHex(8))
	}
	return false
}

func (s *Service) orderOf(path string, body []byte) string {
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
	s.sum.Runs++
	s.sum.Orders[order]++
	if s.sum.Orders[order] == 2 {
		s.sum.Repeated++
	}
	return s.sum.Orders[order]
}

func (s *Service) receive(req *fasthttp.Request) {
	s.received.Add(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum.Requests++
}

// Runs returns how often the order was run.
func (s *Service) Runs(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum.Orders[order]
}

// Record returns the summary.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.sum
	out.DroppedReceived = s.received.Dropped()
	out.Orders = make(map[string]int, len(s.sum.Orders))
	for o, n := range s.sum.Orders {
		out.Orders[o] = n
	}
	return out
}

// Received returns the recorded requests, oldest first, without those to /standin/.
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

// discard drops the server's messages about connections that faults break on purpose.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

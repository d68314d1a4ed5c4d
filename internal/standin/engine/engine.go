package engine

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/listener"
	"github.com/foxtailpass/foxtailpass/internal/wire"
	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes = 8 << 20
	// maxAppliedOrders limits the number of order IDs in a report.
	maxAppliedOrders = 64
	// minSnapshotInterval limits how often snapshots for lagging reports are taken.
	minSnapshotInterval = 2 * time.Millisecond
)

// Engine is a stand-in for one model engine. All methods are safe for concurrent use.
type Engine struct {
	opts   Options
	faults *faults
	rec    *recorder

	// lifecycle serializes Start, Stop and Restart.
	lifecycle     sync.Mutex
	addr          string
	activeProcess *process

	mu sync.Mutex
	// currentBoot is replaced as a whole when the engine starts and when it stops.
	currentBoot *bootState
	// fences holds the highest fencing token received for each entry. It survives restarts: an engine that
	// loses it on a restart must not be declared as checking fences.
	fences map[string]int64
}

// process holds the server, the listener and the context of one boot.
type process struct {
	ctx    context.Context
	cancel context.CancelFunc
	server *fasthttp.Server
	ln     *listener.Tracking
	done   chan struct{}
}

// bootState is the state that is lost when a boot ends. The engine's lock protects it.
type bootState struct {
	ctx             context.Context
	boot            string
	seq             uint64
	leaving         bool
	reserved        int64
	replicas        map[entity.ModelID]*replica
	adapters        map[string]*adapter
	orderResults    map[string]orderResult
	appliedOrders   []string
	streams         map[entity.RequestID]*stream
	retainedStreams []retainedStream
	cache           *prefixCache
	arrivals        uint64
	snapshots       []snapshot
}

// snapshot is a report and the time at which it was taken.
type snapshot struct {
	at     time.Time
	report wire.UpstreamReport
}

// retainedStream is an ended stream that can be resumed until expiresAt.
type retainedStream struct {
	expiresAt time.Time
	stream    *stream
}

func newBootState(ctx context.Context, o Options, boot string) *bootState {
	return &bootState{
		ctx:          ctx,
		boot:         boot,
		replicas:     map[entity.ModelID]*replica{},
		adapters:     map[string]*adapter{},
		orderResults: map[string]orderResult{},
		streams:      map[entity.RequestID]*stream{},
		cache:        newPrefixCache(o.PrefixCacheBytes),
	}
}

// New returns an engine that is not started.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{opts: o, fences: map[string]int64{}, faults: newFaults(), rec: newRecorder(o.ReceivedLimit)}
	e.currentBoot = newBootState(context.Background(), o, o.Boot)
	return e
}

// Start serves on addr, for example "127.0.0.1:0".
func (e *Engine) Start(addr string) error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	return e.start(addr, e.opts.Boot)
}

func (e *Engine) start(addr, boot string) error {
	if e.activeProcess != nil {
		return fmt.Errorf("engine %s: already started", e.opts.ID)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("engine %s: listen: %w", e.opts.ID, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{ctx: ctx, cancel: cancel, ln: listener.New(ln), done: make(chan struct{})}
	p.server = &fasthttp.Server{
		Handler:               e.handle,
		Name:                  "foxtailstandin",
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        16 << 10,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discard{},
	}
	e.mu.Lock()
	e.currentBoot = newBootState(ctx, e.opts, boot)
	e.takeSnapshot(time.Now())
	e.mu.Unlock()
	e.addr = ln.Addr().String()
	e.activeProcess = p
	go func() {
		defer close(p.done)
		_ = p.server.Serve(p.ln)
	}()
	if e.opts.ReportLag > 0 {
		go e.snapshotLoop(ctx)
	}
	return nil
}

// Addr returns the listen address as host:port. It stays the same over restarts.
func (e *Engine) Addr() string {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	return e.addr
}

// ID returns the upstream ID.
func (e *Engine) ID() entity.UpstreamID { return e.opts.ID }

// Boot returns the name of the current boot.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentBoot.boot
}

// Stop simulates a crash: all connections are closed at once and the state of the boot is lost.
func (e *Engine) Stop() {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.stop()
}

func (e *Engine) stop() {
	p := e.activeProcess
	if p == nil {
		return
	}
	e.activeProcess = nil
	// The connections are closed before the context is canceled, so that no handler can send an answer about
	// the cancellation.
	p.ln.CloseAll()
	p.cancel()
	e.mu.Lock()
	e.discardBootState()
	e.mu.Unlock()
	<-p.done
}

// Restart stops the engine as Stop does, if it runs, and starts it at the same address with a new boot name
// and no loaded models.
func (e *Engine) Restart() error { return e.restartAfter(0) }

func (e *Engine) restartAfter(down time.Duration) error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.stop()
	time.Sleep(down)
	return e.start(e.addr, entity.RandomHex(8))
}

// Shutdown refuses new requests, waits until the running requests or ctx end, and then stops the engine.
func (e *Engine) Shutdown(ctx context.Context) error {
	e.SetLeaving(true)
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	var err error
	if e.activeProcess != nil {
		err = e.activeProcess.server.ShutdownWithContext(ctx)
	}
	e.stop()
	return err
}

// SetLeaving sets whether the engine is leaving. A leaving engine refuses new requests with 503 "draining"
// and reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentBoot.leaving = leaving
	e.currentBoot.seq++
}

// discardBootState ends all requests of the current boot, removes its replicas and replaces its state by an empty
// one.
func (e *Engine) discardBootState() {
	now := time.Now()
	m := e.currentBoot
	for _, st := range m.streams {
		st.setPhase(phaseRefused, "killed")
	}
	for _, r := range m.replicas {
		for _, st := range r.waiting {
			st.setPhase(phaseRefused, "killed")
		}
		e.accountReplicaTime(r, now)
		r.removed = true
		e.opts.Store.addReplica(r.model, -1)
	}
	e.currentBoot = newBootState(m.ctx, e.opts, m.boot)
}

// Report returns the current state of the engine, without the report lag.
func (e *Engine) Report() wire.UpstreamReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report()
}

func (e *Engine) report() wire.UpstreamReport {
	m := e.currentBoot
	r := wire.UpstreamReport{
		Upstream:      e.opts.ID,
		Boot:          m.boot,
		Seq:           m.seq,
		Leaving:       m.leaving,
		MemoryBytes:   e.opts.MemoryBytes,
		UsedBytes:     m.reserved,
		Entries:       []wire.ReportedEntry{},
		AppliedOrders: append([]string{}, m.appliedOrders...),
	}
	for _, rep := range m.replicas {
		r.Running += rep.running
		r.Waiting += len(rep.waiting)
		r.Entries = append(r.Entries, wire.ReportedEntry{
			Model: rep.model, State: rep.state, OrderID: rep.orderID,
			Fence: rep.fence, Bytes: rep.bytes, Running: rep.running,
		})
	}
	for _, a := range m.adapters {
		r.Entries = append(r.Entries, wire.ReportedEntry{
			Model: a.model, Adapter: a.adapter, State: a.state,
			OrderID: a.orderID, Fence: a.fence, Bytes: a.bytes,
		})
	}
	return r
}

// laggedReport returns the report about the state of ReportLag ago. If the current boot is younger than that, it
// returns the first report of the boot.
func (e *Engine) laggedReport(now time.Time) wire.UpstreamReport {
	if e.opts.ReportLag <= 0 {
		return e.report()
	}
	found := e.currentBoot.snapshots[0]
	for _, s := range e.currentBoot.snapshots[1:] {
		if now.Sub(s.at) < e.opts.ReportLag {
			break
		}
		found = s
	}
	found.report.Age = now.Sub(found.at)
	return found.report
}

func (e *Engine) snapshotLoop(ctx context.Context) {
	tick := time.NewTicker(max(e.opts.ReportLag/10, minSnapshotInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.mu.Lock()
			if ctx.Err() == nil {
				e.takeSnapshot(now)
			}
			e.mu.Unlock()
		}
	}
}

// takeSnapshot records the current state and drops the snapshots that are too old for any later report.
func (e *Engine) takeSnapshot(now time.Time) {
	m := e.currentBoot
	m.snapshots = append(m.snapshots, snapshot{now, e.report()})
	for len(m.snapshots) > 1 && now.Sub(m.snapshots[1].at) > e.opts.ReportLag {
		m.snapshots = m.snapshots[1:]
	}
}

// discard drops the HTTP server's log messages. Faults break connections on purpose, and the server would log
// each of them.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

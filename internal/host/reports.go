package host

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// observersPerUpstream is the number of hosts that regularly read the report of an upstream, so that one of
	// them relays it to the others. If every host read every upstream, one round would take 1.4 million reads at
	// 700 hosts and 2,000 replicas.
	observersPerUpstream = 2
	// reportTimeout limits the time for reading one report.
	reportTimeout = time.Second
	// maxRelaySilence is how long a host waits for a relayed report before it reads an upstream itself, and
	// before the second observer relays in place of the first.
	maxRelaySilence = time.Second
	// loadRelayInterval is the minimum time between two relays of a changed load, the number of requests of an
	// upstream. A full report is relayed at once when it changes in a way that matters to placement, and
	// otherwise only every fullReportInterval: relaying every report that is read would cost 170 KB/s at each
	// of 8 hosts with 22 engines.
	loadRelayInterval  = 500 * time.Millisecond
	fullReportInterval = 5 * time.Second
	// idleReadInterval is the time between two reads of an engine that runs no request and loads or unloads
	// no model. A read costs about 150 us, and most engines are idle most of the time.
	idleReadInterval = 500 * time.Millisecond
	// fullRateAfterOrder is how long an engine is read at the full rate after an order was sent to it.
	fullRateAfterOrder = 2 * time.Second
	// maxParallelReads limits the number of reports that are read concurrently.
	maxParallelReads = 32
)

// readyState is the state, in reports, of a model or adapter that is loaded and serves requests.
const readyState = "ready"

// reporter reads the reports of the engines that this host observes, passes them to the control state and relays
// them to the other hosts. Two hosts observe each engine; see observersPerUpstream.
type reporter struct {
	self      entity.HostID
	interval  time.Duration
	upstreams *upstream.Client
	peers     *peer.Manager
	send      func(control.Event)

	mu        sync.Mutex
	engines   map[entity.UpstreamID]*engineEntry
	hosts     []entity.HostID
	readQueue chan *engineEntry
}

// engineEntry holds what the reporter knows about one engine.
type engineEntry struct {
	id   entity.UpstreamID
	addr string
	// rank is the number of registered hosts that precede this host as observers of the engine.
	rank int
	// isReading is set from the time when a read is queued until it has ended.
	isReading bool
	// lastRead is when this host last read a report. lastReceived is when it last received a report or a load
	// that another host has relayed.
	lastRead, lastReceived time.Time
	// nextRead is the earliest time of the next read.
	nextRead time.Time
	// fullRateUntil is the time until which this host reads the engine at the full rate, even if it is not
	// one of the observers.
	fullRateUntil time.Time
	// relayed is when this host last relayed a full report, and loadRelayed when it last relayed a load,
	// alone or in a full report. content is the placementContent of the last full report that it relayed,
	// and relayedRequests the number of requests in the last load.
	relayed, loadRelayed time.Time
	content              string
	relayedRequests      int
}

func newReporter(self entity.HostID, interval time.Duration, u *upstream.Client, p *peer.Manager, send func(control.Event)) *reporter {
	return &reporter{
		self:      self,
		interval:  interval,
		upstreams: u,
		peers:     p,
		send:      send,
		engines:   make(map[entity.UpstreamID]*engineEntry),
		readQueue: make(chan *engineEntry, maxParallelReads),
	}
}

// setUpstreams replaces the list of engines.
func (r *reporter) setUpstreams(list []config.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[entity.UpstreamID]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		engine, ok := r.engines[u.ID]
		if !ok {
			engine = &engineEntry{id: u.ID}
			r.engines[u.ID] = engine
		}
		engine.addr = u.Addr
	}
	for id := range r.engines {
		if !listed[id] {
			delete(r.engines, id)
		}
	}
	r.updateRanks()
}

// setHosts replaces the list of registered hosts, among which the engines are divided.
func (r *reporter) setHosts(hosts []entity.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.updateRanks()
}

// updateRanks computes the rank of this host for every engine; mu must be held.
func (r *reporter) updateRanks() {
	for _, engine := range r.engines {
		engine.rank = observerRank(r.self, engine.id, r.hosts)
	}
}

// observerRank returns how many hosts precede self as observers of an upstream, by rendezvous hashing.
func observerRank(self entity.HostID, id entity.UpstreamID, hosts []entity.HostID) int {
	own := rendezvousWeight(self, id)
	before := 0
	for _, h := range hosts {
		if h != self && rendezvousWeight(h, id) > own {
			before++
		}
	}
	return before
}

func rendezvousWeight(h entity.HostID, id entity.UpstreamID) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(id))
}

// handleRelayed records the time at which reports or loads relayed by another host were received.
func (r *reporter) handleRelayed(m wire.Message, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := m.(type) {
	case *wire.Reports:
		for i := range m.Reports {
			r.recordRelay(m.Reports[i].Upstream, now)
		}
	case *wire.Loads:
		for _, l := range m.Loads {
			r.recordRelay(l.Upstream, now)
		}
	}
}

func (r *reporter) recordRelay(id entity.UpstreamID, now time.Time) {
	if engine, ok := r.engines[id]; ok {
		engine.lastReceived = now
	}
}

// run reads reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for range maxParallelReads {
		go r.runReader(ctx)
	}
	tick := time.NewTicker(max(r.interval/2, 5*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.queueDueReads(now)
		}
	}
}

// queueDueReads queues a read of every engine that this host should read now, until the queue is full.
func (r *reporter) queueDueReads(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, engine := range r.engines {
		if engine.isReading || now.Before(engine.nextRead) || !engine.shouldRead(now) {
			continue
		}
		select {
		case r.readQueue <- engine:
			engine.isReading = true
			engine.nextRead = now.Add(r.interval)
		default:
			return
		}
	}
}

// shouldRead reports whether this host reads the engine: it is one of the observers, it has recently sent an
// order to the engine, or the observers have relayed nothing for maxRelaySilence.
func (engine *engineEntry) shouldRead(now time.Time) bool {
	return engine.rank < observersPerUpstream || now.Before(engine.fullRateUntil) || now.Sub(engine.lastReceived) >= maxRelaySilence
}

// readAtFullRate makes this host read an engine at the full rate for fullRateAfterOrder, starting at once. It
// is called when an order was sent to the engine.
func (r *reporter) readAtFullRate(id entity.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	engine, ok := r.engines[id]
	if !ok {
		return
	}
	now := time.Now()
	engine.fullRateUntil = now.Add(fullRateAfterOrder)
	engine.nextRead = now
}

// isIdle reports whether an engine has no requests and loads or unloads nothing.
func isIdle(report *wire.UpstreamReport) bool {
	if report.Running+report.Waiting > 0 {
		return false
	}
	for i := range report.Entries {
		if report.Entries[i].State != readyState {
			return false
		}
	}
	return true
}

// runReader executes queued reads until ctx ends.
func (r *reporter) runReader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case engine := <-r.readQueue:
			r.read(ctx, engine)
		}
	}
}

// read reads the report of an engine, passes it to the control state and relays it if needed.
func (r *reporter) read(ctx context.Context, engine *engineEntry) {
	r.mu.Lock()
	addr := engine.addr
	r.mu.Unlock()
	report, err := r.upstreams.State(ctx, addr, time.Now().Add(reportTimeout))
	now := time.Now()
	if err == nil && report.Upstream == engine.id {
		r.send(control.Report{Report: report, ReceivedAt: now})
		if m := r.relayed(engine, report, now); m != nil {
			r.broadcast(m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	engine.isReading = false
	if err == nil && isIdle(report) && now.After(engine.fullRateUntil) {
		engine.nextRead = now.Add(max(r.interval, idleReadInterval))
	}
}

func (r *reporter) broadcast(m wire.Message) {
	for _, l := range r.peers.Links() {
		r.peers.Send(l.Host, m)
	}
}

// relayed returns the message to relay to the other hosts after a read, or nil if nothing is to be relayed. Only
// the first observer relays, or the second one if it has received nothing for maxRelaySilence.
func (r *reporter) relayed(engine *engineEntry, report *wire.UpstreamReport, now time.Time) wire.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	engine.lastRead = now
	if engine.rank > 0 && (engine.rank >= observersPerUpstream || now.Sub(engine.lastReceived) < maxRelaySilence) {
		return nil
	}
	content := placementContent(report)
	load := report.Load()
	if content != engine.content || now.Sub(engine.relayed) >= fullReportInterval {
		engine.content, engine.relayed, engine.loadRelayed, engine.relayedRequests = content, now, now, load.Requests
		return &wire.Reports{Reports: []wire.UpstreamReport{*report}}
	}
	minInterval := loadRelayInterval
	if load.Requests == engine.relayedRequests {
		// An unchanged load is relayed after every read of an idle engine. Otherwise hosts that are not
		// observers would read the engine themselves after maxRelaySilence. The interval is below
		// idleReadInterval, because it must not skip any of these reads.
		minInterval = idleReadInterval * 4 / 5
	}
	if now.Sub(engine.loadRelayed) < minInterval {
		return nil
	}
	engine.loadRelayed, engine.relayedRequests = now, load.Requests
	return &wire.Loads{Loads: []wire.UpstreamLoad{load}}
}

// placementContent encodes the parts of a report on which placement decisions depend. Two reports with the same
// content need not both be relayed in full.
func placementContent(report *wire.UpstreamReport) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %t %d", report.Boot, report.Leaving, report.MemoryBytes)
	for i := range report.Entries {
		e := &report.Entries[i]
		fmt.Fprintf(&b, " %s:%s=%s/%s/%d", e.Model, e.Adapter, e.State, e.OrderID, e.Fence)
	}
	fmt.Fprint(&b, report.AppliedOrders)
	return b.String()
}

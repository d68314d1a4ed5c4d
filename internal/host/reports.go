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
	// observersPerUpstream is how many hosts read an upstream's report and relay it. Every host
	// reading every upstream would cost 1.4 million reads at 700 hosts and 2,000 replicas.
	observersPerUpstream = 2
	// reportTimeout bounds the reading of one report.
	reportTimeout = time.Second
	// relaySilence is how long a host waits for relayed reports before it reads an upstream itself,
	// and before the second observer relays in place of the first.
	relaySilence = time.Second
	// loadInterval is the least time between two relays of an upstream's load. A full report goes
	// out at once when models change, and otherwise only every refreshInterval: all of them at the
	// rate of reading would be 170 KB/s at each of 8 hosts with 22 engines.
	loadInterval    = 500 * time.Millisecond
	refreshInterval = 5 * time.Second
	// idleInterval is the time between two reads of an engine that neither works nor loads. A read
	// costs about 150 us, and most engines are idle most of the time.
	idleInterval = 500 * time.Millisecond
	// orderAttention is how long an engine is read at the full rate after an order was sent to it.
	orderAttention = 2 * time.Second
	// reportWorkers bounds the reports that are read at the same time.
	reportWorkers = 32
)

// readyState is the state of a loaded entry in reports.
const readyState = "ready"

// reporter reads the reports of the engines that this host observes and relays them.
type reporter struct {
	self      entity.HostID
	interval  time.Duration
	upstreams *upstream.Client
	peers     *peer.Manager
	send      func(control.Event)

	mu     sync.Mutex
	rows   map[entity.UpstreamID]*reportRow
	hosts  []entity.HostID
	workCh chan *reportRow
}

// reportRow is one engine.
type reportRow struct {
	id   entity.UpstreamID
	addr string
	// rank is the number of live hosts that come before this one as observers.
	rank int
	busy bool
	// read and heard are when a report was last read here and relayed by another host.
	read, heard time.Time
	due         time.Time
	// attention is until when this host reads the engine at the full rate, whoever observes it.
	attention time.Time
	// relayed and loadRelayed are when a report and a load were last relayed, with their content.
	relayed, loadRelayed time.Time
	content              string
	requests             int
}

func newReporter(self entity.HostID, interval time.Duration, u *upstream.Client, p *peer.Manager, send func(control.Event)) *reporter {
	return &reporter{
		self:      self,
		interval:  interval,
		upstreams: u,
		peers:     p,
		send:      send,
		rows:      make(map[entity.UpstreamID]*reportRow),
		workCh:    make(chan *reportRow, reportWorkers),
	}
}

// setUpstreams replaces the engines to be read.
func (r *reporter) setUpstreams(list []config.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := make(map[entity.UpstreamID]bool, len(list))
	for _, u := range list {
		keep[u.ID] = true
		row, ok := r.rows[u.ID]
		if !ok {
			row = &reportRow{id: u.ID}
			r.rows[u.ID] = row
		}
		row.addr = u.Addr
	}
	for id := range r.rows {
		if !keep[id] {
			delete(r.rows, id)
		}
	}
	r.assign()
}

// setHosts replaces the live hosts, which share the engines among them.
func (r *reporter) setHosts(hosts []entity.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.assign()
}

func (r *reporter) assign() {
	for _, row := range r.rows {
		row.rank = observerRank(r.self, row.id, r.hosts)
	}
}

// observerRank returns how many hosts come before self as observers of an upstream, by
// rendezvous hashing.
func observerRank(self entity.HostID, id entity.UpstreamID, hosts []entity.HostID) int {
	own := weight(self, id)
	before := 0
	for _, h := range hosts {
		if h != self && weight(h, id) > own {
			before++
		}
	}
	return before
}

func weight(h entity.HostID, id entity.UpstreamID) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(id))
}

// handleRelayed notes reports and loads that other hosts have read.
func (r *reporter) handleRelayed(m wire.Message, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := m.(type) {
	case *wire.Reports:
		for i := range m.Reports {
			r.note(m.Reports[i].Upstream, now)
		}
	case *wire.Loads:
		for _, l := range m.Loads {
			r.note(l.Upstream, now)
		}
	}
}

func (r *reporter) note(id entity.UpstreamID, now time.Time) {
	if row, ok := r.rows[id]; ok {
		row.heard = now
	}
}

// run reads reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for range reportWorkers {
		go r.work(ctx)
	}
	tick := time.NewTicker(max(r.interval/2, 5*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.dispatch(now)
		}
	}
}

func (r *reporter) dispatch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.rows {
		if row.busy || now.Before(row.due) || !row.wanted(now) {
			continue
		}
		select {
		case r.workCh <- row:
			row.busy = true
			row.due = now.Add(r.interval)
		default:
			return
		}
	}
}

// wanted says whether this host reads the engine: it is one of the observers, it has sent an order
// to it, or the observers are silent.
func (row *reportRow) wanted(now time.Time) bool {
	return row.rank < observersPerUpstream || now.Before(row.attention) || now.Sub(row.heard) >= relaySilence
}

// attend reads an engine at the full rate for a while, because an order was sent to it.
func (r *reporter) attend(id entity.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[id]
	if !ok {
		return
	}
	now := time.Now()
	row.attention = now.Add(orderAttention)
	row.due = now
}

// isIdle says whether an engine neither works nor changes what it has loaded.
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

func (r *reporter) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case row := <-r.workCh:
			r.read(ctx, row)
		}
	}
}

func (r *reporter) read(ctx context.Context, row *reportRow) {
	r.mu.Lock()
	addr := row.addr
	r.mu.Unlock()
	report, err := r.upstreams.State(ctx, addr, time.Now().Add(reportTimeout))
	now := time.Now()
	if err == nil && report.Upstream == row.id {
		r.send(control.Report{Report: report, ReceivedAt: now})
		if m := r.relayed(row, report, now); m != nil {
			r.broadcast(m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	row.busy = false
	if err == nil && isIdle(report) && now.After(row.attention) {
		row.due = now.Add(max(r.interval, idleInterval))
	}
}

func (r *reporter) broadcast(m wire.Message) {
	for _, l := range r.peers.Links() {
		r.peers.Send(l.Host, m)
	}
}

// relayed returns what the other hosts are to be told, or nil. Only the first observer relays,
// unless it is silent.
func (r *reporter) relayed(row *reportRow, report *wire.UpstreamReport, now time.Time) wire.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	row.read = now
	if row.rank > 0 && (row.rank >= observersPerUpstream || now.Sub(row.heard) < relaySilence) {
		return nil
	}
	content := contentOf(report)
	load := report.Load()
	if content != row.content || now.Sub(row.relayed) >= refreshInterval {
		row.content, row.relayed, row.loadRelayed, row.requests = content, now, now, load.Requests
		return &wire.Reports{Reports: []wire.UpstreamReport{*report}}
	}
	due := loadInterval
	if load.Requests == row.requests {
		// An unchanged load is repeated with every read of an idle engine, so that nobody else
		// reads it.
		due = idleInterval * 4 / 5
	}
	if now.Sub(row.loadRelayed) < due {
		return nil
	}
	row.loadRelayed, row.requests = now, load.Requests
	return &wire.Loads{Loads: []wire.UpstreamLoad{load}}
}

// contentOf identifies everything in a report that placement decides by.
func contentOf(report *wire.UpstreamReport) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %t %d", report.Boot, report.Leaving, report.MemoryBytes)
	for i := range report.Entries {
		e := &report.Entries[i]
		fmt.Fprintf(&b, " %s:%s=%s/%s/%d", e.Model, e.Adapter, e.State, e.OrderID, e.Fence)
	}
	fmt.Fprint(&b, report.AppliedOrders)
	return b.String()
}

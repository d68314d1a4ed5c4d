package host

import (
	"context"
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
	// relaySilence is how long a host waits for relayed reports before it reads an upstream itself.
	relaySilence = time.Second
	// reportWorkers bounds the reports that are read at the same time.
	reportWorkers = 32
)

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
	id       entity.UpstreamID
	addr     string
	observed bool
	busy     bool
	// heard is when a report was last read or relayed.
	heard time.Time
	due   time.Time
	// relayed is what was last relayed.
	boot string
	seq  uint64
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
		row.observed = observes(r.self, row.id, r.hosts)
	}
}

// observes says whether self is among the hosts that read an upstream, by rendezvous hashing.
func observes(self entity.HostID, id entity.UpstreamID, hosts []entity.HostID) bool {
	own := weight(self, id)
	before := 0
	for _, h := range hosts {
		if h != self && weight(h, id) > own {
			before++
		}
	}
	return before < observersPerUpstream
}

func weight(h entity.HostID, id entity.UpstreamID) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(id))
}

// handleRelayed notes reports that other hosts have read.
func (r *reporter) handleRelayed(m *wire.Reports, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range m.Reports {
		if row, ok := r.rows[m.Reports[i].Upstream]; ok {
			row.heard = now
		}
	}
}

// run reads reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for range reportWorkers {
		go r.work(ctx)
	}
	tick := time.NewTicker(max(r.interval/4, 5*time.Millisecond))
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
		if row.busy || now.Before(row.due) || !row.observed && now.Sub(row.heard) < relaySilence {
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
		r.relay(row, report)
	}
	r.mu.Lock()
	row.busy = false
	if err == nil {
		row.heard = now
	}
	r.mu.Unlock()
}

// relay sends a report to the linked hosts when the engine's state has changed, or often enough
// that they do not read the engine themselves.
func (r *reporter) relay(row *reportRow, report *wire.UpstreamReport) {
	r.mu.Lock()
	changed := row.observed && (row.boot != report.Boot || row.seq != report.Seq || time.Since(row.heard) > relaySilence/2)
	row.boot, row.seq = report.Boot, report.Seq
	r.mu.Unlock()
	if !changed {
		return
	}
	m := &wire.Reports{Reports: []wire.UpstreamReport{*report}}
	for _, l := range r.peers.Links() {
		r.peers.Send(l.Host, m)
	}
}

package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/platform"
	"github.com/foxtailpass/foxtailpass/platform/standin"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

var (
	seedCount   = flag.Int("soak.seeds", 1, "number of seeds")
	firstSeed   = flag.Uint64("soak.first", 1, "first seed")
	duration    = flag.Duration("soak.time", 25*time.Second, "time during which each seed injects faults")
	hosts       = flag.Int("soak.hosts", 4, "number of entry hosts")
	callerCount = flag.Int("soak.callers", 24, "number of concurrent callers")
)

// recoveryLimit is the time that each host, checked one after another, has to become ready after the last fault has
// ended. Requests are then sent for the same time once more. Of the requests that servedBetween counts in the second
// half of it, except for its last second, at least 90 % must be served.
const recoveryLimit = 8 * time.Second

// TestSoak checks the guarantees to callers and upstreams under a seeded series of overlapping faults.
func TestSoak(t *testing.T) {
	bin := buildHost(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, bin, seed) })
	}
}

func runSeed(t *testing.T, bin string, seed uint64) {
	s := newSite(t, bin, *hosts)
	var c callers
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, s, seed, *callerCount)
	}()
	rec := &record{}
	d := &faultInjector{site: s, rand: rand.New(rand.NewPCG(seed, 99)), record: rec}
	d.run(time.Now().Add(*duration))
	for _, h := range s.hosts {
		s.await(recoveryLimit, h.name+" is ready after the last fault", h.ready)
	}
	allReady := time.Now()
	time.Sleep(recoveryLimit)
	stop()
	<-done
	rec.collect(s, &c)
	for _, f := range rec.findings() {
		t.Errorf("seed %d: %s", seed, f)
	}
	byStatus := make(map[int]int)
	for _, x := range rec.exchanges {
		byStatus[x.status]++
	}
	served, total := servedBetween(rec.exchanges, allReady.Add(recoveryLimit/2), allReady.Add(recoveryLimit-time.Second))
	if total == 0 || served < total*9/10 {
		t.Errorf("seed %d: %d of %d requests with key-1 to plain services got status 200 after all faults had ended, want at least one request, and 90 %% of them served", seed, served, total)
	}
	t.Logf("seed %d: %d requests, by status %v, %d of %d with key-1 to plain services served at the end; faults: %s", seed, len(rec.exchanges), byStatus, served, total, strings.Join(d.log, ", "))
}

// servedBetween counts the requests to plain services that were sent between from and to with key-1, and those of
// them that were answered with status 200. key-1 is never withdrawn, and the rate of its workspace covers these
// requests, which cost few tokens. Streamed requests cost more, so some of them may be refused.
func servedBetween(all []*exchange, from, to time.Time) (served, total int) {
	for _, x := range all {
		if x.key != "key-1" || x.streams() || x.sent.Before(from) || x.sent.After(to) {
			continue
		}
		total++
		if x.status == 200 {
			served++
		}
	}
	return served, total
}

// collect stores in the record the exchanges of the callers and, of each upstream, the runs of requests and the
// orders to load or unload a model.
func (r *record) collect(s *site, c *callers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.exchanges = c.all
	r.runs = make(map[string][]standin.Run)
	r.orders = make(map[string][]standin.Order)
	for _, u := range s.replicas() {
		for _, run := range u.Runs() {
			r.runs[run.ID] = append(r.runs[run.ID], run)
		}
		r.orders[u.ID] = u.Orders()
		if u.ID == r.drained {
			r.drainedRuns = u.Runs()
		}
	}
}

// faultInjector injects faults, several of which may overlap.
type faultInjector struct {
	site    *site
	rand    *rand.Rand
	record  *record
	log     []string
	pending sync.WaitGroup
	mu      sync.Mutex
	// busy holds the hosts with a process fault (kill, pause or stop) that has not ended yet. They get no
	// second one at the same time.
	busy map[*host]bool
	// version is the version of the newest configuration in the store.
	version int
}

func (d *faultInjector) run(end time.Time) {
	d.busy = make(map[*host]bool)
	d.version = 1
	actions := []func(){d.killHost, d.pauseHost, d.stopHost, d.failStore, d.disturbStoreLink, d.disturbStoreLink, d.failUpstream, d.failUpstream, d.withdrawKey, d.drainUpstream}
	for time.Now().Before(end) {
		actions[d.rand.IntN(len(actions))]()
		time.Sleep(time.Duration(200+d.rand.IntN(900)) * time.Millisecond)
	}
	d.pending.Wait()
}

func (d *faultInjector) logFault(format string, args ...any) {
	d.log = append(d.log, fmt.Sprintf("%.1f ", time.Since(d.site.began).Seconds())+fmt.Sprintf(format, args...))
}

func (d *faultInjector) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(d.rand.Int64N(int64(most-least)))
}

// reserveHost picks a random host and marks it as busy. It returns nil if the host is busy already.
func (d *faultInjector) reserveHost() *host {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.site.hosts[d.rand.IntN(len(d.site.hosts))]
	if d.busy[h] {
		return nil
	}
	d.busy[h] = true
	return h
}

// runHostFault runs f in the background. f injects a fault into the process of the host and ends it; until f
// returns, the host is disturbed (see disturbance) and busy. planned is set for a graceful stop.
func (d *faultInjector) runHostFault(h *host, planned bool, f func()) {
	end := h.beginDisturbance(planned)
	d.pending.Go(func() {
		f()
		end()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.busy[h] = false
	})
}

func (d *faultInjector) killHost() {
	h, pause := d.reserveHost(), d.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	if h == nil {
		return
	}
	d.logFault("kill %s", h.name)
	d.runHostFault(h, false, func() {
		h.kill()
		time.Sleep(pause)
		h.start()
		time.Sleep(time.Second)
	})
}

func (d *faultInjector) pauseHost() {
	h, pause := d.reserveHost(), d.randomDuration(300*time.Millisecond, 4*time.Second)
	if h == nil {
		return
	}
	d.logFault("pause %s for %s", h.name, pause)
	d.runHostFault(h, false, func() {
		h.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		h.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	})
}

func (d *faultInjector) stopHost() {
	h := d.reserveHost()
	if h == nil {
		return
	}
	d.logFault("stop %s", h.name)
	d.runHostFault(h, true, func() {
		h.signal(syscall.SIGTERM)
		if !h.awaitExit(stopGracePeriod + 2*time.Second) {
			d.site.t.Errorf("%s still ran 2 s after the end of its grace period", h.name)
			h.kill()
		}
		h.start()
		time.Sleep(time.Second)
	})
}

// failStore makes the store discard its history of changes, which ends the watches of hosts that have not read all
// of it, or makes the store fail for all hosts for a while.
func (d *faultInjector) failStore() {
	f := []standin.Faults{{Down: true}, {Silent: true}, {LoseAnswers: true}}[d.rand.IntN(3)]
	pause := d.randomDuration(300*time.Millisecond, 3*time.Second)
	if d.rand.IntN(4) == 0 {
		d.logFault("the store discards its history of changes")
		d.site.store.DiscardHistory()
		return
	}
	d.logFault("store %+v for %s", f, pause)
	d.site.store.SetFaults(f)
	d.pending.Go(func() {
		time.Sleep(pause)
		d.site.store.SetFaults(standin.Faults{})
	})
}

// disturbStoreLink delays, blocks or resets the connections of one host to the store. In the toxics, as in
// Toxiproxy, upstream is the direction from the host to the store, and downstream the opposite one.
func (d *faultInjector) disturbStoreLink() {
	h := d.site.hosts[d.rand.IntN(len(d.site.hosts))]
	link, pause := storeLink(h.name), d.randomDuration(500*time.Millisecond, 4*time.Second)
	name := fmt.Sprint("t", len(d.log))
	toxics := []harness.Toxic{
		{Name: name, Type: "latency", Stream: "downstream", Attributes: map[string]int{"latency": 150, "jitter": 100}},
		{Name: name, Type: "timeout", Stream: "upstream", Attributes: map[string]int{"timeout": 0}},
		{Name: name, Type: "timeout", Stream: "downstream", Attributes: map[string]int{"timeout": 0}},
		{Name: name, Type: "reset_peer", Stream: "downstream", Attributes: map[string]int{"timeout": 50}},
	}
	x := toxics[d.rand.IntN(len(toxics))]
	d.logFault("%s on the link %s in direction %s for %s", x.Type, link, x.Stream, pause)
	d.site.network.InjectToxic(link, x)
	d.pending.Go(func() {
		time.Sleep(pause)
		d.site.network.ClearToxic(link, name)
	})
}

func (d *faultInjector) failUpstream() {
	all := d.site.replicas()
	u := all[d.rand.IntN(len(all))]
	faults := []standin.ReplicaFaults{{Full: true}, {Full: true, RetryAfter: "0.8"}, {Status: 500}}
	if u.Capacity > 0 {
		faults = append(faults, standin.ReplicaFaults{BreakAfter: 3})
	} else {
		// With Truncate or Extra the stand-in sends a plain answer in place of an event stream, so these faults are
		// injected at plain services only.
		faults = append(faults, standin.ReplicaFaults{Truncate: true}, standin.ReplicaFaults{Extra: true})
	}
	f := faults[d.rand.IntN(len(faults))]
	pause := d.randomDuration(300*time.Millisecond, 2*time.Second)
	d.logFault("%s %+v for %s", u.ID, f, pause)
	u.SetFaults(f)
	d.pending.Go(func() {
		time.Sleep(pause)
		u.SetFaults(standin.ReplicaFaults{})
	})
}

func (d *faultInjector) withdrawKey() {
	if !d.record.keyWithdrawnAt.IsZero() {
		return
	}
	d.logFault("withdraw key-2")
	d.version++
	d.site.store.Put(platform.ConfigKey, siteConfig(d.version, "key-1"))
	d.record.keyWithdrawnAt = time.Now()
}

func (d *faultInjector) drainUpstream() {
	if !d.record.drainedAt.IsZero() {
		return
	}
	u := d.site.plain[2]
	d.logFault("drain %s", u.ID)
	u.Drain()
	d.record.drained, d.record.drainedAt = u.ID, time.Now()
}

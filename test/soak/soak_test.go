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
	hosts       = flag.Int("soak.hosts", 4, "number of hosts")
	callerCount = flag.Int("soak.callers", 24, "number of concurrent callers")
)

// recoveryLimit has three uses after the last fault has ended. First, it limits the wait for each host to become
// ready, one host after another. Second, it is the length of the pause that follows, in which the callers go on sending
// requests. Third, it sets the measuring window: the second half of that pause without its last second. At least 90 %
// of the requests that servedBetween counts in the window must be served.
const recoveryLimit = 8 * time.Second

// requestLimitNotice is the time after the first request limit of an upstream from which the hosts must keep it.
const requestLimitNotice = 3 * time.Second

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
	inj := &faultInjector{site: s, rand: rand.New(rand.NewPCG(seed, 99)), record: rec}
	end := time.Now().Add(*duration)
	var series sync.WaitGroup
	series.Go(func() { limitUpstreams(s, seed, end) })
	series.Go(func() { restoreStore(s, seed, end) })
	inj.run(end)
	series.Wait()
	for _, h := range s.hosts {
		s.await(recoveryLimit, h.name+" is ready after the last fault", h.ready)
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", h.name, h.logTail())
		}
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
	t.Logf("seed %d: %d requests, by status %v, %d of %d with key-1 to plain services served at the end; faults: %s", seed, len(rec.exchanges), byStatus, served, total, strings.Join(inj.log, ", "))
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
	for _, u := range s.upstreams() {
		for _, run := range u.Runs() {
			r.runs[run.ID] = append(r.runs[run.ID], run)
		}
		r.orders[u.ID] = u.Orders()
		for _, b := range u.RequestLimitBreaches(requestLimitNotice) {
			r.requestLimitFindings = append(r.requestLimitFindings, u.ID+": "+b)
		}
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
	// busy holds the hosts with a process fault (kill, pause or stop) that has not ended yet. No second
	// process fault is injected at these hosts meanwhile.
	busy map[*host]bool
	// version is the version of the newest configuration in the store.
	version int
}

func (inj *faultInjector) run(end time.Time) {
	inj.busy = make(map[*host]bool)
	inj.version = 1
	actions := []func(){inj.killHost, inj.pauseHost, inj.stopHost, inj.failStore, inj.disturbStoreLink, inj.disturbStoreLink, inj.failUpstream, inj.failUpstream, inj.withdrawKey, inj.drainUpstream}
	for time.Now().Before(end) {
		actions[inj.rand.IntN(len(actions))]()
		time.Sleep(time.Duration(200+inj.rand.IntN(900)) * time.Millisecond)
	}
	inj.pending.Wait()
}

// limitUpstreams makes one upstream after another name a request limit for some seconds. It has its own random series,
// so that the faults of a seed stay the same.
func limitUpstreams(s *site, seed uint64, end time.Time) {
	r := rand.New(rand.NewPCG(seed, 98))
	all := s.upstreams()
	for _, u := range all {
		u.SetSender(func(path string) string { return path[strings.LastIndexByte(path, '/')+1:] })
		u.SetExcused(s.wasDisturbed)
	}
	for time.Now().Before(end) {
		u := all[r.IntN(len(all))]
		for range 1 + r.IntN(3) {
			u.SetRequestLimit([]string{"0.5", "1.1", "3", "8"}[r.IntN(4)])
			time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
		}
		u.SetRequestLimit("")
	}
}

// restoreStore brings back copies of the store that are some seconds old. What operators and upstreams have written since
// is written again a little later. It has its own random series, so that the faults of a seed stay the same.
func restoreStore(s *site, seed uint64, end time.Time) {
	r := rand.New(rand.NewPCG(seed, 77))
	pause := func(least, most time.Duration) {
		time.Sleep(least + time.Duration(r.Int64N(int64(most-least))))
	}
	for time.Now().Before(end) {
		pause(time.Second, 5*time.Second)
		s.store.Copy()
		pause(500*time.Millisecond, 4*time.Second)
		rewrite := s.store.Restore(keyPrefix)
		pause(20*time.Millisecond, 1500*time.Millisecond)
		rewrite()
	}
}

func (inj *faultInjector) logFault(format string, args ...any) {
	inj.log = append(inj.log, fmt.Sprintf("%.1f ", time.Since(inj.site.began).Seconds())+fmt.Sprintf(format, args...))
}

func (inj *faultInjector) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(inj.rand.Int64N(int64(most-least)))
}

// reserveHost picks a random host. It returns nil if that host is busy; otherwise it marks the host as busy.
func (inj *faultInjector) reserveHost() *host {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	h := inj.site.hosts[inj.rand.IntN(len(inj.site.hosts))]
	if inj.busy[h] {
		return nil
	}
	inj.busy[h] = true
	return h
}

// runHostFault runs f in the background. f injects a fault into the process of the host and later ends the
// fault. Until f returns, the host is disturbed (see disturbance) and busy. graceful reports
// whether the fault is a graceful stop.
func (inj *faultInjector) runHostFault(h *host, graceful bool, f func()) {
	end := h.beginDisturbance(graceful)
	inj.pending.Go(func() {
		f()
		end()
		inj.mu.Lock()
		defer inj.mu.Unlock()
		inj.busy[h] = false
	})
}

func (inj *faultInjector) killHost() {
	h, pause := inj.reserveHost(), inj.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	if h == nil {
		return
	}
	inj.logFault("kill %s", h.name)
	inj.runHostFault(h, false, func() {
		h.kill()
		time.Sleep(pause)
		h.start()
		time.Sleep(time.Second)
	})
}

func (inj *faultInjector) pauseHost() {
	h, pause := inj.reserveHost(), inj.randomDuration(300*time.Millisecond, 4*time.Second)
	if h == nil {
		return
	}
	inj.logFault("pause %s for %s", h.name, pause)
	inj.runHostFault(h, false, func() {
		h.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		h.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	})
}

func (inj *faultInjector) stopHost() {
	h := inj.reserveHost()
	if h == nil {
		return
	}
	inj.logFault("stop %s", h.name)
	inj.runHostFault(h, true, func() {
		h.signal(syscall.SIGTERM)
		if !h.awaitExit(stopGracePeriod + 2*time.Second) {
			inj.site.t.Errorf("%s still ran 2 s after the end of its grace period", h.name)
			h.kill()
		}
		h.start()
		time.Sleep(time.Second)
	})
}

// failStore injects one of two kinds of fault. Either the store discards its history of changes, which ends the
// watches of hosts that have not read all of it. Or the store fails for all hosts for a while.
func (inj *faultInjector) failStore() {
	f := []standin.Faults{{Down: true}, {Silent: true}, {LoseAnswers: true}}[inj.rand.IntN(3)]
	pause := inj.randomDuration(300*time.Millisecond, 3*time.Second)
	if inj.rand.IntN(4) == 0 {
		inj.logFault("the store discards its history of changes")
		inj.site.store.DiscardHistory()
		return
	}
	inj.logFault("store %+v for %s", f, pause)
	inj.site.store.SetFaults(f)
	inj.pending.Go(func() {
		time.Sleep(pause)
		inj.site.store.SetFaults(standin.Faults{})
	})
}

// disturbStoreLink delays, blocks or resets the connections of one host to the store. In the toxics, as in
// Toxiproxy, upstream is the direction from the host to the store, and downstream the opposite one.
func (inj *faultInjector) disturbStoreLink() {
	h := inj.site.hosts[inj.rand.IntN(len(inj.site.hosts))]
	link, pause := storeLink(h.name), inj.randomDuration(500*time.Millisecond, 4*time.Second)
	name := fmt.Sprint("t", len(inj.log))
	toxics := []harness.Toxic{
		{Name: name, Type: "latency", Stream: "downstream", Attributes: map[string]int{"latency": 150, "jitter": 100}},
		{Name: name, Type: "timeout", Stream: "upstream", Attributes: map[string]int{"timeout": 0}},
		{Name: name, Type: "timeout", Stream: "downstream", Attributes: map[string]int{"timeout": 0}},
		{Name: name, Type: "reset_peer", Stream: "downstream", Attributes: map[string]int{"timeout": 50}},
	}
	x := toxics[inj.rand.IntN(len(toxics))]
	inj.logFault("%s on the link %s in direction %s for %s", x.Type, link, x.Stream, pause)
	inj.site.network.InjectToxic(link, x)
	inj.pending.Go(func() {
		time.Sleep(pause)
		inj.site.network.ClearToxic(link, name)
	})
}

func (inj *faultInjector) failUpstream() {
	all := inj.site.upstreams()
	u := all[inj.rand.IntN(len(all))]
	faults := []standin.ReplicaFaults{{Full: true}, {Full: true, RetryAfter: "0.8"}, {Status: 500}}
	if u.Capacity > 0 { // An upstream stand-in with a Capacity is an engine.
		faults = append(faults, standin.ReplicaFaults{BreakAfter: 3})
	} else {
		// Truncate cuts every answer off in the middle, and Extra sends every answer a second time. With either,
		// the stand-in sends an answer that is not an event stream, even to a streamed request, so these faults
		// are injected at plain services only.
		faults = append(faults, standin.ReplicaFaults{Truncate: true}, standin.ReplicaFaults{Extra: true})
	}
	f := faults[inj.rand.IntN(len(faults))]
	pause := inj.randomDuration(300*time.Millisecond, 2*time.Second)
	inj.logFault("%s %+v for %s", u.ID, f, pause)
	u.SetFaults(f)
	inj.pending.Go(func() {
		time.Sleep(pause)
		u.SetFaults(standin.ReplicaFaults{})
	})
}

func (inj *faultInjector) withdrawKey() {
	if !inj.record.keyWithdrawnAt.IsZero() {
		return
	}
	inj.logFault("withdraw key-2")
	inj.version++
	inj.site.store.Put(platform.ConfigKey, siteConfig(inj.version, "key-1"))
	inj.record.keyWithdrawnAt = time.Now()
}

func (inj *faultInjector) drainUpstream() {
	if !inj.record.drainedAt.IsZero() {
		return
	}
	u := inj.site.plain[2]
	inj.logFault("drain %s", u.ID)
	u.Drain()
	inj.record.drained, inj.record.drainedAt = u.ID, time.Now()
}

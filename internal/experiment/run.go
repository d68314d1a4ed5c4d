package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/load"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/site"
)

const (
	// settle is the time after the start in which keys spread and the first loads end.
	settle = time.Second
	// warmLimit bounds the wait for the models that are kept loaded.
	warmLimit = 20 * time.Second
	warmPoll  = 50 * time.Millisecond
	// requestTimeout is above every deadline; a request that reaches it got no answer.
	requestTimeout = 20 * time.Second
	// leavingShare is the part of the engines that the reclaim experiment takes away.
	leavingShare = 4
)

// Config selects one run.
type Config struct {
	Experiment, Site, Policy string
	Seed                     uint64
	// Examples is the directory of the example configurations.
	Examples string
	// Log takes the logs of the hosts; nil drops them.
	Log io.Writer
}

// run is one running experiment.
type run struct {
	config   Config
	size     sizes
	policy   host.PolicySettings
	document *config.Site
	// single lists the models that may have one replica only.
	single  []entity.ModelID
	store   *engine.WeightStore
	engines []engine.Options
	site    *site.Site

	// callers and peers are the delayed links to each host.
	callers, peers []*forwarder

	mu      sync.Mutex
	samples []load.Sample
	killed  string
	// leaving holds when engines were announced to leave.
	leaving map[entity.UpstreamID]time.Time
	began   time.Time
}

// Run starts a site, sends the load of the experiment and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	sc, err := lookup(c.Experiment)
	if err != nil {
		return nil, err
	}
	size, ok := siteSizes[c.Site]
	if !ok {
		return nil, fmt.Errorf("%w: site %q", ErrUnknown, c.Site)
	}
	policy, err := policySettings(c.Policy)
	if err != nil {
		return nil, err
	}
	r := &run{
		config: c, size: size, policy: policy,
		leaving: map[entity.UpstreamID]time.Time{},
	}
	defer r.stop()
	if err := r.start(ctx, sc.tight); err != nil {
		return nil, err
	}
	return r.measure(ctx, sc)
}

func (r *run) start(ctx context.Context, tight bool) error {
	var err error
	if r.document, err = readSite(r.config.Examples, r.config.Site, tight); err != nil {
		return err
	}
	_, others := modelNames(r.document)
	for _, m := range others {
		if r.document.Models[m].MaxReplicas == 1 {
			r.single = append(r.single, m)
		}
	}
	if r.config.Policy == "no-coalescing" {
		r.allowReplicaPerHost()
	}
	base, err := document(r.document)
	if err != nil {
		return err
	}
	if err := r.startLinks(); err != nil {
		return err
	}
	w := r.document.WeightStore
	r.store = engine.NewWeightStore(engine.WeightStoreOptions{
		LoadsPerSecond: w.LoadsPerSecond, Parallel: w.Parallel, AdapterParallel: w.AdapterParallel,
	})
	r.engines = r.size.engineOptions(r.document, r.store, r.config.Seed)
	out := r.config.Log
	if out == nil {
		out = io.Discard
	}
	r.site, err = site.Start(ctx, site.Options{
		Name: r.config.Site, Hosts: r.size.hosts, FailureDomains: r.size.domainNames(),
		Engines: r.engines, Services: r.size.serviceOptions(),
		Base: base, Overlay: []byte("{}"), RegistryLag: registryLag, Policies: r.policy,
		Log: log.NewWithOptions(out, log.Options{ReportTimestamp: true, Level: log.WarnLevel}), Adjust: r.adjust, Started: r.started,
	})
	if err != nil {
		return err
	}
	r.site.Store.SetFaults(platformLimits(false))
	return r.warmUp(ctx)
}

// allowReplicaPerHost lets the baseline load once for each host.
func (r *run) allowReplicaPerHost() {
	for id, m := range r.document.Models {
		m.MaxReplicas = max(m.MaxReplicas, r.size.hosts)
		r.document.Models[id] = m
	}
}

// startLinks makes the delayed links. Hosts are told apart by the local address they dial from.
func (r *run) startLinks() error {
	for i := range r.size.hosts {
		caller, err := newForwarder(func(net.Addr) time.Duration { return r.size.toCaller })
		if err != nil {
			return err
		}
		r.callers = append(r.callers, caller)
		peer, err := newForwarder(func(from net.Addr) time.Duration { return r.between(i, from) })
		if err != nil {
			return err
		}
		r.peers = append(r.peers, peer)
	}
	return nil
}

func sourceIP(host int) net.IP { return net.IPv4(127, 0, 1, byte(host+1)) }

// between is the one-way delay from a dialing host to host i.
func (r *run) between(i int, from net.Addr) time.Duration {
	tcp, ok := from.(*net.TCPAddr)
	if !ok || len(tcp.IP.To4()) == 0 {
		return 0
	}
	dialing := int(tcp.IP.To4()[3]) - 1
	if dialing%r.size.domains == i%r.size.domains {
		return 0
	}
	return r.size.between
}

func (r *run) adjust(i int, s *host.Settings) {
	s.PeerAdvertise = r.peers[i].addr()
	s.PeerSource = sourceIP(i).String()
}

func (r *run) started(i int, h *host.Host) {
	r.callers[i].setTarget(h.CallerAddr())
	r.peers[i].setTarget(h.PeerAddr())
}

func platformLimits(outage bool) kv.Faults {
	return kv.Faults{WritesPerSecond: platformWrites, ReadsPerSecond: platformReads, Refuse: outage, FreezeWatches: outage}
}

// warmUp waits until the models that are kept loaded are ready.
func (r *run) warmUp(ctx context.Context) error {
	kept, _ := modelNames(r.document)
	limit := time.Now().Add(warmLimit)
	time.Sleep(settle)
	for {
		h := newLoadHistory(r.records(), nil)
		missing := 0
		for _, m := range kept {
			if h.cold(m, time.Now()) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("experiment: %d of the models that are kept loaded did not load", missing)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(warmPoll):
		}
	}
}

func (r *run) records() []engine.Record {
	var out []engine.Record
	for _, e := range r.site.Engines {
		out = append(out, e.Record())
	}
	return out
}

// measure sends the load and reports what happened meanwhile.
func (r *run) measure(ctx context.Context, sc scenario) (*Report, error) {
	keys := map[entity.WorkspaceID]string{}
	for ws := range r.document.Workspaces {
		key, _, err := r.site.IssueKey(ctx, ws)
		if err != nil {
			return nil, err
		}
		keys[ws] = key
	}
	time.Sleep(settle / 2)
	s := load.Scenario{
		Name: r.config.Experiment + " " + r.config.Site + " " + r.config.Policy, Seed: r.config.Seed, DurationSeconds: sc.seconds,
		Balancer: skew(r.size.hosts, r.config.Seed), TimeoutMillis: requestTimeout.Milliseconds(), CheckAnswers: true,
		Workspaces: r.rates(), Observe: r.observe,
		Classes: sc.classes(newPlanner(r.document, r.single, keys, r.size.greedy, r.config.Seed)),
	}
	for _, f := range r.callers {
		s.Targets = append(s.Targets, f.addr())
	}
	before := r.sumUsage()
	r.began = time.Now()
	faults := r.scheduleFaults(ctx, sc.faults)
	result, err := load.Run(ctx, s)
	if err != nil {
		return nil, err
	}
	if err := <-faults; err != nil {
		return nil, err
	}
	return r.report(result, before), nil
}

// rates declares the limits for the exact bucket, which starts at the levels of the hosts.
func (r *run) rates() map[entity.WorkspaceID]load.Rate {
	levels := map[entity.WorkspaceID]float64{}
	for i := range r.size.hosts {
		for _, a := range r.site.Host(i).Status().Control.Limits {
			levels[a.Workspace] += a.Level
		}
	}
	out := map[entity.WorkspaceID]load.Rate{}
	for ws, w := range r.document.Workspaces {
		out[ws] = load.Rate{
			TokensPerSecond: w.RateTokensPerSecond, BurstTokens: w.BurstTokens,
			MissingTokens: max(0, w.BurstTokens-levels[ws]),
		}
	}
	return out
}

func (r *run) observe(s load.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// scheduleFaults carries the faults out at their times and sends their joined errors at the end.
func (r *run) scheduleFaults(ctx context.Context, faults []fault) <-chan error {
	done := make(chan error, 1)
	go func() {
		var errs []error
		for _, f := range faults {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(r.began.Add(f.at))):
				errs = append(errs, f.do(r))
			}
		}
		done <- errors.Join(errs...)
	}()
	return done
}

func (r *run) killHost(i int) {
	r.mu.Lock()
	r.killed = r.callers[i].addr()
	r.mu.Unlock()
	r.callers[i].kill()
	r.peers[i].kill()
	r.site.KillHost(i)
}

func (r *run) setOutage(on bool) { r.site.Store.SetFaults(platformLimits(on)) }

// announceLeaving marks every leavingShare-th engine as leaving.
func (r *run) announceLeaving(notice time.Duration) error {
	list := r.site.Upstreams()
	for i := range list {
		if i < len(r.site.Engines) && i%leavingShare == 0 {
			list[i].State = config.UpstreamLeaving
			list[i].LeaveBy = time.Now().Add(notice)
			r.leaving[list[i].ID] = time.Now()
		}
	}
	return r.site.SetUpstreams(context.Background(), list)
}

// removeLeaving ends the leaving engines, whatever they run.
func (r *run) removeLeaving() error {
	var list []config.UpstreamRecord
	for i, u := range r.site.Upstreams() {
		if _, gone := r.leaving[u.ID]; !gone {
			list = append(list, u)
			continue
		}
		r.site.Engines[i].Stop()
	}
	return r.site.SetUpstreams(context.Background(), list)
}

func (r *run) stop() {
	if r.site != nil {
		// A host that is killed leaves nothing to wait for.
		for i := range r.size.hosts {
			r.site.KillHost(i)
		}
		_ = r.site.Stop()
	}
	for _, f := range append(append([]*forwarder{}, r.callers...), r.peers...) {
		f.kill()
	}
	runtime.GC()
}

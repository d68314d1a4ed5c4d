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
	// settleTime is the wait after the start of the site, in which the first loads end. New keys reach all hosts
	// within half of it.
	settleTime = time.Second
	// warmUpTimeout bounds the wait for the models that are kept loaded.
	warmUpTimeout      = 20 * time.Second
	warmUpPollInterval = 50 * time.Millisecond
	// requestTimeout exceeds every deadline: the hosts must answer a request at its deadline, so a request that
	// times out got no answer.
	requestTimeout = 20 * time.Second
	// leavingDivisor sets how many engines the reclaim experiment removes: every leavingDivisor-th one.
	leavingDivisor = 4
)

// Config selects one run.
type Config struct {
	Experiment, Site, Policy string
	Seed                     uint64
	// Examples is the directory of the example configurations.
	Examples string
	// Log receives the logs of the hosts. If it is nil, they are discarded.
	Log io.Writer
}

// run is one execution of an experiment.
type run struct {
	config   Config
	size     siteSize
	policy   host.PolicySettings
	document *config.Site
	// singleReplica lists the models that may have one replica only.
	singleReplica []entity.ModelID
	store         *engine.WeightStore
	engines       []engine.Options
	site          *site.Site

	// callerLinks and peerLinks are the delayed links from callers and from other hosts to each host.
	callerLinks, peerLinks []*forwarder

	mu           sync.Mutex
	samples      []load.Sample
	killedTarget string
	// leaving holds when each leaving engine was announced to leave.
	leaving   map[entity.UpstreamID]time.Time
	loadStart time.Time
}

// Run starts a site, sends the load of the experiment and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	sc, err := findScenario(c.Experiment)
	if err != nil {
		return nil, err
	}
	size, ok := sizeBySite[c.Site]
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
	if err := r.start(ctx, sc.tightBursts); err != nil {
		return nil, err
	}
	return r.runLoad(ctx, sc)
}

func (r *run) start(ctx context.Context, tight bool) error {
	var err error
	if r.document, err = readSite(r.config.Examples, r.config.Site, tight); err != nil {
		return err
	}
	_, others := modelNames(r.document)
	for _, m := range others {
		if r.document.Models[m].MaxReplicas == 1 {
			r.singleReplica = append(r.singleReplica, m)
		}
	}
	if r.config.Policy == "no-coalescing" {
		r.allowReplicaPerHost()
	}
	base, err := document(r.document)
	if err != nil {
		return err
	}
	if err := r.startForwarders(); err != nil {
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
		Log: log.NewWithOptions(out, log.Options{ReportTimestamp: true, Level: log.WarnLevel}), AdjustSettings: r.adjustSettings, HostCreated: r.onHostCreated,
	})
	if err != nil {
		return err
	}
	r.site.Store.SetFaults(platformLimits(false))
	return r.warmUp(ctx)
}

// allowReplicaPerHost allows at least one replica per host for every model, so that in the no-coalescing
// baseline each host can load the model for itself.
func (r *run) allowReplicaPerHost() {
	for id, m := range r.document.Models {
		m.MaxReplicas = max(m.MaxReplicas, r.size.hosts)
		r.document.Models[id] = m
	}
}

// startForwarders starts the delayed links to all hosts. The links between hosts distinguish the dialing
// hosts by their source address.
func (r *run) startForwarders() error {
	for i := range r.size.hosts {
		caller, err := newForwarder(func(net.Addr) time.Duration { return r.size.callerDelay })
		if err != nil {
			return err
		}
		r.callerLinks = append(r.callerLinks, caller)
		peer, err := newForwarder(func(from net.Addr) time.Duration { return r.interDomainDelay(i, from) })
		if err != nil {
			return err
		}
		r.peerLinks = append(r.peerLinks, peer)
	}
	return nil
}

func sourceIP(host int) net.IP { return net.IPv4(127, 0, 1, byte(host+1)) }

// interDomainDelay returns the one-way delay from the dialing host to host i. It is zero within a failure
// domain.
func (r *run) interDomainDelay(i int, from net.Addr) time.Duration {
	tcp, ok := from.(*net.TCPAddr)
	if !ok || len(tcp.IP.To4()) == 0 {
		return 0
	}
	dialing := int(tcp.IP.To4()[3]) - 1
	if dialing%r.size.domains == i%r.size.domains {
		return 0
	}
	return r.size.interDomainDelay
}

func (r *run) adjustSettings(i int, s *host.Settings) {
	s.PeerAdvertise = r.peerLinks[i].addr()
	s.PeerSource = sourceIP(i).String()
}

func (r *run) onHostCreated(i int, h *host.Host) {
	r.callerLinks[i].setTarget(h.CallerAddr())
	r.peerLinks[i].setTarget(h.PeerAddr())
}

func platformLimits(outage bool) kv.Faults {
	return kv.Faults{WritesPerSecond: platformWrites, ReadsPerSecond: platformReads, Refuse: outage, FreezeWatches: outage}
}

// warmUp waits until all models that are kept loaded have a ready replica.
func (r *run) warmUp(ctx context.Context) error {
	kept, _ := modelNames(r.document)
	limit := time.Now().Add(warmUpTimeout)
	time.Sleep(settleTime)
	for {
		h := newLoadHistory(r.records(), nil)
		missing := 0
		for _, m := range kept {
			if h.isCold(m, time.Now()) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("experiment: %d models that must be kept loaded have no ready replica after the warm-up", missing)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(warmUpPollInterval):
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

// runLoad sends the load, injects the faults of the scenario and returns the report.
func (r *run) runLoad(ctx context.Context, sc scenario) (*Report, error) {
	keys := map[entity.WorkspaceID]string{}
	for ws := range r.document.Workspaces {
		key, _, err := r.site.IssueKey(ctx, ws)
		if err != nil {
			return nil, err
		}
		keys[ws] = key
	}
	time.Sleep(settleTime / 2)
	s := load.Scenario{
		Name: r.config.Experiment + " " + r.config.Site + " " + r.config.Policy, Seed: r.config.Seed, DurationSeconds: sc.seconds,
		Balancer: skewedBalancer(r.size.hosts, r.config.Seed), TimeoutMillis: requestTimeout.Milliseconds(), CheckAnswers: true,
		Workspaces: r.rates(), Observe: r.observe,
		Classes: sc.classes(newPlanner(r.document, r.singleReplica, keys, r.size.greedy, r.config.Seed)),
	}
	for _, f := range r.callerLinks {
		s.Targets = append(s.Targets, f.addr())
	}
	before := r.sumUsage()
	r.loadStart = time.Now()
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

// rates returns the limits of the exact token buckets. Each bucket starts at the sum of the levels that the
// hosts have for the workspace.
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

// scheduleFaults injects the faults at their times and then sends their joined errors to the returned channel.
func (r *run) scheduleFaults(ctx context.Context, faults []fault) <-chan error {
	done := make(chan error, 1)
	go func() {
		var errs []error
		for _, f := range faults {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(r.loadStart.Add(f.at))):
				errs = append(errs, f.apply(r))
			}
		}
		done <- errors.Join(errs...)
	}()
	return done
}

func (r *run) killHost(i int) {
	r.mu.Lock()
	r.killedTarget = r.callerLinks[i].addr()
	r.mu.Unlock()
	r.callerLinks[i].close()
	r.peerLinks[i].close()
	r.site.KillHost(i)
}

func (r *run) setOutage(on bool) { r.site.Store.SetFaults(platformLimits(on)) }

// announceLeaving marks every leavingDivisor-th engine as leaving after the given notice.
func (r *run) announceLeaving(notice time.Duration) error {
	list := r.site.Upstreams()
	for i := range list {
		if i < len(r.site.Engines) && i%leavingDivisor == 0 {
			list[i].State = config.UpstreamLeaving
			list[i].LeaveBy = time.Now().Add(notice)
			r.leaving[list[i].ID] = time.Now()
		}
	}
	return r.site.SetUpstreams(context.Background(), list)
}

// removeLeaving stops the leaving engines without waiting for their requests, and removes them from the list of
// upstreams.
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
		// Terminating the hosts avoids the wait for their graceful stop.
		for i := range r.size.hosts {
			r.site.KillHost(i)
		}
		_ = r.site.Stop()
	}
	for _, f := range append(append([]*forwarder{}, r.callerLinks...), r.peerLinks...) {
		f.close()
	}
	runtime.GC()
}

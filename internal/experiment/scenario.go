package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/load"
)

const (
	// meanCostTokens is the mean cost of a request. Prompt and output have 8 tokens each on average (see
	// tokenRange).
	meanCostTokens = 16
	// inTimeMillis is the time up to which an interactive answer counts as in time. It equals the deadline of
	// interactive requests, in compressed time.
	inTimeMillis = 3000
	// coldModels is the number of models that one burst calls.
	coldModels = 24
	// burstDeadlineMillis is long enough for all loads of a burst to run one after another.
	burstDeadlineMillis = 12000
	// coldRequests is the number of requests of one burst.
	coldRequests = 240
	// greedyFactor is the rate at which the greedy workspace sends, as a multiple of its limit.
	greedyFactor = 5
)

// tokenRange is the range of the prompt tokens and of the output tokens of a request.
var tokenRange = load.Range{Min: 4, Max: 12}

// scenario describes the load and the faults of one experiment.
type scenario struct {
	seconds float64
	// tightBursts reports whether the bursts of the workspaces are divided by BurstDivisor. It is set for
	// experiments that examine limits.
	tightBursts bool
	classes     func(*planner) []load.RequestClass
	faults      []fault
}

// fault is an action that is applied at a fixed time after the start of the load.
type fault struct {
	at    time.Duration
	apply func(*run) error
}

// Names lists the experiments. "steady" has neither cold models nor faults. The experiments "greedy",
// "hostkill" and "outage" have the same load and are compared with it. "greedy" adds a greedy workspace, "hostkill"
// the crash of a host, and "outage" an outage of the key-value service.
var Names = []string{"steady", "burst", "greedy", "night", "hostkill", "outage", "reclaim"}

var scenarios = map[string]scenario{
	"steady": {seconds: 6, tightBursts: true, classes: func(p *planner) []load.RequestClass { return p.steady(0.8) }},
	"burst": {seconds: 7, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.3), p.burst("first", 0, 1), p.burst("second", coldModels, 4))
	}},
	"greedy": {seconds: 7, tightBursts: true, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.8), p.greedy())
	}},
	// The experiment "short" is used by tests only.
	"short": {seconds: 1, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.3), p.burst("first", 0, 0))
	}},
	"night": {seconds: 11, classes: func(p *planner) []load.RequestClass { return p.night() }},
	"hostkill": {
		seconds: 8, tightBursts: true,
		classes: func(p *planner) []load.RequestClass { return p.steady(0.8) },
		faults:  []fault{{2500 * time.Millisecond, func(r *run) error { r.killHost(1); return nil }}},
	},
	"outage": {
		seconds: 11, tightBursts: true,
		classes: func(p *planner) []load.RequestClass { return p.steady(0.8) },
		faults: []fault{
			{2 * time.Second, func(r *run) error { r.setOutage(true); return nil }},
			{9 * time.Second, func(r *run) error { r.setOutage(false); return nil }},
		},
	},
	"reclaim": {
		seconds: 7,
		classes: func(p *planner) []load.RequestClass { return append(p.steady(0.5), p.sparseRequests("cold", "", 6)) },
		faults: []fault{
			{2 * time.Second, func(r *run) error { return r.announceLeaving(3 * time.Second) }},
			{5 * time.Second, func(r *run) error { return r.removeLeaving() }},
		},
	},
}

// planner creates the request classes of a scenario.
type planner struct {
	site       *config.Site
	keys       map[entity.WorkspaceID]string
	greedyName entity.WorkspaceID
	// keptLoaded lists the models that the configuration keeps loaded (min_replicas above 0), and notKept the
	// others.
	keptLoaded, notKept []entity.ModelID
	// singleReplica lists the models of notKept that may have only one replica. A second load of such a model
	// is never made to add capacity.
	singleReplica []entity.ModelID
}

func newPlanner(s *config.Site, singleReplica []entity.ModelID, keys map[entity.WorkspaceID]string, greedy entity.WorkspaceID, seed uint64) *planner {
	p := &planner{site: s, singleReplica: slices.Clone(singleReplica), keys: keys, greedyName: greedy}
	p.keptLoaded, p.notKept = modelNames(s)
	rng := rand.New(rand.NewPCG(seed, 2))
	rng.Shuffle(len(p.singleReplica), func(i, j int) { p.singleReplica[i], p.singleReplica[j] = p.singleReplica[j], p.singleReplica[i] })
	rng.Shuffle(len(p.notKept), func(i, j int) { p.notKept[i], p.notKept[j] = p.notKept[j], p.notKept[i] })
	return p
}

func (p *planner) workspaces() []entity.WorkspaceID {
	var out []entity.WorkspaceID
	for id := range p.site.Workspaces {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (p *planner) class(name string, ws entity.WorkspaceID, models []entity.ModelID) load.RequestClass {
	c := load.RequestClass{
		Name: name, Workspace: ws, Key: p.keys[ws], Stream: true,
		ModelChoice: load.ChooseUniform, PromptTokens: tokenRange, OutputTokens: tokenRange, InTimeMillis: inTimeMillis,
	}
	for _, m := range models {
		if p.site.Workspaces[ws].MayCallModel(m) {
			c.Models = append(c.Models, string(m))
		}
	}
	return c
}

// steady returns classes that call the models that are kept loaded. Every workspace sends at the given share
// of its rate limit.
func (p *planner) steady(share float64) []load.RequestClass {
	var out []load.RequestClass
	for _, ws := range p.workspaces() {
		c := p.class("steady-"+string(ws), ws, p.keptLoaded)
		c.Group = "steady"
		c.Arrivals.RatePerSecond = share * p.site.Workspaces[ws].RateTokensPerSecond / meanCostTokens
		out = append(out, c)
	}
	return out
}

// unrestrictedWorkspace returns a workspace that may call all models. Rank 0 is the one with the highest rate
// limit.
func (p *planner) unrestrictedWorkspace(rank int) entity.WorkspaceID {
	var out []entity.WorkspaceID
	for _, ws := range p.workspaces() {
		if slices.Contains(p.site.Workspaces[ws].Models, "*") {
			out = append(out, ws)
		}
	}
	slices.SortStableFunc(out, func(a, b entity.WorkspaceID) int {
		return int(p.site.Workspaces[b].RateTokensPerSecond - p.site.Workspaces[a].RateTokensPerSecond)
	})
	return out[rank]
}

// burst returns a class that sends coldRequests requests at the same time, to coldModels models that are not
// loaded. The requests arrive at all hosts.
func (p *planner) burst(name string, from int, at float64) load.RequestClass {
	c := p.class(name, p.unrestrictedWorkspace(0), p.singleReplica[from:from+coldModels])
	c.Group = "cold"
	c.Arrivals = load.Arrivals{Kind: load.ArrivalsBurst, BurstSize: coldRequests, BurstEveryMillis: 1 << 30}
	c.StartSeconds = at
	// The deadline is longer than usual, so that the slowest cold starts are measured rather than refused.
	c.DeadlineMillis = burstDeadlineMillis
	return c
}

// greedy returns a class that raises the rate of the greedy workspace from its steady share of 0.8 to
// greedyFactor times its limit.
func (p *planner) greedy() load.RequestClass {
	c := p.class("greedy", p.greedyName, p.keptLoaded)
	c.Arrivals.RatePerSecond = (greedyFactor - 0.8) * p.site.Workspaces[p.greedyName].RateTokensPerSecond / meanCostTokens
	return c
}

// sparseRequests returns a class that sends requests at a low rate to the models that are not kept loaded,
// with a Zipf distribution over the models.
func (p *planner) sparseRequests(name, class string, rate float64) load.RequestClass {
	c := p.class(name, p.unrestrictedWorkspace(0), p.notKept)
	c.Class = class
	c.ModelChoice = load.ChooseZipf
	c.Arrivals.RatePerSecond = rate
	return c
}

// night returns a low rate of patient and of interactive requests to models that are not kept loaded.
func (p *planner) night() []load.RequestClass {
	patient := p.sparseRequests("patient", "patient", 8)
	patient.InTimeMillis = 0
	patient.Workspace = p.greedyName
	patient.Key = p.keys[p.greedyName]
	return []load.RequestClass{patient, p.sparseRequests("interactive", "", 3)}
}

// skewedBalancer returns a balancer with a random weight between 0.5 and 2 for every host, so that arrivals are
// unevenly distributed.
func skewedBalancer(hosts int, seed uint64) load.Balancer {
	rng := rand.New(rand.NewPCG(seed, 3))
	b := load.Balancer{Policy: load.BalanceSkewed, EjectMillis: 2000}
	for range hosts {
		b.Weights = append(b.Weights, 0.5+1.5*rng.Float64())
	}
	return b
}

func findScenario(name string) (scenario, error) {
	s, ok := scenarios[name]
	if !ok {
		return s, fmt.Errorf("%w: experiment %q", ErrUnknown, name)
	}
	return s, nil
}

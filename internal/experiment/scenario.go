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
	// meanCost is the mean of the tokens that a request costs; see tokenRange.
	meanCost = 16
	// inTimeMillis is the limit for an interactive answer, in compressed time: the deadline.
	inTimeMillis = 3000
	coldModels   = 24
	// burstDeadlineMillis leaves time for all loads of a burst one after the other.
	burstDeadlineMillis = 12000
	coldRequests        = 240
	// greedyFactor times its rate is what the greedy workspace sends.
	greedyFactor = 5
)

var tokenRange = load.Range{Min: 4, Max: 12}

// scenario is what one experiment sends and when it fails what.
type scenario struct {
	seconds float64
	// tight divides bursts by BurstDivisor, because limits are the subject.
	tight   bool
	classes func(*planner) []load.RequestClass
	faults  []fault
}

// fault is an action at a fixed time since the start of the load.
type fault struct {
	at time.Duration
	do func(*run) error
}

// Names lists the experiments. "steady" has neither cold models nor faults: it is what greedy,
// hostkill and outage are compared with.
var Names = []string{"steady", "burst", "greedy", "night", "hostkill", "outage", "reclaim"}

var scenarios = map[string]scenario{
	"steady": {seconds: 6, tight: true, classes: func(p *planner) []load.RequestClass { return p.steady(0.8) }},
	"burst": {seconds: 7, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.3), p.burst("first", 0, 1), p.burst("second", coldModels, 4))
	}},
	"greedy": {seconds: 7, tight: true, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.8), p.greedy())
	}},
	// The short one is for tests.
	"short": {seconds: 1, classes: func(p *planner) []load.RequestClass {
		return append(p.steady(0.3), p.burst("first", 0, 0))
	}},
	"night": {seconds: 11, classes: func(p *planner) []load.RequestClass { return p.night() }},
	"hostkill": {
		seconds: 8, tight: true,
		classes: func(p *planner) []load.RequestClass { return p.steady(0.8) },
		faults:  []fault{{2500 * time.Millisecond, func(r *run) error { r.killHost(1); return nil }}},
	},
	"outage": {
		seconds: 11, tight: true,
		classes: func(p *planner) []load.RequestClass { return p.steady(0.8) },
		faults: []fault{
			{2 * time.Second, func(r *run) error { r.setOutage(true); return nil }},
			{9 * time.Second, func(r *run) error { r.setOutage(false); return nil }},
		},
	},
	"reclaim": {
		seconds: 7,
		classes: func(p *planner) []load.RequestClass { return append(p.steady(0.5), p.sparse("cold", "", 6)) },
		faults: []fault{
			{2 * time.Second, func(r *run) error { return r.announceLeaving(3 * time.Second) }},
			{5 * time.Second, func(r *run) error { return r.removeLeaving() }},
		},
	},
}

// planner makes the classes of a scenario.
type planner struct {
	site         *config.Site
	keys         map[entity.WorkspaceID]string
	greedyName   entity.WorkspaceID
	kept, others []entity.ModelID
	// single lists the others that may have one replica only, so that a second load of one is
	// never meant to add capacity.
	single []entity.ModelID
}

func newPlanner(s *config.Site, single []entity.ModelID, keys map[entity.WorkspaceID]string, greedy entity.WorkspaceID, seed uint64) *planner {
	p := &planner{site: s, single: slices.Clone(single), keys: keys, greedyName: greedy}
	p.kept, p.others = modelNames(s)
	rng := rand.New(rand.NewPCG(seed, 2))
	rng.Shuffle(len(p.single), func(i, j int) { p.single[i], p.single[j] = p.single[j], p.single[i] })
	rng.Shuffle(len(p.others), func(i, j int) { p.others[i], p.others[j] = p.others[j], p.others[i] })
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

// steady sends a share of every workspace's rate to the models that are kept loaded.
func (p *planner) steady(share float64) []load.RequestClass {
	var out []load.RequestClass
	for _, ws := range p.workspaces() {
		c := p.class("steady-"+string(ws), ws, p.kept)
		c.Group = "steady"
		c.Arrivals.RatePerSecond = share * p.site.Workspaces[ws].RateTokensPerSecond / meanCost
		out = append(out, c)
	}
	return out
}

// open returns the workspace with the highest rate that may call all models.
func (p *planner) open(rank int) entity.WorkspaceID {
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

// burst sends the first requests of models that are not loaded at once to all hosts.
func (p *planner) burst(name string, from int, at float64) load.RequestClass {
	c := p.class(name, p.open(0), p.single[from:from+coldModels])
	c.Group = "cold"
	c.Arrivals = load.Arrivals{Kind: load.ArrivalsBurst, BurstSize: coldRequests, BurstEveryMillis: 1 << 30}
	c.StartSeconds = at
	// A longer deadline than usual, so that the tail of cold starts is not cut off by refusals.
	c.DeadlineMillis = burstDeadlineMillis
	return c
}

// greedy sends what is missing to greedyFactor times the rate, above the steady share of 0.8.
func (p *planner) greedy() load.RequestClass {
	c := p.class("greedy", p.greedyName, p.kept)
	c.Arrivals.RatePerSecond = (greedyFactor - 0.8) * p.site.Workspaces[p.greedyName].RateTokensPerSecond / meanCost
	return c
}

// sparse sends a few requests to all models that are not kept loaded, the first ones more often.
func (p *planner) sparse(name, class string, rate float64) load.RequestClass {
	c := p.class(name, p.open(0), p.others)
	c.Class = class
	c.ModelChoice = load.ChooseZipf
	c.Arrivals.RatePerSecond = rate
	return c
}

func (p *planner) night() []load.RequestClass {
	patient := p.sparse("patient", "patient", 8)
	patient.InTimeMillis = 0
	patient.Workspace = p.greedyName
	patient.Key = p.keys[p.greedyName]
	return []load.RequestClass{patient, p.sparse("interactive", "", 3)}
}

// skew gives every host a weight between half and twice the mean, so that arrivals are uneven.
func skew(hosts int, seed uint64) load.Balancer {
	rng := rand.New(rand.NewPCG(seed, 3))
	b := load.Balancer{Policy: load.BalanceSkewed, EjectMillis: 2000}
	for range hosts {
		b.Weights = append(b.Weights, 0.5+1.5*rng.Float64())
	}
	return b
}

func lookup(name string) (scenario, error) {
	s, ok := scenarios[name]
	if !ok {
		return s, fmt.Errorf("%w: experiment %q", ErrUnknown, name)
	}
	return s, nil
}

package daysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const service = catalog.ServiceID("engine")

// Class is one class of requests.
type Class struct {
	Name string
	// PerSecond is the mean arrival rate.
	PerSecond float64
	// TargetLatency is the maximum time to the first event that earns full credit.
	TargetLatency time.Duration
	Deadline      time.Duration
	// Worth is the credit for an answer in time, Late the credit for a late answer.
	Worth, Late float64
	// Prompt and Output are the median numbers of tokens, PromptSpread the standard deviation of the
	// logarithm of the prompt tokens.
	Prompt, Output float64
	PromptSpread   float64
	// Hot requests use the few hot models. Other requests use all other models with equal probability.
	Hot bool
	// Repeatable requests may be executed more than once.
	Repeatable bool
}

// Site describes a simulated site.
type Site struct {
	Name    string
	Hosts   int
	Engines int
	Domains int
	Models  int
	// HotModels is the number of models that the requests of hot classes use.
	HotModels int
	// CopiesOnDisk and CopiesInMemory are the numbers of models whose weights the machine of each engine keeps on
	// disk and in main memory. The weight store has the weights of all models.
	CopiesOnDisk   int
	CopiesInMemory int
	Engine         EngineRates
	Classes        []Class
	Workspaces     int
	// WorkspaceRate is the limit of each workspace in tokens per second.
	WorkspaceRate float64
}

// EngineRates describes the capacity and speed of an engine.
type EngineRates struct {
	Slots int
	// MemoryMB is the memory for weights.
	MemoryMB float64
	// A step generates one token for each request whose prompt has been read. It takes Step, plus StepPerRequest
	// for each of these requests, plus the time for the prompt tokens that it reads.
	Step, StepPerRequest time.Duration
	// PromptTokensPerMilli is the number of prompt tokens read per millisecond, MaxPromptTokensPerStep the
	// maximum number read in one step.
	PromptTokensPerMilli   float64
	MaxPromptTokensPerStep int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// ReportLag is the age of a report when it arrives.
	ReportLag time.Duration
	// UnloadTime is the time to unload a model that no request uses.
	UnloadTime time.Duration
}

// Sites lists the simulated sites.
var Sites = []Site{reykjavik(), thessaly()}

func reykjavik() Site {
	return Site{
		Name: "reykjavik", Hosts: 7, Engines: 18, Domains: 4, Models: 90, HotModels: 5,
		CopiesOnDisk: 20, CopiesInMemory: 2, Workspaces: 5, WorkspaceRate: 40000,
		Engine: standardEngine(),
		Classes: []Class{
			{Name: "live", PerSecond: 42, TargetLatency: 500 * time.Millisecond, Deadline: 12 * time.Second, Worth: 1.8, Late: 0.5, Prompt: 700, PromptSpread: 0.6, Output: 240, Hot: true},
			{Name: "check", PerSecond: 11, TargetLatency: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2.5, Late: 0.7, Prompt: 1700, PromptSpread: 0.8, Output: 20, Hot: true},
			{Name: "patient", PerSecond: 7, TargetLatency: 2500 * time.Millisecond, Deadline: 20 * time.Second, Worth: 15, Late: 2.2, Prompt: 700, PromptSpread: 0.6, Output: 240, Repeatable: true},
		},
	}
}

func thessaly() Site {
	s := reykjavik()
	s.Name, s.Hosts, s.Engines, s.Domains, s.Models, s.HotModels = "thessaly", 8, 12, 3, 56, 4
	s.Classes[0].PerSecond, s.Classes[1].PerSecond, s.Classes[2].PerSecond = 40, 8, 4.6
	s.Classes[2].Worth, s.Classes[2].Late, s.Classes[2].Output = 21, 3, 290
	return s
}

func standardEngine() EngineRates {
	return EngineRates{
		Slots: 32, MemoryMB: 200000, Step: 5200 * time.Microsecond, StepPerRequest: 10 * time.Microsecond,
		PromptTokensPerMilli: 38, MaxPromptTokensPerStep: 4096, TokensPerEvent: 6,
		ReportLag: 100 * time.Millisecond, UnloadTime: 55 * time.Millisecond,
	}
}

// catalog returns the configuration of the site.
func (s *Site) catalog() *catalog.Catalog {
	e := &catalog.Engine{
		Slots: s.Engine.Slots, WeightsMB: s.Engine.MemoryMB, AdapterSlots: 8,
		Models: make(map[entity.ModelID]*catalog.Model),
	}
	for i := range s.Models {
		m := modelProfile(i)
		m.ID = modelID(i)
		e.Models[m.ID] = &m
	}
	return catalog.New(catalog.Document{Version: 1, Services: []*catalog.Service{{ID: service, Engine: e}}})
}

func modelID(i int) entity.ModelID { return entity.ModelID(fmt.Sprintf("m%02d", i)) }

// modelProfile returns the size and load times of a model. There are two sizes of models.
func modelProfile(i int) catalog.Model {
	if i%3 == 0 {
		return catalog.Model{SizeMB: 43000, MemoryLoad: 450 * time.Millisecond, DiskLoad: 600 * time.Millisecond, StoreLoad: 6 * time.Second}
	}
	return catalog.Model{SizeMB: 70000, MemoryLoad: 620 * time.Millisecond, DiskLoad: 830 * time.Millisecond, StoreLoad: 6 * time.Second}
}

// Day describes the load and the faults of one simulated scenario. Length is the simulated time.
// Every scenario of the variable Days takes 30 seconds.
type Day struct {
	Name   string
	Length time.Duration
	// From BurstAt on, for BurstTime, the requests of classes without Hot arrive BurstFactor times as
	// often.
	BurstAt, BurstTime time.Duration
	BurstFactor        float64
	// ShiftEvery is the interval at which one hot model is replaced by another. Zero means never.
	ShiftEvery time.Duration
	// From HotWorkspaceFrom on, for HotWorkspaceTime, the first workspace sends HotWorkspaceFactor times its usual
	// number of requests.
	// These fields have nothing to do with hot models.
	HotWorkspaceFrom, HotWorkspaceTime time.Duration
	HotWorkspaceFactor                 float64
	// At CrashAt, CrashShare of the engines crash and stay down for CrashTime.
	CrashAt, CrashTime time.Duration
	CrashShare         float64
}

// Days lists the simulated scenarios. Each is named after its load pattern or fault.
var Days = []Day{
	{Name: "calm", Length: 30 * time.Second},
	{Name: "burst", Length: 30 * time.Second, BurstAt: 10 * time.Second, BurstTime: 6 * time.Second, BurstFactor: 2.2},
	{Name: "shift", Length: 30 * time.Second, ShiftEvery: 7 * time.Second},
	{Name: "hot-workspace", Length: 30 * time.Second, HotWorkspaceFrom: 8 * time.Second, HotWorkspaceTime: 10 * time.Second, HotWorkspaceFactor: 5},
	{
		Name: "crash", Length: 30 * time.Second, BurstAt: 10 * time.Second, BurstTime: 6 * time.Second, BurstFactor: 2.2,
		CrashAt: 8 * time.Second, CrashTime: 3 * time.Second, CrashShare: 0.25, ShiftEvery: 10 * time.Second,
	},
}

// arrival is one request of the simulated load.
type arrival struct {
	at        time.Duration
	class     *Class
	host      int
	workspace int
	model     entity.ModelID
	session   string
	prompt    int
	output    int
}

// arrivals generates the requests of a scenario. They depend only on the seed, so that all policies get the same
// load.
func (s *Site) arrivals(d Day, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < d.Length; at += tick {
		for c := range s.Classes {
			class := &s.Classes[c]
			mean := class.PerSecond * tick.Seconds()
			if !class.Hot && isWithin(at, d.BurstAt, d.BurstTime) {
				mean *= d.BurstFactor
			}
			for range s.Workspaces {
				workspace := rng.IntN(s.Workspaces)
				share := mean / float64(s.Workspaces)
				if workspace == 0 && isWithin(at, d.HotWorkspaceFrom, d.HotWorkspaceTime) {
					share *= d.HotWorkspaceFactor
				}
				if rng.Float64() < share {
					out = append(out, s.drawArrival(rng, d, class, at, workspace))
				}
			}
		}
	}
	return out
}

func isWithin(at, from, length time.Duration) bool { return at >= from && at < from+length }

func (s *Site) drawArrival(rng *rand.Rand, d Day, class *Class, at time.Duration, workspace int) arrival {
	model := s.HotModels + rng.IntN(s.Models-s.HotModels)
	if class.Hot {
		// The minimum of two uniform ranks makes the first hot models the most requested ones.
		model = s.hotModel(d, min(rng.IntN(s.HotModels), rng.IntN(s.HotModels)), at)
	}
	return arrival{
		at:        at,
		class:     class,
		host:      rng.IntN(s.Hosts),
		workspace: workspace,
		model:     modelID(model),
		session:   fmt.Sprint(rng.IntN(160)),
		prompt:    drawLogNormal(rng, class.Prompt, class.PromptSpread),
		output:    drawLogNormal(rng, class.Output, 0.5),
	}
}

// hotModel returns the number of the hot model that has the given rank at the time at. Each shift replaces the
// model of one rank, beginning with rank 0; after the last rank it begins again.
func (s *Site) hotModel(d Day, rank int, at time.Duration) int {
	model := rank
	if d.ShiftEvery <= 0 {
		return model
	}
	for shift := 0; shift < int(at/d.ShiftEvery); shift++ {
		if shift%s.HotModels == rank {
			model = s.Models - 1 - shift
		}
	}
	return model
}

// drawLogNormal draws from a log-normal distribution that is cut off at four times the median.
func drawLogNormal(rng *rand.Rand, median, sigma float64) int {
	return int(max(1, min(median*math.Exp(sigma*rng.NormFloat64()), 4*median)))
}

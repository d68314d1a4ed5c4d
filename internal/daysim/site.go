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

// Class is one kind of request.
type Class struct {
	Name string
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// Target is the time to the first event that earns full credit.
	Target   time.Duration
	Deadline time.Duration
	// Worth is the credit for an answer in time, Late that for a later one.
	Worth, Late float64
	// Prompt and Output are the median numbers of tokens, PromptSpread the spread of the logarithm.
	Prompt, Output float64
	PromptSpread   float64
	// Hot requests are for the few hot models, the others for all other models alike.
	Hot bool
	// Repeatable requests may run more than once.
	Repeatable bool
}

// Site is the equipment of a simulated site.
type Site struct {
	Name    string
	Hosts   int
	Engines int
	Domains int
	Models  int
	// HotModels is the number of models that get the requests of hot classes.
	HotModels int
	// CopiesOnDisk is the number of models whose weights each machine keeps, the others lie only in
	// the weight store.
	CopiesOnDisk   int
	CopiesInMemory int
	Engine         EngineRates
	Classes        []Class
	Workspaces     int
	// WorkspaceRate is the limit of each workspace in tokens a second.
	WorkspaceRate float64
}

// EngineRates say how fast an engine is.
type EngineRates struct {
	Slots int
	// MemoryMB is the memory for weights.
	MemoryMB float64
	// Step is the time for one token of all running requests, StepPerSlot what each adds.
	Step, StepPerSlot time.Duration
	// PromptsPerMilli is the number of prompt tokens read in a millisecond, Chunk the most in one step.
	PromptsPerMilli float64
	Chunk           int
	// TokensPerEvent is the number of tokens of one event of a stream.
	TokensPerEvent int
	// ReportLag is the age of a report.
	ReportLag time.Duration
	// UnloadTime is the time to drop a model that no request uses.
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
			{Name: "live", PerSecond: 42, Target: 500 * time.Millisecond, Deadline: 12 * time.Second, Worth: 1.8, Late: 0.5, Prompt: 700, PromptSpread: 0.6, Output: 240, Hot: true},
			{Name: "check", PerSecond: 11, Target: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2.5, Late: 0.7, Prompt: 1700, PromptSpread: 0.8, Output: 20, Hot: true},
			{Name: "patient", PerSecond: 7, Target: 2500 * time.Millisecond, Deadline: 20 * time.Second, Worth: 15, Late: 2.2, Prompt: 700, PromptSpread: 0.6, Output: 240, Repeatable: true},
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
		Slots: 32, MemoryMB: 200000, Step: 5200 * time.Microsecond, StepPerSlot: 10 * time.Microsecond,
		PromptsPerMilli: 38, Chunk: 4096, TokensPerEvent: 6,
		ReportLag: 100 * time.Millisecond, UnloadTime: 55 * time.Millisecond,
	}
}

// catalog returns the configuration of the site.
func (s *Site) catalog() *catalog.Catalog {
	e := &catalog.Engine{
		Slots: s.Engine.Slots, WeightsMB: s.Engine.MemoryMB, AdapterPlaces: 8,
		Models: make(map[entity.ModelID]*catalog.Model),
	}
	for i := range s.Models {
		m := modelSize(i)
		m.ID = modelID(i)
		e.Models[m.ID] = &m
	}
	return catalog.New(catalog.Document{Version: 1, Services: []*catalog.Service{{ID: service, Engine: e}}})
}

func modelID(i int) entity.ModelID { return entity.ModelID(fmt.Sprintf("m%02d", i)) }

// modelSize gives the models two sizes.
func modelSize(i int) catalog.Model {
	if i%3 == 0 {
		return catalog.Model{SizeMB: 43000, MemoryLoad: 450 * time.Millisecond, DiskLoad: 600 * time.Millisecond, StoreLoad: 6 * time.Second}
	}
	return catalog.Model{SizeMB: 70000, MemoryLoad: 620 * time.Millisecond, DiskLoad: 830 * time.Millisecond, StoreLoad: 6 * time.Second}
}

// Day is what happens on a simulated day.
type Day struct {
	Name   string
	Length time.Duration
	// BurstAt is when the patient classes arrive BurstFactor times as often, for BurstTime.
	BurstAt, BurstTime time.Duration
	BurstFactor        float64
	// ShiftEvery replaces one hot model by another at that interval; zero means never.
	ShiftEvery time.Duration
	// HotFrom is when one workspace sends HotFactor times its share, for HotTime.
	HotFrom, HotTime time.Duration
	HotFactor        float64
	// CrashAt is when CrashShare of the engines crash, for CrashTime.
	CrashAt, CrashTime time.Duration
	CrashShare         float64
}

// Days lists the days by the pattern that they hold.
var Days = []Day{
	{Name: "calm", Length: 30 * time.Second},
	{Name: "burst", Length: 30 * time.Second, BurstAt: 10 * time.Second, BurstTime: 6 * time.Second, BurstFactor: 2.2},
	{Name: "shift", Length: 30 * time.Second, ShiftEvery: 7 * time.Second},
	{Name: "hot-workspace", Length: 30 * time.Second, HotFrom: 8 * time.Second, HotTime: 10 * time.Second, HotFactor: 5},
	{
		Name: "crash", Length: 30 * time.Second, BurstAt: 10 * time.Second, BurstTime: 6 * time.Second, BurstFactor: 2.2,
		CrashAt: 8 * time.Second, CrashTime: 3 * time.Second, CrashShare: 0.25, ShiftEvery: 10 * time.Second,
	},
}

// arrival is one request of the load.
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

// arrivals draws the load of a day. It depends on the seed alone, so that policies get equal loads.
func (s *Site) arrivals(d Day, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < d.Length; at += tick {
		for c := range s.Classes {
			class := &s.Classes[c]
			mean := class.PerSecond * tick.Seconds()
			if !class.Hot && during(at, d.BurstAt, d.BurstTime) {
				mean *= d.BurstFactor
			}
			for range s.Workspaces {
				workspace := rng.IntN(s.Workspaces)
				share := mean / float64(s.Workspaces)
				if workspace == 0 && during(at, d.HotFrom, d.HotTime) {
					share *= d.HotFactor
				}
				if rng.Float64() < share {
					out = append(out, s.draw(rng, d, class, at, workspace))
				}
			}
		}
	}
	return out
}

func during(at, from, length time.Duration) bool { return at >= from && at < from+length }

func (s *Site) draw(rng *rand.Rand, d Day, class *Class, at time.Duration, workspace int) arrival {
	model := s.HotModels + rng.IntN(s.Models-s.HotModels)
	if class.Hot {
		// The first hot models get the most requests.
		model = s.hotModel(d, min(rng.IntN(s.HotModels), rng.IntN(s.HotModels)), at)
	}
	return arrival{
		at:        at,
		class:     class,
		host:      rng.IntN(s.Hosts),
		workspace: workspace,
		model:     modelID(model),
		session:   fmt.Sprint(rng.IntN(160)),
		prompt:    spread(rng, class.Prompt, class.PromptSpread),
		output:    spread(rng, class.Output, 0.5),
	}
}

// hotModel returns the hot model of a place at a time. Each shift puts another model into the next place.
func (s *Site) hotModel(d Day, place int, at time.Duration) int {
	model := place
	if d.ShiftEvery <= 0 {
		return model
	}
	for shift := 0; shift < int(at/d.ShiftEvery); shift++ {
		if shift%s.HotModels == place {
			model = s.Models - 1 - shift
		}
	}
	return model
}

// spread draws from a logarithmic normal distribution that is cut at four times the median.
func spread(rng *rand.Rand, median, sigma float64) int {
	return int(max(1, min(median*math.Exp(sigma*rng.NormFloat64()), 4*median)))
}

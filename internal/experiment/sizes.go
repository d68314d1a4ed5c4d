// Package experiment runs whole sites in one process, with times compressed so that they fit
// one machine, sends them load with fixed seeds and faults at fixed times, and reports the
// metrics of section 1 of the design page. It is a measuring tool and no part of the product.
package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
)

// Compression divides load times, idle times and deadlines of models, and multiplies the rate of
// the weight store. Intervals of the hosts, delays of links, lease terms and adapter loads are
// not compressed, so that the overhead of the hosts counts Compression times as much beside a load.
const Compression = 10

// RateDivisor divides rates and bursts of the workspaces, so that one machine can send them.
const RateDivisor = 10

// BurstDivisor divides bursts further where limits are the subject. Compression would be exact,
// but would leave the smallest workspace a burst of four requests over eight hosts.
const BurstDivisor = 4

// The engines of both sites.
const (
	engineMemory    = 64e9
	accelerators    = 8
	tokenInterval   = 5 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	reportLag       = 50 * time.Millisecond
	// diskShare and memoryShare are the load times from disk and memory relative to remote.
	diskShare, memoryShare = 0.3, 0.1
	registryLag            = 200 * time.Millisecond
	serviceWork            = 10 * time.Millisecond
	// platformWrites and platformReads are the calls per second that the key-value service allows.
	platformWrites, platformReads = 400, 2000
)

// sizes are those of the table of the design page.
type sizes struct {
	hosts, domains    int
	between, toCaller time.Duration
	engines, services int
	serviceKind       string
	loadsPerSecond    float64
	greedy            entity.WorkspaceID
}

var siteSizes = map[string]sizes{
	"reykjavik": {
		hosts: 8, domains: 4, between: time.Millisecond, toCaller: time.Millisecond,
		engines: 18, services: 4, serviceKind: "order-registry", loadsPerSecond: 7, greedy: "registers",
	},
	"thessaly": {
		hosts: 7, domains: 3, between: 1500 * time.Microsecond, toCaller: 3 * time.Millisecond,
		engines: 12, services: 3, serviceKind: "ledger", loadsPerSecond: 4, greedy: "reports",
	},
}

// ErrUnknown marks an unknown experiment, site or policy.
var ErrUnknown = errors.New("experiment: unknown name")

// Sites and Policies list the accepted names.
var (
	Sites    = []string{"reykjavik", "thessaly"}
	Policies = []string{
		"default", "static-limits", "random-replica", "fifo-queue", "fifo-loads", "random-upstream", "keep-models", "no-coalescing",
	}
)

func policySettings(name string) (host.PolicySettings, error) {
	p := host.PolicySettings{Limits: "loans", Queue: "fair", Replica: "power_of_two", Placement: "demand"}
	switch name {
	case "default":
	case "static-limits":
		p.Limits = "static"
	case "random-replica":
		p.Replica = "random"
	case "fifo-queue":
		p.Queue = "fifo"
	case "fifo-loads":
		p.Placement = "fifo"
	case "random-upstream":
		p.Placement = "random"
	case "keep-models":
		p.Placement = "keep"
	case "no-coalescing":
		p.Placement = "per_host"
	default:
		return p, fmt.Errorf("%w: policy %q", ErrUnknown, name)
	}
	return p, nil
}

// readSite compiles the example documents of a site and compresses them.
func readSite(dir, name string, tightBursts bool) (*config.Site, error) {
	base, err := os.ReadFile(filepath.Join(dir, "base.json"))
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	overlay, err := os.ReadFile(filepath.Join(dir, "overlay-"+name+".json"))
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	s, err := config.Compile(name, 1, base, overlay)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	compress(s, tightBursts)
	return s, nil
}

func compress(s *config.Site, tightBursts bool) {
	for id, m := range s.Models {
		m.ColdStartMillis = max(1, m.ColdStartMillis/Compression)
		s.Models[id] = m
	}
	for id, w := range s.Workspaces {
		w.RateTokensPerSecond /= RateDivisor
		w.BurstTokens /= RateDivisor
		if tightBursts {
			w.BurstTokens /= BurstDivisor
		}
		s.Workspaces[id] = w
	}
	s.Limits.InteractiveDeadlineMillis /= Compression
	s.Limits.PatientDeadlineMillis /= Compression
	s.WeightStore.LoadsPerSecond *= Compression
	s.Placement.IdleMillis /= Compression
	s.Placement.HoldMillis /= Compression
}

// document returns the configuration as a base document.
func document(s *config.Site) ([]byte, error) {
	data, err := json.Marshal(s.Document)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return data, nil
}

// modelNames returns the models in order of their names: kept ones first, then the others.
func modelNames(s *config.Site) (kept, others []entity.ModelID) {
	for id, m := range s.Models {
		if m.MinReplicas > 0 {
			kept = append(kept, id)
		} else {
			others = append(others, id)
		}
	}
	slices.Sort(kept)
	slices.Sort(others)
	return kept, others
}

// engineOptions returns the options of all engines. Models that are kept loaded are in the memory
// of one engine each, which shortens the start. Of the checkpoints of models that are not kept
// loaded, two fifths are on two disks and one fifth is in the memory of one engine.
func (z sizes) engineOptions(s *config.Site, store *engine.WeightStore, seed uint64) []engine.Options {
	rng := rand.New(rand.NewPCG(seed, 1))
	places := make([]map[entity.ModelID]string, z.engines)
	for i := range places {
		places[i] = map[entity.ModelID]string{}
	}
	kept, others := modelNames(s)
	for i, m := range kept {
		places[i%z.engines][m] = engine.PlaceMemory
	}
	for _, m := range others {
		switch rng.IntN(5) {
		case 0, 1:
			first := rng.IntN(z.engines)
			places[first][m] = engine.PlaceDisk
			places[(first+1+rng.IntN(z.engines-1))%z.engines][m] = engine.PlaceDisk
		case 2:
			places[rng.IntN(z.engines)][m] = engine.PlaceMemory
		}
	}
	var out []engine.Options
	for i := range z.engines {
		out = append(out, engine.Options{
			ID:          entity.UpstreamID(fmt.Sprintf("engine-%02d", i+1)),
			MemoryBytes: engineMemory,
			// Half of the engines check fencing numbers.
			ChecksFence:     i%2 == 0,
			Checkpoints:     places[i],
			LoadTime:        func(m entity.ModelID, place string) time.Duration { return bareLoad(s, m, place) },
			Store:           store,
			Slots:           16,
			TokenInterval:   tokenInterval,
			PrefillPerToken: prefillPerToken,
			ReportLag:       reportLag,
			EventLag:        2 * reportLag,
			EventGapEvery:   50,
			ReceivedLimit:   -1,
		})
	}
	return out
}

// bareLoad is the load time of a model in compressed time.
func bareLoad(s *config.Site, m entity.ModelID, place string) time.Duration {
	remote := time.Duration(s.Models[m].ColdStartMillis) * time.Millisecond
	switch place {
	case engine.PlaceMemory:
		return time.Duration(float64(remote) * memoryShare)
	case engine.PlaceDisk:
		return time.Duration(float64(remote) * diskShare)
	}
	return remote
}

func (z sizes) serviceOptions() []service.Options {
	var out []service.Options
	for i := range z.services {
		out = append(out, service.Options{
			ID:   entity.UpstreamID(fmt.Sprintf("%s-%d", z.serviceKind, i+1)),
			Kind: z.serviceKind, WorkTime: serviceWork, ReceivedLimit: -1,
		})
	}
	return append(out, service.Options{ID: "status-1", Kind: "status", ReceivedLimit: -1})
}

func (z sizes) domainNames() []string {
	var out []string
	for i := range z.domains {
		out = append(out, fmt.Sprintf("fd%d", i+1))
	}
	return out
}

// Package experiment runs whole sites in one process and measures them. Times and rates are compressed so
// that a site fits on one machine. The load has a fixed seed, and faults occur at fixed times. The report
// covers cold starts, token limits, in-time shares, accelerator use and calls of the key-value service. The
// package is a measuring tool and not part of the product.
//
// A model is cold while no engine has a ready replica of it. A cold request is one that arrives while its model is
// cold; its cold start lasts until its first token. Cold starts are compared with the bare time, in which an ideal
// site would load the model (see requestColdStarts).
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

// Compression is the factor by which load times, idle times and deadlines are divided and by which the rate
// of the weight store is multiplied. Intervals of the hosts, network delays, lease terms and adapter loads
// are not compressed. The overhead of the hosts relative to a load is therefore Compression times as large as
// on a real site.
const Compression = 10

// RateDivisor is the factor by which the rates and bursts of the workspaces are divided, so that one machine
// can generate the load.
const RateDivisor = 10

// BurstDivisor is the factor by which bursts are divided further in experiments that examine limits. Dividing
// by Compression would keep bursts in proportion to the compressed times, but would leave the smallest workspace a
// burst of only four requests for eight hosts.
const BurstDivisor = 4

// Properties of the engines, services and the key-value service of both sites.
const (
	engineMemory    = 64e9
	accelerators    = 8
	tokenInterval   = 5 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	reportLag       = 50 * time.Millisecond
	// diskShare and memoryShare are the load times from disk and from memory, as shares of the remote load
	// time.
	diskShare, memoryShare = 0.3, 0.1
	registryLag            = 200 * time.Millisecond
	serviceWork            = 10 * time.Millisecond
	// platformWrites and platformReads are the writes and reads per second that the key-value service allows.
	platformWrites, platformReads = 400, 2000
)

// siteSize describes the size of a site. interDomainDelay and callerDelay are the one-way delays between
// hosts in different failure domains and between a caller and a host; greedy is the workspace that exceeds
// its rate in the greedy experiment.
type siteSize struct {
	hosts, domains                int
	interDomainDelay, callerDelay time.Duration
	engines, services             int
	serviceKind                   string
	loadsPerSecond                float64
	greedy                        entity.WorkspaceID
}

var sizeBySite = map[string]siteSize{
	"reykjavik": {
		hosts: 8, domains: 4, interDomainDelay: time.Millisecond, callerDelay: time.Millisecond,
		engines: 18, services: 4, serviceKind: "order-registry", loadsPerSecond: 7, greedy: "registers",
	},
	"thessaly": {
		hosts: 7, domains: 3, interDomainDelay: 1500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		engines: 12, services: 3, serviceKind: "ledger", loadsPerSecond: 4, greedy: "reports",
	},
}

// ErrUnknown is returned for the name of an unknown experiment, site or policy.
var ErrUnknown = errors.New("experiment: unknown name")

// Sites and Policies list the accepted names. The policy "default" is that of the product. Each other policy is a
// baseline, which replaces one mechanism of the default policy by a simpler one.
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

// readSite compiles the example documents of a site and applies Compression, RateDivisor and, if tightBursts is
// set, BurstDivisor to the result.
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

// document encodes the configuration of a site as one base document, which needs no overlay.
func document(s *config.Site) ([]byte, error) {
	data, err := json.Marshal(s.Document)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return data, nil
}

// modelNames returns the models that are kept loaded and the other models, each sorted by name.
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

// engineOptions returns the options of all engines. Each model that is kept loaded has a checkpoint in the
// memory of one engine, which shortens the start of the site. Of the models that are not kept loaded, two
// fifths have checkpoints on the disks of two engines, and one fifth has one in the memory of one engine.
func (z siteSize) engineOptions(s *config.Site, store *engine.WeightStore, seed uint64) []engine.Options {
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
			// Half of the engines check fencing tokens.
			ChecksFence:     i%2 == 0,
			Checkpoints:     places[i],
			LoadTime:        func(m entity.ModelID, place string) time.Duration { return modelLoadTime(s, m, place) },
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

// modelLoadTime returns the load time of a model from a place, in compressed time.
func modelLoadTime(s *config.Site, m entity.ModelID, place string) time.Duration {
	remote := time.Duration(s.Models[m].ColdStartMillis) * time.Millisecond
	switch place {
	case engine.PlaceMemory:
		return time.Duration(float64(remote) * memoryShare)
	case engine.PlaceDisk:
		return time.Duration(float64(remote) * diskShare)
	}
	return remote
}

func (z siteSize) serviceOptions() []service.Options {
	var out []service.Options
	for i := range z.services {
		out = append(out, service.Options{
			ID:   entity.UpstreamID(fmt.Sprintf("%s-%d", z.serviceKind, i+1)),
			Kind: z.serviceKind, WorkTime: serviceWork, ReceivedLimit: -1,
		})
	}
	return append(out, service.Options{ID: "status-1", Kind: "status", ReceivedLimit: -1})
}

func (z siteSize) domainNames() []string {
	var out []string
	for i := range z.domains {
		out = append(out, fmt.Sprintf("fd%d", i+1))
	}
	return out
}

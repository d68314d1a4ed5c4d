// Package engine is a stand-in for a model engine with the upstream protocol of the design
// page: continuous batching, priorities, prefix caching, resumable streams, load orders and
// lagging reports, with faults that can be set at run time and records for tests.
package engine

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Places of a checkpoint.
const (
	PlaceMemory = "memory"
	PlaceDisk   = "disk"
	PlaceRemote = "remote"
)

// LoadTimes are the bare load times by the place of the checkpoint, before the time scale.
type LoadTimes struct {
	Memory time.Duration
	Disk   time.Duration
	Remote time.Duration
}

// Options describes one engine. Zero fields take the defaults.
type Options struct {
	ID entity.UpstreamID
	// Kind is the upstream kind, for records only. Default "engine".
	Kind string
	// MemoryBytes is the memory for models and adapters. Default 80 GiB.
	MemoryBytes int64
	// ChecksFence refuses orders whose fence is lower than the highest seen for their entry.
	ChecksFence bool
	// Checkpoints maps models to PlaceMemory or PlaceDisk; other models are remote.
	Checkpoints map[entity.ModelID]string
	// LoadTimes are used unless LoadTime is set. Default 500 ms, 2 s and 8 s.
	LoadTimes LoadTimes
	// LoadTime returns the bare load time of a model, before the time scale.
	LoadTime func(m entity.ModelID, place string) time.Duration
	// Store is shared by the engines of a site; its time scale applies to all loads.
	Store *WeightStore
	// AdapterLoadMin and AdapterLoadMax bound an adapter load. Default 5 and 10 ms.
	AdapterLoadMin, AdapterLoadMax time.Duration
	// Slots is the number of requests that each replica runs at once. Default 8.
	Slots int
	// TokenInterval is the time per token of a batch of one; zero generates without waiting.
	TokenInterval time.Duration
	// BatchSlowdown is the relative rise of the token time per further running request. Default 0.02.
	BatchSlowdown float64
	// PrefillPerToken is the time per prompt token that is not in the prefix cache.
	PrefillPerToken time.Duration
	// PrefixCacheBytes bounds the prefix cache. Default 1 GiB.
	PrefixCacheBytes int64
	// ReportLag is the age of the state that reports show.
	ReportLag time.Duration
	// EventLag is the time until a cache event can be read.
	EventLag time.Duration
	// EventGapEvery leaves out every n-th cache event; zero leaves out none.
	EventGapEvery uint64
	// StreamKeep is how long ended streams can be resumed. Default 30 s.
	StreamKeep time.Duration
	// ReceivedLimit bounds the recorded requests; the oldest are dropped. Default 4096, -1 records none.
	ReceivedLimit int
	// Boot names the first boot. Default random.
	Boot string
}

const (
	defaultMemoryBytes      = 80 << 30
	defaultPrefixCacheBytes = 1 << 30
	defaultStreamKeep       = 30 * time.Second
	defaultReceivedLimit    = 4096
)

func (o Options) withDefaults() Options {
	setDefault(&o.Kind, "engine")
	setDefault(&o.MemoryBytes, defaultMemoryBytes)
	setDefault(&o.LoadTimes, LoadTimes{500 * time.Millisecond, 2 * time.Second, 8 * time.Second})
	setDefault(&o.AdapterLoadMin, 5*time.Millisecond)
	setDefault(&o.AdapterLoadMax, max(10*time.Millisecond, o.AdapterLoadMin))
	setDefault(&o.Slots, 8)
	setDefault(&o.BatchSlowdown, 0.02)
	setDefault(&o.PrefixCacheBytes, defaultPrefixCacheBytes)
	setDefault(&o.StreamKeep, defaultStreamKeep)
	setDefault(&o.ReceivedLimit, defaultReceivedLimit)
	setDefault(&o.Boot, entity.RandomHex(8))
	if o.Store == nil {
		o.Store = NewWeightStore(WeightStoreOptions{})
	}
	if o.LoadTime == nil {
		o.LoadTime = o.LoadTimes.of
	}
	return o
}

func (t LoadTimes) of(_ entity.ModelID, place string) time.Duration {
	switch place {
	case PlaceMemory:
		return t.Memory
	case PlaceDisk:
		return t.Disk
	}
	return t.Remote
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

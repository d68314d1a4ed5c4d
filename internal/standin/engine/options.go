// Package engine is a stand-in for a model engine. It implements the upstream protocol with continuous
// batching, priorities, prefix caching, resumable streams, load orders, and reports that lag behind the state of
// the engine. Faults can be set at run time, and tests can read records of what the engine received and did.
//
// A boot is the time from one start of the engine to its next stop, like the life of an engine process. An entry is
// a model or an adapter in the memory of the engine.
package engine

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Places where a checkpoint can be stored. They determine the load time of the model.
const (
	PlaceMemory = "memory"
	PlaceDisk   = "disk"
	PlaceRemote = "remote"
)

// LoadTimes are the load times for each place of the checkpoint, without queueing in the weight store and
// before the time scale is applied.
type LoadTimes struct {
	Memory time.Duration
	Disk   time.Duration
	Remote time.Duration
}

// Options describes one engine. Zero fields take the defaults.
type Options struct {
	ID entity.UpstreamID
	// Kind is the upstream kind. It is only shown in records. Default "engine".
	Kind string
	// MemoryBytes is the accelerator memory for models and adapters. Default 80 GiB.
	MemoryBytes int64
	// ChecksFence makes the engine refuse orders whose fence is lower than the highest received for their
	// entry.
	ChecksFence bool
	// Checkpoints maps models to the places of their checkpoints. Models that it does not list are in
	// PlaceRemote.
	Checkpoints map[entity.ModelID]string
	// LoadTimes are used unless LoadTime is set. Default 500 ms from memory, 2 s from disk and 8 s from
	// remote.
	LoadTimes LoadTimes
	// LoadTime returns the load time of a model, without queueing in the weight store and before the time
	// scale is applied.
	LoadTime func(m entity.ModelID, place string) time.Duration
	// Store is shared by the engines of a site. Its time scale applies to all loads.
	Store *WeightStore
	// AdapterLoadMin and AdapterLoadMax are the bounds of the random load time of an adapter, before the time
	// scale is applied. Default 5 and 10 ms.
	AdapterLoadMin, AdapterLoadMax time.Duration
	// Slots is the number of requests that each replica can run at once. Default 8.
	Slots int
	// TokenInterval is the time per generated token when a replica runs one request. With zero all tokens are
	// generated at once.
	TokenInterval time.Duration
	// BatchSlowdown is the share of TokenInterval that each further running request of the replica adds to the
	// time per token. Default 0.02.
	BatchSlowdown float64
	// PrefillPerToken is the time per prompt token that is not in the prefix cache.
	PrefillPerToken time.Duration
	// PrefixCacheBytes is the size of the prefix cache. Default 1 GiB.
	PrefixCacheBytes int64
	// ReportLag is the age of the state that reports show.
	ReportLag time.Duration
	// EventLag is the time from a cache event until it can be read.
	EventLag time.Duration
	// EventGapEvery makes the engine leave out every n-th cache event. With zero it leaves out none.
	EventGapEvery uint64
	// StreamRetention is the time for which an ended stream can be resumed. Default 30 s.
	StreamRetention time.Duration
	// ReceivedLimit is the number of received requests that are recorded; older ones are dropped. Default
	// 4096; -1 records none.
	ReceivedLimit int
	// Boot is the name of the first boot. By default it is random.
	Boot string
}

const (
	defaultMemoryBytes      = 80 << 30
	defaultPrefixCacheBytes = 1 << 30
	defaultStreamRetention  = 30 * time.Second
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
	setDefault(&o.StreamRetention, defaultStreamRetention)
	setDefault(&o.ReceivedLimit, defaultReceivedLimit)
	setDefault(&o.Boot, entity.RandomHex(8))
	if o.Store == nil {
		o.Store = NewWeightStore(WeightStoreOptions{})
	}
	if o.LoadTime == nil {
		o.LoadTime = o.LoadTimes.forPlace
	}
	return o
}

func (t LoadTimes) forPlace(_ entity.ModelID, place string) time.Duration {
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

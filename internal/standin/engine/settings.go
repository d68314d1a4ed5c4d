package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Settings is the JSON form of one or more engines that share a weight store.
type Settings struct {
	WeightStore WeightStoreSettings `json:"weight_store"`
	Engines     []EngineSettings    `json:"engines"`
}

// WeightStoreSettings is the JSON form of WeightStoreOptions.
type WeightStoreSettings struct {
	LoadsPerSecond  float64 `json:"loads_per_s"`
	Parallel        int     `json:"parallel"`
	AdapterParallel int     `json:"adapter_parallel"`
	TimeScale       float64 `json:"time_scale"`
}

// EngineSettings is the JSON form of Options. Zero fields take the defaults of Options.
type EngineSettings struct {
	ID   entity.UpstreamID `json:"id"`
	Kind string            `json:"kind"`
	// Addr is the listen address. Default "127.0.0.1:0".
	Addr               string                    `json:"addr"`
	MemoryBytes        int64                     `json:"memory_bytes"`
	ChecksFence        bool                      `json:"checks_fence"`
	Checkpoints        map[entity.ModelID]string `json:"checkpoints"`
	LoadMemoryMillis   int64                     `json:"load_memory_ms"`
	LoadDiskMillis     int64                     `json:"load_disk_ms"`
	LoadRemoteMillis   int64                     `json:"load_remote_ms"`
	Slots              int                       `json:"slots"`
	TokenMicros        int64                     `json:"token_us"`
	PrefillTokenMicros int64                     `json:"prefill_token_us"`
	PrefixCacheBytes   int64                     `json:"prefix_cache_bytes"`
	ReportLagMillis    int64                     `json:"report_lag_ms"`
	EventLagMillis     int64                     `json:"event_lag_ms"`
	EventGapEvery      uint64                    `json:"event_gap_every"`
	ReceivedLimit      int                       `json:"received_limit"`
	Boot               string                    `json:"boot"`
	// Loaded maps the models that are loaded at the start to their sizes in bytes.
	Loaded map[entity.ModelID]int64 `json:"loaded"`
}

// Validate returns all errors of the settings at once.
func (s Settings) Validate() error {
	var errs []error
	if len(s.Engines) == 0 {
		errs = append(errs, errors.New("engines: at least one is required"))
	}
	seen := map[entity.UpstreamID]bool{}
	for i, e := range s.Engines {
		if e.ID == "" || seen[e.ID] {
			errs = append(errs, fmt.Errorf("engines[%d].id: %q is empty or used twice", i, e.ID))
		}
		seen[e.ID] = true
		for m, place := range e.Checkpoints {
			if place != PlaceMemory && place != PlaceDisk && place != PlaceRemote {
				errs = append(errs, fmt.Errorf("engines[%d].checkpoints[%q]: unknown place %q: allowed are memory, disk and remote", i, m, place))
			}
		}
		errs = append(errs, e.negativeFields(i)...)
	}
	return errors.Join(errs...)
}

// negativeFields returns an error for each field of engine i that is negative.
func (e EngineSettings) negativeFields(i int) []error {
	var errs []error
	for name, v := range map[string]int64{
		"memory_bytes": e.MemoryBytes, "load_memory_ms": e.LoadMemoryMillis, "load_disk_ms": e.LoadDiskMillis,
		"load_remote_ms": e.LoadRemoteMillis, "slots": int64(e.Slots), "token_us": e.TokenMicros,
		"prefill_token_us": e.PrefillTokenMicros, "prefix_cache_bytes": e.PrefixCacheBytes,
		"report_lag_ms": e.ReportLagMillis, "event_lag_ms": e.EventLagMillis,
	} {
		if v < 0 {
			errs = append(errs, fmt.Errorf("engines[%d].%s: %d is negative", i, name, v))
		}
	}
	return errs
}

// Options returns the options of the weight store.
func (s WeightStoreSettings) Options() WeightStoreOptions { return WeightStoreOptions(s) }

// Options returns the options of the engine, which uses the given weight store.
func (e EngineSettings) Options(store *WeightStore) Options {
	o := Options{
		ID: e.ID, Kind: e.Kind, MemoryBytes: e.MemoryBytes, ChecksFence: e.ChecksFence,
		Checkpoints: e.Checkpoints, Store: store, Slots: e.Slots,
		TokenInterval:    time.Duration(e.TokenMicros) * time.Microsecond,
		PrefillPerToken:  time.Duration(e.PrefillTokenMicros) * time.Microsecond,
		PrefixCacheBytes: e.PrefixCacheBytes,
		ReportLag:        time.Duration(e.ReportLagMillis) * time.Millisecond,
		EventLag:         time.Duration(e.EventLagMillis) * time.Millisecond,
		EventGapEvery:    e.EventGapEvery,
		ReceivedLimit:    e.ReceivedLimit,
		Boot:             e.Boot,
	}
	if e.LoadMemoryMillis != 0 || e.LoadDiskMillis != 0 || e.LoadRemoteMillis != 0 {
		o.LoadTimes = LoadTimes{
			Memory: time.Duration(e.LoadMemoryMillis) * time.Millisecond,
			Disk:   time.Duration(e.LoadDiskMillis) * time.Millisecond,
			Remote: time.Duration(e.LoadRemoteMillis) * time.Millisecond,
		}
	}
	return o
}

// Preload adds a ready replica of a model immediately, without a load and without an order.
func (e *Engine) Preload(m entity.ModelID, bytes int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentBoot.replicas[m] != nil {
		return fmt.Errorf("engine %s: preload %s: already loaded", e.opts.ID, m)
	}
	if e.currentBoot.reserved+bytes > e.opts.MemoryBytes {
		return fmt.Errorf("engine %s: preload %s: not enough memory", e.opts.ID, m)
	}
	e.currentBoot.reserved += bytes
	e.currentBoot.seq++
	e.currentBoot.replicas[m] = &replica{model: m, state: stateReady, bytes: bytes, accountedUntil: time.Now(), cancel: func() {}}
	e.opts.Store.addReplica(m, 1)
	e.rec.reserved(e.currentBoot.reserved)
	e.rec.replicas(len(e.currentBoot.replicas))
	return nil
}

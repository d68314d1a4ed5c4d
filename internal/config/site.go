// Package config holds the declared configuration of a site: a base document and one overlay
// per site, merged with JSON Merge Patch (RFC 7396), validated as a whole and compiled into an
// immutable Site. The Store applies, lists and audits configurations and keys.
package config

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Document is the JSON form of a base configuration, or of an overlay that changes some of its fields.
// A missing field takes its default; an explicit zero is kept and has to be allowed.
type Document struct {
	// Models maps model names to their declaration.
	Models map[entity.ModelID]Model `json:"models,omitempty" validate:"dive"`
	// Workspaces maps workspace names to their limits and rights.
	Workspaces map[entity.WorkspaceID]Workspace `json:"workspaces,omitempty" validate:"dive"`
	// Routes maps path prefixes to plain services.
	Routes map[string]Route `json:"routes,omitempty" validate:"dive"`
	// Limits bounds queues, deadlines and retries.
	Limits Limits `json:"limits,omitzero"`
	// WeightStore declares what the weight store allows.
	WeightStore WeightStore `json:"weight_store,omitzero"`
	// Placement tunes loading and unloading.
	Placement Placement `json:"placement,omitzero"`
}

// Model declares one model.
type Model struct {
	// Bytes is the memory that one loaded replica takes.
	Bytes int64 `json:"bytes" validate:"gt=0,lte=1125899906842624"`
	// ColdStartMillis is the expected load time from a remote checkpoint, in milliseconds. It is a hint.
	ColdStartMillis int64 `json:"cold_start_ms" validate:"gt=0,lte=604800000"`
	// Slots is the number of requests that one replica runs at the same time. Default 8.
	Slots int `json:"slots,omitempty" default:"8" validate:"gt=0"`
	// MinReplicas are kept loaded even when idle. Default 0.
	MinReplicas int `json:"min_replicas,omitempty" default:"0" validate:"gte=0"`
	// MaxReplicas bounds the replicas of this model. Default 1.
	MaxReplicas int `json:"max_replicas,omitempty" default:"1" validate:"gt=0"`
	// Accelerators is the number of accelerators that one replica holds. Default 1.
	Accelerators int `json:"accelerators,omitempty" default:"1" validate:"gt=0"`
	// UpstreamKind selects the engines that may load this model. Default "engine".
	UpstreamKind string `json:"upstream_kind,omitempty" default:"\"engine\"" validate:"required"`
	// Adapters maps adapter names to their declaration.
	Adapters map[entity.AdapterID]Adapter `json:"adapters,omitempty" validate:"dive"`
}

// Adapter declares one adapter of a model.
type Adapter struct {
	// Bytes is the memory that the adapter takes on a replica.
	Bytes int64 `json:"bytes" validate:"gt=0,lte=1125899906842624"`
}

// Workspace declares the rights and limits of one workspace.
type Workspace struct {
	// RateTokensPerSecond is the sustained rate over the whole fleet.
	RateTokensPerSecond float64 `json:"rate_tokens_per_s" validate:"gt=0,lte=1000000000000"`
	// BurstTokens is the number of tokens that may be used at once over the whole fleet.
	BurstTokens float64 `json:"burst_tokens" validate:"gt=0,lte=1000000000000"`
	// Models lists the models that the workspace may call; "*" means all.
	Models []entity.ModelID `json:"models,omitempty"`
	// Routes lists the path prefixes of plain routes that the workspace may call; "*" means all.
	Routes []string `json:"routes,omitempty"`
	// Weight is the workspace's share when replicas are contended. Default 1.
	Weight float64 `json:"weight,omitempty" default:"1" validate:"gt=0,lte=1000000"`
}

// Route declares a path prefix that leads to plain services.
type Route struct {
	// UpstreamKind selects the plain services of this route.
	UpstreamKind string `json:"upstream_kind" validate:"required"`
	// Idempotent calls may be retried. Default false: the safe reading of an unmarked route.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open routes need no key and are not limited by a workspace.
	Open bool `json:"open,omitempty"`
	// TimeoutMillis is the default deadline of a call, in milliseconds. Default 30000.
	TimeoutMillis int64 `json:"timeout_ms,omitempty" default:"30000" validate:"gt=0,lte=604800000"`
	// CostTokens is charged to the workspace for each call. Default 1.
	CostTokens float64 `json:"cost_tokens,omitempty" default:"1" validate:"gt=0"`
}

// Limits bounds the work that one host keeps.
type Limits struct {
	// QueueRequests bounds the queued requests of one host. Default 10000.
	QueueRequests int `json:"queue_requests,omitempty" default:"10000" validate:"gt=0"`
	// QueueBytes bounds the queued request bodies of one host. Default 64 MiB.
	QueueBytes int64 `json:"queue_bytes,omitempty" default:"67108864" validate:"gt=0"`
	// InteractiveDeadlineMillis applies when a request names no deadline. Default 30000.
	InteractiveDeadlineMillis int64 `json:"interactive_deadline_ms,omitempty" default:"30000" validate:"gt=0,lte=604800000"`
	// PatientDeadlineMillis applies when a patient request names no deadline. Default 3600000.
	PatientDeadlineMillis int64 `json:"patient_deadline_ms,omitempty" default:"3600000" validate:"gt=0,lte=604800000"`
	// MaxBodyBytes bounds a request body. Default 1 MiB.
	MaxBodyBytes int `json:"max_body_bytes,omitempty" default:"1048576" validate:"gt=0"`
	// MaxOutputTokens is charged when a request names no maximum. Default 256.
	MaxOutputTokens int `json:"max_output_tokens,omitempty" default:"256" validate:"gt=0"`
	// RetryRatio is the number of retries allowed per first attempt, per workspace and per upstream. Default 0.2.
	RetryRatio float64 `json:"retry_ratio,omitempty" default:"0.2" validate:"gte=0,lte=10"`
	// MaxAttempts bounds the attempts of one request. Default 3.
	MaxAttempts int `json:"max_attempts,omitempty" default:"3" validate:"gt=0,lte=100"`
}

// WeightStore declares what the weight store allows for the whole site.
type WeightStore struct {
	// LoadsPerSecond bounds the rate of started loads. Default 7.
	LoadsPerSecond float64 `json:"loads_per_s,omitempty" default:"7" validate:"gt=0"`
	// Parallel is the number of loads that run at full speed together. Default 4.
	Parallel int `json:"parallel,omitempty" default:"4" validate:"gt=0"`
	// AdapterParallel bounds the adapter loads in flight over all replicas. Default 32.
	AdapterParallel int `json:"adapter_parallel,omitempty" default:"32" validate:"gt=0"`
}

// Placement tunes when replicas are added and removed.
type Placement struct {
	// IdleMillis is how long a replica above the minimum stays loaded without work when its
	// memory is not wanted, in milliseconds. Default 300000.
	IdleMillis int64 `json:"idle_ms,omitempty" default:"300000" validate:"gte=0,lte=604800000"`
	// HoldMillis is the least time between two decisions for one model that point in opposite
	// directions, in milliseconds. Default 10000.
	HoldMillis int64 `json:"hold_ms,omitempty" default:"10000" validate:"gte=0,lte=604800000"`
	// LoadFactor bounds the expected time of a load: a load is reported as slow when it takes
	// longer than this multiple of its cold-start hint. Default 3.
	LoadFactor float64 `json:"load_factor,omitempty" default:"3" validate:"gte=1"`
	// FreeMemoryShare is the share of all engine memory that may be reserved before idle replicas
	// cost anything. A high value avoids cold starts, a low one idle accelerators. Default 0.5.
	FreeMemoryShare float64 `json:"free_memory_share" default:"0.5" validate:"gte=0,lt=1"`
}

// Site is one validated configuration in force, with all defaults filled in. It is immutable
// and may be shared between goroutines.
type Site struct {
	// Revision is the revision of the head record that put the configuration in force.
	Revision int64
	// Name is the site whose overlay was merged.
	Name string
	// Document holds the merged declarations with defaults.
	Document
}

// MayCallModel says whether the workspace may call the model.
func (w Workspace) MayCallModel(m entity.ModelID) bool {
	for _, allowed := range w.Models {
		if allowed == "*" || allowed == m {
			return true
		}
	}
	return false
}

// MayCallRoute says whether the workspace may call the plain route with this prefix.
func (w Workspace) MayCallRoute(prefix string) bool {
	for _, allowed := range w.Routes {
		if allowed == "*" || allowed == prefix {
			return true
		}
	}
	return false
}

// DefaultDeadline returns the deadline of a class when the request names none.
func (l Limits) DefaultDeadline(c entity.Class) time.Duration {
	if c == entity.Patient {
		return time.Duration(l.PatientDeadlineMillis) * time.Millisecond
	}
	return time.Duration(l.InteractiveDeadlineMillis) * time.Millisecond
}

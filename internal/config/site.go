// Package config manages the configuration of sites. A configuration consists of a base document and one overlay per
// site. For each site, its overlay is merged into the base document with JSON Merge Patch (RFC 7396), and the result is
// validated as a whole and compiled into an immutable Site. A Store applies, lists and audits configurations and caller
// keys.
//
// To apply a configuration is to make it the active one. The head is the record that names the documents of the active
// configuration; hosts watch it. Two numbers are called revision: that of the configuration, which counts the applied
// configurations, and that of the key-value service, which is called store revision or ModRevision here.
package config

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Document is the JSON form of a base document, or of an overlay that changes some of its fields. A field that is
// missing after the merge gets its default. An explicit zero is kept, and is a fault where zero is not allowed.
type Document struct {
	// Models maps model names to their declaration.
	Models map[entity.ModelID]Model `json:"models,omitempty" validate:"dive"`
	// Workspaces maps workspace names to their limits and permissions.
	Workspaces map[entity.WorkspaceID]Workspace `json:"workspaces,omitempty" validate:"dive"`
	// Routes maps path prefixes to plain services.
	Routes map[string]Route `json:"routes,omitempty" validate:"dive"`
	// Limits bounds queues, deadlines and retries.
	Limits Limits `json:"limits,omitzero"`
	// WeightStore declares what the weight store allows.
	WeightStore WeightStore `json:"weight_store,omitzero"`
	// Placement configures when models are loaded and unloaded.
	Placement Placement `json:"placement,omitzero"`
}

// Model declares one model.
type Model struct {
	// Bytes is the memory that one loaded replica occupies.
	Bytes int64 `json:"bytes" validate:"gt=0,lte=1125899906842624"`
	// ColdStartMillis is the expected time to load the model from the weight store, in milliseconds.
	ColdStartMillis int64 `json:"cold_start_ms" validate:"gt=0,lte=604800000"`
	// Slots is the number of requests that one replica runs at the same time. Default 8.
	Slots int `json:"slots,omitempty" default:"8" validate:"gt=0"`
	// MinReplicas is the number of replicas that are kept loaded even when idle. Default 0.
	MinReplicas int `json:"min_replicas,omitempty" default:"0" validate:"gte=0"`
	// MaxReplicas bounds the replicas of this model. Default 1.
	MaxReplicas int `json:"max_replicas,omitempty" default:"1" validate:"gt=0"`
	// Accelerators is the number of accelerators that one replica occupies. Default 1.
	Accelerators int `json:"accelerators,omitempty" default:"1" validate:"gt=0"`
	// UpstreamKind selects the engines that may load this model. Default "engine".
	UpstreamKind string `json:"upstream_kind,omitempty" default:"\"engine\"" validate:"required"`
	// Adapters maps adapter names to their declaration.
	Adapters map[entity.AdapterID]Adapter `json:"adapters,omitempty" validate:"dive"`
}

// Adapter declares one adapter of a model.
type Adapter struct {
	// Bytes is the memory that the adapter occupies on a replica.
	Bytes int64 `json:"bytes" validate:"gt=0,lte=1125899906842624"`
}

// Workspace declares the permissions and limits of one workspace.
type Workspace struct {
	// RateTokensPerSecond is the sustained rate, summed over the whole fleet.
	RateTokensPerSecond float64 `json:"rate_tokens_per_s" validate:"gt=0,lte=1000000000000"`
	// BurstTokens is the number of tokens that may be used at once, summed over the whole fleet.
	BurstTokens float64 `json:"burst_tokens" validate:"gt=0,lte=1000000000000"`
	// Models lists the models that the workspace may call; "*" means all.
	Models []entity.ModelID `json:"models,omitempty"`
	// Routes lists the path prefixes of plain routes that the workspace may call; "*" means all.
	Routes []string `json:"routes,omitempty"`
	// Weight is the workspace's relative share when workspaces compete for replicas. Default 1.
	Weight float64 `json:"weight,omitempty" default:"1" validate:"gt=0,lte=1000000"`
}

// Route declares a path prefix whose requests are sent to plain services.
type Route struct {
	// UpstreamKind selects the plain services of this route.
	UpstreamKind string `json:"upstream_kind" validate:"required"`
	// Idempotent allows calls to be retried. The default is false, because retrying calls of a route that is not
	// marked is not safe.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open allows calls without a key; they are not subject to the limits of a workspace.
	Open bool `json:"open,omitempty"`
	// TimeoutMillis is the default deadline of a call, in milliseconds. Default 30000.
	TimeoutMillis int64 `json:"timeout_ms,omitempty" default:"30000" validate:"gt=0,lte=604800000"`
	// CostTokens is the number of tokens that each call costs the workspace. Default 1.
	CostTokens float64 `json:"cost_tokens,omitempty" default:"1" validate:"gt=0"`
}

// ServerBodyBytes bounds the size of a request body that the HTTP server of a host reads.
const ServerBodyBytes = 8 << 20

// Limits bounds the queues of one host, and the deadlines, sizes and retries of requests.
type Limits struct {
	// QueueRequests bounds the queued requests of one host. Default 10000.
	QueueRequests int `json:"queue_requests,omitempty" default:"10000" validate:"gt=0"`
	// QueueBytes bounds the queued request bodies of one host. Default 64 MiB.
	QueueBytes int64 `json:"queue_bytes,omitempty" default:"67108864" validate:"gt=0"`
	// InteractiveDeadlineMillis is the deadline of an interactive request that specifies none, in milliseconds.
	// Default 30000.
	InteractiveDeadlineMillis int64 `json:"interactive_deadline_ms,omitempty" default:"30000" validate:"gt=0,lte=604800000"`
	// PatientDeadlineMillis is the deadline of a patient request that specifies none, in milliseconds. Default
	// 3600000.
	PatientDeadlineMillis int64 `json:"patient_deadline_ms,omitempty" default:"3600000" validate:"gt=0,lte=604800000"`
	// MaxBodyBytes bounds the size of a request body. Default 1 MiB. A host reads at most ServerBodyBytes.
	MaxBodyBytes int `json:"max_body_bytes,omitempty" default:"1048576" validate:"gt=0"`
	// MaxOutputTokens is the maximum number of output tokens of a request that specifies none, and the number that
	// it is charged for. Default 256.
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
	// Parallel is the number of loads that can run at full speed at the same time. Default 4.
	Parallel int `json:"parallel,omitempty" default:"4" validate:"gt=0"`
	// AdapterParallel bounds the concurrent adapter loads of all replicas. Default 32.
	AdapterParallel int `json:"adapter_parallel,omitempty" default:"32" validate:"gt=0"`
}

// Placement configures when replicas are added and removed.
type Placement struct {
	// IdleMillis is the time that an idle replica above the minimum stays loaded while no other model needs its
	// memory, in milliseconds. Default 300000.
	IdleMillis int64 `json:"idle_ms,omitempty" default:"300000" validate:"gte=0,lte=604800000"`
	// HoldMillis is the minimum time between two opposite decisions for one model: after the decision to add a
	// replica, none is removed for this time, and vice versa. In milliseconds. Default 10000.
	HoldMillis int64 `json:"hold_ms,omitempty" default:"10000" validate:"gte=0,lte=604800000"`
	// LoadFactor is the multiple of ColdStartMillis above which a load is reported as slow. Default 3.
	LoadFactor float64 `json:"load_factor,omitempty" default:"3" validate:"gte=1"`
	// FreeMemoryShare is the share of all engine memory that may be reserved before idle replicas count as a
	// cost. A high value avoids cold starts; a low value avoids idle accelerators. Default 0.5.
	FreeMemoryShare float64 `json:"free_memory_share" default:"0.5" validate:"gte=0,lt=1"`
}

// Site is the validated configuration of one site with all defaults filled in. It is immutable, so that goroutines can
// share it.
type Site struct {
	// Revision is the revision of the head record that activated the configuration.
	Revision int64
	// Name is the name of the site whose overlay was merged; empty for the base document alone.
	Name string
	// Document contains the merged declarations with defaults.
	Document
}

// MayCallModel reports whether the workspace may call the model.
func (w Workspace) MayCallModel(m entity.ModelID) bool {
	for _, allowed := range w.Models {
		if allowed == "*" || allowed == m {
			return true
		}
	}
	return false
}

// MayCallRoute reports whether the workspace may call the plain route with this prefix.
func (w Workspace) MayCallRoute(prefix string) bool {
	for _, allowed := range w.Routes {
		if allowed == "*" || allowed == prefix {
			return true
		}
	}
	return false
}

// DefaultDeadline returns the deadline, counted from the arrival, of a request that specifies none.
func (l Limits) DefaultDeadline(c entity.Class) time.Duration {
	if c == entity.Patient {
		return time.Duration(l.PatientDeadlineMillis) * time.Millisecond
	}
	return time.Duration(l.InteractiveDeadlineMillis) * time.Millisecond
}

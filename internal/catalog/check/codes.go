package check

import "github.com/foxtailpass/foxtailpass/internal/config/finding"

// The kinds of versions that hosts do not put in force, or not everywhere.
const (
	// OlderVersion means that hosts ignore the configuration, because the version in force is newer.
	OlderVersion finding.Code = "older_version"
	// SameVersion means that the contents differ from those in force, but the version does not.
	SameVersion finding.Code = "same_version"
)

// The kinds of entries that can never match or have no effect.
const (
	// RouteDuplicate is a route whose host and path prefix an earlier route has.
	RouteDuplicate finding.Code = "route_duplicate"
	// RouteUnmatchable is a route whose host or path prefix no request can have.
	RouteUnmatchable finding.Code = "route_unmatchable"
	// ServiceUnknown is a service that a route names and that does not exist.
	ServiceUnknown finding.Code = "service_unknown"
	// ServiceUnused is a service that no route names.
	ServiceUnused finding.Code = "service_unused"
	// ServiceDuplicate and WorkspaceDuplicate are entries that a later one with the same name replaces.
	ServiceDuplicate   finding.Code = "service_duplicate"
	WorkspaceDuplicate finding.Code = "workspace_duplicate"
	// EngineWithoutModels is a service whose engines can load no model.
	EngineWithoutModels finding.Code = "engine_without_models"
	// KeyDuplicate is a key that is listed more than once.
	KeyDuplicate finding.Code = "key_duplicate"
	// KeyEmpty is an empty key, which requests without a key have.
	KeyEmpty finding.Code = "key_empty"
	// WorkspaceWithoutKeys is a workspace that no request can belong to.
	WorkspaceWithoutKeys finding.Code = "workspace_without_keys"
	// NoWorkspaces means that requests need no key because there are no workspaces.
	NoWorkspaces finding.Code = "no_workspaces"
	// AttemptsWithoutEffect means that several attempts are allowed on a route whose requests must not repeat.
	AttemptsWithoutEffect finding.Code = "attempts_without_effect"
	// ResumableWithoutEffect and IntervalWithoutEffect are settings for streams on a route without streams.
	ResumableWithoutEffect finding.Code = "resumable_without_effect"
	IntervalWithoutEffect  finding.Code = "interval_without_effect"
	// BurstWithoutRate is a burst of a workspace without a limit.
	BurstWithoutRate finding.Code = "burst_without_rate"
)

// The kinds of limits that contradict each other.
const (
	// TimeoutBelowTarget means that the timeout of a route ends before its target latency.
	TimeoutBelowTarget finding.Code = "timeout_below_target"
	// IntervalAboveTimeout means that the timeout of a route ends before the target interval between two events.
	IntervalAboveTimeout finding.Code = "interval_above_timeout"
	// BurstBelowRequest means that a request of the default size is always refused.
	BurstBelowRequest finding.Code = "burst_below_request"
	// RateBelowRequest means that the tokens of one request take longer than the timeout of every route.
	RateBelowRequest finding.Code = "rate_below_request"
	// RequestAboveCache means that a request of the default size fits in no cache of an engine.
	RequestAboveCache finding.Code = "request_above_cache"
	// RatesAboveCapacity means that the rates sum to more than the engines serve.
	RatesAboveCapacity finding.Code = "rates_above_capacity"
	// ModelFitsNowhere is a model that is larger than the memory of a replica.
	ModelFitsNowhere finding.Code = "model_fits_nowhere"
	// AdaptersWithoutSlots means that a model has adapters, but replicas have no adapter slots.
	AdaptersWithoutSlots finding.Code = "adapters_without_slots"
	// AdaptersAboveMemory means that the adapter slots leave no memory for a model.
	AdaptersAboveMemory finding.Code = "adapters_above_memory"
	// LoadAboveTimeout means that loading a model takes longer than the timeout of every route to its service.
	LoadAboveTimeout finding.Code = "load_above_timeout"
)

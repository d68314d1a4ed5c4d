package check

// The kinds of errors.
const (
	// Invalid is a fault that validate reports.
	Invalid Code = "invalid"
	// TooLarge means that the changed documents together are too large for one apply.
	TooLarge Code = "too_large"
)

// The kinds of entries that can never match or have no effect.
const (
	// ServesNothing means that a site has no workspaces, or neither models nor routes.
	ServesNothing Code = "serves_nothing"
	// NewSite means that the site is not in the configuration in force.
	NewSite Code = "new_site"
	// ModelNotCallable and RouteNotCallable mean that no workspace may call the model or the route.
	ModelNotCallable Code = "model_not_callable"
	RouteNotCallable Code = "route_not_callable"
	// NoPermissions means that a workspace may call nothing.
	NoPermissions Code = "no_permissions"
	// PermissionWithoutEffect is a name beside "*", or an open route in the list of a workspace.
	PermissionWithoutEffect Code = "permission_without_effect"
	// RouteShadowed means that a workspace may call a route, but not a longer one that takes a part of its paths.
	RouteShadowed Code = "route_shadowed"
	// RouteWithoutEffect is a route that does the same as the shorter one around it.
	RouteWithoutEffect Code = "route_without_effect"
	// RouteDiffersInCase is a route whose prefix differs from another one only in the case of letters.
	RouteDiffersInCase Code = "route_differs_in_case"
	// CostWithoutEffect is a cost of an open route, which charges no workspace.
	CostWithoutEffect Code = "cost_without_effect"
	// OverlayRemovesNothing is a null in an overlay for a field that the base document does not have.
	OverlayRemovesNothing Code = "overlay_removes_nothing"
	// OverlayRepeatsBase is a value in an overlay that the base document already has.
	OverlayRepeatsBase Code = "overlay_repeats_base"
	// DeclaredTwice is an entry that both the base document and an overlay declare completely.
	DeclaredTwice Code = "declared_twice"
	// NoUpstream means that no live upstream has the kind of a route or model.
	NoUpstream Code = "no_upstream"
	// ModelFitsNowhere and AdapterFitsNowhere mean that no live upstream can hold the model, or the model with the
	// adapter.
	ModelFitsNowhere   Code = "model_fits_nowhere"
	AdapterFitsNowhere Code = "adapter_fits_nowhere"
	// KeyWithoutWorkspace means that active keys belong to a workspace that no site declares.
	KeyWithoutWorkspace Code = "key_without_workspace"
	// WorkspaceWithoutKey means that a workspace that is in force has no active key.
	WorkspaceWithoutKey Code = "workspace_without_key"
)

// The kinds of limits that contradict each other.
const (
	// BurstBelowRequest means that a request of the default size is always refused.
	BurstBelowRequest Code = "burst_below_request"
	// RateBelowRequest means that the tokens of one request take longer than the deadline of the request.
	RateBelowRequest Code = "rate_below_request"
	// DeadlineBelowLoad means that a model cannot be loaded within the default deadline.
	DeadlineBelowLoad Code = "deadline_below_load"
	// DeadlinesInverted means that patient requests have the shorter deadline.
	DeadlinesInverted Code = "deadlines_inverted"
	// QueueBelowBody means that a body within the limit cannot be queued.
	QueueBelowBody Code = "queue_below_body"
	// BodyAboveServer means that the HTTP server refuses bodies within the limit.
	BodyAboveServer Code = "body_above_server"
	// RetriesWithoutBudget means that several attempts are allowed, but no retries.
	RetriesWithoutBudget Code = "retries_without_budget"
	// HoldAboveIdle means that an idle replica is kept longer than its idle time.
	HoldAboveIdle Code = "hold_above_idle"
	// MinReplicasAboveEngines and MinReplicasAboveMemory mean that the engines cannot hold the replicas that must stay
	// loaded.
	MinReplicasAboveEngines Code = "min_replicas_above_engines"
	MinReplicasAboveMemory  Code = "min_replicas_above_memory"
)

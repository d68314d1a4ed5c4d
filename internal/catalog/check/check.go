// Package check reports the faults of a catalog.Document before it is sent: entries that hosts accept although they can
// never match or have no effect, and limits that contradict each other. The code is pure. What was not passed in is not
// guessed; the report lists it as not checked. Findings name fields by the terms of package catalog. The adapter that
// decodes the document knows the file and the names of the fields in it.
package check

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/config/finding"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Field is a field of an entry, or of the document as a whole.
type Field string

// Version is the version of the document.
const Version Field = "version"

// The fields of routes.
const (
	Host           Field = "host"
	PathPrefix     Field = "path prefix"
	Kind           Field = "kind"
	Timeout        Field = "timeout"
	TargetLatency  Field = "target latency"
	TargetInterval Field = "target interval"
	Priority       Field = "priority"
	Split          Field = "split"
	MaxAttempts    Field = "maximum attempts"
	NoKeyRequired  Field = "no key required"
	Resumable      Field = "resumable"
)

// The fields of services and their models.
const (
	EngineKind     Field = "engine"
	Slots          Field = "slots"
	WeightsMB      Field = "weights memory"
	AdapterSlots   Field = "adapter slots"
	LoadsPerSecond Field = "loads per second"
	CacheTokens    Field = "cache tokens"
	Models         Field = "models"
	SizeMB         Field = "size"
	StoreLoad      Field = "load time from the store"
	DiskLoad       Field = "load time from disk"
	MemoryLoad     Field = "load time from memory"
	Adapters       Field = "adapters"
	AdapterMB      Field = "adapter size"
)

// The fields of workspaces, without their priority, which has the name of that of routes.
const (
	Rate          Field = "rate"
	Burst         Field = "burst"
	DefaultTokens Field = "default tokens"
	Keys          Field = "keys"
)

// List is one of the lists of a document.
type List string

// The lists of a document.
const (
	Routes     List = "routes"
	Services   List = "services"
	Workspaces List = "workspaces"
)

// Place is what a finding is about. At most one of Route, Service and Workspace is set; without any, it is List or, if
// that is empty too, the document as a whole.
type Place struct {
	List      List
	Route     *catalog.Route
	Service   *catalog.Service
	Workspace *catalog.Workspace
	// Model is a model of Service.
	Model *catalog.Model
	// Field is empty for the entry as a whole.
	Field Field
	// Target is the service of an entry in the Split of Route, if the finding is about that entry.
	Target catalog.ServiceID
	// Key is the place of a key in the list of the keys of Workspace, counted from 1; zero if the finding is not about
	// one key. The key itself is not part of a finding.
	Key int
}

// Finding is one fault of a document. Message and Hint use the terms of package catalog.
type Finding struct {
	Severity finding.Severity
	Code     finding.Code
	Place    Place
	Message  string
	Hint     string
}

// Key is a key of a workspace. Index is its place in the list of the keys of the workspace, counted from 0.
type Key struct {
	Workspace *catalog.Workspace
	Index     int
	Key       string
}

// Configuration is a document with what its source says beyond it.
type Configuration struct {
	catalog.Document
	// KeyEntries lists all keys in the order of the source. Document.Keys has only the last workspace of a key.
	KeyEntries []Key
	// TargetIntervals holds the target intervals between two events of a stream, where they are given.
	TargetIntervals map[*catalog.Route]time.Duration
	// CacheTokens holds the number of tokens that the cache of one replica holds, where it is given.
	CacheTokens map[*catalog.Service]float64
}

// Input is what Run checks.
type Input struct {
	Configuration
	// Replicas holds the number of replicas of services, where it is known.
	Replicas map[catalog.ServiceID]int
	// SlotTokensPerSecond is how many tokens one slot serves in a second; zero if it is not known.
	SlotTokensPerSecond float64
}

// Run checks a document. The findings are in the order of the document.
func Run(in Input) ([]Finding, []finding.Gap) {
	r := &run{in: in, services: make(map[catalog.ServiceID]*catalog.Service, len(in.Services)), routesTo: map[catalog.ServiceID]*routeSummary{}}
	for _, s := range in.Services {
		r.services[s.ID] = s
	}
	r.checkRoutes()
	r.checkServices()
	r.checkWorkspaces()
	r.checkKeys()
	r.checkCapacity()
	return r.findings, r.gaps
}

// run is the state of one check.
type run struct {
	in       Input
	services map[catalog.ServiceID]*catalog.Service
	// routesTo summarizes the routes to each service that a route names.
	routesTo map[catalog.ServiceID]*routeSummary
	// charged summarizes the routes that charge a workspace.
	charged  routeSummary
	findings []Finding
	gaps     []finding.Gap
}

// routeSummary is the longest timeout of several routes. unlimited is set if one of them has no timeout, so that only
// callers say how long they wait.
type routeSummary struct {
	routes    int
	longest   time.Duration
	unlimited bool
}

func (s *routeSummary) add(r *catalog.Route) {
	s.routes++
	s.longest = max(s.longest, r.Timeout)
	s.unlimited = s.unlimited || r.Timeout <= 0
}

// exceededBy reports whether a time is longer than the timeout of every route.
func (s *routeSummary) exceededBy(d time.Duration) bool {
	return s != nil && s.routes > 0 && !s.unlimited && d > s.longest
}

func (r *run) warn(code finding.Code, place Place, message, hint string) {
	r.findings = append(r.findings, Finding{Severity: finding.Warning, Code: code, Place: place, Message: message, Hint: hint})
}

func (r *run) gap(what, why string) { r.gaps = append(r.gaps, finding.Gap{What: what, Why: why}) }

// keysOf returns the number of keys of each workspace. A key that is listed more than once counts for its last workspace.
func keysOf(d catalog.Document) map[entity.WorkspaceID]int {
	out := make(map[entity.WorkspaceID]int, len(d.Workspaces))
	for _, w := range d.Keys {
		out[w]++
	}
	return out
}

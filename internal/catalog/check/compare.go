package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/config/finding"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Change is one difference between two configurations. Old or New is nil if only one of them has the entry.
type Change struct {
	List List
	// Name is the name of the entry. Model is the name of a model of a service, and Field is empty if the whole entry was
	// added or removed.
	Name  string
	Model string
	Field Field
	// Old and New are of type string, bool, int, float64 or time.Duration. Keys are only counted.
	Old, New any
}

// Compare returns the differences from the configuration in force to the next one, and a finding if hosts would not put
// the next one in force. Entries that have no effect, because another one has the same name or matches the same requests,
// are not compared, nor are CacheTokens, which hosts do not read.
func Compare(inForce, next Configuration) ([]Change, []Finding) {
	var c changes
	oldRoutes, newRoutes := routesByName(inForce, next)
	compareLists(&c, entry{List: Routes}, oldRoutes, newRoutes, routeFields(inForce, next))
	compareLists(&c, entry{List: Services}, servicesOf(inForce), servicesOf(next), serviceFields)
	c.compareModels(servicesOf(inForce), servicesOf(next))
	compareLists(&c, entry{List: Workspaces}, workspacesOf(inForce), workspacesOf(next), workspaceFields)
	c.compareKeys(inForce.Document, next.Document)
	slices.SortStableFunc(c.list, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.List, b.List), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Model, b.Model))
	})
	var findings []Finding
	switch {
	case next.Version < inForce.Version:
		findings = append(findings, Finding{Severity: finding.Error, Code: OlderVersion, Place: Place{Field: Version}, Message: fmt.Sprintf("version %d is older than version %d, which is in force: hosts ignore it", next.Version, inForce.Version), Hint: "raise the version"})
	case next.Version == inForce.Version && len(c.list) > 0:
		findings = append(findings, Finding{Severity: finding.Warning, Code: SameVersion, Place: Place{Field: Version}, Message: fmt.Sprintf("version %d is in force with other contents: logs and hosts cannot tell the two apart", next.Version), Hint: "raise the version"})
	}
	return c.list, findings
}

type entry struct {
	List        List
	Name, Model string
}

type changes struct{ list []Change }

func (c *changes) add(e entry, f Field, old, next any) {
	if old != next {
		c.list = append(c.list, Change{List: e.List, Name: e.Name, Model: e.Model, Field: f, Old: old, New: next})
	}
}

// fieldOf is a field with the function that reads it.
type fieldOf[T any] struct {
	field Field
	value func(T) any
}

// compareLists adds the changes of the entries of a list.
func compareLists[K cmp.Ordered, T any](c *changes, at entry, old, next map[K]T, fields []fieldOf[T]) {
	for _, id := range slices.Sorted(maps.Keys(old)) {
		e := at
		e.setName(fmt.Sprint(id))
		now, ok := next[id]
		if !ok {
			c.add(e, "", summary(old[id]), nil)
			continue
		}
		for _, f := range fields {
			c.add(e, f.field, f.value(old[id]), f.value(now))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(next)) {
		if _, ok := old[id]; !ok {
			e := at
			e.setName(fmt.Sprint(id))
			c.add(e, "", nil, summary(next[id]))
		}
	}
}

// setName sets the name of the model if the entry is one of a service, and else that of the entry.
func (e *entry) setName(name string) {
	if e.Name != "" {
		e.Model = name
		return
	}
	e.Name = name
}

// compareModels adds the changes of the models of the services that both configurations have.
func (c *changes) compareModels(old, next map[catalog.ServiceID]*catalog.Service) {
	for id, s := range old {
		now := next[id]
		if now == nil || s.Engine == nil || now.Engine == nil {
			continue
		}
		compareLists(c, entry{List: Services, Name: string(id)}, s.Engine.Models, now.Engine.Models, modelFields)
	}
}

// compareKeys adds the changes of the keys of the workspaces that both configurations have.
func (c *changes) compareKeys(old, next catalog.Document) {
	from, to := keysOf(old), keysOf(next)
	added, removed := map[entity.WorkspaceID]int{}, map[entity.WorkspaceID]int{}
	for key, w := range next.Keys {
		if before, ok := old.Keys[key]; !ok || before != w {
			added[w]++
		}
	}
	for key, w := range old.Keys {
		if now, ok := next.Keys[key]; !ok || now != w {
			removed[w]++
		}
	}
	ids := map[entity.WorkspaceID]bool{}
	for w := range added {
		ids[w] = true
	}
	for w := range removed {
		ids[w] = true
	}
	before, after := workspacesOf(Configuration{Document: old}), workspacesOf(Configuration{Document: next})
	for _, w := range slices.Sorted(maps.Keys(ids)) {
		if before[w] == nil || after[w] == nil {
			continue
		}
		c.add(entry{List: Workspaces, Name: string(w)}, Keys, count(from[w], "key"), fmt.Sprintf("%s (%d new, %d removed)", count(to[w], "key"), added[w], removed[w]))
	}
}

// matchingRoutes returns the routes that can match.
func matchingRoutes(c Configuration) []*catalog.Route {
	seen := make(map[matchKey]bool, len(c.Routes))
	var out []*catalog.Route
	for _, r := range c.Routes {
		if key := matchKeyOf(r); !seen[key] {
			seen[key] = true
			out = append(out, r)
		}
	}
	return out
}

// routesByName returns the routes of both configurations that can match, by their names. Routes with a name that is
// missing, or that is not unique in one of the two, are told apart by host and path prefix.
func routesByName(inForce, next Configuration) (from, to map[string]*catalog.Route) {
	lists := [][]*catalog.Route{matchingRoutes(inForce), matchingRoutes(next)}
	ambiguous := map[string]bool{"": true}
	for _, list := range lists {
		named := make(map[string]bool, len(list))
		for _, r := range list {
			ambiguous[r.Name] = ambiguous[r.Name] || named[r.Name]
			named[r.Name] = true
		}
	}
	byName := func(list []*catalog.Route) map[string]*catalog.Route {
		out := make(map[string]*catalog.Route, len(list))
		for _, r := range list {
			name := r.Name
			if ambiguous[name] {
				name = strings.TrimSpace(name + " " + strings.ToLower(r.Host) + r.PathPrefix)
			}
			out[name] = r
		}
		return out
	}
	return byName(lists[0]), byName(lists[1])
}

func servicesOf(c Configuration) map[catalog.ServiceID]*catalog.Service {
	out := make(map[catalog.ServiceID]*catalog.Service, len(c.Services))
	for _, s := range c.Services {
		out[s.ID] = s
	}
	return out
}

func workspacesOf(c Configuration) map[entity.WorkspaceID]*catalog.Workspace {
	out := make(map[entity.WorkspaceID]*catalog.Workspace, len(c.Workspaces))
	for _, w := range c.Workspaces {
		out[w.ID] = w
	}
	return out
}

// summary describes an entry that was added or removed.
func summary(v any) string {
	switch e := v.(type) {
	case *catalog.Route:
		return fmt.Sprintf("%s%s, %v, to %s", e.Host, e.PathPrefix, e.Kind, splitText(e))
	case *catalog.Service:
		if e.Engine == nil {
			return "plain"
		}
		return "engines with " + count(len(e.Engine.Models), "model")
	case *catalog.Model:
		return fmt.Sprintf("%v MB, %s", e.SizeMB, count(e.Adapters, "adapter"))
	case *catalog.Workspace:
		return fmt.Sprintf("rate %v, burst %v", e.Rate, e.Burst)
	}
	return fmt.Sprint(v)
}

func splitText(r *catalog.Route) string {
	if len(r.Split) == 1 {
		return string(r.Split[0].Service)
	}
	var out []string
	for _, w := range r.Split {
		out = append(out, fmt.Sprintf("%s (%d)", w.Service, w.Weight))
	}
	return strings.Join(out, ", ")
}

func routeFields(inForce, next Configuration) []fieldOf[*catalog.Route] {
	interval := func(r *catalog.Route) any {
		if d, ok := inForce.TargetIntervals[r]; ok {
			return d
		}
		return next.TargetIntervals[r]
	}
	return []fieldOf[*catalog.Route]{
		{Host, func(r *catalog.Route) any { return strings.ToLower(r.Host) }},
		{PathPrefix, func(r *catalog.Route) any { return r.PathPrefix }},
		{Kind, func(r *catalog.Route) any { return r.Kind.String() }},
		{Timeout, func(r *catalog.Route) any { return r.Timeout }},
		{TargetLatency, func(r *catalog.Route) any { return r.TargetLatency }},
		{TargetInterval, interval},
		{Priority, func(r *catalog.Route) any { return r.Priority }},
		{Split, func(r *catalog.Route) any { return splitText(r) }},
		{MaxAttempts, func(r *catalog.Route) any { return r.MaxAttempts }},
		{NoKeyRequired, func(r *catalog.Route) any { return r.NoKeyRequired }},
		{Resumable, func(r *catalog.Route) any { return r.Resumable }},
	}
}

// engineField returns the function that reads a field of the engines of a service, nil without engines.
func engineField(read func(e *catalog.Engine) any) func(*catalog.Service) any {
	return func(s *catalog.Service) any {
		if s.Engine == nil {
			return nil
		}
		return read(s.Engine)
	}
}

var serviceFields = []fieldOf[*catalog.Service]{
	{EngineKind, func(s *catalog.Service) any { return s.Engine != nil }},
	{Slots, engineField(func(e *catalog.Engine) any { return e.Slots })},
	{WeightsMB, engineField(func(e *catalog.Engine) any { return e.WeightsMB })},
	{AdapterSlots, engineField(func(e *catalog.Engine) any { return e.AdapterSlots })},
	{LoadsPerSecond, engineField(func(e *catalog.Engine) any { return e.LoadsPerSecond })},
}

var modelFields = []fieldOf[*catalog.Model]{
	{SizeMB, func(m *catalog.Model) any { return m.SizeMB }},
	{StoreLoad, func(m *catalog.Model) any { return m.StoreLoad }},
	{DiskLoad, func(m *catalog.Model) any { return m.DiskLoad }},
	{MemoryLoad, func(m *catalog.Model) any { return m.MemoryLoad }},
	{Adapters, func(m *catalog.Model) any { return m.Adapters }},
	{AdapterMB, func(m *catalog.Model) any { return m.AdapterMB }},
}

var workspaceFields = []fieldOf[*catalog.Workspace]{
	{Priority, func(w *catalog.Workspace) any { return w.Priority }},
	{Rate, func(w *catalog.Workspace) any { return w.Rate }},
	{Burst, func(w *catalog.Workspace) any { return w.Burst }},
	{DefaultTokens, func(w *catalog.Workspace) any { return w.DefaultTokens }},
}

// seconds converts a number of seconds, of at most a year.
func seconds(v float64) time.Duration {
	const longest = 365 * 24 * time.Hour
	return time.Duration(min(v, longest.Seconds()) * float64(time.Second))
}

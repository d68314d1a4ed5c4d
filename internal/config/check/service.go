package check

import (
	"fmt"
	"maps"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// checkKeys compares the active keys with the workspaces.
func (r *run) checkKeys() {
	if len(r.sites) < len(r.siteNames()) {
		r.gap("keys of the workspaces", "the configuration has errors")
		return
	}
	active := map[entity.WorkspaceID]int{}
	for _, k := range r.in.Service.Keys {
		if k.Active() {
			active[k.Workspace]++
		}
	}
	unused := maps.Clone(active)
	for name, site := range r.sites {
		s := siteRun{run: r, name: name, site: site}
		for w := range site.Workspaces {
			delete(unused, w)
			// A new workspace gets its keys after the apply.
			if inForce := r.in.Service.InForce[name]; inForce != nil && active[w] == 0 {
				if _, ok := inForce.Workspaces[w]; ok {
					s.warn(WorkspaceWithoutKey, fmt.Sprintf("workspaces[%s]", w), "is in force and has no active key", fmt.Sprintf("foxtailctl keys issue %s, or remove the workspace", w))
				}
			}
		}
	}
	for w, n := range unused {
		r.findings = append(r.findings, Finding{
			Severity: Warning, Code: KeyWithoutWorkspace, Path: fmt.Sprintf("workspaces[%s]", w),
			Message: fmt.Sprintf("no site declares the workspace of %s: requests with them are refused (workspace_unknown)", count(n, "active key")),
			Hint:    "declare the workspace, or withdraw the keys (foxtailctl keys list)",
		})
	}
}

// engines are the live upstreams of one kind.
type engines struct {
	list []config.UpstreamRecord
	// memory is the sum of their memory.
	memory int64
}

// checkUpstreams compares models and routes with the list of upstreams.
func (s *siteRun) checkUpstreams() {
	what := "upstreams" + ofSite(s.name)
	service := s.in.Service
	switch {
	case len(service.Upstreams) == 0:
		s.gap(what, "the list of upstreams is empty")
		return
	case service.UpstreamsSite == "" && len(s.siteNames()) > 1:
		s.gap(what, "the list of upstreams does not name its site; say it with --site")
		return
	case service.UpstreamsSite != "" && service.UpstreamsSite != s.name:
		s.gap(what, "the list of upstreams is that of site "+service.UpstreamsSite)
		return
	}
	kinds := map[string]*engines{}
	for _, u := range service.Upstreams {
		if u.State != config.UpstreamLive {
			continue
		}
		if kinds[u.Kind] == nil {
			kinds[u.Kind] = &engines{}
		}
		kinds[u.Kind].list = append(kinds[u.Kind].list, u)
		kinds[u.Kind].memory += u.MemoryBytes
	}
	s.checkRouteKinds(kinds)
	s.checkModelsFit(kinds)
}

func (s *siteRun) checkRouteKinds(kinds map[string]*engines) {
	for _, prefix := range slices.Sorted(maps.Keys(s.site.Routes)) {
		if kind := s.site.Routes[prefix].UpstreamKind; kinds[kind] == nil {
			s.warn(NoUpstream, fmt.Sprintf("routes[%s].upstream_kind", prefix), fmt.Sprintf("is %q, and no live upstream has this kind", kind), "live kinds are "+names(slices.Sorted(maps.Keys(kinds))))
		}
	}
}

// checkModelsFit compares the models and adapters with the memory and the accelerators of the engines.
func (s *siteRun) checkModelsFit(kinds map[string]*engines) {
	// The sum is a float because the number of replicas has no bound.
	kept := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.site.Models)) {
		m, path := s.site.Models[name], fmt.Sprintf("models[%s]", name)
		e := kinds[m.UpstreamKind]
		if e == nil {
			s.warn(NoUpstream, path+".upstream_kind", fmt.Sprintf("is %q, and no live upstream has this kind", m.UpstreamKind), "live kinds are "+names(slices.Sorted(maps.Keys(kinds))))
			continue
		}
		kept[m.UpstreamKind] += float64(m.MinReplicas) * float64(m.Bytes)
		fitting, largest := e.fitting(m)
		if fitting == 0 {
			s.warnFitsNowhere(path, m, e)
			continue
		}
		if m.MinReplicas > fitting {
			s.warn(MinReplicasAboveEngines, path+".min_replicas", fmt.Sprintf("is %d, but only %s can hold the model", m.MinReplicas, count(fitting, "live engine")), "an engine holds at most one replica of a model")
		}
		for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
			if a := m.Adapters[adapter]; a.Bytes > largest-m.Bytes {
				s.warn(AdapterFitsNowhere, fmt.Sprintf("%s.adapters[%s].bytes", path, adapter), fmt.Sprintf("is %d, but beside the model the largest engine has only %d bytes", a.Bytes, largest-m.Bytes), "the adapter can never be loaded")
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kept)) {
		if kept[kind] > float64(kinds[kind].memory) {
			s.warn(MinReplicasAboveMemory, "models", fmt.Sprintf("the min_replicas of models of kind %s need %.0f bytes together, but the %s have %d", kind, kept[kind], count(len(kinds[kind].list), "live engine"), kinds[kind].memory), "lower min_replicas of some models")
		}
	}
}

// warnFitsNowhere adds a warning that names what the engines lack: memory, accelerators, or both on one engine.
func (s *siteRun) warnFitsNowhere(path string, m config.Model, e *engines) {
	var memory int64
	accelerators := 0
	for _, u := range e.list {
		memory, accelerators = max(memory, u.MemoryBytes), max(accelerators, u.Accelerators)
	}
	const hint = "the model can never be loaded"
	switch {
	case memory < m.Bytes:
		s.warn(ModelFitsNowhere, path+".bytes", fmt.Sprintf("is %d, but the largest live engine has %d", m.Bytes, memory), hint)
	case accelerators < m.Accelerators:
		s.warn(ModelFitsNowhere, path+".accelerators", fmt.Sprintf("is %d, but no live engine has more than %d", m.Accelerators, accelerators), hint)
	default:
		s.warn(ModelFitsNowhere, path, fmt.Sprintf("no live engine has both %d bytes and %d accelerators", m.Bytes, m.Accelerators), hint)
	}
}

// fitting returns the number of engines that can hold the model when they are empty, and the memory of the largest of
// them. An engine that does not say its accelerators counts as having enough, as in the placement.
func (e *engines) fitting(m config.Model) (n int, largest int64) {
	for _, u := range e.list {
		if u.MemoryBytes >= m.Bytes && (u.Accelerators == 0 || u.Accelerators >= m.Accelerators) {
			n++
			largest = max(largest, u.MemoryBytes)
		}
	}
	return n, largest
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

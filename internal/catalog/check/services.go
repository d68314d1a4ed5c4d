package check

import (
	"fmt"
	"maps"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

func (r *run) checkServices() {
	for _, s := range r.in.Services {
		if r.services[s.ID] != s {
			r.warn(ServiceDuplicate, Place{Service: s}, fmt.Sprintf("a later service has the name %s and replaces this one", s.ID), "remove one of them")
			continue
		}
		if r.routesTo[s.ID] == nil {
			r.warn(ServiceUnused, Place{Service: s}, fmt.Sprintf("no route names service %s", s.ID), "add a route, or remove the service")
		}
		if s.Engine != nil {
			r.checkEngine(s)
		}
	}
}

// checkEngine compares the models of a service with the memory and the adapter slots of one replica. The rule is that of
// package swap: the memory for all adapter slots is kept free of weights.
func (r *run) checkEngine(s *catalog.Service) {
	e := s.Engine
	if len(e.Models) == 0 {
		r.warn(EngineWithoutModels, Place{Service: s, Field: Models}, fmt.Sprintf("service %s has engines, but no models: all its requests are refused", s.ID), "list the models")
		return
	}
	reserve := e.AdapterReserveMB()
	for _, id := range slices.Sorted(maps.Keys(e.Models)) {
		m := e.Models[id]
		switch {
		case m.SizeMB > e.WeightsMB:
			r.warn(ModelFitsNowhere, Place{Service: s, Model: m, Field: SizeMB},
				fmt.Sprintf("model %s has %v MB, but a replica of service %s has %v MB for weights: it can never be loaded", id, m.SizeMB, s.ID, e.WeightsMB), "raise the memory for weights, or move the model to another service")
		case m.SizeMB > e.WeightsMB-reserve:
			r.warn(AdaptersAboveMemory, Place{Service: s, Model: m, Field: SizeMB},
				fmt.Sprintf("model %s has %v MB, but of the %v MB of a replica of service %s, the %d adapter slots take %v MB: it can never be loaded", id, m.SizeMB, e.WeightsMB, s.ID, e.AdapterSlots, reserve), "lower the number of adapter slots or the size of the adapters")
		}
		if m.Adapters > 0 && e.AdapterSlots <= 0 {
			r.warn(AdaptersWithoutSlots, Place{Service: s, Model: m, Field: Adapters},
				fmt.Sprintf("model %s has %s, but replicas of service %s have no adapter slots: they can never be loaded", id, count(m.Adapters, "adapter"), s.ID), "give the number of adapter slots")
		}
		if summary := r.routesTo[s.ID]; summary.exceededBy(m.StoreLoad) {
			r.warn(LoadAboveTimeout, Place{Service: s, Model: m, Field: StoreLoad},
				fmt.Sprintf("model %s takes %v to load, but requests of the routes to service %s wait %v at most: they are not served while no replica has a copy of it", id, m.StoreLoad, s.ID, summary.longest), "raise the timeout of a route")
		}
	}
}

// checkWorkspaces compares rates and bursts with the size of one request.
func (r *run) checkWorkspaces() {
	if len(r.in.Workspaces) == 0 {
		if r.charged.routes > 0 {
			r.warn(NoWorkspaces, Place{List: Workspaces}, fmt.Sprintf("there are no workspaces: %s can be called without a key, as if public", count(r.charged.routes, "route")), "declare workspaces, or ignore this if callers need no keys")
		}
		return
	}
	last := make(map[entity.WorkspaceID]*catalog.Workspace, len(r.in.Workspaces))
	for _, w := range r.in.Workspaces {
		last[w.ID] = w
	}
	keys, listed := keysOf(r.in.Document), map[entity.WorkspaceID]bool{}
	for _, k := range r.in.KeyEntries {
		listed[k.Workspace.ID] = true
	}
	cache, cacheKnown := r.largestCache()
	for _, w := range r.in.Workspaces {
		if last[w.ID] != w {
			r.warn(WorkspaceDuplicate, Place{Workspace: w}, fmt.Sprintf("a later workspace has the name %s and replaces this one; the keys of both belong to it", w.ID), "remove one of them")
			continue
		}
		if keys[w.ID] == 0 {
			message := fmt.Sprintf("workspace %s has no keys: no request can belong to it", w.ID)
			if listed[w.ID] {
				message = fmt.Sprintf("all keys of workspace %s belong to others: no request can belong to it", w.ID)
			}
			r.warn(WorkspaceWithoutKeys, Place{Workspace: w, Field: Keys}, message, "add a key, or remove the workspace")
		}
		tokens := float64(w.DefaultTokens)
		if cacheKnown && tokens > cache {
			r.warn(RequestAboveCache, Place{Workspace: w, Field: DefaultTokens}, fmt.Sprintf("requests of workspace %s without token counts count as %d tokens, but the largest cache of an engine holds %v", w.ID, w.DefaultTokens, cache), "lower the number")
		}
		switch {
		case w.Rate <= 0 && w.Burst > 0:
			r.warn(BurstWithoutRate, Place{Workspace: w, Field: Burst}, fmt.Sprintf("workspace %s has a burst of %v, but no rate, and so no limit", w.ID, w.Burst), "give the rate, or remove the burst")
		case w.Rate > 0 && w.Burst <= 0:
			r.warn(BurstBelowRequest, Place{Workspace: w, Field: Burst}, fmt.Sprintf("workspace %s has a rate, but no burst: its requests are refused beyond the tolerated overshoot", w.ID), "give the burst")
		case w.Rate > 0 && w.Burst < tokens:
			r.warn(BurstBelowRequest, Place{Workspace: w, Field: Burst}, fmt.Sprintf("workspace %s has a burst of %v tokens, but requests without token counts are charged %d: they are refused beyond the tolerated overshoot", w.ID, w.Burst, w.DefaultTokens), "raise the burst or lower the tokens of such requests")
		case w.Rate > 0 && r.charged.exceededBy(seconds(tokens/w.Rate)):
			r.warn(RateBelowRequest, Place{Workspace: w, Field: Rate}, fmt.Sprintf("workspace %s has a rate of %v: the %d tokens of one request without token counts take %.0f ms, above the longest timeout of a route, %v", w.ID, w.Rate, w.DefaultTokens, tokens/w.Rate*1000, r.charged.longest), "raise the rate or lower the tokens of such requests")
		}
	}
}

// largestCache returns the number of tokens in the largest cache of an engine, and whether those of all engines are known.
func (r *run) largestCache() (float64, bool) {
	largest, engines := 0.0, 0
	for _, s := range r.services {
		if s.Engine == nil {
			continue
		}
		tokens, ok := r.in.CacheTokens[s]
		if !ok {
			return 0, false
		}
		engines++
		largest = max(largest, tokens)
	}
	return largest, engines > 0
}

// checkKeys finds keys that are listed more than once, and empty ones. Findings do not contain the keys.
func (r *run) checkKeys() {
	first := make(map[string]Key, len(r.in.KeyEntries))
	for _, k := range r.in.KeyEntries {
		place := Place{Workspace: k.Workspace, Field: Keys, Key: k.Index + 1}
		if k.Key == "" {
			r.warn(KeyEmpty, place, fmt.Sprintf("a key of workspace %s is empty: requests without a key belong to the workspace", k.Workspace.ID), "remove the key")
		}
		earlier, found := first[k.Key]
		switch {
		case !found:
			first[k.Key] = k
		case earlier.Workspace.ID == k.Workspace.ID:
			r.warn(KeyDuplicate, place, fmt.Sprintf("key %d of workspace %s is listed twice", k.Index+1, k.Workspace.ID), "remove one of them")
		default:
			r.warn(KeyDuplicate, place, fmt.Sprintf("key %d of workspace %s is also key %d of workspace %s: requests with it belong to the last workspace that lists it, %s", k.Index+1, k.Workspace.ID, earlier.Index+1, earlier.Workspace.ID, r.in.Keys[k.Key]), "remove it from one of them")
		}
	}
}

// checkCapacity compares the sum of the rates with the tokens that the engines serve.
func (r *run) checkCapacity() {
	const what = "rates of the workspaces against the capacity of the engines"
	if r.in.SlotTokensPerSecond <= 0 {
		r.gap(what, "the number of tokens that one slot serves in a second is not known")
		return
	}
	slots := 0.0
	for _, id := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[id]
		if s.Engine == nil || r.routesTo[id] == nil {
			continue
		}
		replicas, ok := r.in.Replicas[id]
		if !ok || s.Engine.Slots <= 0 {
			missing := "replicas"
			if ok {
				missing = "slots"
			}
			r.gap(what, fmt.Sprintf("the number of %s of service %s is not known", missing, id))
			return
		}
		slots += float64(replicas) * float64(s.Engine.Slots)
	}
	if slots == 0 {
		r.gap(what, "no route names a service with engines")
		return
	}
	sum, limited := 0.0, 0
	rates := map[entity.WorkspaceID]float64{}
	for _, w := range r.in.Workspaces {
		rates[w.ID] = w.Rate
	}
	for _, id := range slices.Sorted(maps.Keys(rates)) {
		if rates[id] > 0 {
			sum += rates[id]
			limited++
		}
	}
	if capacity := slots * r.in.SlotTokensPerSecond; sum > capacity {
		r.warn(RatesAboveCapacity, Place{List: Workspaces},
			fmt.Sprintf("the rates of %s sum to %.0f tokens/s, but %.0f slots serve %.0f tokens/s at %v each", count(limited, "workspace"), sum, slots, capacity, r.in.SlotTokensPerSecond), "workspaces cannot all use their rates at the same time")
	}
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

package swap

import (
	"cmp"
	"slices"
)

// index looks up engines by the models that they have loaded, are loading, or have copies of, so that the
// cost of a decision depends only on the engines that it considers. After a change, each part of it is
// rebuilt when it is next used.
type index struct {
	// sorted lists all engines by ID.
	sorted []*engineState
	// modelReplicas and storeLoads are built from the models that engines have loaded and are loading.
	modelReplicas map[modelKey]modelReplicas
	storeLoads    int
	// copies lists the engines that accept requests and have a copy of the weights of a model.
	copies map[modelKey][]*engineState
}

// modelReplicas lists the engines of one model, sorted by ID.
type modelReplicas struct {
	// ready engines can be given requests. loading engines execute a task that loads the model.
	ready, loading []*engineState
}

func (x *index) invalidateModelReplicas() { x.modelReplicas = nil }

func (x *index) invalidateCopies() { x.copies, x.sorted = nil, nil }

func (x *index) engineStates(s *Swapper) []*engineState {
	if x.sorted == nil {
		x.sorted = make([]*engineState, 0, len(s.engineStates))
		for _, r := range s.engineStates {
			x.sorted = append(x.sorted, r)
		}
		slices.SortFunc(x.sorted, func(a, b *engineState) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	}
	return x.sorted
}

func (x *index) buildModelReplicas(s *Swapper) {
	x.modelReplicas = make(map[modelKey]modelReplicas)
	x.storeLoads = 0
	for _, r := range x.engineStates(s) {
		if r.task != nil && r.task.usesStore() {
			x.storeLoads++
		}
		if !r.acceptsRequests() {
			continue
		}
		for id, lm := range r.loadedModels {
			if lm.unloading {
				continue
			}
			key := modelKey{service: r.upstream.Service, model: id}
			replicas := x.modelReplicas[key]
			replicas.ready = append(replicas.ready, r)
			x.modelReplicas[key] = replicas
		}
		if r.task != nil {
			key := modelKey{service: r.upstream.Service, model: r.task.model}
			replicas := x.modelReplicas[key]
			replicas.loading = append(replicas.loading, r)
			x.modelReplicas[key] = replicas
		}
	}
}

func (x *index) replicasOf(s *Swapper, key modelKey) modelReplicas {
	if x.modelReplicas == nil {
		x.buildModelReplicas(s)
	}
	replicas := x.modelReplicas[key.anyRelease()]
	if key.release == "" {
		return replicas
	}
	return modelReplicas{ready: admitted(key, replicas.ready), loading: admitted(key, replicas.loading)}
}

// admitted returns the engines that a key admits.
func admitted(key modelKey, engines []*engineState) []*engineState {
	return slices.DeleteFunc(slices.Clone(engines), func(r *engineState) bool { return !key.admits(r) })
}

func (x *index) storeLoadsOf(s *Swapper) int {
	if x.modelReplicas == nil {
		x.buildModelReplicas(s)
	}
	return x.storeLoads
}

// enginesWithCopy returns the engines that accept requests and have a copy of the weights, sorted by ID.
func (x *index) enginesWithCopy(s *Swapper, key modelKey) []*engineState {
	if x.copies == nil {
		x.copies = make(map[modelKey][]*engineState)
		for _, r := range x.engineStates(s) {
			if !r.acceptsRequests() {
				continue
			}
			for id := range r.copies {
				k := modelKey{service: r.upstream.Service, model: id}
				x.copies[k] = append(x.copies[k], r)
			}
		}
	}
	engines := x.copies[key.anyRelease()]
	if key.release == "" {
		return engines
	}
	return admitted(key, engines)
}

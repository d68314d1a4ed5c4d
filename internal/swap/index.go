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
	sorted []*replica
	// modelReplicas and storeLoads are built from the models that engines have loaded and are loading.
	modelReplicas map[modelKey]modelReplicas
	storeLoads    int
	copies        map[modelKey][]*replica
}

// modelReplicas lists the engines of one model, sorted by ID.
type modelReplicas struct {
	// ready engines can be given requests. loading engines execute a task that loads the model.
	ready, loading []*replica
}

func (x *index) invalidateModelReplicas() { x.modelReplicas = nil }

func (x *index) invalidateCopies() { x.copies, x.sorted = nil, nil }

func (x *index) replicas(s *Swapper) []*replica {
	if x.sorted == nil {
		x.sorted = make([]*replica, 0, len(s.replicas))
		for _, r := range s.replicas {
			x.sorted = append(x.sorted, r)
		}
		slices.SortFunc(x.sorted, func(a, b *replica) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	}
	return x.sorted
}

func (x *index) buildModelReplicas(s *Swapper) {
	x.modelReplicas = make(map[modelKey]modelReplicas)
	x.storeLoads = 0
	for _, r := range x.replicas(s) {
		if r.task != nil && r.task.usesStore() {
			x.storeLoads++
		}
		if !r.acceptsRequests() {
			continue
		}
		for id, h := range r.loadedModel {
			if h.unloading {
				continue
			}
			key := modelKey{service: r.upstream.Service, model: id}
			row := x.modelReplicas[key]
			row.ready = append(row.ready, r)
			x.modelReplicas[key] = row
		}
		if r.task != nil {
			key := modelKey{service: r.upstream.Service, model: r.task.model}
			row := x.modelReplicas[key]
			row.loading = append(row.loading, r)
			x.modelReplicas[key] = row
		}
	}
}

func (x *index) replicasOf(s *Swapper, key modelKey) modelReplicas {
	if x.modelReplicas == nil {
		x.buildModelReplicas(s)
	}
	return x.modelReplicas[key]
}

func (x *index) storeLoadsOf(s *Swapper) int {
	if x.modelReplicas == nil {
		x.buildModelReplicas(s)
	}
	return x.storeLoads
}

// replicasWithCopy returns the engines that accept requests and have a copy of the weights, sorted by ID.
func (x *index) replicasWithCopy(s *Swapper, key modelKey) []*replica {
	if x.copies == nil {
		x.copies = make(map[modelKey][]*replica)
		for _, r := range x.replicas(s) {
			if !r.acceptsRequests() {
				continue
			}
			for id := range r.copies {
				k := modelKey{service: r.upstream.Service, model: id}
				x.copies[k] = append(x.copies[k], r)
			}
		}
	}
	return x.copies[key]
}

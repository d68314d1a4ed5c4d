package swap

import (
	"cmp"
	"slices"
)

// index finds engines by what they hold and have copies of, so that a decision costs in proportion to
// what it looks at. A part of it is built anew when it is used after a change.
type index struct {
	// sorted are all engines by ID.
	sorted []*replica
	// holders is built from what engines hold and load, storeLoads beside it.
	holders    map[modelKey]holders
	storeLoads int
	copies     map[modelKey][]*replica
}

// holders are the engines of one model, by ID.
type holders struct {
	// ready engines can be given requests; loading ones carry out a task that brings the model.
	ready, loading []*replica
}

func (x *index) dropHolders() { x.holders = nil }

func (x *index) dropCopies() { x.copies, x.sorted = nil, nil }

func (x *index) replicas(s *Swapper) []*replica {
	if x.sorted == nil {
		x.sorted = make([]*replica, 0, len(s.replicas))
		for _, r := range s.replicas {
			x.sorted = append(x.sorted, r)
		}
		slices.SortFunc(x.sorted, func(a, b *replica) int { return cmp.Compare(a.up.ID, b.up.ID) })
	}
	return x.sorted
}

func (x *index) buildHolders(s *Swapper) {
	x.holders = make(map[modelKey]holders)
	x.storeLoads = 0
	for _, r := range x.replicas(s) {
		if r.task != nil && r.task.usesStore() {
			x.storeLoads++
		}
		if !r.serves() {
			continue
		}
		for id, h := range r.held {
			if h.unloading {
				continue
			}
			key := modelKey{service: r.up.Service, model: id}
			row := x.holders[key]
			row.ready = append(row.ready, r)
			x.holders[key] = row
		}
		if r.task != nil {
			key := modelKey{service: r.up.Service, model: r.task.model}
			row := x.holders[key]
			row.loading = append(row.loading, r)
			x.holders[key] = row
		}
	}
}

func (x *index) holdersOf(s *Swapper, key modelKey) holders {
	if x.holders == nil {
		x.buildHolders(s)
	}
	return x.holders[key]
}

func (x *index) storeLoadsOf(s *Swapper) int {
	if x.holders == nil {
		x.buildHolders(s)
	}
	return x.storeLoads
}

// copiesOf lists the engines that stay and have a copy of the weights, by ID.
func (x *index) copiesOf(s *Swapper, key modelKey) []*replica {
	if x.copies == nil {
		x.copies = make(map[modelKey][]*replica)
		for _, r := range x.replicas(s) {
			if !r.serves() {
				continue
			}
			for id := range r.copies {
				k := modelKey{service: r.up.Service, model: id}
				x.copies[k] = append(x.copies[k], r)
			}
		}
	}
	return x.copies[key]
}

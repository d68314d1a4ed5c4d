package schedule

import (
	"container/heap"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// addToQueue adds the request to the queue of its pool. Under FIFOQueue, the requests of all workspaces share one
// flow and one class.
func (s *Scheduler) addToQueue(p *pool, r *Request) {
	key := r.Workspace
	if s.opts.Queue == FIFOQueue {
		key = ""
		r.Class = entity.Interactive
	}
	f, ok := p.flows[key]
	if !ok {
		f = newFlow(key, s.weight(key), s.opts.Queue == FIFOQueue)
		f.virtualFinish = p.virtualTime
		p.flows[key] = f
	}
	f.push(r)
	p.queued[r.Class]++
	s.queuedCount++
	s.queuedBytes += r.Bytes
	s.backlogged[p.id] = p
	s.changed[p.id] = struct{}{}
}

// removeFromQueue removes the request from the queue of its pool. An empty flow is kept while it is ahead of the
// virtual time of the pool, because it would otherwise lose the record of what it has used.
func (s *Scheduler) removeFromQueue(r *Request) {
	p := s.pools[r.Pool]
	key := r.Workspace
	if s.opts.Queue == FIFOQueue {
		key = ""
	}
	f := p.flows[key]
	f.remove(r)
	if f.len() == 0 && f.virtualFinish <= p.virtualTime {
		delete(p.flows, key)
	}
	p.queued[r.Class]--
	s.queuedCount--
	s.queuedBytes -= r.Bytes
	if p.queuedTotal() == 0 {
		delete(s.backlogged, p.id)
	}
	s.changed[p.id] = struct{}{}
}

// deleteRequest deletes the request from the table. The request must not be queued.
func (s *Scheduler) deleteRequest(r *Request) {
	s.removeExpiry(r)
	delete(s.requests, r.ID)
}

// removeExpiry removes the request from the expiry heap, if it is there.
func (s *Scheduler) removeExpiry(r *Request) {
	if r.expiryIndex >= 0 {
		heap.Remove(&s.expiry, r.expiryIndex)
	}
}

// pool returns the pool with the given ID and creates it if needed.
func (s *Scheduler) pool(id PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = &pool{id: id, flows: make(map[entity.WorkspaceID]*flow)}
		s.pools[id] = p
		if id.Kind == "" {
			s.indexPool(p)
		}
	}
	return p
}

// indexPool adds a pool to byModel.
func (s *Scheduler) indexPool(p *pool) {
	m := s.byModel[p.id.Model]
	if m == nil {
		m = make(map[PoolID]*pool)
		s.byModel[p.id.Model] = m
	}
	m[p.id] = p
}

func (s *Scheduler) deletePool(id PoolID) {
	delete(s.pools, id)
	delete(s.byModel[id.Model], id)
	if len(s.byModel[id.Model]) == 0 {
		delete(s.byModel, id.Model)
	}
}

// upstream returns the table entry of an upstream and creates it if needed.
func (s *Scheduler) upstream(id entity.UpstreamID) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = &upstream{id: id, retries: newRetryBudget()}
		s.upstreams[id] = u
	}
	return u
}

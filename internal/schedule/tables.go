package schedule

import (
	"container/heap"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// queue adds the request to the queue of its pool.
func (s *Scheduler) queue(p *pool, r *Request) {
	key := r.Workspace
	if s.opts.Queue == FIFOQueue {
		key = ""
		r.Class = entity.Interactive
	}
	f, ok := p.flows[key]
	if !ok {
		f = newFlow(key, s.weight(key), s.opts.Queue == FIFOQueue)
		f.finish = p.virtual
		p.flows[key] = f
	}
	f.push(r)
	p.queued[r.Class]++
	s.queuedCount++
	s.queuedBytes += r.Bytes
	s.wanting[p.id] = p
	s.changed[p.id] = struct{}{}
}

// unqueue takes the request out of the queue of its pool.
func (s *Scheduler) unqueue(r *Request) {
	p := s.pools[r.Pool]
	key := r.Workspace
	if s.opts.Queue == FIFOQueue {
		key = ""
	}
	f := p.flows[key]
	f.remove(r)
	if f.len() == 0 && f.finish <= p.virtual {
		delete(p.flows, key)
	}
	p.queued[r.Class]--
	s.queuedCount--
	s.queuedBytes -= r.Bytes
	if p.queuedTotal() == 0 {
		delete(s.wanting, p.id)
	}
	s.changed[p.id] = struct{}{}
}

// remove deletes the request from the table; it must not be queued.
func (s *Scheduler) remove(r *Request) {
	s.unexpire(r)
	delete(s.requests, r.ID)
}

func (s *Scheduler) unexpire(r *Request) {
	if r.expiryIndex >= 0 {
		heap.Remove(&s.expiry, r.expiryIndex)
	}
}

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

func (s *Scheduler) upstream(id entity.UpstreamID) *upstream {
	u, ok := s.upstreams[id]
	if !ok {
		u = &upstream{id: id, retries: newRetryBudget()}
		s.upstreams[id] = u
	}
	return u
}

package schedule

import "github.com/foxtailpass/foxtailpass/internal/entity"

// affinityEntries bounds the prefix index. An entry takes about 100 bytes.
const affinityEntries = 16384

// affinityIndex maps a prompt prefix to the upstream to which a request with that prefix was last dispatched. It
// adds entries to recent. When recent is full, it becomes old and the former old is dropped, so that the index need
// not track when entries were last used.
type affinityIndex struct {
	// limit is the maximum number of entries of recent: half of the limit of the whole index.
	limit  int
	recent map[uint64]entity.UpstreamID
	old    map[uint64]entity.UpstreamID
}

func newAffinityIndex(limit int) *affinityIndex {
	return &affinityIndex{limit: limit / 2, recent: make(map[uint64]entity.UpstreamID)}
}

func (a *affinityIndex) get(prefix uint64) entity.UpstreamID {
	if u, ok := a.recent[prefix]; ok {
		return u
	}
	return a.old[prefix]
}

func (a *affinityIndex) set(prefix uint64, u entity.UpstreamID) {
	if len(a.recent) >= a.limit {
		a.old = a.recent
		a.recent = make(map[uint64]entity.UpstreamID)
	}
	a.recent[prefix] = u
}

func (a *affinityIndex) forget(prefix uint64) {
	delete(a.recent, prefix)
	delete(a.old, prefix)
}

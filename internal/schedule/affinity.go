package schedule

import "github.com/foxtailpass/foxtailpass/internal/entity"

// affinityEntries bounds the prefix index. An entry takes about 100 bytes.
const affinityEntries = 16384

// affinityIndex maps a prompt prefix to the upstream that last got it. When the index is full, it drops the
// older half of its entries, so that it need not track when entries were last used.
type affinityIndex struct {
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

package host

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/foxtailpass/foxtailpass/internal/claims"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

func hasPrefix(key, prefix string) bool { return strings.HasPrefix(key, prefix) }

// hostTable holds the registered hosts. Its methods are safe for concurrent use.
type hostTable struct {
	mu   sync.Mutex
	rows map[entity.HostID]config.HostRecord
	gone map[entity.Incarnation]bool
}

func newHostTable() *hostTable {
	return &hostTable{rows: make(map[entity.HostID]config.HostRecord), gone: make(map[entity.Incarnation]bool)}
}

// update takes over changed registrations and says whether there were any.
func (t *hostTable) update(changes []control.KeyChange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, ch := range changes {
		if hasPrefix(ch.Key, config.GonePrefix) {
			_, inc, _ := strings.Cut(ch.Key[len(config.GonePrefix):], "/")
			t.gone[entity.Incarnation(inc)] = true
		}
		if !hasPrefix(ch.Key, config.HostsPrefix) {
			continue
		}
		changed = true
		id := entity.HostID(ch.Key[len(config.HostsPrefix):])
		if ch.Pair == nil {
			delete(t.rows, id)
			continue
		}
		var rec config.HostRecord
		if json.Unmarshal(ch.Pair.Value, &rec) == nil {
			rec.ID = id
			t.rows[id] = rec
		}
	}
	return changed
}

// list returns the registered hosts in a fixed order.
func (t *hostTable) list() []config.HostRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]config.HostRecord, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// liveness says what the registry knows about a process. A missing registration proves nothing:
// the lease may have expired while the process was paused. A newer process under the same name
// does, and so does the word of an operator.
func (t *hostTable) liveness(id entity.HostID, inc entity.Incarnation) claims.Liveness {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone[inc] {
		return claims.Gone
	}
	r, ok := t.rows[id]
	switch {
	case !ok:
		return claims.LivenessUnknown
	case r.Incarnation == inc:
		return claims.Alive
	}
	return claims.Gone
}

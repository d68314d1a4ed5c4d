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
	mu      sync.Mutex
	records map[entity.HostID]config.HostRecord
	// terminated holds the processes whose end an operator has confirmed.
	terminated map[entity.Incarnation]bool
}

func newHostTable() *hostTable {
	return &hostTable{records: make(map[entity.HostID]config.HostRecord), terminated: make(map[entity.Incarnation]bool)}
}

// update applies changed registrations and the records with which operators confirm that a process has ended. It
// reports whether a registration changed.
func (t *hostTable) update(changes []control.KeyChange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, ch := range changes {
		if hasPrefix(ch.Key, config.TerminatedHostsPrefix) {
			_, inc, _ := strings.Cut(ch.Key[len(config.TerminatedHostsPrefix):], "/")
			t.terminated[entity.Incarnation(inc)] = true
		}
		if !hasPrefix(ch.Key, config.HostsPrefix) {
			continue
		}
		changed = true
		id := entity.HostID(ch.Key[len(config.HostsPrefix):])
		if ch.Pair == nil {
			delete(t.records, id)
			continue
		}
		var rec config.HostRecord
		if json.Unmarshal(ch.Pair.Value, &rec) == nil {
			rec.ID = id
			t.records[id] = rec
		}
	}
	return changed
}

// list returns the registered hosts, ordered by ID.
func (t *hostTable) list() []config.HostRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]config.HostRecord, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// liveness returns whether a process is known to run, known to have ended, or neither. A missing registration proves
// nothing: the lease may have expired while the process was paused. A registration of another incarnation under the
// same host name proves that the process has ended, and so does the confirmation of an operator.
func (t *hostTable) liveness(id entity.HostID, inc entity.Incarnation) claims.Liveness {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.terminated[inc] {
		return claims.Terminated
	}
	r, ok := t.records[id]
	switch {
	case !ok:
		return claims.LivenessUnknown
	case r.Incarnation == inc:
		return claims.Alive
	}
	return claims.Terminated
}

package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// statementMemory is how long what an upstream said is kept while it is not listed: its entry may lapse
// and come back.
const statementMemory = 10 * time.Minute

// Statement is what an upstream says of itself in an answer to this host.
type Statement struct {
	// Leaving upstreams get no new work, whatever the list says.
	Leaving bool
	// Pause is how long the upstream wants nothing from this host.
	Pause time.Duration
}

// Empty says that the answer told nothing.
func (st Statement) Empty() bool { return !st.Leaving && st.Pause <= 0 }

// statement is what one start of an upstream has said.
type statement struct {
	bornMillis int64
	heardAt    time.Time
	leaving    bool
	pausedTo   time.Time
}

// Heard takes over what an upstream said of itself. bornMillis is the start of the upstream that was asked:
// another start of it has said nothing.
func (s *Scheduler) Heard(id entity.UpstreamID, bornMillis int64, st Statement, now time.Time) {
	if row := s.targets[id]; row != nil && row.BornMillis != bornMillis {
		return
	}
	said := s.said[id]
	if said == nil || said.bornMillis != bornMillis {
		said = &statement{bornMillis: bornMillis}
		s.said[id] = said
	}
	said.heardAt = now
	said.leaving = said.leaving || st.Leaving
	if to := now.Add(st.Pause); st.Pause > 0 && to.After(said.pausedTo) {
		said.pausedTo = to
	}
	if row := s.targets[id]; row != nil {
		row.said = said
	}
	s.forgetStatements(now)
}

// forgetStatements drops what upstreams said that have long left the list.
func (s *Scheduler) forgetStatements(now time.Time) {
	for id, said := range s.said {
		if s.targets[id] == nil && now.Sub(said.heardAt) > statementMemory {
			delete(s.said, id)
		}
	}
}

// statementOf returns what the listed start of an upstream has said, or nil.
func (s *Scheduler) statementOf(t Target) *statement {
	said := s.said[t.ID]
	if said == nil || said.bornMillis != t.BornMillis {
		delete(s.said, t.ID)
		return nil
	}
	return said
}

// Leaves says whether an upstream has said that it leaves.
func (s *Scheduler) Leaves(id entity.UpstreamID) bool {
	row := s.targets[id]
	return row != nil && row.leaves()
}

func (t *target) leaves() bool { return t.Draining || t.said != nil && t.said.leaving }

// paused returns how much longer the upstream wants nothing from this host.
func (t *target) paused(now time.Time) time.Duration {
	if t.said == nil {
		return 0
	}
	return max(t.said.pausedTo.Sub(now), 0)
}

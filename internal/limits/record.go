package limits

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// TotalUnits is the number of units into which the rate and burst of a workspace are divided.
const TotalUnits = 1_000_000

// Record is the share record of one workspace, stored at config.LimitsPrefix + workspace.
// Unissued + Free + the units of all holders always equal TotalUnits.
type Record struct {
	// Unissued is the number of units that no host has held yet. A host that takes some also gets their full
	// part of the burst as tokens.
	Unissued int64 `json:"unissued"`
	// Free is the number of units that were released by their holder or reclaimed from it.
	Free int64 `json:"free"`
	// FreeTokens is the level that was released together with the Free units. Reclaimed units add none.
	FreeTokens float64  `json:"free_tokens"`
	Holders    []Holder `json:"holders"`
	// Attempt identifies the write that produced this version.
	Attempt string `json:"attempt"`
}

// Holder is the entry of one process in a Record. Only that process changes it; another process may
// only remove it, once it has proof that the term of the holder is over.
type Holder struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	// Addr is the peer address. A newer incarnation registered with it proves that this process has ended.
	Addr  string `json:"addr"`
	Units int64  `json:"units"`
	// Received and Given are the total tokens that the holder has taken from the record and put into
	// it. The holder compares them with what it has credited and deducted locally, so that a lost
	// response to a write neither loses tokens nor counts them twice.
	Received float64 `json:"received"`
	Given    float64 `json:"given"`
	// Epoch is the holder's lease epoch when it last wrote the entry. After a lease has lapsed and was
	// renewed, the holder may not use its units until it has written the entry again.
	Epoch     int64     `json:"epoch"`
	Witnesses []Witness `json:"witnesses,omitempty"`
}

// Witness is a process whose heartbeat answers extend the holder's term while the lease cannot be renewed.
type Witness struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	Addr        string             `json:"addr"`
}

// answersNeeded returns the number of witnesses that must have answered: together with the holder they
// are more than half of the group. A holder without witnesses needs none.
func answersNeeded(witnesses int) int { return (witnesses + 1) / 2 }

// fencesNeeded returns the number of witnesses that must have fenced the holder: then fewer than answersNeeded
// can still answer it. Without witnesses the number is 1, which can never be reached.
func fencesNeeded(witnesses int) int { return witnesses - answersNeeded(witnesses) + 1 }

// parseRecord decodes a record and checks that its units are not negative and sum to TotalUnits.
func parseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("limits: share record: %w", err)
	}
	sum := r.Unissued + r.Free
	for _, h := range r.Holders {
		sum += h.Units
		if h.Units < 0 {
			return Record{}, fmt.Errorf("limits: share record: holder %s has %d units", h.Host, h.Units)
		}
	}
	if sum != TotalUnits || r.Unissued < 0 || r.Free < 0 {
		return Record{}, fmt.Errorf("limits: share record: units sum to %d instead of %d", sum, TotalUnits)
	}
	return r, nil
}

func (r Record) clone() Record {
	r.Holders = slices.Clone(r.Holders)
	return r
}

// holder returns the entry of the incarnation, or nil if there is none.
func (r *Record) holder(inc entity.Incarnation) *Holder {
	for i := range r.Holders {
		if r.Holders[i].Incarnation == inc {
			return &r.Holders[i]
		}
	}
	return nil
}

// allocate moves units to the holder, unissued units first. Unissued units come with a full level, free
// units with their portion of FreeTokens.
func (r *Record) allocate(h *Holder, units int64, burst float64) {
	fresh := min(units, r.Unissued)
	r.Unissued -= fresh
	h.Received += proRata(burst, fresh)
	reused := min(units-fresh, r.Free)
	if reused > 0 {
		tokens := r.FreeTokens * float64(reused) / float64(r.Free)
		r.FreeTokens = max(0, r.FreeTokens-tokens)
		r.Free -= reused
		h.Received += min(tokens, proRata(burst, reused))
	}
	h.Units += fresh + reused
}

// releaseHolder moves all units of the holder to Free and removes its entry.
func (r *Record) releaseHolder(inc entity.Incarnation) {
	r.Holders = slices.DeleteFunc(r.Holders, func(h Holder) bool {
		if h.Incarnation == inc {
			r.Free += h.Units
			return true
		}
		return false
	})
}

// RecordKey returns the key of a workspace's share record.
func RecordKey(w entity.WorkspaceID) string { return config.LimitsPrefix + string(w) }

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
	// Unissued units were never held; they come with a full level.
	Unissued int64 `json:"unissued"`
	// Free units were released or reclaimed.
	Free int64 `json:"free"`
	// FreeTokens is the level that was released together with Free units. Reclaimed units add nothing.
	FreeTokens float64  `json:"free_tokens"`
	Holders    []Holder `json:"holders"`
	// Attempt identifies the write that produced this version.
	Attempt string `json:"attempt"`
}

// Holder is the entry of one process in a Record. Only that process changes it, except that
// others remove it after they have proven that its term is over.
type Holder struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	// Addr is the peer address; a newer incarnation registered there proves that this one is dead.
	Addr  string `json:"addr"`
	Units int64  `json:"units"`
	// Received and Given are the tokens that the entry has ever taken from and put into the record.
	// The holder compares them with what it has credited and deducted, so that a lost answer
	// neither loses nor doubles a level.
	Received float64 `json:"received"`
	Given    float64 `json:"given"`
	// Epoch is the holder's lease epoch when it last wrote the entry. A lease that was renewed
	// after it had lapsed gives no right to units until the entry was written again.
	Epoch     int64     `json:"epoch"`
	Witnesses []Witness `json:"witnesses,omitempty"`
}

// Witness is a process whose answers keep the holder's term alive while the lease cannot be renewed.
type Witness struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	Addr        string             `json:"addr"`
}

// answersNeeded is the number of witnesses that must have answered: with the holder itself
// they are more than half of the group. A holder without witnesses needs none.
func answersNeeded(witnesses int) int { return (witnesses + 1) / 2 }

// fencesNeeded is the number of fenced witnesses that rules out answersNeeded answers.
// It exceeds the number of witnesses when there are none.
func fencesNeeded(witnesses int) int { return witnesses - answersNeeded(witnesses) + 1 }

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

// holder returns the entry of the incarnation, or nil.
func (r *Record) holder(inc entity.Incarnation) *Holder {
	for i := range r.Holders {
		if r.Holders[i].Incarnation == inc {
			return &r.Holders[i]
		}
	}
	return nil
}

// claim moves units to the holder, unissued units first. Unissued units come with a full
// level, free units with their part of FreeTokens.
func (r *Record) claim(h *Holder, units int64, burst float64) {
	fresh := min(units, r.Unissued)
	r.Unissued -= fresh
	h.Received += part(burst, fresh)
	reused := min(units-fresh, r.Free)
	if reused > 0 {
		tokens := r.FreeTokens * float64(reused) / float64(r.Free)
		r.FreeTokens = max(0, r.FreeTokens-tokens)
		r.Free -= reused
		h.Received += min(tokens, part(burst, reused))
	}
	h.Units += fresh + reused
}

// free moves all units of the holder to Free and removes its entry.
func (r *Record) free(inc entity.Incarnation) {
	r.Holders = slices.DeleteFunc(r.Holders, func(h Holder) bool {
		if h.Incarnation == inc {
			r.Free += h.Units
			return true
		}
		return false
	})
}

// Key returns the key of a workspace's share record.
func Key(w entity.WorkspaceID) string { return config.LimitsPrefix + string(w) }

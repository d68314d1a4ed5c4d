package election

import (
	"encoding/json"
	"fmt"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Term is the value of TermKey. Builds that do not know of restores write a Holder only and use the revision of the key
// as fencing token.
type Term struct {
	Holder
	// Campaign identifies the write of this record among all that any process has made.
	Campaign string `json:"campaign,omitempty"`
	// Waits is set if the holder had to wait for its predecessor before its first order.
	Waits bool `json:"waits,omitempty"`
	// Era is that of the key-value service when the term began.
	Era int64 `json:"era,omitempty"`
	// TokenFloor is the highest fencing token that was known then. Restored is set if former tokens may have been lost in a
	// restore of the service; the token then contains the era.
	TokenFloor int64 `json:"token_floor,omitempty"`
	Restored   bool  `json:"restored,omitempty"`
}

// campaignIDBytes is the length of the identity of a campaign.
const campaignIDBytes = 16

// NewTerm returns the record of a term that a host begins.
func NewTerm(self Holder, o Observation) Term {
	return Term{
		Holder:     self,
		Campaign:   entity.RandomHex(campaignIDBytes),
		Era:        int64(o.Era),
		TokenFloor: o.LastToken,
		Restored:   o.Restored || kvstore.WithinEra(o.LastRevision) == 0,
	}
}

// Token returns the fencing token of the term whose record has the given revision. It is higher than all that were known
// when the term began.
func (t Term) Token(revision int64) int64 {
	if !t.Restored {
		revision = kvstore.WithinEra(revision)
	}
	return max(t.TokenFloor+1, revision)
}

// DecodeTerm decodes the value of TermKey. restored reports whether the service was restored since it was written. A record
// that names no era tells nothing where the service does, so it counts as restored.
func DecodeTerm(p kvstore.Pair) (t Term, token int64, restored bool, err error) {
	if err := json.Unmarshal(p.Value, &t); err != nil {
		return t, 0, false, fmt.Errorf("election: term: %w", err)
	}
	restored = kvstore.Era(t.Era) != kvstore.EraOf(p.ModRevision)
	return t, t.Token(p.ModRevision), restored, nil
}

func encode(record any) []byte {
	b, err := json.Marshal(record)
	if err != nil {
		panic("election: record cannot be encoded: " + err.Error())
	}
	return b
}

package election

import (
	"encoding/json"
	"fmt"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// Observation is the state of the election in the key-value service and among the registered hosts.
type Observation struct {
	// Holder is nil when no host holds the coordinator lease. Revision is the revision of HolderKey.
	Holder   *Holder
	Revision int64
	// LastHolder is the most recent holder, even if it has lost the coordinator lease, and LastRevision is the
	// revision of TermKey. Both are zero when no host has ever held the lease.
	LastHolder   entity.HostID
	LastRevision int64
	// LastCampaign identifies the last term, and LastWaits reports whether its holder had to wait for its predecessor.
	// OrdersCampaign is the value of OrdersKey.
	LastCampaign   string
	LastWaits      bool
	OrdersCampaign string
	// LastToken is the highest fencing token known, and Restored reports whether the key-value service was restored from
	// an older copy since TermKey was written. Then LastHolder is what this host remembers, and the lease of the last
	// holder may still run by that host's clock.
	LastToken int64
	Restored  bool
	// Era is that of the key-value service when it was last read.
	Era kvstore.Era
	// Rank is the position of this host among the candidates, zero for the first.
	Rank int
	// LastRegistered reports whether the most recent holder is registered.
	LastRegistered bool
	// Outranked reports whether a much stronger host is registered.
	Outranked bool
}

// mayHavePredecessor reports whether a host may have held the coordinator lease before. Where the service names its era, it
// may have come back from a copy that is older than the first term.
func (o Observation) mayHavePredecessor() bool { return o.LastRevision > 0 || o.Era > 0 }

// StartEra prepares for the first complete read after a restore, at a revision. What the election wrote since the copy is
// lost: the conditions of a campaign refer to what the service holds now, but the last holder stays known. hasTerm reports
// whether the service holds TermKey.
func (o *Observation) StartEra(revision int64, hasTerm bool) {
	if !hasTerm && o.LastRevision != 0 {
		o.LastRevision = kvstore.JoinRevision(kvstore.EraOf(revision), 0)
		o.Restored = true
	}
}

// ApplyHolder applies a change of HolderKey.
func (o *Observation) ApplyHolder(e kvstore.Event) error {
	o.Holder, o.Revision = nil, 0
	if e.Deleted {
		return nil
	}
	h, err := DecodeHolder(e.Pair)
	if err == nil {
		o.Holder, o.Revision = h, e.Pair.ModRevision
	}
	return err
}

// ApplyTerm applies a value of TermKey.
func (o *Observation) ApplyTerm(p kvstore.Pair) error {
	known := o.LastRevision
	o.LastRevision = p.ModRevision
	term, token, restored, err := DecodeTerm(p)
	o.LastToken = max(o.LastToken, token)
	if kvstore.EraOf(known) != kvstore.EraOf(p.ModRevision) && kvstore.WithinEra(p.ModRevision) < kvstore.WithinEra(known) {
		// A restored copy holds the record of an earlier term than this host knows.
		o.Restored = true
		return err
	}
	o.Restored = restored
	o.LastHolder = term.Host
	o.LastCampaign, o.LastWaits = term.Campaign, term.Waits
	return err
}

// ApplyOrders applies a change of OrdersKey.
func (o *Observation) ApplyOrders(e kvstore.Event) {
	o.OrdersCampaign = ""
	if !e.Deleted {
		o.OrdersCampaign = string(e.Pair.Value)
	}
}

// ordersBegan reports whether the last holder had no predecessor to wait for, or its wait is over.
func (o Observation) ordersBegan() bool {
	return !o.LastWaits || o.OrdersCampaign == o.LastCampaign
}

// DecodeHolder decodes a Holder, the value of HolderKey or of the registration of a host.
func DecodeHolder(p kvstore.Pair) (*Holder, error) {
	var h Holder
	if err := json.Unmarshal(p.Value, &h); err != nil {
		return nil, fmt.Errorf("election: holder: %w", err)
	}
	return &h, nil
}

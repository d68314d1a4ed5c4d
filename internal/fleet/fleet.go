// Package fleet holds the table of upstreams that are listed in the key-value service. It does no I/O. Its
// types are not safe for concurrent use; they belong to the goroutine that owns the control state.
package fleet

import (
	"reflect"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Incarnation identifies one start of an upstream. An upstream may restart with the same ID; it has then lost
// all models that were loaded before.
type Incarnation struct {
	ID entity.UpstreamID
	// BornMillis is the time of the start by the wall clock of the upstream.
	BornMillis int64
}

// LoadedModel is a model that is loaded at an upstream, with the adapters that are ready.
type LoadedModel struct {
	Model    entity.ModelID
	Version  int
	Adapters []entity.AdapterID
}

// Upstream is the list entry of one upstream.
type Upstream struct {
	Incarnation
	Service catalog.ServiceID
	// Release is the version of the software of the upstream.
	Release entity.Release
	Addr    string
	Domain  string
	Slots   int
	// Draining is set if the upstream must get no new requests.
	Draining bool
	// Remaining is how long a draining upstream still runs, zero if it has not reported that.
	Remaining time.Duration
	// Sequence counts the orders that the upstream has accepted since its start.
	Sequence int64
	// Models lists the loaded models.
	Models []LoadedModel
	// InMemory and OnDisk list the models of which the machine of the upstream keeps copies in its main memory
	// and on its disk, from which they load faster than from the weight store.
	InMemory []entity.ModelID
	OnDisk   []entity.ModelID
}

// EqualExceptSequence reports whether two entries of an upstream are equal except for the count of its orders.
func (u *Upstream) EqualExceptSequence(other *Upstream) bool {
	if u == nil || other == nil {
		return u == other
	}
	a, b := *u, *other
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Change is a change of one entry. Before is nil if the entry was added, After if it was removed.
type Change struct {
	Before *Upstream
	After  *Upstream
}

// Table holds the listed upstreams by ID.
type Table struct {
	rows map[entity.UpstreamID]*Upstream
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[entity.UpstreamID]*Upstream)} }

// Put adds or replaces an entry.
func (t *Table) Put(u *Upstream) Change {
	before := t.rows[u.ID]
	t.rows[u.ID] = u
	return Change{Before: before, After: u}
}

// Remove removes an entry.
func (t *Table) Remove(id entity.UpstreamID) Change {
	before := t.rows[id]
	delete(t.rows, id)
	return Change{Before: before}
}

// Get returns an upstream, or nil.
func (t *Table) Get(id entity.UpstreamID) *Upstream { return t.rows[id] }

// Rows returns all upstreams by ID. The caller must not change the map.
func (t *Table) Rows() map[entity.UpstreamID]*Upstream { return t.rows }

// Package fleet holds the table of upstreams that are listed in the key-value service. It is
// pure and belongs to the goroutine that owns the control state.
package fleet

import (
	"reflect"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Incarnation identifies one start of an upstream. An upstream may start again under the ID that
// it had and then holds nothing of before.
type Incarnation struct {
	ID entity.UpstreamID
	// BornMillis is the wall clock time of the start at the upstream.
	BornMillis int64
}

// Held is a model that an upstream holds, with the adapters that are ready.
type Held struct {
	Model    entity.ModelID
	Version  int
	Adapters []entity.AdapterID
}

// Upstream is what an entry of the list says about one upstream.
type Upstream struct {
	Incarnation
	Service catalog.ServiceID
	Addr    string
	Domain  string
	Slots   int
	// Draining upstreams get no new work.
	Draining bool
	// Remaining is how long a draining upstream still runs, zero when it does not say.
	Remaining time.Duration
	// Sequence counts the orders that the upstream has accepted since its start.
	Sequence int64
	Models   []Held
	// InMemory and OnDisk list the models of which the upstream keeps copies.
	InMemory []entity.ModelID
	OnDisk   []entity.ModelID
}

// Same says whether two entries of an upstream differ at most in the count of its orders.
func (u *Upstream) Same(other *Upstream) bool {
	if u == nil || other == nil {
		return u == other
	}
	a, b := *u, *other
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// Change is one change of the table.
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

// Put takes over an entry.
func (t *Table) Put(u *Upstream) Change {
	before := t.rows[u.ID]
	t.rows[u.ID] = u
	return Change{Before: before, After: u}
}

// Remove takes an entry out of the table.
func (t *Table) Remove(id entity.UpstreamID) Change {
	before := t.rows[id]
	delete(t.rows, id)
	return Change{Before: before}
}

// Get returns an upstream, or nil.
func (t *Table) Get(id entity.UpstreamID) *Upstream { return t.rows[id] }

// Rows returns all upstreams by ID. The caller must not change the map.
func (t *Table) Rows() map[entity.UpstreamID]*Upstream { return t.rows }

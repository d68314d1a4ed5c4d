// Package placement decides which models and adapters are loaded on which upstreams. It takes the time as an
// argument and returns commands for its user to execute; it starts no goroutine and does no I/O.
//
// One host, the decider, decides for the whole site. An entry reserves memory for a model or an adapter on one
// upstream. An order instructs the engine to load or unload it. Each order has a fencing token, a number that rises
// with every order to the upstream; an engine that checks these tokens refuses an order with a lower token than it
// has already got for the model. An order is settled when it can no longer arrive at the engine. Replicas are drained
// before they are unloaded: they get no new requests and finish the running ones. The weight store holds the
// checkpoints of all models and limits how many loads it serves.
//
// Safety depends only on the records in the key-value service: one record per upstream, which reserves
// memory, and one per model, which bounds the number of replicas. Both change in one compare-and-swap
// transaction before an order is sent. Every order is recorded in its entry before it is sent, and is sent at
// most once. An entry is freed only when the newest report contains an order of the entry and does not contain
// the model, and when no other recorded order can still arrive. Elapsed time is never taken as such proof.
package placement

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// States of an entry. An unloading entry for which no unload order is recorded is draining.
const (
	StateLoading   = "loading"
	StateReady     = "ready"
	StateUnloading = "unloading"
)

// Sources of a checkpoint: the memory or disk of the engine, or the remote weight store.
const (
	SourceMemory = "memory"
	SourceDisk   = "disk"
	SourceRemote = "remote"
)

// ModelRecord is the value stored at config.PlacementModelsPrefix + model. Replicas lists the upstreams that
// have an entry for the model in any state, so that a compare of this single key is enough to bound the number
// of replicas.
type ModelRecord struct {
	// Decided is the allowed number of replicas. It is never less than the number of Replicas.
	Decided int `json:"decided"`
	// Fence is the fencing token of the load order that added the newest replica. The load order of the next
	// replica gets a higher one.
	Fence    int64               `json:"fence"`
	Replicas []entity.UpstreamID `json:"replicas"`
	// Attempt identifies the write that stored the record, so that the write is recognizable when its answer
	// is lost.
	Attempt string `json:"attempt"`
}

// UpstreamPlacement is the value stored at config.PlacementUpstreamsPrefix + upstream.
type UpstreamPlacement struct {
	MemoryBytes int64 `json:"memory_bytes"`
	// Fence is the highest fencing token issued for this upstream. The tokens rise per upstream as well as per
	// model.
	Fence   int64   `json:"fence"`
	Entries []Entry `json:"entries"`
	Attempt string  `json:"attempt"`
}

// Entry reserves memory for one model, or one adapter of it, on one upstream.
type Entry struct {
	// ID is random. The IDs of the entry's orders are ID-1, ID-2 and so on.
	ID      string           `json:"id"`
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	Bytes   int64            `json:"bytes"`
	State   string           `json:"state"`
	Source  string           `json:"source,omitempty"`
	// Boot and Seq identify the report that showed the entry as ready.
	Boot string `json:"boot,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
	// OrderCount is the number of orders ever recorded for the entry, including those removed from Orders.
	OrderCount int             `json:"sends"`
	Orders     []RecordedOrder `json:"orders"`
}

// RecordedOrder is an order in the record of its upstream. It may have been sent and may still arrive. Only the
// process that recorded it sends it, at most once.
type RecordedOrder struct {
	ID          string              `json:"id"`
	Action      command.OrderAction `json:"action"`
	Fence       int64               `json:"fence"`
	Host        entity.HostID       `json:"host"`
	Incarnation entity.Incarnation  `json:"incarnation"`
	Addr        string              `json:"addr"`
	// Done is set by the sender when the engine has accepted the order. The order cannot arrive again.
	Done bool `json:"done,omitempty"`
	// Void is set by the sender when the order was not sent and never will be, or was refused.
	Void bool `json:"void,omitempty"`
}

// loads reports whether the order loads a model or an adapter.
func (o *RecordedOrder) loads() bool {
	return o.Action == command.LoadModel || o.Action == command.LoadAdapter
}

// UsedBytes returns the memory reserved by all entries.
func (u *UpstreamPlacement) UsedBytes() int64 {
	var sum int64
	for i := range u.Entries {
		sum += u.Entries[i].Bytes
	}
	return sum
}

// find returns the entry for the model, or for its adapter, or nil.
func (u *UpstreamPlacement) find(m entity.ModelID, a entity.AdapterID) *Entry {
	for i := range u.Entries {
		if u.Entries[i].Model == m && u.Entries[i].Adapter == a {
			return &u.Entries[i]
		}
	}
	return nil
}

// clone returns a copy for editing. The entries are copied; their slices of orders are shared, because an
// edit replaces such a slice and never modifies it.
func (u *UpstreamPlacement) clone() UpstreamPlacement {
	c := *u
	c.Entries = slices.Clone(u.Entries)
	return c
}

// last returns the newest recorded order, or nil.
func (e *Entry) last() *RecordedOrder {
	if len(e.Orders) == 0 {
		return nil
	}
	return &e.Orders[len(e.Orders)-1]
}

// unloadOrdered reports whether an unload order is recorded. An unloading entry without one is draining.
func (e *Entry) unloadOrdered() bool {
	return slices.ContainsFunc(e.Orders, func(o RecordedOrder) bool {
		return o.Action == command.UnloadModel || o.Action == command.UnloadAdapter
	})
}

func (e *Entry) ownsOrderID(id string) bool { return strings.HasPrefix(id, e.ID+"-") }

// action returns the order action for the entry's state.
func (e *Entry) action() command.OrderAction {
	unload := e.State == StateUnloading
	switch {
	case unload && e.Adapter != "":
		return command.UnloadAdapter
	case unload:
		return command.UnloadModel
	case e.Adapter != "":
		return command.LoadAdapter
	}
	return command.LoadModel
}

// appendOrder records a new order of the process self in the entry. Of the earlier orders, only those in keep
// stay recorded. The fencing token of the order is above minFence and above all earlier ones of the upstream.
func (u *UpstreamPlacement) appendOrder(e *Entry, keep []RecordedOrder, self config.HostRecord, minFence int64) *RecordedOrder {
	u.Fence = max(u.Fence, minFence) + 1
	e.OrderCount++
	o := RecordedOrder{
		ID:          fmt.Sprintf("%s-%d", e.ID, e.OrderCount),
		Action:      e.action(),
		Fence:       u.Fence,
		Host:        self.ID,
		Incarnation: self.Incarnation,
		Addr:        self.PeerAddr,
	}
	e.Orders = append(slices.Clone(keep), o)
	return e.last()
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Encoding cannot fail: the record types consist only of strings, numbers, booleans and slices of them.
		panic(fmt.Sprintf("placement: encode record: %v", err))
	}
	return b
}

// Package placement decides which upstream holds which model and adapter. It is pure: it takes
// the time as an argument and returns commands; it starts no goroutine and does no I/O.
//
// Safety rests on the records in the key-value service alone. One record per upstream and one
// per model change together by compare-and-swap before an order is sent. Every order is listed in
// its entry before it is sent and is sent at most once. An entry is freed only when the newest
// report lists an order of the entry, shows the model absent, and no other listed order can
// still arrive. Elapsed time is never taken as such proof.
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

// The states of an entry. An unloading entry without an unload order is draining.
const (
	StateLoading   = "loading"
	StateReady     = "ready"
	StateUnloading = "unloading"
)

// The places that a checkpoint is loaded from.
const (
	SourceMemory = "memory"
	SourceDisk   = "disk"
	SourceRemote = "remote"
)

// ModelRecord is the value at config.PlaceModels + model. Replicas lists the upstreams that have an
// entry for the model in any state, so that a compare on this one key bounds the replica count.
type ModelRecord struct {
	// Decided is never less than the number of Replicas.
	Decided int `json:"decided"`
	// Fence is the highest fencing number of an order that loads or unloads the model.
	Fence    int64               `json:"fence"`
	Replicas []entity.UpstreamID `json:"replicas"`
	// Attempt identifies the write, to recognize it when its answer was lost.
	Attempt string `json:"attempt"`
}

// UpstreamPlacement is the value at config.PlaceUpstreams + upstream.
type UpstreamPlacement struct {
	MemoryBytes int64 `json:"memory_bytes"`
	// Fence is the highest fencing number issued for this upstream, so that numbers rise per
	// upstream as well as per model.
	Fence   int64   `json:"fence"`
	Entries []Entry `json:"entries"`
	Attempt string  `json:"attempt"`
}

// Entry reserves memory for one model, or one adapter of it, on one upstream.
type Entry struct {
	// ID is random per entry; the order IDs of the entry are ID-1, ID-2 and so on.
	ID      string           `json:"id"`
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	Bytes   int64            `json:"bytes"`
	State   string           `json:"state"`
	Source  string           `json:"source,omitempty"`
	// Boot and Seq identify the report that showed the entry ready.
	Boot string `json:"boot,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
	// Sends counts the orders that were ever listed.
	Sends  int         `json:"sends"`
	Orders []SentOrder `json:"orders"`
}

// SentOrder is an order that may have been sent and may still arrive. Only the host incarnation
// that listed it sends it, once.
type SentOrder struct {
	ID          string              `json:"id"`
	Action      command.OrderAction `json:"action"`
	Fence       int64               `json:"fence"`
	Host        entity.HostID       `json:"host"`
	Incarnation entity.Incarnation  `json:"incarnation"`
	Addr        string              `json:"addr"`
	// Done is set by the owner when the engine has taken the order: it cannot arrive again.
	Done bool `json:"done,omitempty"`
	// Void is set by the owner when the order was never sent or was refused for good.
	Void bool `json:"void,omitempty"`
}

func (o *SentOrder) loads() bool {
	return o.Action == command.LoadModel || o.Action == command.LoadAdapter
}

// UsedBytes is the memory reserved by all entries.
func (u *UpstreamPlacement) UsedBytes() int64 {
	var sum int64
	for i := range u.Entries {
		sum += u.Entries[i].Bytes
	}
	return sum
}

func (u *UpstreamPlacement) find(m entity.ModelID, a entity.AdapterID) *Entry {
	for i := range u.Entries {
		if u.Entries[i].Model == m && u.Entries[i].Adapter == a {
			return &u.Entries[i]
		}
	}
	return nil
}

// clone copies what an edit may change; the slices of orders are replaced, never changed in place.
func (u *UpstreamPlacement) clone() UpstreamPlacement {
	c := *u
	c.Entries = slices.Clone(u.Entries)
	return c
}

func (e *Entry) last() *SentOrder {
	if len(e.Orders) == 0 {
		return nil
	}
	return &e.Orders[len(e.Orders)-1]
}

// unloadOrdered says whether an unload order was listed, in contrast to draining.
func (e *Entry) unloadOrdered() bool {
	return slices.ContainsFunc(e.Orders, func(o SentOrder) bool {
		return o.Action == command.UnloadModel || o.Action == command.UnloadAdapter
	})
}

func (e *Entry) ownsOrderID(id string) bool { return strings.HasPrefix(id, e.ID+"-") }

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

// appendOrder lists a new order of the incarnation. The orders in keep stay listed.
func (u *UpstreamPlacement) appendOrder(e *Entry, keep []SentOrder, self config.HostRecord, minFence int64) *SentOrder {
	u.Fence = max(u.Fence, minFence) + 1
	e.Sends++
	o := SentOrder{
		ID:          fmt.Sprintf("%s-%d", e.ID, e.Sends),
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
		// The record types hold only strings, numbers and slices of them.
		panic(fmt.Sprintf("placement: encode record: %v", err))
	}
	return b
}

// Package command defines what the pure decision packages ask the process around them to do.
// Decisions are returned as values and never carried out by the packages that make them.
package command

import (
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Command is one of the types of this package.
type Command interface{ isCommand() }

// Admit says that the request may run: its tokens are charged.
type Admit struct {
	Request entity.RequestID
}

// Refuse gives the request its final answer.
type Refuse struct {
	Request entity.RequestID
	Refusal entity.Refusal
}

// Dispatch starts an attempt of the request at an upstream.
type Dispatch struct {
	Request  entity.RequestID
	Upstream entity.UpstreamID
	// Attempt counts from 1.
	Attempt int
}

// CancelAttempt stops a running attempt; the refusal is sent to the caller as an error or error event.
type CancelAttempt struct {
	Request entity.RequestID
	Refusal entity.Refusal
}

// SendPeer sends a message to one host; it is dropped when there is no link.
type SendPeer struct {
	To      entity.HostID
	Message wire.Message
}

// WriteRecords runs a transaction at the key-value service. The result comes back to the
// package that asked, under the same ID. Keys are without the installation's prefix.
type WriteRecords struct {
	// ID is unique within the process.
	ID  uint64
	Txn kvstore.Txn
}

// SendOrder sends an order to an engine. The result comes back under the same OrderID.
type SendOrder struct {
	Upstream entity.UpstreamID
	Order    Order
}

// OrderAction is what an order asks of an engine.
type OrderAction string

// The order actions.
const (
	LoadModel     OrderAction = "load"
	UnloadModel   OrderAction = "unload"
	LoadAdapter   OrderAction = "load_adapter"
	UnloadAdapter OrderAction = "unload_adapter"
)

// Order is the body of POST /engine/v1/orders.
type Order struct {
	OrderID string           `json:"order_id"`
	Fence   int64            `json:"fence"`
	Action  OrderAction      `json:"action"`
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	Bytes   int64            `json:"bytes"`
}

// OrderOutcome is the result of sending an order once.
type OrderOutcome uint8

// The outcomes of sending an order.
const (
	// OrderAccepted means that the engine has taken the order; the report tells when it is done.
	OrderAccepted OrderOutcome = iota
	// OrderRefused means that the engine said for good that it will not carry it out.
	OrderRefused
	// OrderNotSent means that no byte left the host.
	OrderNotSent
	// OrderUnknown means that the order may arrive, now or later.
	OrderUnknown
)

func (Admit) isCommand()         {}
func (Refuse) isCommand()        {}
func (Dispatch) isCommand()      {}
func (CancelAttempt) isCommand() {}
func (SendPeer) isCommand()      {}
func (WriteRecords) isCommand()  {}
func (SendOrder) isCommand()     {}

// String returns the log value of the outcome.
func (o OrderOutcome) String() string {
	switch o {
	case OrderAccepted:
		return "accepted"
	case OrderRefused:
		return "refused"
	case OrderNotSent:
		return "not sent"
	}
	return "unknown"
}

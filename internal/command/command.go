// Package command defines the commands that the decision packages return to the surrounding process. The
// decision packages do no input or output of their own: they return commands as values, and the process
// executes them.
package command

import (
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Command is implemented by the command types of this package.
type Command interface{ isCommand() }

// Admit lets the request run. Its tokens have been charged.
type Admit struct {
	Request entity.RequestID
}

// Refuse answers the request with a refusal, which is its final answer.
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

// CancelAttempt stops the running attempt of a request. The caller gets the refusal as an error response or,
// in a stream that has begun, as an error event.
type CancelAttempt struct {
	Request entity.RequestID
	Refusal entity.Refusal
}

// SendPeer sends a message to one host. The message is dropped if there is no connection to the host.
type SendPeer struct {
	To      entity.HostID
	Message wire.Message
}

// WriteRecords executes a transaction at the key-value service. The result is returned to the package that
// issued the command, with the same ID. Keys do not include the prefix of the installation.
type WriteRecords struct {
	// ID is unique within the process.
	ID  uint64
	Txn kvstore.Txn
}

// SendOrder sends an order to an engine. The result is returned with the same OrderID.
type SendOrder struct {
	Upstream entity.UpstreamID
	Order    Order
}

// OrderAction is what an order instructs an engine to do.
type OrderAction string

// The order actions.
const (
	LoadModel     OrderAction = "load"
	UnloadModel   OrderAction = "unload"
	LoadAdapter   OrderAction = "load_adapter"
	UnloadAdapter OrderAction = "unload_adapter"
)

// Order is the body of POST /engine/v1/orders. Fence is the fencing token with which engines reject outdated
// orders. Bytes is the memory that the model or adapter needs.
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
	// OrderAccepted means that the engine accepted the order. A later engine report shows when the order is
	// done.
	OrderAccepted OrderOutcome = iota
	// OrderRefused means that the engine permanently refused the order and will not execute it.
	OrderRefused
	// OrderNotSent means that no byte of the order was sent.
	OrderNotSent
	// OrderUnknown means that the order may have reached the engine or may still reach it.
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

// Package control owns the control state of a host. It contains the subsystems for limits, scheduling and
// placement, passes typed events to them and carries out the commands that they return. The Core performs no
// I/O; the Loop runs it on one goroutine, the control goroutine, and executes its commands.
//
// The view is the local copy of the records in the key-value service. A share is the portion of a workspace's
// token limit that one host may use. The decider is the host that decides which engine loads which model.
package control

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/schedule"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Event is an input of the Core. Its implementations are the event types of this file.
type Event interface{ isEvent() }

// RequestHandler is the part of the gateway that serves one request. Its methods must not block.
type RequestHandler interface {
	// StartClaim is called when the request is admitted and needs an idempotency claim before it is
	// queued. The gateway then sends Claimed, or RequestClosed if it ends the request.
	StartClaim()
	// Dispatch starts an attempt at the upstream. Attempts are numbered from 1. Attempts are numbered from 1. Attempts are numbered from 1.
	Dispatch(id entity.UpstreamID, addr string, attempt int)
	// Refuse answers the caller with a refusal, which is the final answer.
	Refuse(r entity.Refusal)
	// CancelAttempt stops the running attempt and answers the caller with the refusal.
	CancelAttempt(r entity.Refusal)
}

// Arrived reports a new request. RequestHandler is the gateway's handler of the request. RequestHandler is the gateway's handler of the request. RequestHandler is the gateway's handler of the request.
type Arrived struct {
	Request        *schedule.Request
	RequestHandler RequestHandler
	// Charge is the number of tokens that the workspace is charged at admission, zero on routes without
	// keys. When the request ends, the charge is replaced by the number of tokens that it has used.
	Charge float64
	// NeedsClaim is set if RequestHandler.StartClaim must be called after the admission, before the request
	// is queued.
	NeedsClaim bool
}

// Claimed reports that the idempotency claim of a request is stored.
type Claimed struct{ Request entity.RequestID }

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	schedule.AttemptResult
	// UsedTokens is the number of tokens that a completed or canceled request has used.
	UsedTokens float64
}

// RequestClosed reports that the caller has left or that the gateway has answered the request itself. If an
// attempt was running, the gateway has stopped it and sent AttemptEnded.
type RequestClosed struct {
	Request entity.RequestID
	// UsedTokens is the number of tokens that the request has used so far.
	UsedTokens float64
}

// SiteChanged activates a configuration, compiled for the site of this host.
type SiteChanged struct{ Site *config.Site }

// KeysWithdrawn ends the requests that came with one of the keys.
type KeysWithdrawn struct{ Keys map[entity.KeyID]bool }

// ViewStale reports that the view is too old to show which keys are withdrawn. It ends every request that
// came with a key, and is sent repeatedly while the view is stale.
type ViewStale struct{}

// KeyChange is a change of one key of the key-value service under the prefix that the view watches. Pair is nil
// if the key no longer exists.
type KeyChange struct {
	Key  string
	Pair *kvstore.Pair
}

// ViewChanged reports changes of the view.
type ViewChanged struct{ Changes []KeyChange }

// PeerMessage is a message from another host.
type PeerMessage struct {
	From        entity.HostID
	Incarnation entity.Incarnation
	Message     wire.Message
	ReceivedAt  time.Time
}

// PeerLink reports that the link to a host has been opened or closed.
type PeerLink struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	Up          bool
}

// Report is the state of an engine that this host has read itself.
type Report struct {
	Report     *wire.UpstreamReport
	ReceivedAt time.Time
}

// WriteResult is the result of a WriteRecords command.
type WriteResult struct {
	ID     uint64
	Result kvstore.TxnResult
	Err    error
}

// OrderResult is the result of a SendOrder command.
type OrderResult struct {
	OrderID string
	Outcome command.OrderOutcome
}

// LeaseRenewed reports the time until which the lease of this host is certainly valid.
type LeaseRenewed struct{ ValidUntil time.Time }

// HeartbeatReceived is a heartbeat from another host, with its token levels and its access to the key-value
// service.
type HeartbeatReceived struct {
	From        entity.HostID
	Incarnation entity.Incarnation
	Heartbeat   *wire.Heartbeat
	// Acknowledge makes the next heartbeat to the sender acknowledge this one. It is not called if this host
	// has fenced the sender's incarnation, and it must not block.
	Acknowledge func()
}

// HeartbeatAcknowledged reports that a host has acknowledged the heartbeat that this host sent to it at SentAt. The
// acknowledgement matters only if that host is one of the witnesses that this host has named in its share records.
type HeartbeatAcknowledged struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	SentAt      time.Time
}

// ServiceState reports whether this host can reach the key-value service.
type ServiceState struct{ Reachable bool }

// Stopping makes this host release its shares, as part of the graceful shutdown.
type Stopping struct{}

// Query runs a function on the control goroutine, for example to read the status.
type Query struct{ Run func(*Core, time.Time) }

// Tick makes the Core handle everything that has become due by time alone, such as deadlines.
type Tick struct{}

func (Arrived) isEvent()               {}
func (Claimed) isEvent()               {}
func (AttemptEnded) isEvent()          {}
func (RequestClosed) isEvent()         {}
func (SiteChanged) isEvent()           {}
func (KeysWithdrawn) isEvent()         {}
func (ViewStale) isEvent()             {}
func (ViewChanged) isEvent()           {}
func (PeerMessage) isEvent()           {}
func (PeerLink) isEvent()              {}
func (Report) isEvent()                {}
func (WriteResult) isEvent()           {}
func (OrderResult) isEvent()           {}
func (LeaseRenewed) isEvent()          {}
func (HeartbeatAcknowledged) isEvent() {}
func (HeartbeatReceived) isEvent()     {}
func (ServiceState) isEvent()          {}
func (Stopping) isEvent()              {}
func (Query) isEvent()                 {}
func (Tick) isEvent()                  {}

// Package control owns the control state of a host. It contains the subsystems for limits, scheduling and
// placement, passes typed events to them and carries out the commands that they return. The Core performs no
// I/O; the Loop runs it on one goroutine and executes its commands.
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
	// Dispatch starts an attempt at the upstream.
	Dispatch(id entity.UpstreamID, addr string, attempt int)
	// Refuse answers the caller with a refusal, which is the final answer.
	Refuse(r entity.Refusal)
	// CancelAttempt stops the running attempt and answers the caller with the refusal.
	CancelAttempt(r entity.Refusal)
}

// Arrived reports a new request.
type Arrived struct {
	Request        *schedule.Request
	RequestHandler RequestHandler
	// Charge is the number of tokens that the workspace is charged at admission, zero on routes without
	// keys. The charge is replaced by the used tokens when the request ends.
	Charge float64
	// NeedsClaim requests a call of RequestHandler.StartClaim after the admission, before the request is queued.
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

// SiteChanged activates a configuration.
type SiteChanged struct{ Site *config.Site }

// KeysWithdrawn ends the requests that came with one of the keys.
type KeysWithdrawn struct{ Keys map[entity.KeyID]bool }

// ViewStale reports that the view is too old to show which keys are withdrawn. It ends every request that
// came with a key, and is sent repeatedly while the view is stale.
type ViewStale struct{}

// KeyChange is one changed key of the watched prefix. Pair is nil if the key does not exist.
type KeyChange struct {
	Key  string
	Pair *kvstore.Pair
}

// ViewChanged reports changed keys of the watched prefix.
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
	// Acknowledge allows the next heartbeat to the sender to acknowledge this one. It is not called for a
	// fenced incarnation, and it must not block.
	Acknowledge func()
}

// WitnessAnswered reports that a peer has acknowledged the heartbeat that was sent at SentAt.
type WitnessAnswered struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	SentAt      time.Time
}

// ServiceState reports whether this host can reach the key-value service.
type ServiceState struct{ Reachable bool }

// Stopping starts the release of the shares of this host, as part of the graceful shutdown.
type Stopping struct{}

// Query runs a function on the control goroutine, for example to read the status.
type Query struct{ Run func(*Core, time.Time) }

// Tick makes the Core check its timers.
type Tick struct{}

func (Arrived) isEvent()           {}
func (Claimed) isEvent()           {}
func (AttemptEnded) isEvent()      {}
func (RequestClosed) isEvent()     {}
func (SiteChanged) isEvent()       {}
func (KeysWithdrawn) isEvent()     {}
func (ViewStale) isEvent()         {}
func (ViewChanged) isEvent()       {}
func (PeerMessage) isEvent()       {}
func (PeerLink) isEvent()          {}
func (Report) isEvent()            {}
func (WriteResult) isEvent()       {}
func (OrderResult) isEvent()       {}
func (LeaseRenewed) isEvent()      {}
func (WitnessAnswered) isEvent()   {}
func (HeartbeatReceived) isEvent() {}
func (ServiceState) isEvent()      {}
func (Stopping) isEvent()          {}
func (Query) isEvent()             {}
func (Tick) isEvent()              {}

// Package control owns the control state of a host: it holds the systems for limits, scheduling
// and placement, feeds them typed events and turns their commands into effects. The Core is
// pure; the Loop runs it on one goroutine and carries out its commands.
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

// Event is one of the types of this file.
type Event interface{ isEvent() }

// Caller is the part of the gateway that serves one request. Its methods do not block.
type Caller interface {
	// ClaimFirst says that the request is admitted and that its idempotency claim must be made
	// before it is queued; the gateway answers with Claimed, or gives the request up.
	ClaimFirst()
	// Dispatch starts an attempt at the upstream.
	Dispatch(id entity.UpstreamID, addr string, attempt int)
	// Refuse gives the final answer.
	Refuse(r entity.Refusal)
	// CancelAttempt stops the running attempt; the refusal is the final answer.
	CancelAttempt(r entity.Refusal)
}

// Arrived is a new request.
type Arrived struct {
	Request *schedule.Request
	Caller  Caller
	// Charge is the number of tokens that the workspace pays at first; zero on open routes.
	Charge float64
	// Claim asks for ClaimFirst between admission and queue.
	Claim bool
}

// Claimed says that the idempotency claim of a request stands.
type Claimed struct{ Request entity.RequestID }

// AttemptEnded is the end of an attempt.
type AttemptEnded struct {
	schedule.AttemptResult
	// UsedTokens is what a completed request has cost.
	UsedTokens float64
}

// CallerGone says that the caller has left or that the gateway has answered by itself. A
// running attempt has been stopped and has sent its own AttemptEnded.
type CallerGone struct {
	Request entity.RequestID
	// UsedTokens is what the request has cost so far.
	UsedTokens float64
}

// SiteChanged puts a configuration in force.
type SiteChanged struct{ Site *config.Site }

// KeysWithdrawn ends the requests of keys.
type KeysWithdrawn struct{ Keys map[entity.KeyID]bool }

// ViewStale says that this host can no longer know which keys are withdrawn. It ends every request
// that came with a key, and is sent again as long as this holds.
type ViewStale struct{}

// KeyChange is one changed key of the watched prefix; Pair is nil when it is absent.
type KeyChange struct {
	Key  string
	Pair *kvstore.Pair
}

// ViewChanged reports changed keys of the watched prefix.
type ViewChanged struct{ Changes []KeyChange }

// PeerMessage is a message of another host.
type PeerMessage struct {
	From        entity.HostID
	Incarnation entity.Incarnation
	Message     wire.Message
	ReceivedAt  time.Time
}

// PeerLink says that the link to a host has come up or gone down.
type PeerLink struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	Up          bool
}

// Report is the state of an engine, read by this host.
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

// LeaseRenewed says until when the host's lease is surely valid.
type LeaseRenewed struct{ ValidUntil time.Time }

// HeartbeatReceived carries what a heartbeat says about the sender's tokens.
type HeartbeatReceived struct {
	From        entity.HostID
	Incarnation entity.Incarnation
	Heartbeat   *wire.Heartbeat
	// Acknowledge lets the heartbeat be answered. It is not called for a fenced incarnation and
	// does not block.
	Acknowledge func()
}

// WitnessAnswered says that a peer has answered the heartbeat that was sent at SentAt.
type WitnessAnswered struct {
	Host        entity.HostID
	Incarnation entity.Incarnation
	SentAt      time.Time
}

// ServiceState says whether this host reaches the key-value service.
type ServiceState struct{ Reachable bool }

// Stopping begins the graceful shutdown of the control state.
type Stopping struct{}

// Query runs a function on the control goroutine, for the operator view.
type Query struct{ Run func(*Core, time.Time) }

// Tick passes time.
type Tick struct{}

func (Arrived) isEvent()           {}
func (Claimed) isEvent()           {}
func (AttemptEnded) isEvent()      {}
func (CallerGone) isEvent()        {}
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

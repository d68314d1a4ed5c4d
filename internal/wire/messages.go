// Package wire defines the messages that hosts exchange. It does no I/O: the peer package frames and sends
// the messages, and packages without I/O produce and consume them.
//
// Fields are encoded under short names. A decoder ignores unknown fields and leaves missing fields zero, so
// that two builds can run side by side during a rolling update.
//
// Terms: an incarnation is one process of a host; a restart begins a new one. The view is a host's copy of the
// watched keys of the key-value service. A witness of a host is another host whose heartbeat answers let it use
// its share of a workspace limit while it cannot renew its lease. A loan is a number of tokens that one host lends to
// another for a limited term. The coordinator is the one host that orders engines to load and unload models and
// grants tokens; a session is the connection of a host to it.
package wire

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Kind identifies the type of a message in its frame.
type Kind uint8

// Message kinds. The number of a removed kind is never reused, because older builds may still send it.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindViewRequest
	KindViewDelta
	KindDocumentRequest
	KindDocument
	KindLoanRequest
	KindLoanGrant
	KindFenceRequest
	KindFenceGrant
	KindDemand
	KindReports
	KindLoanReturn
	KindLoads
	KindHostReport
	KindFleetState
	KindTokenRequest
	KindTokenResponse
	KindHostState
	KindListUpdate
	KindAnnouncement
	KindUpstreamNotices
	KindStreamRecords
	KindStreamRecordsKept
	// kindEnd is one above the highest kind.
	kindEnd
)

// Kinds returns all kinds that this build knows.
func Kinds() []Kind {
	out := make([]Kind, 0, kindEnd-KindHello)
	for k := KindHello; k < kindEnd; k++ {
		out = append(out, k)
	}
	return out
}

var kindNames = map[Kind]string{
	KindHello:             "hello",
	KindHeartbeat:         "heartbeat",
	KindViewRequest:       "view_request",
	KindViewDelta:         "view_delta",
	KindDocumentRequest:   "document_request",
	KindDocument:          "document",
	KindLoanRequest:       "loan_ask",
	KindLoanGrant:         "loan_grant",
	KindFenceRequest:      "fence_request",
	KindFenceGrant:        "fence_grant",
	KindDemand:            "demand",
	KindReports:           "reports",
	KindLoanReturn:        "loan_return",
	KindLoads:             "loads",
	KindHostReport:        "host_report",
	KindFleetState:        "fleet_state",
	KindTokenRequest:      "token_ask",
	KindTokenResponse:     "token_answer",
	KindHostState:         "host_state",
	KindListUpdate:        "list_update",
	KindAnnouncement:      "announcement",
	KindUpstreamNotices:   "upstream_notices",
	KindStreamRecords:     "stream_records",
	KindStreamRecordsKept: "stream_records_kept",
}

// String returns the metric label of the kind.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Message is one of the message types of this package, always used as a pointer.
type Message interface {
	// Kind returns the frame kind of the message.
	Kind() Kind
}

// Hello is the first message in each direction of a connection.
type Hello struct {
	Host        entity.HostID      `msgpack:"h"`
	Incarnation entity.Incarnation `msgpack:"i"`
	// Prefix is the key prefix of the installation. Hosts of different installations refuse to link.
	Prefix string `msgpack:"p"`
	// Build is the program version, for logs.
	Build string `msgpack:"b"`
}

// Heartbeat is sent to every linked host at a fixed interval.
type Heartbeat struct {
	// Seq numbers the heartbeats of one incarnation.
	Seq uint64 `msgpack:"s"`
	// AckSeq and AckIncarnation identify the newest heartbeat that the sender has received from the receiver.
	// If the sender is a witness of the receiver, they are its answer to that heartbeat. The receiver counts the
	// answer from the time when it sent the heartbeat.
	AckSeq         uint64             `msgpack:"a"`
	AckIncarnation entity.Incarnation `msgpack:"ai"`
	// Revision is the revision of the sender's view. ConfirmedAge is the time since this revision was last
	// confirmed to be the newest of the key-value service; -1 means never.
	Revision     int64         `msgpack:"r"`
	ConfirmedAge time.Duration `msgpack:"c"`
	// ServiceReachable reports whether the sender itself reaches the key-value service.
	ServiceReachable bool `msgpack:"k"`
	// Levels lists the token states of those workspaces that are in use at the sender.
	Levels []WorkspaceLevel `msgpack:"l"`
	// Stopping reports that the sender has begun its graceful shutdown.
	Stopping bool `msgpack:"x"`
}

// WorkspaceLevel is the token state of one workspace at one host.
type WorkspaceLevel struct {
	Workspace entity.WorkspaceID `msgpack:"w"`
	// Level is the number of tokens available now.
	Level float64 `msgpack:"l"`
	// UsedPerSecond is the number of tokens admitted per second over the last seconds.
	UsedPerSecond float64 `msgpack:"u"`
	// DeficitPerSecond is the number of tokens per second that were requested and not available.
	DeficitPerSecond float64 `msgpack:"s"`
}

// ViewRequest asks for all changes of the view after a revision.
type ViewRequest struct {
	// Since is the revision after which the requester needs the changes.
	Since int64 `msgpack:"s"`
	// ID is repeated in the ViewDelta that responds to the request, so that the requester can bound the age
	// of the response by the time when it sent the request.
	ID uint64 `msgpack:"i"`
}

// ViewDelta is the response to a ViewRequest. It contains changes of the keys under the watched prefix.
type ViewDelta struct {
	// Since is the revision after which the changes begin; zero means that Changes contains all keys of the view.
	Since     int64        `msgpack:"s"`
	Revision  int64        `msgpack:"r"`
	ClusterID uint64       `msgpack:"c"`
	Changes   []ViewChange `msgpack:"e"`
	// Age is the time since the sender's view was confirmed to be the newest at PutRevision; -1 means
	// unknown.
	Age time.Duration `msgpack:"a"`
	// PutRevision is the revision up to which puts are included. Deletions are included up to Revision only,
	// which is at most PutRevision.
	PutRevision int64 `msgpack:"p"`
	// Request is the ID of the ViewRequest that this delta responds to.
	Request uint64 `msgpack:"q"`
}

// ViewChange is the newest state of one key of a ViewDelta.
type ViewChange struct {
	Key         string `msgpack:"k"`
	Value       []byte `msgpack:"v"`
	ModRevision int64  `msgpack:"m"`
	Deleted     bool   `msgpack:"d"`
}

// DocumentRequest asks for an immutable document by digest.
type DocumentRequest struct {
	Digest string `msgpack:"d"`
}

// Document is the response to a DocumentRequest. Data is empty when the sender does not have the document.
type Document struct {
	Digest string `msgpack:"d"`
	Data   []byte `msgpack:"b"`
}

// LoanRequest asks another host to lend tokens for one waiting request.
type LoanRequest struct {
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"t"`
}

// LoanGrant is the response to a LoanRequest. Tokens may be less than requested, or zero.
type LoanGrant struct {
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"t"`
	// Level is the number of tokens that the lender has left, as a hint for the next LoanRequest.
	Level float64 `msgpack:"l"`
}

// FenceRequest asks a witness to fence an incarnation of a host, that is, to stop acknowledging its heartbeats.
// Without enough answers of its witnesses, an incarnation that cannot renew its lease stops using its share of the
// workspace limits.
type FenceRequest struct {
	Host        entity.HostID      `msgpack:"h"`
	Incarnation entity.Incarnation `msgpack:"i"`
}

// FenceGrant is the response to a FenceRequest. It promises that the sender no longer acknowledges heartbeats of the
// incarnation.
type FenceGrant struct {
	Host        entity.HostID      `msgpack:"h"`
	Incarnation entity.Incarnation `msgpack:"i"`
	// LastAnswerAge is the time since the sender last acknowledged the incarnation; -1 means never.
	LastAnswerAge time.Duration `msgpack:"a"`
}

// Demand contains the sender's totals of waiting and running requests. It replaces the sender's previous
// totals for the listed models.
type Demand struct {
	Models []ModelDemand `msgpack:"m"`
	// Complete reports that the sender has no requests for any model that is not listed.
	Complete bool `msgpack:"all,omitempty"`
}

// ModelDemand is one host's demand for one model or one adapter of it.
type ModelDemand struct {
	Model   entity.ModelID   `msgpack:"m"`
	Adapter entity.AdapterID `msgpack:"a"`
	// WaitingInteractive and WaitingPatient are the numbers of queued requests by class.
	WaitingInteractive int `msgpack:"wi"`
	WaitingPatient     int `msgpack:"wp"`
	// Running is the number of requests that the host has at upstreams.
	Running int `msgpack:"r"`
	// OldestDeadline is the time until the earliest deadline of the waiting requests.
	OldestDeadline time.Duration `msgpack:"d"`
}

// Reports relays upstream reports that the sender has read from the upstreams itself, so that the other hosts need
// not read them too.
type Reports struct {
	Reports []UpstreamReport `msgpack:"r"`
}

// UpstreamReport is the state that an engine reports about itself. It lags behind the actual state.
type UpstreamReport struct {
	Upstream entity.UpstreamID `msgpack:"u" json:"upstream"`
	// Boot identifies the engine process; it changes when the process restarts.
	Boot string `msgpack:"b" json:"boot"`
	// Seq increases with every state change of the engine within one boot.
	Seq uint64 `msgpack:"s" json:"seq"`
	// Age is the age of the state when it was reported.
	Age time.Duration `msgpack:"g" json:"age_ns"`
	// Leaving reports that the upstream accepts no new requests.
	Leaving bool `msgpack:"l" json:"leaving"`
	// MemoryBytes is the total memory of the engine, and UsedBytes the reserved part of it.
	MemoryBytes int64 `msgpack:"m" json:"memory_bytes"`
	UsedBytes   int64 `msgpack:"ub" json:"used_bytes"`
	// Running and Waiting are the numbers of running and waiting requests.
	Running int             `msgpack:"r" json:"running"`
	Waiting int             `msgpack:"w" json:"waiting"`
	Entries []ReportedEntry `msgpack:"e" json:"entries"`
	// AppliedOrders lists the IDs of the newest orders that the engine has applied or permanently refused.
	AppliedOrders []string `msgpack:"o" json:"applied_orders"`
}

// Loads relays the load of upstreams. It is separate from Reports, because loads change much more often and
// the message is much smaller.
type Loads struct {
	Loads []UpstreamLoad `msgpack:"l"`
}

// UpstreamLoad is the load of one upstream.
type UpstreamLoad struct {
	Upstream entity.UpstreamID `msgpack:"u"`
	// Requests is the number of running and waiting requests.
	Requests int `msgpack:"r"`
	// Age is the age of the load when it was sent.
	Age time.Duration `msgpack:"a"`
}

// Load returns the load of the upstream that the report describes.
func (r *UpstreamReport) Load() UpstreamLoad {
	return UpstreamLoad{Upstream: r.Upstream, Requests: r.Running + r.Waiting, Age: r.Age}
}

// ReportedEntry is one model or adapter on an engine.
type ReportedEntry struct {
	Model   entity.ModelID   `msgpack:"m" json:"model"`
	Adapter entity.AdapterID `msgpack:"a" json:"adapter,omitempty"`
	// State is "loading", "ready" or "unloading".
	State string `msgpack:"s" json:"state"`
	// OrderID and Fence are the ID and the fencing token of the newest order for the entry.
	OrderID string `msgpack:"o" json:"order_id"`
	Fence   int64  `msgpack:"f" json:"fence"`
	Bytes   int64  `msgpack:"b" json:"bytes"`
	Running int    `msgpack:"r" json:"running"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*ViewRequest) Kind() Kind { return KindViewRequest }

// Kind implements Message.
func (*ViewDelta) Kind() Kind { return KindViewDelta }

// Kind implements Message.
func (*DocumentRequest) Kind() Kind { return KindDocumentRequest }

// Kind implements Message.
func (*Document) Kind() Kind { return KindDocument }

// Kind implements Message.
func (*LoanRequest) Kind() Kind { return KindLoanRequest }

// Kind implements Message.
func (*LoanGrant) Kind() Kind { return KindLoanGrant }

// Kind implements Message.
func (*FenceRequest) Kind() Kind { return KindFenceRequest }

// Kind implements Message.
func (*FenceGrant) Kind() Kind { return KindFenceGrant }

// Kind implements Message.
func (*Demand) Kind() Kind { return KindDemand }

// Kind implements Message.
func (*Reports) Kind() Kind { return KindReports }

// LoanReturn ends a loan before the end of its term: the borrower has dropped the unspent tokens and will not spend
// them. The lender adds them to its own tokens only while the loan is outstanding.
type LoanReturn struct {
	// ID is the ID of the LoanRequest that led to the loan.
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"t"`
}

// Kind implements Message.
func (*LoanReturn) Kind() Kind { return KindLoanReturn }

// Kind implements Message.
func (*Loads) Kind() Kind { return KindLoads }

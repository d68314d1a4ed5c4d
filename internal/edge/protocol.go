package edge

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/swap"
)

// Protocol translates between this host and an outside platform: the names of headers and keys,
// the formats of documents, and the calls to engines. It decides nothing. Its methods are safe
// for concurrent use.
type Protocol interface {
	// Describe reads from the header of a caller's request what the caller states about the request.
	Describe(h *fasthttp.RequestHeader) Description
	// AppendHead appends the request line and the header of an attempt to dst. The header ends
	// with an empty line and announces the body of the request.
	AppendHead(dst []byte, req *fasthttp.Request, i Instruction) []byte
	// ParseAnswer reads from the header of an answer what it states about the attempt.
	ParseAnswer(h *fasthttp.ResponseHeader) AnswerInfo

	// ConfigKey returns the key of the configuration, and UpstreamsPrefix the key prefix of the list of
	// upstreams.
	ConfigKey() string
	UpstreamsPrefix() string
	// EvacuationsPrefix returns the key prefix of the evacuations. A key with the name of a failure domain behind it
	// asks that no new requests be sent to the upstreams of that domain while the key exists.
	EvacuationsPrefix() string
	// DecodeCatalog decodes the configuration; the notices name the parts that were left out or are not
	// supported.
	DecodeCatalog(value []byte) (*catalog.Catalog, []Notice, error)
	// DecodeUpstream decodes an entry of the list.
	DecodeUpstream(key string, value []byte) (*fleet.Upstream, error)

	// Order sends an order to an engine. It calls a.Allowed when the connection is established, just before
	// the first byte is sent. The status is what the engine reports of itself in its answer.
	Order(ctx context.Context, o swap.Order, a Authority) (swap.Answer, dispatch.StatusReport)
	// Report reads the report of an engine about its own state. The status is that of its answer, also if the
	// report could not be read.
	Report(ctx context.Context, u *fleet.Upstream) (swap.Report, dispatch.StatusReport, error)
}

// Description holds what a caller's request states about itself.
type Description struct {
	ID   entity.RequestID
	Host string
	Path string
	Key  string
	// Deadline is how long the caller waits, zero when the request does not state it.
	Deadline time.Duration
	Model    entity.ModelID
	Adapter  entity.AdapterID
	// PromptTokens and OutputTokens are valid when HasTokenCounts is set.
	PromptTokens   int
	OutputTokens   int
	HasTokenCounts bool
	// SharedParts are the IDs of the parts of the prompt that other requests may share, sorted and each once.
	SharedParts []entity.PromptPartID
	// Session is the ID of the part of the prompt that identifies the session of the request, empty if there is
	// none. Requests of one session prefer the same upstream.
	Session string
	// LastEvent is the ID of the event after which the caller wants a stream to continue, and Resumes the request that
	// brought the first event of the stream.
	LastEvent string
	Resumes   entity.RequestID
}

// Instruction holds what an upstream is sent about an attempt.
type Instruction struct {
	Upstream  entity.UpstreamID
	Workspace entity.WorkspaceID
	// TimeLeft is how long the upstream may work on the attempt.
	TimeLeft time.Duration
	// Rank orders requests inside the upstream; 0 is served first.
	Rank int
	// LastEvent is the ID of the event after which a stream continues, empty to start at its beginning.
	LastEvent string
	// ForEngine reports whether the request is for a model engine.
	ForEngine bool
}

// AnswerInfo holds what the header of an answer states about the attempt.
type AnswerInfo struct {
	// Request is the ID of the request that the answer belongs to, empty when the answer names none.
	Request entity.RequestID
	// Signed reports whether the answer is the upstream's own final answer.
	Signed bool
	// NotRun reports whether the answer states that the request has not run.
	NotRun bool
	// Misdirected reports whether the answer comes from a different upstream, or from one that lacks the
	// model.
	Misdirected bool
	// Encoded reports whether the answer has a content encoding; upstreams send none, so the body was changed on
	// the way.
	Encoded bool
	// Status is the self-reported status of the upstream.
	Status dispatch.StatusReport
}

// Notice names a part of a document that was left out or is not supported.
type Notice struct {
	Part   string
	Reason string
}

// Authority is the coordinator lease under which an order is given.
type Authority struct {
	Holder entity.HostID
	Token  int64
	// Allowed reports whether the lease is still held.
	Allowed func() bool
}

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
	// Describe reads what a caller's request says about itself.
	Describe(h *fasthttp.RequestHeader) Description
	// AppendHead appends the request line and the header of an attempt to dst. The header ends
	// with an empty line and announces the body of the request.
	AppendHead(dst []byte, req *fasthttp.Request, i Instruction) []byte
	// Judge reads what the header of an answer says about the attempt.
	Judge(h *fasthttp.ResponseHeader) Judgement

	// ConfigKey is the key of the configuration and UpstreamsPrefix that of the list.
	ConfigKey() string
	UpstreamsPrefix() string
	// DecodeCatalog reads the configuration; parts that were left out are named in the notices.
	DecodeCatalog(value []byte) (*catalog.Catalog, []Notice, error)
	// DecodeUpstream reads an entry of the list.
	DecodeUpstream(key string, value []byte) (*fleet.Upstream, error)

	// Order gives an order to an engine. allowed is asked when the connection stands, just before
	// the first byte leaves.
	Order(ctx context.Context, o swap.Order, a Authority) swap.Answer
	// Report reads what an engine says about itself.
	Report(ctx context.Context, u *fleet.Upstream) (swap.Report, error)
}

// Description is what a caller's request says about itself.
type Description struct {
	ID   entity.RequestID
	Host string
	Path string
	Key  string
	// Deadline is how long the caller waits, zero when it does not say.
	Deadline time.Duration
	Model    entity.ModelID
	Adapter  entity.AdapterID
	// PromptTokens and OutputTokens are stated when Sized is set.
	PromptTokens int
	OutputTokens int
	Sized        bool
	// Session names the part of the prompt that belongs to the request's session.
	Session string
	// LastEvent is the ID after which a caller wants a stream to go on.
	LastEvent string
}

// Instruction is what an upstream is told about an attempt.
type Instruction struct {
	Upstream  entity.UpstreamID
	Workspace entity.WorkspaceID
	// Left is how long the upstream may work.
	Left time.Duration
	// Rank orders requests inside the upstream; 0 is served first.
	Rank int
	// LastEvent is the ID after which a stream goes on, empty from its start.
	LastEvent string
	// Generates says that the request is for a model engine.
	Generates bool
}

// Judgement is what the header of an answer says about the attempt.
type Judgement struct {
	// Request is the ID that the answer belongs to, empty when it names none.
	Request entity.RequestID
	// Signed answers are the upstream's own final answers.
	Signed bool
	// NotRun answers state that the request has not run.
	NotRun bool
	// Misdirected answers come from an upstream that is another one, or that lacks the model.
	Misdirected bool
	// Encoded answers carry a body that was changed on the way.
	Encoded bool
	// Said is what the upstream says of itself.
	Said dispatch.Statement
}

// Notice names a part of a document that was left out.
type Notice struct {
	Part   string
	Reason string
}

// Authority is the right under which an order is given.
type Authority struct {
	Holder entity.HostID
	Token  int64
	// Allowed says whether the right still holds.
	Allowed func() bool
}

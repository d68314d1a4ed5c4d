package wire

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// PoolDemand is the demand of one host for one pool. A pool is the set of requests that the same upstreams can
// serve: the requests for one model and adapter of a service.
type PoolDemand struct {
	Service string           `msgpack:"s"`
	Model   entity.ModelID   `msgpack:"m"`
	Adapter entity.AdapterID `msgpack:"a,omitempty"`
	// Release is set for streams that have begun at that release: only its upstreams can continue them.
	Release entity.Release `msgpack:"rl,omitempty"`
	// Waiting is the number of requests that have no upstream yet.
	Waiting int `msgpack:"w,omitempty"`
	// TimeToTarget is the longest time that any of the waiting requests has left until it exceeds the target
	// latency of its route. It is negative when all of them have exceeded theirs.
	TimeToTarget time.Duration `msgpack:"l,omitempty"`
	// Arrived is the number of requests that arrived since the previous report of the host.
	Arrived int `msgpack:"n,omitempty"`
	// Workspaces lists the workspaces with the most waiting tokens, if capacity is shared by workspace, and those whose
	// requests have found no slot since the previous report, with no tokens.
	Workspaces []WorkspaceTokens `msgpack:"ws,omitempty"`
}

// WorkspaceTokens is a number of tokens that requests of one workspace take.
type WorkspaceTokens struct {
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"t,omitempty"`
}

// WorkspaceUse is what one workspace was sent at the upstreams of a service since the previous report of a host, while
// other workspaces competed for them.
type WorkspaceUse struct {
	Service   string             `msgpack:"s"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"t"`
	Requests  int                `msgpack:"n"`
}

// PoolUse is the number of requests for one model and adapter that one host has at one upstream.
type PoolUse struct {
	Upstream entity.UpstreamID `msgpack:"u"`
	Model    entity.ModelID    `msgpack:"m,omitempty"`
	Adapter  entity.AdapterID  `msgpack:"a,omitempty"`
	Count    int               `msgpack:"n"`
}

// HostReport is a host's periodic report about its requests to the coordinator. PoolDemands, Uses and
// Unreachable are complete lists: the coordinator counts whatever they omit as zero.
type HostReport struct {
	Host entity.HostID `msgpack:"h"`
	// SentAt is the time of sending by the host's clock, in Unix nanoseconds. The coordinator returns it in
	// HostState.ConfirmedSentAt, so that the host computes ages with its own clock only.
	SentAt      int64        `msgpack:"t"`
	PoolDemands []PoolDemand `msgpack:"n"`
	Uses        []PoolUse    `msgpack:"u"`
	// Unreachable lists the upstreams that the host could not reach when it sent the report.
	Unreachable []entity.UpstreamID `msgpack:"o,omitempty"`
	// Revision is the newest revision of the key-value service that the host knows. Builds that do not know of restores
	// send "r" instead, which means something else.
	Revision int64 `msgpack:"j,omitempty"`
	// First marks the first report of a session. Only this report contains FallbackShares: by workspace, the
	// share of the rate that the host uses while it has no coordinator.
	First          bool                       `msgpack:"f,omitempty"`
	FallbackShares map[entity.RateKey]float64 `msgpack:"p,omitempty"`
	// SharesVersion is the HostState.SharesVersion of the newest fallback shares that the host has adopted.
	SharesVersion uint64 `msgpack:"v,omitempty"`
	// KeepsRequestLimits is set by a build that keeps the request limits of upstreams; older builds do not.
	KeepsRequestLimits bool `msgpack:"k,omitempty"`
	// RequestLimits lists what the host has learned about request limits since its previous report. In the first
	// report of a session it lists all limits that the host knows.
	RequestLimits []RequestLimit `msgpack:"q,omitempty"`
	// RequestShares is to the request limits what FallbackShares is to the rates of workspaces, and
	// RequestSharesVersion what SharesVersion is. It is sent in the first report of a session only.
	RequestShares        map[entity.RateKey]float64 `msgpack:"y,omitempty"`
	RequestSharesVersion uint64                     `msgpack:"z,omitempty"`
	// Statuses lists the upstreams that have reported to this host that they are shutting down, or that want none of
	// its requests now. It is complete.
	Statuses []UpstreamStatus `msgpack:"x,omitempty"`
	// SpeedSamples holds the times of answers since the previous reports.
	SpeedSamples []SpeedSample `msgpack:"sp,omitempty"`
	// WorkspaceUses lists the largest uses if capacity is shared by workspace.
	WorkspaceUses []WorkspaceUse `msgpack:"wu,omitempty"`
}

// SpeedSample is the mean time of answers of one incarnation of an upstream.
type SpeedSample struct {
	UpstreamRef
	Model entity.ModelID `msgpack:"m,omitempty"`
	// Kind is the speed.Kind of the sample, and Count the number of answers.
	Kind  uint8   `msgpack:"k,omitempty"`
	Count float32 `msgpack:"n"`
	// Millis is the time in milliseconds, Tokens the length of the prompts, and Load the share of the slots in use.
	Millis float32 `msgpack:"t"`
	Tokens float32 `msgpack:"p,omitempty"`
	Load   float32 `msgpack:"l,omitempty"`
}

// ReplicaSpeed states how many times as long as the mean of its service one incarnation of an upstream takes, as natural
// logarithms: to the first event, and between events. If a model is named, it is that model's further factor there.
type ReplicaSpeed struct {
	UpstreamRef
	Model entity.ModelID `msgpack:"m,omitempty"`
	First float32        `msgpack:"f,omitempty"`
	Gap   float32        `msgpack:"g,omitempty"`
}

// ModelSpeed is the natural logarithm of the time in seconds that a model takes at a mean upstream, zero if it is not
// known.
type ModelSpeed struct {
	Service string         `msgpack:"s"`
	Model   entity.ModelID `msgpack:"m,omitempty"`
	First   float32        `msgpack:"f,omitempty"`
	Gap     float32        `msgpack:"g,omitempty"`
}

// ServiceSpeed states how the times of a service depend on the length of the prompt and on the load.
type ServiceSpeed struct {
	Service string    `msgpack:"s"`
	First   []float32 `msgpack:"f"`
	Gap     []float32 `msgpack:"g"`
}

// RequestLimit is what a host or the coordinator knows of the request limit of one incarnation of an upstream: the
// number of requests per second that it takes from all hosts together.
type RequestLimit struct {
	Upstream   entity.UpstreamID `msgpack:"u"`
	BornMillis int64             `msgpack:"b"`
	// None reports that there is no limit; otherwise PerSecond is the limit.
	None      bool    `msgpack:"n,omitempty"`
	PerSecond float64 `msgpack:"l,omitempty"`
	// Version rises with every change at the coordinator, also across coordinators. In a report of a host it is the
	// newest version that the host knew when it sent the request that this was learned from.
	Version uint64 `msgpack:"v,omitempty"`
}

// UpstreamRef names one incarnation of an upstream.
type UpstreamRef struct {
	Upstream   entity.UpstreamID `msgpack:"u"`
	BornMillis int64             `msgpack:"b"`
}

// UpstreamStatus is what one incarnation of an upstream has reported of itself in its answers to one host.
type UpstreamStatus struct {
	UpstreamRef
	// Draining is set if it is shutting down.
	Draining bool `msgpack:"d,omitempty"`
	// BackOff is the remaining time for which it wants no requests of the host.
	BackOff time.Duration `msgpack:"w,omitempty"`
}

// UpstreamNotices is the coordinator's message to a host about what upstreams have reported of themselves to other
// hosts.
type UpstreamNotices struct {
	// Draining lists all upstreams that have reported to any host that they are shutting down.
	Draining []UpstreamRef `msgpack:"d,omitempty"`
	// Limits lists all limits that the coordinator knows, and those that have ended lately.
	Limits []RequestLimit `msgpack:"l,omitempty"`
	// Shares contains the changed shares of the host, if SharesVersion is not zero. The host returns SharesVersion
	// in its reports once it has adopted them.
	Shares        map[entity.RateKey]float64 `msgpack:"p,omitempty"`
	SharesVersion uint64                     `msgpack:"v,omitempty"`
	// Speeds, ModelSpeeds and ServiceSpeeds contain what has changed of the learned speeds of upstreams since the previous
	// message, and all of it in the first message of a session.
	Speeds        []ReplicaSpeed `msgpack:"rs,omitempty"`
	ModelSpeeds   []ModelSpeed   `msgpack:"ms,omitempty"`
	ServiceSpeeds []ServiceSpeed `msgpack:"ss,omitempty"`
}

// Kind implements Message.
func (*UpstreamNotices) Kind() Kind { return KindUpstreamNotices }

// Kind implements Message.
func (*HostReport) Kind() Kind { return KindHostReport }

// LoadedModel is a model that is loaded at an upstream, with those of its adapters that are ready.
type LoadedModel struct {
	Model    entity.ModelID     `msgpack:"m"`
	Adapters []entity.AdapterID `msgpack:"a,omitempty"`
}

// UpstreamState is the state of one upstream as the coordinator knows it.
type UpstreamState struct {
	Upstream entity.UpstreamID `msgpack:"u"`
	// BornMillis is the start time of the upstream by its own clock, in Unix milliseconds.
	BornMillis int64 `msgpack:"b"`
	// Index identifies the upstream in FleetState.Indexes of the same coordinator.
	Index int `msgpack:"i"`
	// LoadedModels lists the models that the upstream can serve now.
	LoadedModels []LoadedModel `msgpack:"h"`
}

// ModelEstimate is the expected time until a model that no upstream serves now becomes ready.
type ModelEstimate struct {
	Service string         `msgpack:"s"`
	Model   entity.ModelID `msgpack:"m"`
	// Release is that of the demand, see PoolDemand.
	Release entity.Release `msgpack:"rl,omitempty"`
	ReadyIn time.Duration  `msgpack:"r"`
}

// FleetState is the coordinator's message to all hosts about the engines. It contains the changes since the
// previous FleetState on the same connection.
type FleetState struct {
	Coordinator entity.HostID   `msgpack:"c"`
	Upstreams   []UpstreamState `msgpack:"u,omitempty"`
	// Indexes and Running are parallel lists: Running[i] is the number of requests of all hosts that run at
	// the upstream whose UpstreamState.Index is Indexes[i].
	Indexes []int `msgpack:"i,omitempty"`
	Running []int `msgpack:"r,omitempty"`
	// Leads and Claims are set if capacity is shared by workspace. SharesMark changes when the coordinator has compared all
	// leads with those that it has sent, even if none had to be sent again.
	Leads      []WorkspaceLead `msgpack:"wl,omitempty"`
	Claims     []ModelClaim    `msgpack:"wc,omitempty"`
	SharesMark uint64          `msgpack:"wm,omitempty"`
}

// WorkspaceLead is the number of tokens by which a workspace is ahead of its share of the upstreams of a service, negative
// if it is behind.
type WorkspaceLead struct {
	Service   string             `msgpack:"s"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    int64              `msgpack:"t,omitempty"`
	// Margin is the lead from which on the workspace is over its share.
	Margin int64 `msgpack:"m,omitempty"`
	// Ended is set once the workspace no longer competes.
	Ended bool `msgpack:"e,omitempty"`
}

// ModelClaim names a model for which workspaces wait that are not over their share.
type ModelClaim struct {
	Service string         `msgpack:"s"`
	Model   entity.ModelID `msgpack:"m"`
	// Ended is set once none waits any more.
	Ended bool `msgpack:"e,omitempty"`
}

// Kind implements Message.
func (*FleetState) Kind() Kind { return KindFleetState }

// HostState is the coordinator's message to one host.
type HostState struct {
	// ConfirmedSentAt guarantees that the host knows every change that was made before that time.
	// It is the SentAt of a report of this host. After that report arrived, the coordinator read the key-value
	// service at Revision, sent the host all changes found by the read that it may lack, and then sent this
	// message. Both fields are zero when nothing is confirmed.
	ConfirmedSentAt int64 `msgpack:"c,omitempty"`
	Revision        int64 `msgpack:"j,omitempty"`
	// StoreReadableFor is how long the coordinator has read the key-value service without an outage.
	StoreReadableFor time.Duration `msgpack:"r,omitempty"`
	// Estimates covers all models that requests of this host wait for.
	Estimates []ModelEstimate `msgpack:"e,omitempty"`
	// FallbackShares contains the changed fallback shares of the host by workspace. The host returns
	// SharesVersion in its reports once it has adopted them.
	FallbackShares map[entity.RateKey]float64 `msgpack:"p,omitempty"`
	SharesVersion  uint64                     `msgpack:"v,omitempty"`
}

// Kind implements Message.
func (*HostState) Kind() Kind { return KindHostState }

// ListUpdate contains the changes of the watched keys of the key-value service between two revisions. A host
// applies them to its copy of these keys. Changes that have no effect on hosts are omitted.
type ListUpdate struct {
	// From is the revision that a host must know before it applies the update; To is the revision that it
	// knows afterwards.
	From int64 `msgpack:"f"`
	To   int64 `msgpack:"t"`
	// Changes is a DEFLATE-compressed msgpack array of ListChange.
	Changes []byte `msgpack:"c"`
}

// Kind implements Message.
func (*ListUpdate) Kind() Kind { return KindListUpdate }

// ListChange is one change of a watched key.
type ListChange struct {
	Key      string `msgpack:"k"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
	Value    []byte `msgpack:"v,omitempty"`
}

// TokenDeficit is the number of tokens that one waiting request is short of at its host.
type TokenDeficit struct {
	// ID identifies the request in the TokenResponse.
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	// Upstream, if set, states that the request needs to be sent to an upstream with a request limit; a token then
	// stands for one request.
	Upstream entity.RateKey `msgpack:"u,omitempty"`
	// Tokens is the number of missing tokens.
	Tokens float64 `msgpack:"n"`
	// MaxWait is the maximum time that the request can wait for the tokens.
	MaxWait time.Duration `msgpack:"p"`
	// Rank and Aim are the rank of the request and the target latency of its route. They are known if Aim is not zero.
	Rank int           `msgpack:"k,omitempty"`
	Aim  time.Duration `msgpack:"a,omitempty"`
	// ReturnWithin is the longest time after which the caller can return if the request is refused, and Digest recognizes
	// the request then. Both are zero if they are not known.
	ReturnWithin time.Duration `msgpack:"b,omitempty"`
	Digest       uint64        `msgpack:"d,omitempty"`
	// Refused is the number of tokens of requests of the same rank and target latency that the host has refused on its
	// own since its previous TokenDeficit of them.
	Refused float64 `msgpack:"r,omitempty"`
}

// TokenRequest is a host's request for tokens to the coordinator.
type TokenRequest struct {
	Host entity.HostID `msgpack:"h"`
	// SentAt is the time of sending by the host's clock, in Unix nanoseconds.
	SentAt int64 `msgpack:"t"`
	// Deficits lists the deficits of the waiting requests.
	Deficits []TokenDeficit `msgpack:"l"`
}

// Kind implements Message.
func (*TokenRequest) Kind() Kind { return KindTokenRequest }

// TokenResponse contains the coordinator's responses to deficits of a TokenRequest. The responses to one
// TokenRequest may arrive in several messages.
type TokenResponse struct {
	Grants []TokenGrant `msgpack:"g"`
}

// Kind implements Message.
func (*TokenResponse) Kind() Kind { return KindTokenResponse }

// TokenGrant grants tokens to one request, or refuses them. The tokens come from the reserve of the workspace: the
// part of its rate that the coordinator grants to hosts on request.
type TokenGrant struct {
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Upstream  entity.RateKey     `msgpack:"u,omitempty"`
	// Tokens is the number of granted tokens. Zero is a refusal: the tokens cannot become available in time,
	// and Wait is the time after which the caller may retry.
	Tokens float64       `msgpack:"n"`
	Wait   time.Duration `msgpack:"t,omitempty"`
	// ClosedFor is set for a refusal if no new request of the same rank and target latency, and of at least as many tokens,
	// can be granted tokens before this time has passed.
	ClosedFor time.Duration `msgpack:"c,omitempty"`
}

// Announcement informs the receiver which host is the coordinator, so that the receiver need not read the key-value
// service to find out.
type Announcement struct {
	// Holder is the record of the coordinator lease that names the coordinator, in JSON. Revision is the revision
	// of this record in the key-value service. It identifies the period for which the coordinator holds the lease.
	Holder   []byte `msgpack:"h"`
	Revision int64  `msgpack:"j"`
}

// Kind implements Message.
func (*Announcement) Kind() Kind { return KindAnnouncement }

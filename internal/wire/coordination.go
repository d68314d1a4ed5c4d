package wire

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// PoolNeed is what one host wants of one model and adapter.
type PoolNeed struct {
	Service string           `msgpack:"s"`
	Model   entity.ModelID   `msgpack:"m"`
	Adapter entity.AdapterID `msgpack:"a,omitempty"`
	// Waiting counts the requests without an upstream.
	Waiting int `msgpack:"w,omitempty"`
	// Slack is the longest time left until a waiting request passes the target of its route;
	// negative when all have passed it.
	Slack time.Duration `msgpack:"l,omitempty"`
	// Arrived counts the requests since the last report of the host.
	Arrived int `msgpack:"n,omitempty"`
}

// PoolUse is the number of requests of one model and adapter that one host has at one upstream.
type PoolUse struct {
	Upstream entity.UpstreamID `msgpack:"u"`
	Model    entity.ModelID    `msgpack:"m,omitempty"`
	Adapter  entity.AdapterID  `msgpack:"a,omitempty"`
	Count    int               `msgpack:"n"`
}

// HostReport is what a host tells the coordinator about its requests. Needs, Uses and Down are complete:
// what they do not list is zero.
type HostReport struct {
	Host entity.HostID `msgpack:"h"`
	// SentAt is the sender's clock. The coordinator returns it, so that ages count by the sender's own
	// clock.
	SentAt int64      `msgpack:"t"`
	Needs  []PoolNeed `msgpack:"n"`
	Uses   []PoolUse  `msgpack:"u"`
	// Down lists the upstreams that this host could not reach just now.
	Down []entity.UpstreamID `msgpack:"o,omitempty"`
	// Revision is up to which the host knows the key-value service.
	Revision int64 `msgpack:"r,omitempty"`
	// First marks the first report of a session, which holds the fallback parts that the host uses.
	First bool                           `msgpack:"f,omitempty"`
	Parts map[entity.WorkspaceID]float64 `msgpack:"p,omitempty"`
	// PartsVersion is the newest assignment of fallback parts that the host has taken over.
	PartsVersion uint64 `msgpack:"v,omitempty"`
}

// Kind implements Message.
func (*HostReport) Kind() Kind { return KindHostReport }

// HeldModel is a model that an upstream holds with its ready adapters.
type HeldModel struct {
	Model    entity.ModelID     `msgpack:"m"`
	Adapters []entity.AdapterID `msgpack:"a,omitempty"`
}

// UpstreamState is what the coordinator knows of one upstream.
type UpstreamState struct {
	Upstream   entity.UpstreamID `msgpack:"u"`
	BornMillis int64             `msgpack:"b"`
	// Index stands for the upstream in the loads of the same coordinator.
	Index int `msgpack:"i"`
	// Held lists what can be used now.
	Held []HeldModel `msgpack:"h"`
}

// ModelEstimate says when a model can be used that no upstream serves now.
type ModelEstimate struct {
	Service string         `msgpack:"s"`
	Model   entity.ModelID `msgpack:"m"`
	ReadyIn time.Duration  `msgpack:"r"`
}

// FleetState is what the coordinator tells all hosts about the engines: what has changed since the last
// message on the same connection.
type FleetState struct {
	Coordinator entity.HostID   `msgpack:"c"`
	Upstreams   []UpstreamState `msgpack:"u,omitempty"`
	// Indexes and Running tell how many requests of all hosts run at upstreams, in pairs.
	Indexes []int `msgpack:"i,omitempty"`
	Running []int `msgpack:"r,omitempty"`
}

// Kind implements Message.
func (*FleetState) Kind() Kind { return KindFleetState }

// HostState is what the coordinator tells one host.
type HostState struct {
	// Confirmed is SentAt of a report of this host that had arrived before the coordinator began a read
	// of the key-value service. All changes that the read found and this host may lack have been sent
	// before this message; Revision is that of the read. Both are zero when nothing is confirmed.
	Confirmed int64 `msgpack:"c,omitempty"`
	Revision  int64 `msgpack:"r,omitempty"`
	// Estimates is complete for the models that this host's requests wait for.
	Estimates []ModelEstimate `msgpack:"e,omitempty"`
	// Parts are fallback parts that change, with the version to be returned.
	Parts        map[entity.WorkspaceID]float64 `msgpack:"p,omitempty"`
	PartsVersion uint64                         `msgpack:"v,omitempty"`
}

// Kind implements Message.
func (*HostState) Kind() Kind { return KindHostState }

// ListUpdate carries the changes of the key-value service between two revisions, without those that
// change nothing for hosts.
type ListUpdate struct {
	// From is the revision that a host must know to use the update, To the one that it knows then.
	From int64 `msgpack:"f"`
	To   int64 `msgpack:"t"`
	// Changes is a deflated msgpack array of ListChange.
	Changes []byte `msgpack:"c"`
}

// Kind implements Message.
func (*ListUpdate) Kind() Kind { return KindListUpdate }

// ListChange is one change of a key.
type ListChange struct {
	Key      string `msgpack:"k"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
	Value    []byte `msgpack:"v,omitempty"`
}

// TokenLack is what one waiting request lacks.
type TokenLack struct {
	// ID identifies the request in the answer.
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"n"`
	// Patience is how long the request can wait for the tokens.
	Patience time.Duration `msgpack:"p"`
}

// TokenAsk asks the coordinator for tokens.
type TokenAsk struct {
	Host entity.HostID `msgpack:"h"`
	// SentAt is the sender's clock.
	SentAt int64       `msgpack:"t"`
	Lacks  []TokenLack `msgpack:"l"`
}

// Kind implements Message.
func (*TokenAsk) Kind() Kind { return KindTokenAsk }

// TokenAnswer answers what a host has asked for, in one message or several.
type TokenAnswer struct {
	Grants []TokenGrant `msgpack:"g"`
}

// Kind implements Message.
func (*TokenAnswer) Kind() Kind { return KindTokenAnswer }

// TokenGrant is what the coordinator grants a request out of the reserve of its workspace.
type TokenGrant struct {
	ID        uint64             `msgpack:"i"`
	Workspace entity.WorkspaceID `msgpack:"w"`
	// Tokens is zero when the tokens cannot be there in time; Wait tells then when to come back.
	Tokens float64       `msgpack:"n"`
	Wait   time.Duration `msgpack:"t,omitempty"`
}

// Announcement tells a host who coordinates, so that it need not read the key-value service to learn it.
type Announcement struct {
	// Holder is the registration of the coordinator, Revision that of its term.
	Holder   []byte `msgpack:"h"`
	Revision int64  `msgpack:"r"`
}

// Kind implements Message.
func (*Announcement) Kind() Kind { return KindAnnouncement }

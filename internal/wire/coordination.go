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

// HostReport is what a host tells the coordinator about its requests. It is complete: what it
// does not list is zero.
type HostReport struct {
	Host entity.HostID `msgpack:"h"`
	// SentAt is the sender's clock; the coordinator returns it, so that the term of granted tokens
	// counts from the host's own clock.
	SentAt int64      `msgpack:"t"`
	Needs  []PoolNeed `msgpack:"n"`
	Uses   []PoolUse  `msgpack:"u"`
	// Down lists the upstreams that this host could not reach just now.
	Down []entity.UpstreamID `msgpack:"o,omitempty"`
	// Lack is the number of tokens that waiting requests lack, by workspace.
	Lack map[entity.WorkspaceID]float64 `msgpack:"d,omitempty"`
	// Lacking is the number of those requests, by workspace.
	Lacking map[entity.WorkspaceID]int `msgpack:"e,omitempty"`
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
	// Held lists what can be used now.
	Held []HeldModel `msgpack:"h"`
	// Running counts the requests of all hosts.
	Running int `msgpack:"r"`
}

// ModelEstimate says when a model can be used that no upstream serves now.
type ModelEstimate struct {
	Service string         `msgpack:"s"`
	Model   entity.ModelID `msgpack:"m"`
	ReadyIn time.Duration  `msgpack:"r"`
}

// FleetState is what the coordinator tells a host. Upstreams lists only those that have changed
// since the last message on the same connection.
type FleetState struct {
	Coordinator entity.HostID   `msgpack:"c"`
	Upstreams   []UpstreamState `msgpack:"u,omitempty"`
	Estimates   []ModelEstimate `msgpack:"e,omitempty"`
	// Leaving lists all upstreams that drain or have just left; the coordinator reads the list more
	// often than the other hosts.
	Leaving []entity.UpstreamID `msgpack:"x,omitempty"`
	// AnswerTo is SentAt of the report that this state answers, zero if none.
	AnswerTo int64 `msgpack:"t,omitempty"`
	// Grants answers the lack of tokens of that report.
	Grants []TokenGrant `msgpack:"g,omitempty"`
}

// Kind implements Message.
func (*FleetState) Kind() Kind { return KindFleetState }

// TokenGrant is what the coordinator grants a host out of the reserve of a workspace.
type TokenGrant struct {
	Workspace entity.WorkspaceID `msgpack:"w"`
	Tokens    float64            `msgpack:"n"`
	// Wait is the time until the reserve can cover one more of the requests that lack tokens, zero when
	// all was granted.
	Wait time.Duration `msgpack:"t,omitempty"`
}

package releases

import (
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
)

// Origin states at which release a stream began.
type Origin struct {
	ServiceRelease
	// Unproven is set if Release is only what an old list stated for Upstream, which may have started again at another
	// release since.
	Unproven bool
	Upstream fleet.Incarnation
}

// Listed is what the list states about an upstream.
type Listed struct {
	BornMillis int64
	Release    entity.Release
}

// Listing is what the list states about the upstreams. It is not modified after it has been passed on.
type Listing map[entity.UpstreamID]Listed

// Prove returns an unproven origin as a list proves it that is certainly newer than the begin of the stream. If the list
// states another incarnation, the stream may have begun at either release, so that its release stays unknown for ever:
// entity.ReleaseUnproven. An upstream that is not listed proves nothing.
func (o Origin) Prove(list Listing) Origin {
	if !o.Unproven {
		return o
	}
	now, listed := list[o.Upstream.ID]
	if !listed {
		return o
	}
	if now != (Listed{BornMillis: o.Upstream.BornMillis, Release: o.Release}) {
		o.Release = entity.ReleaseUnproven
	}
	o.Unproven, o.Upstream = false, fleet.Incarnation{}
	return o
}

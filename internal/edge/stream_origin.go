package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/fleet"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/releases"
)

const (
	// maxReleaseAge is the age of the view beyond which it does not prove the release of an upstream: an upstream may start
	// again at another release under the same ID and address.
	maxReleaseAge = 2 * time.Second
	// maxReleaseReads bounds the reads of releases at a time. Callers decide how many there are.
	maxReleaseReads = 16
)

var (
	// errTooManyReads reports that maxReleaseReads reads are running.
	errTooManyReads = errors.New("edge: too many reads of releases")
	// errReleaseUnknown reports that it is not known which release began a stream.
	errReleaseUnknown = errors.New("edge: release of the stream is unknown")
	// errReleaseUnproven reports that the list does not prove yet which release began a stream.
	errReleaseUnproven = errors.New("edge: release of the stream is not proven yet")
)

// pinRelease finds out which release began the stream that the caller takes up again, so that it goes on there. It returns
// a refusal if that is not known.
func (s *requestSession) pinRelease() *entity.Refusal {
	if !s.route.Resumable || s.description.LastEvent == "" {
		return nil
	}
	pool := &s.request.Pool
	release, err := s.frontend.releaseOf(s.alive, s.description.Resumes, pool.Service)
	if err == nil {
		pool.Release = release
		return nil
	}
	refusal := entity.Refusal{Status: 503, Code: string(dispatch.ReasonReleaseUnknown), Ran: entity.NotRun}
	switch {
	case errors.Is(err, errReleaseUnknown):
	case errors.Is(err, errReleaseUnproven):
		refusal.RetryAfter = s.frontend.provesListing(boottime.Now()).in
	default:
		s.frontend.log.Warn("Release of a stream not read.", "request", s.description.ID, "resumes", s.description.Resumes, "err", err)
		refusal.RetryAfter = staleRetryAfter
	}
	return &refusal
}

// releaseOf returns the release of a service that began a stream, which this host or another one has served.
func (f *frontend) releaseOf(ctx context.Context, id entity.RequestID, service catalog.ServiceID) (entity.Release, error) {
	known := f.recordedReleases(service)
	origin, own := f.streams.Origin(id, service)
	if !own {
		var err error
		if origin, err = f.readOrigin(ctx, id, service, known); err != nil {
			return "", err
		}
	}
	if own && len(known) < 2 {
		return origin.Release, nil
	}
	return f.prove(origin)
}

// prove returns the release of an origin, if it is proven or the list proves it.
func (f *frontend) prove(o releases.Origin) (entity.Release, error) {
	if o.Unproven && !f.provesListing(boottime.Now()).now {
		return "", errReleaseUnproven
	}
	if list := f.listing.Load(); list != nil {
		o = o.Prove(*list)
	}
	if o.Unproven || o.Release == entity.ReleaseUnproven {
		return "", errReleaseUnknown
	}
	return o.Release, nil
}

// viewProvesReleases reports whether the view is so new that the releases in its list are those of the upstreams.
func (f *frontend) viewProvesReleases() bool {
	age := f.viewAge(boottime.Now())
	return age >= 0 && age <= maxReleaseAge
}

// hasSeveralReleases reports whether streams of the request's service may have begun at several releases.
func (s *requestSession) hasSeveralReleases() bool {
	return len(s.frontend.recordedReleases(s.request.Pool.Service)) > 1
}

// mayContinue reports whether the request begins a stream, or goes on with one at an upstream whose release is proven, which
// it need not be while there is only one. It is checked just before the first byte is sent to an upstream.
func (s *requestSession) mayContinue(lastEvent string) bool {
	return lastEvent == "" || !s.route.Resumable || !s.hasSeveralReleases() || s.frontend.viewProvesReleases()
}

// originAt returns the origin of a stream whose first event has just arrived from an upstream.
func (s *requestSession) originAt(t *dispatch.Target) releases.Origin {
	o := releases.Origin{ServiceRelease: releases.ServiceRelease{Service: s.request.Pool.Service, Release: t.Release}}
	if s.route.Resumable && !s.frontend.viewProvesReleases() {
		o.Unproven = true
		o.Upstream = fleet.Incarnation{ID: t.ID, BornMillis: t.BornMillis}
	}
	return o
}

// releaseToContinueAt returns the release at which a stream of this request may go on: the one that is known to have begun
// it, entity.ReleaseUnproven if that is not known.
func (s *requestSession) releaseToContinueAt(o releases.Origin) entity.Release {
	if now, ok := s.frontend.streams.Origin(s.request.ID, o.Service); ok {
		o = now
	}
	if o.Unproven && s.hasSeveralReleases() {
		return entity.ReleaseUnproven
	}
	return o.Release
}

// reportStreamBegan records that the first event of a stream has arrived.
func (s *requestSession) reportStreamBegan(o releases.Origin) {
	if s.route.Resumable {
		s.frontend.streams.Begin(s.request.ID, o, boottime.Now())
	}
}

// reportStreamEnded records the end of a stream.
func (s *requestSession) reportStreamEnded(completed bool) {
	if s.route.Resumable {
		s.frontend.streams.End(s.request.ID, completed, releaseRetention(s.frontend.catalog.Load()), boottime.Now())
	}
}

// listingProof states whether the list of this host's view proves the release at which a stream began elsewhere, and if not,
// in what time it may.
type listingProof struct {
	now bool
	in  time.Duration
}

// provesListing reports whether the list is certainly that of the upstreams: the view is fresh, and upstreams that started
// again while the key-value service could not be read have written their entries meanwhile.
func (h *Host) provesListing(now time.Time) listingProof {
	readableSince := h.watcher.readableSince.Load()
	if readableSince == 0 || !h.frontend.viewProvesReleases() {
		return listingProof{in: entryReturnTime}
	}
	if readable := now.Sub(time.Unix(0, readableSince)); readable < entryReturnTime {
		return listingProof{in: entryReturnTime - readable}
	}
	return listingProof{now: true}
}

// proveStreams proves the origins of streams that began while the view of this host was old.
func (h *Host) proveStreams(now time.Time) {
	list := h.frontend.listing.Load()
	if list != nil && h.frontend.streams.HasUnproven() && h.provesListing(now).now {
		h.frontend.streams.Prove(*list, now.Add(-entryReturnTime))
	}
}

// readOrigin reads where a stream of a service began: as its record states, or at the only release of which the service has
// had upstreams lately. known are the releases that this host knows of; a view that lags may lack some.
func (h *Host) readOrigin(ctx context.Context, id entity.RequestID, service catalog.ServiceID, known []entity.Release) (releases.Origin, error) {
	if h.releaseReads.Add(1) > maxReleaseReads {
		h.releaseReads.Add(-1)
		return releases.Origin{}, errTooManyReads
	}
	defer h.releaseReads.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, h.opts.Settings.Store.Timeout.Std())
	defer cancel()
	if len(known) < 2 {
		only, err := h.readOnlyRelease(ctx, service)
		if err != nil {
			return releases.Origin{}, err
		}
		differs := func(r entity.Release) bool { return r != only.Release }
		if only.Release != "" && !slices.ContainsFunc(known, differs) {
			return releases.Origin{ServiceRelease: only}, nil
		}
	}
	return h.readStreamRecord(ctx, id, service)
}

// readStreamRecord reads the record of a stream of a service.
func (h *Host) readStreamRecord(ctx context.Context, id entity.RequestID, service catalog.ServiceID) (releases.Origin, error) {
	pair, _, err := h.opts.Store.Get(ctx, h.opts.Settings.Store.Prefix+releases.StreamKey(id))
	if err != nil {
		return releases.Origin{}, err
	}
	if pair == nil {
		return releases.Origin{}, errReleaseUnknown
	}
	o, err := releases.DecodeStream(pair.Value)
	if err != nil || o.Service != service {
		return releases.Origin{}, errReleaseUnknown
	}
	return o, nil
}

// readOnlyRelease reads the recorded releases of a service, and returns the release if there is only one.
func (h *Host) readOnlyRelease(ctx context.Context, service catalog.ServiceID) (releases.ServiceRelease, error) {
	res, err := h.opts.Store.Range(ctx, kvstore.RangeRequest{Prefix: h.opts.Settings.Store.Prefix + releases.ServicePrefix(service)})
	if err != nil || len(res.Pairs) != 1 {
		return releases.ServiceRelease{}, err
	}
	x, err := releases.Decode(res.Pairs[0].Value)
	if err != nil {
		h.log.Warn("Record of a release ignored.", "err", err)
	}
	return x, nil
}

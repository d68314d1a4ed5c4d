package edge

import (
	"context"
	"errors"
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
	// maxOriginReads bounds the reads of origins at a time. Callers decide how many there are; further ones wait.
	maxOriginReads = 16
	// maxRecordWait is how long a first event waits for the record of its stream. Another upstream may then begin it.
	maxRecordWait = time.Second
	// recordReturnTime is the time in which the records of streams are written after an outage or a restore of the key-value
	// service, and recordReturnRetryAfter is when a caller should ask again meanwhile.
	recordReturnTime       = 4 * time.Second
	recordReturnRetryAfter = time.Second
	// undecidedMargin is added to the time after which this host will know the release of a stream: the caller may ask another
	// host, which has noticed the end of an outage later.
	undecidedMargin = 500 * time.Millisecond
)

var (
	// errReleaseUnknown reports that it is not known which release began a stream.
	errReleaseUnknown = errors.New("edge: release of the stream is unknown")
	// errNoStreamRecord reports that a stream did not get its record in time.
	errNoStreamRecord = errors.New("edge: no record of the stream")
)

// releaseUndecidedError reports that it is not known yet which release began a stream, and in what time it may be.
type releaseUndecidedError struct{ retryAfter time.Duration }

// Error implements error.
func (releaseUndecidedError) Error() string { return "edge: release of the stream is not known yet" }

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
	refusal, failed := refuseUnknownRelease(err)
	if failed {
		s.frontend.log.Warn("Release of a stream not read.", "request", s.description.ID, "resumes", s.description.Resumes, "err", err)
	}
	return &refusal
}

// refuseUnknownRelease returns the refusal of a caller whose stream cannot be taken up because of an error, and whether a read
// has failed.
func refuseUnknownRelease(err error) (refusal entity.Refusal, failed bool) {
	refusal = entity.Refusal{Status: 503, Code: string(dispatch.ReasonReleaseUnknown), Ran: entity.NotRun}
	var undecided releaseUndecidedError
	switch {
	case errors.Is(err, errReleaseUnknown):
		return refusal, false
	case errors.As(err, &undecided):
		refusal.RetryAfter = undecided.retryAfter + undecidedMargin
		return refusal, false
	}
	refusal.RetryAfter = staleRetryAfter
	return refusal, true
}

// releaseOf returns the release of a service that began a stream, which this host or another one has served.
func (f *frontend) releaseOf(ctx context.Context, id entity.RequestID, service catalog.ServiceID) (entity.Release, error) {
	origin, own := f.streams.Origin(id, service)
	if own {
		return f.prove(origin)
	}
	origin, err := f.readOrigin(ctx, id, service)
	if err != nil {
		return "", err
	}
	return f.prove(origin)
}

// prove returns the release of an origin, if it is proven or the list proves it.
func (f *frontend) prove(o releases.Origin) (entity.Release, error) {
	if o.Unproven {
		if wait := f.untilListingProves(boottime.Now()); wait > 0 {
			return "", releaseUndecidedError{retryAfter: wait}
		}
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
	return s.frontend.recorded(s.request.Pool.Service).Several()
}

// mayContinue reports whether the request begins a stream, or goes on with one at an upstream whose release is proven, which
// it need not be while there is only one. It is checked just before the first byte is sent to an upstream.
func (s *requestSession) mayContinue(lastEvent string) bool {
	return lastEvent == "" || !s.route.Resumable || !s.hasSeveralReleases() || s.frontend.viewProvesReleases()
}

// originAt returns the origin of a stream whose first event has just arrived from an upstream.
func (s *requestSession) originAt(t *dispatch.Target) releases.Origin {
	o := releases.Origin{ServiceRelease: releases.ServiceRelease{Service: s.request.Pool.Service, Release: t.Release}}
	if s.route.Resumable && s.frontend.untilListingProves(boottime.Now()) > 0 {
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

// reportStreamBegan records that the first event of a stream has arrived, and waits for the record of the stream if the event
// must not be passed on before. It returns false if there is no record in time.
func (s *requestSession) reportStreamBegan(o releases.Origin) bool {
	if !s.route.Resumable {
		return true
	}
	s.frontend.streams.Begin(s.request.ID, o, boottime.Now())
	// A stream that is taken up has the record of its first attempt.
	takenUp := s.description.LastEvent != ""
	if takenUp || !s.frontend.recorded(o.Service).NeedsRecord(o.Release) {
		return true
	}
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-s.frontend.streams.Written(s.request.ID):
		return true
	case <-s.alive.Done():
	case <-timer.C:
	}
	return false
}

// reportStreamEnded records the end of a stream.
func (s *requestSession) reportStreamEnded(completed bool) {
	if s.route.Resumable {
		s.frontend.streams.End(s.request.ID, completed, releaseRetention(s.frontend.catalog.Load()), boottime.Now())
	}
}

// untilListingProves returns the time after which the list of this host's view proves the release at which a stream began, zero
// if it does now: the view is fresh, and upstreams that started again while the key-value service could not be read have
// written their entries meanwhile.
func (h *Host) untilListingProves(now time.Time) time.Duration {
	if h.watcher.readableSince.Load() == 0 || !h.frontend.viewProvesReleases() {
		return entryReturnTime
	}
	regainedAt := h.watcher.regainedAt.Load()
	if regainedAt == 0 {
		return 0
	}
	return max(entryReturnTime-now.Sub(time.Unix(0, regainedAt)), 0)
}

// proveStreams proves the origins of streams that began while the view of this host was old.
func (h *Host) proveStreams(now time.Time) {
	list := h.frontend.listing.Load()
	if list != nil && h.frontend.streams.HasUnproven() && h.untilListingProves(now) == 0 {
		h.frontend.streams.Prove(*list, now.Add(-entryReturnTime))
	}
}

// readOrigin reads where a stream of a service began: as its record states, or, if it has none, where all such streams did.
func (h *Host) readOrigin(ctx context.Context, id entity.RequestID, service catalog.ServiceID) (releases.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Settings.Store.Timeout.Std())
	defer cancel()
	select {
	case h.originReads <- struct{}{}:
		defer func() { <-h.originReads }()
	case <-ctx.Done():
		return releases.Origin{}, ctx.Err()
	}
	pair, _, err := h.opts.Store.Get(ctx, h.opts.Settings.Store.Prefix+releases.StreamKey(id))
	if err != nil {
		return releases.Origin{}, err
	}
	if pair == nil {
		return h.originWithoutRecord(ctx, service)
	}
	o, err := releases.DecodeStream(pair.Value)
	if err != nil || o.Service != service {
		return releases.Origin{}, errReleaseUnknown
	}
	return o, nil
}

// originWithoutRecord returns where the streams of a service that have no record began. The records of releases are read
// after that of the stream: a host that has begun the stream since may rely on what they state now.
func (h *Host) originWithoutRecord(ctx context.Context, service catalog.ServiceID) (releases.Origin, error) {
	res, err := h.opts.Store.Range(ctx, kvstore.RangeRequest{Prefix: h.opts.Settings.Store.Prefix + releases.ServicePrefix(service)})
	if err != nil {
		return releases.Origin{}, err
	}
	read, errs := releases.DecodeService(res.Pairs, kvstore.EraOf(res.Revision))
	for _, err := range errs {
		h.log.Warn("Record of a release ignored.", "err", err)
	}
	release, known := h.frontend.recorded(service).WithoutRecord(read)
	wait := h.untilListingProves(boottime.Now())
	switch {
	case known && read.Several() && wait > 0:
		// An upstream may have started again at another release under its ID, and this host may not know yet.
		return releases.Origin{}, releaseUndecidedError{retryAfter: wait}
	case known && read.Baseline == "" && h.restoredWithin(releases.ReturnTime, kvstore.EraOf(res.Revision), boottime.Now()):
		// The copy may lack the records of other releases.
		return releases.Origin{}, releaseUndecidedError{retryAfter: recordReturnRetryAfter}
	case known && len(errs) == 0:
	case h.recordsReturn(kvstore.EraOf(res.Revision), boottime.Now()):
		return releases.Origin{}, releaseUndecidedError{retryAfter: recordReturnRetryAfter}
	default:
		return releases.Origin{}, errReleaseUnknown
	}
	return releases.Origin{ServiceRelease: releases.ServiceRelease{Service: service, Release: release}}, nil
}

// recordsReturn reports whether the key-value service, which has been read in an era, was away or restored so lately that
// records of streams are still being written.
func (h *Host) recordsReturn(era kvstore.Era, now time.Time) bool {
	regainedAt := h.watcher.regainedAt.Load()
	regained := regainedAt != 0 && now.Sub(time.Unix(0, regainedAt)) < recordReturnTime
	return h.watcher.readableSince.Load() == 0 || regained || h.restoredWithin(recordReturnTime, era, now)
}

// restoredWithin reports whether the key-value service, which has been read in an era, was restored within the last d.
func (h *Host) restoredWithin(d time.Duration, era kvstore.Era, now time.Time) bool {
	if era > kvstore.EraOf(h.watcher.knownRevision.Load()) {
		return true
	}
	at := h.watcher.restoredAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < d
}

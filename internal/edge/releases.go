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
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/releases"
)

const (
	// streamWriteInterval is how often the records of streams are written.
	streamWriteInterval = 50 * time.Millisecond
	// releaseMargin is added to twice the longest timeout of a stream to get the time for which its release must be known.
	releaseMargin = 20 * time.Second
	// maxReleaseAge is the age of the view beyond which it does not prove the release of an upstream: an upstream may start
	// again at another release under the same ID and address.
	maxReleaseAge = 2 * time.Second
	// maxReleaseReads bounds the reads of releases at a time. Callers decide how many there are.
	maxReleaseReads = 16
	// maxReleaseRetention bounds that time. The key-value service grants no longer leases.
	maxReleaseRetention = 5 * time.Minute
)

// errTooManyReads reports that maxReleaseReads reads are running.
var errTooManyReads = errors.New("edge: too many reads of releases")

// errReleaseUnknown reports that it is not known which release began a stream.
var errReleaseUnknown = errors.New("edge: release of the stream is unknown")

// releaseRetention returns how long after its begin a stream may be continued at most.
func releaseRetention(cat *catalog.Catalog) time.Duration {
	return min(2*cat.LongestResumable()+releaseMargin, maxReleaseRetention)
}

// listReleases passes the releases of the listed upstreams of resumable routes to the table of releases.
func (c *core) listReleases(now time.Time) {
	if c.catalog == nil {
		return
	}
	listed := make(map[releases.ServiceRelease]bool)
	for _, u := range c.fleet.Rows() {
		if _, resumable := c.catalog.Resumable(u.Service); resumable {
			listed[releases.ServiceRelease{Service: u.Service, Release: u.Release}] = true
		}
	}
	c.releases.SetListed(listed, now)
}

// hasUpstreamOf reports whether an upstream of the release of a pool is listed that takes requests.
func (c *core) hasUpstreamOf(p dispatch.Pool) bool {
	for _, u := range c.fleet.Rows() {
		if u.Service == p.Service && u.Release == p.Release && !u.Draining && !c.scheduler.IsDraining(u.ID) {
			return true
		}
	}
	return false
}

// releasesChanged applies changes of the records of releases.
func (c *core) releasesChanged(e releasesChanged, now time.Time) {
	for _, err := range c.releases.Apply(e.changes, now) {
		c.log.Warn("Record of a release ignored.", "err", err)
	}
	services := c.releases.Services()
	c.effects.setReleases(services)
	c.log.Info("Releases recorded.", "releases", services)
	for id := range c.fleet.Rows() {
		c.refreshTarget(id, now)
	}
}

// writeReleases starts the writes of records of releases that are due.
func (c *core) writeReleases(now time.Time) {
	if c.catalog == nil {
		return
	}
	for _, txn := range c.releases.TakeWrites(c.effects.holdsLease(), releaseRetention(c.catalog), now) {
		c.effects.writeRelease(txn)
	}
}

// pinRelease finds out which release began the stream that the caller takes up again, so that it goes on there. It returns
// a refusal if that is not known.
func (s *requestSession) pinRelease() *entity.Refusal {
	if !s.route.Resumable || s.description.LastEvent == "" {
		return nil
	}
	f := s.frontend
	pool := &s.request.Pool
	if release, ok := f.streams.Release(s.description.Resumes, pool.Service); ok {
		pool.Release = release
		return nil
	}
	found, err := f.readRelease(s.alive, s.description.Resumes, pool.Service, f.recordedReleases(pool.Service))
	switch {
	case errors.Is(err, errReleaseUnknown):
		return &entity.Refusal{Status: 503, Code: string(dispatch.ReasonReleaseUnknown), Ran: entity.NotRun}
	case err != nil:
		f.log.Warn("Release of a stream not read.", "request", s.description.ID, "resumes", s.description.Resumes, "err", err)
		return &entity.Refusal{Status: 503, Code: string(dispatch.ReasonReleaseUnknown), Ran: entity.NotRun, RetryAfter: staleRetryAfter}
	}
	pool.Release = found.Release
	return nil
}

// recordedReleases returns the recorded releases of a service.
func (f *frontend) recordedReleases(service catalog.ServiceID) []entity.Release {
	services := f.releases.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// releaseProven reports whether the view proves the releases of the upstreams of the request's service, which it need not
// while there is only one.
func (s *requestSession) releaseProven() bool {
	if !s.route.Resumable || len(s.frontend.recordedReleases(s.request.Pool.Service)) < 2 {
		return true
	}
	age := s.frontend.viewAge(boottime.Now())
	return age >= 0 && age <= maxReleaseAge
}

// mayContinue reports whether the request begins a stream, or goes on with one at an upstream whose release is proven. It is
// checked just before the first byte is sent to an upstream.
func (s *requestSession) mayContinue(lastEvent string) bool {
	return lastEvent == "" || s.releaseProven()
}

// beganRelease returns the release that a stream is recorded to have begun at.
func (s *requestSession) beganRelease(listed entity.Release) entity.Release {
	if !s.releaseProven() {
		return entity.ReleaseUnproven
	}
	return listed
}

// reportStreamBegan records that the first event of a stream has arrived from a release.
func (s *requestSession) reportStreamBegan(release entity.Release) {
	if s.route.Resumable {
		s.frontend.streams.Begin(s.request.ID, releases.ServiceRelease{Service: s.request.Pool.Service, Release: release})
	}
}

// reportStreamEnded records the end of a stream.
func (s *requestSession) reportStreamEnded(completed bool) {
	if s.route.Resumable {
		s.frontend.streams.End(s.request.ID, completed, releaseRetention(s.frontend.catalog.Load()), boottime.Now())
	}
}

// readRelease reads which release of a service began a stream: the one in its record, or the only one of which the
// service has had upstreams lately. known are the releases that this host knows of; a view that lags may lack some.
func (h *Host) readRelease(ctx context.Context, id entity.RequestID, service catalog.ServiceID, known []entity.Release) (releases.ServiceRelease, error) {
	if h.releaseReads.Add(1) > maxReleaseReads {
		h.releaseReads.Add(-1)
		return releases.ServiceRelease{}, errTooManyReads
	}
	defer h.releaseReads.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, h.opts.Settings.Store.Timeout.Std())
	defer cancel()
	if len(known) < 2 {
		only, err := h.readOnlyRelease(ctx, service)
		if err != nil {
			return releases.ServiceRelease{}, err
		}
		differs := func(r entity.Release) bool { return r != only.Release }
		if only.Release != "" && !slices.ContainsFunc(known, differs) {
			return only, nil
		}
	}
	pair, _, err := h.opts.Store.Get(ctx, h.opts.Settings.Store.Prefix+releases.StreamKey(id))
	if err != nil {
		return releases.ServiceRelease{}, err
	}
	if pair == nil {
		return releases.ServiceRelease{}, errReleaseUnknown
	}
	x, err := releases.Decode(pair.Value)
	if err != nil || x.Service != service {
		return releases.ServiceRelease{}, errReleaseUnknown
	}
	return x, nil
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

// writeRelease implements effects.
func (h *Host) writeRelease(txn kvstore.Txn) {
	go func() {
		_, err := h.runTxn(txn)
		h.send(releaseWritten{err: err})
	}()
}

// setReleases implements effects.
func (h *Host) setReleases(services map[catalog.ServiceID][]entity.Release) {
	h.frontend.releases.Store(&services)
	h.frontend.streams.SetServices(services)
}

// writeStreams writes the records of streams until ctx ends. They belong to a lease of which a new one is taken every
// retention, so that each lasts for one to two retentions, also if this host ends.
func (h *Host) writeStreams(ctx context.Context) {
	var lease kvstore.LeaseID
	var leaseUntil time.Time
	ticker := time.NewTicker(streamWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		cat := h.frontend.catalog.Load()
		if cat == nil || !h.frontend.streams.HasWrites() {
			continue
		}
		now := boottime.Now()
		if retention := releaseRetention(cat); now.After(leaseUntil) {
			id, err := h.opts.Store.Grant(ctx, 2*retention)
			if err != nil {
				h.log.Warn("No lease for records of streams.", "err", err)
				continue
			}
			lease, leaseUntil = id, now.Add(retention)
		}
		w, ok := h.frontend.streams.TakeWrite(lease, now)
		if !ok {
			continue
		}
		if _, err := h.runTxn(kvstore.Txn{Success: w.Ops}); err != nil {
			h.log.Warn("Records of streams not written.", "err", err)
			h.frontend.streams.Failed(w)
			// The lease may have been lost.
			leaseUntil = time.Time{}
		}
	}
}

package edge

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/releases"
)

const (
	// releaseMargin is added to twice the longest timeout of a stream to get the time for which its release must be known.
	releaseMargin = 20 * time.Second
	// maxReleaseRetention bounds that time. The key-value service grants no longer leases.
	maxReleaseRetention = 5 * time.Minute
)

// releaseRetention returns how long after its begin a stream may be continued at most.
func releaseRetention(cat *catalog.Catalog) time.Duration {
	return min(2*cat.LongestResumable()+releaseMargin, maxReleaseRetention)
}

// listReleases passes the listed upstreams of resumable routes to the table of releases and to the goroutines of requests.
func (c *core) listReleases(now time.Time) {
	if c.catalog == nil {
		return
	}
	upstreams := make(map[entity.UpstreamID]releases.ServiceRelease)
	listing := make(releases.Listing)
	for _, u := range c.fleet.Rows() {
		if _, resumable := c.catalog.Resumable(u.Service); resumable {
			upstreams[u.ID] = releases.ServiceRelease{Service: u.Service, Release: u.Release}
			listing[u.ID] = releases.Listed{BornMillis: u.BornMillis, Release: u.Release}
		}
	}
	c.effects.setListing(listing)
	if c.releases.SetUpstreams(upstreams, now) {
		c.publishReleases()
	}
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
	c.publishReleases()
	c.log.Info("Releases recorded.", "releases", c.recorded)
	c.refreshTargets(now)
}

// publishReleases passes the recorded releases to the goroutines of requests.
func (c *core) publishReleases() {
	c.recorded = c.releases.Services()
	c.effects.setReleases(c.recorded)
}

// mayBegin reports whether streams may begin at a release. While the key-value service is away, none may begin where it needs
// a record first.
func (c *core) mayBegin(x releases.ServiceRelease) bool {
	service := c.recorded[x.Service]
	return slices.Contains(service.Releases, x.Release) && !(c.storeAway && service.NeedsRecord(x.Release))
}

// updateStoreAway notes whether the key-value service is away.
func (c *core) updateStoreAway(now time.Time) {
	away := c.readableSince.Load() == 0
	if away == c.storeAway {
		return
	}
	c.storeAway = away
	c.refreshTargets(now)
}

func (c *core) refreshTargets(now time.Time) {
	for id := range c.fleet.Rows() {
		c.refreshTarget(id, now)
	}
}

// writeReleases starts the writes of records of releases that are due.
func (c *core) writeReleases(now time.Time) {
	if c.catalog == nil {
		return
	}
	o := releases.WriteOptions{
		Coordinator: c.effects.holdsLease(),
		ViewIsFresh: c.effects.viewProvesReleases(),
		Retention:   releaseRetention(c.catalog),
		Era:         kvstore.EraOf(c.knownRevision.Load()),
	}
	for _, txn := range c.releases.TakeWrites(o, now) {
		c.effects.writeRelease(txn)
	}
}

// recorded returns what is recorded of the releases of a service.
func (f *frontend) recorded(service catalog.ServiceID) releases.Service {
	services := f.releases.Load()
	if services == nil {
		return releases.Service{}
	}
	return (*services)[service]
}

// writeRelease implements effects.
func (h *Host) writeRelease(txn kvstore.Txn) {
	go func() {
		_, err := h.runTxn(txn)
		h.send(releaseWritten{err: err})
	}()
}

// setReleases implements effects.
func (h *Host) setReleases(services map[catalog.ServiceID]releases.Service) {
	h.frontend.releases.Store(&services)
	h.frontend.streams.SetServices(services)
}

// viewProvesReleases implements effects.
func (h *Host) viewProvesReleases() bool { return h.frontend.viewProvesReleases() }

// setListing implements effects.
func (h *Host) setListing(list releases.Listing) { h.frontend.listing.Store(&list) }

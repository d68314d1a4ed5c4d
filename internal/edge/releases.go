package edge

import (
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

// listReleases passes the releases of the listed upstreams of resumable routes to the table of releases.
func (c *core) listReleases(now time.Time) {
	if c.catalog == nil {
		return
	}
	listed := make(map[releases.ServiceRelease]bool)
	listing := make(releases.Listing)
	for _, u := range c.fleet.Rows() {
		if _, resumable := c.catalog.Resumable(u.Service); resumable {
			listed[releases.ServiceRelease{Service: u.Service, Release: u.Release}] = true
			listing[u.ID] = releases.Listed{BornMillis: u.BornMillis, Release: u.Release}
		}
	}
	c.releases.SetListed(listed, now)
	c.effects.setListing(listing)
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

// recordedReleases returns the recorded releases of a service.
func (f *frontend) recordedReleases(service catalog.ServiceID) []entity.Release {
	services := f.releases.Load()
	if services == nil {
		return nil
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
func (h *Host) setReleases(services map[catalog.ServiceID][]entity.Release) {
	h.frontend.releases.Store(&services)
	h.frontend.streams.SetServices(services)
}

// setListing implements effects.
func (h *Host) setListing(list releases.Listing) { h.frontend.listing.Store(&list) }

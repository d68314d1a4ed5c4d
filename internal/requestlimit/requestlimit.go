// Package requestlimit keeps the request limits of upstreams. An upstream in need names in its answers how many
// requests per second it takes from all hosts together, for as long as its answers say so.
//
// A host that receives such an answer holds back at once: it sends a request to the upstream only with a request that
// the coordinator has granted, or out of its fallback share while it has no coordinator. It reports what it has
// received, and the coordinator passes the limit on to all hosts. The grants, the shares and their sum are those of
// the quota package.
//
// A lower limit takes effect as soon as one host has received it. A higher limit, or the end of a limit, takes effect
// only if it is certainly newer than all that was received before. Hosts have no common clock, so versions show the
// order: each state of a limit at the coordinator has a version, and an answer is newer than the state if its request
// was sent by a host that knew the newest version, and no host has reported the old limit since.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use; they belong to the goroutine
// that owns the control state.
package requestlimit

import (
	"math"
	"strconv"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
)

const (
	// minPerSecond is the rate of an upstream that takes no requests. A request now and then shows whether that has
	// changed.
	minPerSecond = 0.05
	// maxPerSecond bounds the limits that other processes report.
	maxPerSecond = 1e6
	// endedRetention is how long a limit that has ended is kept, so that every host learns of its end.
	endedRetention = time.Minute
	// unlistedRetention is how long the limit of an upstream that is not listed is kept: the entry of a running
	// upstream may lapse and be added again.
	unlistedRetention = 10 * time.Minute
)

// key returns the key of the rate of one incarnation of an upstream.
func key(id entity.UpstreamID, bornMillis int64) entity.RateKey {
	return entity.RateKey(string(id) + "@" + strconv.FormatInt(bornMillis, 10))
}

// validRate returns a rate that can be kept, and false if the given one is not a rate.
func validRate(perSecond float64) (float64, bool) {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return 0, false
	}
	return min(max(perSecond, minPerSecond), maxPerSecond), true
}

// limitsOf returns the limits of the quota package for a set of entries.
func limitsOf[E any](entries map[entity.UpstreamID]E, rate func(E) (entity.RateKey, float64, bool)) quota.Limits {
	limits := make(quota.Limits)
	for _, e := range entries {
		if k, perSecond, limited := rate(e); limited {
			limits[k] = quota.RequestLimit(perSecond)
		}
	}
	return limits
}

package quota

import "time"

const (
	// requestHolders is the number of hosts among which the fallback shares of a rate of requests are split. A
	// smaller share would cover no request in the time until there is a coordinator again.
	requestHolders = 2
	// minRequestBurst is the burst of a rate of requests. At a high rate it is what accrues in requestBurstTime, so that
	// the coordinator, which answers waiting hosts at its ticks, can grant the whole rate.
	minRequestBurst  = 2
	requestBurstTime = 100 * time.Millisecond
	// requestGrantTTL is how long a host keeps a granted request that it has not sent.
	requestGrantTTL = time.Second
	// refusedRequestWait is the retry time for a rate that the coordinator does not know yet.
	refusedRequestWait = 200 * time.Millisecond
)

// RequestLimit returns the limit of an upstream that takes perSecond requests per second from all hosts.
//
// In any period T, all hosts together send at most perSecond * (T + requestGrantTTL) requests, the burst, which either
// the coordinator or the hosts with a fallback share hold, and one request for each of these hosts.
func RequestLimit(perSecond float64) Limit {
	return Limit{Rate: perSecond, Burst: max(minRequestBurst, perSecond*requestBurstTime.Seconds())}
}

// division determines how a rate is divided among the hosts.
//
// The rate of a workspace is counted in tokens, of which a request needs many. A part is split evenly, the site
// tolerates an excess, and the fallback shares follow the demand.
//
// A rate of requests is so low that any part of it that every host could use on its own would exceed it in sum. So
// there are no even shares, no surplus, and requestHolders hosts have all fallback shares. Each of them may send one
// request ahead of its share while it has no coordinator, and returns it later.
type division struct {
	tolerance Tolerance
	// requests is set for a rate of requests.
	requests bool
}

// evenFraction returns the fraction of every rate that is split evenly over the hosts.
func (d division) evenFraction(hosts int) float64 {
	if d.requests {
		return 0
	}
	return evenFraction(hosts)
}

// reserveFraction returns the fraction of every rate that is not split evenly.
func (d division) reserveFraction(hosts int) float64 { return 1 - d.evenFraction(hosts) }

// maxHostShare returns the largest fallback share of one host.
func (d division) maxHostShare(hosts int) float64 {
	if d.requests {
		return 1.0 / requestHolders
	}
	return max(maxHostShare, 1/float64(max(hosts, 1)))
}

// fallbackOverdraft returns by how many tokens a host without a coordinator may go below zero, in proportion to its
// fallback share.
func (d division) fallbackOverdraft(share float64, hosts int) float64 {
	if d.requests {
		return share * requestHolders
	}
	return d.tolerance.Tokens / 2 * share / d.reserveFraction(hosts)
}

// grantTTL returns how long a host keeps granted tokens that its requests have not used.
func (d division) grantTTL() time.Duration {
	if d.requests {
		return requestGrantTTL
	}
	return hostSurplusTTL
}

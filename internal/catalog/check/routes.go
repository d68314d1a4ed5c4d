package check

import (
	"fmt"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

// matchKey is what requests are matched with. Hosts differ in more than the case of letters.
type matchKey struct{ host, prefix string }

func matchKeyOf(r *catalog.Route) matchKey { return matchKey{strings.ToLower(r.Host), r.PathPrefix} }

func (r *run) checkRoutes() {
	first := make(map[matchKey]*catalog.Route, len(r.in.Routes))
	for _, route := range r.in.Routes {
		key := matchKeyOf(route)
		if earlier, ok := first[key]; ok {
			r.warn(RouteDuplicate, Place{Route: route, Field: PathPrefix},
				fmt.Sprintf("route %s never matches: the earlier route %s has the same host and path prefix", route.Name, earlier.Name), "remove one of them")
			continue
		}
		first[key] = route
		r.checkMatch(route)
		r.checkSplit(route)
		r.checkTimes(route)
		if !route.NoKeyRequired {
			r.charged.add(route)
		}
		if route.MaxAttempts > 1 && !route.Repeatable() {
			kind := route.Kind.String()
			if route.Kind == catalog.Streaming {
				kind += ", not resumable"
			}
			r.warn(AttemptsWithoutEffect, Place{Route: route, Field: MaxAttempts},
				fmt.Sprintf("route %s allows %d attempts, but its requests run at most once (%s)", route.Name, route.MaxAttempts, kind), "set it to 1, or change the kind of the route")
		}
		if route.Resumable && route.Kind != catalog.Streaming {
			r.warn(ResumableWithoutEffect, Place{Route: route, Field: Resumable}, fmt.Sprintf("route %s is resumable, which has an effect only on streaming routes", route.Name), "remove it")
		}
	}
}

// checkMatch finds routes that no request matches. The host of a request is compared without its port, and the path
// without the query.
func (r *run) checkMatch(route *catalog.Route) {
	if strings.ContainsRune(route.Host, ':') && !strings.HasSuffix(route.Host, "]") {
		r.warn(RouteUnmatchable, Place{Route: route, Field: Host}, fmt.Sprintf("route %s never matches: its host %q has a port, and requests are matched without theirs", route.Name, route.Host), "remove the port")
	}
	if route.Host == "" {
		r.warn(RouteUnmatchable, Place{Route: route, Field: Host}, fmt.Sprintf("route %s has no host and matches only requests without a host", route.Name), "give the host")
	}
	switch prefix := route.PathPrefix; {
	case prefix != "" && prefix[0] != '/':
		r.warn(RouteUnmatchable, Place{Route: route, Field: PathPrefix}, fmt.Sprintf("route %s never matches: its path prefix %q does not start with /", route.Name, prefix), "start it with /")
	case strings.ContainsAny(prefix, "?#"):
		r.warn(RouteUnmatchable, Place{Route: route, Field: PathPrefix}, fmt.Sprintf("route %s never matches: its path prefix %q has a query or a fragment, and requests are matched without theirs", route.Name, prefix), "remove the query or the fragment")
	}
}

func (r *run) checkSplit(route *catalog.Route) {
	total := 0
	for _, w := range route.Split {
		total += w.Weight
	}
	for _, w := range route.Split {
		summary := r.routesTo[w.Service]
		if summary == nil {
			summary = &routeSummary{}
			r.routesTo[w.Service] = summary
		}
		summary.add(route)
		if r.services[w.Service] != nil {
			continue
		}
		share := "its requests"
		if len(route.Split) > 1 {
			share = fmt.Sprintf("%.3g%% of its requests", 100*float64(w.Weight)/float64(total))
		}
		r.warn(ServiceUnknown, Place{Route: route, Field: Split, Target: w.Service},
			fmt.Sprintf("route %s names service %s, which does not exist: %s are refused (503)", route.Name, w.Service, share), "check the name, or declare the service")
	}
}

func (r *run) checkTimes(route *catalog.Route) {
	if route.Timeout > 0 && route.Timeout < route.TargetLatency {
		r.warn(TimeoutBelowTarget, Place{Route: route, Field: Timeout},
			fmt.Sprintf("route %s has a timeout of %v, below its target latency of %v: it ends requests that would still be in time", route.Name, route.Timeout, route.TargetLatency), "raise the timeout or lower the target latency")
	}
	interval, ok := r.in.TargetIntervals[route]
	switch {
	case !ok || interval == 0:
	case route.Kind != catalog.Streaming:
		r.warn(IntervalWithoutEffect, Place{Route: route, Field: TargetInterval}, fmt.Sprintf("route %s has a target interval between events, which has an effect only on streaming routes", route.Name), "remove it")
	case route.Timeout > 0 && interval > route.Timeout:
		r.warn(IntervalAboveTimeout, Place{Route: route, Field: TargetInterval},
			fmt.Sprintf("route %s has a target interval of %v between events, above its timeout of %v", route.Name, interval, route.Timeout), "lower the interval or raise the timeout")
	}
}

package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// siteRun is the check of one site without errors.
type siteRun struct {
	*run
	name string
	site *config.Site
}

// warn adds a warning about a field of the merged configuration.
func (s *siteRun) warn(code Code, path, message, hint string) {
	f := Finding{Severity: Warning, Code: code, Path: path, Message: message, Hint: hint}
	if s.name != "" {
		f.Sites = []string{s.name}
	}
	s.locate(&f, s.name)
	s.findings = append(s.findings, f)
}

// all is the name that stands for all models or routes in the lists of a workspace.
const all = "*"

// checkPermissions finds models and routes that nobody may call, and workspaces that may call nothing.
func (s *siteRun) checkPermissions() {
	if len(s.site.Models)+len(s.site.Routes) == 0 {
		s.warn(ServesNothing, "", "there are neither models nor routes", "if an overlay declares them, check it with --overlay")
		return
	}
	if len(s.site.Workspaces) == 0 {
		s.warn(ServesNothing, "workspaces", "no workspace is declared: only open routes can be called", "if an overlay declares them, check it with --overlay")
		return
	}
	models, routes := map[entity.ModelID]bool{}, map[string]bool{}
	for name, w := range s.site.Workspaces {
		path := fmt.Sprintf("workspaces[%s]", name)
		if len(w.Models)+len(w.Routes) == 0 {
			s.warn(NoPermissions, path, "may call no model and no route, so that each request with its keys is refused", "list models, routes or both, or remove the workspace")
		}
		checkList(s, path+".models", w.Models)
		checkList(s, path+".routes", w.Routes)
		for _, m := range w.Models {
			models[m] = true
		}
		for i, prefix := range w.Routes {
			routes[prefix] = true
			if s.site.Routes[prefix].Open {
				s.warn(PermissionWithoutEffect, fmt.Sprintf("%s.routes[%d]", path, i), fmt.Sprintf("route %s is open: everyone may call it", prefix), "remove it from the list, or close the route")
			}
		}
	}
	for name := range s.site.Models {
		if !models[all] && !models[name] {
			s.warn(ModelNotCallable, fmt.Sprintf("models[%s]", name), "no workspace may call the model", "list it in models of a workspace, or remove it")
		}
	}
	for prefix, route := range s.site.Routes {
		if !route.Open && !routes[all] && !routes[prefix] {
			s.warn(RouteNotCallable, fmt.Sprintf("routes[%s]", prefix), "no workspace may call the route", "list it in routes of a workspace, make it open, or remove it")
		}
	}
}

// checkList warns of names beside "*".
func checkList[T ~string](s *siteRun, path string, list []T) {
	if len(list) > 1 && slices.Contains(list, all) {
		s.warn(PermissionWithoutEffect, path, `has "*" beside other names, which have no effect`, `list either "*" or names`)
	}
}

// checkRoutes finds routes that contradict the shorter route around them, or differ from another one only in case.
func (s *siteRun) checkRoutes() {
	callers := map[string][]entity.WorkspaceID{}
	for _, name := range slices.Sorted(maps.Keys(s.site.Workspaces)) {
		w := s.site.Workspaces[name]
		if slices.Contains(w.Routes, all) {
			continue
		}
		for _, prefix := range w.Routes {
			callers[prefix] = append(callers[prefix], name)
		}
	}
	folded := map[string]string{}
	for _, prefix := range slices.Sorted(maps.Keys(s.site.Routes)) {
		route, path := s.site.Routes[prefix], fmt.Sprintf("routes[%s]", prefix)
		if route.Open && route.CostTokens != 1 {
			s.warn(CostWithoutEffect, path+".cost_tokens", fmt.Sprintf("is %v, but calls of an open route are charged to no workspace", route.CostTokens), "remove it, or close the route")
		}
		if other, ok := folded[strings.ToLower(prefix)]; ok {
			s.warn(RouteDiffersInCase, path, fmt.Sprintf("differs from %s only in the case of letters; each takes only the paths that are written as it is", other), "remove one of them")
		}
		folded[strings.ToLower(prefix)] = prefix
		outer, ok := s.enclosing(prefix)
		if !ok {
			continue
		}
		around := s.site.Routes[outer]
		refused := without(callers[outer], callers[prefix])
		switch {
		case around == route && (route.Open || len(refused)+len(without(callers[prefix], callers[outer])) == 0):
			s.warn(RouteWithoutEffect, path, fmt.Sprintf("does the same as %s, which takes its paths without it", outer), "remove it")
		case !around.Open && !route.Open && len(refused) > 0:
			s.warn(RouteShadowed, path, fmt.Sprintf("takes its paths from %s, and %s may call only %s: their requests below %s are refused (route_not_allowed)", outer, names(refused), outer, prefix),
				"list the longer prefix in routes of these workspaces too, unless they must not call it")
		}
	}
}

// enclosing returns the longest other prefix of the site that matches all paths of a prefix.
func (s *siteRun) enclosing(prefix string) (string, bool) {
	for end := strings.LastIndexByte(prefix[:len(prefix)-1], '/') + 1; end > 1; end = strings.LastIndexByte(prefix[:end-1], '/') + 1 {
		if _, ok := s.site.Routes[prefix[:end]]; ok {
			return prefix[:end], true
		}
	}
	return "", false
}

// without returns the elements of sorted list a that sorted list b does not have.
func without[T cmp.Ordered](a, b []T) []T {
	var out []T
	for _, x := range a {
		if _, found := slices.BinarySearch(b, x); !found {
			out = append(out, x)
		}
	}
	return out
}

// checkLimits finds limits that contradict each other.
func (s *siteRun) checkLimits() {
	l, p := s.site.Limits, s.site.Placement
	s.checkRates()
	for name, m := range s.site.Models {
		// A host refuses a request when the expected load time is not shorter than the time left.
		if m.MinReplicas == 0 && m.ColdStartMillis >= l.InteractiveDeadlineMillis {
			who := "interactive requests"
			if m.ColdStartMillis >= l.PatientDeadlineMillis {
				who = "all requests"
			}
			s.warn(DeadlineBelowLoad, fmt.Sprintf("models[%s].cold_start_ms", name),
				fmt.Sprintf("is %d, but requests wait %d ms (limits.interactive_deadline_ms) unless they say otherwise: %s for the model are refused while it is not loaded", m.ColdStartMillis, l.InteractiveDeadlineMillis, who),
				"set min_replicas to 1 or more, or raise the deadline")
		}
	}
	if l.PatientDeadlineMillis < l.InteractiveDeadlineMillis {
		s.warn(DeadlinesInverted, "limits.patient_deadline_ms", fmt.Sprintf("is %d, below interactive_deadline_ms, which is %d", l.PatientDeadlineMillis, l.InteractiveDeadlineMillis), "patient requests are those that can wait longer")
	}
	if l.QueueBytes < int64(l.MaxBodyBytes) {
		s.warn(QueueBelowBody, "limits.queue_bytes", fmt.Sprintf("is %d, below max_body_bytes, which is %d: the largest bodies are always refused (queue_full)", l.QueueBytes, l.MaxBodyBytes), "raise queue_bytes or lower max_body_bytes")
	}
	if l.MaxBodyBytes > config.ServerBodyBytes {
		s.warn(BodyAboveServer, "limits.max_body_bytes", fmt.Sprintf("is %d, but a host reads at most %d bytes of a body", l.MaxBodyBytes, config.ServerBodyBytes), fmt.Sprintf("set it to %d or less", config.ServerBodyBytes))
	}
	if l.RetryRatio == 0 && l.MaxAttempts > 1 {
		s.warn(RetriesWithoutBudget, "limits.retry_ratio", fmt.Sprintf("is 0, so that after the first few no request is retried, but max_attempts is %d", l.MaxAttempts), "raise retry_ratio, or set max_attempts to 1")
	}
	if p.HoldMillis > p.IdleMillis {
		s.warn(HoldAboveIdle, "placement.hold_ms", fmt.Sprintf("is %d, above idle_ms, which is %d: a new replica stays loaded for hold_ms even when it is idle", p.HoldMillis, p.IdleMillis), "lower hold_ms or raise idle_ms")
	}
}

// checkRates compares the rate and the burst of each workspace with the size of one request. The burst is compared with
// the cost of routes when a configuration is compiled.
func (s *siteRun) checkRates() {
	l := s.site.Limits
	slowest := ""
	for prefix := range s.site.Routes {
		if s.slower(prefix, slowest) {
			slowest = prefix
		}
	}
	for name, w := range s.site.Workspaces {
		path := fmt.Sprintf("workspaces[%s]", name)
		// A prompt has at least one token.
		request := float64(l.MaxOutputTokens) + 1
		if len(w.Models) > 0 {
			if w.BurstTokens < request {
				s.warn(BurstBelowRequest, path+".burst_tokens", fmt.Sprintf("is %v, but a request that does not say max_tokens is charged limits.max_output_tokens, which is %d, and its prompt: it is always refused (exceeds_burst)", w.BurstTokens, l.MaxOutputTokens), "raise the burst or lower max_output_tokens")
			} else if ms := request / w.RateTokensPerSecond * 1000; ms > float64(l.InteractiveDeadlineMillis) {
				s.warn(RateBelowRequest, path+".rate_tokens_per_s", fmt.Sprintf("is %v: the %v tokens of one request that does not say max_tokens take %.0f ms, above limits.interactive_deadline_ms, which is %d", w.RateTokensPerSecond, request, ms, l.InteractiveDeadlineMillis), "raise the rate or lower max_output_tokens")
			}
		}
		route := s.slowestRoute(w, slowest)
		if r := s.site.Routes[route]; route != "" && r.CostTokens/w.RateTokensPerSecond*1000 > float64(r.TimeoutMillis) {
			s.warn(RateBelowRequest, path+".rate_tokens_per_s", fmt.Sprintf("is %v: the %v tokens of one call of %s take %.0f ms, above its timeout_ms, which is %d", w.RateTokensPerSecond, r.CostTokens, route, r.CostTokens/w.RateTokensPerSecond*1000, r.TimeoutMillis), "raise the rate, or lower the cost_tokens of the route")
		}
	}
}

// slowestRoute returns the route that the workspace may call and whose tokens take the longest in relation to its
// timeout, or "". slowest is that of all routes.
func (s *siteRun) slowestRoute(w config.Workspace, slowest string) string {
	if slices.Contains(w.Routes, all) {
		return slowest
	}
	best := ""
	for _, prefix := range w.Routes {
		if s.slower(prefix, best) {
			best = prefix
		}
	}
	return best
}

// slower reports whether the tokens of route a take longer in relation to its timeout than those of route b.
func (s *siteRun) slower(a, b string) bool {
	ra, rb := s.site.Routes[a], s.site.Routes[b]
	if ra.Open || b == "" {
		return !ra.Open
	}
	return cmp.Or(cmp.Compare(ra.CostTokens/float64(ra.TimeoutMillis), rb.CostTokens/float64(rb.TimeoutMillis)), cmp.Compare(b, a)) > 0
}

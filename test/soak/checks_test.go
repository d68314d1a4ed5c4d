package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/platform/standin"
)

// record holds what callers and upstreams observed during the run of one seed.
type record struct {
	exchanges []*exchange
	// runs holds the runs of each request at the upstreams, by request ID.
	runs map[string][]standin.Run
	// orders holds the load and unload orders that each upstream received, in the sequence of their arrival.
	orders map[string][]standin.Order
	// keyWithdrawnAt is the time at which key-2 was withdrawn. drainedAt is the time at which the upstream named
	// drained started to drain, and drainedRuns are the runs at that upstream.
	keyWithdrawnAt, drainedAt time.Time
	drained                   string
	// requestLimitFindings describes the periods in which an upstream got more requests than it had allowed.
	requestLimitFindings []string
	drainedRuns          []standin.Run
}

// findings returns one line for each violation of a guarantee.
func (r *record) findings() []string {
	var out []string
	add := func(x *exchange, format string, args ...any) {
		out = append(out, fmt.Sprintf("%s%s at %s, sent %s: ", x.kind, x.id, x.host.name, x.sent.Format("05.000"))+fmt.Sprintf(format, args...))
	}
	for _, x := range r.exchanges {
		runs := r.runs[x.id]
		switch {
		case x.status == 200 && x.err == nil && x.body != x.expectedBody():
			add(x, "wrong answer %q", x.body)
		case slices.Contains([]int{408, 421, 429, 503}, x.status) && len(runs) > 0:
			add(x, "refused with status %d, but it ran", x.status)
		}
		if x.key == "key-1" && slices.Contains([]int{400, 401, 403, 404}, x.status) {
			add(x, "its valid key was denied with %d", x.status)
		}
		if !x.repeatable() && len(runs) > 1 {
			add(x, "a request that must not run more than once ran %d times", len(runs))
		}
		if x.key == "key-2" && !r.keyWithdrawnAt.IsZero() && x.sent.After(r.keyWithdrawnAt.Add(withdrawalBound)) && len(runs) > 0 {
			add(x, "ran although it was sent %s after its key was withdrawn", x.sent.Sub(r.keyWithdrawnAt))
		}
		r.checkUnanswered(x, add)
	}
	out = append(out, r.limitFindings()...)
	out = append(out, r.orderFindings()...)
	out = append(out, r.requestLimitFindings...)
	return append(out, r.drainFindings()...)
}

// checkUnanswered reports a request that ended without a whole answer, unless its host was disturbed during the
// request. A connection that breaks before the request has run, or while the upstream has not finished its answer,
// is no violation. A graceful stop excuses a missing answer, but not the loss of an answer that the upstream has
// finished.
func (r *record) checkUnanswered(x *exchange, add func(*exchange, string, ...any)) {
	if x.err == nil {
		return
	}
	timeout := x.ended.Sub(x.sent) >= deadline+answerGrace-50*time.Millisecond
	ran := len(r.runs[x.id]) > 0
	broken := ran && !slices.ContainsFunc(r.runs[x.id], func(run standin.Run) bool { return run.Ended })
	switch {
	case timeout && !x.host.wasDisturbed(x.sent, x.ended, true):
		add(x, "no answer within its deadline")
	case !timeout && ran && !broken && !x.host.wasDisturbed(x.sent, x.ended, false):
		add(x, "its upstream finished the answer, but the connection ended before the caller had it: %v", x.err)
	}
}

// limitFindings checks the tokens of the workspace in every window of length quotaWindow that starts with a
// run. Only requests that were sent within the window count, because the others may have been admitted earlier.
func (r *record) limitFindings() []string {
	type use struct {
		sent, at time.Time
		tokens   float64
	}
	var uses []use
	for _, x := range r.exchanges {
		if runs := r.runs[x.id]; len(runs) > 0 {
			uses = append(uses, use{sent: x.sent, at: runs[0].At, tokens: x.tokens()})
		}
	}
	slices.SortFunc(uses, func(a, b use) int { return a.at.Compare(b.at) })
	allowed := (tokenRate*quotaWindow.Seconds()+tokenBurst)*(1+quotaOvershoot) + quotaTolerance
	worst := 0.0
	for i, first := range uses {
		sum := 0.0
		for _, u := range uses[i:] {
			if u.at.Sub(first.at) > quotaWindow {
				break
			}
			if !u.sent.Before(first.at) {
				sum += u.tokens
			}
		}
		worst = max(worst, sum)
	}
	if worst > allowed {
		return []string{fmt.Sprintf("%.0f tokens ran within %s, allowed are %.0f", worst, quotaWindow, allowed)}
	}
	return nil
}

// orderFindings checks at each upstream that the fencing tokens of orders never decrease, and that orders of
// different lease holders are at least orderGap apart.
func (r *record) orderFindings() []string {
	var out []string
	for id, orders := range r.orders {
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if b.FencingToken < a.FencingToken {
				out = append(out, fmt.Sprintf("%s: order with fencing token %d after %d", id, b.FencingToken, a.FencingToken))
			}
			if gap := b.At.Sub(a.At); a.LeaseHolder != b.LeaseHolder && gap < orderGap {
				out = append(out, fmt.Sprintf("%s: orders of the lease holders %s and %s are only %s apart", id, a.LeaseHolder, b.LeaseHolder, gap))
			}
		}
	}
	return out
}

// drainSettleTime is the time after which every host knows that an upstream drains, even if the host was
// disturbed in the meantime.
const drainSettleTime = drainBound + 6*time.Second

// drainFindings checks that the draining upstream received no request that was sent more than drainSettleTime
// after it started to drain.
func (r *record) drainFindings() []string {
	if r.drainedAt.IsZero() {
		return nil
	}
	sent := make(map[string]time.Time, len(r.exchanges))
	for _, x := range r.exchanges {
		sent[x.id] = x.sent
	}
	var late []string
	for _, run := range r.drainedRuns {
		if at := sent[run.ID]; at.After(r.drainedAt.Add(drainSettleTime)) {
			late = append(late, run.ID)
		}
	}
	if len(late) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s received the requests %s, which were sent too long after it was drained", r.drained, strings.Join(late, ", "))}
}

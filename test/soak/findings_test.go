package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/platform/standin"
)

// TestFindingsReportViolations guards against checks that never report anything: each record except the one named
// "no violation" violates one guarantee, and findings must report this violation.
func TestFindingsReportViolations(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	request := func(kind string, status int, body string) *exchange {
		return &exchange{id: "x", kind: kind, key: "key-1", host: &host{name: "h"}, sent: now, ended: at(time.Second), status: status, body: body}
	}
	ended := standin.Run{ID: "x", At: at(10 * time.Millisecond), Ended: true}
	for name, c := range map[string]struct {
		record record
		want   string
	}{
		"no violation":             {record{exchanges: []*exchange{request(kindOrder, 200, "answer to x")}, runs: map[string][]standin.Run{"x": {ended}}}, ""},
		"another request's answer": {record{exchanges: []*exchange{request(kindOrder, 200, "answer to y")}}, "answer \"answer to y\""},
		// The last event of the stream arrives twice.
		"doubled event":                 {record{exchanges: []*exchange{request(kindLive, 200, request(kindLive, 0, "").expectedBody()+"id: 8\ndata: part 8\n\n")}}, "answer"},
		"denied":                        {record{exchanges: []*exchange{request(kindLookup, 401, "")}}, "denied with 401"},
		"request that ran twice":        {record{exchanges: []*exchange{request(kindOrder, 200, "answer to x")}, runs: map[string][]standin.Run{"x": {ended, ended}}}, "ran 2 times"},
		"refusal of a request that ran": {record{exchanges: []*exchange{request(kindLookup, 503, "")}, runs: map[string][]standin.Run{"x": {ended}}}, "but it ran"},
		"run after its key was withdrawn": {record{keyWithdrawnAt: at(-4 * time.Second), exchanges: []*exchange{func() *exchange {
			x := request(kindLookup, 200, "answer to x")
			x.key = "key-2"
			return x
		}()}, runs: map[string][]standin.Run{"x": {ended}}}, "withdrawn"},
		"connection that ended too early": {record{exchanges: []*exchange{func() *exchange {
			x := request(kindOrder, 0, "")
			x.err = errConnectionCut
			return x
		}()}, runs: map[string][]standin.Run{"x": {ended}}}, "the connection ended"},
		"no answer": {record{exchanges: []*exchange{func() *exchange {
			x := request(kindOrder, 0, "")
			x.err, x.ended = errConnectionCut, at(deadline+answerGrace)
			return x
		}()}}, "no answer within"},
		"twice the rate":                              {record{exchanges: exchangesOverRate(now), runs: runsOverRate(now)}, "tokens ran within"},
		"two lease holders":                           {record{orders: map[string][]standin.Order{"e": {{LeaseHolder: "a", FencingToken: 1, At: now}, {LeaseHolder: "b", FencingToken: 2, At: at(time.Millisecond)}}}}, "apart"},
		"decreasing fencing token":                    {record{orders: map[string][]standin.Order{"e": {{LeaseHolder: "a", FencingToken: 2, At: now}, {LeaseHolder: "b", FencingToken: 1, At: at(time.Hour)}}}}, "token 1 after 2"},
		"more requests than the limit of an upstream": {record{requestLimitFindings: []string{"p: 13 requests, allowed 11.6"}}, "13 requests"},
		"request to a drained upstream":               {record{drained: "p", drainedAt: at(-time.Minute), exchanges: []*exchange{request(kindLookup, 200, "answer to x")}, drainedRuns: []standin.Run{ended}}, "after it was drained"},
	} {
		got := strings.Join(c.record.findings(), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: found %q, want %q", name, got, c.want)
		}
	}
}

type cutError struct{}

func (cutError) Error() string { return "cut" }

var errConnectionCut = cutError{}

// exchangesOverRate and runsOverRate return requests, and their runs, that use twice the allowed rate for
// one window.
func exchangesOverRate(now time.Time) []*exchange {
	var out []*exchange
	for i := range int(2 * tokenRate * quotaWindow.Seconds() / 150) {
		out = append(out, &exchange{id: runID(i), kind: kindLive, host: &host{name: "h"}, sent: now.Add(time.Duration(i) * time.Millisecond), status: 502})
	}
	return out
}

func runsOverRate(now time.Time) map[string][]standin.Run {
	out := make(map[string][]standin.Run)
	for i, x := range exchangesOverRate(now) {
		out[x.id] = []standin.Run{{ID: x.id, At: now.Add(time.Duration(i)*time.Millisecond + time.Microsecond)}}
	}
	return out
}

func runID(i int) string { return "r" + time.Duration(i).String() }

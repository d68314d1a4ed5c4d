package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/httphead/headtest"
)

// Guards against reports that count an answer with a malformed head as complete, or as a refusal of the target (issue 52).
func TestMalformedAnswerCountsAsFailed(t *testing.T) {
	const body = "data: [DONE]\n\n"
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			addr := headtest.Serve(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			for _, stream := range []bool{false, true} {
				r := &request{class: &RequestClass{Kind: KindPlain, Method: "GET", Path: "/x", Stream: stream}}
				res := newClient(addr, 1, time.Second).send(r, time.Now(), time.Second, false)
				if res.outcome != outcomeFailed {
					t.Errorf("stream %t: outcome %d, status %d; want that the request has failed", stream, res.outcome, res.status)
				}
			}
		})
	}
}

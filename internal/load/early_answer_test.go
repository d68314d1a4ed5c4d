package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/earlyanswer"
)

// Guards against reports that count an answer as complete whose connection was reset, also while a long request is written
// (issue 61).
func TestResetAnswerIsNotComplete(t *testing.T) {
	const part = "data: part\n\n"
	const delay = 20 * time.Millisecond
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: head + part, Ending: earlyanswer.Reset, Delay: delay})
		for _, length := range []int{0, 100_000, 4_000_000} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%.8s/%d bytes/stream %t", head, length, stream), func(t *testing.T) {
					r := &request{class: &RequestClass{Kind: KindPlain, Method: "POST", Path: "/x", Stream: stream}, body: make([]byte, length)}
					res := newClient(addr, 1, 5*time.Second).send(r, time.Now(), 5*time.Second, false)
					if res.outcome != outcomeFailed && res.outcome != outcomeIncomplete {
						t.Errorf("outcome %d, status %d; want that the request has failed", res.outcome, res.status)
					}
				})
			}
		}
	}
}

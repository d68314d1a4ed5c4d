package kvstore

import (
	"errors"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/earlyanswer"
)

// Guards against the part of a response before a reset being taken for the result of a call, also while a long request is written
// (issue 61).
func TestResetResponseHasUnknownOutcome(t *testing.T) {
	const body = `{"header":{"cluster_id":"7","revision":"3"},"succeeded":true,"ID":"5","TTL":"1"}`
	const delay = 20 * time.Millisecond
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		addr := earlyanswer.Serve(t, earlyanswer.Answer{Text: head + body, Ending: earlyanswer.Reset, Delay: delay})
		c, err := NewClient(Options{Endpoints: []string{addr}, Timeout: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		for _, length := range []int{0, 100_000, 4_000_000} {
			if _, err := c.Txn(t.Context(), Txn{Success: []Op{Put("k", make([]byte, length))}}); !errors.Is(err, ErrUnknown) {
				t.Errorf("transaction with %d bytes: error %v, want an unknown outcome", length, err)
			}
		}
		if _, err := c.Grant(t.Context(), time.Second); !errors.Is(err, ErrUnknown) {
			t.Errorf("grant: error %v, want an unknown outcome", err)
		}
		if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("get: error %v, want that the service is unavailable", err)
		}
		if err := c.Watch(t.Context(), "k", 1, func(WatchBatch) error { return nil }); !errors.Is(err, ErrUnavailable) {
			t.Errorf("watch: error %v, want that the service is unavailable", err)
		}
	}
}

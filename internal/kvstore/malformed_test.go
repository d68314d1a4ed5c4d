package kvstore

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/httphead/headtest"
)

// Guards against a response with a malformed head being taken for the result of a call, or for proof that a write had no effect
// (issue 52).
func TestMalformedResponseHasUnknownOutcome(t *testing.T) {
	const body = `{"header":{"cluster_id":"7","revision":"3"},"succeeded":true,"ID":"5","TTL":"1"}`
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			addr := headtest.Serve(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			c, err := NewClient(Options{Endpoints: []string{addr}, Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Txn(t.Context(), Txn{Success: []Op{Put("k", nil)}}); !errors.Is(err, ErrUnknown) {
				t.Errorf("transaction: error %v, want an unknown outcome", err)
			}
			if _, err := c.Grant(t.Context(), time.Second); !errors.Is(err, ErrUnknown) {
				t.Errorf("grant: error %v, want an unknown outcome", err)
			}
			if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("get: error %v, want that the service is unavailable", err)
			}
		})
	}
}

// Guards against batches of a watch whose response has a malformed head (issue 52).
func TestMalformedResponseHasNoWatchBatches(t *testing.T) {
	const batch = `{"result":{"header":{"cluster_id":"7","revision":"3"},"created":true,"events":[{"type":"DELETE","kv":{"key":"a2V5"}}]}}`
	for name, head := range headtest.Malformed {
		t.Run(name, func(t *testing.T) {
			addr := headtest.Serve(t, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(batch), batch))
			c, err := NewClient(Options{Endpoints: []string{addr}, Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			err = c.Watch(t.Context(), "k", 1, func(b WatchBatch) error {
				t.Errorf("batch %+v", b)
				return nil
			})
			if !errors.Is(err, ErrUnavailable) {
				t.Errorf("error %v, want that the service is unavailable", err)
			}
		})
	}
}

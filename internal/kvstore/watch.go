package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	gw "github.com/foxtailpass/foxtailpass/internal/kvstore/gatewayjson"
)

// watchConn holds the connection of one watch, so that it can be closed at any time. Closing the connection is
// the only way to interrupt a blocked read of a streamed body without a data race.
type watchConn struct {
	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

// set stores the connection, or closes it and returns an error if the watch has been closed already.
func (w *watchConn) set(c net.Conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = c.Close()
		return net.ErrClosed
	}
	w.conn = c
	return nil
}

func (w *watchConn) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

// Watch implements KV. If the service does not confirm the watch within Options.Timeout, the watch ends. After the
// confirmation, reads have no timeout, because a watch without changes receives nothing.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision int64, fn func(WatchBatch) error) error {
	start := time.Now()
	c.counts.Add(CallWatch)
	err := c.watch(ctx, prefix, fromRevision, fn)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if c.opt.OnCall != nil {
		c.opt.OnCall(CallWatch, time.Since(start), err)
	}
	return err
}

func (c *Client) watch(ctx context.Context, prefix string, fromRevision int64, fn func(WatchBatch) error) error {
	n := c.preferred.Load()
	e := c.endpoints[n%uint32(len(c.endpoints))]
	var wc watchConn
	defer wc.close()
	defer context.AfterFunc(ctx, wc.close)()
	confirmTimer := time.AfterFunc(c.opt.Timeout, wc.close)
	defer confirmTimer.Stop()

	client := fasthttp.Client{
		StreamResponseBody: true,
		// The library must not retry the request, because batches would be delivered twice.
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dial(addr)
			if err != nil {
				return nil, err
			}
			return conn, wc.set(conn)
		},
	}
	defer client.CloseIdleConnections()
	body, err := json.Marshal(c.watchRequest(prefix, fromRevision))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	preparePost(req, e.Addr, gw.PathWatch, body)
	if err := client.Do(req, resp); err != nil {
		// The next watch starts at another endpoint.
		c.preferred.CompareAndSwap(n, (n+1)%uint32(len(c.endpoints)))
		return fmt.Errorf("%w: watch: %w", ErrUnavailable, err)
	}
	stream := resp.BodyStream()
	if resp.StatusCode() != fasthttp.StatusOK || stream == nil {
		return statusError(CallWatch, resp.StatusCode(), resp.Body())
	}
	return c.readWatch(stream, confirmTimer, fn)
}

func (c *Client) watchRequest(prefix string, fromRevision int64) gw.WatchRequest {
	full := c.opt.Prefix + prefix
	return gw.WatchRequest{Create: gw.WatchCreate{
		Key:            []byte(full),
		RangeEnd:       gw.PrefixEnd(full),
		StartRevision:  fromRevision,
		ProgressNotify: true,
	}}
}

// readWatch passes the batches of a watch stream to fn until the stream ends or fn returns an error. It stops
// confirmTimer when the first message has been received.
func (c *Client) readWatch(stream io.Reader, confirmTimer *time.Timer, fn func(WatchBatch) error) error {
	dec := json.NewDecoder(stream)
	for {
		var m gw.WatchResponse
		if err := dec.Decode(&m); err != nil {
			return fmt.Errorf("%w: watch broken: %w", ErrUnavailable, err)
		}
		if m.Error != nil {
			return gatewayError(CallWatch, fasthttp.StatusInternalServerError, m.Error)
		}
		confirmTimer.Stop()
		r := &m.Result
		if r.CompactRevision > 0 {
			return ErrCompacted
		}
		if r.Canceled {
			return fmt.Errorf("%w: watch canceled: %s", ErrUnavailable, r.CancelReason)
		}
		if r.Created && len(r.Events) == 0 {
			// This message confirms the watch. Its header contains the current store revision, but it is not a
			// progress notification: events up to that revision may still follow.
			continue
		}
		if err := fn(c.toWatchBatch(r)); err != nil {
			return err
		}
	}
}

func (c *Client) toWatchBatch(r *gw.WatchResult) WatchBatch {
	b := WatchBatch{Revision: r.Header.Revision, ClusterID: r.Header.ClusterID}
	for i := range r.Events {
		e := &r.Events[i]
		b.Events = append(b.Events, Event{Deleted: e.Type == "DELETE", Pair: c.toPair(&e.Kv)})
	}
	return b
}

package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/httphead"
	gw "github.com/foxtailpass/foxtailpass/internal/kvstore/gatewayjson"
)

// ErrRejected means that the service permanently refused the call, for example because a value is too large.
// The call had no effect, and repeating it unchanged is useless.
var ErrRejected = errors.New("kvstore: call rejected")

// errNotSent marks failures that happened before any byte of the request was sent.
var errNotSent = errors.New("not sent")

// Defaults of Options.
const (
	// DefaultTimeout is two orders of magnitude above the usual response time of the service. It is short
	// enough that a host can repeat a poll before its copy of the keys is older than the limit of 2 s.
	DefaultTimeout = time.Second
	// DefaultMaxConns bounds the number of connections to one endpoint.
	DefaultMaxConns = 32
	// idleConnTimeout is below the common idle timeouts of servers, so that a request is rarely sent on a
	// connection that the server is closing. The outcome of a write on such a connection is unknown.
	idleConnTimeout = 10 * time.Second
	// maxResponseBytes bounds the size of a response. A full view of 10,000 keys is a few MiB.
	maxResponseBytes = 256 << 20
)

// Options configures a Client.
type Options struct {
	// Endpoints are the addresses of the service, as host:port or http://host:port; at least one.
	Endpoints []string
	// Timeout bounds one attempt at one endpoint. Default DefaultTimeout.
	Timeout time.Duration
	// Prefix is added to all keys that are sent and stripped from all keys that are returned.
	Prefix string
	// MaxConns bounds the number of connections per endpoint. Default DefaultMaxConns.
	MaxConns int
	// OnCall, if set, is called after each call with its total duration and its error. For a watch, it is
	// called when the stream ends. It must be fast and safe for concurrent use.
	OnCall func(kind CallKind, d time.Duration, err error)
}

// Client implements KV over the etcd v3 JSON gateway. Every method respects the deadline of its context.
// Canceling the context ends a Watch at any time, but other calls only before their request is sent.
type Client struct {
	opt       Options
	endpoints []*fasthttp.HostClient
	// preferred is the index of the endpoint that calls try first.
	preferred atomic.Uint32
	counts    Counts
}

var _ KV = (*Client)(nil)

// NewClient returns a client that connects to the endpoints on first use.
func NewClient(opt Options) (*Client, error) {
	if len(opt.Endpoints) == 0 {
		return nil, errors.New("kvstore: no endpoints")
	}
	if opt.Timeout <= 0 {
		opt.Timeout = DefaultTimeout
	}
	if opt.MaxConns <= 0 {
		opt.MaxConns = DefaultMaxConns
	}
	c := &Client{opt: opt}
	for _, e := range opt.Endpoints {
		addr := strings.TrimSuffix(strings.TrimPrefix(e, "http://"), "/")
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("kvstore: endpoint %q: %w", e, err)
		}
		c.endpoints = append(c.endpoints, c.newHostClient(addr))
	}
	return c, nil
}

func (c *Client) newHostClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                addr,
		MaxConns:            c.opt.MaxConns,
		MaxConnWaitTimeout:  c.opt.Timeout,
		MaxIdleConnDuration: idleConnTimeout,
		MaxResponseBodySize: maxResponseBytes,
		// The library must not retry, because a write must never be sent twice.
		MaxIdemponentCallAttempts: 1,
		Dial:                      c.dial,
	}
}

// dial returns a connection that accepts only responses with a well-formed head: the outcome of a call with another response is
// unknown. It marks its errors with errNotSent, because nothing has been sent when the connection fails.
func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, c.opt.Timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return httphead.NewConn(conn), nil
}

// Counts returns the counters of attempts. A call that is attempted at two endpoints is counted twice.
func (c *Client) Counts() *Counts { return &c.counts }

// Close closes idle connections.
func (c *Client) Close() {
	for _, e := range c.endpoints {
		e.CloseIdleConnections()
	}
}

// call runs a call that has a single response, and reports it to OnCall.
func (c *Client) call(ctx context.Context, kind CallKind, path string, in, out any) error {
	start := time.Now()
	err := c.tryEndpoints(ctx, kind, path, in, out)
	if c.opt.OnCall != nil {
		c.opt.OnCall(kind, time.Since(start), err)
	}
	return err
}

// tryEndpoints attempts a call at one endpoint after the other, starting with the preferred one. After a failed attempt
// it tries the next endpoint only if repeating the call is safe: nothing was sent, or the call is a read.
func (c *Client) tryEndpoints(ctx context.Context, kind CallKind, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	first := c.preferred.Load()
	for i := range c.endpoints {
		if ctx.Err() != nil {
			if err == nil {
				err = fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
			}
			return err
		}
		n := (first + uint32(i)) % uint32(len(c.endpoints))
		var retry bool
		retry, err = c.attempt(ctx, kind, c.endpoints[n], path, body, out)
		if !retry {
			if err == nil && i > 0 {
				c.preferred.Store(n)
			}
			return err
		}
	}
	return err
}

// attempt runs the call at one endpoint. If it fails, retry reports whether the next endpoint may be tried.
func (c *Client) attempt(ctx context.Context, kind CallKind, e *fasthttp.HostClient, path string, body []byte, out any) (retry bool, err error) {
	c.counts.Add(kind)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	preparePost(req, e.Addr, path, body)
	deadline := time.Now().Add(c.opt.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := e.DoDeadline(req, resp, deadline); err != nil {
		return transportError(kind, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		err := statusError(kind, resp.StatusCode(), resp.Body())
		return !kind.IsWrite() && resp.StatusCode() >= 500, err
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return !kind.IsWrite(), fmt.Errorf("%w: response cannot be decoded: %w", unknownOutcomeError(kind), err)
	}
	return false, nil
}

func preparePost(req *fasthttp.Request, addr, path string, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

// unknownOutcomeError returns the error for a sent call whose outcome is not known. It is ErrUnavailable for a
// read, because a read has no effect.
func unknownOutcomeError(kind CallKind) error {
	if kind.IsWrite() {
		return ErrUnknown
	}
	return ErrUnavailable
}

// transportError converts an error of the HTTP client to an error of this package. retry reports whether the next
// endpoint may be tried.
func transportError(kind CallKind, err error) (retry bool, _ error) {
	if errors.Is(err, errNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return !kind.IsWrite(), fmt.Errorf("%w: %w", unknownOutcomeError(kind), err)
}

// statusError converts a response with a status other than 200 to an error of this package.
func statusError(kind CallKind, status int, body []byte) error {
	var e gw.Error
	// If the body is not JSON, the message stays empty and the status alone determines the error.
	_ = json.Unmarshal(body, &e)
	return gatewayError(kind, status, &e)
}

// gatewayError converts an error of the gateway to an error of this package. A write certainly had no effect only if
// the service refused it before proposing it to its replicas. The service can also report an error afterwards, for
// example "request timed out"; the outcome is then unknown.
func gatewayError(kind CallKind, status int, e *gw.Error) error {
	text := e.Text()
	switch {
	case strings.Contains(text, "lease not found"):
		return ErrLeaseNotFound
	case e.Code == gw.CodeOutOfRange && strings.Contains(text, "compacted"):
		return ErrCompacted
	case status == fasthttp.StatusTooManyRequests, e.Code == gw.CodeResourceExhausted, text == gw.MessageNoLeader:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, text)
	case status >= 400 && status < 500 && status != fasthttp.StatusRequestTimeout:
		return fmt.Errorf("%w: status %d: %s", ErrRejected, status, text)
	}
	return fmt.Errorf("%w: status %d: %s", unknownOutcomeError(kind), status, text)
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (*Pair, int64, error) {
	var out gw.RangeResponse
	in := gw.RangeRequest{Key: []byte(c.opt.Prefix + key)}
	if err := c.call(ctx, CallRange, gw.PathRange, in, &out); err != nil {
		return nil, 0, err
	}
	if len(out.Kvs) == 0 {
		return nil, out.Header.Revision, nil
	}
	p := c.toPair(&out.Kvs[0])
	return &p, out.Header.Revision, nil
}

// Range implements KV.
func (c *Client) Range(ctx context.Context, r RangeRequest) (RangeResult, error) {
	var out gw.RangeResponse
	prefix := c.opt.Prefix + r.Prefix
	if r.Prefix == "" {
		return RangeResult{}, fmt.Errorf("%w: empty prefix", ErrRejected)
	}
	in := gw.RangeRequest{
		Key:            []byte(prefix),
		RangeEnd:       gw.PrefixEnd(prefix),
		Limit:          r.Limit,
		MinModRevision: r.MinModRevision,
		KeysOnly:       r.KeysOnly,
		Serializable:   r.Serializable,
	}
	if err := c.call(ctx, CallRange, gw.PathRange, in, &out); err != nil {
		return RangeResult{}, err
	}
	res := RangeResult{Revision: out.Header.Revision, ClusterID: out.Header.ClusterID, More: out.More}
	for i := range out.Kvs {
		res.Pairs = append(res.Pairs, c.toPair(&out.Kvs[i]))
	}
	return res, nil
}

// Txn implements KV.
func (c *Client) Txn(ctx context.Context, t Txn) (TxnResult, error) {
	var in gw.TxnRequest
	for _, cmp := range t.Compares {
		in.Compare = append(in.Compare, c.toCompare(cmp))
	}
	in.Success = c.ops(t.Success)
	in.Failure = c.ops(t.Failure)
	var out gw.TxnResponse
	if err := c.call(ctx, CallTxn, gw.PathTxn, in, &out); err != nil {
		return TxnResult{}, err
	}
	res := TxnResult{Succeeded: out.Succeeded, Revision: out.Header.Revision}
	for _, r := range out.Responses {
		if r.Range == nil {
			continue
		}
		var p *Pair
		if len(r.Range.Kvs) > 0 {
			v := c.toPair(&r.Range.Kvs[0])
			p = &v
		}
		res.Gets = append(res.Gets, p)
	}
	return res, nil
}

// toCompare converts a condition to the form of the gateway and adds the prefix to its key.
func (c *Client) toCompare(cmp Compare) gw.Compare {
	out := gw.Compare{Result: "EQUAL", Key: []byte(c.opt.Prefix + cmp.Key)}
	switch cmp.Target {
	case CompareModRevision:
		out.Target, out.ModRevision = "MOD", cmp.Value
	case CompareCreateRevision:
		out.Target, out.CreateRevision = "CREATE", cmp.Value
	case CompareVersion:
		out.Target, out.Version = "VERSION", cmp.Value
	}
	return out
}

// ops converts operations to the form of the gateway and adds the prefix to their keys.
func (c *Client) ops(ops []Op) []gw.RequestOp {
	var out []gw.RequestOp
	for _, op := range ops {
		key := []byte(c.opt.Prefix + op.Key)
		switch op.Kind {
		case OpPut:
			out = append(out, gw.RequestOp{Put: &gw.PutRequest{Key: key, Value: op.Value, Lease: int64(op.Lease)}})
		case OpDelete:
			out = append(out, gw.RequestOp{Delete: &gw.DeleteRangeRequest{Key: key}})
		case OpGet:
			out = append(out, gw.RequestOp{Range: &gw.RangeRequest{Key: key}})
		}
	}
	return out
}

// Grant implements KV. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out gw.LeaseResponse
	in := gw.LeaseRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	if err := c.call(ctx, CallGrant, gw.PathGrant, in, &out); err != nil {
		return 0, err
	}
	if out.ID == 0 {
		return 0, fmt.Errorf("%w: grant without lease ID", ErrUnknown)
	}
	return LeaseID(out.ID), nil
}

// KeepAlive implements KV.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var out gw.KeepAliveResponse
	in := gw.LeaseRequest{ID: int64(id)}
	if err := c.call(ctx, CallKeepAlive, gw.PathKeepAlive, in, &out); err != nil {
		return 0, err
	}
	if out.Error != nil {
		return 0, gatewayError(CallKeepAlive, fasthttp.StatusInternalServerError, out.Error)
	}
	if out.Result.TTL <= 0 {
		return 0, ErrLeaseNotFound
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// Revoke implements KV.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, CallRevoke, gw.PathRevoke, gw.LeaseRequest{ID: int64(id)}, &gw.LeaseResponse{})
}

// toPair converts a pair from the form of the gateway and removes the prefix from its key.
func (c *Client) toPair(kv *gw.KeyValue) Pair {
	return Pair{
		Key:            strings.TrimPrefix(string(kv.Key), c.opt.Prefix),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Version:        kv.Version,
		Lease:          LeaseID(kv.Lease),
	}
}

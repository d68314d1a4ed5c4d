package kv

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	gw "github.com/foxtailpass/foxtailpass/internal/kvstore/gatewayjson"
)

const (
	// PathFaults accepts a Control as JSON by POST. The answer is the active Faults.
	PathFaults = "/standin/faults"
	// PathCounts answers with the number of received calls by kind.
	PathCounts = "/standin/counts"
	// maxRequestBytes is above the size in base64 of the largest transaction that etcd accepts by default,
	// 1.5 MiB.
	maxRequestBytes = 4 << 20
	// writeTimeout ends a watch whose client has stopped reading.
	writeTimeout = 10 * time.Second
	// shutdownTimeout limits the duration of Close, because a fault may still delay unary calls.
	shutdownTimeout = time.Second
)

// Control is the body of a POST to PathFaults. If Faults is given, it replaces all active faults. The other
// fields act once. Keys are full keys, including the prefix of the installation.
type Control struct {
	Faults *Faults `json:"faults"`
	// ExpireLease expires the lease with this ID.
	ExpireLease int64 `json:"expire_lease"`
	// ExpireKey expires the lease that this key is bound to.
	ExpireKey string `json:"expire_key"`
	// Compact drops the history up to this revision.
	Compact int64 `json:"compact"`
	// BreakWatches ends all running watches.
	BreakWatches bool `json:"break_watches"`
	// ClusterID changes the cluster ID unless it is zero.
	ClusterID uint64 `json:"cluster_id"`
}

// Server serves a Store over the etcd v3 JSON gateway protocol and over the control paths. If a fault loses
// an answer, the server closes the connection.
type Server struct {
	store  *Store
	http   *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewServer returns a server over the store.
func NewServer(store *Store) *Server {
	s := &Server{store: store}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		MaxRequestBodySize: maxRequestBytes,
		CloseOnShutdown:    true,
		// Without KeepHijackedConns, closing a hijacked connection in its handler has no effect.
		KeepHijackedConns: true,
		Logger:            discard{},
	}
	return s
}

// discard drops the log lines of the HTTP library, because faults close connections on purpose and each would
// be logged.
type discard struct{}

func (discard) Printf(string, ...any) {}

// Serve serves on the listener until Close is called. Meanwhile it also expires leases.
func (s *Server) Serve(ln net.Listener) error {
	s.wg.Go(func() { s.store.Run(s.ctx) })
	return s.http.Serve(ln)
}

// Close closes the listeners, ends all watches and waits until they have ended.
func (s *Server) Close() error {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	s.wg.Wait()
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case gw.PathRange:
		handleUnary(s, ctx, s.rangeKeys)
	case gw.PathTxn:
		handleUnary(s, ctx, s.txn)
	case gw.PathGrant:
		handleUnary(s, ctx, s.grant)
	case gw.PathKeepAlive:
		handleUnary(s, ctx, s.keepAlive)
	case gw.PathRevoke:
		handleUnary(s, ctx, s.revoke)
	case gw.PathWatch:
		s.watch(ctx)
	case PathFaults:
		s.handleControl(ctx)
	case PathCounts:
		writeJSON(ctx, s.store.Counts().Map())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleUnary decodes the request, calls f and writes its result or its error.
func handleUnary[In, Out any](s *Server, ctx *fasthttp.RequestCtx, f func(context.Context, *In) (*Out, error)) {
	var in In
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeError(ctx, fmt.Errorf("%w: %w", kvstore.ErrRejected, err))
		return
	}
	out, err := f(s.ctx, &in)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, out)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	status, e := fasthttp.StatusServiceUnavailable, gw.Error{Error: err.Error(), Code: gw.CodeUnavailable}
	switch {
	case errors.Is(err, errNoAnswer):
		_ = ctx.Conn().Close()
		return
	case errors.Is(err, errRateLimited):
		status, e = fasthttp.StatusTooManyRequests, gw.Error{Error: gw.MessageTooManyRequests, Code: gw.CodeResourceExhausted}
	case errors.Is(err, errRefused):
		e.Error = gw.MessageNoLeader
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		status, e = fasthttp.StatusNotFound, gw.Error{Error: gw.MessageLeaseNotFound, Code: gw.CodeNotFound}
	case errors.Is(err, kvstore.ErrRejected):
		status, e.Code = fasthttp.StatusBadRequest, gw.CodeInvalidArgument
	}
	e.Message = e.Error
	writeJSON(ctx, e)
	ctx.SetStatusCode(status)
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	var c Control
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fmt.Errorf("%w: %w", kvstore.ErrRejected, err))
		return
	}
	if c.Faults != nil {
		s.store.SetFaults(*c.Faults)
	}
	if c.ExpireLease != 0 {
		s.store.ExpireLease(kvstore.LeaseID(c.ExpireLease))
	}
	if c.ExpireKey != "" {
		s.store.ExpireKey(c.ExpireKey)
	}
	if c.Compact != 0 {
		s.store.Compact(c.Compact)
	}
	if c.BreakWatches {
		s.store.BreakWatches()
	}
	if c.ClusterID != 0 {
		s.store.SetClusterID(c.ClusterID)
	}
	writeJSON(ctx, s.store.Faults())
}

// header returns an answer header with the given revision, or with the current one if revision is zero.
func (s *Server) header(revision int64) gw.Header {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if revision == 0 {
		revision = s.store.state.revision
	}
	return gw.Header{ClusterID: s.store.opt.ClusterID, MemberID: 1, Revision: revision}
}

func (s *Server) rangeKeys(ctx context.Context, in *gw.RangeRequest) (*gw.RangeResponse, error) {
	if len(in.RangeEnd) == 0 {
		p, rev, err := s.store.Get(ctx, string(in.Key))
		if err != nil {
			return nil, err
		}
		return singleKeyResponse(s.header(rev), p), nil
	}
	if string(in.RangeEnd) != string(gw.PrefixEnd(string(in.Key))) {
		return nil, fmt.Errorf("%w: only prefix ranges are supported", kvstore.ErrRejected)
	}
	res, err := s.store.Range(ctx, kvstore.RangeRequest{
		Prefix:         string(in.Key),
		MinModRevision: in.MinModRevision,
		Limit:          in.Limit,
		KeysOnly:       in.KeysOnly,
		Serializable:   in.Serializable,
	})
	if err != nil {
		return nil, err
	}
	out := &gw.RangeResponse{Header: s.header(res.Revision), More: res.More, Count: int64(len(res.Pairs))}
	out.Header.ClusterID = res.ClusterID
	for i := range res.Pairs {
		out.Kvs = append(out.Kvs, convertPair(&res.Pairs[i]))
	}
	return out, nil
}

// singleKeyResponse returns the answer to a read of one key. The pair is nil if the key does not exist.
func singleKeyResponse(h gw.Header, p *kvstore.Pair) *gw.RangeResponse {
	out := &gw.RangeResponse{Header: h}
	if p != nil {
		out.Kvs = []gw.KeyValue{convertPair(p)}
		out.Count = 1
	}
	return out
}

func convertPair(p *kvstore.Pair) gw.KeyValue {
	return gw.KeyValue{
		Key:            []byte(p.Key),
		Value:          p.Value,
		CreateRevision: p.CreateRevision,
		ModRevision:    p.ModRevision,
		Version:        p.Version,
		Lease:          int64(p.Lease),
	}
}

func (s *Server) txn(ctx context.Context, in *gw.TxnRequest) (*gw.TxnResponse, error) {
	var t kvstore.Txn
	for _, c := range in.Compare {
		cmp, err := convertCompare(c)
		if err != nil {
			return nil, err
		}
		t.Compares = append(t.Compares, cmp)
	}
	t.Success = convertOps(in.Success)
	t.Failure = convertOps(in.Failure)
	res, err := s.store.Txn(ctx, t)
	if err != nil {
		return nil, err
	}
	out := &gw.TxnResponse{Header: s.header(res.Revision), Succeeded: res.Succeeded}
	executed := t.Failure
	if res.Succeeded {
		executed = t.Success
	}
	gets := res.Gets
	for _, op := range executed {
		switch op.Kind {
		case kvstore.OpGet:
			out.Responses = append(out.Responses, gw.ResponseOp{Range: singleKeyResponse(out.Header, gets[0])})
			gets = gets[1:]
		case kvstore.OpPut:
			out.Responses = append(out.Responses, gw.ResponseOp{Put: &struct{}{}})
		case kvstore.OpDelete:
			out.Responses = append(out.Responses, gw.ResponseOp{Delete: &struct{}{}})
		}
	}
	return out, nil
}

func convertCompare(c gw.Compare) (kvstore.Compare, error) {
	out := kvstore.Compare{Key: string(c.Key)}
	if c.Result != "EQUAL" {
		return out, fmt.Errorf("%w: compare result %q is not supported", kvstore.ErrRejected, c.Result)
	}
	switch c.Target {
	case "MOD":
		out.Target, out.Value = kvstore.CompareModRevision, c.ModRevision
	case "CREATE":
		out.Target, out.Value = kvstore.CompareCreateRevision, c.CreateRevision
	case "VERSION":
		out.Target, out.Value = kvstore.CompareVersion, c.Version
	default:
		return out, fmt.Errorf("%w: compare target %q is not supported", kvstore.ErrRejected, c.Target)
	}
	return out, nil
}

func convertOps(in []gw.RequestOp) []kvstore.Op {
	var out []kvstore.Op
	for _, op := range in {
		switch {
		case op.Put != nil:
			out = append(out, kvstore.PutLeased(string(op.Put.Key), op.Put.Value, kvstore.LeaseID(op.Put.Lease)))
		case op.Delete != nil:
			out = append(out, kvstore.Op{Kind: kvstore.OpDelete, Key: string(op.Delete.Key)})
		case op.Range != nil:
			out = append(out, kvstore.Op{Kind: kvstore.OpGet, Key: string(op.Range.Key)})
		}
	}
	return out
}

func (s *Server) grant(ctx context.Context, in *gw.LeaseRequest) (*gw.LeaseResponse, error) {
	id, err := s.store.Grant(ctx, time.Duration(in.TTL)*time.Second)
	if err != nil {
		return nil, err
	}
	return &gw.LeaseResponse{Header: s.header(0), ID: int64(id), TTL: in.TTL}, nil
}

// keepAlive answers an unknown lease with a TTL of zero, as etcd does.
func (s *Server) keepAlive(ctx context.Context, in *gw.LeaseRequest) (*gw.KeepAliveResponse, error) {
	ttl, err := s.store.KeepAlive(ctx, kvstore.LeaseID(in.ID))
	if err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return nil, err
	}
	res := gw.LeaseResponse{Header: s.header(0), ID: in.ID, TTL: int64(ttl / time.Second)}
	return &gw.KeepAliveResponse{Result: res}, nil
}

func (s *Server) revoke(ctx context.Context, in *gw.LeaseRequest) (*gw.LeaseResponse, error) {
	if err := s.store.Revoke(ctx, kvstore.LeaseID(in.ID)); err != nil {
		return nil, err
	}
	return &gw.LeaseResponse{Header: s.header(0)}, nil
}

// watch hijacks the connection and reads from it, because only then does the server notice at once that the
// client has closed it.
func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	var in gw.WatchRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeError(ctx, fmt.Errorf("%w: %w", kvstore.ErrRejected, err))
		return
	}
	if err := s.store.beforeCall(s.ctx, kvstore.CallWatch); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		s.wg.Add(1)
		defer s.wg.Done()
		s.streamEvents(c, &in.Create)
	})
}

// streamEvents sends the events of a watch until the client closes the connection, the server stops or the
// watch ends.
func (s *Server) streamEvents(c net.Conn, in *gw.WatchCreate) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	// fasthttp reuses the connection object after this function returns, so the reader must have ended by
	// then. Closing the connection ends the reader.
	var reader sync.WaitGroup
	defer reader.Wait()
	defer func() { _ = c.Close() }()
	reader.Go(func() {
		_, _ = io.Copy(io.Discard, c)
		cancel()
	})
	w := bufio.NewWriter(c)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunks := httputil.NewChunkedWriter(w)
	send := func(r gw.WatchResult) error {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := json.NewEncoder(chunks).Encode(gw.WatchResponse{Result: r}); err != nil {
			return err
		}
		return w.Flush()
	}
	if send(gw.WatchResult{Header: s.header(0), Created: true}) != nil {
		return
	}
	err := s.store.watch(ctx, string(in.Key), in.StartRevision, func(b kvstore.WatchBatch) error {
		return send(watchResult(b))
	})
	if errors.Is(err, kvstore.ErrCompacted) {
		s.store.mu.Lock()
		compacted := s.store.compacted
		s.store.mu.Unlock()
		_ = send(gw.WatchResult{Header: s.header(0), Canceled: true, CompactRevision: compacted, CancelReason: gw.MessageCompacted})
	}
}

func watchResult(b kvstore.WatchBatch) gw.WatchResult {
	r := gw.WatchResult{Header: gw.Header{ClusterID: b.ClusterID, MemberID: 1, Revision: b.Revision}}
	for i := range b.Events {
		e := gw.Event{Kv: convertPair(&b.Events[i].Pair)}
		if b.Events[i].Deleted {
			e.Type = "DELETE"
		}
		r.Events = append(r.Events, e)
	}
	return r
}

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

const (
	// pollInterval is the pause between two rounds of status queries to the hosts.
	pollInterval = 200 * time.Millisecond
	// queryTimeout limits the query to one host.
	queryTimeout = time.Second
	// maxParallelQueries limits the number of open connections to hosts.
	maxParallelQueries = 64
	// maxAnswerBytes limits the answer of one host.
	maxAnswerBytes = 1 << 20
)

// hostStatus is the result of a status query to one host.
type hostStatus struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	Address     string             `json:"address"`
	// Revision is the active configuration revision of the host.
	Revision int64 `json:"config_revision"`
	// Confirmed is true if the host has the revision in question or a later one active.
	Confirmed bool   `json:"confirmed"`
	Error     string `json:"error,omitempty"`
}

// listHosts returns the registered hosts, ordered by ID.
func listHosts(ctx context.Context, kv kvstore.KV) ([]config.HostRecord, error) {
	result, err := kv.Range(ctx, kvstore.RangeRequest{Prefix: config.HostsPrefix})
	if err != nil {
		return nil, err
	}
	hosts := make([]config.HostRecord, len(result.Pairs))
	for i, pair := range result.Pairs {
		if err := json.Unmarshal(pair.Value, &hosts[i]); err != nil {
			return nil, fmt.Errorf("registration %s is damaged: %w", pair.Key, err)
		}
	}
	slices.SortFunc(hosts, func(a, b config.HostRecord) int { return cmp.Compare(a.ID, b.ID) })
	return hosts, nil
}

// waitForRevision queries all registered hosts until each of them has the revision or a later one active. It
// takes into account hosts that register or leave meanwhile. When the wait is over, it returns the last
// answers and an error that wraps errNotConfirmed.
func waitForRevision(ctx context.Context, kv kvstore.KV, revision int64, wait time.Duration) ([]hostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var last []hostStatus
	problem := errNotConfirmed
	for {
		hosts, err := listHosts(ctx, kv)
		switch {
		case err == nil:
			last = queryUnconfirmed(ctx, hosts, revision, last)
			problem = errNotConfirmed
		case ctx.Err() == nil:
			problem = fmt.Errorf("%w: hosts cannot be listed: %v", errNotConfirmed, err)
		}
		if err == nil && !slices.ContainsFunc(last, func(h hostStatus) bool { return !h.Confirmed }) {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, problem
		case <-time.After(pollInterval):
		}
	}
}

// queryUnconfirmed queries the hosts that have not confirmed the revision in an earlier round. The
// confirmation of an incarnation stays valid, because a host never returns to an earlier revision.
func queryUnconfirmed(ctx context.Context, hosts []config.HostRecord, revision int64, earlier []hostStatus) []hostStatus {
	var confirmed []hostStatus
	var unconfirmed []config.HostRecord
	for _, h := range hosts {
		i := slices.IndexFunc(earlier, func(s hostStatus) bool {
			return s.Confirmed && s.Host == h.ID && s.Incarnation == h.Incarnation
		})
		if i >= 0 {
			confirmed = append(confirmed, earlier[i])
			continue
		}
		unconfirmed = append(unconfirmed, h)
	}
	all := append(confirmed, queryHosts(ctx, unconfirmed, revision)...)
	slices.SortFunc(all, func(a, b hostStatus) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// queryHosts queries every host once and returns the answers in the order of the hosts.
func queryHosts(ctx context.Context, hosts []config.HostRecord, revision int64) []hostStatus {
	out := make([]hostStatus, len(hosts))
	slots := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, h := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = queryHost(ctx, h, revision)
			<-slots
		})
	}
	wg.Wait()
	return out
}

func queryHost(ctx context.Context, h config.HostRecord, revision int64) hostStatus {
	status := hostStatus{Host: h.ID, Incarnation: h.Incarnation, Address: h.OperatorAddr}
	var err error
	if status.Revision, err = fetchRevision(ctx, h.OperatorAddr); err != nil {
		status.Error = err.Error()
		return status
	}
	status.Confirmed = status.Revision >= revision
	return status
}

func fetchRevision(ctx context.Context, addr string) (int64, error) {
	answer, err := askHost(ctx, http.MethodGet, addr, "/status", nil)
	if err != nil {
		return 0, err
	}
	var body struct {
		Revision *int64 `json:"config_revision"`
	}
	if err := json.Unmarshal(answer, &body); err != nil {
		return 0, err
	}
	if body.Revision == nil {
		return 0, errors.New("the answer has no config_revision")
	}
	return *body.Revision, nil
}

// statusError is the status of an answer other than 200.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// hostClient sends requests to the operator ports of hosts. It accepts only answers with a well-formed head.
var hostClient = upstream.NewClient()

// askHost sends a request to the operator port of a host and returns the body of the answer.
func askHost(ctx context.Context, method, addr, path string, query url.Values) ([]byte, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, usageError{err}
	}
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(u.String())
	call, err := hostClient.Do(ctx, req, upstream.Options{Addr: addr, Deadline: time.Now().Add(queryTimeout), MaxAnswer: maxAnswerBytes})
	if err != nil {
		return nil, err
	}
	defer call.Close()
	if status := call.Response.StatusCode(); status != http.StatusOK {
		return nil, statusError(status)
	}
	return slices.Clone(call.Response.Body()), nil
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a client sends.
type request struct {
	method, path, key, model string
	// parts are the shared parts of the prompt, with a comma behind each.
	parts    string
	deadline time.Duration
	headers  map[string]string
	body     string
}

// response is what a client gets. err is set if there was no complete answer.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	at     time.Time
}

// lastEvent returns the id of the last event in a body, zero if there is none.
func lastEvent(body string) int {
	last := 0
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last, _ = strconv.Atoi(id)
		}
	}
	return last
}

// retryAfter returns the time after which the host wants the client back, zero if it names none.
func (r response) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// send sends a request to a host on a new connection and reads its answer.
func send(h *host, q request) response {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	return sendOn(transport, h, q)
}

// sendOn sends a request on a kept connection of a transport, if it has one.
func sendOn(transport *http.Transport, h *host, q request) response {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, h.frontend()+q.path, strings.NewReader(q.body))
	check(err)
	r.Host = "site.example"
	r.Header.Set("X-Foxtailpass-Attempt-Id", id)
	r.Header.Set("X-Foxtailpass-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("X-Api-Key", q.key)
	}
	if q.model != "" {
		r.Header.Set("X-Foxtailpass-Model", q.model)
		r.Header.Set("X-Foxtailpass-Token-Usage", "100,50")
		r.Header.Set("X-Foxtailpass-Prompt-Prefix", q.parts+id[:8]+":40")
	}
	for name, value := range q.headers {
		r.Header.Set(name, value)
	}
	logf("client sends %s %s to %s", id, q.path, h.name)
	out := response{id: id}
	res, err := transport.RoundTrip(r)
	if err != nil {
		out.err, out.at = err, time.Now()
		logf("client %s: %v", id, err)
		return out
	}
	defer func() { _ = res.Body.Close() }()
	out.status, out.header = res.StatusCode, res.Header
	var body strings.Builder
	_, out.err = io.Copy(&body, bufio.NewReader(res.Body))
	out.body, out.at = body.String(), time.Now()
	logf("client %s: status %d, %d bytes, retry after %q, error %v", id, out.status, len(out.body), res.Header.Get("Retry-After"), out.err)
	return out
}

// eventVersions returns the software versions of the replicas whose events are in a body, in their order.
func eventVersions(body string) (versions []string, events int) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		events++
		version, _, _ := strings.Cut(data, " ")
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions, events
}

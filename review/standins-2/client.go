package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// attemptID returns the ID of a new client attempt.
func attemptID() string {
	return fmt.Sprintf("%06x%010x", lastAttempt.Add(1), rand.Uint64()&0xffffffffff)
}

// event is one event that a client received.
type event struct {
	id               int
	replica, version string
}

// tryResult is how one client attempt ended.
type tryResult struct {
	attempt  string
	status   int
	complete bool
	events   []event
	err      error
	retry    time.Duration
}

// stream is what a client asks for in one attempt. It abandons a stream after a gap without an event, unless gap is zero.
type stream struct {
	path, model, key   string
	deadline, gap      time.Duration
	lastEvent, resumes string
}

// streamTry makes one client attempt for a stream.
func (s *Site) streamTry(host int, a stream) tryResult {
	res := tryResult{attempt: attemptID()}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	silence := time.AfterFunc(a.deadline+time.Hour, cancel)
	defer silence.Stop()
	heard := func() {
		if a.gap > 0 {
			silence.Reset(a.gap)
		}
	}
	heard()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.hosts[host].Caller+a.path, strings.NewReader("a prompt"))
	q.Host = "site.example"
	q.Header.Set("X-Foxtailpass-Attempt-Id", res.attempt)
	q.Header.Set("X-Foxtailpass-Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.key != "" {
		q.Header.Set("X-Api-Key", a.key)
	}
	if a.model != "" {
		q.Header.Set("X-Foxtailpass-Model", a.model)
		q.Header.Set("X-Foxtailpass-Token-Usage", "826,100")
		q.Header.Set("X-Foxtailpass-Prompt-Prefix", "5c1e07a2:198,"+res.attempt[:8]+":628")
	}
	if a.lastEvent != "" {
		q.Header.Set("Last-Event-Id", a.lastEvent)
		q.Header.Set("Resumes", a.resumes)
	}
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	s.log("client sends %s %s to %s, Last-Event-Id %q, Resumes %q", a.path, res.attempt, s.hosts[host].Name, a.lastEvent, a.resumes)
	resp, err := t.RoundTrip(q)
	if err != nil {
		res.err = err
		s.log("client %s: no answer: %v", res.attempt, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retry = time.Duration(v * float64(time.Second))
	}
	sc := bufio.NewScanner(resp.Body)
	var e event
	for sc.Scan() {
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			e.replica, e.version, _ = strings.Cut(line[6:], " ")
		case line == "" && e.id > 0:
			heard()
			res.events = append(res.events, e)
			e = event{}
		case resp.StatusCode != 200:
			s.log("client %s: answer %s", res.attempt, line)
		}
	}
	res.err = sc.Err()
	res.complete = res.status == 200 && res.err == nil
	last := 0
	if n := len(res.events); n > 0 {
		last = res.events[n-1].id
	}
	s.log("client %s: status %d, complete %v, events %d, last %d, sources %v, err %v, Retry-After %v", res.attempt, res.status, res.complete, len(res.events), last, sources(res.events), res.err, res.retry)
	return res
}

// again returns the attempt that takes a stream up in the time that is left.
func (a stream) again(left time.Duration, first tryResult) stream {
	a.deadline, a.resumes = left, first.attempt
	a.lastEvent = strconv.Itoa(first.events[len(first.events)-1].id)
	return a
}

// sources returns the replicas and versions that events came from, in order.
func sources(events []event) []string {
	var out []string
	for _, e := range events {
		x := e.replica + "/" + e.version
		if len(out) == 0 || out[len(out)-1] != x {
			out = append(out, x)
		}
	}
	return out
}

// versions returns the versions that events came from.
func versions(events []event) map[string]bool {
	out := map[string]bool{}
	for _, e := range events {
		out[e.version] = true
	}
	return out
}

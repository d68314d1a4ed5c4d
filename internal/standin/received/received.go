// Package received records the requests that a stand-in receives, so that tests can inspect them.
package received

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the number of bytes that are kept of one request body.
const maxBodyBytes = 64 << 10

// Request is one received request. Repeated headers are joined with a comma.
type Request struct {
	At      time.Time         `json:"at"`
	Method  string            `json:"method"`
	URI     string            `json:"uri"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// Log keeps the newest requests. It is safe for concurrent use.
type Log struct {
	limit int

	mu       sync.Mutex
	requests []Request
	// oldest is the index of the oldest request once the log is full.
	oldest  int
	dropped uint64
}

// NewLog returns a log that keeps up to limit requests. With a limit below 1 it keeps none.
func NewLog(limit int) *Log { return &Log{limit: limit} }

// Add records a request and drops the oldest one when the log is full.
func (l *Log) Add(req *fasthttp.Request) {
	if l.limit <= 0 {
		return
	}
	copied := copyRequest(req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.requests) < l.limit {
		l.requests = append(l.requests, copied)
		return
	}
	l.requests[l.oldest] = copied
	l.oldest = (l.oldest + 1) % l.limit
	l.dropped++
}

// All returns the kept requests, oldest first.
func (l *Log) All() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Request, 0, len(l.requests))
	out = append(out, l.requests[l.oldest:]...)
	return append(out, l.requests[:l.oldest]...)
}

// Dropped returns the number of requests that were dropped because the log was full.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

func copyRequest(req *fasthttp.Request) Request {
	copied := Request{
		At:      time.Now(),
		Method:  string(req.Header.Method()),
		URI:     string(req.RequestURI()),
		Headers: map[string]string{},
	}
	for k, v := range req.Header.All() {
		if old, ok := copied.Headers[string(k)]; ok {
			copied.Headers[string(k)] = old + ", " + string(v)
			continue
		}
		copied.Headers[string(k)] = string(v)
	}
	body := req.Body()
	copied.Body = string(body[:min(len(body), maxBodyBytes)])
	return copied
}

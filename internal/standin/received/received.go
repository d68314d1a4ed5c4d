// Package received records the requests that a stand-in gets, so that tests can search them.
package received

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBody bounds the kept bytes of one request body.
const maxBody = 64 << 10

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

	mu   sync.Mutex
	rows []Request
	// oldest is the index of the oldest row once the log is full.
	oldest  int
	dropped uint64
}

// NewLog returns a log of up to limit requests; a limit below 1 keeps none.
func NewLog(limit int) *Log { return &Log{limit: limit} }

// Add records a request and drops the oldest one when the log is full.
func (l *Log) Add(req *fasthttp.Request) {
	if l.limit <= 0 {
		return
	}
	got := copyRequest(req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rows) < l.limit {
		l.rows = append(l.rows, got)
		return
	}
	l.rows[l.oldest] = got
	l.oldest = (l.oldest + 1) % l.limit
	l.dropped++
}

// All returns the kept requests, oldest first.
func (l *Log) All() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Request, 0, len(l.rows))
	out = append(out, l.rows[l.oldest:]...)
	return append(out, l.rows[:l.oldest]...)
}

// Dropped returns how many requests are no longer kept.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

func copyRequest(req *fasthttp.Request) Request {
	got := Request{
		At:      time.Now(),
		Method:  string(req.Header.Method()),
		URI:     string(req.RequestURI()),
		Headers: map[string]string{},
	}
	for k, v := range req.Header.All() {
		if old, ok := got.Headers[string(k)]; ok {
			got.Headers[string(k)] = old + ", " + string(v)
			continue
		}
		got.Headers[string(k)] = string(v)
	}
	body := req.Body()
	got.Body = string(body[:min(len(body), maxBody)])
	return got
}

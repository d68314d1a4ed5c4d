package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// mode is how the store treats the calls that arrive at one of its addresses.
type mode int

// The modes: serving calls; reading calls and answering none of them; answering 503; resetting connections.
const (
	up mode = iota
	silent
	busy
	resetting
)

const (
	// minTTL and maxTTL bound the leases.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// pageItems is the number of items of a page.
	pageItems = 50
	// watchPoll is how often a waiting watch looks for changes.
	watchPoll = 2 * time.Millisecond
)

// item is a key of the store, or a change of it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. Each host calls it at an address of its own, so that it can turn
// single hosts away. While it is down, leases and entries pause, as the pages allow.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  int64
	leases    map[int64]lease
	lastLease int64
	modes     map[string]mode
	down      bool
	changed   time.Time
}

func newStore() *store {
	return &store{items: make(map[string]item), leases: make(map[int64]lease), modes: make(map[string]mode), revision: 1}
}

// listen opens an address for one host and returns it.
func (s *store) listen() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	addr := ln.Addr().String()
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(addr, w, r) }))
	}()
	return addr
}

// setMode sets how calls at an address are treated.
func (s *store) setMode(addr string, m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[addr] = m
}

// setDown takes the store down for everybody in a mode, or brings it back with up.
func (s *store) setDown(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.down && m == up {
		for id, l := range s.leases {
			l.end = l.end.Add(now.Sub(s.changed))
			s.leases[id] = l
		}
	}
	s.down, s.changed = m != up, now
	for addr := range s.modes {
		s.modes[addr] = m
	}
}

// put writes a key for the operator, a replica or another writer. It returns false while the store is down.
func (s *store) put(key string, value any) bool {
	b, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(key, b, 0)
	return true
}

// drop removes a key. It returns false while the store is down.
func (s *store) drop(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.remove(key)
	}
	return !s.down
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) expire(now time.Time) {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) handle(addr string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m := s.modes[addr]
	s.mu.Unlock()
	switch m {
	case silent:
		// The call is not executed. Its connection returns nothing further.
		<-r.Context().Done()
		return
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case resetting:
		reset(w)
		return
	}
	if r.URL.Path == "/kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	s.expire(time.Now())
	status, body := s.call(r)
	s.mu.Unlock()
	answerJSON(w, status, body)
}

func (s *store) call(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"at": s.revision}
		}
		return http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": s.revision}
	case r.URL.Path == "/kv-range":
		return s.page(q.Get("path_prefix"), q.Get("after"))
	case r.URL.Path == "/kv-txn":
		return s.transact(r)
	case r.URL.Path == "/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		if _, ok := s.leases[id]; !ok {
			return http.StatusNotFound, map[string]any{}
		}
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, map[string]any{}
}

func (s *store) page(prefix, after string) (int, any) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *store) transact(r *http.Request) (int, any) {
	var t struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Write []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > 32 {
		return http.StatusBadRequest, map[string]any{}
	}
	current := []item{}
	met := true
	for _, e := range t.Expected {
		it := s.items[e.Key]
		met = met && it.Revision == e.Revision
		if it.Revision != 0 {
			current = append(current, it)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range t.Write {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	for _, x := range t.Write {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	ttl := min(max(time.Duration(g.TTL)*time.Millisecond, minTTL), maxTTL)
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_time_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire(time.Now())
		at := s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		switch {
		case after > at:
			answerJSON(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || !time.Now().Before(end):
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		time.Sleep(watchPoll)
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

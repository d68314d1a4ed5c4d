package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer, as the sheets state.
const storeAnswerTime = 4 * time.Millisecond

// maxPageItems is the number of items in one page of a range.
const maxPageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is one entry of the history. Item.Value is nil if the key was removed.
type change struct {
	item    item
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// storeCopy is a copy from which the store can come back.
type storeCopy struct {
	items    map[string]item
	leases   map[int64]lease
	revision int64
}

// Store is a stand-in for the platform's key-value store. Every host has a listener of its own, so that the path of each
// can be cut.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []change
	floor     int64
	revision  int64
	leases    map[int64]lease
	lastLease int64
	era       int64
	changed   chan struct{}
	copies    storeCopy

	// away is set while the store answers nobody. cut holds the listeners whose paths are cut.
	away bool
	cut  map[int]bool
	// freed is closed when a call that waits because of away or cut must end.
	freed chan struct{}
	addrs []string
	conns map[int]map[net.Conn]bool
	close []func()
}

// NewStore returns a store with a listener for each of n hosts.
func NewStore(n int) (*Store, error) {
	s := &Store{items: map[string]item{}, leases: map[int64]lease{}, cut: map[int]bool{}, conns: map[int]map[net.Conn]bool{},
		changed: make(chan struct{}), freed: make(chan struct{}), revision: 10}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.conns[i] = map[net.Conn]bool{}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, w, r) }), ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if st == http.StateNew {
				s.conns[i][c] = true
			} else if st == http.StateClosed {
				delete(s.conns[i], c)
			}
		}}
		go func() { _ = srv.Serve(ln) }()
		s.addrs = append(s.addrs, ln.Addr().String())
		s.close = append(s.close, func() { _ = srv.Close() })
	}
	go s.expire()
	return s, nil
}

// Close ends the listeners.
func (s *Store) Close() {
	for _, f := range s.close {
		f()
	}
}

func (s *Store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if !s.away && now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, deleted: true})
}

// Put writes a key as the operator or a replica.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, b, 0)
	s.notify()
}

// Delete removes a key as the operator or a replica.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Items returns the items with a prefix.
func (s *Store) Items(prefix string) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []item
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.items[k])
		}
	}
	return out
}

// SaveCopy makes the copy for the next restore.
func (s *Store) SaveCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = storeCopy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision}
}

// GoAway makes the store answer nobody.
func (s *Store) GoAway() {
	s.mu.Lock()
	s.away = true
	s.mu.Unlock()
}

// Return makes the store answer again. With restored set, it comes back from the copy in a new era.
func (s *Store) Return(restored bool) {
	s.mu.Lock()
	if restored {
		s.items, s.leases, s.revision = s.copies.items, s.copies.leases, s.copies.revision
		now := time.Now()
		for id, l := range s.leases {
			l.expires = now.Add(l.ttl)
			s.leases[id] = l
		}
		s.history, s.floor = nil, s.revision
		s.era++
		s.notify()
	}
	s.away = false
	s.drop(-1)
	s.mu.Unlock()
}

// Cut cuts the path of a host to the store, or heals it.
func (s *Store) Cut(host int, cut bool) {
	s.mu.Lock()
	s.cut[host] = cut
	if !cut {
		s.drop(host)
	}
	s.mu.Unlock()
}

// drop ends the calls that were held, and the connections of a host, or of all.
func (s *Store) drop(host int) {
	close(s.freed)
	s.freed = make(chan struct{})
	for i, conns := range s.conns {
		if host >= 0 && i != host {
			continue
		}
		for c := range conns {
			_ = c.Close()
		}
	}
}

// hold keeps a call until the path is back. It reports whether the call may be carried out.
func (s *Store) hold(host int, r *http.Request) bool {
	s.mu.Lock()
	held, freed := s.away || s.cut[host], s.freed
	s.mu.Unlock()
	if !held {
		return true
	}
	select {
	case <-freed:
	case <-r.Context().Done():
	}
	return false
}

func (s *Store) reply(host int, w http.ResponseWriter, r *http.Request, status int, v any) {
	// An answer during a cut is lost.
	if !s.hold(host, r) {
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) serve(host int, w http.ResponseWriter, r *http.Request) {
	if !s.hold(host, r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			s.reply(host, w, r, 404, map[string]any{"at": at})
			return
		}
		s.reply(host, w, r, 200, struct {
			item
			At int64 `json:"at"`
		}{it, at})
	case r.URL.Path == "/kv-range":
		s.reply(host, w, r, 200, s.page(q.Get("path_prefix"), q.Get("after")))
	case r.URL.Path == "/kv-watch":
		s.watch(host, w, r)
	case r.URL.Path == "/kv-txn":
		status, v := s.txn(r)
		s.reply(host, w, r, status, v)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.lastLease++
		id := s.lastLease
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		s.reply(host, w, r, 200, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.mu.Unlock()
		if !ok {
			s.reply(host, w, r, 404, map[string]any{})
			return
		}
		s.reply(host, w, r, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		status := 200
		if !ok {
			status = 404
		}
		s.reply(host, w, r, status, map[string]any{})
	default:
		s.reply(host, w, r, 404, map[string]any{})
	}
}

func (s *Store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []item{}, false
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	return map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *Store) watch(host int, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_time_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor || after > s.revision {
			s.mu.Unlock()
			s.reply(host, w, r, 410, map[string]any{})
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.item.Revision <= after || !strings.HasPrefix(c.item.Key, q.Get("path_prefix")) {
				continue
			}
			if c.deleted {
				events = append(events, map[string]any{"key": c.item.Key, "revision": c.item.Revision, "deleted": true})
			} else {
				events = append(events, c.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.reply(host, w, r, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(host, w, r, 200, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Store) txn(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return 400, map[string]any{"error": fmt.Sprint(err)}
	}
	if len(in.Expected)+len(in.Write)+len(in.Remove) > 32 {
		return 400, map[string]any{"error": "too many entries"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		if it.Revision != e.Revision {
			holds = false
		}
	}
	if !holds {
		return 412, map[string]any{"items": current}
	}
	for _, x := range in.Write {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return 403, map[string]any{}
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			return 404, map[string]any{}
		}
	}
	s.revision++
	for _, x := range in.Write {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	s.notify()
	return 200, map[string]any{"revision": s.revision}
}

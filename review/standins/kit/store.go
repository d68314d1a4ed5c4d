package kit

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is the time that the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// maxPageItems is the maximum number of items in one page of a range.
const maxPageItems = 500

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []change
	revision  int64
	era       int64
	leases    map[int64]lease
	lastLease int64
	away      bool
	silent    map[string]bool
	lose      map[string]loss
	server    *http.Server
}

// item is the value of a key.
type item struct {
	value             []byte
	revision, created int64
	lease             int64
}

// lease ends at expires unless it is renewed for ttl.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// change is one change in the history, and the form of an item in an answer.
type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`
}

// Copy is a copy of all that a Store holds.
type Copy struct {
	items     map[string]item
	history   []change
	revision  int64
	leases    map[int64]lease
	lastLease int64
	taken     time.Time
}

// NewStore starts a store. It listens at several addresses, one for each machine, so that it can turn single machines away.
// Its answers name the given era.
func NewStore(addrs []string, era int64) (*Store, error) {
	s := &Store{items: make(map[string]item), leases: make(map[int64]lease), revision: 100, era: era, silent: make(map[string]bool), lose: make(map[string]loss)}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		go func() { _ = s.server.Serve(ln) }()
	}
	return s, nil
}

// SetSilent makes the store leave the calls at an address unanswered and not executed, or ends that.
func (s *Store) SetSilent(addr string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[addr] = silent
}

// LoseNext makes the store leave the next transaction under a condition at an address unanswered. It is done after a delay, if its
// condition still holds then.
func (s *Store) LoseNext(addr string, delay time.Duration, done func(outcome int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose[addr] = loss{delay: delay, done: done}
}

// loss is what happens to the next transaction under a condition at an address.
type loss struct {
	delay time.Duration
	done  func(outcome int)
}

// losesAnswer reports whether the answer to a call is lost. The call is then done later.
func (s *Store) losesAnswer(r *http.Request) bool {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok || r.URL.Path != "/kv-txn" {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var t struct {
		Expected []json.RawMessage `json:"expected"`
	}
	if json.Unmarshal(body, &t) != nil || len(t.Expected) == 0 {
		return false
	}
	s.mu.Lock()
	l, found := s.lose[addr.String()]
	delete(s.lose, addr.String())
	s.mu.Unlock()
	if !found {
		return false
	}
	time.AfterFunc(l.delay, func() {
		s.mu.Lock()
		s.expire()
		outcome, _ := s.transact(bytes.NewReader(body))
		s.mu.Unlock()
		l.done(outcome)
	})
	return true
}

// isSilent reports whether the store leaves a call unanswered.
func (s *Store) isSilent(r *http.Request) bool {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.silent[addr.String()]
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetAway makes the store answer 503 to every call, or ends that.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Put writes a key for the operator or a replica.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// Get returns the value of a key, nil if it is absent.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].value
}

// Copy returns a copy of all that the store holds.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return &Copy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, leases: maps.Clone(s.leases), lastLease: s.lastLease, taken: time.Now()}
}

// Restore replaces all that the store holds by a copy and begins the next era. The leases of the copy have the time left
// that they had when it was taken. It returns a function that writes again what the operator and the replicas had written
// since the copy.
func (s *Store) Restore(c *Copy) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.items, s.history, s.revision, s.lastLease = maps.Clone(c.items), slices.Clone(c.history), c.revision, c.lastLease
	s.leases = make(map[int64]lease)
	age := time.Since(c.taken)
	for id, l := range c.leases {
		l.expires = l.expires.Add(age)
		s.leases[id] = l
	}
	s.era++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, key := range slices.Sorted(maps.Keys(lost)) {
			theirs := strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
			if theirs && string(s.items[key].value) != string(lost[key].value) {
				s.put(key, lost[key].value, 0)
			}
		}
	}
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{value: value, revision: s.revision, created: s.items[key].created, lease: leaseID}
	if it.created == 0 {
		it.created = s.revision
	}
	s.items[key] = it
	s.history = append(s.history, change{Key: key, Value: value, Revision: s.revision, Created: it.created, Lease: leaseID})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) endLease(id int64) bool {
	_, ok := s.leases[id]
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].lease == id && id != 0 {
			s.remove(key)
		}
	}
	return ok
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	if s.isSilent(r) || s.losesAnswer(r) {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.away {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Unlock()
	if r.URL.Path == "/kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	s.expire()
	status, body := s.call(r)
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) call(r *http.Request) (int, any) {
	path := r.URL.Path
	switch {
	case path == "/kv-key":
		key := r.URL.Query().Get("key")
		it, ok := s.items[key]
		if !ok {
			return http.StatusNotFound, map[string]any{"at": s.revision}
		}
		return http.StatusOK, change{Key: key, Value: it.value, Revision: it.revision, Created: it.created, Lease: it.lease, At: s.revision}
	case path == "/kv-range":
		return http.StatusOK, s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	case path == "/kv-txn":
		return s.transact(r.Body)
	case path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
			return http.StatusBadRequest, map[string]any{}
		}
		s.lastLease++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL}
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		if !s.endLease(id) {
			return http.StatusNotFound, map[string]any{}
		}
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, map[string]any{}
}

func (s *Store) page(prefix, after string) any {
	items := []change{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		it := s.items[key]
		items = append(items, change{Key: key, Value: it.value, Revision: it.revision, Created: it.created, Lease: it.lease})
	}
	return map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *Store) transact(body io.Reader) (int, any) {
	var t struct {
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
	if json.NewDecoder(body).Decode(&t) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	for _, e := range t.Expected {
		if s.items[e.Key].revision == e.Revision {
			continue
		}
		current := []change{}
		for _, x := range t.Expected {
			if it, ok := s.items[x.Key]; ok {
				current = append(current, change{Key: x.Key, Value: it.value, Revision: it.revision, Created: it.created, Lease: it.lease})
			}
		}
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
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_time_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		if after > s.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

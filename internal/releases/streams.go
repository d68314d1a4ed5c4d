package releases

import (
	"maps"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

const (
	// completedTime is how long a completed stream is remembered: its last events may not have reached the caller.
	completedTime = 2 * time.Second
	// maxStreams bounds the table of a host. Further streams are not remembered.
	maxStreams = 16384
	// maxOpsPerWrite bounds the operations in one transaction.
	maxOpsPerWrite = 32
)

// Streams is the table of the streams of one host whose first event has been passed on. It is safe for concurrent use.
type Streams struct {
	keyPrefix string
	mu        sync.Mutex
	streams   map[entity.RequestID]*stream
	// unproven are the streams whose origin is unproven.
	unproven map[entity.RequestID]*stream
	// services are the recorded releases by service. The streams of services that have several are written to the key-value
	// service.
	services map[catalog.ServiceID]Service
	// unwritten are the streams whose record has to be written, in the order of time. removed are the keys of the records
	// that are no longer needed.
	unwritten []entity.RequestID
	removed   []string
	// unrelayed are the streams whose record is relayed to another host unless it is written soon, in the order of time.
	unrelayed []unrelayedStream
	// relayQueued receives a value when a stream is added to unrelayed.
	relayQueued chan struct{}
	// era is the era of the key-value service in which records have been written.
	era kvstore.Era
	// urgent receives a value when a record is waited for.
	urgent chan struct{}
}

// stream is one stream, whose first event arrived at beganAt. Its record is needed until forgetAt, which is zero while it
// runs.
type stream struct {
	Origin
	beganAt, forgetAt time.Time
	record            recordState
	// relay is set from when the stream is added to Streams.unrelayed until its record is written or changes.
	relay bool
	// written is closed once the record has been acknowledged, nil if nobody waits for that.
	written chan struct{}
}

// recordState is the state of the record of a stream in the key-value service.
type recordState uint8

const (
	// recordNotNeeded: no record has been written.
	recordNotNeeded recordState = iota
	// recordQueued: the record waits for a write.
	recordQueued
	// recordWriting: a write with the record has been sent and has no answer yet.
	recordWriting
	// recordWritten: the key-value service has acknowledged the record.
	recordWritten
)

// NewStreams returns an empty table.
func NewStreams(keyPrefix string) *Streams {
	return &Streams{
		keyPrefix:   keyPrefix,
		streams:     make(map[entity.RequestID]*stream),
		unproven:    make(map[entity.RequestID]*stream),
		relayQueued: make(chan struct{}, 1),
		urgent:      make(chan struct{}, 1),
	}
}

// Begin records that the first event of a stream has been received.
func (t *Streams) Begin(id entity.RequestID, o Origin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.streams) >= maxStreams {
		return
	}
	s := &stream{Origin: o, beganAt: now}
	t.streams[id] = s
	if o.Unproven {
		t.unproven[id] = s
	}
	if t.services[o.Service].Several() {
		t.queue(id, s)
	}
}

// Written returns a channel that is closed once the record of a stream that has begun is acknowledged. The record is written
// soon. It returns nil for a stream that the table does not contain, for which the channel would never be closed.
func (t *Streams) Written(id entity.RequestID) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[id]
	if s == nil {
		return nil
	}
	if s.written == nil {
		s.written = make(chan struct{})
	}
	switch s.record {
	case recordWritten:
		s.closeWritten()
	case recordNotNeeded:
		t.queue(id, s)
	}
	select {
	case t.urgent <- struct{}{}:
	default:
	}
	return s.written
}

// closeWritten notifies those who wait for the record.
func (s *stream) closeWritten() {
	if s.written == nil {
		return
	}
	select {
	case <-s.written:
	default:
		close(s.written)
	}
}

// Urgent returns a channel that receives a value when a record is waited for.
func (t *Streams) Urgent() <-chan struct{} { return t.urgent }

// queue makes the record of a stream wait for the next write.
func (t *Streams) queue(id entity.RequestID, s *stream) {
	if s.record != recordQueued {
		s.record = recordQueued
		t.unwritten = append(t.unwritten, id)
	}
	t.queueRelay(id, s)
}

// End records the end of a stream. One that was not completed may be continued within the retention.
func (t *Streams) End(id entity.RequestID, completed bool, retention time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[id]
	if s == nil {
		return
	}
	if completed {
		retention = completedTime
	}
	s.forgetAt = now.Add(retention)
}

// Origin returns the origin of a stream, and false if the table does not contain the stream.
func (t *Streams) Origin(id entity.RequestID, service catalog.ServiceID) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[id]
	if s == nil || s.Service != service {
		return Origin{}, false
	}
	return s.Origin, true
}

// Prove proves the origins of the streams that began until the given time by a list that is certainly newer.
func (t *Streams) Prove(list Listing, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.unproven {
		if s.beganAt.After(until) {
			continue
		}
		s.Origin = s.Prove(list)
		if s.Unproven {
			continue
		}
		delete(t.unproven, id)
		s.relay = false
		if s.record != recordNotNeeded {
			t.queue(id, s)
		}
	}
}

// EnterEra records that the key-value service is in an era, and reports whether it is a new one. The copy from which the
// service was restored may lack any record, so all of them are written again.
func (t *Streams) EnterEra(era kvstore.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return false
	}
	t.era = era
	for id, s := range t.streams {
		if s.record != recordNotNeeded {
			t.queue(id, s)
		}
	}
	return true
}

// HasUnproven reports whether the origins of streams are unproven.
func (t *Streams) HasUnproven() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unproven) > 0
}

// SetServices sets the recorded releases by service, which are not modified later. The streams of a service that has several
// of them from now on are written to the key-value service.
func (t *Streams) SetServices(services map[catalog.ServiceID]Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = services
	for id, s := range t.streams {
		if t.services[s.Service].Several() && s.record == recordNotNeeded {
			t.queue(id, s)
		}
	}
}

// Write is a transaction with the records of streams.
type Write struct {
	Ops []kvstore.Op
	// streams are those whose records it contains.
	streams []entity.RequestID
	removed []string
}

// TakeWrite forgets the streams that need no longer be known, and returns the next write, false if there is none. The
// records belong to a lease, which ends them if this host ends.
func (t *Streams) TakeWrite(lease kvstore.LeaseID, now time.Time) (Write, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var w Write
	for len(t.unwritten) > 0 && len(w.Ops) < maxOpsPerWrite {
		id := t.unwritten[0]
		t.unwritten = t.unwritten[1:]
		if s := t.streams[id]; s != nil && s.record == recordQueued {
			s.record = recordWriting
			w.streams = append(w.streams, id)
			w.Ops = append(w.Ops, kvstore.PutLeased(t.keyPrefix+StreamKey(id), encodeStream(s.Origin), lease))
		}
	}
	if len(w.Ops) == 0 && len(t.removed) < maxOpsPerWrite {
		// Removals wait for a write, or until there are many.
		return Write{}, false
	}
	n := min(len(t.removed), maxOpsPerWrite-len(w.Ops))
	w.removed = t.removed[:n:n]
	t.removed = t.removed[n:]
	for _, key := range w.removed {
		w.Ops = append(w.Ops, kvstore.Op{Kind: kvstore.OpDelete, Key: key})
	}
	return w, true
}

// forget removes the streams that need no longer be known.
func (t *Streams) forget(now time.Time) {
	maps.DeleteFunc(t.streams, func(id entity.RequestID, s *stream) bool {
		over := !s.forgetAt.IsZero() && now.After(s.forgetAt)
		if over {
			delete(t.unproven, id)
		}
		if over && s.record != recordNotNeeded {
			t.removed = append(t.removed, t.keyPrefix+StreamKey(id))
		}
		return over
	})
}

// Acknowledged records that the key-value service has acknowledged a write.
func (t *Streams) Acknowledged(w Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range w.streams {
		if s := t.streams[id]; s != nil && s.record == recordWriting {
			s.record = recordWritten
			s.relay = false
			s.closeWritten()
		}
	}
}

// Failed puts the records of a write that failed back, to be written again.
func (t *Streams) Failed(w Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range w.streams {
		if s := t.streams[id]; s != nil && s.record == recordWriting {
			t.queue(id, s)
		}
	}
	t.removed = append(w.removed, t.removed...)
}

// HasWrites reports whether records have to be written.
func (t *Streams) HasWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unwritten) > 0 || len(t.removed) >= maxOpsPerWrite
}

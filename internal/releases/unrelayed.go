package releases

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// relayDelay is how long the record of a stream may be unwritten before it is relayed to another host. A write takes
	// less, unless the key-value service is slow or away.
	relayDelay = 100 * time.Millisecond
	// maxRelayedRecords bounds the records in one message.
	maxRelayedRecords = 128
)

// unrelayedStream is a stream whose record was first seen unwritten at a time, zero if it has not been looked at.
type unrelayedStream struct {
	id     entity.RequestID
	seenAt time.Time
}

// Relay is a batch of records to be relayed to another host.
type Relay struct {
	Records []wire.StreamRecord
	streams []unrelayedStream
}

// queueRelay makes the record of a stream wait for its relay, unless it waits or has been relayed.
func (t *Streams) queueRelay(id entity.RequestID, s *stream) {
	if s.relay {
		return
	}
	s.relay = true
	t.unrelayed = append(t.unrelayed, unrelayedStream{id: id})
	select {
	case t.relayQueued <- struct{}{}:
	default:
	}
}

// RelayQueued returns a channel that receives a value when a record begins to wait for its relay.
func (t *Streams) RelayQueued() <-chan struct{} { return t.relayQueued }

// HasUnrelayed reports whether records wait for their relay.
func (t *Streams) HasUnrelayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unrelayed) > 0
}

// TakeRelay returns the next records that have been unwritten for so long that this host may be unable to write them. If the
// host ended now, nobody else would know of these streams.
func (t *Streams) TakeRelay(now time.Time) Relay {
	t.mu.Lock()
	defer t.mu.Unlock()
	var relay Relay
	var waiting []unrelayedStream
	for _, u := range t.unrelayed {
		s := t.streams[u.id]
		if s == nil || !s.relay {
			continue
		}
		if u.seenAt.IsZero() {
			u.seenAt = now
		}
		if now.Sub(u.seenAt) < relayDelay || len(relay.Records) == maxRelayedRecords {
			waiting = append(waiting, u)
			continue
		}
		relay.streams = append(relay.streams, u)
		relay.Records = append(relay.Records, wire.StreamRecord{Key: t.keyPrefix + StreamKey(u.id), Value: encodeStream(s.Origin)})
	}
	t.unrelayed = waiting
	return relay
}

// RelayFailed puts records that no host has taken back, to be relayed again.
func (t *Streams) RelayFailed(r Relay) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unrelayed = append(r.streams, t.unrelayed...)
}

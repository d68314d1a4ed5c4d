package peer

import (
	"sync/atomic"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// kindSlots is the number of counters by kind. It must be above the highest kind that this build knows. Received
// frames of unknown kinds are counted at index 0.
const kindSlots = 32

// kindCounter counts the frames and bytes of one message kind.
type kindCounter struct {
	sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Int64
}

// KindCount is the traffic of one message kind over all links since the process started. Bytes include the
// length and header of each frame, but not the overhead of TCP.
type KindCount struct {
	Kind                          wire.Kind
	SentFrames, SentBytes         int64
	ReceivedFrames, ReceivedBytes int64
}

// Counters counts traffic and failures of links. It is safe for concurrent use.
type Counters struct {
	kinds [kindSlots]kindCounter
	// Malformed counts connections that were closed because of an unreadable frame.
	Malformed atomic.Int64
	// UnknownKinds counts skipped frames whose kind only newer builds know.
	UnknownKinds atomic.Int64
	// SlowPeers counts links that were closed because their send queue was full or a write timed out.
	SlowPeers atomic.Int64
	// SilentPeers counts links that were closed because nothing was received for three heartbeat intervals.
	SilentPeers atomic.Int64
	// Dials counts attempts to connect; DialErrors counts those that failed before the handshake.
	Dials, DialErrors atomic.Int64
	// Duplicates counts handshakes with a host to which a link already existed. One of the two connections is
	// then closed.
	Duplicates atomic.Int64
	// Refused counts connections that were closed because the handshake failed, too many connections were open, or
	// the manager was closed.
	Refused atomic.Int64
}

// counterIndex returns the index of a kind in Counters.kinds.
func counterIndex(k wire.Kind) wire.Kind {
	if k >= kindSlots {
		return 0
	}
	return k
}

func (c *Counters) sent(k wire.Kind, bytes int) {
	s := &c.kinds[counterIndex(k)]
	s.sentFrames.Add(1)
	s.sentBytes.Add(int64(bytes))
}

func (c *Counters) received(k wire.Kind, bytes int) {
	s := &c.kinds[counterIndex(k)]
	s.receivedFrames.Add(1)
	s.receivedBytes.Add(int64(bytes))
}

// Kinds returns the traffic of all kinds that have been sent or received.
func (c *Counters) Kinds() []KindCount {
	var out []KindCount
	for k := range c.kinds {
		s := &c.kinds[k]
		kc := KindCount{
			Kind:           wire.Kind(k),
			SentFrames:     s.sentFrames.Load(),
			SentBytes:      s.sentBytes.Load(),
			ReceivedFrames: s.receivedFrames.Load(),
			ReceivedBytes:  s.receivedBytes.Load(),
		}
		if kc.SentFrames+kc.ReceivedFrames > 0 {
			out = append(out, kc)
		}
	}
	return out
}

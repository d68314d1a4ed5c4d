package peer

import (
	"sync/atomic"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// kindSlots is above the highest kind; frames of unknown kinds are counted at index 0.
const kindSlots = 32

type kindCounter struct {
	sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Int64
}

// KindCount is the traffic of one message kind over all links since the start. Bytes include the
// frame's length and head, but not the overhead of TCP.
type KindCount struct {
	Kind                          wire.Kind
	SentFrames, SentBytes         int64
	ReceivedFrames, ReceivedBytes int64
}

// Counters counts traffic and faults. It is safe for concurrent use.
type Counters struct {
	kinds [kindSlots]kindCounter
	// Malformed counts connections that were closed because of an unreadable frame.
	Malformed atomic.Int64
	// UnknownKinds counts skipped frames of newer builds.
	UnknownKinds atomic.Int64
	// SlowPeers counts links that were closed because their send queue was full or a write timed out.
	SlowPeers atomic.Int64
	// Silent counts links that were closed because nothing was read for three intervals.
	Silent atomic.Int64
	// Dials and DialErrors count attempts to connect and those that did not lead to a handshake.
	Dials, DialErrors atomic.Int64
	// Duplicates counts connections that were closed in favor of another one to the same host.
	Duplicates atomic.Int64
	// Refused counts connections that were closed during the handshake.
	Refused atomic.Int64
}

func slot(k wire.Kind) wire.Kind {
	if k >= kindSlots {
		return 0
	}
	return k
}

func (c *Counters) sent(k wire.Kind, bytes int) {
	s := &c.kinds[slot(k)]
	s.sentFrames.Add(1)
	s.sentBytes.Add(int64(bytes))
}

func (c *Counters) received(k wire.Kind, bytes int) {
	s := &c.kinds[slot(k)]
	s.receivedFrames.Add(1)
	s.receivedBytes.Add(int64(bytes))
}

// Kinds returns the traffic of all kinds that occurred.
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

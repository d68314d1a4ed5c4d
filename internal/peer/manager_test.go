package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const testInterval = 100 * time.Millisecond

// host is a running manager that counts the calls of its callbacks and the received documents.
type host struct {
	*Manager
	peer      Peer
	upCalls   atomic.Int64
	downCalls atomic.Int64
	documents atomic.Int64
	stop      func()
}

// newHost starts a manager and stops it at the end of the test.
func newHost(t *testing.T, id entity.HostID, inc entity.Incarnation, modify func(*Options)) *host {
	t.Helper()
	h := &host{}
	opt := Options{
		Self:              wire.Hello{Host: id, Incarnation: inc, Prefix: "p/"},
		Listen:            "127.0.0.1:0",
		HeartbeatInterval: testInterval,
		Handler: func(_ entity.HostID, _ entity.Incarnation, m wire.Message) {
			if m.Kind() == wire.KindDocument {
				h.documents.Add(1)
			}
		},
		OnUp:   func(entity.HostID, entity.Incarnation) { h.upCalls.Add(1) },
		OnDown: func(entity.HostID, entity.Incarnation) { h.downCalls.Add(1) },
	}
	if modify != nil {
		modify(&opt)
	}
	m, err := NewManager(opt)
	if err != nil {
		t.Fatal(err)
	}
	h.Manager = m
	h.peer = Peer{Host: id, Incarnation: inc, Addr: m.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	h.stop = func() { cancel(); <-done }
	t.Cleanup(h.stop)
	return h
}

// eventually waits until f returns true, and fails the test if it does not within limit.
func eventually(t *testing.T, condition string, limit time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", limit, condition)
		}
	}
}

// linked returns a function that reports whether h has exactly one link, to the given incarnation or, if inc is empty,
// to any.
func linked(h *host, inc entity.Incarnation) func() bool {
	return func() bool {
		l := h.Links()
		return len(l) == 1 && (inc == "" || l[0].Incarnation == inc)
	}
}

// connectRawPeer connects to a host as host z and completes the handshake.
func connectRawPeer(t *testing.T, to *host) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	frame, err := encodeFrame(&wire.Hello{Host: "z", Incarnation: "1", Prefix: "p/"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(frame); err != nil {
		t.Fatal(err)
	}
	eventually(t, "raw peer linked", 2*time.Second, linked(to, "1"))
	return conn
}

// Guards against two hosts that dial each other at the same time and end up with no link, with different
// connections as their link, or with superfluous OnUp and OnDown calls.
func TestOneLinkPerPair(t *testing.T) {
	defer goleak.VerifyNone(t)
	for range 5 {
		// Host b dials here without the initial wait of dialLoop, so that both hosts dial at the same time.
		a, b := newHost(t, "a", "1", nil), newHost(t, "b", "1", nil)
		b.startGoroutine(func() {
			if conn, err := net.Dial("tcp", a.peer.Addr); err == nil {
				b.serve(conn, "a")
			}
		})
		a.SetPeers([]Peer{b.peer})
		b.SetPeers([]Peer{a.peer})
		eventually(t, "both linked", 5*time.Second, func() bool { return linked(a, "1")() && linked(b, "1")() })
		time.Sleep(3 * testInterval)
		if !linked(a, "1")() || !linked(b, "1")() || a.Links()[0].Dialed == b.Links()[0].Dialed {
			t.Fatalf("hosts do not use the same connection: links %+v and %+v", a.Links(), b.Links())
		}
		if a.upCalls.Load() != 1 || b.upCalls.Load() != 1 || a.downCalls.Load()+b.downCalls.Load() != 0 {
			t.Errorf("OnUp calls %d and %d, want 1 each; OnDown calls %d and %d, want none", a.upCalls.Load(), b.upCalls.Load(), a.downCalls.Load(), b.downCalls.Load())
		}
		for range 10 {
			if !a.Send("b", &wire.Document{Digest: "d"}) || !b.Send("a", &wire.Document{Digest: "d"}) {
				t.Fatal("Send over an open link failed")
			}
		}
		eventually(t, "all documents received", time.Second, func() bool { return a.documents.Load() == 10 && b.documents.Load() == 10 })
		a.stop()
		b.stop()
	}
}

// Guards against a peer that never reads and thereby blocks the senders of messages to it or uses up memory.
func TestSlowPeerIsDropped(t *testing.T) {
	a := newHost(t, "a", "1", nil)
	conn := connectRawPeer(t, a)
	go func() {
		// The peer keeps sending heartbeats, so that the link is not closed for silence.
		frame, _ := encodeFrame(&wire.Heartbeat{})
		for {
			if _, err := conn.Write(frame); err != nil {
				return
			}
			time.Sleep(testInterval)
		}
	}()
	big := &wire.Document{Data: make([]byte, 1<<20)}
	start := time.Now()
	for a.Send("z", big) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("Send to a peer that never reads still succeeds after 5 s")
		}
	}
	eventually(t, "link down", 2*time.Second, func() bool { return len(a.Links()) == 0 })
	if a.Counters().SlowPeers.Load() != 1 || a.downCalls.Load() != 1 {
		t.Errorf("slow peers %d, OnDown calls %d; want 1 each", a.Counters().SlowPeers.Load(), a.downCalls.Load())
	}
	if a.Send("z", big) {
		t.Error("Send to a host without a link succeeded")
	}
}

// Guards against links that stay up while the peer is silent with an open connection, for example behind a
// network partition.
func TestSilentPeerIsUnlinked(t *testing.T) {
	a := newHost(t, "a", "1", nil)
	connectRawPeer(t, a)
	start := time.Now()
	eventually(t, "link down", 10*testInterval, func() bool { return len(a.Links()) == 0 })
	if took := time.Since(start); took < testInterval || a.Counters().SilentPeers.Load() != 1 {
		t.Errorf("link down after %v, silent peers %d; want at least 100 ms and 1 silent peer", took, a.Counters().SilentPeers.Load())
	}
}

// Guards against a link that continues to read after a malformed frame.
func TestMalformedFrameClosesLink(t *testing.T) {
	for name, frame := range map[string][]byte{
		"length":  {0x7f, 0, 0, 0},
		"version": {0, 0, 0, 3, 9, 2, 0x80},
		"body":    {0, 0, 0, 3, 1, 2, 0xc1},
		"rest":    {0, 0, 0, 4, 1, 2, 0x80, 0x80},
	} {
		t.Run(name, func(t *testing.T) {
			a := newHost(t, "a", "1", nil)
			conn := connectRawPeer(t, a)
			if _, err := conn.Write(frame); err != nil {
				t.Fatal(err)
			}
			eventually(t, "link down", time.Second, func() bool { return len(a.Links()) == 0 })
			if a.Counters().Malformed.Load() != 1 {
				t.Errorf("malformed frames %d, want 1", a.Counters().Malformed.Load())
			}
		})
	}
}

// Guards against links between two installations, and against links to a host other than the dialed one.
func TestHandshakeRefusals(t *testing.T) {
	a := newHost(t, "a", "1", nil)
	other := newHost(t, "b", "1", func(o *Options) { o.Self.Prefix = "q/" })
	wrong := newHost(t, "d", "1", nil)
	a.SetPeers([]Peer{other.peer, {Host: "c", Incarnation: "1", Addr: wrong.peer.Addr}})
	eventually(t, "refusals", 5*time.Second, func() bool { return a.Counters().Refused.Load() >= 2 })
	if len(a.Links()) != 0 || len(other.Links()) != 0 {
		t.Errorf("refused hosts are linked: %+v and %+v", a.Links(), other.Links())
	}
}

// Guards against a link to the previous process of a restarted host that prevents a link to the new process, and
// against broken links that are not established again.
func TestRestartedHostIsLinkedAgain(t *testing.T) {
	a, b := newHost(t, "a", "1", nil), newHost(t, "b", "1", nil)
	a.SetPeers([]Peer{b.peer})
	eventually(t, "linked", 5*time.Second, linked(a, "1"))
	b2 := newHost(t, "b", "2", nil)
	a.SetPeers([]Peer{b2.peer})
	eventually(t, "linked to the new process", 5*time.Second, linked(a, "2"))
	eventually(t, "OnUp and OnDown calls", time.Second, func() bool { return a.upCalls.Load() == 2 && a.downCalls.Load() == 1 })
	a.mu.Lock()
	l := a.links["b"]
	a.mu.Unlock()
	l.close()
	eventually(t, "linked after a break", 5*time.Second, func() bool { return a.upCalls.Load() == 3 && linked(a, "2")() })
}

// Guards against counters that miss traffic. The number of bytes per second and peer is computed from them.
func TestCounters(t *testing.T) {
	a, b := newHost(t, "a", "1", nil), newHost(t, "b", "1", nil)
	a.SetPeers([]Peer{b.peer})
	eventually(t, "linked", 5*time.Second, func() bool { return linked(a, "")() && linked(b, "")() })
	if !a.Send("b", &wire.Document{Data: make([]byte, 1000)}) {
		t.Fatal("Send over an open link failed")
	}
	var got KindCount
	eventually(t, "document counted", time.Second, func() bool {
		for _, k := range b.Counters().Kinds() {
			if k.Kind == wire.KindDocument {
				got = k
			}
		}
		return got.ReceivedFrames == 1
	})
	for _, k := range a.Counters().Kinds() {
		if k.Kind == wire.KindDocument && (k.SentFrames != 1 || k.SentBytes != got.ReceivedBytes || k.SentBytes < 1000) {
			t.Errorf("sent %+v, received %+v; want 1 sent frame, and equal byte counts of at least 1000", k, got)
		}
	}
}

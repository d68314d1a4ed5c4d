package experiment

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/listener"
)

const (
	// maxChunkBytes is the largest number of bytes that the forwarder reads in one call.
	maxChunkBytes = 32 << 10
	// maxPendingChunks bounds the chunks in transit in one direction of a connection. When they reach the bound,
	// the forwarder stops reading, and TCP makes the sender wait.
	maxPendingChunks = 256
)

// forwarder is a TCP forwarder that delivers every byte after a one-way delay. It is safe for
// concurrent use.
type forwarder struct {
	ln *listener.Tracking
	// delay returns the one-way delay for a connection from the given address.
	delay func(from net.Addr) time.Duration

	mu sync.Mutex
	// target is the address to which new connections are forwarded.
	target string
}

func newForwarder(delay func(net.Addr) time.Duration) (*forwarder, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("experiment: forwarder: %w", err)
	}
	f := &forwarder{ln: listener.New(ln), delay: delay}
	go f.accept()
	return f, nil
}

func (f *forwarder) addr() string { return f.ln.Addr().String() }

// setTarget sets the address to which new connections are forwarded.
func (f *forwarder) setTarget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = addr
}

// close closes the listener and all connections.
func (f *forwarder) close() { f.ln.CloseAll() }

func (f *forwarder) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.forward(c)
	}
}

func (f *forwarder) forward(c net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	d := f.delay(c.RemoteAddr())
	var wg sync.WaitGroup
	wg.Go(func() { copyDelayed(up, c, d) })
	wg.Go(func() { copyDelayed(c, up, d) })
	wg.Wait()
}

// chunk is data in transit, to be written to the receiver at deliverAt.
type chunk struct {
	deliverAt time.Time
	data      []byte
}

// copyDelayed copies from one connection to the other with a delay and closes both when either fails or ends.
func copyDelayed(to, from net.Conn, delay time.Duration) {
	chunks := make(chan chunk, maxPendingChunks)
	go func() {
		defer close(chunks)
		buf := make([]byte, maxChunkBytes)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{time.Now().Add(delay), append([]byte(nil), buf[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.deliverAt))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	// Drain the channel until the reader has noticed the closed connection. Its last chunks are dropped.
	for range chunks {
	}
}

package experiment

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/standin/listener"
)

const (
	// chunkBytes is the most that the forwarder reads at once.
	chunkBytes = 32 << 10
	// pendingChunks bounds the chunks on the way; a full link stops reading, as a full window does.
	pendingChunks = 256
)

// forwarder is a TCP forwarder that delivers every byte after a one-way delay. It is safe for
// concurrent use.
type forwarder struct {
	ln *listener.Tracking
	// delay returns the one-way delay for a connection from this address.
	delay func(from net.Addr) time.Duration

	mu     sync.Mutex
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

// setTarget sets where further connections lead.
func (f *forwarder) setTarget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = addr
}

// kill closes the listener and cuts all connections.
func (f *forwarder) kill() { f.ln.Kill() }

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
	wg.Go(func() { pump(up, c, d) })
	wg.Go(func() { pump(c, up, d) })
	wg.Wait()
}

type chunk struct {
	due  time.Time
	data []byte
}

// pump copies from one connection to the other with a delay and closes both at the end.
func pump(to, from net.Conn, delay time.Duration) {
	chunks := make(chan chunk, pendingChunks)
	go func() {
		defer close(chunks)
		buf := make([]byte, chunkBytes)
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
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	// The reader ends with the closed connection; its last chunks are dropped.
	for range chunks {
	}
}

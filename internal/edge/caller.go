package edge

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/accept"
)

// writeTimeout is how long a write to a caller may take. A connection whose caller reads nothing for that
// long is closed.
const writeTimeout = 10 * time.Second

// callerListener wraps the connections of a listener.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := accept.AcceptRetrying(l.Listener)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accept.Conn{Conn: conn}}, nil
}

// callerConn is a caller's connection that can be watched while its request is served. The HTTP server reads
// a connection only between requests, so it cannot detect that a caller has left. If the watch reads a byte
// of a pipelined request, the next Read returns that byte to the server.
type callerConn struct {
	accept.Conn
	pipelined    [1]byte
	hasPipelined bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hasPipelined && len(p) > 0 {
		c.hasPipelined = false
		p[0] = c.pipelined[0]
		return 1, nil
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watchForClose calls onClose if the caller closes the connection before stop is called. Nothing else may
// read the connection in between.
func (c *callerConn) watchForClose(onClose func()) (stop func()) {
	if c.hasPipelined || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.pipelined[:])
		switch {
		case n > 0:
			c.hasPipelined = true
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			onClose()
		}
	}()
	return func() {
		// A deadline in the past ends the read at once.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

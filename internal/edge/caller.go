package edge

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/accept"
	"github.com/foxtailpass/foxtailpass/internal/membudget"
)

// writeTimeout is how long a write to a caller may take. A connection whose caller reads nothing for that
// long is closed.
const writeTimeout = 10 * time.Second

// largeRequest is the length in bytes from which a request counts against the memory of all requests.
const largeRequest = 64 << 10

// errNoMemory ends the reading of a request for which there is no memory.
var errNoMemory = errors.New("edge: no memory for a request")

// callerListener wraps the connections of a listener. memory is that of the requests of all connections.
type callerListener struct {
	net.Listener
	memory *membudget.Budget
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := accept.AcceptRetrying(l.Listener)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accept.Conn{Conn: conn}, requestMemory: l.memory.Reserve()}, nil
}

// callerConn is a caller's connection that can be watched while its request is served. The HTTP server reads
// a connection only between requests, so it cannot detect that a caller has left. If the watch reads a byte
// of a pipelined request, the next Read returns that byte to the server.
type callerConn struct {
	accept.Conn
	pipelined    [1]byte
	hasPipelined bool
	// requestBytes is the number of bytes that were read since the last answer, and requestMemory the memory that they
	// occupy beyond largeRequest. outOfMemory is set when there was none left.
	requestBytes  int64
	requestMemory *membudget.Reservation
	outOfMemory   bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.hasPipelined && len(p) > 0 {
		c.hasPipelined = false
		p[0] = c.pipelined[0]
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	c.requestBytes += int64(n)
	if c.requestBytes > largeRequest && !c.requestMemory.GrowTo(c.requestBytes) {
		c.outOfMemory = true
		return 0, errNoMemory
	}
	return n, err
}

// requestEnded returns the memory of a request that has been answered.
func (c *callerConn) requestEnded() {
	c.requestBytes = 0
	c.requestMemory.Release()
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.requestMemory.Release()
	return c.Conn.Close()
}

// outOfMemory reports whether there was no memory for the request of a connection.
func outOfMemory(c net.Conn) bool {
	conn, ok := c.(*callerConn)
	return ok && conn.outOfMemory
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

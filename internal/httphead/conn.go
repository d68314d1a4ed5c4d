package httphead

import "net"

// Conn is the connection of an HTTP client that reads answers by itself and writes a whole request before it reads the answer.
// A Read that meets a malformed head closes the connection and returns an error that wraps ErrMalformed.
type Conn struct {
	net.Conn
	// headDue is set from a request until the head of its final answer is complete.
	headDue bool
	head    checker
}

// NewConn returns a Conn over a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.headDue = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		_ = c.Close()
		return 0, malformed
	}
	return n, err
}

// check checks the heads in the next bytes of an answer.
func (c *Conn) check(b []byte) error {
	for c.headDue && len(b) > 0 {
		n, complete, err := c.head.feed(b)
		if err != nil {
			return err
		}
		b = b[n:]
		if complete {
			c.headDue = c.head.interim
			c.head = checker{}
		}
	}
	return nil
}

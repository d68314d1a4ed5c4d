package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped in the errors about a head that HTTP/1.1 does not allow. The answer then states nothing: neither a
// success nor whether the request ran.
var ErrMalformed = errors.New("malformed head of an HTTP answer")

const (
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// statusSwitchingProtocols answers only requests to change the protocol, which no client here sends.
	statusSwitchingProtocols = "101"
	// maxQuoted is the number of bytes of a malformed line that an error quotes.
	maxQuoted = 64
)

// checker checks one head line by line as its bytes arrive.
type checker struct {
	// line holds the bytes of a line whose end has not arrived.
	line []byte
	// statusSeen is set after the status line, and interim if it announces that another head follows.
	statusSeen bool
	interim    bool
	// http10 is set if the answer has version 1.0 of HTTP.
	http10 bool
}

// feed checks the next bytes. It returns how many of them belong to the head, and whether the head is complete.
func (c *checker) feed(b []byte) (n int, complete bool, err error) {
	for n < len(b) {
		length := bytes.IndexByte(b[n:], '\n')
		if length < 0 {
			c.line = append(c.line, b[n:]...)
			return len(b), false, nil
		}
		line := b[n : n+length]
		n += length + 1
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = line[:0]
		}
		complete, err := c.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		if complete || err != nil {
			return n, complete, err
		}
	}
	return n, false, nil
}

// checkLine checks one line. It returns true for the empty line at the end of the head. Empty lines before the status line
// are skipped, as the HTTP library does.
func (c *checker) checkLine(line []byte) (end bool, err error) {
	switch {
	case len(line) == 0:
		return c.statusSeen, nil
	case !c.statusSeen:
		c.statusSeen = true
		return false, c.checkStatusLine(line)
	}
	return false, c.checkField(line)
}

// checkStatusLine checks that a line is the status line of an HTTP/1 answer with a status from 100 to 599.
func (c *checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	c.http10 = string(version) == "HTTP/1.0"
	if !c.http10 && string(version) != "HTTP/1.1" || !isStatus(status) || string(status) == statusSwitchingProtocols {
		return malformed("status line", line)
	}
	c.interim = status[0] == '1'
	return nil
}

// checkField checks a field. HTTP/1.0 has no transfer encoding, so the end of a body that has one is not known.
func (c *checker) checkField(line []byte) error {
	name, err := fieldName(line)
	if err == nil && c.http10 && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
		return malformed("field of HTTP/1.0", line)
	}
	return err
}

// isStatus reports whether b is a number from 100 to 599.
func isStatus(b []byte) bool {
	if len(b) != statusDigits || b[0] < '1' || b[0] > '5' {
		return false
	}
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// CheckField checks that a line of a head or of a trailer, without the end of the line, is a field with a valid name.
func CheckField(line []byte) error {
	_, err := fieldName(line)
	return err
}

// fieldName returns the name of a field. Blanks between the name and the colon are allowed, because a proxy removes them from
// answers. A line that continues the field before it is malformed: a proxy may refuse such answers, and the line might as well be
// a field whose name begins with a blank.
func fieldName(line []byte) ([]byte, error) {
	name, _, found := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " \t")
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, malformed("field", line)
	}
	return name, nil
}

// malformed returns an error that wraps ErrMalformed and quotes the beginning of a line.
func malformed(kind string, line []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, kind, line[:min(len(line), maxQuoted)])
}

// Package headtest is a stand-in for upstreams and stores in trouble, which answer with malformed heads.
package headtest

import (
	"testing"

	"github.com/foxtailpass/foxtailpass/internal/standin/earlyanswer"
)

// Malformed holds the beginnings of heads that are none in HTTP/1.1. Without the malformed part each would be that of a success.
// Any fields, an empty line and a body may follow.
var Malformed = map[string]string{
	"status 000":          "HTTP/1.1 000 OK\r\n",
	"status 600":          "HTTP/1.1 600 OK\r\n",
	"interim status 099":  "HTTP/1.1 099 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
	"protocol switched":   "HTTP/1.1 101 Switching Protocols\r\n",
	"HTTP/2.0":            "HTTP/2.0 200 OK\r\n",
	"blank in a name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"control in a name":   "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
	"continued field":     "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Even: 2\r\n",
	"interim with blank":  "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	"interim, then blank": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: 1\r\n",
}

// Serve starts a server that answers the first request of each connection with fixed bytes and keeps the connection open until
// the test ends. It returns the server's address.
func Serve(t testing.TB, answer string) (addr string) {
	t.Helper()
	return earlyanswer.Serve(t, earlyanswer.Answer{Text: answer, Ending: earlyanswer.KeepOpen})
}

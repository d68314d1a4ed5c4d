package faults

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailpass/foxtailpass/internal/wire"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// TestCallersBadRequests guards against requests that stop a process, hang, or are answered without an
// explicit error.
func TestCallersBadRequests(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	post := func(path, body string) harness.Request {
		return harness.Request{Method: "POST", Path: path, Key: key, Body: body}
	}
	with := func(r harness.Request, name, value string) harness.Request {
		r.Headers = map[string]string{name: value}
		return r
	}
	const path = "/v1/chat/completions"
	prompt := `"messages":[{"role":"user","content":"x"}]`
	good := `{"model":"warm",` + prompt + `}`
	for _, c := range []struct {
		name    string
		request harness.Request
		status  int
		code    string
	}{
		{"unknown model", post(path, `{"model":"none",`+prompt+`}`), 404, "model_not_found"},
		{"unknown adapter", post(path, `{"model":"cold:none",`+prompt+`}`), 404, "adapter_not_found"},
		{"unknown route", post("/none", "{}"), 404, "route_not_found"},
		{"unknown key", harness.Request{Method: "POST", Path: path, Key: "fxp_none", Body: good}, 401, "key_unknown"},
		{"no body", post(path, ""), 400, "invalid_request"},
		{"null", post(path, "null"), 400, "invalid_request"},
		{"list", post(path, "[1]"), 400, "invalid_request"},
		{"cut JSON", post(path, good[:len(good)-2]), 400, "invalid_request"},
		{"not UTF-8", post(path, "{\"model\":\"\xff\xfe\","+prompt+"}"), 404, "model_not_found"},
		{"model is a number", post(path, `{"model":7,`+prompt+`}`), 400, "invalid_request"},
		{"deep nesting", post(path, `{"model":"warm","messages":`+strings.Repeat("[", 20000)+`}`), 400, "invalid_request"},
		{"negative tokens", post(path, `{"model":"warm","max_tokens":-1,`+prompt+`}`), 400, "invalid_request"},
		{"huge tokens", post(path, `{"model":"warm","max_tokens":99999999999999999999,`+prompt+`}`), 400, "invalid_request"},
		{"more tokens than the burst", post(path, `{"model":"warm","max_tokens":16000000,"n":16000000,`+prompt+`}`), 413, "exceeds_burst"},
		{"stream is a string", post(path, `{"model":"warm","stream":"yes",`+prompt+`}`), 400, "invalid_request"},
		{"bad class", with(post(path, good), "X-Foxtailpass-Class", "fast"), 400, "invalid_request"},
		{"bad deadline", with(post(path, good), "X-Foxtailpass-Deadline-Ms", "-5"), 400, "invalid_request"},
		{"long idempotency key", with(post(path, good), "Idempotency-Key", strings.Repeat("k", 300)), 400, "invalid_request"},
		{"large header", with(post(path, good), "X-Large", strings.Repeat("h", 20<<10)), 431, "header_too_large"},
		{"body larger than the configured limit", post(path, strings.Repeat("x", 2<<20)), 413, "body_too_large"},
		{"method", harness.Request{Method: "DELETE", Path: path, Key: key}, 405, "method_not_allowed"},
		{"body that only says it is a form", with(harness.Request{Method: "POST", Path: "/open/x", Body: "no form"}, "Content-Type", "multipart/form-data; boundary=b"), 200, ""},
		{"HEAD on an open route", harness.Request{Method: "HEAD", Path: "/open/x"}, 200, ""},
	} {
		a := s.Hosts[0].Do(c.request)
		if a.Status != c.status || a.Code != c.code || a.Took > 2*immediateAnswerLimit {
			t.Errorf("%s: status %d, code %q after %v, want %d, %q; err %v, %.100s", c.name, a.Status, a.Code, a.Took, c.status, c.code, a.Err, a.Body)
		}
		if a.Status >= 400 && a.Ran != "not-run" {
			t.Errorf("%s: ran %q, want not-run", c.name, a.Ran)
		}
	}
	checkAlive(t, s, key)
}

// checkAlive fails the test unless all hosts still run and answer.
func checkAlive(t *testing.T, s *harness.Site, key string) {
	t.Helper()
	for i, h := range s.Hosts {
		if !h.Running() {
			t.Fatalf("host %d has ended", i+1)
		}
		checkOwnAnswer(t, s, h.Do(chat(key, "warm", "alive", 3, true, 0)), "warm", "alive", 3)
	}
}

// TestCallersRawBytes guards against bytes on the caller port that are not valid HTTP and stop a host.
func TestCallersRawBytes(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	inputs := []string{
		"\x00\x00\x00\x01", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n{}",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /orders/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /open/%zz HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://[::1 HTTP/1.1\r\n\r\n",
	}
	for range 20 {
		b := make([]byte, rng.IntN(4000))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		inputs = append(inputs, string(b))
	}
	for _, in := range inputs {
		sendRaw(t, s.Hosts[0].Settings.CallerAddr, []byte(in))
	}
	checkAlive(t, s, key)
}

// sendRaw sends bytes, closes the sending direction and reads until the connection ends or one second has
// passed.
func sendRaw(t *testing.T, addr string, b []byte) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Errorf("dial: %v", err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(immediateAnswerLimit))
	_, _ = c.Write(b)
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// TestCallersMalformedPeerFrames guards against malformed frames on the peer port that stop a host or break
// its links.
func TestCallersMalformedPeerFrames(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	frame := func(length uint32, body ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), body...)
	}
	typed := func(kind byte, body []byte) []byte {
		return frame(uint32(len(body))+2, append([]byte{1, kind}, body...)...)
	}
	hello, err := msgpack.Marshal(wire.Hello{Host: "host-9", Incarnation: "i", Prefix: "foxtailpass/"})
	if err != nil {
		t.Fatal(err)
	}
	inputs := [][]byte{
		frame(0), frame(1), frame(1<<32 - 1), frame(4 << 20), frame(2, 9, 1),
		// These frames hold a map and a list that announce 2^32-1 entries, deep nesting, and a truncated hello.
		typed(1, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}), typed(1, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		typed(1, bytes.Repeat([]byte{0x91}, 4000)), typed(1, hello)[:10],
	}
	for kind := range byte(16) {
		garbage := make([]byte, rng.IntN(200))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		// Each frame is sent alone and after a well-formed hello.
		inputs = append(inputs, typed(kind, garbage), append(typed(1, hello), typed(kind, garbage)...))
	}
	for _, in := range inputs {
		sendRaw(t, s.Hosts[0].Settings.PeerAddr, in)
	}
	checkAlive(t, s, key)
	for id, h := range s.Hosts[0].Status().Control.Hosts {
		if !h.Linked {
			t.Errorf("the link to %s is lost", id)
		}
	}
}

// TestCallersSlowSenders guards against slow senders that delay other callers or keep their connection open
// forever. The read timeout of the gateway is 15 s.
func TestCallersSlowSenders(t *testing.T) {
	s := startSite(t, nil)
	key, _ := s.Key("clerks")
	awaitServed(s, key, "warm")
	starts := []string{"", "POST /v1/chat", "POST /orders/new HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\nAuthorization: Bearer " + key + "\r\n\r\n{"}
	done := make(chan error, 60)
	began := time.Now()
	for i := range cap(done) {
		c, err := net.Dial("tcp", s.Hosts[0].Settings.CallerAddr)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, starts[i%3])
			_ = c.SetReadDeadline(began.Add(18 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && resp.StatusCode != http.StatusRequestTimeout {
				err = fmt.Errorf("status %d", resp.StatusCode)
			} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				// The host answered with status 408 or closed the connection; both are correct.
				err = nil
			}
			done <- err
		}()
	}
	for i, a := range burst(20, func(i int) harness.Answer { return s.Hosts[0].Do(chat(key, "warm", fmt.Sprint("m", i), 5, true, 0)) }) {
		checkOwnAnswer(t, s, a, "warm", fmt.Sprint("m", i), 5)
		if a.Took > immediateAnswerLimit {
			t.Errorf("a request took %v while others were sent slowly, want at most immediateAnswerLimit", a.Took)
		}
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Errorf("slow sender: %v", err)
		}
	}
	if n := s.Services[0].Record().Runs; n != 0 {
		t.Errorf("%d unfinished requests ran", n)
	}
	checkAlive(t, s, key)
}

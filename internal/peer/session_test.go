package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Guards against a message that terminates the process: a panic of the handler ends only the session that
// received the message, and the next session is served.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ended := make(chan error, 2)
	go func() {
		_ = Accept(ln, func(s *Session) {
			ended <- s.Run(func(m wire.Message) { panic("handler panicked at " + m.Kind().String()) })
		})
	}()
	for range 2 {
		s, err := Dial(t.Context(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		go func() { _ = s.Run(func(wire.Message) {}) }()
		if err := s.Send(&wire.HostReport{Host: "a"}); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err == nil || !strings.Contains(err.Error(), "handler panicked at") {
			t.Errorf("session ended with %v, want the panic of the handler", err)
		}
	}
}

// Guards against a host that waits without end for the answer of one that stands still, and against an answer that is lost
// because the connection is closed behind it.
func TestAsk(t *testing.T) {
	frame, err := Encode(&wire.StreamRecords{})
	if err != nil {
		t.Fatal(err)
	}
	for _, answers := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go func() {
			_ = Accept(ln, func(s *Session) {
				_ = s.Run(func(wire.Message) {
					if answers {
						_ = s.Send(&wire.StreamRecordsKept{Writable: true})
					}
				})
			})
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		answer, err := Ask(ctx, ln.Addr().String(), frame)
		if kept, ok := answer.(*wire.StreamRecordsKept); ok != answers || ok && !kept.Writable || (err == nil) != answers {
			t.Errorf("answers %v: answer %v, error %v", answers, answer, err)
		}
	}
}

package gateway

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/metrics"
)

// exhaustedListener fails its first failuresLeft calls of Accept with EMFILE, as a process without free file
// descriptors does.
type exhaustedListener struct {
	net.Listener
	failuresLeft int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failuresLeft > 0 {
		l.failuresLeft--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeSurvivesDescriptorShortage guards against Serve returning when accept fails for a short time because no file
// descriptor is free. The process would then end.
func TestServeSurvivesDescriptorShortage(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	g := New(Options{Metrics: m, Log: log.New(os.Stderr)})
	ended := make(chan error, 1)
	go func() { ended <- g.Serve(&exhaustedListener{ln, 3}) }()
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + ln.Addr().String() + "/v1/models")
	if err != nil {
		t.Fatalf("no answer from the gateway after failed accepts: %v", err)
	}
	_ = resp.Body.Close()
	client.CloseIdleConnections()
	if err := g.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatalf("Serve returned %v after Shutdown, want nil", err)
	}
}

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

// exhausted fails its first accepts as a process without free descriptors does.
type exhausted struct {
	net.Listener
	left int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a gateway that stops for good, and ends its process, when file descriptors run
// out for a moment.
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
	go func() { ended <- g.Serve(&exhausted{ln, 3}) }()
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + ln.Addr().String() + "/v1/models")
	if err != nil {
		t.Fatalf("the gateway does not answer: %v", err)
	}
	_ = resp.Body.Close()
	client.CloseIdleConnections()
	if err := g.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatalf("Serve ended with %v", err)
	}
}

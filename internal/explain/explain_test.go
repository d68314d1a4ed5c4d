package explain

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// readTestLog returns log lines that two hosts wrote while they handled two requests.
func readTestLog(t *testing.T) []Line {
	t.Helper()
	f, err := os.Open("testdata/played.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := Read(f, "")
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// Guards against a timeline that lacks a decision about the request, contains lines of other requests, or is
// out of order.
func TestTimelineOfRequest(t *testing.T) {
	s, err := BuildTimeline(readTestLog(t), "3f1c")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	out := b.String()
	var at int
	for _, want := range []string{"Upstream seen.", "* ", "Queued.", "Order answered.", "Sent.", "Attempt failed.", "Refused."} {
		i := strings.Index(out[at:], want)
		if i < 0 {
			t.Fatalf("%q is missing or out of order in:\n%s", want, out)
		}
		at += i
	}
	if strings.Contains(out, "77aa") || strings.Contains(out, "i-other") {
		t.Errorf("the timeline contains lines of another request or of an unrelated upstream:\n%s", out)
	}
}

// Guards against an empty timeline, instead of an error, for a request that no host has logged.
func TestUnknownRequest(t *testing.T) {
	if _, err := BuildTimeline(readTestLog(t), "nobody"); !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v, want ErrNotFound", err)
	}
}

// Guards against wrong results for lines with the prefix of a log collector, lines with quoted values, and
// lines of other formats.
func TestParse(t *testing.T) {
	l, ok := Parse(`   3.5 edge-1 time=2026-10-12T10:24:44.0180Z level=warn prefix=view msg="Service \"x\" lost." err="a b" n=3`, "")
	if !ok || l.Host != "edge-1" || l.Msg != `Service "x" lost.` || l.Get("err") != "a b" || l.Get("n") != "3" || l.Prefix != "view" {
		t.Errorf("parsed line %+v, valid %v; want host edge-1, prefix view, message Service \"x\" lost., err \"a b\" and n 3", l, ok)
	}
	for _, bad := range []string{"", "panic: x", "time=yesterday msg=x"} {
		if _, ok := Parse(bad, "h"); ok {
			t.Errorf("%q was accepted as a log line", bad)
		}
	}
}

// Guards against a timeline that ends at "Request sent.", or at "Sent." as former builds wrote it, without showing that the process of the host was terminated.
// The host logs its next start later than the period from which a timeline includes other lines.
func TestRestartEndsPendingTimeline(t *testing.T) {
	const log = `
time=2026-10-12T10:00:01Z level=INFO msg=Sent. prefix=request request=aa upstream=i-1
time=2026-10-12T10:00:02Z level=INFO msg=Answered. prefix=request request=bb upstream=i-1
time=2026-10-12T10:00:02Z level=INFO msg="Request sent." prefix=request request=cc upstream=i-1
time=2026-10-12T10:00:02Z level=INFO msg="Request answered." prefix=request request=dd upstream=i-1
time=2026-10-12T10:00:09Z level=INFO msg="Host started." prefix=host host=edge-1
time=2026-10-12T10:00:30Z level=INFO msg="Host started." prefix=host host=edge-1
`
	lines, err := Read(strings.NewReader(log), "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string]int{"aa": 1, "bb": 0, "cc": 1, "dd": 0} {
		s, err := BuildTimeline(lines, request)
		if err != nil {
			t.Fatal(err)
		}
		starts := 0
		for _, l := range s.Lines {
			if l.Msg == hostStartedMessage {
				starts++
			}
		}
		if starts != want {
			t.Errorf("request %s: the timeline has %d starts of the host, want %d", request, starts, want)
		}
	}
}

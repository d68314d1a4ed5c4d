package upstream

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// readAll returns the events of a stream and reports whether the stream ended with the end marker. If it did not,
// readAll returns the error that ended the stream.
func readAll(r io.Reader) (events []string, done bool, err error) {
	er := NewEventReader(r)
	for {
		data, end, err := er.Next()
		if err != nil || end {
			return events, end, err
		}
		events = append(events, string(data))
	}
}

// FuzzEventReader checks that the events do not depend on how the bytes are split into reads, that a truncated
// stream is not accepted as complete, and that no input causes a panic or an endless loop.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{
		"", "data: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", "data: a\ndata: b\n\ndata: [DONE]\n\n", "data:a\r\n\r\ndata: [DONE]\r\n\r\n",
		": comment\nevent: x\nid: 1\ndata: {\"a\":1}\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n", "data: [DONE", "data\n\n", "\n\n\ndata: \n\n", "data: a\rdata: b\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Add(bytes.Repeat([]byte("data: 0123456789\n"), 600))
	f.Add(append(bytes.Repeat([]byte("x"), 5000), "\n\ndata: [DONE]\n\n"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		events, done, err := readAll(bytes.NewReader(b))
		if done == (err != nil) {
			t.Fatalf("the stream ended with done %t and error %v, want exactly one of them", done, err)
		}
		if done && !bytes.Contains(b, []byte("[DONE]")) {
			t.Fatal("a stream without end marker was accepted as complete")
		}
		again, doneAgain, _ := readAll(iotest.OneByteReader(bytes.NewReader(b)))
		if done != doneAgain || len(events) != len(again) {
			t.Fatalf("read at once: %d events, done %t; read byte by byte: %d events, done %t; want the same", len(events), done, len(again), doneAgain)
		}
		for i := range events {
			if events[i] != again[i] {
				t.Fatalf("event %d is %q, but %q when read byte by byte", i, events[i], again[i])
			}
		}
		// A truncated stream yields a prefix of the events, and ends with an error unless it contains the end
		// marker.
		for n := 0; n < len(b); n += 1 + len(b)/16 {
			part, doneTruncated, err := readAll(bytes.NewReader(b[:n]))
			if doneTruncated == (err != nil) || doneTruncated && len(part) != len(events) || len(part) > len(events) {
				t.Fatalf("truncated at byte %d: %d of %d events, done %t, error %v; want either done with all events, or an error", n, len(part), len(events), doneTruncated, err)
			}
			for i := range part {
				if part[i] != events[i] {
					t.Fatalf("truncated at byte %d: event %d is %q, want %q", n, i, part[i], events[i])
				}
			}
		}
	})
}

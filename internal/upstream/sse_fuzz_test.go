package upstream

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// readAll returns the events of a stream, whether it ended with its end marker, and the error.
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

// FuzzEventReader guards against events that depend on how the bytes arrive, against a cut stream
// that passes for a whole one, and against input that stops the process or never ends.
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
			t.Fatalf("done %t with error %v", done, err)
		}
		if done && !bytes.Contains(b, []byte("[DONE]")) {
			t.Fatal("a stream without end marker passes for a whole one")
		}
		again, doneAgain, _ := readAll(iotest.OneByteReader(bytes.NewReader(b)))
		if done != doneAgain || len(events) != len(again) {
			t.Fatalf("%d events, done %t; byte by byte %d events, done %t", len(events), done, len(again), doneAgain)
		}
		for i := range events {
			if events[i] != again[i] {
				t.Fatalf("event %d: %q, byte by byte %q", i, events[i], again[i])
			}
		}
		// What a cut stream delivers is a part of the whole, and it ends with an error unless its end
		// marker has come.
		for n := 0; n < len(b); n += 1 + len(b)/16 {
			part, whole, err := readAll(bytes.NewReader(b[:n]))
			if whole == (err != nil) || whole && len(part) != len(events) || len(part) > len(events) {
				t.Fatalf("cut at %d: %d of %d events, done %t, error %v", n, len(part), len(events), whole, err)
			}
			for i := range part {
				if part[i] != events[i] {
					t.Fatalf("cut at %d: event %d is %q, want %q", n, i, part[i], events[i])
				}
			}
		}
	})
}

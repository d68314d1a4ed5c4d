package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrStreamEnded means that a stream ended without its end marker: the answer is not whole.
var ErrStreamEnded = errors.New("upstream: stream ended without [DONE]")

// EventReader reads the data of server-sent events.
type EventReader struct {
	r    *bufio.Reader
	data []byte
}

// NewEventReader returns a reader over the body of a streamed answer.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4096)}
}

// Next returns the data of the next event; it is valid until the next call. done is set for the
// end marker, and then data is nil.
func (e *EventReader) Next() (data []byte, done bool, err error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, false, err
		}
		if len(line) == 0 {
			if seen {
				return e.finish()
			}
			continue
		}
		field, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			e.data = append(e.data, '\n')
		}
		seen = true
		e.data = append(e.data, bytes.TrimPrefix(field, []byte(" "))...)
		if len(e.data) > maxEventBytes {
			return nil, false, fmt.Errorf("upstream: event larger than %d bytes", maxEventBytes)
		}
	}
}

// More says whether a whole further event has already been received, so that Next will not block.
// Comments and parts of events do not count.
func (e *EventReader) More() bool {
	received, _ := e.r.Peek(e.r.Buffered())
	start := bytes.Index(received, []byte("data:"))
	return start >= 0 && bytes.Contains(received[start:], []byte("\n\n"))
}

func (e *EventReader) finish() ([]byte, bool, error) {
	if bytes.Equal(e.data, []byte("[DONE]")) {
		return nil, true, nil
	}
	return e.data, false, nil
}

// line returns the next line without its end. A line that the end of the stream cuts is an error.
func (e *EventReader) line() ([]byte, error) {
	var long []byte
	for {
		part, err := e.r.ReadSlice('\n')
		switch {
		case err == nil:
			if long != nil {
				part = append(long, part...)
			}
			return bytes.TrimRight(part, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
			if len(long) > maxEventBytes {
				return nil, fmt.Errorf("upstream: line larger than %d bytes", maxEventBytes)
			}
		case errors.Is(err, io.EOF):
			return nil, ErrStreamEnded
		default:
			return nil, err
		}
	}
}

package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes is the largest accepted data of an event in bytes. It also bounds the length of a line.
const maxEventBytes = 1 << 20

// ErrStreamEnded is returned when a stream ends without its end marker; the answer is then incomplete.
var ErrStreamEnded = errors.New("upstream: stream ended without [DONE]")

// EventReader reads the data of server-sent events from a stream. It ignores all other fields of the events.
type EventReader struct {
	r    *bufio.Reader
	data []byte
}

// NewEventReader returns a reader over the body of a streamed answer.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4096)}
}

// Next returns the data of the next event, which is valid until the following call of Next. For the end marker,
// an event with the data [DONE], it returns nil data and done set.
func (e *EventReader) Next() (data []byte, done bool, err error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, false, err
		}
		if len(line) == 0 {
			if hasData {
				return e.finish()
			}
			continue
		}
		field, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		e.data = append(e.data, bytes.TrimPrefix(field, []byte(" "))...)
		if len(e.data) > maxEventBytes {
			return nil, false, fmt.Errorf("upstream: event larger than %d bytes", maxEventBytes)
		}
	}
}

// HasBufferedEvent reports whether a further complete event is already buffered, so that Next does not block.
// Comments and incomplete events do not count, and neither do events with CRLF line endings.
func (e *EventReader) HasBufferedEvent() bool {
	received, _ := e.r.Peek(e.r.Buffered())
	start := bytes.Index(received, []byte("data:"))
	return start >= 0 && bytes.Contains(received[start:], []byte("\n\n"))
}

// finish returns the result of Next for the event in e.data.
func (e *EventReader) finish() ([]byte, bool, error) {
	if bytes.Equal(e.data, []byte("[DONE]")) {
		return nil, true, nil
	}
	return e.data, false, nil
}

// line returns the next line without its line ending. A line that is cut off by the end of the stream is an
// error.
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

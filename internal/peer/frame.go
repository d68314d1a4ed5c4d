package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// MaxFrameBytes bounds the size of a frame without its length field: version, kind and body.
	MaxFrameBytes = 4 << 20
	// maxHelloBytes bounds the first frame of a connection, whose sender is not yet known.
	maxHelloBytes = 4 << 10
	// frameVersion changes only when old builds cannot read the frame at all.
	frameVersion = 1
	// lengthBytes is the size of the length field, and frameHeaderBytes that of the version and the kind after it.
	lengthBytes      = 4
	frameHeaderBytes = 2
	// maxRetainedBufferBytes bounds the read buffer that a link retains between frames.
	maxRetainedBufferBytes = 256 << 10
)

var (
	errMalformed   = errors.New("peer: malformed frame")
	errUnknownKind = errors.New("peer: unknown message kind")
	errTooLarge    = errors.New("peer: message too large")
)

// constructors maps each message kind to a function that returns an empty message of that kind.
var constructors = map[wire.Kind]func() wire.Message{
	wire.KindHello:             func() wire.Message { return new(wire.Hello) },
	wire.KindHeartbeat:         func() wire.Message { return new(wire.Heartbeat) },
	wire.KindViewRequest:       func() wire.Message { return new(wire.ViewRequest) },
	wire.KindViewDelta:         func() wire.Message { return new(wire.ViewDelta) },
	wire.KindDocumentRequest:   func() wire.Message { return new(wire.DocumentRequest) },
	wire.KindDocument:          func() wire.Message { return new(wire.Document) },
	wire.KindLoanRequest:       func() wire.Message { return new(wire.LoanRequest) },
	wire.KindLoanGrant:         func() wire.Message { return new(wire.LoanGrant) },
	wire.KindFenceRequest:      func() wire.Message { return new(wire.FenceRequest) },
	wire.KindFenceGrant:        func() wire.Message { return new(wire.FenceGrant) },
	wire.KindDemand:            func() wire.Message { return new(wire.Demand) },
	wire.KindReports:           func() wire.Message { return new(wire.Reports) },
	wire.KindLoanReturn:        func() wire.Message { return new(wire.LoanReturn) },
	wire.KindLoads:             func() wire.Message { return new(wire.Loads) },
	wire.KindHostReport:        func() wire.Message { return new(wire.HostReport) },
	wire.KindFleetState:        func() wire.Message { return new(wire.FleetState) },
	wire.KindTokenRequest:      func() wire.Message { return new(wire.TokenRequest) },
	wire.KindTokenResponse:     func() wire.Message { return new(wire.TokenResponse) },
	wire.KindHostState:         func() wire.Message { return new(wire.HostState) },
	wire.KindListUpdate:        func() wire.Message { return new(wire.ListUpdate) },
	wire.KindAnnouncement:      func() wire.Message { return new(wire.Announcement) },
	wire.KindUpstreamNotices:   func() wire.Message { return new(wire.UpstreamNotices) },
	wire.KindStreamRecords:     func() wire.Message { return new(wire.StreamRecords) },
	wire.KindStreamRecordsKept: func() wire.Message { return new(wire.StreamRecordsKept) },
}

// encodeFrame returns a complete frame: 4 bytes with the big-endian length of the rest, 1 byte of version, 1 byte of
// kind, and the msgpack body.
func encodeFrame(m wire.Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthBytes))
	buf.WriteByte(frameVersion)
	buf.WriteByte(byte(m.Kind()))
	if err := msgpack.NewEncoder(&buf).Encode(m); err != nil {
		return nil, fmt.Errorf("peer: encode %v: %w", m.Kind(), err)
	}
	frame := buf.Bytes()
	n := len(frame) - lengthBytes
	if n > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %v of %d bytes", errTooLarge, m.Kind(), n)
	}
	binary.BigEndian.PutUint32(frame, uint32(n))
	return frame, nil
}

// readFrame reads one frame into buf and returns it without its length field. The returned bytes are valid
// until the next call with the same buf. buf grows only with the bytes that arrive, so that a frame with a large
// length field and little data does not cause a large allocation. limit bounds the length field.
func readFrame(r io.Reader, buf *bytes.Buffer, limit int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n < frameHeaderBytes || n > int64(limit) {
		return nil, fmt.Errorf("%w: length %d", errMalformed, n)
	}
	if buf.Cap() > maxRetainedBufferBytes {
		*buf = bytes.Buffer{}
	}
	buf.Reset()
	if _, err := io.CopyN(buf, r, n); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// decodeFrame decodes a frame that readFrame returned. It returns errUnknownKind for a kind that only newer builds
// know; the caller skips such a frame. It returns errMalformed for every other frame that it cannot decode.
func decodeFrame(b []byte) (wire.Message, error) {
	return decodeFrameWithin(b, func(int) bool { return true })
}

// decodeFrameWithin is decodeFrame for frames whose elements may not all be allowed: it returns errNoMemory if allow reports
// false for the number of elements in all arrays.
func decodeFrameWithin(b []byte, allow func(elements int) bool) (wire.Message, error) {
	if len(b) < frameHeaderBytes || b[0] != frameVersion {
		return nil, fmt.Errorf("%w: unsupported version", errMalformed)
	}
	newMessage, ok := constructors[wire.Kind(b[1])]
	if !ok {
		return nil, fmt.Errorf("%w: %d", errUnknownKind, b[1])
	}
	elements, err := validate(b[frameHeaderBytes:])
	if err != nil {
		return nil, err
	}
	if !allow(elements) {
		return nil, errNoMemory
	}
	m := newMessage()
	if err := msgpack.Unmarshal(b[frameHeaderBytes:], m); err != nil {
		return nil, fmt.Errorf("%w: %v: %w", errMalformed, m.Kind(), err)
	}
	return m, nil
}

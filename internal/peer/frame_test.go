package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Guards against frames that cause a panic or a large allocation, and against decoded messages that cannot be
// encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	for _, m := range []wire.Message{
		&wire.Hello{Host: "h1", Incarnation: "i", Prefix: "p/"},
		&wire.Heartbeat{Seq: 7, ConfirmedAge: -1, Levels: []wire.WorkspaceLevel{{Workspace: "w", Level: 1.5}}},
		&wire.ViewDelta{Since: 3, Revision: 9, Changes: []wire.ViewChange{{Key: "k", Value: []byte("v"), ModRevision: 8}}},
		&wire.Reports{Reports: []wire.UpstreamReport{{Upstream: "u", AppliedOrders: []string{"o"}}}},
	} {
		frame, err := encodeFrame(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Add([]byte{0, 0, 0, 2, 1, 99})
	// The array header of this frame declares 2^32-1 elements.
	f.Add([]byte{0, 0, 0, 10, 1, byte(wire.KindReports), 0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	// This frame has an unknown field with deeply nested arrays.
	nested := append([]byte{0, 0, 1, 4, 1, byte(wire.KindReports), 0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 254)...)
	f.Add(append(nested, 0xc0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var buf bytes.Buffer
		b, err := readFrame(bytes.NewReader(data), &buf, MaxFrameBytes)
		if err != nil {
			return
		}
		m, err := decodeFrame(b)
		if err != nil {
			if !errors.Is(err, errMalformed) && !errors.Is(err, errUnknownKind) {
				t.Fatalf("error is neither errMalformed nor errUnknownKind: %v", err)
			}
			return
		}
		frame, err := encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeFrame(frame[lengthBytes:]); err != nil {
			t.Fatalf("encoded message cannot be decoded: %v", err)
		}
	})
}

// Guards against fields or kinds of a newer build that break links during a rolling update.
func TestDecodeNewerBuild(t *testing.T) {
	body, err := msgpack.Marshal(map[string]any{"s": 5, "new": []string{"x"}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeFrame(append([]byte{frameVersion, byte(wire.KindViewRequest)}, body...))
	if r, ok := m.(*wire.ViewRequest); err != nil || !ok || r.Since != 5 {
		t.Errorf("view request with an unknown field: got %+v, %v, want a view request since 5", m, err)
	}
	if _, err := decodeFrame([]byte{frameVersion, 200, 0x80}); !errors.Is(err, errUnknownKind) {
		t.Errorf("unknown kind: got error %v, want errUnknownKind", err)
	}
}

// Guards against kinds without a constructor: the receiver would skip their messages like those of a newer build.
func TestEveryKindIsDecoded(t *testing.T) {
	for _, k := range wire.Kinds() {
		newMessage, ok := constructors[k]
		if !ok || newMessage().Kind() != k || k.String() == "unknown" {
			t.Errorf("kind %d: has a constructor: %t, name %q; want a constructor of this kind and a name", k, ok, k)
		}
	}
}

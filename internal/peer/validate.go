package peer

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxElements bounds the total number of elements in all arrays of a frame. The msgpack library allocates
	// arrays by their declared length, and an element of one byte can decode to a struct of over 100 bytes.
	maxElements = 1 << 17
	// maxDepth bounds the nesting, because the msgpack library skips unknown fields recursively and deep nesting
	// could exhaust the stack.
	maxDepth = 32
)

// Validate checks that the body of a frame is exactly one well-formed msgpack value whose declared lengths do
// not exceed the available bytes, maxElements or maxDepth. It is called before the body is decoded.
func Validate(b []byte) error {
	_, err := validate(b)
	return err
}

// validate is Validate. elements is the total number of elements in all arrays.
func validate(b []byte) (elements int, err error) {
	// pending is the number of values that are still to be read in each enclosing array or map.
	pending := []int{1}
	total := 0
	for len(pending) > 0 {
		top := len(pending) - 1
		if pending[top] == 0 {
			pending = pending[:top]
			continue
		}
		pending[top]--
		skip, children, err := parseHeader(b)
		if err != nil {
			return 0, err
		}
		if isArray(b[0]) {
			total += children
		}
		b = b[skip:]
		if children > len(b) || total > maxElements || len(pending) > maxDepth {
			return 0, fmt.Errorf("%w: %d elements, depth %d", errMalformed, total, len(pending))
		}
		if children > 0 {
			pending = append(pending, children)
		}
	}
	if len(b) > 0 {
		return 0, fmt.Errorf("%w: %d bytes left", errMalformed, len(b))
	}
	return total, nil
}

// isArray reports whether c is the type byte of an array.
func isArray(c byte) bool { return c >= 0x90 && c <= 0x9f || c == 0xdc || c == 0xdd }

// parseHeader parses the value at the start of b. skip is its size without its children, and children is the
// number of values that follow as its elements.
func parseHeader(b []byte) (skip, children int, err error) {
	if len(b) == 0 {
		return 0, 0, fmt.Errorf("%w: body ends early", errMalformed)
	}
	// width is the size of the length field in bytes, and extra the size of the type field of an extension value.
	// perItem is the number of values per element: 1 in an array, 2 in a map, 0 for a value without elements.
	width, extra, perItem := 0, 0, 0
	c := b[0]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return 1, 0, nil
	case c <= 0x8f:
		return 1, 2 * int(c&0x0f), nil
	case c <= 0x9f:
		return 1, int(c & 0x0f), nil
	case c <= 0xbf:
		return scalarSize(b, 1+int(c&0x1f))
	case c >= 0xc4 && c <= 0xc6: // bin
		width = 1 << (c - 0xc4)
	case c >= 0xc7 && c <= 0xc9: // ext
		width, extra = 1<<(c-0xc7), 1
	case c == 0xca || c == 0xce || c == 0xd2: // 32-bit numbers
		return scalarSize(b, 5)
	case c == 0xcb || c == 0xcf || c == 0xd3: // 64-bit numbers
		return scalarSize(b, 9)
	case c == 0xcc || c == 0xd0: // 8-bit numbers
		return scalarSize(b, 2)
	case c == 0xcd || c == 0xd1: // 16-bit numbers
		return scalarSize(b, 3)
	case c >= 0xd4 && c <= 0xd8: // fixed ext
		return scalarSize(b, 2+1<<(c-0xd4))
	case c >= 0xd9 && c <= 0xdb: // str
		width = 1 << (c - 0xd9)
	case c == 0xdc || c == 0xdd: // array
		width, perItem = 2<<(c-0xdc), 1
	case c == 0xde || c == 0xdf: // map
		width, perItem = 2<<(c-0xde), 2
	default:
		return 0, 0, fmt.Errorf("%w: type byte %#x", errMalformed, c)
	}
	if len(b) < 1+width {
		return 0, 0, fmt.Errorf("%w: body ends early", errMalformed)
	}
	var field [8]byte
	copy(field[8-width:], b[1:1+width])
	n := int(binary.BigEndian.Uint64(field[:]))
	if perItem > 0 {
		return 1 + width, perItem * n, nil
	}
	return scalarSize(b, 1+width+extra+n)
}

// scalarSize returns the result of parseHeader for a value of n bytes that has no children.
func scalarSize(b []byte, n int) (skip, children int, err error) {
	if n > len(b) {
		return 0, 0, fmt.Errorf("%w: body ends early", errMalformed)
	}
	return n, 0, nil
}

package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

// Locations knows the lines at which the fields of a JSON document stand.
type Locations struct {
	root *location
	// faultLine is the line at which the document stops being valid JSON; zero if all of it is valid.
	faultLine int
}

// location is one value of a document. line is the line of the name of a field, or of the first character of the value
// if it has no name. A field that is given more than once has the location of its last occurrence.
type location struct {
	line     int
	children map[string]*location
}

// Locate reads the locations of all fields of a document. In a document that is not valid JSON, the fields before the
// fault have a location.
func Locate(data []byte) *Locations {
	l := &locator{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	l.dec.UseNumber()
	out := &Locations{}
	out.root, _ = l.value(0)
	var syntax *json.SyntaxError
	if err := json.Unmarshal(data, new(json.RawMessage)); errors.As(err, &syntax) {
		out.faultLine = 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		if int(syntax.Offset) <= len(data) && syntax.Offset > 0 && data[syntax.Offset-1] == '\n' {
			// Offset counts the offending byte. A newline belongs to the line that it ends.
			out.faultLine--
		}
	}
	return out
}

// FaultLine returns the line at which the document stops being valid JSON, or zero if all of it is valid.
func (l *Locations) FaultLine() int { return l.faultLine }

// Line returns the line of the field at a path as in FieldError, and missing 0. If the document does not have the field,
// Line returns the line of its nearest ancestor that the document has, and missing is the length of the rest of the path.
// The document as a whole is at line 1. A path that can be read in two ways, because names contain dots or brackets, is
// read in the way that is found.
func (l *Locations) Line(path string) (line, missing int) { return l.root.find(path) }

// find returns the line of the deepest value on the path, and the length of the rest of the path that was not found. A
// name can contain dots and brackets, so that each possible end of the first name is tried.
func (n *location) find(path string) (line, missing int) {
	if n == nil {
		return 1, max(1, len(path))
	}
	line, missing = n.line, len(path)
	for _, name := range firstNames(path) {
		child, ok := n.children[name.text]
		if !ok {
			continue
		}
		if l, m := child.find(path[name.end:]); m < missing {
			line, missing = l, m
		}
	}
	return line, missing
}

type pathName struct {
	text string
	end  int
}

// firstNames returns the possible first names of a path: a.b and a[b] start with a or are one name.
func firstNames(path string) []pathName {
	var out []pathName
	if path == "" {
		return nil
	}
	if path[0] == '[' {
		for i := 1; i < len(path); i++ {
			if path[i] == ']' && (i+1 == len(path) || path[i+1] == '.' || path[i+1] == '[') {
				out = append(out, pathName{path[1:i], i + 1})
			}
		}
		return out
	}
	start := 0
	if path[0] == '.' {
		start = 1
	}
	for i := start; i <= len(path); i++ {
		if i == len(path) || path[i] == '.' || path[i] == '[' {
			out = append(out, pathName{path[start:i], i})
		}
	}
	return out
}

// locator reads the locations of a document with a streaming decoder.
type locator struct {
	data []byte
	dec  *json.Decoder
	// offset and line are the position up to which lines have been counted.
	offset, line int
}

// lineHere returns the line of the token that was read last.
func (l *locator) lineHere() int {
	end := int(l.dec.InputOffset())
	l.line += bytes.Count(l.data[l.offset:end], []byte("\n"))
	l.offset = end
	return l.line
}

// value reads the next value. If the document ends before the value does, the returned location has what was read.
func (l *locator) value(depth int) (*location, error) {
	token, err := l.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &location{line: l.lineHere()}
	delim, ok := token.(json.Delim)
	if !ok {
		return n, nil
	}
	if depth > maxDepth {
		return n, errors.New("nested too deep")
	}
	n.children = map[string]*location{}
	for l.dec.More() {
		name, line := strconv.Itoa(len(n.children)), 0
		if delim == '{' {
			token, err := l.dec.Token()
			if err != nil {
				return n, err
			}
			// The decoder has checked that a name is a string.
			name, _ = token.(string)
			line = l.lineHere()
		}
		child, err := l.value(depth + 1)
		if child != nil {
			if line > 0 {
				child.line = line
			}
			n.children[name] = child
		}
		if err != nil {
			return n, err
		}
	}
	_, err = l.dec.Token()
	return n, err
}

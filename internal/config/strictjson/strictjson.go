// Package strictjson decodes JSON documents into typed values and reports all faults at once, each with the path
// of its field and the allowed values. It is stricter than encoding/json: unknown fields, repeated fields, field
// names in the wrong letter case and trailing data are faults.
//
// Struct fields may have a `default` tag, whose text is used as JSON if the field is missing, and a `validate`
// tag for go-playground/validator.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// maxDepth bounds the nesting of a document, so that a malicious document cannot exhaust the stack.
const maxDepth = 32

// FieldError is one fault of a document.
type FieldError struct {
	// Document is the name of the document, for example "base" or a file name; empty if there is only one.
	Document string `json:"document,omitempty"`
	// Path is the path of the field, for example "models[label-001].bytes"; empty for the document as a whole.
	Path string `json:"path,omitempty"`
	// Reason describes the fault.
	Reason string `json:"reason"`
	// Allowed describes the allowed values of the field.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault on one line.
func (f FieldError) String() string {
	var parts []string
	if f.Document != "" {
		parts = append(parts, f.Document)
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	text := strings.Join(append(parts, f.Reason), ": ")
	if f.Allowed != "" {
		text += " (allowed: " + f.Allowed + ")"
	}
	return text
}

// Describer is implemented by types with an UnmarshalText method that describe which texts the method accepts.
type Describer interface {
	// AllowedText describes the accepted texts, for FieldError.Allowed.
	AllowedText() string
}

// Parse parses one JSON object. Numbers become values of type json.Number. The object is nil if the data is not a JSON
// object; it may be non-nil even if there are faults.
func Parse(data []byte) (map[string]any, []FieldError) {
	p := parser{dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	v, err := p.value("", 0)
	if err != nil {
		return nil, append(p.faults, FieldError{Reason: "is not valid JSON: " + err.Error(), Allowed: "one JSON object"})
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		p.addFault("", "has data after the JSON object", "one JSON object")
	}
	object, ok := v.(map[string]any)
	if !ok {
		p.addFault("", "is "+describe(v), "one JSON object")
	}
	return object, p.faults
}

type parser struct {
	dec    *json.Decoder
	faults []FieldError
}

func (p *parser) addFault(path, reason, allowed string) {
	p.faults = append(p.faults, FieldError{Path: path, Reason: reason, Allowed: allowed})
}

// value parses the next value. path is its path in the document, for faults.
func (p *parser) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := p.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.object(path, depth)
	case json.Delim('['):
		return p.array(path, depth)
	}
	return token, nil
}

// object parses the rest of an object after its opening brace.
func (p *parser) object(path string, depth int) (any, error) {
	object := map[string]any{}
	for p.dec.More() {
		token, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("unexpected %v for a field name", token)
		}
		if _, seen := object[name]; seen {
			p.addFault(fieldPath(path, name), "is given more than once", "each field once")
		}
		value, err := p.value(fieldPath(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		object[name] = value
	}
	_, err := p.dec.Token()
	return object, err
}

// array parses the rest of an array after its opening bracket.
func (p *parser) array(path string, depth int) (any, error) {
	array := []any{}
	for p.dec.More() {
		value, err := p.value(elementPath(path, strconv.Itoa(len(array))), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := p.dec.Token()
	return array, err
}

// Check verifies that a parsed value can be decoded into type t, and that it has no unknown fields. If patch is set,
// the value of a field may be null, which deletes the field in a merge patch.
func Check(v any, t reflect.Type, patch bool) []FieldError {
	c := checker{patch: patch}
	c.check("", v, t)
	return c.faults
}

type checker struct {
	patch  bool
	faults []FieldError
}

func (c *checker) addFault(path, reason, allowed string) {
	c.faults = append(c.faults, FieldError{Path: path, Reason: reason, Allowed: allowed})
}

// checkMember checks the value of a field of an object or an entry of a map.
func (c *checker) checkMember(path string, v any, t reflect.Type) {
	if v == nil && c.patch {
		return
	}
	c.check(path, v, t)
}

// check checks the value at path against type t.
func (c *checker) check(path string, v any, t reflect.Type) {
	if isTextType(t) {
		c.checkText(path, v, reflect.New(t).Interface().(encoding.TextUnmarshaler))
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(path, v, t)
	case reflect.Map:
		c.checkMap(path, v, t)
	case reflect.Slice:
		c.checkSlice(path, v, t)
	case reflect.String:
		if _, ok := v.(string); !ok {
			c.addFault(path, "is "+describe(v), "a string")
		}
	case reflect.Bool:
		if _, ok := v.(bool); !ok {
			c.addFault(path, "is "+describe(v), "true or false")
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		number, ok := v.(json.Number)
		if _, err := strconv.ParseInt(string(number), 10, t.Bits()); !ok || err != nil {
			c.addFault(path, "is "+describe(v), fmt.Sprintf("a whole number of %d bits", t.Bits()))
		}
	case reflect.Float32, reflect.Float64:
		number, ok := v.(json.Number)
		if _, err := strconv.ParseFloat(string(number), t.Bits()); !ok || err != nil {
			c.addFault(path, "is "+describe(v), "a number")
		}
	default:
		panic(fmt.Sprintf("strictjson: type %s is not supported", t))
	}
}

func (c *checker) checkText(path string, v any, u encoding.TextUnmarshaler) {
	allowed := "a string"
	if d, ok := u.(Describer); ok {
		allowed = d.AllowedText()
	}
	text, ok := v.(string)
	if !ok {
		c.addFault(path, "is "+describe(v), allowed)
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		c.addFault(path, err.Error(), allowed)
	}
}

func (c *checker) checkStruct(path string, v any, t reflect.Type) {
	object, ok := v.(map[string]any)
	if !ok {
		c.addFault(path, "is "+describe(v), "an object")
		return
	}
	fields := fieldsOf(t)
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			c.addFault(fieldPath(path, name), "is an unknown field", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		c.checkMember(fieldPath(path, name), object[name], field.Type)
	}
}

func (c *checker) checkMap(path string, v any, t reflect.Type) {
	object, ok := v.(map[string]any)
	if !ok {
		c.addFault(path, "is "+describe(v), "an object")
		return
	}
	for _, name := range sortedKeys(object) {
		c.checkMember(elementPath(path, name), object[name], t.Elem())
	}
}

func (c *checker) checkSlice(path string, v any, t reflect.Type) {
	array, ok := v.([]any)
	if !ok {
		c.addFault(path, "is "+describe(v), "an array")
		return
	}
	for i, element := range array {
		c.check(elementPath(path, strconv.Itoa(i)), element, t.Elem())
	}
}

// FillDefaults adds to a value of type t the missing fields that have a `default` tag, at every level of nesting. The
// value must have passed Check with patch unset, or have been pruned of the fields with faults.
func FillDefaults(v any, t reflect.Type) {
	object, ok := v.(map[string]any)
	if !ok {
		return
	}
	switch t.Kind() {
	case reflect.Map:
		for _, element := range object {
			FillDefaults(element, t.Elem())
		}
	case reflect.Struct:
		for name, field := range fieldsOf(t) {
			fillField(object, name, field)
		}
	}
}

func fillField(object map[string]any, name string, field reflect.StructField) {
	if _, given := object[name]; !given {
		if text, ok := field.Tag.Lookup("default"); ok {
			object[name] = json.RawMessage(text)
			return
		}
		if !isObjectType(field.Type) {
			return
		}
		object[name] = map[string]any{}
	}
	FillDefaults(object[name], field.Type)
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// isTextType reports whether values of type t are decoded from JSON strings by UnmarshalText.
func isTextType(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textUnmarshalerType) }

// isObjectType reports whether values of type t are decoded from JSON objects field by field.
func isObjectType(t reflect.Type) bool { return t.Kind() == reflect.Struct && !isTextType(t) }

// Decode decodes a checked value into target, which must be a pointer.
func Decode(v any, target any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// fieldCache maps struct types to their fields by JSON name. A document can contain thousands of values of the same few
// types.
var fieldCache sync.Map

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(map[string]reflect.StructField)
	}
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		field := t.Field(i)
		name := JSONName(field)
		if field.IsExported() && name != "" {
			fields[name] = field
		}
	}
	fieldCache.Store(t, fields)
	return fields
}

// JSONName returns the JSON name of a struct field, or "" if the field is not encoded.
func JSONName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	switch name {
	case "-":
		return ""
	case "":
		return field.Name
	}
	return name
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path, name string) string { return path + "[" + name + "]" }

func describe(v any) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "an array"
	case string:
		return strconv.Quote(v)
	}
	return fmt.Sprint(v)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Prune removes the fields that have a fault found by Check from a parsed object, so that the remaining fields can be
// decoded and validated. An array with a faulty element is removed as a whole.
func Prune(object map[string]any, faults []FieldError) {
	faulty := map[string]bool{}
	for _, f := range faults {
		faulty[f.Path] = true
	}
	pruneFaulty("", object, faulty)
}

// pruneFaulty removes the faulty members of the value at path, and reports whether the value itself must be
// removed.
func pruneFaulty(path string, v any, faulty map[string]bool) bool {
	if faulty[path] {
		return true
	}
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			if pruneFaulty(fieldPath(path, name), member, faulty) || pruneFaulty(elementPath(path, name), member, faulty) {
				delete(v, name)
			}
		}
	case []any:
		for i, element := range v {
			if pruneFaulty(elementPath(path, strconv.Itoa(i)), element, faulty) {
				return true
			}
		}
	}
	return false
}

// Package settings reads a program's JSON settings and reports all faults at once, each with
// file, field and what is allowed.
//
// A settings type is a struct with `json` tags. Further tags are `default`, JSON text that is
// used when the field is missing, and `validate` for go-playground/validator, which also knows
// ip_port for addresses. Durations have the type Duration.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
)

// FieldError is one fault; its Document is the file.
type FieldError = strictjson.FieldError

// Error lists every fault of a settings file.
type Error struct {
	File   string       `json:"file"`
	Fields []FieldError `json:"fields"`
}

// Error lists all faults, one per line.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("settings: %s is not valid:", e.File)}
	for _, f := range e.Fields {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings in a file into a T, which must be a struct. The error is an *Error.
func Load[T any](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, &Error{File: path, Fields: []FieldError{{Document: path, Reason: "cannot be read: " + err.Error()}}}
	}
	return Parse[T](path, data)
}

// Parse reads settings from data; file is used in errors only. The error is an *Error.
func Parse[T any](file string, data []byte) (T, error) {
	var out, zero T
	faults := decode(data, reflect.TypeFor[T](), &out)
	if len(faults) == 0 {
		return out, nil
	}
	for i := range faults {
		faults[i].Document = file
	}
	return zero, &Error{File: file, Fields: faults}
}

// decode reports the faults of types together with those of ranges: the fields whose type is
// wrong are left out and reported once, the others are decoded and checked.
func decode(data []byte, t reflect.Type, out any) []FieldError {
	tree, faults := strictjson.Parse(data)
	if tree == nil {
		return faults
	}
	wrong := strictjson.Check(tree, t, false)
	faults = append(faults, wrong...)
	strictjson.Prune(tree, wrong)
	strictjson.FillDefaults(tree, t)
	if err := strictjson.Decode(tree, out); err != nil {
		return append(faults, FieldError{Reason: err.Error()})
	}
	for _, f := range strictjson.Validate(out) {
		if !coveredBy(wrong, f.Path) {
			faults = append(faults, f)
		}
	}
	return faults
}

func coveredBy(faults []FieldError, path string) bool {
	for _, f := range faults {
		if f.Path == path || strings.HasPrefix(f.Path, path+".") || strings.HasPrefix(f.Path, path+"[") {
			return true
		}
	}
	return false
}

// Duration is a time span that settings give as text such as "2s" or "1m30s". It is never negative.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("is %q", text)
	}
	if v < 0 {
		return fmt.Errorf("is negative: %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// AllowedText implements strictjson.Describer.
func (d Duration) AllowedText() string { return `a duration such as "2s", "150ms" or "1m30s"` }

// String returns the duration as text.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Check validates settings that did not come from one file, for example after flags have
// changed them. The error is an *Error, or nil.
func Check(source string, s any) error {
	faults := strictjson.Validate(s)
	if len(faults) == 0 {
		return nil
	}
	for i := range faults {
		faults[i].Document = source
	}
	return &Error{File: source, Fields: faults}
}

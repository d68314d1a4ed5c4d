// Package settings reads the JSON settings of a program and reports all faults at once, each with its file, its
// field and the allowed values.
//
// A settings type is a struct with `json` tags. Two further tags are supported. `default` contains a JSON text that is
// used if the field is missing. `validate` contains rules for go-playground/validator, or the additional rule ip_port
// for an IP address with a port. Durations have the type Duration.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
)

// FieldError is one fault of a settings file. Its Document is the name of the file.
type FieldError = strictjson.FieldError

// Error contains all faults of a settings file.
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

// Load reads the settings in a file into a T, which must be a struct. A returned error is an *Error.
func Load[T any](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, &Error{File: path, Fields: []FieldError{{Document: path, Reason: "cannot be read: " + err.Error()}}}
	}
	return Parse[T](path, data)
}

// Parse reads settings from data into a T, which must be a struct. file is used in errors only. A returned error
// is an *Error.
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

// decode decodes settings of type t into out and validates them. It returns faults of types together with faults of
// validation: a field of the wrong type is reported and removed, and the remaining fields are decoded and validated.
// No field is reported for both reasons.
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
		if !hasFaultWithin(wrong, f.Path) {
			faults = append(faults, f)
		}
	}
	return faults
}

// hasFaultWithin reports whether one of the faults is at path or in a part of the value at path.
func hasFaultWithin(faults []FieldError, path string) bool {
	for _, f := range faults {
		if f.Path == path || strings.HasPrefix(f.Path, path+".") || strings.HasPrefix(f.Path, path+"[") {
			return true
		}
	}
	return false
}

// Duration is a duration that is written in settings as text such as "2s" or "1m30s". It is never negative.
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

// Check validates settings that do not come from a single file, for example after flags have changed them. source names
// their origin in the error. A returned error is an *Error.
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

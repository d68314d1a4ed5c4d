// Package finding holds the types of the reports about configurations that have not been sent yet. The checks of the
// different forms of configuration share them.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Severity is the severity of a finding.
type Severity string

const (
	// Error means that the configuration, or an entry of it, is refused.
	Error Severity = "error"
	// Warning means that the configuration is accepted, but an entry of it has no effect, can never be used, or
	// contradicts another one.
	Warning Severity = "warning"
)

// Code identifies the kind of a finding.
type Code string

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Sites lists the sites that the finding is about; empty for a fault of a single document and for findings that
	// concern all sites together.
	Sites []string `json:"sites,omitempty"`
	// File is the file with the field, or with the nearest enclosing field if the field itself is not given.
	File string `json:"file,omitempty"`
	// Line is the line in File, or zero if it is not known.
	Line int `json:"line,omitempty"`
	// Path is the path of the field, for example "models[label-001].bytes"; empty for the document as a whole.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"`
}

// String returns the finding on one line, without its hint.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s: ", f.Severity)
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if len(f.Sites) > 0 {
		b.WriteString(" (site " + strings.Join(f.Sites, ", ") + ")")
	}
	return Printable(b.String()) + " [" + string(f.Code) + "]"
}

// Printable returns a text with all characters escaped that are not printable. Names in a document can contain line
// breaks and control sequences of terminals.
func Printable(text string) string {
	if !strings.ContainsFunc(text, isControl) {
		return text
	}
	var b strings.Builder
	for _, r := range text {
		if isControl(r) {
			quoted := strconv.QuoteRune(r)
			b.WriteString(quoted[1 : len(quoted)-1])
			continue
		}
		b.WriteRune(r)
	}
	return b.String()
}

func isControl(r rune) bool { return !unicode.IsPrint(r) }

// Sort orders findings by severity, file, line, path, code and message.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Path, b.Path), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Message, b.Message))
	})
}

// Count returns the number of findings with a severity.
func Count(list []Finding, s Severity) int {
	n := 0
	for _, f := range list {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Gap is something that was not checked, because what it needs is not known.
type Gap struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// Change is one difference between two configurations. Old and New are the texts of the two values. Old is empty for an
// added entry, and New for a removed one.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	var line string
	switch {
	case c.Old == "":
		line = fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		line = fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		line = fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
	return Printable(line)
}

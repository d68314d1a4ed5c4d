package upstream

import (
	"strings"
	"testing"
)

// A caller's event is held back while More is true, so it must be false unless a whole event is
// there: a comment or a part of an event can be followed by a long silence.
func TestMoreNeedsWholeEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"":                          false,
		": ping\n\n":                false,
		"data: part":                false,
		"data: part\n":              false,
		": ping\n\ndata: whole\n\n": true,
		"data: whole\n\n":           true,
	} {
		e := NewEventReader(strings.NewReader("data: first\n\n" + rest))
		if _, _, err := e.Next(); err != nil {
			t.Fatal(err)
		}
		if got := e.More(); got != want {
			t.Errorf("More is %v after %q", got, rest)
		}
	}
}

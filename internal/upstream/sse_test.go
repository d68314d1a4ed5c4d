package upstream

import (
	"strings"
	"testing"
)

// Checks that HasBufferedEvent returns true only if a complete event is buffered. Output to the caller is
// delayed while More returns true, and a comment or an incomplete event can be followed by a long pause.
func TestMoreRequiresCompleteEvent(t *testing.T) {
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
		if got := e.HasBufferedEvent(); got != want {
			t.Errorf("More returned %v for buffered %q", got, rest)
		}
	}
}

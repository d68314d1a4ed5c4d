package upstream

import (
	"strings"
	"testing"
)

// Guards against output to the caller that is delayed although no event follows soon. The output is delayed while
// HasBufferedEvent returns true, so it must not return true for a comment or an incomplete event: a long pause can
// follow them.
func TestHasBufferedEventRequiresCompleteEvent(t *testing.T) {
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
			t.Errorf("HasBufferedEvent returned %v for the buffered bytes %q, want the opposite", got, rest)
		}
	}
}

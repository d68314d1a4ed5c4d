package kvstore

import "testing"

// Guards against revisions, and numbers derived from fencing tokens, that fall or repeat after a restore.
func TestRevisionsRiseWithEra(t *testing.T) {
	revisions := []int64{
		JoinRevision(0, 1), JoinRevision(0, 1<<39), JoinRevision(1, 0), JoinRevision(1, 7), JoinRevision(2, 1), JoinRevision(255, 3), JoinRevision(MaxEra, 1<<39),
	}
	for i, r := range revisions {
		if got := JoinRevision(EraOf(r), WithinEra(r)); got != r {
			t.Errorf("revision %x becomes %x", r, got)
		}
		if i > 0 && r <= revisions[i-1] {
			t.Errorf("revision %x is not above %x", r, revisions[i-1])
		}
	}
	tokens := []int64{JoinRevision(0, 5), JoinRevision(0, 6), JoinRevision(1, 1), JoinRevision(1, 2), JoinRevision(2, 1), JoinRevision(255, 1)}
	for i := 1; i < len(tokens); i++ {
		for _, bits := range []uint{20, 24} {
			if TokenSpace(tokens[i], bits) < TokenSpace(tokens[i-1], bits)+1<<bits {
				t.Errorf("the range of token %x overlaps that of %x with %d free bits", tokens[i], tokens[i-1], bits)
			}
		}
	}
}

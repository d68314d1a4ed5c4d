package peer

import (
	"testing"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// Guards against a kind that is sent but neither decoded nor named: the receiver skips such frames
// as those of a newer build, without any error.
func TestEveryKindIsDecoded(t *testing.T) {
	for k := wire.KindHello; k <= wire.KindLoanReturn; k++ {
		if k.String() == "unknown" {
			t.Errorf("kind %d has no name", k)
		}
		if constructors[k] == nil {
			t.Errorf("kind %v has no constructor", k)
			continue
		}
		if got := constructors[k]().Kind(); got != k {
			t.Errorf("kind %v decodes to %v", k, got)
		}
	}
}

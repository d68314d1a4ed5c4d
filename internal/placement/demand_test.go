package placement

import (
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// TestLostIdleReport guards against demand that remains when the message that a model became idle is lost, for example
// because the receiver was paused. The next complete list must remove it; otherwise the model would keep its memory.
func TestLostIdleReport(t *testing.T) {
	s := newSim(1, testSite(2, 2000))
	p := s.addHost(Policy{}).p
	listOf := func(models ...wire.ModelDemand) wire.Demand { return wire.Demand{Models: models, Complete: true} }
	m0 := wire.ModelDemand{Model: "m0", Adapter: "a0", WaitingInteractive: 1, OldestDeadline: time.Minute}
	m1 := wire.ModelDemand{Model: "m1", Running: 2}
	p.HandleDemand("other", listOf(m0, m1), s.now)
	p.HandleDemand("third", listOf(m0), s.now)
	p.HandleDemand("other", listOf(m1), s.now.Add(time.Second))
	if got := p.model("m0").sum.total(); got != 1 {
		t.Errorf("sum of m0 is %d, want 1 from the third host", got)
	}
	p.HandleDemand("third", listOf(), s.now.Add(time.Second))
	if got := p.model("m0").sum.total(); got != 0 {
		t.Errorf("sum of m0 is %d after complete lists without it, want 0", got)
	}
	if n := len(p.model("m0").activeAdapters); n != 0 {
		t.Errorf("%d adapters of m0 count as active, want 0", n)
	}
	if got := p.model("m1").sum.running; got != 2 {
		t.Errorf("sum of m1 is %d, want 2", got)
	}
	p.HandleDemand("other", wire.Demand{}, s.now.Add(time.Second))
	if got := p.model("m1").sum.running; got != 2 {
		t.Errorf("sum of m1 is %d after a list of changes without it, want 2", got)
	}
}

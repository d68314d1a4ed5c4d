package limits

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLateHostGetsSharesImmediately guards against a host that starts after another one has taken all units, and
// that must wait while the other one releases them slowly, 10 % at a time. The late host is not ready until it holds
// units.
func TestLateHostGetsSharesImmediately(t *testing.T) {
	c := newSimulation(rand.New(rand.NewPCG(1, 2)), PolicyLoans, 1, 1000, 1000)
	c.runUntil(3 * time.Second)
	late := c.start("late")
	c.runUntil(4500 * time.Millisecond)
	if units := late.th.account(testWorkspace).units; units < TotalUnits/2-minUnitMove {
		t.Errorf("the late host holds %d units after 1.5 s, want about half\n%s", units, c.describe())
	}
	if err := c.checkUnits(); err != nil {
		t.Error(err)
	}
}

// TestFirstRequestsWaitForShare guards against refusing the first requests of a workspace that was just
// configured: they must wait for the share record. Requests beyond the burst must still be refused.
func TestFirstRequestsWaitForShare(t *testing.T) {
	c := newSimulation(rand.New(rand.NewPCG(1, 2)), PolicyLoans, 2, 1000, 1000)
	var all []*simRequest
	c.after(time.Millisecond, func() {
		for range 4 {
			all = append(all, c.request("h0", 100))
		}
		all = append(all, c.request("h0", 900))
	})
	c.runUntil(3 * time.Second)
	for i, r := range all {
		if want := i < 4; !r.answered || r.admitted != want || r.took > firstShareWait {
			t.Errorf("request %d of %v tokens: answered %t, admitted %t after %v; want all answered within firstShareWait, and all but the last admitted", i, r.tokens, r.answered, r.admitted, r.took)
		}
	}
	if err := c.checkBound(); err != nil {
		t.Error(err)
	}
}

package daysim

import (
	"reflect"
	"testing"
)

// play plays a day and a policy that exist.
func play(t *testing.T, site Site, day, policy string, seed uint64) *Result {
	t.Helper()
	d, dayOK := DayNamed(day)
	p, policyOK := PolicyNamed(policy)
	if !dayOK || !policyOK {
		t.Fatalf("no day %q or policy %q", day, policy)
	}
	return Run(site, d, p, seed)
}

// meanWorth plays a day of the smaller site with five seeds.
func meanWorth(t *testing.T, day, policy string) float64 {
	t.Helper()
	mean := 0.0
	for seed := range uint64(5) {
		mean += play(t, thessaly(), day, policy, seed+1).Worth() / 5
	}
	return mean
}

// TestSeedRepeats guards against runs whose difference comes from chance and not from the policy.
func TestSeedRepeats(t *testing.T) {
	for _, policy := range []string{"product", "earlier"} {
		for _, site := range []Site{thessaly(), reykjavik()} {
			a := play(t, site, "crash", policy, 1)
			for range 3 {
				if b := play(t, site, "crash", policy, 1); !reflect.DeepEqual(a.Counts, b.Counts) || a.Orders != b.Orders {
					t.Errorf("%s, %s: two runs differ: %+v and %+v", site.Name, policy, a, b)
				}
			}
		}
	}
}

// TestEveryRequestHasOneOutcome guards against requests that are dropped or counted twice, and
// against loads beyond the memory of an engine.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	for _, policy := range []string{"product", "random-replica"} {
		r := play(t, reykjavik(), "crash", policy, 1)
		for class, n := range r.Counts {
			if sum := n.InTime + n.Late + n.Limited + n.Refused + n.Failed; sum != n.Asked || n.Asked == 0 {
				t.Errorf("%s, %s: %d asked, %d with an outcome: %+v", policy, class, n.Asked, sum, *n)
			}
		}
		if r.Overcommitted > 0 {
			t.Errorf("%s: %d loads beyond the memory", policy, r.Overcommitted)
		}
	}
}

// TestProductBeatsSimplePolicies guards against a change that loses what the policies gained, on the
// load pattern that each answers.
func TestProductBeatsSimplePolicies(t *testing.T) {
	for _, c := range []struct{ day, policy string }{
		{"burst", "count-first"},
		{"burst", "earlier"},
		{"shift", "mixed-prompts"},
		{"shift", "reports-only"},
		{"hot-workspace", "random-replica"},
	} {
		t.Run(c.day+"/"+c.policy, func(t *testing.T) {
			t.Parallel()
			product, other := meanWorth(t, c.day, "product"), meanWorth(t, c.day, c.policy)
			t.Logf("product %.4f, %s %.4f", product, c.policy, other)
			if product <= other {
				t.Errorf("the product earns %.4f and %s %.4f", product, c.policy, other)
			}
		})
	}
}

package daysim

import (
	"reflect"
	"testing"
)

// runNamed runs the named day with the named policy and fails the test if either does not exist.
func runNamed(t *testing.T, site Site, day, policy string, seed uint64) *Result {
	t.Helper()
	d, dayOK := DayNamed(day)
	p, policyOK := PolicyNamed(policy)
	if !dayOK || !policyOK {
		t.Fatalf("no day %q or policy %q", day, policy)
	}
	return Run(site, d, p, seed)
}

// meanWorth returns the mean worth over five seeds of a day at thessaly, the site with fewer engines.
func meanWorth(t *testing.T, day, policy string) float64 {
	t.Helper()
	mean := 0.0
	for seed := range uint64(5) {
		mean += runNamed(t, thessaly(), day, policy, seed+1).Worth() / 5
	}
	return mean
}

// TestSameSeedGivesSameResult guards against a run that depends on anything but its site, day, policy and seed:
// differences between two policies could then come from chance.
func TestSameSeedGivesSameResult(t *testing.T) {
	for _, policy := range []string{"product", "earlier"} {
		for _, site := range []Site{thessaly(), reykjavik()} {
			a := runNamed(t, site, "crash", policy, 1)
			for range 3 {
				if b := runNamed(t, site, "crash", policy, 1); !reflect.DeepEqual(a.Counts, b.Counts) || a.Orders != b.Orders {
					t.Errorf("%s, %s: two runs with one seed differ: %+v and %+v", site.Name, policy, a, b)
				}
			}
		}
	}
}

// TestEveryRequestHasOneOutcome guards against requests that are lost or counted twice, and against loads
// that exceed the memory of an engine.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	for _, policy := range []string{"product", "random-replica"} {
		r := runNamed(t, reykjavik(), "crash", policy, 1)
		for class, n := range r.Counts {
			if sum := n.InTime + n.Late + n.Limited + n.Refused + n.Failed; sum != n.Asked || n.Asked == 0 {
				t.Errorf("%s, %s: %d requests, %d outcomes, want one for each of at least one request: %+v", policy, class, n.Asked, sum, *n)
			}
		}
		if r.Overcommitted > 0 {
			t.Errorf("%s: %d loads exceed the memory of an engine, want none", policy, r.Overcommitted)
		}
	}
}

// TestProductBeatsOtherPolicies guards against a change that loses the gain of a rule of the product. Each run
// of the product is compared with that of a policy that lacks a rule, or of an earlier version of the product,
// on a day with the load pattern that the rule is meant for.
func TestProductBeatsOtherPolicies(t *testing.T) {
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
				t.Errorf("the worth of the policy product is %.4f, want more than that of %s, %.4f", product, c.policy, other)
			}
		})
	}
}

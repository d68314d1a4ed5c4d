package daysim

import (
	"reflect"
	"testing"
)

// dayNamed returns a day that exists.
func dayNamed(t *testing.T, name string) Day {
	t.Helper()
	for _, d := range Days {
		if d.Name == name {
			return d
		}
	}
	t.Fatalf("no day %q", name)
	return Day{}
}

func policyNamed(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %q", name)
	return Policy{}
}

// meanWorth plays a day of the smaller site with five seeds.
func meanWorth(t *testing.T, day, policy string) float64 {
	t.Helper()
	mean := 0.0
	for seed := range uint64(5) {
		mean += Run(thessaly(), dayNamed(t, day), policyNamed(t, policy), seed+1).Worth() / 5
	}
	return mean
}

// TestSeedRepeats guards against runs whose difference comes from chance and not from the policy.
func TestSeedRepeats(t *testing.T) {
	day := dayNamed(t, "crash")
	a := Run(thessaly(), day, policyNamed(t, "product"), 3)
	b := Run(thessaly(), day, policyNamed(t, "product"), 3)
	if !reflect.DeepEqual(a.Counts, b.Counts) || a.Orders != b.Orders {
		t.Errorf("two runs with one seed differ: %+v and %+v", a, b)
	}
}

// TestEveryRequestHasOneOutcome guards against requests that are dropped or counted twice, and
// against loads beyond the memory of an engine.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	for _, policy := range []string{"product", "random-replica"} {
		r := Run(reykjavik(), dayNamed(t, "crash"), policyNamed(t, policy), 1)
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

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against retries of all hosts together that exceed the limit of the site. When each of 63 to 295
// hosts took a twelfth of the fixed number, a site of 74 hosts made 626 retries in a window that allowed
// 610.
func TestRetriesOfAllHostsStayWithinLimit(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
	)
	for _, hosts := range []int{7, 63, 74, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			extra := 2.3 * float64(hosts)
			r := rand.New(rand.NewPCG(uint64(hosts), 1))
			budgets := make([]*Budget, hosts)
			for i := range budgets {
				budgets[i] = &Budget{Ratio: ratio, Extra: ExtraPerHost(extra, hosts), Window: window}
			}
			now := time.Unix(1000, 0)
			retries, requests := make([]float64, 4), make([]float64, 4)
			for w := range retries {
				for range 1000 {
					now = now.Add(window / 1000)
					for _, b := range budgets {
						if w != 1 && r.Float64() < 0.01 {
							b.Deposit(now)
							requests[w]++
						}
						if b.TryTake(now) {
							retries[w]++
						}
					}
				}
			}
			for w := range retries {
				served := requests[w]
				if w > 0 {
					served = max(served, requests[w-1])
				}
				if allowed := ratio*served + extra; retries[w] > allowed {
					t.Errorf("window %d: %.0f retries of all hosts, want at most %.0f", w, retries[w], allowed)
				}
			}
		})
	}
}

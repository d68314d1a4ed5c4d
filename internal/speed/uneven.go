package speed

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
)

const (
	// minUnevenReplicas is the least number of replicas of a service that can be uneven.
	minUnevenReplicas = 4
	// unevenPart is the part of the replicas at either end that may differ from the rest for other reasons, such as a
	// fault or the models that they hold.
	unevenPart = 0.15
	// unevenRatio is the ratio of the times of the slower to the faster replicas from which a service is uneven, and
	// evenRatio the one below which it no longer is.
	unevenRatio = 1.4
	evenRatio   = 1.2
	// unevenInterval is the time between two checks of a service.
	unevenInterval = time.Second
)

// Uneven reports whether the replicas of a service differ so much that it matters which one gets a request. A single slow
// replica does not make a service uneven.
func (l *Learner) Uneven(id catalog.ServiceID, now time.Time) bool {
	s := l.services[id]
	if s == nil {
		return false
	}
	if now.Sub(s.unevenAt) >= unevenInterval {
		s.unevenAt = now
		s.uneven = l.differ(s, now)
	}
	return s.uneven
}

// AnyUneven reports whether any service is uneven.
func (l *Learner) AnyUneven(now time.Time) bool {
	for id := range l.services {
		if l.Uneven(id, now) {
			return true
		}
	}
	return false
}

// Uneven is the last result of Learner.Uneven for the service of the replica; false for nil.
func (r *Replica) Uneven() bool { return r != nil && r.service.uneven }

func (l *Learner) differ(s *service, now time.Time) bool {
	if len(s.replicas) < minUnevenReplicas {
		return false
	}
	factors := make([]float64, 0, len(s.replicas))
	for _, r := range s.replicas {
		factors = append(factors, l.factor(r, Gap, now))
	}
	slices.Sort(factors)
	skipped := int(unevenPart * float64(len(factors)))
	ratio := math.Exp(factors[len(factors)-1-skipped] - factors[skipped])
	if s.uneven {
		return ratio >= evenRatio
	}
	return ratio >= unevenRatio
}

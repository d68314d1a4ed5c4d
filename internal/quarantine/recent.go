package quarantine

import (
	"sync"
	"time"
)

const (
	// recentTime is how long a trait counts as recent at least; it is forgotten after at most twice that time.
	recentTime = time.Second
	// maxRecentTraits bounds the traits of one generation.
	maxRecentTraits = 4096
)

// RecentTraits holds the parts of the prompts of requests whose answers have begun lately, and the requests whose answers
// have lately been completed. It is safe for concurrent use.
type RecentTraits struct {
	mu sync.Mutex
	// older and newer hold the traits of the last two generations; the newer one began at since.
	older, newer map[Trait]struct{}
	since        time.Time
}

// AnswerBegan records that the answer to a request has begun.
func (r *RecentTraits) AnswerBegan(request Traits, now time.Time) { r.add(request.ofParts(), now) }

// AnswerCompleted records that the answer to a request has been completed.
func (r *RecentTraits) AnswerCompleted(request Traits, now time.Time) {
	r.add(request.ofRequest(), now)
}

func (r *RecentTraits) add(traits []Trait, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	for _, x := range traits {
		if len(r.newer) < maxRecentTraits {
			r.newer[x] = struct{}{}
		}
	}
}

// Contains reports whether a trait is recent.
func (r *RecentTraits) Contains(x Trait, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, newer := r.newer[x]
	_, older := r.older[x]
	return newer || older
}

// rotate starts a new generation if the newer one is complete.
func (r *RecentTraits) rotate(now time.Time) {
	age := now.Sub(r.since)
	if r.newer != nil && age < recentTime {
		return
	}
	r.older = r.newer
	if age >= 2*recentTime {
		r.older = nil
	}
	r.newer = make(map[Trait]struct{})
	r.since = now
}

package quarantine

import (
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// recentTime is how long a part counts as recent at least; it is forgotten after at most twice that time.
	recentTime = time.Second
	// maxRecentParts bounds the parts of one generation.
	maxRecentParts = 4096
)

// RecentParts holds the parts of the prompts of requests whose answers have begun lately. It is safe for concurrent use.
type RecentParts struct {
	mu sync.Mutex
	// older and newer hold the parts of the last two generations; the newer one began at since.
	older, newer map[Part]struct{}
	since        time.Time
}

// Add records that an answer to a request with the parts has begun.
func (r *RecentParts) Add(service catalog.ServiceID, ids []entity.PromptPartID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	for _, id := range ids {
		if len(r.newer) < maxRecentParts {
			r.newer[Part{Service: service, ID: id}] = struct{}{}
		}
	}
}

// Contains reports whether an answer to a request with the part has begun lately.
func (r *RecentParts) Contains(p Part, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, newer := r.newer[p]
	_, older := r.older[p]
	return newer || older
}

// rotate starts a new generation if the newer one is complete.
func (r *RecentParts) rotate(now time.Time) {
	age := now.Sub(r.since)
	if r.newer != nil && age < recentTime {
		return
	}
	r.older = r.newer
	if age >= 2*recentTime {
		r.older = nil
	}
	r.newer = make(map[Part]struct{})
	r.since = now
}

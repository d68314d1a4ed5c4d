package engine

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// prefixBlockChars is the number of prompt characters in one cache block: 16 tokens of 4 characters.
	prefixBlockChars  = 64
	prefixBlockTokens = prefixBlockChars / charsPerToken
	// prefixBlockBytes is the cache memory that one block takes: 16 tokens of 64 KiB.
	prefixBlockBytes = 1 << 20
	// keptEvents is the number of newest cache events that are always kept. Up to twice as many are kept
	// before the oldest ones are dropped.
	keptEvents = 8192
)

// CacheEvent reports that a prefix block was stored or evicted. Prefix is a hash of the model and of the whole
// prompt text up to the end of the block. All engines compute the same hash.
type CacheEvent struct {
	Seq         uint64           `json:"seq"`
	Kind        string           `json:"kind"`
	Model       string           `json:"model"`
	Prefix      string           `json:"prefix"`
	RequestID   entity.RequestID `json:"request_id,omitempty"`
	publishedAt time.Time
}

// CacheEvents is the answer to GET /engine/v1/events.
type CacheEvents struct {
	Boot string `json:"boot"`
	// Newest is the sequence number of the newest published event. Events may be missing from Events.
	Newest uint64       `json:"newest"`
	Events []CacheEvent `json:"events"`
}

// PrefixHashes returns the hashes of the blocks of a prompt in the form of CacheEvent.Prefix.
func PrefixHashes(model, prompt string) []string {
	var out []string
	for _, h := range prefixHashes(model, prompt) {
		out = append(out, formatHash(h))
	}
	return out
}

func formatHash(h uint64) string { return strconv.FormatUint(h, 16) }

// prefixHashes returns one hash per whole block of the prompt. Each hash covers the prompt from its start to
// the end of the block.
func prefixHashes(model, prompt string) []uint64 {
	blocks := len(prompt) / prefixBlockChars
	if blocks == 0 {
		return nil
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	chain := make([]uint64, blocks)
	for i := range chain {
		_, _ = d.WriteString(prompt[i*prefixBlockChars : (i+1)*prefixBlockChars])
		chain[i] = d.Sum64()
	}
	return chain
}

type cacheBlock struct {
	hash  uint64
	model string
}

// prefixCache is a set of prompt blocks that evicts the least recently used one when it is full. The engine's
// lock protects it.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	seq      uint64
	events   []CacheEvent
}

func newPrefixCache(bytes int64) *prefixCache {
	return &prefixCache{
		capacity: int(bytes / prefixBlockBytes),
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// lookUpAndStore returns the number of leading prompt tokens that were cached and stores the blocks that were
// not.
func (c *prefixCache) lookUpAndStore(model, prompt string, id entity.RequestID, now time.Time) (hitTokens int) {
	missed := false
	for _, h := range prefixHashes(model, prompt) {
		if el, ok := c.blocks[h]; ok {
			c.order.MoveToFront(el)
			if !missed {
				hitTokens += prefixBlockTokens
			}
			continue
		}
		missed = true
		c.store(cacheBlock{h, model}, id, now)
	}
	return hitTokens
}

func (c *prefixCache) store(b cacheBlock, id entity.RequestID, now time.Time) {
	if c.capacity == 0 {
		return
	}
	for c.order.Len() >= c.capacity {
		c.evict(c.order.Back(), now)
	}
	c.blocks[b.hash] = c.order.PushFront(b)
	c.publish(CacheEvent{Kind: "stored", Model: b.model, Prefix: formatHash(b.hash), RequestID: id, publishedAt: now})
}

func (c *prefixCache) evict(el *list.Element, now time.Time) {
	b := c.order.Remove(el).(cacheBlock)
	delete(c.blocks, b.hash)
	c.publish(CacheEvent{Kind: "evicted", Model: b.model, Prefix: formatHash(b.hash), publishedAt: now})
}

// evictMatching evicts the blocks of the models and adapters for which matches returns true.
func (c *prefixCache) evictMatching(matches func(model string) bool, now time.Time) {
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		if matches(el.Value.(cacheBlock).model) {
			c.evict(el, now)
		}
		el = next
	}
}

// publish appends the event to the kept events and gives it the next sequence number.
func (c *prefixCache) publish(ev CacheEvent) {
	c.seq++
	ev.Seq = c.seq
	c.events = append(c.events, ev)
	if len(c.events) > 2*keptEvents {
		c.events = append([]CacheEvent(nil), c.events[keptEvents:]...)
	}
}

// since returns the events with a sequence number above seq that were published up to the time before,
// and the sequence number of the newest of them. If gapEvery is positive, every gapEvery-th event is left
// out.
func (c *prefixCache) since(seq uint64, before time.Time, gapEvery uint64) ([]CacheEvent, uint64) {
	out := []CacheEvent{}
	newest := seq
	for _, ev := range c.events {
		if ev.Seq <= seq {
			continue
		}
		if ev.publishedAt.After(before) {
			break
		}
		newest = ev.Seq
		if gapEvery > 0 && ev.Seq%gapEvery == 0 {
			continue
		}
		out = append(out, ev)
	}
	return out, newest
}

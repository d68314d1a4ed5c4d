package dispatch

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// An engine reads prompts between the tokens of the requests that run, so a long prompt, or several at
// once, makes a pause in all their streams. Long prompts of a model go to one of its replicas, and what
// this host sent lately counts against an upstream.

const (
	// longPrompt is the number of tokens from which a prompt is long: at 38 tokens a millisecond, reading
	// it holds up the streams of an engine for 80 ms, a third of the longest pause that callers accept.
	longPrompt = 3000
	// longReplicas is the least number of replicas of a model of which one reads the long prompts.
	longReplicas = 3
	// replicasPerReader is the number of replicas of which one reads the long prompts.
	replicasPerReader = 4
	// otherReaderPenalty keeps prompts on their kind of replica until that is busier by this part of
	// its slots.
	otherReaderPenalty = 0.35
	// readingScale is the number of unread prompt tokens that count like a full upstream.
	readingScale = 10000.0
	// readingTime is the time in which an upstream reads most of what it was sent.
	readingTime = 250 * time.Millisecond
)

// unread estimates the prompt tokens of this host that the upstream has yet to read.
func (t *target) unread(now time.Time) float64 {
	if t.promptTokens == 0 {
		return 0
	}
	return t.promptTokens * math.Exp(-now.Sub(t.promptsAt).Seconds()/readingTime.Seconds())
}

func (t *target) addUnread(tokens int, now time.Time) {
	t.promptTokens = t.unread(now) + float64(tokens)
	t.promptsAt = now
}

// longReaders returns the upstreams to which all hosts send the long prompts of a model, or nil when too
// few serve the model.
func (s *Scheduler) longReaders(p Pool) map[*target]bool {
	if p.Model == "" {
		return nil
	}
	var ranked []rankedTarget
	for _, t := range s.byService[p.Service] {
		if _, held := t.Held[p.Model]; !held || t.leaves() {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(p.Model) + "/" + string(t.ID)))
		ranked = append(ranked, rankedTarget{target: t, hash: h.Sum64()})
	}
	if len(ranked) < longReplicas {
		return nil
	}
	slices.SortFunc(ranked, func(a, b rankedTarget) int { return cmp.Compare(a.hash, b.hash) })
	readers := make(map[*target]bool)
	for _, r := range ranked[:max(1, len(ranked)/replicasPerReader)] {
		readers[r.target] = true
	}
	return readers
}

type rankedTarget struct {
	target *target
	hash   uint64
}

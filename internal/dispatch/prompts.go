package dispatch

import (
	"hash/fnv"
	"math"
	"time"
)

// An engine reads prompts between the tokens of the requests that run, so a long prompt, or several at
// once, makes a pause in all their streams. Long prompts of a model go to one of its replicas, and what
// this host sent lately counts against an upstream.

const (
	// longPrompt is the number of tokens from which a prompt is long: reading it takes about as long
	// as ten tokens of running requests.
	longPrompt = 2000
	// longReplicas is the least number of replicas of a model of which one reads the long prompts.
	longReplicas = 3
	// otherReaderPenalty is in parts of a full upstream. It keeps prompts on their kind of replica until
	// that is busier by this part.
	otherReaderPenalty = 0.2
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

// longReader returns the upstream to which all hosts send the long prompts of a model, or nil when too
// few serve the model.
func (s *Scheduler) longReader(p Pool) *target {
	if p.Model == "" {
		return nil
	}
	replicas := 0
	var reader *target
	var lowest uint64
	for _, t := range s.byService[p.Service] {
		if _, held := t.Held[p.Model]; !held || t.Draining {
			continue
		}
		replicas++
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(p.Model) + "/" + string(t.ID)))
		if v := h.Sum64(); reader == nil || v < lowest {
			reader, lowest = t, v
		}
	}
	if replicas < longReplicas {
		return nil
	}
	return reader
}

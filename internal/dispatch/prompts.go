package dispatch

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// An engine runs the prefill of new prompts between the decoding steps of running requests, so a long prompt,
// or several prompts at once, stall all running streams. Long prompts of a model are therefore sent to a few
// of its replicas, and prompts that this host has sent recently count as load of an upstream.

const (
	// longPromptTokens is the number of tokens from which a prompt is long. At 38 tokens per millisecond, its
	// prefill stalls the streams of an engine for 80 ms, a third of the longest pause that callers accept.
	longPromptTokens = 3000
	// minReplicasForSplit is the least number of replicas of a model at which long prompts are kept apart from
	// short ones.
	minReplicasForSplit = 3
	// replicasPerLongPromptReplica is the number of replicas of a model for each one that takes its long
	// prompts.
	replicasPerLongPromptReplica = 4
	// otherKindPenalty keeps long and short prompts on their own replicas until these are busier than the
	// other replicas by this fraction of their slots.
	otherKindPenalty = 0.35
	// pendingPrefillScale is the number of pending prefill tokens that count like a full upstream.
	pendingPrefillScale = 10000.0
	// prefillTimeConstant is the time constant of the exponential decay by which pending prompt tokens are
	// assumed to be processed.
	prefillTimeConstant = 250 * time.Millisecond
)

// pendingPrefill estimates how many prompt tokens of this host the upstream has not processed yet.
func (t *target) pendingPrefill(now time.Time) float64 {
	if t.prefillTokens == 0 {
		return 0
	}
	return t.prefillTokens * math.Exp(-now.Sub(t.prefillUpdatedAt).Seconds()/prefillTimeConstant.Seconds())
}

// addPendingPrefill adds the tokens of a prompt that is sent now.
func (t *target) addPendingPrefill(tokens int, now time.Time) {
	t.prefillTokens = t.pendingPrefill(now) + float64(tokens)
	t.prefillUpdatedAt = now
}

// longPromptReplicas returns the upstreams to which all hosts send the long prompts of a model, or nil when
// too few upstreams serve the model. All hosts choose the same ones, because they rank them by a hash of
// model and upstream.
func (s *Scheduler) longPromptReplicas(p Pool) map[*target]bool {
	if p.Model == "" {
		return nil
	}
	var ranked []rankedTarget
	for _, t := range s.byService[p.Service] {
		if _, loaded := t.LoadedModels[p.Model]; !loaded || t.isDraining() {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(p.Model) + "/" + string(t.ID)))
		ranked = append(ranked, rankedTarget{target: t, hash: h.Sum64()})
	}
	if len(ranked) < minReplicasForSplit {
		return nil
	}
	slices.SortFunc(ranked, func(a, b rankedTarget) int { return cmp.Compare(a.hash, b.hash) })
	replicas := make(map[*target]bool)
	for _, r := range ranked[:max(1, len(ranked)/replicasPerLongPromptReplica)] {
		replicas[r.target] = true
	}
	return replicas
}

// rankedTarget is an upstream with the hash by which it is ranked.
type rankedTarget struct {
	target *target
	hash   uint64
}

package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// groupGap separates the ends of replicas that may have one cause, such as a rack that loses its power.
const groupGap = 400 * time.Millisecond

// end is what all hosts together saw of the end of one incarnation of a replica.
type end struct {
	instance  Instance
	learnedAt time.Time
	// index is the position of the end in the order of time.
	index int
	// answering is set if the head of the answer to any request had arrived. Only the parts of such requests are suspects
	// then.
	answering bool
	parts     map[Trait]bool
	requests  map[Trait]bool
}

// endGroup are ends of replicas that followed each other closely.
type endGroup []*end

// ends returns the ends of replicas with their suspects, in the order of time.
func (t *Tracker) ends() []*end {
	byInstance := make(map[Instance]*end)
	for _, c := range t.crashes {
		e := byInstance[c.instance()]
		if e == nil {
			e = &end{instance: c.instance(), parts: make(map[Trait]bool), requests: make(map[Trait]bool)}
			byInstance[e.instance] = e
		}
		e.add(c)
	}
	out := make([]*end, 0, len(byInstance))
	for _, e := range byInstance {
		if len(e.parts)+len(e.requests) > 0 {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *end) int {
		return cmp.Or(a.learnedAt.Compare(b.learnedAt), cmp.Compare(a.instance.Upstream, b.instance.Upstream))
	})
	for i, e := range out {
		e.index = i
	}
	return out
}

// add adds what one host saw.
func (e *end) add(c *crash) {
	if c.learnedAt.After(e.learnedAt) {
		e.learnedAt = c.learnedAt
	}
	for _, d := range c.Requests {
		e.requests[Trait{Request: d}] = true
	}
	answering := len(c.Answering) > 0
	parts := c.Waiting
	if answering {
		parts = c.Answering
	}
	switch {
	case answering && !e.answering:
		e.answering = true
		clear(e.parts)
	case answering != e.answering:
		return
	}
	for _, id := range parts {
		e.parts[Trait{Service: c.Service, Part: id}] = true
	}
}

// partSuspects returns the parts that may have ended replicas. Ends with the sharper evidence are grouped apart from the
// others. An end that a suspected request explains says nothing about the parts that were not there.
func partSuspects(ends []*end, requests []suspect) []suspect {
	byRequest := make(map[int]bool)
	for _, s := range requests {
		for _, i := range s.ends {
			byRequest[i] = true
		}
	}
	var answering, waiting []*end
	for _, e := range ends {
		if e.answering {
			answering = append(answering, e)
		} else {
			waiting = append(waiting, e)
		}
	}
	groups := append(groupByTime(waiting), groupByTime(answering)...)
	byTrait := make(map[Trait][]int)
	for _, g := range groups {
		g.addParts(byTrait, byRequest)
	}
	return newSuspects(byTrait)
}

// addParts adds the ends of the group to those of the parts that may have caused them: the parts that were at most of
// them. What ends many replicas at once for another reason finds different requests at each of them. The ends in
// byRequest have another explanation.
func (g endGroup) addParts(byTrait map[Trait][]int, byRequest map[int]bool) {
	// with counts the ends at which a part was, and ofRequests those among them that a request explains.
	with, ofRequests := make(map[Trait]int), make(map[Trait]int)
	unexplained := 0
	for _, e := range g {
		if !byRequest[e.index] {
			unexplained++
		}
		for x := range e.parts {
			with[x]++
			if byRequest[e.index] {
				ofRequests[x]++
			}
		}
	}
	for _, e := range g {
		for x := range e.parts {
			if 2*with[x] > unexplained+ofRequests[x] {
				byTrait[x] = append(byTrait[x], e.index)
			}
		}
	}
}

// requestSuspects returns the requests that may have ended replicas. Of a group a request must have been at a quarter of
// the ends: replicas may end under several deadly requests and parts at the same time, but popular requests are at some of
// the many replicas that end at once for another reason.
func requestSuspects(ends []*end) []suspect {
	byTrait := make(map[Trait][]int)
	for _, g := range groupByTime(ends) {
		with := make(map[Trait]int)
		for _, e := range g {
			for x := range e.requests {
				with[x]++
			}
		}
		for _, e := range g {
			for x := range e.requests {
				if 4*with[x] >= len(g) {
					byTrait[x] = append(byTrait[x], e.index)
				}
			}
		}
	}
	return newSuspects(byTrait)
}

// groupByTime groups ends of replicas that are at most groupGap apart. The ends are in the order of time.
func groupByTime(ends []*end) []endGroup {
	var out []endGroup
	for i, e := range ends {
		if i == 0 || e.learnedAt.Sub(ends[i-1].learnedAt) > groupGap {
			out = append(out, nil)
		}
		last := len(out) - 1
		out[last] = append(out[last], e)
	}
	return out
}

// suspect is a trait with the ends of replicas that it may have caused.
type suspect struct {
	trait Trait
	// ends are the indexes of the ends, in ascending order.
	ends []int
}

// newSuspects returns the traits that may have caused the end of crashesToQuarantine replicas or more.
func newSuspects(byTrait map[Trait][]int) []suspect {
	var out []suspect
	for x, ends := range byTrait {
		if len(ends) >= crashesToQuarantine {
			slices.Sort(ends)
			out = append(out, suspect{trait: x, ends: ends})
		}
	}
	return out
}

// explained returns the suspects that need not be quarantined: another suspect of their kind explains their ends, and
// more ends besides, or a request was at all the ends of a part. A request is the sharper explanation, because sound
// requests may have all its parts.
func explained(parts, requests []suspect) map[Trait]bool {
	out := make(map[Trait]bool)
	requestSets, partSets := endSets(requests), endSets(parts)
	for _, a := range partSets {
		if isExplained(a, partSets, false) || isExplained(a, requestSets, true) {
			a.addTo(out)
		}
	}
	for _, a := range requestSets {
		if isExplained(a, requestSets, false) {
			a.addTo(out)
		}
	}
	return out
}

// endSet are the suspects of the same ends.
type endSet struct {
	ends   []int
	traits []Trait
}

func (s *endSet) addTo(set map[Trait]bool) {
	for _, x := range s.traits {
		set[x] = true
	}
}

func endSets(suspects []suspect) []*endSet {
	byEnds := make(map[string]*endSet)
	var out []*endSet
	for _, s := range suspects {
		key := fmt.Sprint(s.ends)
		set := byEnds[key]
		if set == nil {
			set = &endSet{ends: s.ends}
			byEnds[key] = set
			out = append(out, set)
		}
		set.traits = append(set.traits, s.trait)
	}
	return out
}

// isExplained reports whether one of the others contains all ends of a set, and more unless the same are enough.
func isExplained(a *endSet, others []*endSet, sameEnough bool) bool {
	return slices.ContainsFunc(others, func(b *endSet) bool {
		return (sameEnough || len(a.ends) < len(b.ends)) && isSubset(a.ends, b.ends)
	})
}

// isSubset reports whether b contains all elements of a. Both are in ascending order.
func isSubset(a, b []int) bool {
	for _, v := range a {
		i, found := slices.BinarySearch(b, v)
		if !found {
			return false
		}
		b = b[i+1:]
	}
	return true
}

package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// groupGap separates the ends of engines that may have one cause, such as a rack that loses its power.
const groupGap = 400 * time.Millisecond

// end is what all hosts together saw of the end of one incarnation of an engine.
type end struct {
	instance  Instance
	service   catalog.ServiceID
	learnedAt time.Time
	// answering is set if the head of the answer to any request had arrived. Only such requests are suspects then.
	answering bool
	suspects  map[entity.PromptPartID]bool
}

// endGroup are ends of engines that followed each other closely.
type endGroup []*end

// ends returns the ends of engines with their suspects.
func (t *Tracker) ends() []*end {
	byInstance := make(map[Instance]*end)
	for _, c := range t.crashes {
		answering := len(c.Answering) > 0
		e := byInstance[c.instance()]
		if e == nil {
			e = &end{instance: c.instance(), service: c.Service, suspects: make(map[entity.PromptPartID]bool)}
			byInstance[e.instance] = e
		}
		if c.learnedAt.After(e.learnedAt) {
			e.learnedAt = c.learnedAt
		}
		switch {
		case answering && !e.answering:
			e.answering = true
			clear(e.suspects)
			e.add(c.Answering)
		case answering:
			e.add(c.Answering)
		case !e.answering:
			e.add(c.Waiting)
		}
	}
	out := make([]*end, 0, len(byInstance))
	for _, e := range byInstance {
		if len(e.suspects) > 0 {
			out = append(out, e)
		}
	}
	return out
}

func (e *end) add(ids []entity.PromptPartID) {
	for _, id := range ids {
		e.suspects[id] = true
	}
}

// groupEnds groups the ends of engines by time. Those with the sharper evidence stay apart from the others.
func groupEnds(ends []*end) []endGroup {
	var answering, waiting []*end
	for _, e := range ends {
		if e.answering {
			answering = append(answering, e)
		} else {
			waiting = append(waiting, e)
		}
	}
	return append(groupByTime(waiting), groupByTime(answering)...)
}

// groupByTime sorts ends of engines by time and groups those that are at most groupGap apart.
func groupByTime(ends []*end) []endGroup {
	slices.SortFunc(ends, func(a, b *end) int {
		return cmp.Or(a.learnedAt.Compare(b.learnedAt), cmp.Compare(a.instance.Upstream, b.instance.Upstream))
	})
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

// suspect is a part with the ends of engines that it may have caused.
type suspect struct {
	part Part
	// ends are the indexes of the ends, in ascending order.
	ends []int
}

// findSuspects returns the parts that may have caused the end of crashesToQuarantine engines or more. Of the ends in a
// group a part is a suspect only if it is one at most of them: what ends many engines at once for another reason finds
// different requests at each of them.
func findSuspects(groups []endGroup) []suspect {
	byPart := make(map[Part][]int)
	first := 0
	for _, g := range groups {
		counts := make(map[Part]int)
		for _, e := range g {
			for id := range e.suspects {
				counts[Part{Service: e.service, ID: id}]++
			}
		}
		for i, e := range g {
			for id := range e.suspects {
				p := Part{Service: e.service, ID: id}
				if 2*counts[p] > len(g) {
					byPart[p] = append(byPart[p], first+i)
				}
			}
		}
		first += len(g)
	}
	var out []suspect
	for p, ends := range byPart {
		if len(ends) >= crashesToQuarantine {
			out = append(out, suspect{part: p, ends: ends})
		}
	}
	return out
}

// explained returns the suspects whose ends another suspect explains, and more ends besides.
func explained(suspects []suspect) map[Part]bool {
	type endSet struct {
		ends  []int
		parts []Part
	}
	sets := make(map[string]*endSet)
	for _, s := range suspects {
		key := fmt.Sprint(s.ends)
		if sets[key] == nil {
			sets[key] = &endSet{ends: s.ends}
		}
		sets[key].parts = append(sets[key].parts, s.part)
	}
	out := make(map[Part]bool)
	for _, a := range sets {
		for _, b := range sets {
			if len(a.ends) < len(b.ends) && isSubset(a.ends, b.ends) {
				for _, p := range a.parts {
					out[p] = true
				}
				break
			}
		}
	}
	return out
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

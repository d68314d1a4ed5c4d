package dispatch

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// ejectBase and ejectMax bound how long an upstream that fails gets no work; the time doubles
	// with every failure in a row.
	ejectBase = 250 * time.Millisecond
	ejectMax  = 4 * time.Second
	// brokenInRow is the number of broken attempts in a row that eject an upstream.
	brokenInRow = 2
	// errorDecay is the weight of the newest attempt in the share of failed ones.
	errorDecay = 0.15
	// othersDecay is the time in which the load that other hosts had at a report loses most of
	// its weight.
	othersDecay = time.Second
	// absentPause is how long an upstream is left out for a model that it was found not to hold;
	// by then the list or the coordinator has told what it holds.
	absentPause = 300 * time.Millisecond
	// fullPause is how long an upstream without room is left out.
	fullPause = 50 * time.Millisecond
)

// Target is what the scheduler knows of one upstream.
type Target struct {
	ID      entity.UpstreamID
	Service catalog.ServiceID
	Addr    string
	Domain  string
	// BornMillis tells the starts of an upstream under one ID apart.
	BornMillis int64
	// Slots is the number of requests that run at once.
	Slots int
	// Draining targets get no new work.
	Draining bool
	// Held lists the models that are ready with their ready adapters.
	Held map[entity.ModelID][]entity.AdapterID
	// Source says who told what the target holds, for logs.
	Source string
}

func (t *Target) holds(p Pool) bool {
	if p.Model == "" {
		return true
	}
	adapters, ok := t.Held[p.Model]
	if !ok || p.Adapter == "" {
		return ok
	}
	for _, a := range adapters {
		if a == p.Adapter {
			return true
		}
	}
	return false
}

// target is one row of the upstream table: what is known of it and how it behaves.
type target struct {
	Target
	// said is what the upstream has said of itself, nil if nothing.
	said     *statement
	inflight int
	byPool   map[Pool]int
	// others is the number of requests of other hosts at the time othersAt.
	others   float64
	othersAt time.Time
	ejected  time.Time
	broken   int
	// errors is the smoothed share of attempts that failed.
	errors float64
	// unreachable says that the last attempt found no connection, or no answer in time.
	unreachable bool
	absent      map[Pool]time.Time
	fullTo      time.Time
	// promptTokens is what this host sent lately, as of promptsAt.
	promptTokens float64
	promptsAt    time.Time
}

// load estimates the requests of all hosts at the upstream.
func (t *target) load(now time.Time) float64 {
	if t.others == 0 {
		return float64(t.inflight)
	}
	age := now.Sub(t.othersAt)
	return float64(t.inflight) + t.others*math.Exp(-age.Seconds()/othersDecay.Seconds())
}

// serves says whether the upstream can be given requests of a pool, whatever its load.
func (t *target) serves(p Pool, now time.Time) bool {
	if t.leaves() || !t.holds(p) {
		return false
	}
	until, absent := t.absent[p]
	return !absent || !now.Before(until)
}

// accepts says whether the upstream has room for another request now.
func (t *target) accepts(now time.Time) bool {
	if now.Before(t.ejected) || now.Before(t.fullTo) || t.paused(now) > 0 {
		return false
	}
	return t.load(now) < float64(max(t.Slots, 1))
}

// note takes over how an attempt ended.
func (t *target) note(res Result, p Pool, now time.Time) {
	failed := res.Unreachable || res.Broken || res.Silent || res.Status >= 500
	if res.Outcome != entity.Canceled {
		t.unreachable = res.Unreachable || res.Silent
	}
	switch {
	case res.Outcome == entity.Canceled:
		return
	case res.Absent:
		t.absent[p] = now.Add(absentPause)
		return
	case res.Full:
		t.fullTo = now.Add(fullPause)
		t.errors += errorDecay * (0 - t.errors)
		return
	}
	value := 0.0
	if failed {
		value = 1
	}
	t.errors += errorDecay * (value - t.errors)
	if !failed {
		t.broken = 0
		return
	}
	if now.Before(t.ejected) {
		// The attempt began before the ejection and says nothing new.
		return
	}
	t.broken++
	if t.broken >= brokenInRow || res.Unreachable || res.Silent {
		wait := ejectBase << min(max(t.broken-1, 0), 4)
		t.ejected = now.Add(min(wait, ejectMax))
	}
}

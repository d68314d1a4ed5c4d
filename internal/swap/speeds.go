package swap

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// secondsPerRequest is the time that a request spends at a mean engine, apart from waiting. A slower engine costs each
	// request that much more in proportion.
	secondsPerRequest = 1.0
	// minCapacity is the least part of an engine that counts for a model while other models use the rest, because their
	// requests end.
	minCapacity = 0.25
	// minSpeedFactor and maxSpeedFactor bound the factor of an engine, so that one wrong estimate moves no model for long.
	minSpeedFactor = 0.4
	maxSpeedFactor = 3.0
	// slowPace is the pace of its fastest replica from which a model needs a copy on a faster engine, and goodPace that below
	// which it no longer does. An idle mean engine has a pace of 1, and a full one of 2. Engines 1.3 times as slow as the
	// mean one reach slowPace with a fifth of their slots in use.
	slowPace = 1.55
	goodPace = 1.35
	// fasterShare is the share of the pace of the fastest replica that the pace of the further engine must be below, and
	// maxFasterLoad the share of its slots that may be in use: other models must not become slow there.
	fasterShare   = 0.7
	maxFasterLoad = 0.5
	// slowTime is how long the replicas of a model must be slow, longer than the moments for which engines are. copyPause is
	// the time between two further copies of a model, in which requests move to the first.
	slowTime  = 2 * time.Second
	copyPause = 5 * time.Second
	// minFasterDemand is the number of running and waiting requests from which a model is in demand.
	minFasterDemand = 2
	// maxFasterEviction is the cost of evictions, as a share of that of evicting the model itself, up to which a further copy
	// may replace others.
	maxFasterEviction = 0.2
)

// FasterCopy is a load of a model on a faster engine than those that serve it, whose fastest one has the given pace.
type FasterCopy struct {
	Model    entity.ModelID
	Upstream entity.UpstreamID
	Pace     float64
}

// TakeFasterCopies returns the loads that have begun since the last call.
func (s *Swapper) TakeFasterCopies() []FasterCopy {
	copies := s.fasterCopies
	s.fasterCopies = nil
	return copies
}

// SetSpeeds sets a function that returns how many times as long as a mean one an engine takes for a model. Without it all
// engines count alike.
func (s *Swapper) SetSpeeds(factor func(id entity.UpstreamID, model entity.ModelID, now time.Time) float64) {
	s.speedFactor = factor
}

// factor returns how many times as long as a mean one an engine takes for a model.
func (s *Swapper) factor(r *engineState, model entity.ModelID, now time.Time) float64 {
	if s.speedFactor == nil {
		return 1
	}
	return min(max(s.speedFactor(r.upstream.ID, model, now), minSpeedFactor), maxSpeedFactor)
}

// capacity returns the number of mean engines that the replicas of a model are worth: faster ones count for more, and
// those that other models use for less.
func (s *Swapper) capacity(key modelKey, slots int, now time.Time) float64 {
	sum := 0.0
	replicas := s.index.replicasOf(s, key)
	for _, engines := range [][]*engineState{replicas.ready, replicas.loading} {
		for _, r := range engines {
			if s.speedFactor == nil {
				sum++
				continue
			}
			others := r.running
			if lm := r.loadedModels[key.model]; lm != nil {
				others -= lm.running
			}
			sum += max(1-float64(others)/float64(max(slots, 1)), minCapacity) / s.factor(r, key.model, now)
		}
	}
	return sum
}

// pace returns how many times as long as at an idle mean engine the requests for a model take at an engine, with the load
// that it has.
func (s *Swapper) pace(r *engineState, model entity.ModelID, slots int, now time.Time) float64 {
	return s.factor(r, model, now) * (1 + float64(r.running)/float64(max(slots, 1)))
}

// speedCost returns the cost of loading a model on an engine instead of on an idle mean one, in seconds of delay per second.
func (s *Swapper) speedCost(r *engineState, key modelKey, slots int, now time.Time) float64 {
	if s.speedFactor == nil {
		return 0
	}
	rate := priorRate
	if m := s.models[key.anyRelease()]; m != nil {
		rate += m.rate
	}
	return secondsPerRequest * rate * (s.pace(r, key.model, slots, now) - 1)
}

// addFasterCopies loads a model in demand whose replicas are all slow on a faster engine that has a copy of the weights, one
// model at a time. Nothing is loaded from the weight store for it, which is scarce.
func (s *Swapper) addFasterCopies(engines []*engineState, now time.Time) {
	if s.speedFactor == nil || s.loadsFasterCopy(engines) {
		return
	}
	for _, m := range s.busyModels() {
		if s.addFasterCopy(m, engines, now) {
			return
		}
	}
}

// loadsFasterCopy reports whether such a load is in progress.
func (s *Swapper) loadsFasterCopy(engines []*engineState) bool {
	for _, r := range engines {
		if r.task != nil && r.task.forSpeed {
			return true
		}
	}
	return false
}

func (s *Swapper) addFasterCopy(m *modelDemand, engines []*engineState, now time.Time) bool {
	e := s.engine(m.key.service)
	if e == nil || m.key.release != "" {
		return false
	}
	fastest := 0.0
	for _, r := range s.ready(m.key) {
		if p := s.pace(r, m.key.model, e.Slots, now); fastest == 0 || p < fastest {
			fastest = p
		}
	}
	switch {
	case fastest < goodPace:
		m.slowSince = time.Time{}
		return false
	case m.slowSince.IsZero() && fastest < slowPace:
		return false
	case m.slowSince.IsZero():
		m.slowSince = now
	}
	if m.running+m.waiting < minFasterDemand || s.loading(m.key) > 0 || now.Sub(m.slowSince) < slowTime || now.Sub(m.copiedAt) < copyPause {
		return false
	}
	bound := maxFasterEviction * reloadSeconds * m.rate
	allowed := func(r *engineState, evictionCost float64) bool {
		return evictionCost <= bound && float64(r.running) <= maxFasterLoad*float64(e.Slots) && s.pace(r, m.key.model, e.Slots, now) < fasterShare*fastest
	}
	r := s.startLoadWhere(m.key, engines, fromCopy, allowed, now)
	if r == nil {
		return false
	}
	m.copiedAt = now
	s.fasterCopies = append(s.fasterCopies, FasterCopy{Model: m.key.model, Upstream: r.upstream.ID, Pace: fastest})
	if r.task != nil {
		r.task.forSpeed = true
	}
	return true
}

package experiment

import (
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/load"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
)

// readyInterval is a period in which a model had a ready replica at one engine. If the replica was still
// ready at the end of the run, to is the zero time.
type readyInterval struct{ from, to time.Time }

func (s readyInterval) contains(t time.Time) bool {
	return !t.Before(s.from) && (s.to.IsZero() || t.Before(s.to))
}

// loadHistory holds, for each model, the loads of all engines and the periods with a ready replica.
type loadHistory struct {
	readyIntervals map[entity.ModelID][]readyInterval
	loads          map[entity.ModelID][]engine.LoadRecord
}

// newLoadHistory builds the history from the records of the engines. ended holds, for engines that leave, the time
// from which their replicas no longer count as ready.
func newLoadHistory(records []engine.Record, ended map[entity.UpstreamID]time.Time) *loadHistory {
	h := &loadHistory{readyIntervals: map[entity.ModelID][]readyInterval{}, loads: map[entity.ModelID][]engine.LoadRecord{}}
	for _, r := range records {
		for _, l := range r.Loads {
			if l.Adapter != "" {
				continue
			}
			h.loads[l.Model] = append(h.loads[l.Model], l)
			if l.Completed {
				h.readyIntervals[l.Model] = append(h.readyIntervals[l.Model], readyInterval{l.Ended, unloadTime(r, l, ended[r.ID])})
			}
		}
	}
	for _, l := range h.loads {
		slices.SortFunc(l, func(a, b engine.LoadRecord) int { return a.Began.Compare(b.Began) })
	}
	return h
}

// unloadTime returns when the replica of a load was unloaded, or ended if the engine got no order to unload it.
func unloadTime(r engine.Record, l engine.LoadRecord, ended time.Time) time.Time {
	for _, o := range r.Orders {
		if o.Order.Action == command.UnloadModel && o.Order.Model == l.Model && o.At.After(l.Ended) {
			return o.At
		}
	}
	return ended
}

// isCold reports whether no engine had a ready replica of the model at the given time.
func (h *loadHistory) isCold(m entity.ModelID, at time.Time) bool {
	return !slices.ContainsFunc(h.readyIntervals[m], func(s readyInterval) bool { return s.contains(at) })
}

// modelColdStart is one cold start of a model, which lasts from its first load until a replica is ready.
type modelColdStart struct {
	model entity.ModelID
	loads int
}

// modelColdStarts returns every cold start that began at or after the given time, with the number of its
// loads. Loads that began while another replica of the model was ready add capacity and are not counted.
func (h *loadHistory) modelColdStarts(since time.Time) []modelColdStart {
	var out []modelColdStart
	for m, loads := range h.loads {
		var ready time.Time
		current := -1
		for _, l := range loads {
			if l.Began.Before(since) || !h.isCold(m, l.Began) {
				continue
			}
			if current < 0 || (!ready.IsZero() && !l.Began.Before(ready)) {
				out = append(out, modelColdStart{model: m})
				current, ready = len(out)-1, time.Time{}
			}
			out[current].loads++
			if l.Completed && (ready.IsZero() || l.Ended.Before(ready)) {
				ready = l.Ended
			}
		}
	}
	return out
}

// nearestCheckpoint returns where the fastest checkpoint of a model is: in the memory of an engine, on the
// disk of an engine, or remote.
func nearestCheckpoint(engines []engine.Options, m entity.ModelID) string {
	best := engine.PlaceRemote
	for _, e := range engines {
		switch e.Checkpoints[m] {
		case engine.PlaceMemory:
			return engine.PlaceMemory
		case engine.PlaceDisk:
			best = engine.PlaceDisk
		}
	}
	return best
}

// requestColdStart is a completely answered cold request. took is the time to its first token; bare is the time
// until the ideal site of requestColdStarts has loaded the model.
type requestColdStart struct {
	sample     load.Sample
	took, bare time.Duration
}

// ColdDetail describes the steps of the cold start that one request waited for. Times are in seconds since
// the send time of the request; only At, the send time itself, is counted from the start of the run's load.
type ColdDetail struct {
	Model string  `json:"model"`
	Group string  `json:"group"`
	At    float64 `json:"at_s"`
	// LoadBegan and LoadEnded are the begin and the end of loading the model at the engine.
	LoadBegan float64 `json:"load_began_s"`
	LoadEnded float64 `json:"load_ended_s"`
	First     float64 `json:"first_token_s"`
	// Bare is the time until the ideal site has loaded the model.
	Bare float64 `json:"bare_s"`
	// Place is the place of the checkpoint that the load used, BestPlace that of the nearest checkpoint.
	Place     string `json:"place"`
	BestPlace string `json:"best_place"`
}

// coldDetail describes a cold start by the load that the request waited for. This is the load that
// began first among those that completed after the request.
func (h *loadHistory) coldDetail(c requestColdStart, engines []engine.Options, began time.Time) ColdDetail {
	m := entity.ModelID(c.sample.Model)
	d := ColdDetail{
		Model: c.sample.Model, Group: c.sample.Group, At: c.sample.At.Sub(began).Seconds(),
		First: c.took.Seconds(), Bare: c.bare.Seconds(), BestPlace: nearestCheckpoint(engines, m),
	}
	for _, l := range h.loads[m] {
		if l.Completed && l.Ended.After(c.sample.At) {
			d.LoadBegan, d.LoadEnded, d.Place = l.Began.Sub(c.sample.At).Seconds(), l.Ended.Sub(c.sample.At).Seconds(), l.Place
			break
		}
	}
	return d
}

// requestColdStarts returns the cold requests that were completely answered, each with the time that an ideal
// site needs. The ideal site learns of the first request for a model without delay, loads the model from the
// nearest checkpoint on an engine that is not leaving, and starts remote loads in the order of these requests
// as soon as the weight store allows. It has no network delay, no prefill time and unlimited memory.
func (h *loadHistory) requestColdStarts(site *config.Site, engines func(time.Time) []engine.Options, samples []load.Sample) []requestColdStart {
	slices.SortFunc(samples, func(a, b load.Sample) int { return a.At.Compare(b.At) })
	ideal := newIdealWeightStore(site.WeightStore)
	ready := map[entity.ModelID]time.Time{}
	var out []requestColdStart
	for _, s := range samples {
		m := entity.ModelID(s.Model)
		if s.Model == "" || !h.isCold(m, s.At) {
			continue
		}
		at, started := ready[m]
		if !started || h.wasReadyBetween(m, at, s.At) {
			place := nearestCheckpoint(engines(s.At), m)
			bare := modelLoadTime(site, m, place)
			at = s.At.Add(bare)
			if place == engine.PlaceRemote {
				at = ideal.load(s.At, bare)
			}
			ready[m] = at
		}
		if s.Complete {
			out = append(out, requestColdStart{sample: s, took: s.First, bare: max(0, at.Sub(s.At))})
		}
	}
	return out
}

// wasReadyBetween reports whether a replica of the model was ready at some time between from and to.
func (h *loadHistory) wasReadyBetween(m entity.ModelID, from, to time.Time) bool {
	return slices.ContainsFunc(h.readyIntervals[m], func(s readyInterval) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// idealWeightStore is a weight store without overhead. It runs at most as many loads at the same time as the
// real store runs at full speed.
type idealWeightStore struct {
	// interval is the time between two starts at the allowed rate.
	interval time.Duration
	// slotFreeAt holds, for each load that may run in parallel, when its slot becomes free.
	slotFreeAt []time.Time
	// nextStart is the earliest time at which the rate allows the next start.
	nextStart time.Time
}

func newIdealWeightStore(w config.WeightStore) *idealWeightStore {
	return &idealWeightStore{
		interval:   time.Duration(float64(time.Second) / w.LoadsPerSecond),
		slotFreeAt: make([]time.Time, w.Parallel),
	}
}

// load reserves a slot for a load that is requested now and returns when the load ends.
func (s *idealWeightStore) load(now time.Time, bare time.Duration) time.Time {
	slot := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i].Before(s.slotFreeAt[slot]) {
			slot = i
		}
	}
	start := now
	if s.slotFreeAt[slot].After(start) {
		start = s.slotFreeAt[slot]
	}
	// The store allows a burst of as many starts as loads may run in parallel.
	earliest := now.Add(-s.interval * time.Duration(len(s.slotFreeAt)-1))
	if s.nextStart.Before(earliest) {
		s.nextStart = earliest
	}
	if s.nextStart.After(start) {
		start = s.nextStart
	}
	s.nextStart = s.nextStart.Add(s.interval)
	s.slotFreeAt[slot] = start.Add(bare)
	return s.slotFreeAt[slot]
}

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

// span is a time in which an engine held a ready replica. An open end is the zero time.
type span struct{ from, to time.Time }

func (s span) covers(t time.Time) bool {
	return !t.Before(s.from) && (s.to.IsZero() || t.Before(s.to))
}

// loadHistory is what the engines have loaded.
type loadHistory struct {
	ready map[entity.ModelID][]span
	loads map[entity.ModelID][]engine.LoadRecord
}

// newLoadHistory reads the records of engines. ended tells when an engine stopped taking new work for good.
func newLoadHistory(records []engine.Record, ended map[entity.UpstreamID]time.Time) *loadHistory {
	h := &loadHistory{ready: map[entity.ModelID][]span{}, loads: map[entity.ModelID][]engine.LoadRecord{}}
	for _, r := range records {
		for _, l := range r.Loads {
			if l.Adapter != "" {
				continue
			}
			h.loads[l.Model] = append(h.loads[l.Model], l)
			if l.Completed {
				h.ready[l.Model] = append(h.ready[l.Model], span{l.Ended, unloaded(r, l, ended[r.ID])})
			}
		}
	}
	for _, l := range h.loads {
		slices.SortFunc(l, func(a, b engine.LoadRecord) int { return a.Began.Compare(b.Began) })
	}
	return h
}

// unloaded returns when the load was undone.
func unloaded(r engine.Record, l engine.LoadRecord, ended time.Time) time.Time {
	for _, o := range r.Orders {
		if o.Order.Action == command.UnloadModel && o.Order.Model == l.Model && o.At.After(l.Ended) {
			return o.At
		}
	}
	return ended
}

// cold says whether no engine held a ready replica.
func (h *loadHistory) cold(m entity.ModelID, at time.Time) bool {
	return !slices.ContainsFunc(h.ready[m], func(s span) bool { return s.covers(at) })
}

// episode is one cold start of a model: from the first request or load until a replica is ready.
type episode struct {
	model entity.ModelID
	loads int
}

// episodes counts the loads of every cold start that began after the given time. Loads that
// began while a replica was ready add capacity and are left out.
func (h *loadHistory) episodes(since time.Time) []episode {
	var out []episode
	for m, loads := range h.loads {
		var ready time.Time
		current := -1
		for _, l := range loads {
			if l.Began.Before(since) || !h.cold(m, l.Began) {
				continue
			}
			if current < 0 || (!ready.IsZero() && !l.Began.Before(ready)) {
				out = append(out, episode{model: m})
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

// bestPlace returns the nearest checkpoint of a model over all engines.
func bestPlace(engines []engine.Options, m entity.ModelID) string {
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

// coldStart is a request that found no replica, with the least possible time to its first token.
type coldStart struct {
	sample     load.Sample
	took, bare time.Duration
}

// ColdDetail splits one cold start, in seconds since the request: when the load began at the
// engine, when it ended, and when the first token came. The last two of place and best place
// differ when the load did not use the nearest checkpoint.
type ColdDetail struct {
	Model     string  `json:"model"`
	Group     string  `json:"group"`
	At        float64 `json:"at_s"`
	LoadBegan float64 `json:"load_began_s"`
	LoadEnded float64 `json:"load_ended_s"`
	First     float64 `json:"first_token_s"`
	Bare      float64 `json:"bare_s"`
	Place     string  `json:"place"`
	BestPlace string  `json:"best_place"`
}

// detail finds the load that a cold start waited for: the first one to end after the request.
func (h *loadHistory) detail(c coldStart, engines []engine.Options, began time.Time) ColdDetail {
	m := entity.ModelID(c.sample.Model)
	d := ColdDetail{
		Model: c.sample.Model, Group: c.sample.Group, At: c.sample.At.Sub(began).Seconds(),
		First: c.took.Seconds(), Bare: c.bare.Seconds(), BestPlace: bestPlace(engines, m),
	}
	for _, l := range h.loads[m] {
		if l.Completed && l.Ended.After(c.sample.At) {
			d.LoadBegan, d.LoadEnded, d.Place = l.Began.Sub(c.sample.At).Seconds(), l.Ended.Sub(c.sample.At).Seconds(), l.Place
			break
		}
	}
	return d
}

// coldStarts compares cold requests with an ideal site that knows of the first request of each
// model at once, loads it from the nearest checkpoint on an engine that stays, and starts remote
// loads in the order of these requests as soon as the weight store allows. Links, prefill and
// memory cost it nothing.
func (h *loadHistory) coldStarts(site *config.Site, engines func(time.Time) []engine.Options, samples []load.Sample) []coldStart {
	slices.SortFunc(samples, func(a, b load.Sample) int { return a.At.Compare(b.At) })
	ideal := newIdealStore(site.WeightStore)
	ready := map[entity.ModelID]time.Time{}
	var out []coldStart
	for _, s := range samples {
		m := entity.ModelID(s.Model)
		if s.Model == "" || !h.cold(m, s.At) {
			continue
		}
		at, started := ready[m]
		if !started || h.warmBetween(m, at, s.At) {
			place := bestPlace(engines(s.At), m)
			bare := bareLoad(site, m, place)
			at = s.At.Add(bare)
			if place == engine.PlaceRemote {
				at = ideal.load(s.At, bare)
			}
			ready[m] = at
		}
		if s.Complete {
			out = append(out, coldStart{sample: s, took: s.First, bare: max(0, at.Sub(s.At))})
		}
	}
	return out
}

// warmBetween says whether a replica was ready at some time between two.
func (h *loadHistory) warmBetween(m entity.ModelID, from, to time.Time) bool {
	return slices.ContainsFunc(h.ready[m], func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// idealStore is a weight store without overhead that never runs more loads than are at full speed.
type idealStore struct {
	interval time.Duration
	free     []time.Time
	next     time.Time
}

func newIdealStore(w config.WeightStore) *idealStore {
	return &idealStore{
		interval: time.Duration(float64(time.Second) / w.LoadsPerSecond),
		free:     make([]time.Time, w.Parallel),
	}
}

// load returns when a load that is asked for now ends.
func (s *idealStore) load(now time.Time, bare time.Duration) time.Time {
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	start := now
	if s.free[slot].After(start) {
		start = s.free[slot]
	}
	// The store allows as many starts at once as run in parallel.
	earliest := now.Add(-s.interval * time.Duration(len(s.free)-1))
	if s.next.Before(earliest) {
		s.next = earliest
	}
	if s.next.After(start) {
		start = s.next
	}
	s.next = s.next.Add(s.interval)
	s.free[slot] = start.Add(bare)
	return s.free[slot]
}

package edge

import (
	"maps"
	"math"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailpass/foxtailpass/internal/boottime"
	"github.com/foxtailpass/foxtailpass/internal/dispatch"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/metrics"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/speed"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// paceSegment is the time over which the gaps between the events of a stream are averaged into one sample, and
	// maxPaceSamples bounds the samples of one stream.
	paceSegment    = 400 * time.Millisecond
	maxPaceSamples = 8
	// maxOutsideShare is the share of a segment that may pass while the host does not wait for the upstream. Beyond it the
	// caller sets the pace.
	maxOutsideShare = 0.2
	// speedReportInterval is the least time between two reports of samples. All hosts together report about
	// speedRowsPerInterval rows in that time, and each one at least minSpeedRows, which bounds the messages to the
	// coordinator to 1 Mbit/s at 700 hosts.
	speedReportInterval  = 500 * time.Millisecond
	speedRowsPerInterval = 700
	minSpeedRows         = 1
	// speedNoticesInterval is the least time between two messages of the coordinator about speeds. Each contains at most
	// noticesRows rows divided by the number of hosts, and at least minNoticesRows, which bounds what the coordinator sends
	// to 2 Mbit/s.
	speedNoticesInterval = time.Second
	noticesRows          = 7000
	minNoticesRows       = 10
	// slowFactor is the factor of an upstream from which it is logged as slow, and recoveredFactor that from which it no
	// longer is.
	slowFactor      = 1.5
	recoveredFactor = 1.25
)

// speedSampled is a time that an answer has shown. The load of a sample of a stream that runs is that of its time.
type speedSampled struct{ sample speed.Sample }

func (speedSampled) isEvent() {}

// paceMeter measures the gaps between the events of a stream.
type paceMeter struct {
	// start and lastAt are the times of the first and the last event of the segment, and events counts those after the
	// first.
	start, lastAt time.Time
	events        int
	longest       time.Duration
	// idleSince is since when the host has not waited for the upstream, and outside the total of such times in the segment.
	idleSince time.Time
	outside   time.Duration
	samples   int
}

// waits records that the host waits for the upstream again.
func (p *paceMeter) waits(now time.Time) {
	if !p.idleSince.IsZero() {
		p.outside += now.Sub(p.idleSince)
		p.idleSince = time.Time{}
	}
}

// add records events that have arrived.
func (p *paceMeter) add(events int, now time.Time) {
	if p.start.IsZero() {
		p.start = now
	} else {
		p.events += events
		p.longest = max(p.longest, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// take ends the segment if it is long enough or the stream has ended, and returns the mean and the longest gap, zero if
// the segment shows none.
func (p *paceMeter) take(ended bool) (mean, longest time.Duration) {
	took := p.lastAt.Sub(p.start)
	if p.events == 0 || took < paceSegment && !ended || p.samples >= maxPaceSamples {
		return 0, 0
	}
	events, longest := p.events, p.longest
	slowCaller := float64(p.outside) > maxOutsideShare*float64(took)
	*p = paceMeter{start: p.lastAt, lastAt: p.lastAt, idleSince: p.idleSince, samples: p.samples + 1}
	if slowCaller {
		return 0, 0
	}
	return took / time.Duration(events), longest
}

// reportSpeed sends the control state a time that an answer has shown.
func (s *requestSession) reportSpeed(st step, sample speed.Sample) {
	if !s.frontend.learnsSpeeds || s.description.LastEvent != "" {
		// A stream that goes on after an event may have no prompt to read.
		return
	}
	sample.Upstream, sample.BornMillis, sample.Model = st.target.ID, st.target.BornMillis, s.request.Pool.Model
	sample.Count = 1
	s.frontend.send(speedSampled{sample: sample})
}

// reportFirst reports the time from sending an attempt to the first event of its answer, or to the whole answer.
func (s *requestSession) reportFirst(st step, began time.Time) {
	s.reportSpeed(st, speed.Sample{
		Kind:         speed.First,
		Took:         boottime.Now().Sub(began),
		PromptTokens: float64(s.request.PromptTokens),
		Load:         (st.basis.load + 1) / float64(max(st.target.Slots, 1)),
	})
}

// reportPace reports the gaps between the events of a stream, if enough have been seen.
func (e *eventStream) reportPace(ended bool) {
	if mean, longest := e.pace.take(ended); mean > 0 {
		e.requestSession.reportSpeed(e.step, speed.Sample{Kind: speed.Gap, Took: mean, Longest: longest})
	}
}

// speedSampled learns from a sample of this host, and keeps it for the report to the coordinator.
func (c *core) speedSampled(s speed.Sample, now time.Time) {
	if c.speeds == nil {
		return
	}
	if s.Kind == speed.Gap {
		s.Load = c.scheduler.LoadShare(s.Upstream, now)
	}
	c.speeds.Record(s, now)
	if c.coordinator == nil {
		c.speedSamples.Add(s)
	}
}

// takeSpeedSamples returns the samples for a report.
func (c *core) takeSpeedSamples(now time.Time) []wire.SpeedSample {
	if c.speeds == nil || now.Sub(c.speedsReportedAt) < speedReportInterval {
		return nil
	}
	c.speedsReportedAt = now
	return c.speedSamples.Take(max(speedRowsPerInterval/max(c.limiter.Hosts(), 1), minSpeedRows))
}

// speedsReported learns, as coordinator, from the report of a host.
func (c *core) speedsReported(r *wire.HostReport, now time.Time) {
	if c.speeds == nil {
		return
	}
	for _, row := range r.SpeedSamples {
		c.speeds.Record(speed.Reported(row), now)
	}
}

// publishSpeeds sends all hosts what has changed of the learned speeds.
func (c *core) publishSpeeds(now time.Time) {
	coord := c.coordinator
	if c.speeds == nil || now.Sub(coord.speedsPublishedAt) < speedNoticesInterval {
		return
	}
	coord.speedsPublishedAt = now
	c.logSlowUpstreams(now)
	m := c.speeds.Changes(max(noticesRows/max(len(coord.hosts), 1), minNoticesRows), now)
	if m == nil {
		return
	}
	frame, err := peer.Encode(m)
	if err != nil {
		c.log.Error("Speeds cannot be encoded.", "err", err)
		return
	}
	for _, h := range coord.hosts {
		if h.session != nil && h.keepsNotices {
			c.sendFrame(h, frame)
		}
	}
}

// setUpstreamSpeed keeps the learned speeds to the listed incarnations.
func (c *core) setUpstreamSpeed(id entity.UpstreamID) {
	if c.speeds == nil {
		return
	}
	if u := c.fleet.Get(id); u != nil {
		c.speeds.SetReplica(u.ID, u.Service, u.BornMillis)
	} else {
		c.speeds.RemoveReplica(id)
	}
}

// logSlowUpstreams logs, as coordinator, the upstreams that have turned slow or are no longer, in one line each.
func (c *core) logSlowUpstreams(now time.Time) {
	var slow, recovered []entity.UpstreamID
	known := c.coordinator.slowUpstreams
	maps.DeleteFunc(known, func(id entity.UpstreamID, _ bool) bool { return c.fleet.Get(id) == nil })
	for id := range c.fleet.Rows() {
		switch f := c.speeds.Factor(id, speed.Gap, now); {
		case f >= slowFactor && !known[id]:
			known[id] = true
			slow = append(slow, id)
		case f <= recoveredFactor && known[id]:
			delete(known, id)
			recovered = append(recovered, id)
		}
	}
	if len(slow) > 0 {
		c.log.Info("Upstreams are slow.", "count", len(slow), "upstreams", slow[:min(len(slow), maxLoggedParts)], "factor", slowFactor)
	}
	if len(recovered) > 0 {
		c.log.Info("Upstreams are no longer slow.", "count", len(recovered), "upstreams", recovered[:min(len(recovered), maxLoggedParts)])
	}
}

// countFasterCopies logs and counts the models that are loaded on faster engines. There is at most one load at a time.
func (c *core) countFasterCopies() {
	for _, f := range c.coordinator.swapper.TakeFasterCopies() {
		c.fasterCopies++
		c.log.Info("Model loaded on a faster engine.", "model", f.Model, "upstream", f.Upstream, "pace", math.Round(f.Pace*100)/100)
	}
}

// readSpeedFactors returns the learned factors of upstreams.
func (h *Host) readSpeedFactors() []metrics.Observation {
	var out []metrics.Observation
	h.queryCore(func(c *core) {
		if c.speeds == nil {
			return
		}
		now := boottime.Now()
		for id := range c.fleet.Rows() {
			for label, k := range map[string]speed.Kind{"first_event": speed.First, "event_gap": speed.Gap} {
				out = append(out, metrics.Observation{Value: c.speeds.Factor(id, k, now),
					Attributes: []attribute.KeyValue{attribute.String("upstream", string(id)), attribute.String("time", label)}})
			}
		}
	})
	return out
}

func (h *Host) readFasterCopies() (n float64) {
	h.queryCore(func(c *core) { n = float64(c.fasterCopies) })
	return n
}

// readLongPrompts returns the long prompts that were sent.
func (h *Host) readLongPrompts() []metrics.Observation {
	var n dispatch.LongPrompts
	h.queryCore(func(c *core) { n = c.scheduler.LongPrompts() })
	observation := func(place string, n int64) metrics.Observation {
		return metrics.Observation{Value: float64(n), Attributes: []attribute.KeyValue{attribute.String("place", place)}}
	}
	return []metrics.Observation{observation("in_order", n.InOrder), observation("elsewhere", n.Elsewhere)}
}

// speedFactor returns the function that tells the swapper the speeds of engines, nil while these are alike.
func (c *core) speedFactor(now time.Time) func(id entity.UpstreamID, model entity.ModelID, now time.Time) float64 {
	if c.speeds == nil || !c.speeds.AnyUneven(now) {
		return nil
	}
	return func(id entity.UpstreamID, model entity.ModelID, now time.Time) float64 {
		return c.speeds.ModelFactor(id, model, speed.Gap, now)
	}
}

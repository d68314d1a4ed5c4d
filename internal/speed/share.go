package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// maxCollected bounds the samples of one host that wait for its next report.
	maxCollected = 256
	// minChange is the change of a logarithm from which it is published: a twentieth of the time.
	minChange = 0.05
	// publishedResidual is the residual from which it is published: one model is slow at a replica that is not.
	publishedResidual = 0.1
	// maxPublished bounds the logarithms that are taken over from other hosts.
	maxPublished = 12.0
)

// sampleKey identifies samples that are reported together.
type sampleKey struct {
	upstream entity.UpstreamID
	born     int64
	model    entity.ModelID
	kind     Kind
}

// sums are the sums over the samples of one key. log is that of the logarithms of their times.
type sums struct{ count, log, tokens, load float64 }

// Collector holds the samples of a host until it reports them.
type Collector struct{ rows map[sampleKey]sums }

// Add adds a sample.
func (c *Collector) Add(s Sample) {
	key := sampleKey{upstream: s.Upstream, born: s.BornMillis, model: s.Model, kind: s.Kind}
	row, known := c.rows[key]
	if !s.valid() || !known && len(c.rows) >= maxCollected {
		return
	}
	if c.rows == nil {
		c.rows = make(map[sampleKey]sums)
	}
	row.count += s.Count
	row.log += s.Count * math.Log(s.Took.Seconds())
	row.tokens += s.Count * s.PromptTokens
	row.load += s.Count * s.Load
	c.rows[key] = row
}

// Take removes and returns at most n rows for a report, those of most samples first.
func (c *Collector) Take(n int) []wire.SpeedSample {
	if len(c.rows) == 0 || n <= 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(c.rows), func(a, b sampleKey) int {
		return cmp.Or(cmp.Compare(c.rows[b].count, c.rows[a].count), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.model, b.model), cmp.Compare(a.kind, b.kind))
	})
	keys = keys[:min(n, len(keys))]
	out := make([]wire.SpeedSample, 0, len(keys))
	for _, key := range keys {
		row := c.rows[key]
		delete(c.rows, key)
		out = append(out, wire.SpeedSample{
			UpstreamRef: wire.UpstreamRef{Upstream: key.upstream, BornMillis: key.born},
			Model:       key.model,
			Kind:        uint8(key.kind),
			Count:       float32(row.count),
			Millis:      float32(1000 * math.Exp(row.log/row.count)),
			Tokens:      float32(row.tokens / row.count),
			Load:        float32(row.load / row.count),
		})
	}
	return out
}

// Reported returns the sample of a row in the report of a host.
func Reported(m wire.SpeedSample) Sample {
	s := Sample{Upstream: m.Upstream, BornMillis: m.BornMillis, Model: m.Model, Kind: Kind(m.Kind), PromptTokens: float64(m.Tokens), Load: float64(m.Load), Count: float64(m.Count), Late: true}
	if ms := float64(m.Millis); ms > 0 && ms <= float64(longestTime.Milliseconds()) {
		s.Took = time.Duration(ms * float64(time.Millisecond))
	}
	return s
}

// change is one value that differs from what was published.
type change struct {
	difference float64
	replica    *Replica
	service    *service
	model      entity.ModelID
	ofShape    bool
}

// Changes returns at most n values that have changed since they were last published, those that have changed most first,
// and marks them as published. It returns nil if there are none.
func (l *Learner) Changes(n int, now time.Time) *wire.UpstreamNotices {
	var changes []change
	for _, r := range l.replicas {
		changes = l.replicaChanges(changes, r, now)
	}
	for _, s := range l.services {
		changes = s.changes(changes)
	}
	if len(changes) == 0 {
		return nil
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(b.difference, a.difference) })
	m := new(wire.UpstreamNotices)
	for _, ch := range changes[:min(n, len(changes))] {
		l.publish(m, ch, now)
	}
	return m
}

func (l *Learner) replicaChanges(changes []change, r *Replica, now time.Time) []change {
	d := 0.0
	for k := range kinds {
		d = max(d, math.Abs(l.factor(r, k, now)-r.published[k]))
	}
	if d >= minChange {
		changes = append(changes, change{difference: d, replica: r})
	}
	for id, a := range r.models {
		published := r.publishedModels[id]
		d := 0.0
		for k := range kinds {
			if v := l.faded(&a[k], now); math.Abs(v) >= publishedResidual || published[k] != 0 {
				d = max(d, math.Abs(v-published[k]))
			}
		}
		if d >= minChange {
			changes = append(changes, change{difference: d, replica: r, model: id})
		}
	}
	return changes
}

func (s *service) changes(changes []change) []change {
	for id, b := range s.models {
		d := 0.0
		for k := range kinds {
			if b[k].answers > 0 {
				d = max(d, math.Abs(b[k].value-b[k].published))
			}
		}
		if d >= minChange {
			changes = append(changes, change{difference: d, service: s, model: id})
		}
	}
	d := 0.0
	for k := range kinds {
		for i, w := range s.shapes[k].weights {
			d = max(d, math.Abs(w-s.shapePublished[k][i]))
		}
	}
	if d >= minChange {
		changes = append(changes, change{difference: d, service: s, ofShape: true})
	}
	return changes
}

// publish adds a changed value to a message.
func (l *Learner) publish(m *wire.UpstreamNotices, ch change, now time.Time) {
	switch r, s := ch.replica, ch.service; {
	case r != nil && ch.model == "":
		r.published = [kinds]float64{l.factor(r, First, now), l.factor(r, Gap, now)}
		m.Speeds = append(m.Speeds, r.row("", r.published))
	case r != nil:
		a := r.models[ch.model]
		r.publishedModels[ch.model] = [kinds]float64{l.faded(&a[First], now), l.faded(&a[Gap], now)}
		m.Speeds = append(m.Speeds, r.row(ch.model, r.publishedModels[ch.model]))
	case ch.ofShape:
		for k := range kinds {
			s.shapePublished[k] = s.shapes[k].weights
		}
		m.ServiceSpeeds = append(m.ServiceSpeeds, s.row())
	default:
		b := s.models[ch.model]
		for k := range kinds {
			b[k].published = b[k].value
		}
		m.ModelSpeeds = append(m.ModelSpeeds, s.modelRow(ch.model, b))
	}
}

// All adds everything that has been published to a message, for a host that has just connected.
func (l *Learner) All(m *wire.UpstreamNotices) {
	for _, id := range slices.Sorted(maps.Keys(l.replicas)) {
		r := l.replicas[id]
		if r.published != [kinds]float64{} {
			m.Speeds = append(m.Speeds, r.row("", r.published))
		}
		for _, model := range slices.Sorted(maps.Keys(r.publishedModels)) {
			m.Speeds = append(m.Speeds, r.row(model, r.publishedModels[model]))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[id]
		if s.shapePublished != [kinds][dimensions]float64{} {
			m.ServiceSpeeds = append(m.ServiceSpeeds, s.row())
		}
		for _, model := range slices.Sorted(maps.Keys(s.models)) {
			if b := s.models[model]; b[First].published != 0 || b[Gap].published != 0 {
				m.ModelSpeeds = append(m.ModelSpeeds, s.modelRow(model, b))
			}
		}
	}
}

func (r *Replica) row(model entity.ModelID, values [kinds]float64) wire.ReplicaSpeed {
	return wire.ReplicaSpeed{
		UpstreamRef: wire.UpstreamRef{Upstream: r.id, BornMillis: r.born},
		Model:       model,
		First:       float32(values[First]),
		Gap:         float32(values[Gap]),
	}
}

func (s *service) modelRow(model entity.ModelID, b *[kinds]base) wire.ModelSpeed {
	return wire.ModelSpeed{Service: string(s.id), Model: model, First: float32(b[First].published), Gap: float32(b[Gap].published)}
}

func (s *service) row() wire.ServiceSpeed {
	m := wire.ServiceSpeed{Service: string(s.id)}
	for i := range dimensions {
		m.First = append(m.First, float32(s.shapePublished[First][i]))
		m.Gap = append(m.Gap, float32(s.shapePublished[Gap][i]))
	}
	return m
}

// Adopt takes over what the coordinator has published. Impossible values, and those of replicas or incarnations that are
// not known, are ignored.
func (l *Learner) Adopt(m *wire.UpstreamNotices, now time.Time) {
	for _, row := range m.Speeds {
		r := l.replicas[row.Upstream]
		if r == nil || r.born != row.BornMillis || !possible(row.First) || !possible(row.Gap) {
			continue
		}
		averages := &r.slow
		if row.Model != "" {
			averages = r.residualOf(row.Model, now)
		}
		for k, v := range [kinds]float32{row.First, row.Gap} {
			averages[k].value = min(max(float64(v), -maxFactor), maxFactor)
			averages[k].weight = max(averages[k].weight, adoptedWeight)
			averages[k].at = now
		}
	}
	for _, row := range m.ModelSpeeds {
		if !possible(row.First) || !possible(row.Gap) {
			continue
		}
		s := l.service(catalog.ServiceID(row.Service))
		b := s.models[row.Model]
		if b == nil {
			b = new([kinds]base)
			s.models[row.Model] = b
		}
		for k, v := range [kinds]float32{row.First, row.Gap} {
			if v != 0 {
				b[k].value, b[k].answers = float64(v), maxBaseAnswers
				s.mean[k].add(float64(v), 1)
			}
		}
	}
	for _, row := range m.ServiceSpeeds {
		s := l.service(catalog.ServiceID(row.Service))
		for k, weights := range [kinds][]float32{row.First, row.Gap} {
			s.adoptShape(Kind(k), weights)
		}
	}
}

// adoptedWeight is the number of answers that a published average counts for at least.
const adoptedWeight = 8.0

func (s *service) adoptShape(k Kind, weights []float32) {
	if len(weights) != dimensions {
		return
	}
	var w [dimensions]float64
	for i, v := range weights {
		if !possible(v) || v < 0 {
			return
		}
		w[i] = float64(v)
	}
	s.shapes[k].adopt(w)
}

// possible reports whether a published value is in range.
func possible(v float32) bool { return math.Abs(float64(v)) <= maxPublished }

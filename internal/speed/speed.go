// Package speed learns how fast the replicas of services answer, from the answers themselves: the time from sending a
// request to its first event, and the time between the events of a stream.
//
// An expected time is the product of four parts. The shape of a service states how times grow with the load and with
// the length of the prompt. The base of a model is its time on a mean replica. The factor of a replica is that of all
// its models, and the residual that of one model at one replica. A factor has a slow average, which shows a replica
// that is slow for long, and a fast one, which shows a replica that is slow for a moment. All parts except the shape
// are kept as logarithms.
//
// The package does no I/O; times are passed in. A Learner is not safe for concurrent use.
package speed

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Kind is what a sample measures.
type Kind uint8

// The kinds of samples.
const (
	// First is the time from sending a request to the first event of its answer, or to the whole answer if it is no stream.
	First Kind = iota
	// Gap is the mean time between two events of a stream.
	Gap
	kinds
)

const (
	// slowTime and fastTime are the time constants of the slow and of the fast average of a replica. Replicas that turn
	// slow for half a second move the slow average by a tenth of the change.
	slowTime = 5 * time.Second
	fastTime = 500 * time.Millisecond
	// minSlowWeight is the weight of the slow average against one new answer, however old it is: one answer moves it by
	// at most a third. So a step change is learned to nine tenths within 12 s, or within 6 answers if these take longer.
	minSlowWeight = 2.0
	// minMoment is the deviation, as a logarithm, from which the fast average counts: 1.35 times as slow or as fast.
	// Smaller ones are mostly noise of single answers.
	minMoment = 0.3
	// momentPrior is the number of answers without a deviation that the fast average is combined with.
	momentPrior = 1.0
	// residualShare is the share of the step of the slow average by which the residual of a model moves, so that a replica
	// that is slow for all its models gets a factor rather than residuals.
	residualShare = 0.25
	// meanAnswers is the number of answers that the mean of the models of a service counts for in the base of a model. Models
	// differ more than replicas do, so it is below 1. baseUncertainty is the number of answers at which half of a
	// deviation is attributed to the base rather than to the replica.
	meanAnswers     = 0.25
	baseUncertainty = 2.0
	// maxBaseAnswers bounds the weight of the base of a model against one new answer.
	maxBaseAnswers = 500.0
	// fadeTime is the time constant by which the factor of a replica without answers, and the residual of a model without
	// any, return to the mean, so that a replica that was slow is tried again.
	fadeTime = time.Minute
	// maxDeviation bounds what one answer counts, as a logarithm, and maxFactor the factor of a replica.
	maxDeviation = 2.0
	maxFactor    = 3.0
	// longestTime bounds the times of samples.
	longestTime = 10 * time.Minute
	// maxModelsPerReplica bounds the residuals of one replica.
	maxModelsPerReplica = 16
	// centerInterval is the time between two adjustments by which the mean factor of the replicas of a service is 1.
	centerInterval = time.Second
	// assumedPauseRatio is the assumed ratio of the longest pause of a stream to the mean one before any is known, and
	// pauseRatioAnswers the number of answers over which it is averaged.
	assumedPauseRatio = 2.0
	pauseRatioAnswers = 100.0
)

// Sample is one observed time.
type Sample struct {
	Upstream   entity.UpstreamID
	BornMillis int64
	Model      entity.ModelID
	Kind       Kind
	Took       time.Duration
	// PromptTokens is the length of the prompt, zero if it is not known.
	PromptTokens float64
	// Load is the share of the slots of the replica that are in use, this request included.
	Load float64
	// Count is the number of answers that the sample is the mean of.
	Count float64
	// Late is set if the sample comes from another host, too late for the fast average.
	Late bool
	// Longest is the longest of the times of which Took is the mean, zero if it is not known.
	Longest time.Duration
}

// valid reports whether the values of the sample are possible.
func (s Sample) valid() bool {
	return s.Kind < kinds && s.Took > 0 && s.Took <= longestTime && s.PromptTokens >= 0 && s.PromptTokens <= 1e7 &&
		s.Load >= 0 && s.Load <= 100 && s.Count > 0 && s.Count <= 1e6
}

// average is an average of logarithms.
type average struct {
	value, weight float64
	at            time.Time
}

// add adds a deviation from the average. The weight of earlier answers decays with the given time constant, to at least
// floor.
func (a *average) add(deviation, count float64, constant time.Duration, floor float64, now time.Time) {
	a.weight = max(a.weight*math.Exp(-max(now.Sub(a.at).Seconds(), 0)/constant.Seconds()), floor)
	a.value += deviation * count / (a.weight + count)
	a.weight += count
	a.at = now
}

// Replica is what is known of one incarnation of a replica.
type Replica struct {
	id      entity.UpstreamID
	born    int64
	service *service
	slow    [kinds]average
	// fast are the averages of the deviations from the other parts.
	fast      [kinds]average
	models    map[entity.ModelID]*[kinds]average
	published [kinds]float64
	// publishedModels holds the published residuals.
	publishedModels map[entity.ModelID][kinds]float64
}

// base is the base of a model.
type base struct {
	value, answers float64
	published      float64
}

// service is what is known of a service.
type service struct {
	id     catalog.ServiceID
	shapes [kinds]shape
	models map[entity.ModelID]*[kinds]base
	// mean is the mean base of the models, for models without an answer.
	mean       [kinds]base
	replicas   map[entity.UpstreamID]*Replica
	pauseRatio average
	centeredAt time.Time
	// uneven is the result of the check at unevenAt.
	uneven         bool
	unevenAt       time.Time
	shapePublished [kinds][dimensions]float64
}

// Learner holds all that a host knows of the speeds of replicas.
type Learner struct {
	replicas map[entity.UpstreamID]*Replica
	services map[catalog.ServiceID]*service
	// coordinated is set while a coordinator publishes what it knows, so that nothing fades here.
	coordinated bool
}

// New returns an empty Learner.
func New() *Learner {
	return &Learner{replicas: make(map[entity.UpstreamID]*Replica), services: make(map[catalog.ServiceID]*service)}
}

// SetCoordinated sets whether a coordinator publishes what it knows to this host.
func (l *Learner) SetCoordinated(coordinated bool) { l.coordinated = coordinated }

// SetReplica adds a replica, or replaces an earlier incarnation, of which all is forgotten.
func (l *Learner) SetReplica(id entity.UpstreamID, serviceID catalog.ServiceID, bornMillis int64) *Replica {
	r := l.replicas[id]
	if r != nil && r.born == bornMillis && r.service.id == serviceID {
		return r
	}
	l.RemoveReplica(id)
	r = &Replica{id: id, born: bornMillis, service: l.service(serviceID), models: make(map[entity.ModelID]*[kinds]average), publishedModels: make(map[entity.ModelID][kinds]float64)}
	l.replicas[id] = r
	r.service.replicas[id] = r
	return r
}

// RemoveReplica forgets a replica.
func (l *Learner) RemoveReplica(id entity.UpstreamID) {
	if r := l.replicas[id]; r != nil {
		delete(l.replicas, id)
		delete(r.service.replicas, id)
	}
}

func (l *Learner) service(id catalog.ServiceID) *service {
	s := l.services[id]
	if s == nil {
		s = &service{id: id, models: make(map[entity.ModelID]*[kinds]base), replicas: make(map[entity.UpstreamID]*Replica)}
		s.pauseRatio = average{value: math.Log(assumedPauseRatio), weight: 1}
		for k := range s.shapes {
			s.shapes[k] = newShape(Kind(k))
		}
		l.services[id] = s
	}
	return s
}

// base returns the base of a model as a logarithm, and whether any answer has shown it.
func (s *service) base(model entity.ModelID, k Kind) (float64, bool) {
	if b := s.models[model]; b != nil && b[k].answers > 0 {
		return b[k].value, true
	}
	return s.mean[k].value, s.mean[k].answers > 0
}

// Record learns from a sample. Samples with impossible values, and of replicas or incarnations that are not known, are
// ignored.
func (l *Learner) Record(s Sample, now time.Time) {
	r := l.replicas[s.Upstream]
	if r == nil || r.born != s.BornMillis || !s.valid() {
		return
	}
	svc, k := r.service, s.Kind
	x := input(s.PromptTokens, s.Load)
	observed := math.Log(s.Took.Seconds()) - math.Log(svc.shapes[k].at(x))
	residual := r.residualOf(s.Model, now)
	value, answers := svc.learnBase(s.Model, k, observed-r.slow[k].value-residual[k].value, s.Count)
	deviation := min(max(observed-value-r.slow[k].value-residual[k].value, -maxDeviation), maxDeviation)
	// A model with few answers says little about the replica.
	count := s.Count * answers / (answers + baseUncertainty)
	if !s.Late {
		r.fast[k].add(deviation-r.fast[k].value, count, fastTime, 0, now)
	}
	r.slow[k].add(deviation, count, slowTime, minSlowWeight, now)
	r.slow[k].value = min(max(r.slow[k].value, -maxFactor), maxFactor)
	residual[k].value = min(max(residual[k].value+residualShare*deviation*count/r.slow[k].weight, -maxFactor), maxFactor)
	residual[k].at = now
	svc.shapes[k].learn(x, s.Took.Seconds()/math.Exp(value+r.slow[k].value+residual[k].value), s.Count)
	if k == Gap && s.Longest >= s.Took && s.Longest <= longestTime {
		ratio := min(math.Log(s.Longest.Seconds()/s.Took.Seconds()), maxDeviation)
		svc.pauseRatio.value += (ratio - svc.pauseRatio.value) / pauseRatioAnswers
	}
	svc.center(now)
}

// learnBase moves the base of a model towards an observed one. It returns the base and the number of answers that it is
// based on.
func (s *service) learnBase(model entity.ModelID, k Kind, observed, count float64) (value, answers float64) {
	m := s.models[model]
	if m == nil {
		m = new([kinds]base)
		s.models[model] = m
	}
	b := &m[k]
	if b.answers == 0 && s.mean[k].answers > 0 {
		b.value, b.answers = s.mean[k].value, meanAnswers
	}
	b.add(observed, count)
	s.mean[k].add(observed, count)
	return b.value, b.answers
}

func (b *base) add(observed, count float64) {
	b.value += (observed - b.value) * count / (b.answers + count)
	b.answers = min(b.answers+count, maxBaseAnswers)
}

// residualOf returns the residuals of a model, and forgets those of the model without an answer for longest if there are
// too many.
func (r *Replica) residualOf(model entity.ModelID, now time.Time) *[kinds]average {
	if a := r.models[model]; a != nil {
		return a
	}
	if len(r.models) >= maxModelsPerReplica {
		var oldest entity.ModelID
		oldestAt := now.Add(time.Hour)
		for id, a := range r.models {
			if at := latest(a[First].at, a[Gap].at); at.Before(oldestAt) {
				oldest, oldestAt = id, at
			}
		}
		delete(r.models, oldest)
		delete(r.publishedModels, oldest)
	}
	a := new([kinds]average)
	r.models[model] = a
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// center moves the mean of the factors of a service to the bases of its models, so that a replica without answers, whose
// factor is 1, counts as a mean one.
func (s *service) center(now time.Time) {
	if now.Sub(s.centeredAt) < centerInterval {
		return
	}
	s.centeredAt = now
	for k := range kinds {
		sum, weight := 0.0, 0.0
		for _, r := range s.replicas {
			if r.slow[k].weight > 0 {
				sum += r.slow[k].value
				weight++
			}
		}
		if weight < 2 {
			continue
		}
		mean := sum / weight
		for _, r := range s.replicas {
			if r.slow[k].weight > 0 {
				r.slow[k].value -= mean
			}
		}
		for _, b := range s.models {
			b[k].value += mean
		}
		s.mean[k].value += mean
	}
}

// factor returns the slow average of a replica as a logarithm.
func (l *Learner) factor(r *Replica, k Kind, now time.Time) float64 {
	return l.faded(&r.slow[k], now)
}

// faded returns an average, which fades without answers.
func (l *Learner) faded(a *average, now time.Time) float64 {
	if age := now.Sub(a.at); !l.coordinated && age > slowTime {
		return a.value * math.Exp(-(age-slowTime).Seconds()/fadeTime.Seconds())
	}
	return a.value
}

// Factor returns how many times as long as a mean one of its service a replica takes, over the last seconds.
func (l *Learner) Factor(id entity.UpstreamID, k Kind, now time.Time) float64 {
	r := l.replicas[id]
	if r == nil {
		return 1
	}
	return math.Exp(l.factor(r, k, now))
}

// ModelFactor returns how many times as long as a mean one a replica takes for one model, over the last seconds.
func (l *Learner) ModelFactor(id entity.UpstreamID, model entity.ModelID, k Kind, now time.Time) float64 {
	r := l.replicas[id]
	if r == nil {
		return 1
	}
	return math.Exp(l.factor(r, k, now) + l.residual(r, model, k, now))
}

// residual returns the residual of a model as a logarithm.
func (l *Learner) residual(r *Replica, model entity.ModelID, k Kind, now time.Time) float64 {
	if a := r.models[model]; a != nil {
		return l.faded(&a[k], now)
	}
	return 0
}

// moment returns the deviation of a replica at this moment from its slow average, as a logarithm. It is zero if there is
// no clear one.
func (r *Replica) moment(k Kind, now time.Time) float64 {
	a := &r.fast[k]
	age := now.Sub(a.at)
	if a.weight == 0 || age > 4*fastTime {
		return 0
	}
	d := a.value * a.weight / (a.weight + momentPrior) * math.Exp(-max(age.Seconds(), 0)/fastTime.Seconds())
	if math.Abs(d) < minMoment {
		return 0
	}
	return d
}

// View answers questions about the replicas that serve one model, at one point in time.
type View struct {
	learner *Learner
	service *service
	model   entity.ModelID
	now     time.Time
	// bases are the times of the model at a mean replica, for a shape of 1.
	bases  [kinds]float64
	known  [kinds]bool
	pauses float64
}

// View returns the view of a model.
func (l *Learner) View(id catalog.ServiceID, model entity.ModelID, now time.Time) View {
	s := l.service(id)
	v := View{learner: l, service: s, model: model, now: now, pauses: math.Exp(s.pauseRatio.value)}
	for k := range kinds {
		value, known := s.base(model, k)
		v.bases[k], v.known[k] = math.Exp(value), known
	}
	return v
}

// Known reports whether any answer has shown times of a kind.
func (v View) Known(k Kind) bool { return v.known[k] }

// Pace is how long a replica takes for a model now, compared with a mean replica.
type Pace [kinds]float64

// Pace returns the pace of a replica, that of a mean one if r is nil.
func (v View) Pace(r *Replica) Pace {
	p := Pace{1, 1}
	if r == nil {
		return p
	}
	for k := range kinds {
		p[k] = math.Exp(v.learner.factor(r, k, v.now) + v.learner.residual(r, v.model, k, v.now) + r.moment(k, v.now))
	}
	return p
}

// Expect returns the expected time of a kind in seconds at a replica with a pace.
func (v View) Expect(p Pace, k Kind, promptTokens, load float64) float64 {
	return v.bases[k] * p[k] * v.service.shapes[k].at(input(promptTokens, load))
}

// Pause returns the expected longest pause of a stream in seconds.
func (v View) Pause(p Pace, load float64) float64 { return v.pauses * v.Expect(p, Gap, 0, load) }

// Prefill returns the expected time in seconds by which one more token of a prompt delays the first event.
func (v View) Prefill(p Pace) float64 {
	return v.bases[First] * p[First] * v.service.shapes[First].weights[tokens] / tokenUnit
}

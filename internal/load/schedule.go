package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

// charsPerToken is the number of prompt characters that are generated for one token.
const charsPerToken = 4

// request is one scheduled request.
type request struct {
	// sendAt is the intended send time, since the start of the run.
	sendAt       time.Duration
	class        *RequestClass
	model        string
	outputTokens int
	cost         float64
	body         []byte
	// key is the idempotency key. repeated reports whether an earlier request had the same key.
	key      string
	repeated bool
	order    string
	// limited reports whether the workspace has an exact central token bucket, and withinRate whether this
	// bucket admits the request.
	withinRate, limited bool
}

// source generates the requests of one class in the order of their send times.
type source struct {
	class *RequestClass
	rng   *rand.Rand
	next  time.Duration
	end   time.Duration
	// sentInBurst is the number of requests of the current burst that were generated.
	sentInBurst int
	// constantCount is the number of constant arrivals that were generated.
	constantCount int
	// run is part of idempotency keys and order names, which makes them unique across runs.
	run string
	// quoted holds the model names as JSON strings.
	quoted map[string][]byte
	// cumulativeShares holds the cumulative probabilities of the models for ChooseZipf.
	cumulativeShares []float64
	// previous is the last request that was not a repetition.
	previous *request
}

func newSource(c *RequestClass, seed uint64, index int, run string) *source {
	s := &source{
		class:  c,
		rng:    rand.New(rand.NewPCG(seed, uint64(index))),
		next:   seconds(c.StartSeconds),
		end:    seconds(c.EndSeconds),
		run:    run,
		quoted: map[string][]byte{},
	}
	for _, m := range c.Models {
		s.quoted[m], _ = json.Marshal(m)
	}
	s.cumulativeShares = cumulativeZipfShares(len(c.Models), c.ZipfExponent)
	if c.Arrivals.Kind == ArrivalsPoisson {
		s.advance()
	}
	return s
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// cumulativeZipfShares returns the cumulative Zipf probabilities of n ranks.
func cumulativeZipfShares(n int, exponent float64) []float64 {
	table := make([]float64, n)
	sum := 0.0
	for i := range table {
		sum += math.Pow(float64(i+1), -exponent)
		table[i] = sum
	}
	for i := range table {
		table[i] /= sum
	}
	return table
}

// advance sets next to the send time of the request after the current one.
func (s *source) advance() {
	a := s.class.Arrivals
	switch a.Kind {
	case ArrivalsPoisson:
		s.next += seconds(s.rng.ExpFloat64() / a.RatePerSecond)
	case ArrivalsConstant:
		s.constantCount++
		s.next = seconds(s.class.StartSeconds + float64(s.constantCount)/a.RatePerSecond)
	case ArrivalsBurst:
		s.sentInBurst++
		if s.sentInBurst == a.BurstSize {
			s.sentInBurst = 0
			s.next += time.Duration(a.BurstEveryMillis) * time.Millisecond
		}
	}
}

func (s *source) done() bool { return s.next >= s.end }

// take returns the next request.
func (s *source) take(number uint64) *request {
	r := s.buildRequest(number)
	r.sendAt = s.next
	s.advance()
	return r
}

func (s *source) buildRequest(number uint64) *request {
	c := s.class
	if c.Idempotency == IdempotencyRepeat && s.previous != nil && s.rng.Float64() < c.RepeatShare {
		again := *s.previous
		again.repeated = true
		return &again
	}
	r := &request{class: c}
	unique := s.run + "-" + strconv.FormatUint(number, 10)
	if c.Idempotency != IdempotencyNone {
		r.key = unique
	}
	if c.Kind == KindPlain {
		r.order = unique
		r.cost = c.CostTokens
		r.body = fmt.Appendf(nil, `{"order":%q}`, unique)
	} else {
		s.fillModelRequest(r, number)
	}
	s.previous = r
	return r
}

func (s *source) fillModelRequest(r *request, number uint64) {
	c := s.class
	r.model = s.chooseModel()
	prompt := s.drawFromRange(c.PromptTokens)
	r.outputTokens = s.drawFromRange(c.OutputTokens)
	r.cost = float64(prompt + r.outputTokens)
	b := make([]byte, 0, 160+prompt*charsPerToken)
	b = append(b, `{"model":`...)
	b = append(b, s.quoted[r.model]...)
	b = append(b, `,"max_tokens":`...)
	b = strconv.AppendInt(b, int64(r.outputTokens), 10)
	if c.Stream {
		b = append(b, `,"stream":true`...)
	}
	if c.Kind == KindChat {
		b = append(b, `,"messages":[{"role":"user","content":"`...)
		b = s.appendPrompt(b, prompt*charsPerToken, number)
		r.body = append(b, `"}]}`...)
		return
	}
	b = append(b, `,"prompt":"`...)
	b = s.appendPrompt(b, prompt*charsPerToken, number)
	r.body = append(b, `"}`...)
}

func (s *source) chooseModel() string {
	c := s.class
	switch c.ModelChoice {
	case ChooseUniform:
		return c.Models[s.rng.IntN(len(c.Models))]
	case ChooseZipf:
		i := sort.SearchFloat64s(s.cumulativeShares, s.rng.Float64())
		return c.Models[min(i, len(c.Models)-1)]
	}
	return c.Models[0]
}

func (s *source) drawFromRange(r Range) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + s.rng.IntN(r.Max-r.Min+1)
}

// appendPrompt appends a text of n characters. Its first part is the same for all prompts of a prefix group,
// the rest is unique.
func (s *source) appendPrompt(b []byte, n int, number uint64) []byte {
	c := s.class
	shared := min(c.SharedPrefixTokens*charsPerToken, n)
	if shared > 0 {
		b = appendLetters(b, shared, uint64(s.rng.IntN(c.SharedPrefixes))+1)
	}
	return appendLetters(b, n-shared, (number+1)<<20)
}

// appendLetters appends n pseudorandom letters, which depend on the seed only.
func appendLetters(b []byte, n int, seed uint64) []byte {
	x := seed*0x9e3779b97f4a7c15 + 1
	for n > 0 {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		for i := 0; i < 8 && n > 0; i++ {
			b = append(b, 'a'+byte(x>>(8*i))%26)
			n--
		}
	}
	return b
}

// schedule merges the requests of all sources in the order of their send times.
type schedule struct {
	sources []*source
	number  uint64
}

func newSchedule(s *Scenario, run string) *schedule {
	out := &schedule{}
	for i := range s.Classes {
		out.sources = append(out.sources, newSource(&s.Classes[i], s.Seed, i, run))
	}
	return out
}

// take returns the next request, or nil when all sources are exhausted.
func (s *schedule) take() *request {
	var first *source
	for _, src := range s.sources {
		if !src.done() && (first == nil || src.next < first.next) {
			first = src
		}
	}
	if first == nil {
		return nil
	}
	s.number++
	return first.take(s.number)
}

// bucket is the exact central token bucket of one workspace. level is its fill level in tokens at the time at.
type bucket struct {
	rate  Rate
	level float64
	at    time.Duration
}

func newBucket(r Rate) *bucket { return &bucket{rate: r, level: max(0, r.BurstTokens-r.MissingTokens)} }

// admit deducts the cost and returns true if the bucket holds enough tokens, and returns false otherwise. Calls
// must be in chronological order.
func (b *bucket) admit(at time.Duration, cost float64) bool {
	b.level = min(b.rate.BurstTokens, b.level+b.rate.TokensPerSecond*(at-b.at).Seconds())
	b.at = at
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

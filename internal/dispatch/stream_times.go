package dispatch

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/catalog"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

const (
	// streamTimeWindow is how long the shortest stream of a model counts at least; it counts at most twice as long.
	streamTimeWindow = 30 * time.Second
	// leastStreamShare lowers the shortest time that was observed: a request is only refused if it can hardly be served.
	leastStreamShare = 0.8
	// minStreamSamples is the number of streams after which the shortest one counts.
	minStreamSamples = 5
)

// streamKey identifies streams with the same pace.
type streamKey struct {
	service catalog.ServiceID
	model   entity.ModelID
}

// streamTime is the shortest time of a stream for each output token, in seconds, over the present and the previous window,
// and the most output tokens of a stream there.
type streamTime struct {
	present, previous         float64
	mostPresent, mostPrevious float64
	samples                   int
}

// streamTimes holds the shortest recent streams. A stream lasts from the sending of its request to its end.
type streamTimes struct {
	times     map[streamKey]*streamTime
	rotatedAt time.Time
}

// record records the duration of a stream of a number of output tokens.
func (s *streamTimes) record(key streamKey, tokens float64, took time.Duration, now time.Time) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.rotate(now)
	t := s.times[key]
	if t == nil {
		t = &streamTime{}
		s.times[key] = t
	}
	if v := took.Seconds() / tokens; t.present == 0 || v < t.present {
		t.present = v
	}
	t.mostPresent = max(t.mostPresent, tokens)
	t.samples++
}

// rotate begins a new window when the present one has ended, and removes models without streams.
func (s *streamTimes) rotate(now time.Time) {
	if s.times == nil {
		s.times = make(map[streamKey]*streamTime)
		s.rotatedAt = now
	}
	for n := 0; n < 2 && now.Sub(s.rotatedAt) >= streamTimeWindow; n++ {
		s.rotatedAt = s.rotatedAt.Add(streamTimeWindow)
		for key, t := range s.times {
			t.previous, t.present = t.present, 0
			t.mostPrevious, t.mostPresent = t.mostPresent, 0
			if t.previous == 0 {
				delete(s.times, key)
			}
		}
	}
	if now.Sub(s.rotatedAt) >= streamTimeWindow {
		s.rotatedAt = now
	}
}

// least returns the least time in which a stream of a number of output tokens can be expected to end, zero if it is not
// known. A stream that is longer than all observed ones is expected to take at least as long as the longest: in short ones
// most of the time is that to the first event, which does not grow with the output.
func (s *streamTimes) least(key streamKey, tokens float64, now time.Time) time.Duration {
	s.rotate(now)
	t := s.times[key]
	if t == nil || t.samples < minStreamSamples {
		return 0
	}
	shortest := t.present
	if shortest == 0 || t.previous > 0 && t.previous < shortest {
		shortest = t.previous
	}
	tokens = min(max(tokens, 0), max(t.mostPresent, t.mostPrevious))
	return time.Duration(leastStreamShare * shortest * tokens * float64(time.Second))
}

func (r *Request) streamKey() streamKey { return streamKey{r.Pool.Service, r.Pool.Model} }

// outputTokens returns the largest number of tokens of the answer, zero if it is not known.
func (r *Request) outputTokens() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return r.Tokens - float64(r.PromptTokens)
}

// recordStream records the duration of a stream that has ended. The result of a complete stream has no status.
func (s *Scheduler) recordStream(r *Request, res AttemptResult, now time.Time) {
	complete := res.Outcome == entity.Completed && res.Status == 0
	if s.earlyRefusal && r.Route.Kind == catalog.Streaming && complete && r.interruptedAt.IsZero() {
		s.streamTimes.record(r.streamKey(), r.outputTokens(), now.Sub(r.sentAt), now)
	}
}

// canStream reports whether the stream of a waiting request that is sent after a time may end before its deadline. It is
// true for requests that have begun, because their remaining length is not known.
func (s *Scheduler) canStream(r *Request, after time.Duration, now time.Time) bool {
	if !s.earlyRefusal || r.Route.Kind != catalog.Streaming || r.mayHaveRun {
		return true
	}
	return after+s.streamTimes.least(r.streamKey(), r.outputTokens(), now) < r.Deadline.Sub(now)
}

// SetEarlyRefusal sets whether waiting requests are refused whose streams cannot end before their deadlines.
func (s *Scheduler) SetEarlyRefusal(on bool) { s.earlyRefusal = on }

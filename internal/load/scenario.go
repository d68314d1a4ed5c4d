// Package load is an open-loop load generator: requests are sent at times that a seeded
// schedule sets in advance, and latency is measured from these times, so that a slow target
// neither slows the arrivals down nor hides its delays.
package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Kinds of requests, arrivals, balancer policies, model choices and idempotency modes.
const (
	KindChat       = "chat"
	KindCompletion = "completion"
	KindPlain      = "plain"

	ArrivalsPoisson  = "poisson"
	ArrivalsConstant = "constant"
	ArrivalsBurst    = "burst"

	BalanceRoundRobin = "round_robin"
	BalanceRandom     = "random"
	BalanceSkewed     = "skewed"

	ChooseFixed   = "fixed"
	ChooseUniform = "uniform"
	ChooseZipf    = "zipf"

	IdempotencyNone   = ""
	IdempotencyUnique = "unique"
	IdempotencyRepeat = "repeat"
)

// Scenario describes one run. Zero fields take the defaults.
type Scenario struct {
	Name string `json:"name"`
	// Seed makes the schedule, the models and the sizes reproducible.
	Seed uint64 `json:"seed"`
	// DurationSeconds is how long requests are sent.
	DurationSeconds float64 `json:"duration_s"`
	// Targets are the caller addresses, host:port.
	Targets  []string `json:"targets"`
	Balancer Balancer `json:"balancer"`
	// TimeoutMillis bounds one request from its intended send time. Default 60000.
	TimeoutMillis int64 `json:"timeout_ms"`
	// MaxInFlight bounds the open requests; further ones are counted as not sent. Default 50000.
	MaxInFlight int `json:"max_in_flight"`
	// ConnectionsPerTarget bounds the connections; further requests wait for one, which counts
	// into their latency. Without a bound, a short stall makes thousands of connections and uses
	// up the file descriptors. Default 2048.
	ConnectionsPerTarget int `json:"connections_per_target"`
	// CheckAnswers compares every answer with what the engine or service stand-in must give.
	CheckAnswers bool `json:"check_answers"`
	// Precise waits actively for the next send time. It takes one core and avoids the delay of
	// timers, which is up to about 1 ms.
	Precise bool `json:"precise"`
	// Workspaces declares the rates for the exact central token bucket.
	Workspaces map[entity.WorkspaceID]Rate `json:"workspaces"`
	Classes    []RequestClass              `json:"classes"`
	// Observe is called with the result of every request, from many goroutines. May be nil.
	Observe func(Sample) `json:"-"`
}

// Sample is the result of one request.
type Sample struct {
	// At is the intended send time.
	At        time.Time
	Group     string
	Workspace entity.WorkspaceID
	Model     string
	Target    string
	// Complete says that the whole right answer arrived. Refused says that an error answer did.
	// Without both and without ErrorEvent, the request got no answer.
	Complete, Refused, ErrorEvent bool
	Code                          string
	// First and Whole are the times to the first part and to the end of the answer.
	First, Whole time.Duration
}

// Balancer imitates the platform's load balancer.
type Balancer struct {
	// Policy is round_robin, random or skewed. Default round_robin.
	Policy string `json:"policy"`
	// Weights are the shares of the targets under the skewed policy.
	Weights []float64 `json:"weights"`
	// EjectMillis leaves out a target for this long after a failed connection. Zero never does.
	EjectMillis int64 `json:"eject_ms"`
}

// Rate is the limit of a workspace over all targets together.
type Rate struct {
	TokensPerSecond float64 `json:"rate_tokens_per_s"`
	BurstTokens     float64 `json:"burst_tokens"`
	// MissingTokens is what the exact bucket lacks of its burst at the start. Hosts that have
	// just started have not accrued a full burst yet.
	MissingTokens float64 `json:"missing_tokens"`
}

// Range is an inclusive range from which values are drawn evenly. Max below Min means Min.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Arrivals is a stream of send times.
type Arrivals struct {
	// Kind is poisson, constant or burst. Default poisson.
	Kind string `json:"kind"`
	// RatePerSecond is the mean rate of poisson and constant arrivals.
	RatePerSecond float64 `json:"rate_per_s"`
	// BurstSize requests are sent at once every BurstEveryMillis; the first burst is at the start.
	BurstSize        int   `json:"burst_size"`
	BurstEveryMillis int64 `json:"burst_every_ms"`
}

// RequestClass describes requests of one sort.
type RequestClass struct {
	Name string `json:"name"`
	// Group collects classes in the report. Default the name.
	Group     string             `json:"group"`
	Workspace entity.WorkspaceID `json:"workspace"`
	Key       string             `json:"key"`
	// Kind is chat, completion or plain. Default chat.
	Kind     string   `json:"kind"`
	Arrivals Arrivals `json:"arrivals"`
	// StartSeconds and EndSeconds bound the class within the run; an end of zero is the run's end.
	StartSeconds float64 `json:"start_s"`
	EndSeconds   float64 `json:"end_s"`
	// Models are model names, with an adapter as name:adapter. ModelChoice is fixed (the first),
	// uniform or zipf (by the order of the list, with exponent ZipfExponent, default 1).
	Models       []string `json:"models"`
	ModelChoice  string   `json:"model_choice"`
	ZipfExponent float64  `json:"zipf_exponent"`
	PromptTokens Range    `json:"prompt_tokens"`
	OutputTokens Range    `json:"output_tokens"`
	// SharedPrefixTokens of each prompt are equal within one of SharedPrefixes groups.
	SharedPrefixTokens int  `json:"shared_prefix_tokens"`
	SharedPrefixes     int  `json:"shared_prefixes"`
	Stream             bool `json:"stream"`
	// Class is sent as the class header when set, DeadlineMillis as the deadline header when positive.
	Class          string `json:"class"`
	DeadlineMillis int64  `json:"deadline_ms"`
	// InTimeMillis is the limit of the in-time share. Default DeadlineMillis; zero counts every
	// complete answer as in time.
	InTimeMillis int64 `json:"in_time_ms"`
	// Idempotency is empty, unique (a new key for each request) or repeat (as unique, but
	// RepeatShare of the requests repeat the key and the body of an earlier one).
	Idempotency string  `json:"idempotency"`
	RepeatShare float64 `json:"repeat_share"`
	// Path and Method are used by plain calls. Default method POST.
	Path   string `json:"path"`
	Method string `json:"method"`
	// CostTokens is what a plain call costs. Default 1.
	CostTokens float64 `json:"cost_tokens"`
}

const (
	defaultTimeout     = 60 * time.Second
	defaultMaxInFlight = 50000
	defaultConnections = 2048
	defaultPrompt      = 16
	defaultOutput      = 16
)

// ReadScenario reads and validates a scenario file. Targets, if any, replace those of the file.
func ReadScenario(file string, targets ...string) (Scenario, error) {
	var s Scenario
	data, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("read scenario: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, fmt.Errorf("read scenario %s: %w", file, err)
	}
	if len(targets) > 0 {
		s.Targets = targets
	}
	return s, s.Check()
}

// Check returns all errors of the scenario at once, with defaults for zero fields.
func (s Scenario) Check() error { return s.withDefaults().validate() }

func (s Scenario) withDefaults() Scenario {
	setDefault(&s.Balancer.Policy, BalanceRoundRobin)
	setDefault(&s.TimeoutMillis, defaultTimeout.Milliseconds())
	setDefault(&s.MaxInFlight, defaultMaxInFlight)
	setDefault(&s.ConnectionsPerTarget, defaultConnections)
	s.Classes = append([]RequestClass(nil), s.Classes...)
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Group, c.Name)
		setDefault(&c.Kind, KindChat)
		setDefault(&c.Arrivals.Kind, ArrivalsPoisson)
		setDefault(&c.ModelChoice, ChooseFixed)
		setDefault(&c.ZipfExponent, 1)
		setDefault(&c.PromptTokens.Min, defaultPrompt)
		setDefault(&c.OutputTokens.Min, defaultOutput)
		setDefault(&c.SharedPrefixes, 1)
		setDefault(&c.InTimeMillis, c.DeadlineMillis)
		setDefault(&c.Method, "POST")
		setDefault(&c.CostTokens, 1)
		setDefault(&c.EndSeconds, s.DurationSeconds)
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s Scenario) validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.DurationSeconds <= 0, "duration_s: must be positive")
	bad(len(s.Targets) == 0, "targets: at least one is required")
	bad(len(s.Classes) == 0, "classes: at least one is required")
	bad(!oneOf(s.Balancer.Policy, BalanceRoundRobin, BalanceRandom, BalanceSkewed),
		"balancer.policy: unknown %q", s.Balancer.Policy)
	bad(s.Balancer.Policy == BalanceSkewed && !validWeights(s.Balancer.Weights, len(s.Targets)),
		"balancer.weights: one weight per target, none negative, at least one positive, is required")
	for w, r := range s.Workspaces {
		bad(r.TokensPerSecond <= 0 || r.BurstTokens <= 0, "workspaces[%s]: rate and burst must be positive", w)
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		bad(c.Name == "" || names[c.Name], "%s.name: %q is empty or used twice", at, c.Name)
		names[c.Name] = true
		bad(!oneOf(c.Kind, KindChat, KindCompletion, KindPlain), "%s.kind: unknown %q", at, c.Kind)
		bad(c.Kind == KindPlain && c.Path == "", "%s.path: is required for plain calls", at)
		bad(c.Kind != KindPlain && len(c.Models) == 0, "%s.models: at least one is required", at)
		bad(!oneOf(c.ModelChoice, ChooseFixed, ChooseUniform, ChooseZipf), "%s.model_choice: unknown %q", at, c.ModelChoice)
		bad(!oneOf(c.Idempotency, IdempotencyNone, IdempotencyUnique, IdempotencyRepeat), "%s.idempotency: unknown %q", at, c.Idempotency)
		bad(c.EndSeconds <= c.StartSeconds || c.StartSeconds < 0, "%s: end_s must be after start_s", at)
		errs = append(errs, c.Arrivals.errors(at)...)
	}
	return errors.Join(errs...)
}

func validWeights(weights []float64, n int) bool {
	sum := 0.0
	for _, w := range weights {
		if w < 0 {
			return false
		}
		sum += w
	}
	return len(weights) == n && sum > 0
}

func (a Arrivals) errors(at string) []error {
	switch a.Kind {
	case ArrivalsPoisson, ArrivalsConstant:
		if a.RatePerSecond <= 0 {
			return []error{fmt.Errorf("%s.arrivals.rate_per_s: must be positive", at)}
		}
	case ArrivalsBurst:
		if a.BurstSize <= 0 || a.BurstEveryMillis <= 0 {
			return []error{fmt.Errorf("%s.arrivals: burst_size and burst_every_ms must be positive", at)}
		}
	default:
		return []error{fmt.Errorf("%s.arrivals.kind: unknown %q", at, a.Kind)}
	}
	return nil
}

func oneOf(s string, allowed ...string) bool {
	for _, a := range allowed {
		if s == a {
			return true
		}
	}
	return false
}

// Package load is an open-loop load generator. A schedule with a fixed seed sets the send times of all
// requests in advance, and latencies are measured from these times. A slow target therefore neither slows
// down the arrivals nor hides its delays.
//
// The report compares the limits that the targets enforce for a workspace with the exact central token bucket: the
// decisions of a single bucket with the rate and burst of the workspace that all its requests pass in the order of
// their send times. A request that this bucket admits is within the rate.
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

// Scenario describes one run. Fields with the value zero take their defaults.
type Scenario struct {
	Name string `json:"name"`
	// Seed determines the send times, the chosen models and the request sizes.
	Seed uint64 `json:"seed"`
	// DurationSeconds is how long requests are sent.
	DurationSeconds float64 `json:"duration_s"`
	// Targets are the addresses (host:port) to which requests are sent, such as the caller addresses of hosts.
	Targets  []string `json:"targets"`
	Balancer Balancer `json:"balancer"`
	// TimeoutMillis bounds one request from its intended send time. Default 60000.
	TimeoutMillis int64 `json:"timeout_ms"`
	// MaxInFlight bounds the open requests. Further requests are counted as not sent. Default 50000.
	MaxInFlight int `json:"max_in_flight"`
	// ConnectionsPerTarget bounds the connections to one target. A request that finds none free waits for
	// one, and the wait is part of its latency. Without a bound, a short stall of the target would open
	// thousands of connections and use up the file descriptors. Default 2048.
	ConnectionsPerTarget int `json:"connections_per_target"`
	// CheckAnswers compares every answer with the one that the engine or service stand-in must return.
	CheckAnswers bool `json:"check_answers"`
	// Precise waits for the next send time in a busy loop. It occupies one core and avoids the delay of
	// timers, which is up to about 1 ms.
	Precise bool `json:"precise"`
	// Workspaces holds the limits of the exact central token buckets with which refusals and answers are
	// compared. Those of workspaces without an entry are not compared.
	Workspaces map[entity.WorkspaceID]Rate `json:"workspaces"`
	Classes    []RequestClass              `json:"classes"`
	// Observe is called with the result of every request, concurrently from many goroutines. It may be nil.
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
	// Complete reports whether the complete and correct answer arrived, Refused whether an error response
	// arrived, and ErrorEvent whether a stream ended with an error event. If all three are false, the request
	// got no answer, only part of one, or that of another request. Code is the error code, and empty if the
	// answer is complete.
	Complete, Refused, ErrorEvent bool
	Code                          string
	// First and Whole are the times from At to the first token and to the end of the answer. For an answer that
	// is not streamed, First equals Whole.
	First, Whole time.Duration
}

// Balancer describes how requests are distributed over the targets. It stands in for the load balancer of the
// platform.
type Balancer struct {
	// Policy is round_robin, random or skewed. Default round_robin.
	Policy string `json:"policy"`
	// Weights are the relative shares of the targets under the skewed policy, in the order of Targets.
	Weights []float64 `json:"weights"`
	// EjectMillis is how long the balancer skips a target after a failed connection attempt. Zero disables it.
	EjectMillis int64 `json:"eject_ms"`
}

// Rate is the token limit of a workspace, which applies to all targets together.
type Rate struct {
	TokensPerSecond float64 `json:"rate_tokens_per_s"`
	BurstTokens     float64 `json:"burst_tokens"`
	// MissingTokens is how far the exact bucket is below its burst at the start: hosts that have just started
	// have not accrued a full burst yet.
	MissingTokens float64 `json:"missing_tokens"`
}

// Range is an inclusive range from which values are drawn with equal probability. If Max is below Min, the
// value is always Min.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Arrivals describes the send times of a request class.
type Arrivals struct {
	// Kind is poisson, constant or burst. Default poisson.
	Kind string `json:"kind"`
	// RatePerSecond is the mean rate of poisson and constant arrivals.
	RatePerSecond float64 `json:"rate_per_s"`
	// BurstSize requests are sent at the same time, every BurstEveryMillis. The first burst is at the start of
	// the class.
	BurstSize        int   `json:"burst_size"`
	BurstEveryMillis int64 `json:"burst_every_ms"`
}

// RequestClass describes requests with the same workspace, arrival process and size distribution.
type RequestClass struct {
	Name string `json:"name"`
	// Group is the group of the report to which the class counts. Default the name of the class.
	Group     string             `json:"group"`
	Workspace entity.WorkspaceID `json:"workspace"`
	Key       string             `json:"key"`
	// Kind is chat, completion or plain. Default chat.
	Kind     string   `json:"kind"`
	Arrivals Arrivals `json:"arrivals"`
	// StartSeconds and EndSeconds are the period of the run in which the class sends. An EndSeconds of zero
	// means the end of the run.
	StartSeconds float64 `json:"start_s"`
	EndSeconds   float64 `json:"end_s"`
	// Models are the names of models, or name:adapter for a model with an adapter. ModelChoice is fixed (always
	// the first model), uniform or zipf (by position in the list, with exponent ZipfExponent, default 1).
	Models       []string `json:"models"`
	ModelChoice  string   `json:"model_choice"`
	ZipfExponent float64  `json:"zipf_exponent"`
	PromptTokens Range    `json:"prompt_tokens"`
	OutputTokens Range    `json:"output_tokens"`
	// SharedPrefixTokens is the length of the prefix that prompts of the same prefix group have in common.
	// There are SharedPrefixes groups, and each prompt belongs to a random one.
	SharedPrefixTokens int  `json:"shared_prefix_tokens"`
	SharedPrefixes     int  `json:"shared_prefixes"`
	Stream             bool `json:"stream"`
	// Class is interactive or patient, the class of the requests for the hosts. It is sent in the class header if
	// it is not empty, and DeadlineMillis in the deadline header if it is positive.
	Class          string `json:"class"`
	DeadlineMillis int64  `json:"deadline_ms"`
	// InTimeMillis is the time up to which a complete answer counts as in time. Default DeadlineMillis. If both
	// are zero, every complete answer is in time.
	InTimeMillis int64 `json:"in_time_ms"`
	// Idempotency is empty (no idempotency key), unique (a new key for each request) or repeat (like unique,
	// but the share RepeatShare of the requests repeats the key and the body of the previous request).
	Idempotency string  `json:"idempotency"`
	RepeatShare float64 `json:"repeat_share"`
	// Path and Method are those of plain calls. The default method is POST.
	Path   string `json:"path"`
	Method string `json:"method"`
	// CostTokens is the cost of a plain call in tokens. Default 1.
	CostTokens float64 `json:"cost_tokens"`
}

const (
	defaultTimeout      = 60 * time.Second
	defaultMaxInFlight  = 50000
	defaultConnections  = 2048
	defaultPromptTokens = 16
	defaultOutputTokens = 16
)

// ReadScenario reads and validates a scenario file. If targets are given, they replace those of the file.
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

// Check returns all errors of the scenario joined. It applies the defaults to a copy first.
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
		setDefault(&c.PromptTokens.Min, defaultPromptTokens)
		setDefault(&c.OutputTokens.Min, defaultOutputTokens)
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

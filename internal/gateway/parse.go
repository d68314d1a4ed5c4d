package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Headers towards callers.
const (
	ClassHeader          = "X-Foxtailpass-Class"
	DeadlineHeader       = "X-Foxtailpass-Deadline-Ms"
	RanHeader            = "X-Foxtailpass-Ran"
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	// bytesPerToken is the usual estimate of the length of a token of text.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt decides about cache affinity.
	prefixBytes = 512
	// maxCount bounds the numbers in a completion request, so that their product fits an int.
	maxCount = 1 << 24
	// maxIdempotencyKey bounds the length of an idempotency key in bytes.
	maxIdempotencyKey = 255
)

// Priorities in the body towards engines; lower values run first.
const (
	priorityInteractive = 0
	priorityPatient     = 10
)

// completion is what the gateway needs to know of a completion request.
type completion struct {
	model   entity.ModelID
	adapter entity.AdapterID
	stream  bool
	// promptTokens and outputTokens are estimates that are charged before the request runs.
	promptTokens int
	outputTokens int
	prefix       uint64
	// body is the request as it is sent to engines.
	body []byte
}

// invalid returns the refusal of a malformed request.
func invalid(format string, args ...any) *entity.Refusal {
	return &entity.Refusal{Status: 400, Code: "invalid_request", Message: fmt.Sprintf(format, args...)}
}

// parseCompletion reads the body of a completion request. Unknown fields go upstream unchanged,
// except the priority, which the class decides.
func parseCompletion(body []byte, class entity.Class, limits config.Limits) (completion, *entity.Refusal) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completion{}, invalid("The body is not a JSON object: %v.", err)
	}
	var c completion
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil || name == "" {
		return completion{}, invalid("The field model must be a non-empty string.")
	}
	model, adapter, _ := strings.Cut(name, ":")
	c.model, c.adapter = entity.ModelID(model), entity.AdapterID(adapter)
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &c.stream); err != nil {
			return completion{}, invalid("The field stream must be true or false.")
		}
	}
	prompt := fields["prompt"]
	if prompt == nil {
		prompt = fields["messages"]
	}
	if len(prompt) == 0 {
		return completion{}, invalid("One of the fields messages and prompt is required.")
	}
	c.promptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	c.prefix = prefixHash(name, prompt)
	refusal := c.readMaximum(fields, limits)
	if refusal != nil {
		return completion{}, refusal
	}
	fields["priority"] = priorityOf(class)
	c.body = encode(fields)
	return c, nil
}

// readMaximum estimates the output and writes the maximum into the request, so that the engine
// never generates more than was charged.
func (c *completion) readMaximum(fields map[string]json.RawMessage, limits config.Limits) *entity.Refusal {
	most := limits.MaxOutputTokens
	choices := 1
	for _, f := range []struct {
		name  string
		value *int
	}{{"max_completion_tokens", &most}, {"max_tokens", &most}, {"n", &choices}} {
		raw, ok := fields[f.name]
		if !ok {
			continue
		}
		var n int
		if err := json.Unmarshal(raw, &n); err != nil || n < 1 || n > maxCount {
			return invalid("The field %s must be an integer from 1 to %d.", f.name, maxCount)
		}
		*f.value = n
	}
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(most))
	if _, ok := fields["max_completion_tokens"]; ok {
		// An engine may prefer this field; both must name what was charged.
		fields["max_completion_tokens"] = fields["max_tokens"]
	}
	c.outputTokens = most * choices
	return nil
}

func priorityOf(class entity.Class) json.RawMessage {
	if class == entity.Patient {
		return json.RawMessage(strconv.Itoa(priorityPatient))
	}
	return json.RawMessage(strconv.Itoa(priorityInteractive))
}

func encode(fields map[string]json.RawMessage) []byte {
	body, err := json.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("gateway: decoded JSON cannot be encoded: %v", err))
	}
	return body
}

func prefixHash(model string, prompt []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write(prompt[:min(len(prompt), prefixBytes)])
	return h.Sum64()
}

// bearerKey returns the key of the Authorization header, or empty.
func bearerKey(h *fasthttp.RequestHeader) string {
	value := string(h.Peek(fasthttp.HeaderAuthorization))
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// requestDeadline reads the deadline header; def applies when it is missing.
func requestDeadline(h *fasthttp.RequestHeader, now time.Time, def time.Duration) (time.Time, *entity.Refusal) {
	value := string(h.Peek(DeadlineHeader))
	if value == "" {
		return now.Add(def), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > int64(maxDeadline/time.Millisecond) {
		return now, invalid("The header %s must be between 1 and %d.", DeadlineHeader, int64(maxDeadline/time.Millisecond))
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// maxDeadline bounds what a caller may ask for.
const maxDeadline = 24 * time.Hour

// requestClass reads the class header.
func requestClass(h *fasthttp.RequestHeader) (entity.Class, *entity.Refusal) {
	class, err := entity.ParseClass(string(h.Peek(ClassHeader)))
	if err != nil {
		return class, invalid("The header %s is invalid: %v.", ClassHeader, err)
	}
	return class, nil
}

// idempotencyKey reads and bounds the idempotency key.
func idempotencyKey(h *fasthttp.RequestHeader) (string, *entity.Refusal) {
	key := string(h.Peek(IdempotencyKeyHeader))
	if len(key) > maxIdempotencyKey {
		return "", invalid("The header %s must have at most %d bytes.", IdempotencyKeyHeader, maxIdempotencyKey)
	}
	return key, nil
}

// containsKey says whether data carries the caller's key in plain form.
func containsKey(data []byte, key string) bool {
	return key != "" && bytes.Contains(data, []byte(key))
}

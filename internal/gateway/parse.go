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

// Headers of requests from callers and of answers to them.
const (
	ClassHeader          = "X-Foxtailpass-Class"
	DeadlineHeader       = "X-Foxtailpass-Deadline-Ms"
	RanHeader            = "X-Foxtailpass-Ran"
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	// promptBytesPerToken is the assumed length of a token of prompt text, from which the number of prompt tokens is
	// estimated.
	promptBytesPerToken = 4
	// prefixHashBytes is the length of the start of a prompt that is hashed. Requests with the same hash are
	// preferably sent to the same engine, whose prefix cache may contain this start.
	prefixHashBytes = 512
	// maxIntegerField bounds the integer fields of a completion request, so that the product of two fits an int.
	maxIntegerField = 1 << 24
	// maxIdempotencyKey bounds the length of an idempotency key in bytes.
	maxIdempotencyKey = 255
)

// Values of the field priority in the body for engines. Engines run lower values first.
const (
	priorityInteractive = 0
	priorityPatient     = 10
)

// completion holds the fields of a completion request that the gateway uses.
type completion struct {
	model   entity.ModelID
	adapter entity.AdapterID
	stream  bool
	// promptTokens is estimated from the length of the prompt. outputTokens is the largest number of tokens
	// that the engine may generate for all choices together. Their sum is charged before the request runs.
	promptTokens int
	outputTokens int
	// prefix is the result of prefixHash.
	prefix uint64
	// body is the request body that is sent to engines.
	body []byte
}

// invalidRequest returns the refusal of a malformed request.
func invalidRequest(format string, args ...any) *entity.Refusal {
	return &entity.Refusal{Status: 400, Code: "invalid_request", Message: fmt.Sprintf(format, args...)}
}

// parseCompletion parses the body of a completion request and builds the body for the engine. Fields that the
// gateway does not use are copied unchanged, except priority, which is set from the request class.
func parseCompletion(body []byte, class entity.Class, limits config.Limits) (completion, *entity.Refusal) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completion{}, invalidRequest("The body is not a JSON object: %v.", err)
	}
	var c completion
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil || name == "" {
		return completion{}, invalidRequest("The field model must be a non-empty string.")
	}
	model, adapter, _ := strings.Cut(name, ":")
	c.model, c.adapter = entity.ModelID(model), entity.AdapterID(adapter)
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &c.stream); err != nil {
			return completion{}, invalidRequest("The field stream must be true or false.")
		}
	}
	prompt := fields["prompt"]
	if prompt == nil {
		prompt = fields["messages"]
	}
	if len(prompt) == 0 {
		return completion{}, invalidRequest("One of the fields messages and prompt is required.")
	}
	c.promptTokens = (len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken
	c.prefix = prefixHash(name, prompt)
	refusal := c.limitOutput(fields, limits)
	if refusal != nil {
		return completion{}, refusal
	}
	fields["priority"] = priorityOf(class)
	c.body = encodeFields(fields)
	return c, nil
}

// limitOutput sets outputTokens to the product of the output limit per choice and the number of choices of a request. It
// also writes the limit into fields, so that the engine never generates more tokens than were charged. If the request
// has both max_completion_tokens and max_tokens, max_tokens applies.
func (c *completion) limitOutput(fields map[string]json.RawMessage, limits config.Limits) *entity.Refusal {
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
		if err := json.Unmarshal(raw, &n); err != nil || n < 1 || n > maxIntegerField {
			return invalidRequest("The field %s must be an integer from 1 to %d.", f.name, maxIntegerField)
		}
		*f.value = n
	}
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(most))
	if _, ok := fields["max_completion_tokens"]; ok {
		// An engine may use this field instead of max_tokens, so both must have the charged limit.
		fields["max_completion_tokens"] = fields["max_tokens"]
	}
	c.outputTokens = most * choices
	return nil
}

// priorityOf returns the value of the field priority for a request class.
func priorityOf(class entity.Class) json.RawMessage {
	if class == entity.Patient {
		return json.RawMessage(strconv.Itoa(priorityPatient))
	}
	return json.RawMessage(strconv.Itoa(priorityInteractive))
}

func encodeFields(fields map[string]json.RawMessage) []byte {
	body, err := json.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("gateway: decoded JSON cannot be encoded: %v", err))
	}
	return body
}

// prefixHash returns a hash of the model name in a request, which can include an adapter, and of the first
// prefixHashBytes of the prompt.
func prefixHash(model string, prompt []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write(prompt[:min(len(prompt), prefixHashBytes)])
	return h.Sum64()
}

// bearerKey returns the key of the Authorization header, or an empty string.
func bearerKey(h *fasthttp.RequestHeader) string {
	value := string(h.Peek(fasthttp.HeaderAuthorization))
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// requestDeadline returns the deadline of a request that arrived at now: now plus the time in the deadline header, or
// now plus def when the header is missing.
func requestDeadline(h *fasthttp.RequestHeader, now time.Time, def time.Duration) (time.Time, *entity.Refusal) {
	value := string(h.Peek(DeadlineHeader))
	if value == "" {
		return now.Add(def), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > int64(maxDeadline/time.Millisecond) {
		return now, invalidRequest("The header %s must be between 1 and %d.", DeadlineHeader, int64(maxDeadline/time.Millisecond))
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// maxDeadline bounds the value of the deadline header.
const maxDeadline = 24 * time.Hour

// requestClass returns the request class that the class header names.
func requestClass(h *fasthttp.RequestHeader) (entity.Class, *entity.Refusal) {
	class, err := entity.ParseClass(string(h.Peek(ClassHeader)))
	if err != nil {
		return class, invalidRequest("The header %s is invalid: %v.", ClassHeader, err)
	}
	return class, nil
}

// idempotencyKey returns the idempotency key of a request, empty if none, or a refusal when it is too long.
func idempotencyKey(h *fasthttp.RequestHeader) (string, *entity.Refusal) {
	key := string(h.Peek(IdempotencyKeyHeader))
	if len(key) > maxIdempotencyKey {
		return "", invalidRequest("The header %s must have at most %d bytes.", IdempotencyKeyHeader, maxIdempotencyKey)
	}
	return key, nil
}

// containsKey reports whether data contains the caller's key in plain text.
func containsKey(data []byte, key string) bool {
	return key != "" && bytes.Contains(data, []byte(key))
}

package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/upstream"
)

// maxBufferedAnswer bounds, in bytes, how much of the answer to a call that asked for a stream is kept in memory: the
// body of an answer that is not an event stream, and the events that are collected for an idempotency claim.
const maxBufferedAnswer = 1 << 20

// isEventStream reports whether a response is a successful event stream.
func isEventStream(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream"))
}

// readBody returns the body of an answer that is not an event stream. If the call asked for a stream, the body has not
// been read yet, and readBody reads at most maxBufferedAnswer bytes of it.
func readBody(s *session, call *upstream.Call) ([]byte, error) {
	if !s.call.stream {
		return call.Response.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(call.Body(), maxBufferedAnswer))
	if err != nil {
		return nil, &upstream.Failure{Outcome: entity.AttemptUnknown, Reason: "read", Err: err}
	}
	return body, nil
}

// checkAnswer returns an upstream.Failure for an answer that must not be forwarded to the caller:
//   - the upstream reports that it did not run the request;
//   - the status is 500 or higher, and the upstream is an engine or the call may be repeated;
//   - the status is below 300, and the body of an engine's answer is not valid JSON, so that it was truncated;
//   - the status is below 300, and the call asked for a stream but the answer is not one.
func checkAnswer(s *session, resp *fasthttp.Response, body []byte) error {
	if reportedNotRun(resp) {
		return &upstream.Failure{Outcome: entity.AttemptNotRun, Reason: upstream.ErrorCode(body)}
	}
	status := resp.StatusCode()
	if status >= 500 && (s.call.engine || s.call.idempotent) {
		return &upstream.Failure{Outcome: entity.AttemptFailed, Reason: "status " + strconv.Itoa(status)}
	}
	if s.call.engine && status < 300 && !json.Valid(body) {
		return &upstream.Failure{Outcome: entity.AttemptUnknown, Reason: "truncated_answer"}
	}
	if s.call.stream && status < 300 {
		return &upstream.Failure{Outcome: entity.AttemptFailed, Reason: "answer_not_streamed"}
	}
	return nil
}

// reportedNotRun reports whether the upstream states in a header that it did not run the request.
func reportedNotRun(resp *fasthttp.Response) bool {
	return string(resp.Header.Peek(upstream.EngineRanHeader)) == "no" ||
		string(resp.Header.Peek(upstream.ServiceRanHeader)) == "no"
}

// usage is the part of an engine answer or event that contains token counts.
type usage struct {
	Usage *struct {
		PromptTokens     float64 `json:"prompt_tokens"`
		CompletionTokens float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usedTokens returns the cost of a completed request in tokens. It is never higher than the charge, the number of tokens
// that were charged on arrival. For an engine, the cost is the token count in the answer, or the charge if the answer
// has none, and zero if the status is 300 or higher. For a plain service, the cost is always the charge.
func usedTokens(s *session, resp *fasthttp.Response, body []byte) float64 {
	if !s.call.engine {
		return s.call.tokens
	}
	if resp.StatusCode() >= 300 {
		return 0
	}
	var u usage
	if err := json.Unmarshal(body, &u); err != nil || u.Usage == nil {
		return s.call.tokens
	}
	return min(u.Usage.PromptTokens+u.Usage.CompletionTokens, s.call.tokens)
}

// countEventTokens updates the cost of a stream after one event. It sets the cost to the token counts in the event if it
// has them, and otherwise adds one token. The cost is never higher than the charge.
func (s *session) countEventTokens(data []byte) {
	if bytes.Contains(data, []byte(`"usage":{`)) {
		var u usage
		if json.Unmarshal(data, &u) == nil && u.Usage != nil {
			s.usedTokens = min(u.Usage.PromptTokens+u.Usage.CompletionTokens, s.call.tokens)
			return
		}
	}
	s.usedTokens = min(s.usedTokens+1, s.call.tokens)
}

// errorEvent formats a refusal as a stream event.
func errorEvent(r entity.Refusal) []byte {
	return fmt.Appendf(nil, "data: %s\n\n", encodeRefusal(r))
}

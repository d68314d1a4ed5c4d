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

// maxErrorBody bounds the body of an answer that was expected to be a stream and is not.
const maxErrorBody = 1 << 20

func isEventStream(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream"))
}

// wholeBody returns the body of an answer; the body of a call that was to be streamed is read first.
func wholeBody(s *session, call *upstream.Call) ([]byte, error) {
	if !s.call.stream {
		return call.Response.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(call.Body(), maxErrorBody))
	if err != nil {
		return nil, &upstream.Failure{Outcome: entity.AttemptUnknown, Reason: "read", Err: err}
	}
	return body, nil
}

// checkAnswer returns a failure for answers that must not reach the caller: proven not-run
// answers, server errors of repeatable calls, and engine answers that are not whole.
func checkAnswer(s *session, resp *fasthttp.Response, body []byte) error {
	if ranNo(resp) {
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

// ranNo says whether the upstream has said that it did not run the request.
func ranNo(resp *fasthttp.Response) bool {
	return string(resp.Header.Peek(upstream.EngineRanHeader)) == "no" ||
		string(resp.Header.Peek(upstream.ServiceRanHeader)) == "no"
}

type usage struct {
	Usage *struct {
		PromptTokens     float64 `json:"prompt_tokens"`
		CompletionTokens float64 `json:"completion_tokens"`
	} `json:"usage"`
}

// usedTokens returns what a completed request has cost; never more than was charged.
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

// streamUsage updates the cost of a stream by one event.
func (s *session) streamUsage(data []byte) {
	if bytes.Contains(data, []byte(`"usage":{`)) {
		var u usage
		if json.Unmarshal(data, &u) == nil && u.Usage != nil {
			s.usedTokens = min(u.Usage.PromptTokens+u.Usage.CompletionTokens, s.call.tokens)
			return
		}
	}
	s.usedTokens = min(s.usedTokens+1, s.call.tokens)
}

// errorEvent formats a refusal as an event of a broken stream.
func errorEvent(r entity.Refusal) []byte {
	return fmt.Appendf(nil, "data: %s\n\n", encodeRefusal(r))
}

package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// errorBody is the JSON body of a refusal. It has the OpenAI error format with two more fields, ran and retry_after_ms,
// from which callers decide whether to retry.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message          string `json:"message"`
	Type             string `json:"type"`
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// errorType returns the error type of the OpenAI API for an HTTP status.
func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case status == fasthttp.StatusForbidden:
		return "permission_error"
	case status == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case status < 500:
		return "invalid_request_error"
	}
	return "server_error"
}

// encodeRefusal returns the JSON body of a refusal.
func encodeRefusal(r entity.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: errorFields{
		Message:          r.Message,
		Type:             errorType(r.Status),
		Code:             r.Code,
		Ran:              r.Ran.String(),
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		panic(fmt.Sprintf("gateway: refusal cannot be encoded: %v", err))
	}
	return body
}

// writeRefusal replaces the response with a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, r entity.Refusal) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(RanHeader, r.Ran.String())
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(r.RetryAfter))
	}
	ctx.SetBody(encodeRefusal(r))
}

// retryAfterSeconds formats d for the header Retry-After. It rounds up, because the header has whole seconds
// and an earlier retry would be refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

// ErrBadReport is returned by State when the engine answers with a status other than 200, or with a body that is
// not a valid report.
var ErrBadReport = errors.New("upstream: bad report")

// State fetches the report of an engine's state. The report may be older than the current state.
func (c *Client) State(ctx context.Context, addr string, deadline time.Time) (*wire.UpstreamReport, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/engine/v1/state")
	call, err := c.Do(ctx, req, Options{Addr: addr, Deadline: deadline})
	if err != nil {
		return nil, err
	}
	defer call.Close()
	if status := call.Response.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrBadReport, status)
	}
	var report wire.UpstreamReport
	if err := json.Unmarshal(call.Response.Body(), &report); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadReport, err)
	}
	return &report, nil
}

// SendOrder sends an order once, without retries. It returns the outcome and, unless the order was accepted,
// the reason.
func (c *Client) SendOrder(ctx context.Context, addr string, order command.Order, deadline time.Time) (command.OrderOutcome, string) {
	body, err := json.Marshal(order)
	if err != nil {
		panic(fmt.Sprintf("upstream: order cannot be encoded: %v", err))
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/engine/v1/orders")
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	call, err := c.Do(ctx, req, Options{Addr: addr, Deadline: deadline, ForceNewConnection: true})
	if err != nil {
		return outcomeFromError(err), err.Error()
	}
	defer call.Close()
	return outcomeFromAnswer(call.Response)
}

// outcomeFromError returns OrderNotSent if the engine certainly did not run the order: no byte of the order was sent, or
// the order was sent and the engine reported that it did not run it. Otherwise it returns OrderUnknown.
func outcomeFromError(err error) command.OrderOutcome {
	var f *Failure
	if errors.As(err, &f) && f.Outcome == entity.AttemptNotRun {
		return command.OrderNotSent
	}
	return command.OrderUnknown
}

// outcomeFromAnswer returns the outcome of an order from the engine's answer, and the error code unless the order
// was accepted. An answer with an error status counts as a refusal only if its EngineRanHeader is "no"; otherwise
// the engine may have carried out the order.
func outcomeFromAnswer(resp *fasthttp.Response) (command.OrderOutcome, string) {
	switch {
	case resp.StatusCode() < 300:
		return command.OrderAccepted, ""
	case string(resp.Header.Peek(EngineRanHeader)) == "no":
		return command.OrderRefused, ErrorCode(resp.Body())
	}
	return command.OrderUnknown, ErrorCode(resp.Body())
}

// ErrorCode returns the error code from a body in the error format of the OpenAI API, or "error" if the body has
// none.
func ErrorCode(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "error"
	}
	return e.Error.Code
}

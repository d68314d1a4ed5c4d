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

// ErrBadReport means that an engine answered with something that is not a report.
var ErrBadReport = errors.New("upstream: bad report")

// State reads the lagging report of an engine.
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

// SendOrder sends an order once and types what is known about it.
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
	call, err := c.Do(ctx, req, Options{Addr: addr, Deadline: deadline, Fresh: true})
	if err != nil {
		return orderOutcome(err), err.Error()
	}
	defer call.Close()
	return orderAnswer(call.Response)
}

func orderOutcome(err error) command.OrderOutcome {
	var f *Failure
	if errors.As(err, &f) && f.Outcome == entity.AttemptNotRun {
		return command.OrderNotSent
	}
	return command.OrderUnknown
}

// orderAnswer reads an engine's answer. Only a refusal that says so is final.
func orderAnswer(resp *fasthttp.Response) (command.OrderOutcome, string) {
	switch {
	case resp.StatusCode() < 300:
		return command.OrderAccepted, ""
	case string(resp.Header.Peek(EngineRanHeader)) == "no":
		return command.OrderRefused, ErrorCode(resp.Body())
	}
	return command.OrderUnknown, ErrorCode(resp.Body())
}

// ErrorCode returns the code of an error answer in the OpenAI shape, or "error".
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

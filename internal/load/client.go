package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/valyala/fasthttp"
)

// verdict is the class of a final answer.
type verdict uint8

const (
	// complete means a 2xx answer that arrived as a whole.
	complete verdict = iota
	// refused means an error status.
	refused
	// errorEvent means a stream that the target ended with an explicit error event.
	errorEvent
	// incomplete means a 2xx answer that was cut without an explicit error.
	incomplete
	// wrong means a whole answer that is not the answer to this request.
	wrong
	// failed means that no answer arrived: the connection or the timeout ended it.
	failed
)

// result is what came back for one request.
type result struct {
	verdict    verdict
	status     int
	code       string
	ran        string
	retryAfter bool
	// refusedConn says that no connection was made.
	refusedConn bool
	first       time.Duration
	whole       time.Duration
	gaps        []time.Duration
}

// client sends requests to one target.
type client struct {
	addr string
	http *fasthttp.HostClient
	sse  *fasthttp.HostClient
	// ejectedUntil is the time since the start of the run until which the balancer leaves it out.
	ejectedUntil time.Duration
}

const (
	connectTimeout = 3 * time.Second
	// maxLine bounds one line of an event stream.
	maxLine = 64 << 10
)

func newClient(addr string, conns int, timeout time.Duration) *client {
	host := func(stream bool) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr:                addr,
			MaxConns:            conns,
			MaxConnWaitTimeout:  timeout,
			MaxIdleConnDuration: time.Minute,
			StreamResponseBody:  stream,
			// A retry by the client would hide a failure and could run a request twice.
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
			Dial: func(a string) (net.Conn, error) {
				return fasthttp.DialTimeout(a, connectTimeout)
			},
		}
	}
	return &client{addr: addr, http: host(false), sse: host(true)}
}

// send sends the request and reads the whole answer. Times are measured from intended.
func (c *client) send(r *request, intended time.Time, timeout time.Duration, check bool) result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, r)
	left := timeout - time.Since(intended)
	req.SetTimeout(max(left, time.Millisecond))
	via := c.http
	if r.class.Stream {
		via = c.sse
	}
	if err := via.Do(req, resp); err != nil {
		return failure(err, time.Since(intended))
	}
	var res result
	if r.class.Stream {
		res = readStream(r, resp, intended, check)
	} else {
		res = readWhole(r, resp, check)
		res.whole = time.Since(intended)
		res.first = res.whole
	}
	res.status = resp.StatusCode()
	return res
}

func (c *client) fill(req *fasthttp.Request, r *request) {
	cl := r.class
	h := &req.Header
	req.SetHost(c.addr)
	h.SetMethod(cl.Method)
	switch cl.Kind {
	case KindChat:
		req.URI().SetPath("/v1/chat/completions")
	case KindCompletion:
		req.URI().SetPath("/v1/completions")
	default:
		req.SetRequestURI(cl.Path)
		req.SetHost(c.addr)
	}
	h.SetContentType("application/json")
	if cl.Key != "" {
		h.Set("Authorization", "Bearer "+cl.Key)
	}
	if cl.Class != "" {
		h.Set("X-Foxtailpass-Class", cl.Class)
	}
	if cl.DeadlineMillis > 0 {
		h.Set("X-Foxtailpass-Deadline-Ms", strconv.FormatInt(cl.DeadlineMillis, 10))
	}
	if r.key != "" {
		h.Set("Idempotency-Key", r.key)
	}
	req.SetBodyRaw(r.body)
}

func failure(err error, after time.Duration) result {
	res := result{verdict: failed, code: "connection_broken", whole: after}
	var dial *fasthttp.ErrDialWithUpstream
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrDialTimeout):
		res.code, res.refusedConn = "no_connection", true
	case errors.Is(err, fasthttp.ErrTimeout):
		res.code = "client_timeout"
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		res.code = "client_connections"
	}
	return res
}

// errorDocument is the OpenAI error format with the fields that foxtailpass adds.
type errorDocument struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func readRefusal(resp *fasthttp.Response, body []byte) result {
	var doc errorDocument
	_ = json.Unmarshal(body, &doc)
	res := result{
		verdict:    refused,
		code:       doc.Error.Code,
		ran:        string(resp.Header.Peek("X-Foxtailpass-Ran")),
		retryAfter: len(resp.Header.Peek("Retry-After")) > 0,
	}
	if res.code == "" {
		res.code = "no_code"
	}
	return res
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func readWhole(r *request, resp *fasthttp.Response, check bool) result {
	body := resp.Body()
	if !isSuccess(resp.StatusCode()) {
		return readRefusal(resp, body)
	}
	if check && !rightAnswer(r, resp, body) {
		return result{verdict: wrong, code: "wrong_answer"}
	}
	return result{verdict: complete}
}

// completionDocument is the part of a whole answer that is checked.
type completionDocument struct {
	ID      entity.RequestID `json:"id"`
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func rightAnswer(r *request, resp *fasthttp.Response, body []byte) bool {
	id := entity.RequestID(resp.Header.Peek(engine.HeaderRequestID))
	if r.class.Kind == KindPlain {
		var a service.Answer
		err := json.Unmarshal(body, &a)
		return err == nil && a.Order == r.order && (a.RequestID == id || r.repeated)
	}
	var doc completionDocument
	if json.Unmarshal(body, &doc) != nil || len(doc.Choices) != 1 {
		return false
	}
	return rightText(r, id, doc.ID, doc.Choices[0].Text+doc.Choices[0].Message.Content)
}

// rightText compares with the text that the engine stand-in derives from the request ID. The
// stored answer to a repeated idempotency key belongs to the ID of the first request.
func rightText(r *request, headerID, bodyID entity.RequestID, text string) bool {
	if headerID != "" && text == engine.ExpectedText(headerID, r.model, r.output) {
		return true
	}
	return r.repeated && text == engine.ExpectedText(bodyID, r.model, r.output)
}

// readStream reads an event stream to its end.
func readStream(r *request, resp *fasthttp.Response, intended time.Time, check bool) (res result) {
	defer func() { res.whole = time.Since(intended) }()
	defer func() { _ = resp.CloseBodyStream() }()
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	if !isSuccess(resp.StatusCode()) {
		raw, _ := io.ReadAll(io.LimitReader(body, maxLine))
		return readRefusal(resp, raw)
	}
	p := streamParser{res: &res, intended: intended}
	if check {
		p.text = make([]byte, 0, r.output*charsPerToken)
	}
	br := bufio.NewReaderSize(body, maxLine)
	for !p.ended {
		line, err := br.ReadSlice('\n')
		if err != nil {
			res.verdict, res.code = incomplete, "cut"
			if errors.Is(err, fasthttp.ErrTimeout) {
				res.code = "client_timeout"
			}
			return res
		}
		p.line(bytes.TrimRight(line, "\r\n"))
	}
	if res.verdict != complete {
		return res
	}
	// The rest is read so that the connection can be used again.
	_, _ = io.Copy(io.Discard, br)
	id := entity.RequestID(resp.Header.Peek(engine.HeaderRequestID))
	if check && !rightText(r, id, p.id, string(p.text)) {
		res.verdict, res.code = wrong, "wrong_answer"
	}
	return res
}

// streamParser reads the lines of an event stream.
type streamParser struct {
	res      *result
	intended time.Time
	last     time.Time
	text     []byte
	id       entity.RequestID
	ended    bool
}

var (
	dataPrefix   = []byte("data:")
	doneMark     = []byte("[DONE]")
	errorPrefix  = []byte(`{"error"`)
	contentMarks = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}
	idMark       = []byte(`"id":"`)
)

func (p *streamParser) line(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	switch {
	case bytes.Equal(data, doneMark):
		p.ended = true
	case bytes.HasPrefix(data, errorPrefix):
		var doc errorDocument
		_ = json.Unmarshal(data, &doc)
		p.res.verdict, p.res.code, p.res.ran = errorEvent, doc.Error.Code, doc.Error.Ran
		p.ended = true
	default:
		p.chunk(data)
	}
}

// chunk looks for the token text without decoding the whole chunk, which would bound the rate.
func (p *streamParser) chunk(data []byte) {
	var text []byte
	for _, mark := range contentMarks {
		if text = stringAfter(data, mark); len(text) > 0 {
			break
		}
	}
	if len(text) == 0 {
		return
	}
	now := time.Now()
	if p.last.IsZero() {
		p.res.first = now.Sub(p.intended)
	} else {
		p.res.gaps = append(p.res.gaps, now.Sub(p.last))
	}
	p.last = now
	if p.text == nil {
		return
	}
	p.text = append(p.text, text...)
	if p.id == "" {
		p.id = entity.RequestID(stringAfter(data, idMark))
	}
}

// stringAfter returns the JSON string that starts after mark, decoded.
func stringAfter(data, mark []byte) []byte {
	i := bytes.Index(data, mark)
	if i < 0 {
		return nil
	}
	rest := data[i+len(mark):]
	end := 0
	for end < len(rest) && rest[end] != '"' {
		if rest[end] == '\\' {
			end++
		}
		end++
	}
	if end >= len(rest) {
		return nil
	}
	if bytes.IndexByte(rest[:end], '\\') < 0 {
		return rest[:end]
	}
	var s string
	_ = json.Unmarshal(data[i+len(mark)-1:i+len(mark)+end+1], &s)
	return []byte(s)
}

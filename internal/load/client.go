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
	"github.com/foxtailpass/foxtailpass/internal/httphead"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/internal/standin/service"
	"github.com/valyala/fasthttp"
)

// outcome classifies how a request ended.
type outcome uint8

const (
	// outcomeComplete means that a 2xx answer arrived completely and, if answers are checked, is the expected one.
	outcomeComplete outcome = iota
	// outcomeRefused means that the target answered with an error status.
	outcomeRefused
	// outcomeErrorEvent means that the target ended the stream with an explicit error event.
	outcomeErrorEvent
	// outcomeIncomplete means that a 2xx answer broke off without an explicit error.
	outcomeIncomplete
	// outcomeWrong means that a complete answer arrived that is not the expected one, for example the answer to
	// another request.
	outcomeWrong
	// outcomeFailed means that no answer arrived because the connection failed or the timeout expired.
	outcomeFailed
)

// result describes the answer to one request. code is the error code of the target or, for failures that the
// generator itself detects, one of its own, such as "cut". ran is what the target says about whether the request
// was run. firstToken and whole are the times from the intended send time to the first token and to the end.
type result struct {
	outcome    outcome
	status     int
	code       string
	ran        string
	retryAfter bool
	// connectFailed reports whether no connection could be established.
	connectFailed bool
	firstToken    time.Duration
	whole         time.Duration
	tokenGaps     []time.Duration
}

// client sends requests to one target.
type client struct {
	addr string
	// http reads whole responses; sse reads responses as streams.
	http *fasthttp.HostClient
	sse  *fasthttp.HostClient
	// ejectedUntil is the end of the ejection, as time since the start of the run. The balancer skips the
	// client until then.
	ejectedUntil time.Duration
}

const (
	connectTimeout = 3 * time.Second
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 64 << 10
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
			Dial:                          dial,
		}
	}
	return &client{addr: addr, http: host(false), sse: host(true)}
}

// dial returns a connection that accepts only answers with a well-formed head. An answer with another one counts as a broken
// connection.
func dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return httphead.NewConn(conn), nil
}

// send sends the request and reads the answer to its end. All durations are measured from intended, the
// scheduled send time.
func (c *client) send(r *request, intended time.Time, timeout time.Duration, check bool) result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, r)
	left := timeout - time.Since(intended)
	req.SetTimeout(max(left, time.Millisecond))
	via := c.http
	if r.class.Stream {
		via = c.sse
	}
	if err := via.Do(req, resp); err != nil {
		return failureResult(err, time.Since(intended))
	}
	var res result
	if r.class.Stream {
		res = readStream(r, resp, intended, check)
	} else {
		res = readBuffered(r, resp, check)
		res.whole = time.Since(intended)
		res.firstToken = res.whole
	}
	res.status = resp.StatusCode()
	return res
}

func (c *client) fillRequest(req *fasthttp.Request, r *request) {
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

func failureResult(err error, after time.Duration) result {
	res := result{outcome: outcomeFailed, code: "connection_broken", whole: after}
	var dial *fasthttp.ErrDialWithUpstream
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrDialTimeout):
		res.code, res.connectFailed = "no_connection", true
	case errors.Is(err, fasthttp.ErrTimeout):
		res.code = "client_timeout"
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		res.code = "client_connections"
	}
	return res
}

// errorDocument is the part of an OpenAI error body that is evaluated, with the field "ran" that
// foxtailpass adds to it.
type errorDocument struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func readErrorResponse(resp *fasthttp.Response, body []byte) result {
	var doc errorDocument
	_ = json.Unmarshal(body, &doc)
	res := result{
		outcome:    outcomeRefused,
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

func readBuffered(r *request, resp *fasthttp.Response, check bool) result {
	body := resp.Body()
	if !isSuccess(resp.StatusCode()) {
		return readErrorResponse(resp, body)
	}
	if check && !answerMatches(r, resp, body) {
		return result{outcome: outcomeWrong, code: "wrong_answer"}
	}
	return result{outcome: outcomeComplete}
}

// completionDocument is the part of a non-streamed answer that is checked.
type completionDocument struct {
	ID      entity.RequestID `json:"id"`
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func answerMatches(r *request, resp *fasthttp.Response, body []byte) bool {
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
	return textMatches(r, id, doc.ID, doc.Choices[0].Text+doc.Choices[0].Message.Content)
}

// textMatches reports whether text is the one that the engine stand-in derives from the request ID. When the
// idempotency key is repeated, the stored answer carries the ID of the first request with this key.
func textMatches(r *request, headerID, bodyID entity.RequestID, text string) bool {
	if headerID != "" && text == engine.ExpectedText(headerID, r.model, r.outputTokens) {
		return true
	}
	return r.repeated && text == engine.ExpectedText(bodyID, r.model, r.outputTokens)
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
		raw, _ := io.ReadAll(io.LimitReader(body, maxLineBytes))
		return readErrorResponse(resp, raw)
	}
	p := streamParser{res: &res, intended: intended}
	if check {
		p.text = make([]byte, 0, r.outputTokens*charsPerToken)
	}
	br := bufio.NewReaderSize(body, maxLineBytes)
	for !p.ended {
		line, err := br.ReadSlice('\n')
		if err != nil {
			res.outcome, res.code = outcomeIncomplete, "cut"
			if errors.Is(err, fasthttp.ErrTimeout) {
				res.code = "client_timeout"
			}
			return res
		}
		p.line(bytes.TrimRight(line, "\r\n"))
	}
	if res.outcome != outcomeComplete {
		return res
	}
	// Reading the rest of the body lets the client reuse the connection.
	_, _ = io.Copy(io.Discard, br)
	id := entity.RequestID(resp.Header.Peek(engine.HeaderRequestID))
	if check && !textMatches(r, id, p.id, string(p.text)) {
		res.outcome, res.code = outcomeWrong, "wrong_answer"
	}
	return res
}

// streamParser evaluates the lines of an event stream and stores the outcome and the times of the tokens in res.
// If answers are checked, it collects the text and the request ID of the answer in text and id.
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
		p.res.outcome, p.res.code, p.res.ran = outcomeErrorEvent, doc.Error.Code, doc.Error.Ran
		p.ended = true
	default:
		p.chunk(data)
	}
}

// chunk records when the token text of a chunk arrived. It searches for the text instead of decoding the
// whole chunk, because decoding would limit the rate that the generator reaches.
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
		p.res.firstToken = now.Sub(p.intended)
	} else {
		p.res.tokenGaps = append(p.res.tokenGaps, now.Sub(p.last))
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

// stringAfter returns the decoded JSON string whose content starts directly after mark, or nil if there is
// none.
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

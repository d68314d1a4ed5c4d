package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is a request that a caller sends to a host.
type Request struct {
	Method         string
	Path           string
	Key            string
	Body           string
	IdempotencyKey string
	Headers        map[string]string
	Timeout        time.Duration
}

// Answer is the response that a caller received. Err is set if the response did not arrive completely, and Took is
// the time until it had arrived or failed.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Code is the code of the error answer or error event, or empty.
	Code string
	// Ran is the value of the header X-Foxtailpass-Ran, which says whether the request was run.
	Ran     string
	Err     error
	Took    time.Duration
	Refused time.Duration
}

// Chat returns a chat request for at most the given number of tokens.
func Chat(key, model string, tokens int, stream bool) Request {
	return Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Key: key,
		Body: fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, model, stream, tokens),
	}
}

// client opens a connection for every request, so that a terminated host leaves no broken idle connection
// behind.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Open sends a request and returns the response with its body unread. The calling code must close the body.
func (h *Host) Open(ctx context.Context, r Request) (*http.Response, error) {
	return h.open(ctx, client, r)
}

func (h *Host) open(ctx context.Context, c *http.Client, r Request) (*http.Response, error) {
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.Settings.CallerAddr+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if r.Body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	for k, v := range r.Headers {
		req.Header.Set(k, v)
	}
	// Without GetBody, the HTTP client does not retry a request on its own.
	req.GetBody = nil
	return c.Do(req)
}

// Do sends a request and reads the whole answer.
func (h *Host) Do(r Request) Answer {
	if r.Timeout == 0 {
		r.Timeout = 30 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	return h.DoWithClient(ctx, client, r)
}

// DoWithClient is like Do, but uses the given client and has no timeout except that of the context.
func (h *Host) DoWithClient(ctx context.Context, c *http.Client, r Request) Answer {
	began := time.Now()
	resp, err := h.open(ctx, c, r)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err, Took: time.Since(began)}
	a.Ran = resp.Header.Get("X-Foxtailpass-Ran")
	a.Code = ErrorCode(body)
	return a
}

// ErrorCode returns the code of an error answer or of the error event that ends a stream, or an empty string.
func ErrorCode(body []byte) string {
	var e struct {
		Error struct{ Code string } `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error.Code != "" {
		return e.Error.Code
	}
	i := bytes.LastIndex(body, []byte(`data: {"error"`))
	if i < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(body[i+len("data: "):], []byte("\n"))
	_ = json.Unmarshal(line, &e)
	return e.Error.Code
}

// StreamText returns the text of a chat stream and reports whether the stream ended with the end marker [DONE].
func StreamText(body string) (text string, whole bool) {
	sc := bufio.NewScanner(strings.NewReader(body))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

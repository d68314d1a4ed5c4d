package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/valyala/fasthttp"
)

// applyHangFault applies FaultHang and reports whether the caller must still answer the request.
func (e *Engine) applyHangFault(ctx *fasthttp.RequestCtx, m *bootState, st *stream) bool {
	f, ok := e.faults.consume(FaultHang, st.model)
	if !ok {
		return true
	}
	conn := ctx.Conn()
	if f.DelayMS > 0 {
		return sleep(m.ctx, f.delay()) == nil
	}
	// The read returns when the client closes the connection or the engine is stopped.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	return false
}

// answerUnstreamed waits for the end of the request and answers with one JSON body.
func (e *Engine) answerUnstreamed(ctx *fasthttp.RequestCtx, m *bootState, st *stream) {
	if f, ok := e.faults.consume(FaultBreak, st.model); ok {
		st.waitBeyond(f.Tokens - 1)
		_ = ctx.Conn().Close()
		return
	}
	p, reason := st.waitEnded()
	if p != phaseDone {
		e.answerUnfinished(ctx, p, reason)
		return
	}
	if _, ok := e.faults.consume(FaultFail, st.model); ok {
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", false)
		return
	}
	if f, ok := e.faults.consume(FaultLate, st.model); ok {
		_ = sleep(m.ctx, f.delay())
	}
	st = e.faults.exchangeAnswer(st)
	st.waitEnded()
	ctx.Response.Header.Set(HeaderRequestID, string(st.id))
	body := st.completionBody()
	if _, ok := e.faults.consume(FaultTruncate, st.model); ok {
		truncateAnswer(ctx, st.id, body)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// answerUnfinished answers a request that was refused or canceled before it was complete. Requests of an
// ended boot get no answer: their connection is closed.
func (e *Engine) answerUnfinished(ctx *fasthttp.RequestCtx, p phase, reason string) {
	if reason == "killed" {
		_ = ctx.Conn().Close()
		return
	}
	writeError(ctx, refusalStatus(reason), reason, p == phaseRefused)
}

// truncateAnswer sends a Content-Length for the whole body but only half of the body, and closes the
// connection.
func truncateAnswer(ctx *fasthttp.RequestCtx, id entity.RequestID, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			HeaderRequestID, id, len(body), body[:len(body)/2])
		_ = c.Close()
	})
}

// objectNames returns the values of the JSON field object in a complete answer and in a streamed chunk.
func (s *stream) objectNames() (whole, chunk string) {
	if s.chat {
		return "chat.completion", "chat.completion.chunk"
	}
	return "text_completion", "text_completion"
}

func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

func (s *stream) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		s.promptTokens, s.maxTokens, s.promptTokens+s.maxTokens)
}

// completionBody returns the JSON body of an answer that is not streamed.
func (s *stream) completionBody() []byte {
	object, _ := s.objectNames()
	b := make([]byte, 0, 320+charsPerToken*s.maxTokens)
	b = fmt.Appendf(b, `{"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,`,
		quote(string(s.id)), object, s.created, quote(s.model))
	if s.chat {
		b = append(b, `"message":{"role":"assistant","content":"`...)
	} else {
		b = append(b, `"text":"`...)
	}
	b = appendTokens(b, s.seed, 0, s.maxTokens)
	b = append(b, '"')
	if s.chat {
		b = append(b, '}')
	}
	return fmt.Appendf(b, `,"finish_reason":"length"}],"usage":%s}`, s.usage())
}

// answerStream waits for the start of the request and answers with server-sent events.
func (e *Engine) answerStream(ctx *fasthttp.RequestCtx, st *stream) {
	if p, reason := st.waitStarted(); p == phaseRefused {
		e.answerUnfinished(ctx, p, reason)
		return
	}
	if _, ok := e.faults.consume(FaultFail, st.model); ok {
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", false)
		return
	}
	if f, ok := e.faults.consume(FaultLate, st.model); ok {
		st.waitEnded()
		time.Sleep(f.delay())
	}
	e.sendStream(ctx, st, 0)
}

// sendStream sends the tokens from position from on as server-sent events, one token per event.
func (e *Engine) sendStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	if f, ok := e.faults.consume(FaultBreak, st.model); ok {
		breakStream(ctx, st, from, f.Tokens)
		return
	}
	limit := noTokenLimit
	if f, ok := e.faults.consume(FaultTruncate, st.model); ok {
		limit = f.Tokens
	}
	ctx.Response.Header.Set(HeaderRequestID, string(st.id))
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { st.write(w, from, limit) })
}

// breakStream sends the tokens up to limit and closes the connection in the middle of the chunked body. It
// hijacks the connection because fasthttp sends the output of a body stream writer with a delay, so closing
// the connection in such a writer would lose events.
func breakStream(ctx *fasthttp.RequestCtx, st *stream, from, limit int) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			HeaderRequestID, st.id)
		st.write(bufio.NewWriter(httputil.NewChunkedWriter(c)), from, limit)
		_ = c.Close()
	})
}

// write sends the events after the first sent tokens until the stream ends or until limit tokens have been
// sent in total.
func (s *stream) write(w *bufio.Writer, sent, limit int) {
	head, tail := s.tokenEventParts()
	var text []byte
	for {
		produced, p := s.waitBeyond(sent)
		for ; sent < min(produced, limit); sent++ {
			text = appendTokens(text[:0], s.seed, sent, sent+1)
			_, _ = w.Write(head)
			_, _ = w.Write(text)
			_, _ = w.WriteString(tail)
		}
		if err := w.Flush(); err != nil || sent >= limit {
			return
		}
		switch {
		case p > phaseDone:
			_, _ = fmt.Fprintf(w, "data: %s\n\n", errorBody("canceled"))
			_ = w.Flush()
			return
		case p == phaseDone && sent == s.maxTokens:
			s.writeLastEvents(w)
			return
		}
	}
}

// tokenEventParts returns the text before and after the token in each event of the stream.
func (s *stream) tokenEventParts() (head []byte, tail string) {
	_, object := s.objectNames()
	head = fmt.Appendf(nil, `data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,`,
		quote(string(s.id)), object, s.created, quote(s.model))
	if s.chat {
		return append(head, `"delta":{"content":"`...), "\"},\"finish_reason\":null}]}\n\n"
	}
	return append(head, `"text":"`...), "\",\"finish_reason\":null}]}\n\n"
}

// writeLastEvents sends the event with the finish reason and the usage, and then the end marker [DONE].
func (s *stream) writeLastEvents(w *bufio.Writer) {
	_, object := s.objectNames()
	empty := `"text":""`
	if s.chat {
		empty = `"delta":{}`
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,%s,"finish_reason":"length"}],"usage":%s}`,
		quote(string(s.id)), object, s.created, quote(s.model), empty, s.usage())
	_, _ = w.WriteString("\n\ndata: [DONE]\n\n")
	_ = w.Flush()
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, id entity.RequestID) {
	e.mu.Lock()
	st := e.currentBoot.streams[id]
	e.mu.Unlock()
	if st == nil {
		writeError(ctx, fasthttp.StatusNotFound, "unknown_stream", false)
		return
	}
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil || from < 0 || from > st.maxTokens {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_position", false)
		return
	}
	if p, reason := st.waitStarted(); p == phaseRefused {
		e.answerUnfinished(ctx, p, reason)
		return
	}
	e.rec.countResume()
	e.sendStream(ctx, st, from)
}

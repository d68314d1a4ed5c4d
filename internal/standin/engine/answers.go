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

// holdAnswer applies the hang fault and reports whether the request is still to be answered.
func (e *Engine) holdAnswer(ctx *fasthttp.RequestCtx, m *memory, st *stream) bool {
	f, ok := e.faults.take(FaultHang, st.model)
	if !ok {
		return true
	}
	conn := ctx.Conn()
	if f.DelayMS > 0 {
		return sleep(m.ctx, f.delay()) == nil
	}
	// The read returns when the other side closes the connection or the engine is killed.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	return false
}

func (e *Engine) answerWhole(ctx *fasthttp.RequestCtx, m *memory, st *stream) {
	if f, ok := e.faults.take(FaultBreak, st.model); ok {
		st.waitBeyond(f.Tokens - 1)
		_ = ctx.Conn().Close()
		return
	}
	p, reason := st.waitEnded()
	if p != phaseDone {
		e.refuseEnded(ctx, p, reason)
		return
	}
	if _, ok := e.faults.take(FaultFail, st.model); ok {
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", false)
		return
	}
	if f, ok := e.faults.take(FaultLate, st.model); ok {
		_ = sleep(m.ctx, f.delay())
	}
	st = e.faults.cross(st)
	st.waitEnded()
	ctx.Response.Header.Set(HeaderRequestID, string(st.id))
	body := st.wholeBody()
	if _, ok := e.faults.take(FaultTruncate, st.model); ok {
		truncateAnswer(ctx, st.id, body)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (e *Engine) refuseEnded(ctx *fasthttp.RequestCtx, p phase, reason string) {
	if reason == "killed" {
		_ = ctx.Conn().Close()
		return
	}
	writeError(ctx, refusalStatus(reason), reason, p == phaseRefused)
}

// truncateAnswer announces the whole body, sends half of it and closes the connection.
func truncateAnswer(ctx *fasthttp.RequestCtx, id entity.RequestID, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			HeaderRequestID, id, len(body), body[:len(body)/2])
		_ = c.Close()
	})
}

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

func (s *stream) wholeBody() []byte {
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

func (e *Engine) answerStream(ctx *fasthttp.RequestCtx, st *stream) {
	if p, reason := st.waitStarted(); p == phaseRefused {
		e.refuseEnded(ctx, p, reason)
		return
	}
	if _, ok := e.faults.take(FaultFail, st.model); ok {
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", false)
		return
	}
	if f, ok := e.faults.take(FaultLate, st.model); ok {
		st.waitEnded()
		time.Sleep(f.delay())
	}
	e.sendStream(ctx, st, 0)
}

// sendStream sends the tokens from a position on as server-sent events, one token per event.
func (e *Engine) sendStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	if f, ok := e.faults.take(FaultBreak, st.model); ok {
		breakStream(ctx, st, from, f.Tokens)
		return
	}
	limit := noLimit
	if f, ok := e.faults.take(FaultTruncate, st.model); ok {
		limit = f.Tokens
	}
	ctx.Response.Header.Set(HeaderRequestID, string(st.id))
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { st.write(w, from, limit) })
}

// breakStream sends the first tokens and closes the connection inside the chunked body. The
// server's own body writer cannot do that: it sends behind the writer of the stream.
func breakStream(ctx *fasthttp.RequestCtx, st *stream, from, limit int) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			HeaderRequestID, st.id)
		st.write(bufio.NewWriter(httputil.NewChunkedWriter(c)), from, limit)
		_ = c.Close()
	})
}

// write sends events until the stream ends or limit tokens of it have been sent.
func (s *stream) write(w *bufio.Writer, sent, limit int) {
	head, tail := s.chunkParts()
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
			s.writeEnd(w)
			return
		}
	}
}

func (s *stream) chunkParts() (head []byte, tail string) {
	_, object := s.objectNames()
	head = fmt.Appendf(nil, `data: {"id":%s,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,`,
		quote(string(s.id)), object, s.created, quote(s.model))
	if s.chat {
		return append(head, `"delta":{"content":"`...), "\"},\"finish_reason\":null}]}\n\n"
	}
	return append(head, `"text":"`...), "\",\"finish_reason\":null}]}\n\n"
}

func (s *stream) writeEnd(w *bufio.Writer) {
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
	st := e.mem.streams[id]
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
		e.refuseEnded(ctx, p, reason)
		return
	}
	e.rec.resumed()
	e.sendStream(ctx, st, from)
}

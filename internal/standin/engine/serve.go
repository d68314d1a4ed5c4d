package engine

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/valyala/fasthttp"
)

// Headers of the upstream protocol.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderRan has the value "no" in an answer that proves that the request was not run.
	HeaderRan = "X-Engine-Ran"
)

const (
	defaultMaxTokens = 16
	// statusCanceled is the status that nginx introduced for requests that their sender canceled.
	statusCanceled = 499
	streamsPath    = "/engine/v1/streams/"
)

// completionRequest has the fields of a completion request that the engine uses.
type completionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	e.rec.recordRequest(&ctx.Request)
	switch {
	case path == "/v1/chat/completions" && ctx.IsPost():
		e.handleCompletion(ctx, true)
	case path == "/v1/completions" && ctx.IsPost():
		e.handleCompletion(ctx, false)
	case path == "/engine/v1/state":
		e.handleState(ctx)
	case path == "/engine/v1/orders" && ctx.IsPost():
		e.handleOrder(ctx)
	case path == "/engine/v1/cancel" && ctx.IsPost():
		e.handleCancel(ctx)
	case path == "/engine/v1/events":
		e.handleEvents(ctx)
	case strings.HasPrefix(path, streamsPath):
		e.handleResume(ctx, entity.RequestID(path[len(streamsPath):]))
	case path == "/standin/faults" && ctx.IsPost():
		e.handleFaults(ctx)
	case path == "/standin/record":
		writeJSON(ctx, fasthttp.StatusOK, e.Record())
	case path == "/standin/received":
		writeJSON(ctx, fasthttp.StatusOK, e.Received())
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found", true)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeError(ctx *fasthttp.RequestCtx, status int, code string, notRun bool) {
	if notRun {
		ctx.Response.Header.Set(HeaderRan, "no")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(errorBody(code))
}

func errorBody(code string) []byte {
	return fmt.Appendf(nil, `{"error":{"message":%q,"type":"engine_error","code":%q}}`, "engine: "+code, code)
}

// currentBootState returns the state of the current boot. A caller that has waited since then uses lockIfCurrent to
// detect a restart.
func (e *Engine) currentBootState() *bootState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentBoot
}

// lockIfCurrent locks the engine and returns true if m is still the state of the current boot. Otherwise it
// returns false without the lock, because work of an ended boot must not continue.
func (e *Engine) lockIfCurrent(m *bootState) bool {
	e.mu.Lock()
	if e.currentBoot == m {
		return true
	}
	e.mu.Unlock()
	return false
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	id := entity.RequestID(ctx.Request.Header.Peek(HeaderRequestID))
	if id == "" {
		id = entity.RequestID("engine-" + entity.RandomHex(8))
	}
	ctx.Response.Header.Set(HeaderRequestID, string(id))
	m := e.currentBootState()
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", true)
		return
	}
	if f, ok := e.faults.consume(FaultDelay, body.Model); ok && sleep(m.ctx, f.delay()) != nil {
		_ = ctx.Conn().Close()
		return
	}
	if _, ok := e.faults.consume(FaultRefuse, body.Model); ok {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "refused", true)
		return
	}
	st := body.stream(id, chat)
	if code := e.enqueue(m, st); code != "" {
		writeError(ctx, refusalStatus(code), code, true)
		return
	}
	if !e.applyHangFault(ctx, m, st) {
		return
	}
	if body.Stream {
		e.answerStream(ctx, e.faults.exchangeAnswer(st))
		return
	}
	e.answerUnstreamed(ctx, m, st)
}

func refusalStatus(code string) int {
	switch code {
	case "not_loaded":
		return fasthttp.StatusConflict
	case "canceled":
		return statusCanceled
	}
	return fasthttp.StatusServiceUnavailable
}

func (b *completionRequest) stream(id entity.RequestID, chat bool) *stream {
	st := newStream(id, b.Model)
	st.chat = chat
	st.prompt = b.promptText()
	st.promptTokens = (len(st.prompt) + charsPerToken - 1) / charsPerToken
	st.maxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if st.maxTokens <= 0 {
		st.maxTokens = defaultMaxTokens
	}
	st.priority = b.Priority
	return st
}

// promptText returns all text of the messages and the prompt, joined without separators.
func (b *completionRequest) promptText() string {
	var sb strings.Builder
	for _, msg := range b.Messages {
		appendText(&sb, msg.Content)
	}
	appendText(&sb, b.Prompt)
	return sb.String()
}

// appendText appends a JSON string, the field text of a JSON object, or the texts of all elements of a JSON
// array.
func appendText(sb *strings.Builder, raw json.RawMessage) {
	if len(raw) == 0 {
		return
	}
	switch raw[0] {
	case '"':
		var s string
		_ = json.Unmarshal(raw, &s)
		sb.WriteString(s)
	case '[':
		var parts []json.RawMessage
		_ = json.Unmarshal(raw, &parts)
		for _, p := range parts {
			appendText(sb, p)
		}
	case '{':
		var part struct {
			Text string `json:"text"`
		}
		_ = json.Unmarshal(raw, &part)
		sb.WriteString(part.Text)
	}
}

func splitModel(name string) (entity.ModelID, entity.AdapterID) {
	model, adapter, _ := strings.Cut(name, ":")
	return entity.ModelID(model), entity.AdapterID(adapter)
}

// enqueue adds the request to the waiting list of its replica. If the request is refused, enqueue returns the
// error code, otherwise an empty string.
func (e *Engine) enqueue(m *bootState, st *stream) string {
	if !e.lockIfCurrent(m) {
		return "killed"
	}
	defer e.mu.Unlock()
	if m.leaving {
		return "draining"
	}
	model, adapter := splitModel(st.model)
	r := m.replicas[model]
	if r == nil || r.state != stateReady {
		return "not_loaded"
	}
	if adapter != "" {
		if a := m.adapters[st.model]; a == nil || a.state != stateReady {
			return "not_loaded"
		}
	}
	now := time.Now()
	m.arrivals++
	st.arrival = m.arrivals
	m.streams[st.id] = st
	m.seq++
	heap.Push(&r.waiting, st)
	e.startWaiting(r, now)
	return ""
}

// startWaiting starts waiting requests of the replica while it has free slots.
func (e *Engine) startWaiting(r *replica, now time.Time) {
	for r.running < e.opts.Slots && len(r.waiting) > 0 {
		st := heap.Pop(&r.waiting).(*stream)
		if !st.setPhase(phaseRunning, "") {
			continue
		}
		e.accountReplicaTime(r, now)
		r.running++
		e.rec.countRun(st.id)
		hit := e.currentBoot.cache.lookUpAndStore(st.model, st.prompt, st.id, now)
		st.prompt = ""
		e.rec.countPromptTokens(st.promptTokens, min(hit, st.promptTokens))
		go e.generate(e.currentBoot, r, st, max(st.promptTokens-hit, 0))
	}
}

// generate produces the tokens of one request in real time. The due time of each token is computed from the
// due time of the former token, not from the current time, so that the delays of late timers do not add up.
func (e *Engine) generate(m *bootState, r *replica, st *stream, prefillTokens int) {
	next := time.Now().Add(time.Duration(prefillTokens) * e.opts.PrefillPerToken)
	err := sleep(m.ctx, time.Until(next))
	if e.opts.TokenInterval <= 0 && err == nil {
		st.addTokens(st.maxTokens)
		e.endGeneration(m, r, st, st.maxTokens, phaseDone)
		return
	}
	made := 0
	for err == nil && made < st.maxTokens {
		next = next.Add(e.tokenDuration(r))
		if err = sleep(m.ctx, time.Until(next)); err != nil || !st.addTokens(1) {
			break
		}
		made++
	}
	last := phaseDone
	if made < st.maxTokens {
		last = phaseCanceled
	}
	e.endGeneration(m, r, st, made, last)
}

// tokenDuration returns the time for the next token of a request, which grows with the number of running
// requests.
func (e *Engine) tokenDuration(r *replica) time.Duration {
	e.mu.Lock()
	others := r.running - 1
	e.mu.Unlock()
	return time.Duration(float64(e.opts.TokenInterval) * (1 + e.opts.BatchSlowdown*float64(others)))
}

// endGeneration records the end of a running request, frees its slot and starts waiting requests.
func (e *Engine) endGeneration(m *bootState, r *replica, st *stream, made int, last phase) {
	e.rec.countGeneratedTokens(made)
	st.setPhase(last, "canceled")
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.removed {
		return
	}
	now := time.Now()
	e.accountReplicaTime(r, now)
	r.running--
	m.seq++
	e.retainStream(st, now)
	if r.state == stateUnloading && r.running == 0 {
		e.removeReplica(r, now)
		return
	}
	e.startWaiting(r, now)
}

// retainStream keeps an ended stream for StreamRetention, so that it can be resumed, and drops the streams whose
// retention has expired.
func (e *Engine) retainStream(st *stream, now time.Time) {
	m := e.currentBoot
	m.retainedStreams = append(m.retainedStreams, retainedStream{now.Add(e.opts.StreamRetention), st})
	for len(m.retainedStreams) > 0 && m.retainedStreams[0].expiresAt.Before(now) {
		old := m.retainedStreams[0].stream
		if m.streams[old.id] == old {
			delete(m.streams, old.id)
		}
		m.retainedStreams = m.retainedStreams[1:]
	}
}

// noTokenLimit is a limit on the tokens of a stream that no stream reaches.
const noTokenLimit = 1 << 62

func (e *Engine) handleState(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	report := e.laggedReport(time.Now())
	e.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, report)
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	m := e.currentBootState()
	var o command.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.OrderID == "" || o.Model == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_order", true)
		return
	}
	if f, ok := e.faults.consume(FaultOrderDelay, string(o.Model)); ok && sleep(m.ctx, f.delay()) != nil {
		_ = ctx.Conn().Close()
		return
	}
	if !e.lockIfCurrent(m) {
		_ = ctx.Conn().Close()
		return
	}
	res := e.order(o, time.Now())
	e.mu.Unlock()
	e.rec.order(o, res)
	if _, ok := e.faults.consume(FaultOrderLost, string(o.Model)); ok {
		_ = ctx.Conn().Close()
		return
	}
	if res != orderAccepted {
		writeError(ctx, res.status, res.code, true)
		return
	}
	writeJSON(ctx, res.status, map[string]string{"order_id": o.OrderID, "status": "accepted"})
}

// CancelResult is the answer to POST /engine/v1/cancel.
type CancelResult struct {
	Canceled bool `json:"canceled"`
	// Ran is true if the request had started.
	Ran bool `json:"ran"`
}

// Cancel cancels a waiting or running request. It does nothing if the request is unknown or has ended.
func (e *Engine) Cancel(id entity.RequestID) CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.currentBoot.streams[id]
	if st == nil {
		return CancelResult{}
	}
	if st.setPhase(phaseAfterCancel(st), "canceled") {
		e.removeWaiting(st)
		return CancelResult{Canceled: true, Ran: st.hasStarted()}
	}
	return CancelResult{Ran: st.hasStarted()}
}

// removeWaiting removes a canceled request from the waiting list of its replica.
func (e *Engine) removeWaiting(st *stream) {
	model, _ := splitModel(st.model)
	r := e.currentBoot.replicas[model]
	if r == nil {
		return
	}
	for i, w := range r.waiting {
		if w == st {
			heap.Remove(&r.waiting, i)
			e.retainStream(st, time.Now())
			e.currentBoot.seq++
			return
		}
	}
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var body struct {
		RequestID entity.RequestID `json:"request_id"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.RequestID == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", true)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, e.Cancel(body.RequestID))
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	since := ctx.QueryArgs().GetUintOrZero("since")
	e.mu.Lock()
	events, newest := e.currentBoot.cache.since(uint64(since), time.Now().Add(-e.opts.EventLag), e.opts.EventGapEvery)
	out := CacheEvents{Boot: e.currentBoot.boot, Newest: newest, Events: events}
	e.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (e *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	var body FaultsRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if body.Clear {
		e.ClearFaults()
	}
	for _, f := range body.Set {
		if f.Kind == FaultStop || f.Kind == FaultRestart {
			// These faults close this connection as well, so the answer may be lost.
			go func() { _ = e.SetFault(f) }()
			continue
		}
		if err := e.SetFault(f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

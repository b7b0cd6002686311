package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

const (
	headerRequest     = "Wagtaillift-Request"
	headerIncarnation = "Wagtaillift-Incarnation"
	headerLoad        = "Wagtaillift-Load"
	headerLimit       = "Wagtaillift-Limit"
	headerFence       = "Wagtaillift-Fence"
	headerPriority    = "Wagtaillift-Priority"
	maxBody           = 64 << 20
)

// routes returns the HTTP handler of the engine.
func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, strconv.FormatUint(e.announcement().Incarnation, 10))
	})
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /emulate/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	mux.HandleFunc("POST /emulate/crash", func(http.ResponseWriter, *http.Request) { go e.Crash(context.Background()) })
	mux.HandleFunc("GET /emulate/stats", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(e.Stats()) })
	return mux
}

// request is the body of a completion request.
type request struct {
	Messages  []call.Message  `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Resume    *call.Resume    `json:"resume"`
}

// TokenText returns the text of token n of the answer to prompt. It is deterministic, so that a client can verify answers.
func TokenText(prompt string, n int) string {
	return fmt.Sprintf(" %04x.%d", uint16(hash.String(prompt)), n)
}

// AnswerText returns the text of the answer to prompt with n tokens.
func AnswerText(prompt string, n int) string {
	var sb strings.Builder
	for i := 1; i <= n; i++ {
		sb.WriteString(TokenText(prompt, i))
	}
	return sb.String()
}

// generate handles a completion request; chat selects the chat format of the answer.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	rid := r.Header.Get(headerRequest)
	e.mu.Lock()
	e.requestCounts[rid]++
	e.activeRequests++
	if len(e.requestCounts) > maxRequestCounts {
		clear(e.requestCounts)
	}
	ctx, limit, version := e.ctx, e.faults.Limit, e.announced.Version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.activeRequests--
		e.mu.Unlock()
	}()
	var q request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil || q.MaxTokens < 1 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	b := call.ModelBody{Messages: q.Messages, Prompt: q.Prompt}
	prompt := b.Text()
	d := e.drawFaults(prompt, q.MaxTokens)
	if !d.begin(w, r) {
		return
	}
	s := e.newSequence(r, &q, prompt)
	if !e.submit(s) {
		http.Error(w, "the engine takes no requests", http.StatusServiceUnavailable)
		return
	}
	if d.crash {
		time.AfterFunc(e.opt.Timing.Step*4, func() { e.Crash(context.Background()) })
	}
	answerID := rid
	if d.wrongID {
		answerID = "crossed-" + rid
	}
	e.stream(ctx, w, s, &q, stream{request: answerID, prompt: prompt, version: version, chat: chat, limit: limit, faultDraw: d})
}

// newSequence returns the sequence of a request, which starts after the tokens that a resumed request already has.
func (e *Engine) newSequence(r *http.Request, q *request, prompt string) *sequence {
	tokens := call.EstimateTokens(prompt)
	done := 0
	if q.Resume != nil {
		done = int(q.Resume.Tokens)
	}
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	return &sequence{
		prompt: prompt, prefillLeft: int(tokens) + done, generated: done, maxTokens: q.MaxTokens, priority: priority,
		kvBlocks: engine.KVBlocks(tokens + id.Tokens(q.MaxTokens)), out: make(chan int, q.MaxTokens+1), callerGone: r.Context().Done(),
	}
}

// stream holds what is needed to write one answer as server-sent events.
type stream struct {
	request, prompt string
	version         string // software version of the engine; empty names none
	chat            bool
	limit           float64 // named in the answer; 0 for none
	faultDraw       faultDraw
}

// stream writes the tokens of s as server-sent events until s ends. It aborts the connection if s is cancelled, the engine
// crashes or the answer is to be truncated.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, s *sequence, q *request, st stream) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(headerRequest, st.request)
	e.mu.Lock()
	reportedLoad, _ := json.Marshal(e.reportedLoad)
	e.mu.Unlock()
	h.Set(headerLoad, string(reportedLoad))
	if st.limit > 0 {
		h.Set(headerLimit, strconv.FormatFloat(st.limit, 'g', -1, 64))
	}
	w.WriteHeader(http.StatusOK)
	f, _ := w.(http.Flusher)
	f.Flush()
	sent := 0
	for {
		select {
		case n, ok := <-s.out:
			if !ok {
				if s.generated < s.maxTokens {
					panic(http.ErrAbortHandler) // the sequence was cancelled
				}
				io.WriteString(w, endEvent(st, q, s))
				st.faultDraw.end(st.request)
				return
			}
			if sent++; st.faultDraw.truncate && sent > st.faultDraw.truncateAt {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, tokenEvent(st, n))
			f.Flush()
			if st.faultDraw.drip {
				dripComments(ctx, w, f, s)
			}
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// tokenEvent returns the event of token n.
func tokenEvent(st stream, n int) string {
	text, _ := json.Marshal(TokenText(st.prompt, n))
	object, choice := "text_completion", fmt.Sprintf(`"text":%s`, text)
	if st.chat {
		object, choice = "chat.completion.chunk", fmt.Sprintf(`"delta":{"content":%s}`, text)
	}
	fingerprint := ""
	if st.version != "" {
		fingerprint = fmt.Sprintf(`"system_fingerprint":%q,`, st.version)
	}
	return fmt.Sprintf("id: %s/%d\ndata: {\"id\":%q,\"object\":%q,%s\"choices\":[{\"index\":0,%s}]}\n\n", st.request, n, st.request, object, fingerprint, choice)
}

// endEvent returns the last event of an answer, with its token counts.
func endEvent(st stream, q *request, s *sequence) string {
	return fmt.Sprintf("event: end\nid: %s/%d\ndata: {\"prompt_tokens\":%d,\"completion_tokens\":%d,\"finish_reason\":\"length\"}\n\n",
		st.request, s.generated, call.EstimateTokens(st.prompt), q.MaxTokens)
}

// serveState answers GET /v1/state with the engine's configuration and the ID of its latest order.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{
		"order": e.order, "role": e.announced.Role, "model": e.announced.Model, "version": e.announced.Version, "state": e.announced.State,
	})
}

// handleOrder accepts an order and applies it in the background. Engines that announce ChecksFence refuse an order with a lower
// fencing token than an earlier one; the others accept any.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		ID    id.Index   `json:"id"`
		Kind  order.Kind `json:"kind"`
		Value string     `json:"value"`
		Fence id.Fence   `json:"fence"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announced.ChecksFence && o.Fence < e.highestFence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.announced.State != engine.Ready {
		e.stats.Conflicts++
		http.Error(w, "another order is being carried out", http.StatusConflict)
		return
	}
	e.highestFence, e.order = max(e.highestFence, o.Fence), o.ID
	e.stats.Changes++
	e.setState(engine.Leaving)
	go e.applyOrder(o.Kind, o.Value)
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder waits until no request is running, loads weights if the order needs them, waits for Timing.ChangeDuration, and then
// applies the order. A drained engine does not become ready again.
func (e *Engine) applyOrder(kind order.Kind, value string) {
	time.Sleep(announceInterval) // until the fleet has received the announcement that the engine is leaving
	e.waitIdle(e.ctx)
	if e.opt.WeightStore != nil && kind != order.SetRole && kind != order.Drain {
		e.opt.WeightStore.Load(e.ctx)
	}
	time.Sleep(e.opt.Timing.ChangeDuration)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case order.SetRole:
		e.announced.Role = engine.Role(value)
	case order.LoadModel:
		e.announced.Model = id.Model(value)
	case order.SetVersion:
		e.announced.Version = value
	}
	if kind != order.Drain {
		e.setState(engine.Ready)
	}
}

// kvTransfer is the body of KV export and import requests: the hashes of cached blocks.
type kvTransfer struct {
	Prompt string   `json:"prompt,omitempty"`
	Blocks []uint64 `json:"blocks"`
	Bytes  int64    `json:"bytes"`
}

// kvBlockBytes is the size of one KV block.
const kvBlockBytes = 2 << 20

// decodeKV decodes the body of r. On failure it writes the error response and returns false.
func decodeKV(w http.ResponseWriter, r *http.Request) (q kvTransfer, ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return q, false
	}
	return q, true
}

// exportKV answers with the blocks of a prompt that are cached.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	q, ok := decodeKV(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out kvTransfer
	for _, h := range blockHashes(q.Prompt) {
		if _, ok := e.cache.elements[h]; ok {
			out.Blocks = append(out.Blocks, h)
		}
	}
	out.Bytes = int64(len(out.Blocks)) * kvBlockBytes
	json.NewEncoder(w).Encode(out)
}

// importKV caches the blocks in the request.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	q, ok := decodeKV(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.importBlocks(q.Blocks)
	w.WriteHeader(http.StatusNoContent)
}

// announceInterval is the time between announcements, and the timeout of one.
const announceInterval = 500 * time.Millisecond

// announceLoop announces an upstream to one of the listeners at urls, at announceInterval and when its state changes. After
// a failure it tries the next listener.
func announceLoop(ctx context.Context, urls []string, key string, stateChanged <-chan struct{}, get func() engine.Announcement) {
	if len(urls) == 0 {
		return
	}
	client := &http.Client{Timeout: announceInterval}
	k := int(hash.String(get().Name) % uint64(len(urls)))
	for ctx.Err() == nil {
		for range urls {
			if announce(ctx, client, urls[k], key, get()) {
				break
			}
			k = (k + 1) % len(urls)
		}
		select {
		case <-ctx.Done():
		case <-stateChanged:
		case <-time.After(announceInterval):
		}
	}
}

// announce sends one announcement and reports whether the listener accepted it.
func announce(ctx context.Context, client *http.Client, url, key string, a engine.Announcement) bool {
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

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
	headerFence       = "Wagtaillift-Fence"
	headerPriority    = "Wagtaillift-Priority"
	maxBody           = 64 << 20
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, strconv.FormatUint(e.announcement().Incarnation, 10))
	})
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/orders", e.take)
	mux.HandleFunc("GET /v1/events", e.publish)
	mux.HandleFunc("POST /v1/kv/export", e.export)
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

// request is the body that an engine takes.
type request struct {
	Messages []call.Message  `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Max      int             `json:"max_tokens"`
	Resume   *call.Resume    `json:"resume"`
}

// Text returns token n of the answer to prompt: what a caller must get.
func Text(prompt string, n int) string {
	return fmt.Sprintf(" %04x.%d", uint16(hash.String(prompt)), n)
}

// Answer returns the whole text of an answer of n tokens.
func Answer(prompt string, n int) string {
	var sb strings.Builder
	for i := 1; i <= n; i++ {
		sb.WriteString(Text(prompt, i))
	}
	return sb.String()
}

// dice draws the faults of one request.
type dice struct {
	cut, late, cross, reset, crash bool
	cutAt                          int
}

func (e *Engine) draw(prompt string, most int) dice {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	return dice{
		cut: e.rnd.Float64() < f.Cut, late: e.rnd.Float64() < f.Late, cross: e.rnd.Float64() < f.Cross,
		reset: e.rnd.Float64() < f.Reset, cutAt: 1 + e.rnd.IntN(max(1, most)),
		crash: f.Crash != "" && strings.Contains(prompt, f.Crash),
	}
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	rid := r.Header.Get(headerRequest)
	e.mu.Lock()
	e.seen[rid]++
	e.active++
	if len(e.seen) > restartLength {
		clear(e.seen)
	}
	ctx := e.ctx
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	var q request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil || q.Max < 1 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	b := call.ModelBody{Messages: q.Messages, Prompt: q.Prompt}
	prompt := b.Text()
	d := e.draw(prompt, q.Max)
	if d.reset {
		panic(http.ErrAbortHandler)
	}
	if d.late {
		time.Sleep(lateBy)
	}
	s := e.sequenceOf(r, &q, prompt)
	if !e.submit(s) {
		http.Error(w, "the engine takes no requests", http.StatusServiceUnavailable)
		return
	}
	if d.crash {
		time.AfterFunc(e.opt.Timing.Step*4, func() { e.Crash(context.Background()) })
	}
	named := rid
	if d.cross {
		named = "crossed-" + rid
	}
	e.stream(ctx, w, s, &q, stream{request: named, prompt: prompt, chat: chat, dice: d})
}

func (e *Engine) sequenceOf(r *http.Request, q *request, prompt string) *sequence {
	tokens := call.EstimateTokens(prompt)
	done := 0
	if q.Resume != nil {
		done = int(q.Resume.Tokens)
	}
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	return &sequence{
		prompt: prompt, prefill: int(tokens) + done, at: done, most: q.Max, priority: priority,
		pieces: engine.Pieces(tokens + id.Tokens(q.Max)), out: make(chan int, q.Max+1), gone: r.Context().Done(),
	}
}

// stream is how one answer is written.
type stream struct {
	request, prompt string
	chat            bool
	dice            dice
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, s *sequence, q *request, st stream) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(headerRequest, st.request)
	e.mu.Lock()
	load, _ := json.Marshal(e.load)
	e.mu.Unlock()
	h.Set(headerLoad, string(load))
	w.WriteHeader(http.StatusOK)
	f, _ := w.(http.Flusher)
	f.Flush()
	sent := 0
	for {
		select {
		case n, ok := <-s.out:
			if !ok {
				if s.at < s.most {
					panic(http.ErrAbortHandler) // cancelled or crashed
				}
				io.WriteString(w, endEvent(st, q, s))
				return
			}
			if sent++; st.dice.cut && sent > st.dice.cutAt {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, tokenEvent(st, n))
			f.Flush()
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func tokenEvent(st stream, n int) string {
	text, _ := json.Marshal(Text(st.prompt, n))
	if st.chat {
		return fmt.Sprintf("id: %s/%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n",
			st.request, n, st.request, text)
	}
	return fmt.Sprintf("id: %s/%d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%s}]}\n\n",
		st.request, n, st.request, text)
}

func endEvent(st stream, q *request, s *sequence) string {
	return fmt.Sprintf("event: end\nid: %s/%d\ndata: {\"prompt_tokens\":%d,\"completion_tokens\":%d,\"finish_reason\":\"length\"}\n\n",
		st.request, s.at, call.EstimateTokens(st.prompt), q.Max)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{
		"order": e.order, "role": e.ann.Role, "model": e.ann.Model, "version": e.ann.Version, "state": e.ann.State,
	})
}

// take carries an order out. Engines that check refuse an old fencing number; the others take whatever comes.
func (e *Engine) take(w http.ResponseWriter, r *http.Request) {
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
	if e.ann.Fenced && o.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.ann.State != engine.Ready {
		e.stats.Conflicts++
		http.Error(w, "another order is being carried out", http.StatusConflict)
		return
	}
	e.fence, e.order = max(e.fence, o.Fence), o.ID
	e.stats.Changes++
	e.setState(engine.Leaving)
	go e.change(o.Kind, o.Value)
	w.WriteHeader(http.StatusAccepted)
}

// change waits for running requests, is away for seconds and comes back changed.
func (e *Engine) change(kind order.Kind, value string) {
	time.Sleep(announceEvery) // the fleet hears that it leaves
	e.idle(e.ctx)
	if e.opt.Weights != nil && kind != order.SetRole && kind != order.Drain {
		e.opt.Weights.Load(e.ctx)
	}
	time.Sleep(e.opt.Timing.Change)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case order.SetRole:
		e.ann.Role = engine.Role(value)
	case order.LoadModel:
		e.ann.Model = id.Model(value)
	case order.SetVersion:
		e.ann.Version = value
	}
	if kind != order.Drain {
		e.setState(engine.Ready)
	}
}

// kv is an exported KV cache: the hashes of its blocks.
type kv struct {
	Prompt string   `json:"prompt,omitempty"`
	Blocks []uint64 `json:"blocks"`
	Bytes  int64    `json:"bytes"`
}

// pieceBytes is the size of one KV piece.
const pieceBytes = 2 << 20

// readKV reads the KV cache that r names; where it cannot, the answer is written.
func readKV(w http.ResponseWriter, r *http.Request) (q kv, ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return q, false
	}
	return q, true
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	q, ok := readKV(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out kv
	for _, h := range blocks(q.Prompt) {
		if _, ok := e.cache.at[h]; ok {
			out.Blocks = append(out.Blocks, h)
		}
	}
	out.Bytes = int64(len(out.Blocks)) * pieceBytes
	json.NewEncoder(w).Encode(out)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	q, ok := readKV(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.load(q.Blocks)
	w.WriteHeader(http.StatusNoContent)
}

const announceEvery = 500 * time.Millisecond

// announceLoop announces an upstream to one of the listeners, the next one where it fails.
func announceLoop(ctx context.Context, to []string, key string, wake <-chan struct{}, get func() engine.Announcement) {
	if len(to) == 0 {
		return
	}
	client := &http.Client{Timeout: announceEvery}
	k := int(hash.String(get().Name) % uint64(len(to)))
	for ctx.Err() == nil {
		for range to {
			if announce(ctx, client, to[k], key, get()) {
				break
			}
			k = (k + 1) % len(to)
		}
		select {
		case <-ctx.Done():
		case <-wake: // the state has changed
		case <-time.After(announceEvery):
		}
	}
}

func announce(ctx context.Context, client *http.Client, to, key string, a engine.Announcement) bool {
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, to+"/v1/announce", bytes.NewReader(data))
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

// Package caller is the HTTP face towards callers: OpenAI-style model calls and plain services.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/dispatch"
	"wagtaillift/internal/services/pipeline"
)

const (
	headerRequest = "Wagtaillift-Request"
	headerRun     = "Wagtaillift-Run"
	chunkCopy     = 32 << 10
)

// Meter counts usage.
type Meter interface {
	Add(c id.Customer, s id.Service, n usage.Count)
	Secure(ctx context.Context)
}

// Returner takes back reserved tokens that were not used.
type Returner interface {
	Return(now time.Duration, c *call.Call)
}

// Recorder keeps what happened to a request, for explaining it and for service levels.
type Recorder interface {
	Record(c *call.Call, first, end time.Time, err error)
}

// Handler answers callers.
type Handler struct {
	Config     func() *state.Config
	Filters    []pipeline.Filter
	Dispatcher *dispatch.Dispatcher
	Claims     *pipeline.Claims
	Meter      Meter
	Limiter    Returner
	Recorder   Recorder
	Stopping   *atomic.Bool // refuses new requests
	Unhealthy  *atomic.Bool // fails the health check
	Running    atomic.Int64

	mux http.ServeMux
}

// Register sets up the routes.
func (h *Handler) Register() {
	h.mux.HandleFunc("POST /v1/chat/completions", h.serve(call.Chat))
	h.mux.HandleFunc("POST /v1/completions", h.serve(call.Completion))
	h.mux.HandleFunc("GET /v1/models", h.serve(call.Models))
	h.mux.HandleFunc("/s/{service}/{path...}", h.serve(call.Plain))
	h.mux.HandleFunc("GET /health", h.health)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, "", call.Refuse(http.StatusNotFound, call.NoService, "classify", "no such path %q", r.URL.Path))
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if h.Unhealthy.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// serve returns the handler of one kind of call.
func (h *Handler) serve(kind call.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.Running.Add(1)
		defer h.Running.Add(-1)
		c := &call.Call{
			ID: id.Request(rand.Text()), Kind: kind, W: w, R: r, Start: time.Now(), Booted: clock.Boot(), Config: h.Config(),
		}
		if kind == call.Plain {
			c.Service.ID = id.Service(r.PathValue("service"))
			c.Path = "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+r.PathValue("service")+"/")
		}
		w.Header().Set(headerRequest, string(c.ID))
		out := &answer{h: h, c: c}
		err := h.handle(c, out)
		out.settle()
		h.Recorder.Record(c, out.first, time.Now(), err)
		if err != nil {
			klog.InfoS("Request failed", "request", c.ID, "customer", c.Customer, "service", c.Service.ID, "err", err)
			out.fail(asRefusal(err))
		}
	}
}

func (h *Handler) handle(c *call.Call, out *answer) error {
	if h.Stopping.Load() {
		return call.Refuse(http.StatusServiceUnavailable, call.Stopping, "accept", "this VM is stopping").After(time.Second)
	}
	if c.Kind == call.Models {
		return h.models(c)
	}
	if err := pipeline.Run(c.R.Context(), c, h.Filters...); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.R.Context(), c.Deadline)
	defer cancel()
	if c.Kind == call.Plain {
		return h.plain(ctx, c)
	}
	return h.Dispatcher.Model(ctx, c, out)
}

// models lists the model services that the caller may use.
func (h *Handler) models(c *call.Call) error {
	if err := pipeline.Run(c.R.Context(), c, h.Filters[0]); err != nil {
		return err
	}
	type model struct {
		ID     id.Service `json:"id"`
		Object string     `json:"object"`
		Owner  string     `json:"owned_by"`
	}
	list := []model{}
	for _, s := range c.Config.Services {
		visible := s.Open || c.Customer != "" && s.Allows(c.Customer)
		if s.Kind == service.Model && visible {
			list = append(list, model{ID: s.ID, Object: "model", Owner: "wagtaillift"})
		}
	}
	c.W.Header().Set("Content-Type", "application/json")
	return errors.Annotate(json.NewEncoder(c.W).Encode(map[string]any{"object": "list", "data": list}), "write models")
}

// plain runs a call of an application.
func (h *Handler) plain(ctx context.Context, c *call.Call) error {
	a, err := h.Claims.Run(ctx, c, func() (*dispatch.Answer, error) { return h.Dispatcher.Plain(ctx, c) })
	if err != nil {
		return err
	}
	if a.Rest != nil {
		defer a.Rest.Close()
	}
	c.Used = call.Used{Prompt: pipeline.PlainTokens, Done: true}
	h.Meter.Add(c.Customer, c.Service.ID, usage.Count{Requests: 1})
	h.Meter.Secure(ctx)
	for k, v := range a.Header {
		c.W.Header()[k] = v
	}
	c.W.Header().Set(headerRun, string(call.Yes))
	if a.Rest == nil {
		c.W.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		if c.R.Method == http.MethodHead && a.Length >= 0 {
			c.W.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
		}
	} else if a.Length >= 0 {
		c.W.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.W.WriteHeader(a.Status)
	if _, err := c.W.Write(a.Body); err != nil || a.Rest == nil {
		return nil
	}
	if _, err := io.CopyBuffer(c.W, a.Rest, make([]byte, chunkCopy)); err != nil {
		klog.InfoS("Answer cut", "request", c.ID, "service", c.Service.ID, "err", err)
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	}
	return nil
}

func asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &call.Refusal{Status: http.StatusInternalServerError, Code: call.Failed, Run: call.Unknown, Step: "handle", Reason: err.Error()}
}

// problem is the JSON form of a refusal.
type problem struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Code    call.Code `json:"code"`
	Message string    `json:"message"`
	Run     call.Run  `json:"run"`
	Step    string    `json:"step"`
	Request string    `json:"request,omitempty"`
}

func problemOf(n id.Request, r *call.Refusal) []byte {
	data, _ := json.Marshal(problem{problemBody{Code: r.Code, Message: r.Reason, Run: r.Run, Step: r.Step, Request: string(n)}})
	return data
}

// writeRefusal writes r as a whole answer.
func writeRefusal(w http.ResponseWriter, n id.Request, r *call.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRun, string(r.Run))
	if r.Retry > 0 {
		seconds := int64((r.Retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(r.Retry.Milliseconds(), 10))
	}
	w.WriteHeader(r.Status)
	w.Write(append(problemOf(n, r), '\n'))
}

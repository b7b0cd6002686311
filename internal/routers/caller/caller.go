// Package caller implements the HTTP API for callers: OpenAI-style model calls and calls to plain services.
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
	headerRequest  = "Wagtaillift-Request"
	headerRun      = "Wagtaillift-Run"
	copyBufferSize = 32 << 10
)

// Meter records usage.
type Meter interface {
	Add(c id.Customer, s id.Service, n usage.Count)
	WaitReplicated(ctx context.Context)
}

// ReservationReturner returns the unused tokens of a call's reservation to its customer's rate limit.
type ReservationReturner interface {
	ReturnUnused(now time.Duration, c *call.Call)
}

// Recorder records the outcome of a request, for the explain API and service-level measurements.
type Recorder interface {
	Record(c *call.Call, firstTokenAt, end time.Time, err error)
}

// Handler serves callers.
type Handler struct {
	Config          func() *state.Config
	Filters         []pipeline.Filter
	Dispatcher      *dispatch.Dispatcher
	Claims          *pipeline.Claims
	Meter           Meter
	Limiter         ReservationReturner
	Recorder        Recorder
	Stopping        *atomic.Bool // set while new requests are refused
	Unhealthy       *atomic.Bool // set while the health check fails
	RunningRequests atomic.Int64 // requests in progress

	mux http.ServeMux
}

// Register adds the routes. It must be called before the first request.
func (h *Handler) Register() {
	h.mux.HandleFunc("POST /v1/chat/completions", h.handlerFor(call.Chat))
	h.mux.HandleFunc("POST /v1/completions", h.handlerFor(call.Completion))
	h.mux.HandleFunc("GET /v1/models", h.handlerFor(call.Models))
	h.mux.HandleFunc("/s/{service}/{path...}", h.handlerFor(call.Plain))
	h.mux.HandleFunc("GET /health", h.health)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, "", call.Refuse(http.StatusNotFound, call.NoService, "classify", "no such path %q", r.URL.Path))
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// health answers health checks.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if h.Unhealthy.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// handlerFor returns the HTTP handler for one kind of call.
func (h *Handler) handlerFor(kind call.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.RunningRequests.Add(1)
		defer h.RunningRequests.Add(-1)
		c := &call.Call{
			ID: id.Request(rand.Text()), Kind: kind, W: w, R: r, Start: time.Now(), StartSinceBoot: clock.SinceBoot(), Config: h.Config(),
		}
		defer c.Room.Release()
		defer c.Answer.Release()
		if kind == call.Plain {
			c.Service.ID = id.Service(r.PathValue("service"))
			c.Path = "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+r.PathValue("service")+"/")
		}
		w.Header().Set(headerRequest, string(c.ID))
		if r.ContentLength != 0 {
			rc := http.NewResponseController(w)
			defer context.AfterFunc(r.Context(), func() { rc.SetReadDeadline(time.Now()) })() // at the end of a shutdown
		}
		resp := &modelResponse{h: h, c: c}
		err := h.handle(c, resp)
		resp.settleUsage()
		h.Recorder.Record(c, resp.firstTokenAt, time.Now(), err)
		if err != nil {
			klog.InfoS("Request failed", "request", c.ID, "customer", c.Customer, "service", c.Service.ID, "err", err)
			resp.writeError(asRefusal(err))
		}
	}
}

// handle runs the filters for c and then sends it to an upstream. It answers a list of models itself.
func (h *Handler) handle(c *call.Call, resp *modelResponse) error {
	if h.Stopping.Load() {
		return call.Refuse(http.StatusServiceUnavailable, call.Stopping, "accept", "this VM is stopping").WithRetryAfter(time.Second)
	}
	if c.Kind == call.Models {
		return h.listModels(c)
	}
	if err := pipeline.RunFilters(c.R.Context(), c, h.Filters...); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.R.Context(), c.Deadline)
	defer cancel()
	if c.Kind == call.Plain {
		return h.callPlainService(ctx, c)
	}
	return h.Dispatcher.RunModel(ctx, c, resp)
}

// listModels lists the model services that the caller may use.
func (h *Handler) listModels(c *call.Call) error {
	if err := pipeline.RunFilters(c.R.Context(), c, h.Filters[0]); err != nil {
		return err
	}
	type model struct {
		ID     id.Service `json:"id"`
		Object string     `json:"object"`
		Owner  string     `json:"owned_by"`
	}
	models := []model{}
	for _, s := range c.Config.Services {
		visible := s.AllowAnonymous || c.Customer != "" && s.Allows(c.Customer)
		if s.Kind == service.Model && visible {
			models = append(models, model{ID: s.ID, Object: "model", Owner: "wagtaillift"})
		}
	}
	c.W.Header().Set("Content-Type", "application/json")
	return errors.Annotate(json.NewEncoder(c.W).Encode(map[string]any{"object": "list", "data": models}), "write models")
}

// callPlainService forwards a call to an application and writes the response.
func (h *Handler) callPlainService(ctx context.Context, c *call.Call) error {
	answer, err := h.Claims.Run(ctx, c, func() (*dispatch.Answer, error) { return h.Dispatcher.RunPlain(ctx, c) })
	if err != nil {
		return err
	}
	if answer.Rest != nil {
		defer answer.Rest.Close()
	}
	c.Used = call.Used{PromptTokens: pipeline.PlainTokens, Done: true}
	h.Meter.Add(c.Customer, c.Service.ID, usage.Count{Requests: 1})
	h.Meter.WaitReplicated(ctx)
	for k, v := range answer.Header {
		c.W.Header()[k] = v
	}
	c.W.Header().Set(headerRun, string(call.RunYes))
	if answer.Rest == nil {
		c.W.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
		if c.R.Method == http.MethodHead && answer.Length >= 0 {
			c.W.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
		}
	} else if answer.Length >= 0 {
		c.W.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.W.WriteHeader(answer.Status)
	if _, err := c.W.Write(answer.Body); err != nil || answer.Rest == nil {
		return nil
	}
	answer.Body = nil
	c.Answer.Give(c.Answer.Held())
	if _, err := io.CopyBuffer(c.W, answer.Rest, make([]byte, copyBufferSize)); err != nil {
		klog.InfoS("Response truncated", "request", c.ID, "service", c.Service.ID, "err", err)
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the truncated response
	}
	return nil
}

// asRefusal converts err to a refusal. An error of another type becomes an internal error with an unknown outcome.
func asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &call.Refusal{Status: http.StatusInternalServerError, Code: call.UpstreamFailed, Run: call.RunUnknown, Step: "handle", Reason: err.Error()}
}

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    call.Code `json:"code"`
	Message string    `json:"message"`
	Run     call.Run  `json:"run"`
	Step    string    `json:"step"`
	Request string    `json:"request,omitempty"`
}

func errorJSON(request id.Request, r *call.Refusal) []byte {
	data, _ := json.Marshal(errorResponse{errorDetail{Code: r.Code, Message: r.Reason, Run: r.Run, Step: r.Step, Request: string(request)}})
	return data
}

// writeRefusal writes r as a complete response.
func writeRefusal(w http.ResponseWriter, request id.Request, r *call.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRun, string(r.Run))
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(r.Status)
	w.Write(append(errorJSON(request, r), '\n'))
}

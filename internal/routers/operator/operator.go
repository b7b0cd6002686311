// Package operator implements the administration API for operators, under /api/v1/.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/services/authority"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/roster"
)

const (
	maxBodySize     = 1 << 20
	applyWait       = 3 * time.Second // how long a change waits until all VMs have applied it, before it answers 202
	readBarrierWait = 2 * time.Second // how long a read waits for the state to be up to date with a quorum
)

// Handler serves operators.
type Handler struct {
	Agent   *authority.Agent
	Roster  *roster.Roster
	Explain func(request id.Request) (any, bool) // returns the log entry of a recent request, if there is one
	Burn    func(now time.Time) any              // returns the error-budget burn rates

	mux http.ServeMux
}

// Register adds the routes. It must be called before the first request.
func (h *Handler) Register() {
	h.mux.HandleFunc("GET /api/v1/state", h.readHandler(h.state))
	h.mux.HandleFunc("GET /api/v1/config", h.readHandler(h.config))
	h.mux.HandleFunc("GET /api/v1/effective", h.readHandler(h.effective))
	h.mux.HandleFunc("GET /api/v1/history", h.readHandler(h.history))
	h.mux.HandleFunc("GET /api/v1/force", h.readHandler(h.revisionStatus))
	h.mux.HandleFunc("GET /api/v1/upstreams", h.readHandler(h.upstreams))
	h.mux.HandleFunc("GET /api/v1/orders", h.readHandler(h.orders))
	h.mux.HandleFunc("GET /api/v1/usage", h.readHandler(h.usage))
	h.mux.HandleFunc("GET /api/v1/explain/{request}", h.readHandler(h.explain))
	h.mux.HandleFunc("GET /api/v1/burn", h.readHandler(h.burn))
	h.mux.HandleFunc("PUT /api/v1/customers/{id}", h.changeHandler(putCustomer))
	h.mux.HandleFunc("PUT /api/v1/services/{id}", h.changeHandler(putService))
	h.mux.HandleFunc("DELETE /api/v1/services/{id}", h.changeHandler(retireService))
	h.mux.HandleFunc("PUT /api/v1/keys/{id}", h.changeHandler(putKey))
	h.mux.HandleFunc("DELETE /api/v1/keys/{id}", h.changeHandler(withdrawKey))
	h.mux.HandleFunc("PATCH /api/v1/defaults", h.changeHandler(setDefaults))
	h.mux.HandleFunc("PUT /api/v1/exceptions/{id}", h.changeHandler(putException))
	h.mux.HandleFunc("DELETE /api/v1/exceptions/{id}", h.changeHandler(deleteException))
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, "no such path "+r.Method+" "+r.URL.Path, 0)
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error    string      `json:"error"`
	Revision id.Revision `json:"revision,omitempty"` // the current revision, if the base is missing or after a conflict
}

// writeError writes an error response; a revision of zero is omitted.
func writeError(w http.ResponseWriter, status int, message string, rev id.Revision) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(ErrorResponse{Error: message, Revision: rev})
}

// writeJSON writes v as an indented JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}

// authenticate returns the key of an operator's request. VMs without a valid VM lease still serve operators, because every
// change needs a quorum anyway.
func (h *Handler) authenticate(r *http.Request) (key.Key, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return key.Key{}, false
	}
	operatorKey, ok := pipeline.VerifyKey(h.Agent.Config(), h.Agent, secret, time.Now())
	return operatorKey, ok && (operatorKey.Role == key.Viewer || operatorKey.Role == key.Editor || operatorKey.Role == key.Admin)
}

// readHandler returns the HTTP handler for a read. The state is brought up to date with a quorum first, unless the query has
// stale=1.
func (h *Handler) readHandler(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.authenticate(r); !ok {
			writeError(w, http.StatusUnauthorized, "an operator's key is needed", 0)
			return
		}
		if r.URL.Query().Get("stale") == "" {
			ctx, cancel := context.WithTimeout(r.Context(), readBarrierWait)
			defer cancel()
			if err := h.Agent.ReadBarrier(ctx); err != nil {
				writeError(w, http.StatusServiceUnavailable, "no quorum-fresh state ("+err.Error()+"); ask with stale=1 for this VM's own", 0)
				return
			}
		}
		v, err := f(r)
		switch {
		case errors.Is(err, errors.NotFound):
			writeError(w, http.StatusNotFound, err.Error(), 0)
			return
		case err != nil:
			writeError(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		w.Header().Set("ETag", revisionETag(h.Agent.Config().Revision))
		writeJSON(w, http.StatusOK, v)
	}
}

// revisionETag returns the ETag of a revision: its number in quotes.
func revisionETag(r id.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(r), 10)) }

// Status is the state of a VM and of the fleet as this VM knows it.
type Status struct {
	VM       id.VM                  `json:"vm"`
	Zone     id.Zone                `json:"zone"`
	Revision id.Revision            `json:"revision"`
	Index    id.Index               `json:"index"`
	Lease    string                 `json:"lease"` // time left of the VM lease
	Leading  bool                   `json:"leading"`
	Leader   string                 `json:"leader,omitempty"`
	Voters   []string               `json:"voters,omitempty"`
	Learners []string               `json:"learners,omitempty"`
	Members  map[id.VM]state.Member `json:"members"`
	Leases   any                    `json:"leases"`
}

func (h *Handler) state(*http.Request) (any, error) {
	a := h.Agent
	now := clock.SinceBoot()
	status := Status{
		VM: a.VM(), Zone: a.Zone(), Revision: a.Config().Revision, Index: a.State().Index(),
		Lease: max(0, a.LeaseEnd()-now).Round(time.Millisecond).String(), Leading: a.Leading(now),
		Members: a.State().Members(), Leases: a.State().Leases(),
	}
	if replicaStatus, ok := a.Status(); ok {
		status.Leader = string(replicaStatus.Leader)
		for _, n := range replicaStatus.Members.Voters {
			status.Voters = append(status.Voters, string(n))
		}
		for _, n := range replicaStatus.Members.Learners {
			status.Learners = append(status.Learners, string(n))
		}
	}
	return status, nil
}

func (h *Handler) config(*http.Request) (any, error) {
	c := *h.Agent.Config()
	c.History = nil
	return c, nil
}

// EffectivePolicy lists the policy values that apply to a customer and service, and where each comes from.
type EffectivePolicy struct {
	Revision id.Revision      `json:"revision"`
	Customer id.Customer      `json:"customer,omitempty"`
	Service  id.Service       `json:"service,omitempty"`
	Values   []EffectiveValue `json:"values"`
	Applied  map[id.VM]any    `json:"applied,omitempty"`
}

// EffectiveValue is a policy value that applies now, and the change that set it.
type EffectiveValue struct {
	policy.Value
	LastChange *state.HistoryEntry `json:"since,omitempty"`
}

func (h *Handler) effective(r *http.Request) (any, error) {
	cfg := h.Agent.Config()
	cust, svc := id.Customer(r.URL.Query().Get("customer")), id.Service(r.URL.Query().Get("service"))
	if _, ok := cfg.Customers[cust]; cust != "" && !ok {
		return nil, errors.NotFoundf("customer %q", cust)
	}
	if _, ok := cfg.Services[svc]; svc != "" && !ok {
		return nil, errors.NotFoundf("service %q", svc)
	}
	policies := EffectivePolicy{Revision: cfg.Revision, Customer: cust, Service: svc}
	for _, spec := range policy.Specs() {
		value := EffectiveValue{Value: cfg.Resolve(spec.Name, cust, svc)}
		origin := "defaults"
		if value.Exception != "" {
			origin = "exception " + value.Exception
		}
		if entry, ok := cfg.LastChange(origin); ok && value.Origin != "initial" {
			value.LastChange = &entry
		}
		policies.Values = append(policies.Values, value)
	}
	return policies, nil
}

func (h *Handler) history(r *http.Request) (any, error) {
	list := h.Agent.Config().History
	if v := r.URL.Query().Get("last"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return nil, errors.NotValidf("last=%q (a positive number)", v)
		}
		list = list[max(0, len(list)-n):]
	}
	return list, nil
}

func (h *Handler) revisionStatus(r *http.Request) (any, error) {
	rev := h.Agent.Config().Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return nil, errors.NotValidf("revision=%q (a number)", v)
		}
		rev = id.Revision(n)
	}
	return h.Agent.AwaitApplied(r.Context(), rev, 0)
}

// UpstreamStatus is the last announcement of an upstream and its load and circuit state on this VM.
type UpstreamStatus struct {
	Announcement any   `json:"announcement"`
	Requests     int64 `json:"requests"`
	KVBlocks     int64 `json:"pieces"`
	CircuitOpen  bool  `json:"open"`
}

func (h *Handler) upstreams(*http.Request) (any, error) {
	list := []UpstreamStatus{}
	now := clock.SinceBoot()
	for _, u := range h.Roster.Snapshot().All {
		list = append(list, UpstreamStatus{
			Announcement: u.Announcement, Requests: u.Stats.Requests.Load(), KVBlocks: u.Stats.Load(now), CircuitOpen: u.Stats.CircuitOpen(now),
		})
	}
	return list, nil
}

func (h *Handler) orders(*http.Request) (any, error) { return h.Agent.State().Orders(), nil }

func (h *Handler) usage(r *http.Request) (any, error) { return h.Agent.UsageReports(r.Context()) }

func (h *Handler) burn(*http.Request) (any, error) { return h.Burn(time.Now()), nil }

func (h *Handler) explain(r *http.Request) (any, error) {
	request := id.Request(r.PathValue("request"))
	v, ok := h.Explain(request)
	if !ok {
		return nil, errors.NotFoundf("request %q among this VM's latest", request)
	}
	return v, nil
}

// outcomeUnknown reports whether err leaves open whether a change was committed.
func outcomeUnknown(err error) bool { return errors.Is(err, replica.ErrOutcomeUnknown) }

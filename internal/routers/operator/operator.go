// Package operator is the HTTP face towards operators: the administration API below /api/v1/.
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
	maxBody   = 1 << 20
	forceWait = 3 * time.Second // how long a change waits for all VMs before it answers 202
	freshWait = 2 * time.Second
)

// Handler answers operators.
type Handler struct {
	Authority *authority.Authority
	Roster    *roster.Roster
	Explain   func(n id.Request) (any, bool)
	Burn      func(now time.Time) any

	mux http.ServeMux
}

// Register sets up the routes.
func (h *Handler) Register() {
	h.mux.HandleFunc("GET /api/v1/state", h.read(h.state))
	h.mux.HandleFunc("GET /api/v1/config", h.read(h.config))
	h.mux.HandleFunc("GET /api/v1/effective", h.read(h.effective))
	h.mux.HandleFunc("GET /api/v1/history", h.read(h.history))
	h.mux.HandleFunc("GET /api/v1/force", h.read(h.force))
	h.mux.HandleFunc("GET /api/v1/upstreams", h.read(h.upstreams))
	h.mux.HandleFunc("GET /api/v1/orders", h.read(h.orders))
	h.mux.HandleFunc("GET /api/v1/usage", h.read(h.usage))
	h.mux.HandleFunc("GET /api/v1/explain/{request}", h.read(h.explain))
	h.mux.HandleFunc("GET /api/v1/burn", h.read(h.burn))
	h.mux.HandleFunc("PUT /api/v1/customers/{id}", h.change(putCustomer))
	h.mux.HandleFunc("PUT /api/v1/services/{id}", h.change(putService))
	h.mux.HandleFunc("DELETE /api/v1/services/{id}", h.change(retireService))
	h.mux.HandleFunc("PUT /api/v1/keys/{id}", h.change(putKey))
	h.mux.HandleFunc("DELETE /api/v1/keys/{id}", h.change(withdrawKey))
	h.mux.HandleFunc("PATCH /api/v1/defaults", h.change(setDefaults))
	h.mux.HandleFunc("PUT /api/v1/exceptions/{id}", h.change(putException))
	h.mux.HandleFunc("DELETE /api/v1/exceptions/{id}", h.change(dropException))
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, "no such path "+r.Method+" "+r.URL.Path, 0)
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Problem is the JSON form of an error.
type Problem struct {
	Error    string      `json:"error"`
	Revision id.Revision `json:"revision,omitempty"` // current, after a conflict
}

func fail(w http.ResponseWriter, status int, message string, rev id.Revision) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(Problem{Error: message, Revision: rev})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}

// authenticate returns the operator's key. VMs without their lease still answer operators: what they change needs a
// quorum anyway.
func (h *Handler) authenticate(r *http.Request) (key.Key, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return key.Key{}, false
	}
	k, ok := pipeline.Verify(h.Authority.Config(), h.Authority, secret, time.Now())
	return k, ok && (k.Role == key.Viewer || k.Role == key.Editor || k.Role == key.Admin)
}

// read wraps a reading handler. It answers from a quorum-fresh state unless the query says stale=1.
func (h *Handler) read(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.authenticate(r); !ok {
			fail(w, http.StatusUnauthorized, "an operator's key is needed", 0)
			return
		}
		if r.URL.Query().Get("stale") == "" {
			ctx, cancel := context.WithTimeout(r.Context(), freshWait)
			defer cancel()
			if err := h.Authority.Fresh(ctx); err != nil {
				fail(w, http.StatusServiceUnavailable, "no quorum-fresh state ("+err.Error()+"); ask with stale=1 for this VM's own", 0)
				return
			}
		}
		v, err := f(r)
		switch {
		case errors.Is(err, errors.NotFound):
			fail(w, http.StatusNotFound, err.Error(), 0)
			return
		case err != nil:
			fail(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		w.Header().Set("ETag", quote(h.Authority.Config().Revision))
		write(w, http.StatusOK, v)
	}
}

func quote(r id.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(r), 10)) }

// Status is a VM's view of the fleet.
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
	a := h.Authority
	now := clock.Boot()
	s := Status{
		VM: a.VM(), Zone: a.Zone(), Revision: a.Config().Revision, Index: a.State().Index(),
		Lease: max(0, a.LeaseEnd()-now).Round(time.Millisecond).String(), Leading: a.Leading(now),
		Members: a.State().Members(), Leases: a.State().Leases(),
	}
	if st, ok := a.Status(); ok {
		s.Leader = string(st.Leader)
		for _, n := range st.Members.Voters {
			s.Voters = append(s.Voters, string(n))
		}
		for _, n := range st.Members.Learners {
			s.Learners = append(s.Learners, string(n))
		}
	}
	return s, nil
}

func (h *Handler) config(*http.Request) (any, error) {
	c := *h.Authority.Config()
	c.History = nil
	return c, nil
}

// Effective is what is in force for a customer and service, and why.
type Effective struct {
	Revision id.Revision   `json:"revision"`
	Customer id.Customer   `json:"customer,omitempty"`
	Service  id.Service    `json:"service,omitempty"`
	Values   []Provenance  `json:"values"`
	Applied  map[id.VM]any `json:"applied,omitempty"`
}

// Provenance is a value in force with the change that brought it.
type Provenance struct {
	policy.Value
	Since *state.Entry `json:"since,omitempty"`
}

func (h *Handler) effective(r *http.Request) (any, error) {
	c := h.Authority.Config()
	cust, svc := id.Customer(r.URL.Query().Get("customer")), id.Service(r.URL.Query().Get("service"))
	if _, ok := c.Customers[cust]; cust != "" && !ok {
		return nil, errors.NotFoundf("customer %q", cust)
	}
	if _, ok := c.Services[svc]; svc != "" && !ok {
		return nil, errors.NotFoundf("service %q", svc)
	}
	e := Effective{Revision: c.Revision, Customer: cust, Service: svc}
	for _, s := range policy.Specs() {
		p := Provenance{Value: c.Resolve(s.Name, cust, svc)}
		what := "defaults"
		if p.Exception != "" {
			what = "exception " + p.Exception
		}
		if entry, ok := c.Since(what); ok && p.Origin != "initial" {
			p.Since = &entry
		}
		e.Values = append(e.Values, p)
	}
	return e, nil
}

func (h *Handler) history(r *http.Request) (any, error) {
	list := h.Authority.Config().History
	if v := r.URL.Query().Get("last"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return nil, errors.NotValidf("last=%q (a positive number)", v)
		}
		list = list[max(0, len(list)-n):]
	}
	return list, nil
}

func (h *Handler) force(r *http.Request) (any, error) {
	rev := h.Authority.Config().Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return nil, errors.NotValidf("revision=%q (a number)", v)
		}
		rev = id.Revision(n)
	}
	return h.Authority.InForce(r.Context(), rev, 0)
}

// UpstreamView is an upstream as this VM sees it.
type UpstreamView struct {
	Announcement any   `json:"announcement"`
	Requests     int64 `json:"requests"`
	Pieces       int64 `json:"pieces"`
	Open         bool  `json:"open"`
}

func (h *Handler) upstreams(*http.Request) (any, error) {
	list := []UpstreamView{}
	now := clock.Boot()
	for _, u := range h.Roster.Snapshot().All {
		list = append(list, UpstreamView{
			Announcement: u.Announcement, Requests: u.Work.Requests.Load(), Pieces: u.Work.Load(now), Open: u.Work.Open(now),
		})
	}
	return list, nil
}

func (h *Handler) orders(*http.Request) (any, error) { return h.Authority.State().Orders(), nil }

func (h *Handler) usage(r *http.Request) (any, error) { return h.Authority.Reports(r.Context()) }

func (h *Handler) burn(*http.Request) (any, error) { return h.Burn(time.Now()), nil }

func (h *Handler) explain(r *http.Request) (any, error) {
	n := id.Request(r.PathValue("request"))
	v, ok := h.Explain(n)
	if !ok {
		return nil, errors.NotFoundf("request %q among this VM's latest", n)
	}
	return v, nil
}

// lost says that the outcome of a change is not known.
func lost(err error) bool { return errors.Is(err, replica.ErrLost) }

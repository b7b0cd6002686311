package operator

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// Changed answers an accepted change.
type Changed struct {
	Revision id.Revision `json:"revision"`
	Request  id.Request  `json:"request"`
	Pending  []id.VM     `json:"pending,omitempty"` // VMs that have not applied it yet
	Missed   []id.VM     `json:"missed,omitempty"`  // VMs that a withdrawal did not reach at once
	Secret   string      `json:"secret,omitempty"`  // a new key's secret, shown once
}

// builder fills ch from the request. It returns a secret to show, where there is one.
type builder func(r *http.Request, ch *state.Change) (secret string, err error)

// change wraps a changing handler: authority of the key, base revision, request id, commit, and the wait for all VMs.
func (h *Handler) change(build builder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k, ok := h.authenticate(r)
		if !ok {
			fail(w, http.StatusUnauthorized, "an operator's key is needed", 0)
			return
		}
		ch := state.Change{Actor: k.ID, At: time.Now().UTC(), Request: id.Request(r.Header.Get("Request-Id"))}
		if ch.Request == "" {
			ch.Request = id.Request(rand.Text())
		}
		if err := base(r, &ch); err != nil {
			fail(w, http.StatusPreconditionRequired, err.Error(), h.Authority.Config().Revision)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		secret, err := build(r, &ch)
		if err != nil {
			fail(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		if !allowed(k.Role, &ch, h.Authority.Config()) {
			fail(w, http.StatusForbidden, "a key of role "+string(k.Role)+" may not make this change", 0)
			return
		}
		h.commit(w, r, ch, secret)
	}
}

// base reads If-Match: a revision in quotes, or * for any.
func base(r *http.Request, ch *state.Change) error {
	v := r.Header.Get("If-Match")
	if v == "*" {
		ch.Any = true
		return nil
	}
	n, err := strconv.ParseUint(strings.Trim(v, `"`), 10, 64)
	if err != nil {
		return errors.NotValidf("If-Match %q (the base revision in quotes, or *)", v)
	}
	ch.Base = id.Revision(n)
	return nil
}

// allowed reports whether role may make the change.
func allowed(role key.Role, ch *state.Change, cfg *state.Config) bool {
	switch {
	case role == key.Admin:
		return true
	case role != key.Editor:
		return false
	case ch.Key != nil:
		return ch.Key.Role == key.Caller
	case ch.Withdraw != "":
		return cfg.Keys[ch.Withdraw].Role == key.Caller
	}
	return true
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request, ch state.Change, secret string) {
	out := Changed{Request: ch.Request, Secret: secret}
	if ch.Withdraw != "" {
		if _, known := h.Authority.Config().Keys[ch.Withdraw]; known {
			out.Missed = h.Authority.Withdraw(r.Context(), ch.Withdraw)
		}
	}
	result, err := h.Authority.Propose(r.Context(), state.Command{Change: &ch})
	switch {
	case lost(err):
		fail(w, http.StatusGatewayTimeout, "the outcome is not known; send the same Request-Id "+string(ch.Request)+" again", 0)
		return
	case err != nil:
		h.failCommit(w, ch, out)
		return
	}
	if status := statusOf(result.Code); status != http.StatusOK {
		fail(w, status, result.Message, result.Revision)
		return
	}
	out.Revision = result.Revision
	status := http.StatusOK
	f, err := h.Authority.InForce(r.Context(), result.Revision, forceWait)
	if out.Pending = f.Pending; len(f.Pending) > 0 || err != nil {
		status = http.StatusAccepted
	}
	w.Header().Set("ETag", quote(result.Revision))
	write(w, status, out)
}

// failCommit answers a change that had no quorum. A withdrawal is in force wherever its message arrived.
func (h *Handler) failCommit(w http.ResponseWriter, ch state.Change, out Changed) {
	message := "no quorum: nothing was changed"
	if ch.Withdraw != "" {
		message = "no quorum: the key is stopped on the VMs that were reached, until they restart; send the withdrawal again"
		if len(out.Missed) > 0 {
			message += "; not reached:"
			for _, vm := range out.Missed {
				message += " " + string(vm)
			}
		}
	}
	fail(w, http.StatusServiceUnavailable, message, 0)
}

func statusOf(c state.Code) int {
	switch c {
	case state.OK:
		return http.StatusOK
	case state.Conflict:
		return http.StatusConflict
	case state.Missing:
		return http.StatusNotFound
	case state.Denied:
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

// decode reads a JSON body without unknown fields.
func decode(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return errors.Annotate(dec.Decode(v), "the body")
}

// sameID sets an empty id from the path and refuses another one.
func sameID[T ~string](field *T, r *http.Request) error {
	n := T(r.PathValue("id"))
	if *field == "" {
		*field = n
	}
	if *field != n {
		return errors.NotValidf("id %q in the body of %q", *field, n)
	}
	return nil
}

func putCustomer(r *http.Request, ch *state.Change) (string, error) {
	var n customer.Customer
	if err := decode(r, &n); err != nil {
		return "", err
	}
	ch.Customer = &n
	return "", sameID(&n.ID, r)
}

func putService(r *http.Request, ch *state.Change) (string, error) {
	var n service.Service
	if err := decode(r, &n); err != nil {
		return "", err
	}
	ch.Service = &n
	return "", sameID(&n.ID, r)
}

func retireService(r *http.Request, ch *state.Change) (string, error) {
	ch.Retire = id.Service(r.PathValue("id"))
	return "", nil
}

// putKey creates a key. Without a hash in the body the secret is made here and shown once.
func putKey(r *http.Request, ch *state.Change) (string, error) {
	var n key.Key
	if err := decode(r, &n); err != nil {
		return "", err
	}
	if err := sameID(&n.ID, r); err != nil {
		return "", err
	}
	ch.Key = &n
	if n.Withdrawn {
		return "", errors.NotValidf("withdrawn: a key is withdrawn by DELETE, so the body")
	}
	if n.Hash != "" {
		return "", n.Check()
	}
	secret, hash, err := key.Generate(n.ID)
	n.Hash = hash
	if err != nil {
		return "", err
	}
	return secret, n.Check()
}

func withdrawKey(r *http.Request, ch *state.Change) (string, error) {
	ch.Withdraw, ch.Any = id.Key(r.PathValue("id")), true // a withdrawal needs no base: it is final
	return "", nil
}

func setDefaults(r *http.Request, ch *state.Change) (string, error) {
	var n policy.Defaults
	if err := decode(r, &n); err != nil {
		return "", err
	}
	if len(n) == 0 {
		return "", errors.NotValidf("empty defaults")
	}
	ch.Defaults = n
	ch.Reason = r.URL.Query().Get("reason")
	return "", nil
}

func putException(r *http.Request, ch *state.Change) (string, error) {
	var n policy.Exception
	if err := decode(r, &n); err != nil {
		return "", err
	}
	ch.Exception, ch.Reason = &n, n.Reason
	return "", sameID(&n.ID, r)
}

func dropException(r *http.Request, ch *state.Change) (string, error) {
	ch.Drop = r.PathValue("id")
	return "", nil
}

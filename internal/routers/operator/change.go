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
	"wagtaillift/internal/modules/jsonfields"
)

// ChangeResponse is the response to an accepted change.
type ChangeResponse struct {
	Revision   id.Revision `json:"revision"`
	Request    id.Request  `json:"request"`
	Pending    []id.VM     `json:"pending,omitempty"` // VMs that have not applied the change yet
	NotReached []id.VM     `json:"missed,omitempty"`  // VMs that did not acknowledge the withdrawal of a key
	Secret     string      `json:"secret,omitempty"`  // secret of a new key; no other response contains it
}

// changeBuilder fills change from the request. It returns the secret of a new key, if one was generated.
type changeBuilder func(r *http.Request, change *state.Change) (secret string, err error)

// changeHandler returns the HTTP handler for a change: it checks the key, reads the base revision and the request id, builds and
// commits the change, and waits until all VMs have applied it.
func (h *Handler) changeHandler(build changeBuilder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operatorKey, ok := h.authenticate(r)
		if !ok {
			writeError(w, http.StatusUnauthorized, "an operator's key is needed", 0)
			return
		}
		change := state.Change{Actor: operatorKey.ID, At: time.Now().UTC(), Request: id.Request(r.Header.Get("Request-Id"))}
		if change.Request == "" {
			change.Request = id.Request(rand.Text())
		}
		if err := readBaseRevision(r, &change); err != nil {
			writeError(w, http.StatusPreconditionRequired, err.Error(), h.Agent.Config().Revision)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
		secret, err := build(r, &change)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error(), 0)
			return
		}
		if !mayChange(operatorKey.Role, &change, h.Agent.Config()) {
			writeError(w, http.StatusForbidden, "a key of role "+string(operatorKey.Role)+" may not make this change", 0)
			return
		}
		h.commit(w, r, change, secret)
	}
}

// readBaseRevision reads the base revision of change from If-Match: a revision in quotes, or * for any.
func readBaseRevision(r *http.Request, change *state.Change) error {
	v := r.Header.Get("If-Match")
	if v == "*" {
		change.AnyBase = true
		return nil
	}
	revision, err := strconv.ParseUint(strings.Trim(v, `"`), 10, 64)
	if err != nil {
		return errors.NotValidf("If-Match %q (the base revision in quotes, or *)", v)
	}
	change.Base = id.Revision(revision)
	return nil
}

// mayChange reports whether a key of role may make the change. An editor may create and withdraw only caller keys; an admin
// may make any change.
func mayChange(role key.Role, change *state.Change, cfg *state.Config) bool {
	switch {
	case role == key.Admin:
		return true
	case role != key.Editor:
		return false
	case change.Key != nil:
		return change.Key.Role == key.Caller
	case change.WithdrawKey != "":
		return cfg.Keys[change.WithdrawKey].Role == key.Caller
	}
	return true
}

// commit proposes the change and writes the response. The withdrawal of a key is sent to all VMs before it is committed.
func (h *Handler) commit(w http.ResponseWriter, r *http.Request, change state.Change, secret string) {
	answer := ChangeResponse{Request: change.Request, Secret: secret}
	if change.WithdrawKey != "" {
		if _, known := h.Agent.Config().Keys[change.WithdrawKey]; known {
			answer.NotReached = h.Agent.WithdrawKey(r.Context(), change.WithdrawKey)
		}
	}
	result, err := h.Agent.Propose(r.Context(), state.Command{Change: &change})
	switch {
	case outcomeUnknown(err):
		writeError(w, http.StatusGatewayTimeout, "the outcome is not known; send the same Request-Id "+string(change.Request)+" again", 0)
		return
	case err != nil:
		h.writeNoQuorum(w, change, answer)
		return
	}
	if status := httpStatus(result.Code); status != http.StatusOK {
		writeError(w, status, result.Message, result.Revision)
		return
	}
	answer.Revision = result.Revision
	status := http.StatusOK
	applied, err := h.Agent.AwaitApplied(r.Context(), result.Revision, applyWait)
	if answer.Pending = applied.Pending; len(applied.Pending) > 0 || err != nil {
		status = http.StatusAccepted
	}
	w.Header().Set("ETag", revisionETag(result.Revision))
	writeJSON(w, status, answer)
}

// writeNoQuorum answers a change that had no quorum. The withdrawal of a key still applies on every VM that received it.
func (h *Handler) writeNoQuorum(w http.ResponseWriter, change state.Change, answer ChangeResponse) {
	message := "no quorum: nothing was changed"
	if change.WithdrawKey != "" {
		message = "no quorum: the key is stopped on the VMs that were reached, until they restart; send the withdrawal again"
		if len(answer.NotReached) > 0 {
			message += "; not reached:"
			for _, vm := range answer.NotReached {
				message += " " + string(vm)
			}
		}
	}
	writeError(w, http.StatusServiceUnavailable, message, 0)
}

// httpStatus returns the HTTP status for the result of a replicated command.
func httpStatus(c state.Code) int {
	switch c {
	case state.OK:
		return http.StatusOK
	case state.Conflict:
		return http.StatusConflict
	case state.NotFound:
		return http.StatusNotFound
	case state.Denied:
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

// decodeBody reads a JSON body into v and refuses unknown fields and text after it.
func decodeBody(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Annotate(err, "the body")
	}
	return errors.Annotate(jsonfields.End(dec), "the body")
}

// matchPathID sets an empty id to the one in the path, and refuses an id that differs from it.
func matchPathID[T ~string](field *T, r *http.Request) error {
	pathID := T(r.PathValue("id"))
	if *field == "" {
		*field = pathID
	}
	if *field != pathID {
		return errors.NotValidf("id %q in the body of %q", *field, pathID)
	}
	return nil
}

func putCustomer(r *http.Request, change *state.Change) (string, error) {
	var cust customer.Customer
	if err := decodeBody(r, &cust); err != nil {
		return "", err
	}
	change.Customer = &cust
	return "", matchPathID(&cust.ID, r)
}

func putService(r *http.Request, change *state.Change) (string, error) {
	var svc service.Service
	if err := decodeBody(r, &svc); err != nil {
		return "", err
	}
	change.Service = &svc
	return "", matchPathID(&svc.ID, r)
}

func retireService(r *http.Request, change *state.Change) (string, error) {
	change.RetireService = id.Service(r.PathValue("id"))
	return "", nil
}

// putKey creates a key. Without a hash in the body it generates a secret, which only the response to this request contains.
func putKey(r *http.Request, change *state.Change) (string, error) {
	var newKey key.Key
	if err := decodeBody(r, &newKey); err != nil {
		return "", err
	}
	if err := matchPathID(&newKey.ID, r); err != nil {
		return "", err
	}
	change.Key = &newKey
	if newKey.Withdrawn {
		return "", errors.NotValidf("withdrawn: a key is withdrawn by DELETE, so the body")
	}
	if newKey.Hash != "" {
		return "", newKey.Check()
	}
	secret, hash, err := key.Generate(newKey.ID)
	newKey.Hash = hash
	if err != nil {
		return "", err
	}
	return secret, newKey.Check()
}

func withdrawKey(r *http.Request, change *state.Change) (string, error) {
	change.WithdrawKey, change.AnyBase = id.Key(r.PathValue("id")), true // no base revision is needed, because a withdrawal is final
	return "", nil
}

func setDefaults(r *http.Request, change *state.Change) (string, error) {
	var defaults policy.Defaults
	if err := decodeBody(r, &defaults); err != nil {
		return "", err
	}
	if len(defaults) == 0 {
		return "", errors.NotValidf("empty defaults")
	}
	change.Defaults = defaults
	change.Reason = r.URL.Query().Get("reason")
	return "", nil
}

func putException(r *http.Request, change *state.Change) (string, error) {
	var exception policy.Exception
	if err := decodeBody(r, &exception); err != nil {
		return "", err
	}
	change.Exception, change.Reason = &exception, exception.Reason
	return "", matchPathID(&exception.ID, r)
}

func deleteException(r *http.Request, change *state.Change) (string, error) {
	change.DropException = r.PathValue("id")
	return "", nil
}

// Package call describes one request of a caller on its way through the filters, and the ways it can be refused.
package call

import (
	"fmt"
	"net/http"
	"time"

	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// Run says whether a refused request ran at an upstream.
type Run string

// The values of Run.
const (
	No      Run = "no"
	Unknown Run = "unknown"
	Yes     Run = "yes"
)

// RunIf returns what is known of a request of which some byte was sent, or none.
func RunIf(sent bool) Run {
	if sent {
		return Unknown
	}
	return No
}

// Code names a refusal; callers may branch on it.
type Code string

// The codes of refusals.
const (
	BadRequest   Code = "bad_request"
	TooLarge     Code = "too_large"
	NoKey        Code = "no_key"
	BadKey       Code = "bad_key"
	Forbidden    Code = "forbidden"
	NoService    Code = "no_service"
	OverRate     Code = "over_rate"
	OverBurst    Code = "over_burst"
	NoLease      Code = "no_lease"
	NoQuorum     Code = "no_quorum"
	NoUpstream   Code = "no_upstream"
	Busy         Code = "busy"
	Stopping     Code = "stopping"
	Deadline     Code = "deadline"
	Quarantined  Code = "quarantined"
	Failed       Code = "upstream_failed"
	InProgress   Code = "in_progress"
	KeyReused    Code = "idempotency_key_reused"
	UnknownState Code = "outcome_unknown"
	Truncated    Code = "truncated"
	Slow         Code = "slow"
)

// Refusal is the error that a caller sees. Only the dispatcher may say Run is No after the request left the filters.
type Refusal struct {
	Status int
	Code   Code
	Run    Run
	Retry  time.Duration // when to come back; zero names no time
	Step   string
	Peer   string
	Reason string
	Err    error
}

// Error returns the step, the peer and the reason.
func (r *Refusal) Error() string {
	s := r.Step
	if r.Peer != "" {
		s += " at " + r.Peer
	}
	s += ": " + r.Reason
	if r.Err != nil {
		s += ": " + r.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Refuse returns a refusal of a request that did not run.
func Refuse(status int, code Code, step, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Run: No, Step: step, Reason: fmt.Sprintf(format, args...)}
}

// After returns r with the time to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.Retry = d
	return r
}

// Kind distinguishes the faces of the caller API.
type Kind int

// The kinds of call.
const (
	Plain Kind = iota
	Chat
	Completion
	Models
)

// Call is one request on its way through the filters. Each filter fills in its part.
type Call struct {
	ID      id.Request
	Kind    Kind
	W       http.ResponseWriter
	R       *http.Request
	Start   time.Time
	Booted  time.Duration // clock.Boot at Start
	Config  *state.Config
	Service service.Service
	Path    string // below the service, for plain calls

	Key      id.Key
	Customer id.Customer

	Body       []byte // whole body; nil where it is streamed
	Model      ModelBody
	Stream     bool
	Prompt     id.Tokens // estimate
	Output     id.Tokens // most that may be generated
	Prefix     []uint64  // hashes of the prompt's leading blocks
	Token      string    // Idempotency-Key
	Idempotent bool
	Deadline   time.Time

	Wait     time.Duration // most that it may wait for its customer's rate; zero leaves that to the policy
	Reserved id.Tokens     // taken from the customer's rate
	Used     Used
	Trail    []Attempt
}

// Used is what a call is billed for.
type Used struct {
	Prompt id.Tokens
	Output id.Tokens
	Done   bool
}

// Attempt is one dispatch, for explaining the decision.
type Attempt struct {
	Upstream id.Upstream `json:"upstream"`
	Rule     string      `json:"rule"`
	Load     float64     `json:"load"`
	Error    string      `json:"error,omitempty"`
}

// Package call describes one request of a caller while it passes through the filters, and the reasons to refuse it.
package call

import (
	"fmt"
	"net/http"
	"time"

	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
)

// Run tells a caller whether an upstream executed the refused request.
type Run string

// The values of Run.
const (
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
	RunYes     Run = "yes"
)

// RunIfSent returns RunUnknown if any byte of the request was sent to an upstream, otherwise RunNo.
func RunIfSent(sent bool) Run {
	if sent {
		return RunUnknown
	}
	return RunNo
}

// Code identifies the kind of a refusal. Callers may branch on it.
type Code string

// The refusal codes.
const (
	BadRequest           Code = "bad_request"
	BodyTooLarge         Code = "too_large"
	NoKey                Code = "no_key"
	BadKey               Code = "bad_key"
	Forbidden            Code = "forbidden"
	NoService            Code = "no_service"
	OverRate             Code = "over_rate"
	OverBurst            Code = "over_burst"
	NoLease              Code = "no_lease"
	NoQuorum             Code = "no_quorum"
	NoUpstream           Code = "no_upstream"
	Busy                 Code = "busy"
	Stopping             Code = "stopping"
	Deadline             Code = "deadline"
	Quarantined          Code = "quarantined"
	UpstreamFailed       Code = "upstream_failed"
	InProgress           Code = "in_progress"
	IdempotencyKeyReused Code = "idempotency_key_reused"
	OutcomeUnknown       Code = "outcome_unknown"
	BodyTruncated        Code = "truncated"
	BodyTimeout          Code = "slow"
	NoMemory             Code = "no_memory"
)

// Refusal is an error response to a caller. After the request has passed the filters, only the dispatcher may set Run
// to RunNo.
type Refusal struct {
	Status     int
	Code       Code
	Run        Run
	RetryAfter time.Duration // suggested wait before a retry; zero suggests none
	Step       string        // where the request was refused
	Peer       string        // upstream that was involved, if any
	Reason     string
	Err        error
}

// Error returns the step, the peer, the reason and the cause.
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

// Refuse returns a refusal of a request that was not executed.
func Refuse(status int, code Code, step, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Run: RunNo, Step: step, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the Retry-After value and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Kind is the API endpoint that a call was made to.
type Kind int

// The kinds of call.
const (
	Plain Kind = iota
	Chat
	Completion
	Models
)

// Call is the state of one request. Each filter fills in its part.
type Call struct {
	ID             id.Request
	Kind           Kind
	W              http.ResponseWriter
	R              *http.Request
	Start          time.Time
	StartSinceBoot time.Duration // clock.SinceBoot at Start
	Config         *state.Config
	Service        service.Service
	Path           string // relative to the service, for plain calls

	Key      id.Key
	Customer id.Customer

	Body           []byte      // complete body; nil if it is streamed
	Room           memory.Hold // of Body and its copies
	Answer         memory.Hold // of the buffered part of a plain answer
	Model          ModelBody
	Stream         bool
	PromptTokens   id.Tokens             // estimated prompt length
	OutputTokens   id.Tokens             // maximum number of generated tokens
	Prefix         []uint64              // hashes of the prompt's leading blocks, see PrefixHashes
	SharedParts    []suspect.Fingerprint // parts of the prompt that other calls may hold
	IdempotencyKey string                // value of the Idempotency-Key header
	Idempotent     bool                  // the call may be run more than once
	Deadline       time.Time

	Wait           time.Duration // maximum wait for the customer's rate limit; zero leaves the limit to the policy
	ReservedTokens id.Tokens     // tokens reserved from the customer's rate limit
	Used           Used
	AttemptLog     []Attempt
}

// Used is the billed usage of a call.
type Used struct {
	PromptTokens id.Tokens
	OutputTokens id.Tokens
	Done         bool // the token counts are final
}

// Attempt records one dispatch, to explain the routing decision.
type Attempt struct {
	Upstream id.Upstream `json:"upstream"`
	Version  string      `json:"version,omitempty"` // software version that the upstream announced
	Rule     string      `json:"rule"`
	Load     float64     `json:"load"` // fraction of the capacity; in package forward, estimated milliseconds to the first event
	Error    string      `json:"error,omitempty"`
}

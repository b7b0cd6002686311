// Package forward proxies opaque requests from callers to upstreams: it finds the route, the customer and its rate,
// selects an upstream, passes the answer on, and resumes or retries failed requests if that is safe.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/quarantine"
)

// Call is one request. The caller API sets the exported fields, this package the others.
type Call struct {
	ID             id.Request
	Method         string
	Target         string // request target as sent by the caller
	Host           string
	Path           string // path of Target
	Header         http.Header
	Body           []byte
	Room           memory.Hold              // of Body; its owner calls Release of the Call
	HasBody        bool                     // the caller sent a body, possibly empty
	Secret         string                   // the caller's key; empty if missing
	Model          id.Model                 // empty for plain services
	PromptParts    []place.Part             // parts of the prompt; the last one is specific to the request or its session
	SharedParts    []quarantine.Fingerprint // parts of the prompt that other requests may hold
	PromptTokens   id.Tokens
	OutputTokens   id.Tokens     // maximum number of tokens to generate
	TokensDeclared bool          // PromptTokens and OutputTokens were given by the caller
	CallerTimeout  time.Duration // how long the caller waits; zero if not given
	LastEventID    string        // ID of the last event that the caller received from an earlier answer
	Resumes        id.Request    // the request whose answer brought the first event of the stream that LastEventID belongs to
	Start          time.Time
	StartSinceBoot time.Duration // clock.SinceBoot at Start

	config          *state.Config
	route           *route.Route
	service         service.Service
	customer        customer.Customer
	key             id.Key
	rank            int
	deadline        time.Time
	sent            bool // an upstream may have run the request
	usageCounted    bool
	firstEventDelay time.Duration // from Start to the first event
	events          int
	lastEventID     string // ID of the last event passed on
	begun           bool   // the stream has begun, in this answer or an earlier one of the caller
	origin          origin.Origin
	attempts        []call.Attempt
	attempt         int32        // number of the latest attempt
	lastAttempt     bool         // no other attempt follows unless the upstream refuses the request
	bodyState       atomic.Int32 // number of the attempt that uses the body, or a state
	answers         memory.Hold  // room of answers
	fingerprint     quarantine.Fingerprint
	printed         bool        // fingerprint is set
	printedFor      id.Customer // customer in fingerprint
}

// Target is the destination of one attempt and its options.
type Target struct {
	Upstream       id.Upstream
	Address        string
	MaxConnections int // maximum connections from this VM to the upstream; zero means unlimited
	Customer       id.Customer
	TimeLeft       time.Duration // time left for the answer
	Rank           int           // 0 is the most urgent
	LastEventID    string        // ID of the last event that the caller received
	CopyFrom       string        // address of an engine to copy a prefix of the prompt from; empty if none
	PromptSource   string        // location of the processed prompt; empty if the upstream processes it
	Incarnation    uint64        // that must confirm itself on the connection of the request; zero asks nothing
	Allow          func() bool   // called right before the write; the request is not sent if it returns false
}

// Answer is the header of an upstream's answer and a reader for its body.
type Answer struct {
	Status  int
	Header  http.Header // end-to-end header fields
	NotRun  bool        // the upstream reported that it did not run the request
	Stream  bool        // the body is an event stream
	Signals             // of the upstream about itself
	Length  int64       // length of the body; -1 if unknown
	Framed  bool        // the end of the body is marked; otherwise the body ends with its connection
	// Connection tells in logs whether the answer came on a new connection, a kept one, or one through another VM.
	Connection string
	Body       io.Reader
	Release    func(whole bool) // reuses the connection if the body was read completely, and closes it otherwise
}

// UpstreamClient sends requests to upstreams. If an error comes with sent false, no byte of the request was sent.
type UpstreamClient interface {
	Send(ctx context.Context, t Target, c *Call) (a *Answer, sent bool, err error)
	// Read has an engine process the prompt without generating, and returns the location of the result. If NotRun is set in
	// the result, the engine refused the prompt.
	Read(ctx context.Context, t Target, c *Call) (p *PrefillResult, sent bool, err error)
}

// PrefillResult is a processed prompt.
type PrefillResult struct {
	Source string // address of the engine and its handle for the prompt
	Tokens id.Tokens
	NotRun bool // the engine refused the prompt
	Signals
}

// Signals are what an upstream says of itself in an answer.
type Signals struct {
	Rate    pace.Rate     // of requests that it takes from all VMs together
	Leaving bool          // it is about to leave
	Hold    time.Duration // for which it wants nothing from this VM
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin receives the status and the header.
	Begin(a *Answer) error
	// Write receives a part of the body and sends it to the caller immediately.
	Write(p []byte) error
}

// ErrTruncated means that the answer has begun and cannot be completed. The caller's connection must be aborted to show that.
const ErrTruncated = errors.ConstError("the answer was truncated")

// ErrCallerGone means that the caller closed the connection.
const ErrCallerGone = errors.ConstError("the caller closed the connection")

// repeatable reports whether c may run more than once.
func (c *Call) repeatable() bool { return c.route.Repeatable() }

// rateCost returns the tokens that c counts against its customer's rate.
func (c *Call) rateCost() id.Tokens {
	if c.TokensDeclared {
		return c.PromptTokens + c.OutputTokens
	}
	return max(c.customer.DefaultTokens, 1)
}

// ServiceID returns the service chosen for c, or the empty string before that.
func (c *Call) ServiceID() id.Service { return c.service.ID }

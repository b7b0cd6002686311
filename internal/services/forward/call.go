// Package forward carries opaque requests between callers and upstreams: it finds route, customer and limit, places the
// request, passes the answer on, and resumes or repeats what fails where that is safe.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/place"
)

// Call is one request. The caller's face fills in the first part, the service the second.
type Call struct {
	ID       id.Request
	Method   string
	Target   string // as the caller sent it
	Host     string
	Path     string // of Target
	Header   http.Header
	Body     []byte
	Framed   bool         // the caller declared a body
	Secret   string       // the caller's key; empty where there is none
	Model    id.Model     // empty for plain services
	Parts    []place.Part // of the prompt; the last one belongs to the request or its session
	Prompt   id.Tokens
	Output   id.Tokens     // most that may be generated
	Declared bool          // Prompt and Output are the caller's figures
	Patience time.Duration // how long the caller waits; zero where it did not say
	Seen     string        // id of the last event that the caller has of an earlier answer
	Start    time.Time
	Booted   time.Duration // clock.Boot at Start

	config   *state.Config
	route    *route.Route
	service  service.Service
	customer customer.Customer
	key      id.Key
	rank     int
	deadline time.Time
	sent     bool // some upstream may have begun
	counted  bool
	first    time.Duration // from Start to the first event
	events   int
	last     string // id of the last event passed on
	trail    []call.Attempt
}

// Target is where and how one attempt goes.
type Target struct {
	Upstream    id.Upstream
	Address     string
	Connections int // most that this VM opens to it; zero has no bound
	Customer    id.Customer
	Left        time.Duration // for the answer
	Rank        int           // 0 is the most urgent
	Seen        string        // id of the last event that the caller has
	Fetch       string        // address of an engine to copy leading parts of the prompt from; empty where there is none
	Source      string        // where the read prompt is to be had; empty where the upstream reads it
	Allow       func() bool   // asked right before the write
}

// Answer is the start of an upstream's answer.
type Answer struct {
	Status int
	Header http.Header // end-to-end fields
	NotRun bool        // the upstream says that it did not run the request
	Stream bool        // an event stream
	Length int64       // of the body; -1 where unknown
	Body   io.Reader
	End    func(whole bool) // gives the connection back, or closes it
}

// Upstreams is the port towards upstreams. An error with sent false says that no byte left.
type Upstreams interface {
	Send(ctx context.Context, t Target, c *Call) (a *Answer, sent bool, err error)
	// Read has an engine read the prompt only, and returns where it is to be had. A refusal that NotRun marks counts as
	// not read.
	Read(ctx context.Context, t Target, c *Call) (p *Prepared, sent bool, err error)
}

// Prepared is a prompt that was read.
type Prepared struct {
	Source string // names the engine and the prompt's place there
	Tokens id.Tokens
	NotRun bool // the engine refused the prompt
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin takes the status and header.
	Begin(a *Answer) error
	// Write takes a part of the body and passes it on at once.
	Write(p []byte) error
}

// ErrCut says that the answer has begun and cannot be completed: the caller's connection must show that.
const ErrCut = errors.ConstError("the answer was cut")

// ErrGone says that the caller has left.
const ErrGone = errors.ConstError("the caller has gone")

// repeatable reports whether c may run more than once.
func (c *Call) repeatable() bool { return c.route.Repeatable() }

// cost is what c counts against its customer's rate.
func (c *Call) cost() id.Tokens {
	if c.Declared {
		return c.Prompt + c.Output
	}
	return max(c.customer.Plain, 1)
}

// ServiceID returns the service that was decided on; empty before that.
func (c *Call) ServiceID() id.Service { return c.service.ID }

package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/lazy"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/limit"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/retry"
	"wagtaillift/internal/services/roster"
)

const (
	step         = "forward"
	mostDecides  = 3 // decisions for one request whose configuration changes before it is sent
	soon         = 200 * time.Millisecond
	waitPart     = 10                     // part of the objective that a request may wait for its customer's rate: a refusal after more comes late
	whileUnknown = 500 * time.Millisecond // a VM without configuration or lease has them again after about this time
)

// Meter counts what began to run.
type Meter interface {
	AddIn(w id.Window, c id.Customer, s id.Service, n usage.Count)
}

// Retries is a service's fleet-wide budget of repeated requests.
type Retries struct {
	Part  float64 // of the first attempts
	Burst float64 // over all VMs
}

// Forwarder forwards calls. Its fields are set before the first call.
type Forwarder struct {
	Config     func() *state.Config
	Guard      pipeline.Guard
	Limiter    *limit.Limiter
	Roster     *roster.Roster
	Upstreams  Upstreams
	Meter      Meter
	Quarantine *quarantine.List
	// Crashed is called when a request ran on an upstream that crashed, to tell the other VMs.
	Crashed func(p quarantine.Print, hold time.Duration)
	Zone    id.Zone
	Window  func(now time.Duration) id.Window
	Members func() int // VMs that send requests to upstreams
	Retries Retries
	// Orders returns the last order of every upstream: one that changes its role takes no new work.
	Orders func() map[id.Upstream]order.Order

	budgets lazy.Map[id.Service, retry.Budget]
	known   memories
	asked   lazy.Map[id.Service, atomic.Int64] // prompt tokens since they were last told
	settled atomic.Bool
}

// Serve answers c at out. A refusal is for the caller's face to write; ErrCut and ErrGone end the connection.
func (f *Forwarder) Serve(ctx context.Context, c *Call, out Sink) error {
	p := progress{tried: map[id.Upstream]bool{}}
	for range mostDecides {
		before := c.service.ID
		err := f.decide(ctx, c)
		if err == nil && p.begun && c.service.ID != before {
			err = refuse(http.StatusServiceUnavailable, call.NoService, "the route leads elsewhere now")
		}
		if err != nil {
			return p.late(c, err)
		}
		err = f.run(ctx, c, &p, out)
		if !errors.Is(err, errChanged) {
			return err
		}
	}
	return p.late(c, refuse(http.StatusServiceUnavailable, call.NoLease, "the configuration changes").After(soon))
}

// late turns a refusal into what the caller may be told after the attempts so far: an answer that has begun is cut, and a request
// that an upstream may have run is not called one that did not run.
func (p *progress) late(c *Call, err error) error {
	switch {
	case p.begun:
		return ErrCut
	case c.sent:
		return failed(http.StatusBadGateway, call.Failed, true, "refused after an attempt", err)
	}
	return err
}

// decide finds the route, the customer, the deadline and room in the customer's rate.
func (f *Forwarder) decide(ctx context.Context, c *Call) error {
	first := c.config == nil
	c.config = f.Config()
	if first {
		f.settle(ctx, c)
	}
	if err := f.admit(c); err != nil {
		return err
	}
	c.service = c.config.Services[c.route.Service(c.ID)]
	c.deadline = c.Start.Add(c.route.Timeout)
	if c.Patience > 0 && c.Patience < c.route.Timeout {
		c.deadline = c.Start.Add(c.Patience)
	}
	if wait, refused := f.Quarantine.Refused(clock.Boot(), c.print()); refused {
		return refuse(http.StatusServiceUnavailable, call.Quarantined, "this request crashed the upstreams that ran it").After(wait)
	}
	if !first || c.customer.ID == "" {
		return nil
	}
	return f.limit(ctx, c)
}

// admit finds the route and the customer of c in its configuration. A VM whose lease has ended knows neither what was
// added nor what was withdrawn meanwhile.
func (f *Forwarder) admit(c *Call) error {
	if c.config.Version == 0 {
		return refuse(http.StatusServiceUnavailable, call.NoLease, "no configuration is known yet").After(whileUnknown)
	}
	leased := f.Guard.Leased(clock.Boot(), 0)
	r, ok := c.config.Find(c.Host, c.Path)
	if !leased {
		return unsure()
	}
	if !ok {
		return refuse(http.StatusNotFound, call.NoService, "no route for "+c.Host+c.Path)
	}
	c.route, c.rank = r, r.Rank
	c.customer, c.key = customer.Customer{}, ""
	if c.Secret == "" && r.Open {
		return nil
	}
	return f.authenticate(c)
}

func unsure() error {
	return refuse(http.StatusServiceUnavailable, call.NoLease, "this VM is cut off from the configuration").After(whileUnknown)
}

func refuse(status int, code call.Code, reason string) *call.Refusal {
	return call.Refuse(status, code, step, "%s", reason)
}

// allowed reports whether what was decided for c still holds, right before it is sent: the VM may have stood still
// meanwhile.
func (f *Forwarder) allowed(c *Call) bool {
	if !f.Guard.Leased(clock.Boot(), 0) {
		return false
	}
	cfg := f.Config()
	if cfg == c.config {
		return true
	}
	r, ok := cfg.Find(c.Host, c.Path)
	if !ok || r.Service(c.ID) != c.service.ID || c.customer.ID == "" && !r.Open {
		return false
	}
	k, live := cfg.Keys[c.key]
	return c.customer.ID == "" || live && !k.Withdrawn && k.Customer == c.customer.ID
}

// limit keeps the customer inside its rate.
func (f *Forwarder) limit(ctx context.Context, c *Call) error {
	rate := c.config.Resolve(policy.Rate, c.customer.ID, "").Value
	if spec, _ := policy.Lookup(policy.Rate); rate >= spec.Max {
		return nil
	}
	n := &call.Call{
		ID: c.ID, Config: c.config, Customer: c.customer.ID, Prompt: c.cost(), Start: c.Start, Booted: c.Booted, Service: c.service,
		Wait: max(time.Millisecond, c.route.Objective/waitPart),
	}
	err := f.Limiter.Reserve(ctx, clock.Boot, n)
	var r *call.Refusal
	if errors.As(err, &r) {
		r.Status = http.StatusTooManyRequests
	}
	return err
}

// began counts c in the window in which an upstream began to run it.
func (f *Forwarder) began(c *Call) {
	if c.counted || c.customer.ID == "" {
		return
	}
	c.counted = true
	n := usage.Count{Requests: 1, Prompt: uint64(c.Prompt), Output: uint64(c.Output)}
	f.Meter.AddIn(f.Window(clock.Boot()), c.customer.ID, c.service.ID, n)
}

// again takes one repeated request from the budget of c's service.
func (f *Forwarder) again(c *Call) bool {
	return f.budgets.Get(c.service.ID).Spend(f.Retries.Burst / float64(max(1, f.Members())))
}

// print identifies c among requests that are sent again.
func (c *Call) print() quarantine.Print {
	if len(c.Body) == 0 {
		return 0 // too little to tell a request from others
	}
	return quarantine.Fingerprint(c.customer.ID, id.Service(c.Target), c.Body)
}

// Log writes the line that tells what became of c.
func (f *Forwarder) Log(c *Call, now time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = err.Error()
	}
	klog.InfoS("Request", "request", c.ID, "customer", c.customer.ID, "service", c.service.ID, "route", c.routeName(),
		"version", c.configVersion(), "first", c.first.Round(time.Millisecond), "took", now.Sub(c.Start).Round(time.Millisecond), "events", c.events, "attempts", c.trail, "outcome", outcome)
}

func (c *Call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *Call) configVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return uint64(c.config.Version)
}

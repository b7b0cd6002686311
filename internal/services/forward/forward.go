package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/retry"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/shutdown"
)

const (
	step               = "forward" // pipeline step named in refusals
	maxDecisions       = 3         // decisions for one request if the configuration changes before it is sent
	shortRetryAfter    = 200 * time.Millisecond
	rateWaitDivisor    = 10 // a request waits at most objective/rateWaitDivisor for its customer's rate, because a later refusal would come too late
	stoppingRetryAfter = 100 * time.Millisecond
	notReadyRetryAfter = 500 * time.Millisecond // a VM without configuration or lease usually has them again after this time
)

// resumedStreams counts the streams of earlier answers that callers resumed.
var resumedStreams = metrics.NewCounter("wagtaillift_resumed_streams_total")

// Meter counts the requests that upstreams began to run.
type Meter interface {
	AddInWindow(w id.Window, c id.Customer, s id.Service, n usage.Count)
}

// Retries is the fleet-wide retry budget of a service.
type Retries struct {
	Ratio float64 // ratio of retries to first attempts
	Burst float64 // summed over all VMs
	// EmptyUntil is the time, by clock.SinceBoot, up to which budgets begin empty: a process that ran before this one may have
	// spent its share in the same window.
	EmptyUntil time.Duration
}

// Forwarder forwards calls. Its exported fields must be set before the first call.
type Forwarder struct {
	Config         func() *state.Config
	Guard          pipeline.Guard
	Limiter        *limit.Limiter
	Roster         *roster.Roster
	UpstreamClient UpstreamClient
	Meter          Meter
	Quarantine     *quarantine.List
	Detector       *quarantine.Detector
	Pace           *pace.Table
	Origins        *origin.Exchange
	Zone           id.Zone
	Window         func(now time.Duration) id.Window
	Members        func() int // number of VMs that send requests to upstreams
	Retries        Retries
	EventFormat    EventFormat // of the answers on routes for streams
	// Gate holds requests back that a VM which is stopping can't answer any more. Nil lets all of them through.
	Gate *shutdown.Gate
	// Orders returns the last order of every upstream. An upstream that is changing its role gets no new requests.
	Orders func() map[id.Upstream]order.Order

	budgets         lazy.Map[id.Service, retry.Budget]
	caches          promptCaches
	requestedTokens lazy.Map[id.Service, atomic.Int64] // prompt tokens since the last call of RequestedTokens
	hadLease        atomic.Bool                        // this VM had a lease at least once since it started
}

// Serve writes the answer of c to out. The caller API writes a returned refusal; on ErrTruncated and ErrCallerGone it
// aborts the connection.
func (f *Forwarder) Serve(ctx context.Context, c *Call, out Sink) error {
	if c.LastEventID != "" {
		klog.InfoS("Caller resumes a stream", "request", c.ID, "resumes", c.Resumes, "last", c.LastEventID)
		resumedStreams.Inc()
	}
	p := progress{tried: map[id.Upstream]bool{}}
	for range maxDecisions {
		previous := c.service.ID
		err := f.decide(ctx, c)
		if err == nil && p.answerBegun && c.service.ID != previous {
			err = refuse(http.StatusServiceUnavailable, call.NoService, "the route leads elsewhere now")
		}
		if err != nil {
			return p.adjustRefusal(c, err)
		}
		err = f.run(ctx, c, &p, out)
		if !errors.Is(err, errConfigChanged) {
			return err
		}
	}
	return p.adjustRefusal(c, refuse(http.StatusServiceUnavailable, call.NoLease, "the configuration changes").WithRetryAfter(shortRetryAfter))
}

// adjustRefusal makes a refusal consistent with earlier attempts: an answer that has begun is cut, and a request that an
// upstream may have run is not reported as not run.
func (p *progress) adjustRefusal(c *Call, err error) error {
	switch {
	case p.answerBegun:
		return ErrTruncated
	case c.sent:
		return failedRefusal(http.StatusBadGateway, call.UpstreamFailed, true, "refused after an attempt", err)
	}
	return err
}

// decide finds the route, the customer, the service and the deadline of c, and reserves its tokens from the customer's rate
// limit.
func (f *Forwarder) decide(ctx context.Context, c *Call) error {
	first := c.config == nil
	c.config = f.Config()
	if first {
		f.waitForLease(ctx, c)
	}
	if err := f.admit(c); err != nil {
		return err
	}
	if first {
		if err := f.findOrigin(ctx, c); err != nil {
			return err
		}
	}
	s, ok := c.serviceOn(c.route)
	if !ok {
		return refuse(http.StatusServiceUnavailable, call.NoService, "the route no longer leads to the service that began the stream").WithRetryAfter(shortRetryAfter)
	}
	c.service = c.config.Services[s]
	c.deadline = c.Start.Add(c.route.Timeout)
	if c.CallerTimeout > 0 && c.CallerTimeout < c.route.Timeout {
		c.deadline = c.Start.Add(c.CallerTimeout)
	}
	if !f.mayBegin(c) {
		return refuseStopping()
	}
	if wait, refused := f.quarantined(c); refused {
		f.logQuarantined(c, wait)
		return refuse(http.StatusServiceUnavailable, call.Quarantined, "this request crashed the upstreams that ran it").WithRetryAfter(wait)
	}
	if !first || c.customer.ID == "" {
		return nil
	}
	return f.limitRate(ctx, c)
}

// admit finds the route and the customer of c in its configuration. Without a lease every call is refused, because keys
// and routes may have been added or withdrawn since the lease ended.
func (f *Forwarder) admit(c *Call) error {
	if c.config.Version == 0 {
		return refuse(http.StatusServiceUnavailable, call.NoLease, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	leased := f.Guard.Leased(clock.SinceBoot(), 0)
	r, ok := c.config.FindRoute(c.Host, c.Path)
	if !leased {
		return refuseNoLease()
	}
	if !ok {
		return refuse(http.StatusNotFound, call.NoService, "no route for "+c.Host+c.Path)
	}
	c.route, c.rank = r, r.Rank
	c.customer, c.key = customer.Customer{}, ""
	if c.Secret == "" && r.AllowAnonymous {
		return nil
	}
	return f.authenticate(c)
}

func refuseNoLease() error {
	return refuse(http.StatusServiceUnavailable, call.NoLease, "this VM is cut off from the configuration").WithRetryAfter(notReadyRetryAfter)
}

// mayBegin reports whether c may still be sent to an upstream if this VM is stopping.
func (f *Forwarder) mayBegin(c *Call) bool {
	return f.Gate.MayBegin(time.Now(), shutdown.Request{Deadline: c.deadline, Repeatable: c.repeatable(), Begun: c.sent})
}

func refuseStopping() *call.Refusal {
	return refuse(http.StatusServiceUnavailable, call.Stopping, "this VM is stopping").WithRetryAfter(stoppingRetryAfter)
}

func refuse(status int, code call.Code, reason string) *call.Refusal {
	return call.Refuse(status, code, step, "%s", reason)
}

// stillAllowed reports whether the decision for c still holds. It is called right before c is sent, because c may have
// waited or the process may have been suspended since the decision.
func (f *Forwarder) stillAllowed(c *Call) bool {
	if !f.Guard.Leased(clock.SinceBoot(), 0) || !f.mayBegin(c) {
		return false
	}
	if _, refused := f.quarantined(c); refused {
		return false
	}
	cfg := f.Config()
	if cfg == c.config {
		return true
	}
	r, ok := cfg.FindRoute(c.Host, c.Path)
	if !ok || c.customer.ID == "" && !r.AllowAnonymous {
		return false
	}
	if s, ok := c.serviceOn(r); !ok || s != c.service.ID {
		return false
	}
	k, live := cfg.Keys[c.key]
	return c.customer.ID == "" || live && !k.Withdrawn && k.Customer == c.customer.ID
}

// limitRate reserves c's tokens from the customer's rate limit. It waits a short time for them and then refuses c with
// status 429.
func (f *Forwarder) limitRate(ctx context.Context, c *Call) error {
	rate := c.config.Resolve(policy.Rate, c.customer.ID, "").Value
	if spec, _ := policy.Lookup(policy.Rate); rate >= spec.Max {
		return nil
	}
	n := &call.Call{
		ID: c.ID, Config: c.config, Customer: c.customer.ID, PromptTokens: c.rateCost(), Start: c.Start, StartSinceBoot: c.StartSinceBoot, Service: c.service,
		Wait: max(time.Millisecond, c.route.Objective/rateWaitDivisor),
	}
	err := f.Limiter.Reserve(ctx, clock.SinceBoot, n)
	var r *call.Refusal
	if errors.As(err, &r) {
		r.Status = http.StatusTooManyRequests
	}
	return err
}

// countUsage counts c once, in the window in which an upstream began to run it.
func (f *Forwarder) countUsage(c *Call) {
	if c.usageCounted || c.customer.ID == "" {
		return
	}
	c.usageCounted = true
	n := usage.Count{Requests: 1, PromptTokens: uint64(c.PromptTokens), OutputTokens: uint64(c.OutputTokens)}
	f.Meter.AddInWindow(f.Window(clock.SinceBoot()), c.customer.ID, c.service.ID, n)
}

// retryBudget returns the retry budget of c's service.
func (f *Forwarder) retryBudget(c *Call) *retry.Budget {
	b := f.budgets.Get(c.service.ID)
	b.Begin(clock.SinceBoot() < f.Retries.EmptyUntil, f.retryBurst())
	return b
}

// retryBurst returns this VM's share of the burst of each budget.
func (f *Forwarder) retryBurst() float64 { return f.Retries.Burst / float64(max(1, f.Members())) }

// spendRetry takes one retry from the budget of c's service.
func (f *Forwarder) spendRetry(c *Call) bool { return f.retryBudget(c).Spend(f.retryBurst()) }

// Log writes the log line of a finished call.
func (f *Forwarder) Log(c *Call, now time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = err.Error()
	}
	klog.InfoS("Request finished", "request", c.ID, "fingerprint", c.print(), "parts", quarantine.JoinPrints(c.SharedParts), "customer", c.customer.ID, "service", c.service.ID, "route", c.routeName(),
		"version", c.configVersion(), "first", c.firstEventDelay.Round(time.Millisecond), "took", now.Sub(c.Start).Round(time.Millisecond), "events", c.events, "attempts", c.attempts, "outcome", outcome)
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

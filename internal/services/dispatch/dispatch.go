// Package dispatch sends calls to upstreams and relays the responses. It resumes or retries failed calls where that is safe.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/lazy"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/retry"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/route"
	"wagtaillift/internal/services/shutdown"
)

const (
	step                = "dispatch" // pipeline step named in refusals and log lines
	maxAttempts         = 5
	headerRequest       = "Wagtaillift-Request"
	headerLoad          = "Wagtaillift-Load"
	headerRate          = "Wagtaillift-Limit"
	queuePollInterval   = 2 * time.Millisecond  // interval at which queued requests retry the choice of an upstream
	retryAfter          = time.Second           // minimum wait that is suggested to callers before a retry
	maxBacklog          = 0.1                   // maximum load queued at an upstream, as a multiple of its capacity
	isolationRetryDelay = 20 * time.Millisecond // before the next choice if the chosen upstream was reserved for another suspect
	streamIdleTimeout   = 5 * time.Second       // silence on a stream after which it is resumed on another engine
	retryBudgetBurst    = 20                    // retries that a customer may make on one service in a burst
)

// Dispatcher sends calls to upstreams.
type Dispatcher struct {
	Roster     *roster.Roster
	Client     *upstream.Client
	Quarantine *quarantine.List
	Detector   *quarantine.Detector
	Pace       *pace.Table
	// ReserveOnPeers reserves an upstream for one suspect on the other VMs of the data centre, or releases it if reserve is false.
	// It returns false if the upstream is reserved for another suspect. Nil skips the other VMs.
	ReserveOnPeers func(u id.Upstream, p quarantine.Fingerprint, reserve bool) bool
	// Gate holds calls back that a VM which is stopping can't answer any more. Nil lets all of them through.
	Gate *shutdown.Gate
	// Pick chooses the upstream; nil selects route.Pick.
	Pick func(now time.Duration, list []*roster.Upstream, q *route.Query) route.Choice

	budgets lazy.Map[budgetKey, retry.Budget]
	queues  lazy.Map[id.Service, admissionQueue]
}

type budgetKey struct {
	customer id.Customer
	service  id.Service
}

// pick chooses an upstream from list and counts c's work there. It queues c for capacity if c can be served in time. The
// returned function removes the work again.
func (d *Dispatcher) pick(
	ctx context.Context, c *call.Call, list func() []*roster.Upstream, q *route.Query, retrying bool,
) (route.Choice, func(), error) {
	f := d.Pick
	if f == nil {
		f = route.Pick
	}
	var release func()
	try := func() route.Choice {
		ch := f(clock.SinceBoot(), list(), q)
		if ch.Upstream == nil && q.FallbackExclude != nil { // only upstreams that this call already tried are left
			relaxed := *q
			relaxed.Exclude = q.FallbackExclude
			ch = f(clock.SinceBoot(), list(), &relaxed)
		}
		if ch.Upstream == nil {
			return ch
		}
		if !d.Pace.Take(clock.SinceBoot(), ch.Upstream) {
			return route.Choice{Rule: route.Full}
		}
		release = d.acquire(ch.Upstream, q.KVBlocks)
		return ch
	}
	if retrying { // a retry does not queue behind first attempts
		q.AnswerBegun = true
		if ch := try(); ch.Upstream != nil {
			return ch, release, nil
		}
	}
	item := &queueItem{
		Key: c.Customer, Cost: float64(c.PromptTokens + c.OutputTokens), Value: &waiter{try: try, started: retrying},
		Weight: c.Config.Resolve(policy.Weight, c.Customer, c.Service.ID).Value,
	}
	limit := time.Until(c.Deadline)
	if !retrying {
		limit = min(limit, c.Config.ResolveDuration(policy.QueueWait, c.Customer, c.Service.ID))
	}
	ch, wait := d.queues.Get(c.Service.ID).acquire(ctx, item, limit)
	if ch.Upstream == nil {
		return ch, nil, pickRefusal(c, ch, wait)
	}
	return ch, release, nil
}

// checkStopping returns a refusal if this VM is stopping and c may not be sent to an upstream any more.
func (d *Dispatcher) checkStopping(c *call.Call, pr *progress) error {
	if d.Gate.MayBegin(time.Now(), shutdown.Request{Deadline: c.Deadline, Repeatable: c.Idempotent, Begun: pr.sent}) {
		return nil
	}
	return refuseStopping()
}

func refuseStopping() *call.Refusal {
	return call.Refuse(http.StatusServiceUnavailable, call.Stopping, step, "this VM is stopping").WithRetryAfter(retryAfter)
}

// pickRefusal returns the refusal for a call that got no upstream.
func pickRefusal(c *call.Call, ch route.Choice, wait time.Duration) error {
	if ch.Rule == route.Full {
		return call.Refuse(http.StatusServiceUnavailable, call.Busy, step,
			"every upstream of %s is full", c.Service.ID).WithRetryAfter(max(wait, retryAfter))
	}
	return call.Refuse(http.StatusServiceUnavailable, call.NoUpstream, step,
		"no upstream of %s is ready", c.Service.ID).WithRetryAfter(retryAfter)
}

// newQuery returns the parameters of the upstream choice for c.
func (d *Dispatcher) newQuery(c *call.Call, kvBlocks int64, p quarantine.Fingerprint, tried map[id.Upstream]bool) *route.Query {
	q := &route.Query{
		KVBlocks:   kvBlocks,
		LoadBound:  c.Config.Resolve(policy.AffinityLoadBound, c.Customer, c.Service.ID).Value,
		MaxBacklog: maxBacklog,
		Cheap:      c.Config.Resolve(policy.Cheap, c.Customer, c.Service.ID).Value,
		Draw:       rand.Float64(),
	}
	if n := len(c.Prefix); n > 0 {
		q.Prefix = c.Prefix[min(n-1, routingPrefixBlocks-1)]
	}
	suspect := d.Quarantine.IsSuspect(p)
	q.Exclude = func(u *roster.Upstream) bool {
		now := clock.SinceBoot()
		return d.Pace.Wait(now, u) > 0 || suspect && d.Quarantine.IsReserved(now, u.Name)
	}
	if len(tried) == 0 {
		return q
	}
	q.FallbackExclude = q.Exclude
	q.Exclude = func(u *roster.Upstream) bool { return tried[u.Name] || q.FallbackExclude(u) }
	return q
}

// routingPrefixBlocks is the number of leading prompt blocks that are hashed to choose an engine.
const routingPrefixBlocks = 4

// acquire counts one request of the given number of KV cache blocks at u and returns the function that removes it.
func (d *Dispatcher) acquire(u *roster.Upstream, kvBlocks int64) func() {
	u.Stats.Requests.Add(1)
	u.Stats.KVBlocks.Add(kvBlocks)
	return func() {
		u.Stats.Requests.Add(-1)
		u.Stats.KVBlocks.Add(-kvBlocks)
	}
}

// observeAnswer records the load and the rate that u named in the response to a request which was sent at sentAt. Only a success shows
// that u names no rate any more.
func (d *Dispatcher) observeAnswer(u *roster.Upstream, resp *http.Response, sentAt time.Duration) {
	recordLoad(u, resp.Header)
	rate := pace.ParseRate(resp.Header.Get(headerRate), u.Name)
	if resp.StatusCode/100 == 2 || rate > 0 {
		d.Pace.Observe(clock.SinceBoot(), u, rate, sentAt)
	}
}

// dialFailed reports whether err is a failed connection attempt, timeouts excluded.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// allowRetry takes one retry from the budget of c's customer and service, and reports whether there was one.
func (d *Dispatcher) allowRetry(c *call.Call) bool {
	return d.budgets.Get(budgetOf(c)).Spend(retryBudgetBurst)
}

func budgetOf(c *call.Call) budgetKey { return budgetKey{c.Customer, c.Service.ID} }

// isolateSuspect reserves u for p if p is a suspect. The returned function releases it; ok is false if u is reserved for
// another suspect.
func (d *Dispatcher) isolateSuspect(u id.Upstream, p quarantine.Fingerprint) (unreserve func(), ok bool) {
	now := clock.SinceBoot()
	if !d.Quarantine.IsSuspect(p) {
		return func() {}, true
	}
	if !d.Quarantine.Reserve(now, u, p) {
		return nil, false
	}
	if d.ReserveOnPeers == nil {
		return func() { d.Quarantine.Release(u, p) }, true
	}
	if !d.ReserveOnPeers(u, p, true) {
		d.ReserveOnPeers(u, p, false)
		d.Quarantine.Release(u, p)
		return nil, false
	}
	return func() {
		d.Quarantine.Release(u, p)
		go d.ReserveOnPeers(u, p, false)
	}, true
}

// recordAttempt adds an attempt to the call's attempt log, from which the routing decision is explained.
func recordAttempt(c *call.Call, ch route.Choice, err error) {
	a := call.Attempt{Upstream: ch.Upstream.Name, Version: ch.Upstream.Version, Rule: string(ch.Rule), Load: ch.Load}
	if err != nil {
		a.Error = err.Error()
		klog.InfoS("Attempt failed", "request", c.ID, "step", step, "upstream", ch.Upstream.Name, "address", ch.Upstream.Address, "err", err)
	}
	c.AttemptLog = append(c.AttemptLog, a)
}

// requiredKVBlocks returns the number of KV cache blocks that c needs.
func requiredKVBlocks(c *call.Call) int64 { return engine.KVBlocks(c.PromptTokens + c.OutputTokens) }

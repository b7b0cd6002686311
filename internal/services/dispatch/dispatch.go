// Package dispatch sends calls to upstreams, relays the answers, and resumes or retries what fails where that is safe.
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
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/retry"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/route"
)

const (
	step          = "dispatch"
	maxAttempts   = 5
	headerRequest = "Wagtaillift-Request"
	headerLoad    = "Wagtaillift-Load"
	roomPoll      = 2 * time.Millisecond
	retryAfter    = time.Second
	backlog       = 0.1 // most load queued at an engine, as a multiple of its memory
	suspectPause  = 20 * time.Millisecond
	tokenTimeout  = 5 * time.Second // silence inside a stream before it is resumed elsewhere
	budgetBurst   = 20              // retries a customer and service may make at once
)

// Dispatcher sends calls to upstreams.
type Dispatcher struct {
	Roster     *roster.Roster
	Client     *upstream.Client
	Quarantine *quarantine.List
	// Refused is called when a request was quarantined here, to tell the other VMs.
	Refused func(p quarantine.Print, hold time.Duration)
	// Reserve keeps an upstream for one suspect on the other VMs of the data centre, or frees it; nil asks nobody. It
	// returns false where another suspect runs there.
	Reserve func(u id.Upstream, p quarantine.Print, enter bool) bool
	// Pick chooses the upstream; nil means route.Pick.
	Pick func(now time.Duration, list []*roster.Upstream, q *route.Query) route.Choice

	budgets lazy.Map[budgetKey, retry.Budget]
	gates   lazy.Map[id.Service, gate]
}

type budgetKey struct {
	customer id.Customer
	service  id.Service
}

// pick chooses an upstream among list and enters c there, waiting for room where that can be in time. The returned
// function takes c's work back.
func (d *Dispatcher) pick(
	ctx context.Context, c *call.Call, list func() []*roster.Upstream, q *route.Query, again bool,
) (route.Choice, func(), error) {
	f := d.Pick
	if f == nil {
		f = route.Pick
	}
	var leave func()
	try := func() route.Choice {
		ch := f(clock.Boot(), list(), q)
		if ch.Upstream == nil && q.Retry != nil { // only upstreams that failed before are left
			loose := *q
			loose.Avoid = q.Retry
			ch = f(clock.Boot(), list(), &loose)
		}
		if ch.Upstream != nil {
			leave = d.enter(ch.Upstream, q.Pieces)
		}
		return ch
	}
	if again { // a request that has begun does not queue behind those that have not
		q.Begun = true
		if ch := try(); ch.Upstream != nil {
			return ch, leave, nil
		}
	}
	t := &ticket{
		Key: c.Customer, Cost: float64(c.Prompt + c.Output), Value: &waiter{try: try, begun: again},
		Weight: c.Config.Resolve(policy.Weight, c.Customer, c.Service.ID).Value,
	}
	limit := time.Until(c.Deadline)
	if !again {
		limit = min(limit, c.Config.Seconds(policy.Queue, c.Customer, c.Service.ID))
	}
	ch, wait := d.gates.Get(c.Service.ID).enter(ctx, t, limit)
	if ch.Upstream == nil {
		return ch, nil, refusePick(c, ch, wait)
	}
	return ch, leave, nil
}

func refusePick(c *call.Call, ch route.Choice, wait time.Duration) error {
	if ch.Rule == route.Full {
		return call.Refuse(http.StatusServiceUnavailable, call.Busy, step,
			"every upstream of %s is full", c.Service.ID).After(max(wait, retryAfter))
	}
	return call.Refuse(http.StatusServiceUnavailable, call.NoUpstream, step,
		"no upstream of %s is ready", c.Service.ID).After(retryAfter)
}

// query builds what the choice needs from c.
func (d *Dispatcher) query(c *call.Call, pieces int64, p quarantine.Print, tried map[id.Upstream]bool) *route.Query {
	q := &route.Query{
		Pieces:  pieces,
		Bound:   c.Config.Resolve(policy.Affinity, c.Customer, c.Service.ID).Value,
		Backlog: backlog,
		Cheap:   c.Config.Resolve(policy.Cheap, c.Customer, c.Service.ID).Value,
		Draw:    rand.Float64(),
	}
	if n := len(c.Prefix); n > 0 {
		q.Prefix = c.Prefix[min(n-1, prefixBlocks-1)]
	}
	if d.Quarantine.Suspect(clock.Boot(), p) {
		q.Avoid = func(u *roster.Upstream) bool { return d.Quarantine.Busy(clock.Boot(), u.Name) }
	}
	if len(tried) == 0 {
		return q
	}
	busy := q.Avoid
	q.Retry = func(u *roster.Upstream) bool { return busy != nil && busy(u) }
	q.Avoid = func(u *roster.Upstream) bool { return tried[u.Name] || q.Retry(u) }
	return q
}

// prefixBlocks is how many leading blocks decide a prompt's place.
const prefixBlocks = 4

// enter counts c's work at u and returns the function that takes it back.
func (d *Dispatcher) enter(u *roster.Upstream, pieces int64) func() {
	u.Work.Requests.Add(1)
	u.Work.Pieces.Add(pieces)
	return func() {
		u.Work.Requests.Add(-1)
		u.Work.Pieces.Add(-pieces)
	}
}

func refusedConn(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// allowRetry takes one retry from the budget of c's customer and service.
func (d *Dispatcher) allowRetry(c *call.Call) bool {
	return d.budgets.Get(budgetOf(c)).Spend(budgetBurst)
}

func budgetOf(c *call.Call) budgetKey { return budgetKey{c.Customer, c.Service.ID} }

// isolate reserves u for p where p is a suspect. The returned function frees it.
func (d *Dispatcher) isolate(u id.Upstream, p quarantine.Print) (free func(), ok bool) {
	now := clock.Boot()
	if !d.Quarantine.Suspect(now, p) {
		return func() {}, true
	}
	if !d.Quarantine.Enter(now, u, p) {
		return nil, false
	}
	if d.Reserve == nil {
		return func() { d.Quarantine.Leave(u, p) }, true
	}
	if !d.Reserve(u, p, true) {
		d.Reserve(u, p, false)
		d.Quarantine.Leave(u, p)
		return nil, false
	}
	return func() {
		d.Quarantine.Leave(u, p)
		go d.Reserve(u, p, false)
	}, true
}

// note records an attempt for explaining the decision.
func note(c *call.Call, ch route.Choice, err error) {
	a := call.Attempt{Upstream: ch.Upstream.Name, Rule: string(ch.Rule), Load: ch.Load}
	if err != nil {
		a.Error = err.Error()
		klog.InfoS("Attempt failed", "request", c.ID, "step", step, "upstream", ch.Upstream.Name, "address", ch.Upstream.Address, "err", err)
	}
	c.Trail = append(c.Trail, a)
}

// modelPieces is the KV memory that c needs.
func modelPieces(c *call.Call) int64 { return engine.Pieces(c.Prompt + c.Output) }

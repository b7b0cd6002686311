// Package shutdown decides what a VM that is stopping still does for its callers.
package shutdown

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/setting"
)

const (
	closeTimeout    = 2 * time.Second // for the listeners, if the grace is not known
	reserveDivisor  = 20              // grace/reserveDivisor is kept for a late signal, the last answers and the end of the process
	minReserve      = 200 * time.Millisecond
	maxReserve      = time.Second
	maxLeadFraction = 3 // new requests are refused after grace/maxLeadFraction at the latest
)

// ErrEnded is the cause with which the requests end that still run at the end of a Plan.
const ErrEnded = errors.ConstError("the VM has stopped")

// Plan holds the moments of a graceful shutdown.
type Plan struct {
	Refuse time.Time // requests that come later are refused
	Leave  time.Time // the VM leaves the fleet from here, or as soon as no request runs
	End    time.Time // requests that still run are ended
	Exit   time.Time // the listeners are closed
}

// NewPlan returns the plan of a shutdown that begins at start. If the grace is known, running requests get what it leaves them, and the VM
// leaves the fleet beside the last of them.
func NewPlan(start time.Time, s setting.Shutdown) Plan {
	p := Plan{Refuse: start.Add(s.RefuseDelay), End: start.Add(s.RefuseDelay + s.DrainTimeout)}
	if s.Grace <= 0 {
		p.Leave, p.Exit = p.End, p.End.Add(s.Leave+closeTimeout)
		return p
	}
	reserve := min(max(s.Grace/reserveDivisor, minReserve), maxReserve, s.Grace/2)
	last := start.Add(s.Grace - reserve)
	p.Refuse = earlier(p.Refuse, start.Add(s.Grace/maxLeadFraction))
	p.End = earlier(p.End, last)
	p.Leave = earlier(p.End, last.Add(-s.Leave))
	p.Exit = last.Add(reserve / 2)
	return p
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Request is what matters of a request that is about to be sent to an upstream.
type Request struct {
	Deadline   time.Time // by which it is answered in any case
	Repeatable bool      // it may run more than once
	Begun      bool      // an upstream may have run it already, so that it can't be refused as not run any more
}

// MayBegin reports whether r may be sent at now. What has its answer before the end of the plan may. Of the rest, what has begun goes on, and
// what may be repeated still begins while callers are sent here.
func (p *Plan) MayBegin(now time.Time, r Request) bool {
	switch {
	case !now.Before(p.End):
		return false
	case r.Begun || !r.Deadline.After(p.End):
		return true
	}
	return r.Repeatable && now.Before(p.Refuse)
}

// Gate lets requests through to the upstreams as the plan of the VM's shutdown allows. The zero value and nil let all of them through.
type Gate struct{ plan atomic.Pointer[Plan] }

// Begin begins the shutdown.
func (g *Gate) Begin(p *Plan) { g.plan.Store(p) }

// MayBegin reports whether r may be sent to an upstream at now.
func (g *Gate) MayBegin(now time.Time, r Request) bool {
	if g == nil {
		return true
	}
	p := g.plan.Load()
	return p == nil || p.MayBegin(now, r)
}

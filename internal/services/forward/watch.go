package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/modules/clock"
)

// watch ends an attempt after a silence, where the call may go on at another upstream.
type watch struct {
	timer *time.Timer
	gap   time.Duration
}

// watch returns the watch of c's next attempt. The last attempt has none: silence is no reason to end it sooner.
func (f *Forwarder) watch(c *Call, p *progress, cancel context.CancelCauseFunc) *watch {
	if !c.repeatable() || p.ran+1 >= c.route.Attempts {
		return &watch{}
	}
	limit := max(leastQuiet, times(c.route.Objective, firstQuiet))
	if c.route.Kind == route.Safe {
		limit = max(times(c.route.Objective, quickRepeat), time.Until(c.deadline)/2)
	}
	return &watch{
		timer: time.AfterFunc(limit, func() { cancel(errQuiet) }),
		gap:   max(leastQuiet, times(c.route.Gap, gapQuiet)),
	}
}

func times(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

const (
	crashDial = 300 * time.Millisecond
	crashHold = time.Minute // how long a request that crashed two upstreams is refused, at the most
)

// blame finds out whether the upstream's process is gone. Then c may be the reason.
func (f *Forwarder) blame(c *Call, h *chosen) {
	p := c.print()
	if p == 0 || f.Roster.Leaving(h.u.Name) {
		return
	}
	conn, err := net.DialTimeout("tcp", h.u.Address, crashDial)
	if err == nil {
		conn.Close()
		return
	}
	h.u.Work.Trip(clock.Boot())
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	hold := min(crashHold, c.config.Seconds(policy.Quarantine, c.customer.ID, c.service.ID))
	refused := f.Quarantine.Crash(clock.Boot(), p, hold)
	klog.InfoS("Upstream crashed", "upstream", h.u.Name, "address", h.u.Address, "request", c.ID, "refused", refused)
	if f.Crashed != nil {
		f.Crashed(p, hold)
	}
}

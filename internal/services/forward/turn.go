package forward

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

// chooseInTurn chooses one of the eligible upstreams with pick, takes a slot of it if it has named a limit, and adds c to its load. If
// the limits leave none, it waits for a slot of this VM as far as that helps c, and refuses c otherwise.
func (f *Forwarder) chooseInTurn(
	ctx context.Context, c *Call, p *progress, want func(*roster.Upstream) bool, pick func([]*roster.Upstream) (*selection, error),
) (*selection, error) {
	for {
		list, wait := f.eligible(c, p, want)
		if wait > 0 {
			if wait > f.maxSlotWait(c, p) || !pause.For(ctx, wait) {
				klog.InfoS("Request rejected: every upstream has what it takes", "request", c.ID, "service", c.service.ID, "next", wait)
				return nil, refuse(http.StatusServiceUnavailable, call.Busy, "every upstream of "+string(c.service.ID)+" has what it takes").
					WithRetryAfter(AddJitter(min(maxRetryAfter, max(minRetryAfter, wait)), c.ID))
			}
			continue
		}
		sel, err := pick(list)
		if err != nil {
			return nil, err
		}
		if f.Pace.Take(clock.SinceBoot(), sel.u) {
			return sel.acquire(), nil
		}
	}
}

// maxSlotWait returns how long c may wait for a slot. A request that no upstream has had is refused soon, so that its caller can try
// elsewhere; one that has begun would be lost.
func (f *Forwarder) maxSlotWait(c *Call, p *progress) time.Duration {
	if p.answerBegun || c.sent {
		return time.Until(c.deadline) - minRetryTime
	}
	return c.route.Objective / slotWaitDivisor
}

// slotWaitDivisor bounds the wait of a request for a slot to objective/slotWaitDivisor.
const slotWaitDivisor = 4

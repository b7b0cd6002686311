package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
)

const (
	coincidenceHold = time.Minute           // how long a request is refused that may only have run on upstreams which crashed for another reason
	crashCheckWait  = 20 * time.Millisecond // maximum delay of a retry by the check whether the upstream crashed
)

// quarantined returns for how much longer c is refused because it crashed the upstreams that ran it.
func (f *Forwarder) quarantined(c *Call) (time.Duration, bool) {
	long := c.config.ResolveDuration(policy.Quarantine, c.customer.ID, c.service.ID)
	return f.Quarantine.Refused(clock.SinceBoot(), c.print(), suspect.Hold{Short: min(coincidenceHold, long), Long: long})
}

// checkCrash has the detector look whether the upstream of a failed attempt crashed. If the attempt may be retried, it waits
// for the result, so that the retry does not crash another upstream.
func (f *Forwarder) checkCrash(ctx context.Context, c *Call, sel *selection) {
	if f.Roster.Leaving(sel.u.Name) {
		return
	}
	done := f.Detector.Probe(sel.u)
	if !c.repeatable() {
		return
	}
	timeout := time.NewTimer(crashCheckWait)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func logQuarantined(c *Call, crashes int, left time.Duration) {
	klog.InfoS("Request rejected: it crashed the upstreams that ran it", "request", c.ID, "fingerprint", c.print(), "crashes", crashes, "for", left)
}

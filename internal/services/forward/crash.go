package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/services/quarantine"
)

const (
	coincidenceHold = time.Minute           // how long a request is refused that may only have run on upstreams which crashed for another reason
	crashCheckWait  = 20 * time.Millisecond // maximum delay of a retry by the check whether the upstream crashed
)

// quarantined returns for how much longer c is refused because it, or requests with a part of its prompt, crashed the upstreams that
// ran them.
func (f *Forwarder) quarantined(c *Call) (time.Duration, bool) {
	return f.Quarantine.Refused(clock.SinceBoot(), c.suspect(), f.hold(c))
}

func (f *Forwarder) hold(c *Call) suspect.Hold {
	long := c.config.ResolveDuration(policy.Quarantine, c.customer.ID, c.service.ID)
	return suspect.Hold{Short: min(coincidenceHold, long), Long: long}
}

// suspect returns what identifies c among requests that crash upstreams.
func (c *Call) suspect() quarantine.Request {
	return quarantine.Request{Print: c.print(), Parts: c.SharedParts}
}

// runAt returns the run of c at the upstream of sel.
func (c *Call) runAt(sel *selection) quarantine.Run {
	return quarantine.Run{Request: c.suspect(), SentAt: sel.sentAt}
}

// checkCrash has the detector look whether the upstream of a failed attempt crashed. If the attempt may be retried, it waits
// for the result, so that the retry does not crash another upstream.
func (f *Forwarder) checkCrash(ctx context.Context, c *Call, sel *selection) {
	if f.Roster.Leaving(sel.u.Name, sel.u.Incarnation) {
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

func (f *Forwarder) logQuarantined(c *Call, left time.Duration) {
	part, crashes := f.Quarantine.RefusedPart(clock.SinceBoot(), c.suspect(), f.hold(c))
	if part != 0 {
		klog.InfoS("Request rejected: a part of its prompt crashed the upstreams", "request", c.ID, "part", part, "crashes", crashes, "for", left)
		return
	}
	klog.InfoS("Request rejected: it crashed the upstreams that ran it", "request", c.ID, "fingerprint", c.print(), "crashes", len(f.Quarantine.Crashes(c.print())), "for", left)
}

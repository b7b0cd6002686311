package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

const (
	headerIncarnation = "Wagtaillift-Incarnation"

	probeTimeout = 300 * time.Millisecond // for all probes together
	// An exiting process closes its sockets one by one, within milliseconds, so the upstream is probed several times.
	maxProbes     = 3
	probeInterval = 20 * time.Millisecond
)

// crashed reports whether the upstream's process has exited. One probe is not enough: an exiting process may still accept a
// connection after it has closed its streams.
func (d *Dispatcher) crashed(u *roster.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range maxProbes {
		if d.processGone(ctx, u) {
			return true
		}
		if !pause.For(ctx, probeInterval) {
			return false
		}
	}
	return false
}

// processGone reports whether the upstream refuses connections, or responds as another incarnation. A response that names no incarnation, or
// several, tells nothing.
func (d *Dispatcher) processGone(ctx context.Context, u *roster.Upstream) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := d.Client.Probe(r)
	if err != nil {
		return dialFailed(err)
	}
	defer resp.Body.Close()
	named := resp.Header.Values(headerIncarnation)
	if len(named) != 1 {
		return false
	}
	n, err := strconv.ParseUint(named[0], 10, 64)
	return err == nil && n != u.Incarnation
}

// checkQuarantine returns the refusal of a request that crashed the upstreams that ran it. It is called at the start of a
// call and again right before each send, because the call may have waited in between.
func (d *Dispatcher) checkQuarantine(c *call.Call, p quarantine.Fingerprint) error {
	wait, refused := d.quarantined(c, p)
	if !refused {
		return nil
	}
	return call.Refuse(http.StatusUnprocessableEntity, call.Quarantined, step, "this request crashed the upstreams that ran it").WithRetryAfter(wait)
}

// quarantined returns for how much longer c is refused because it, or calls with a part of its prompt, crashed the upstreams that ran
// them.
func (d *Dispatcher) quarantined(c *call.Call, p quarantine.Fingerprint) (time.Duration, bool) {
	duration := d.hold(c)
	return d.Quarantine.Refused(clock.SinceBoot(), newSuspect(c, p), suspect.Hold{Short: duration, Long: duration})
}

// newSuspect returns what identifies c among requests that crash upstreams.
func newSuspect(c *call.Call, p quarantine.Fingerprint) quarantine.Request {
	return quarantine.Request{Print: p, Parts: c.SharedParts}
}

// hold returns how long c is refused if it crashed its upstreams. Since suspects run isolated, the second crash of one is not
// a coincidence.
func (d *Dispatcher) hold(c *call.Call) time.Duration {
	return c.Config.ResolveDuration(policy.Quarantine, c.Customer, c.Service.ID)
}

// recordEnd records an attempt without a complete answer, in case u turns out to have crashed.
func (d *Dispatcher) recordEnd(c *call.Call, u *roster.Upstream, pr *progress, p quarantine.Fingerprint) {
	if pr.now {
		d.Detector.Ended(clock.SinceBoot(), u, quarantine.Run{Request: newSuspect(c, p), SentAt: pr.sentAt})
	}
}

package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/services/quarantine"
)

// silenceTimer cancels an attempt after a silence of the upstream, if the call can be retried on another one.
type silenceTimer struct {
	timer *time.Timer   // nil for the last attempt, which is not cancelled
	gap   time.Duration // maximum silence after an event
}

// silenceTimer returns the timer of c's next attempt. The last attempt has no timer, because no retry would follow.
func (f *Forwarder) silenceTimer(c *Call, p *progress, cancel context.CancelCauseFunc) *silenceTimer {
	if !c.repeatable() || p.possibleRuns+1 >= c.route.MaxAttempts {
		return &silenceTimer{}
	}
	limit := max(minSilenceTimeout, scaleDuration(c.route.Objective, firstEventTimeoutFactor))
	if c.route.Kind == route.Safe {
		limit = max(scaleDuration(c.route.Objective, safeTimeoutFactor), time.Until(c.deadline)/2)
	}
	return &silenceTimer{
		timer: time.AfterFunc(limit, func() { cancel(errSilent) }),
		gap:   max(minSilenceTimeout, scaleDuration(c.route.GapObjective, gapTimeoutFactor)),
	}
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

func (w *silenceTimer) reset() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

func (w *silenceTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

const (
	crashDialTimeout = 300 * time.Millisecond
	coincidenceHold  = time.Minute // how long a request is refused that may only have run on upstreams which crashed for another reason
)

// Results of a check whether an upstream crashed.
const (
	checkRefused     = "refused"     // the connection was refused: the process is gone
	checkAccepted    = "accepted"    // the upstream accepted a connection
	checkUnreachable = "unreachable" // no answer to the connection attempt
	checkLeaving     = "leaving"     // not checked: the upstream has announced its departure
	checkUnwanted    = "unwanted"    // not checked: the caller or the deadline ended the attempt
)

// logCrashCheck logs and counts the result of a check.
func (f *Forwarder) logCrashCheck(c *Call, sel *selection, result string) {
	metrics.GetOrCreateCounter(`wagtaillift_crash_checks_total{result="` + result + `"}`).Inc()
	klog.InfoS("Crash check", "upstream", sel.u.Name, "incarnation", sel.u.Incarnation, "request", c.ID, "fingerprint", c.print(), "result", result)
}

// checkCrash connects to the upstream of a failed attempt. If that fails, the circuit is opened. If the connection is
// refused, the upstream's process is gone, and c is recorded in the quarantine list as a possible cause.
func (f *Forwarder) checkCrash(c *Call, sel *selection) {
	p := c.print()
	if f.Roster.Leaving(sel.u.Name) {
		f.logCrashCheck(c, sel, checkLeaving)
		return
	}
	conn, err := net.DialTimeout("tcp", sel.u.Address, crashDialTimeout)
	if err == nil {
		f.logCrashCheck(c, sel, checkAccepted)
		conn.Close()
		return
	}
	sel.u.Stats.OpenCircuit(clock.SinceBoot())
	if !errors.Is(err, syscall.ECONNREFUSED) {
		f.logCrashCheck(c, sel, checkUnreachable)
		return
	}
	f.logCrashCheck(c, sel, checkRefused)
	r := f.Quarantine.RecordCrash(clock.SinceBoot(), sel.u.Name, sel.u.Incarnation, map[quarantine.Fingerprint]time.Duration{p: sel.sentAt})
	_, refused := f.quarantined(c)
	klog.InfoS("Upstream crashed", "upstream", sel.u.Name, "address", sel.u.Address, "request", c.ID, "fingerprint", p, "crashes", len(f.Quarantine.Crashes(p)), "refused", refused)
	f.share(r)
}

// recordCompletion clears c of the crashes that it was suspected of.
func (f *Forwarder) recordCompletion(c *Call, sel *selection) {
	if r, cleared := f.Quarantine.RecordCompletion(clock.SinceBoot(), sel.u.Name, sel.u.Incarnation, c.print()); cleared {
		klog.InfoS("Suspect completed", "upstream", sel.u.Name, "request", c.ID, "fingerprint", c.print())
		f.share(r)
	}
}

func (f *Forwarder) share(r suspect.Report) {
	if f.Share != nil {
		f.Share(r)
	}
}

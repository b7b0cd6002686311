package forward

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

// silenceRecheck is the time after which a silent upstream, for which nothing could take over, is judged again.
const silenceRecheck = 100 * time.Millisecond

// silenceTimer cancels an attempt after a silence of the upstream, if the call can be retried on another one.
type silenceTimer struct {
	timer *time.Timer   // nil for the last attempt, which is not cancelled
	gap   time.Duration // maximum silence after an event
	begun atomic.Bool   // an event has arrived
}

// silenceTimer returns the timer of c's next attempt, at sel. The last attempt has no timer, because no retry would follow. While no
// retry is left in the budget or no other upstream may take the call, a silent upstream is waited for: it may be slow.
func (f *Forwarder) silenceTimer(ctx context.Context, c *Call, sel *selection, p *progress, cancel context.CancelCauseFunc) *silenceTimer {
	if !c.repeatable() || p.possibleRuns+1 >= c.route.MaxAttempts {
		return &silenceTimer{}
	}
	limit := max(minSilenceTimeout, scaleDuration(c.route.Objective, firstEventTimeoutFactor))
	if c.route.Kind == route.Safe {
		limit = max(scaleDuration(c.route.Objective, safeTimeoutFactor), time.Until(c.deadline)/2)
	}
	w := &silenceTimer{gap: max(minSilenceTimeout, scaleDuration(c.route.GapObjective, gapTimeoutFactor))}
	w.begun.Store(c.begun)
	service, budget, burst := c.service.ID, f.retryBudget(c), f.retryBurst()
	tried := maps.Clone(p.tried) // the next attempt may add to it while the timer runs
	w.timer = time.AfterFunc(time.Hour, func() {
		switch {
		case ctx.Err() != nil:
		case budget.Room(burst) && f.otherLeft(f.Roster.Snapshot().Services[service], sel.u, tried, w.begun.Load()):
			cancel(errSilent)
		default:
			klog.V(1).InfoS("Silent upstream is waited for", "request", c.ID, "upstream", sel.u.Name)
			w.timer.Reset(silenceRecheck)
		}
	})
	w.timer.Reset(limit)
	return w
}

// otherLeft reports whether list has an upstream that can take over from the present one now. A stream that has begun goes on at its
// version only.
func (f *Forwarder) otherLeft(list []*roster.Upstream, present *roster.Upstream, tried map[id.Upstream]bool, begun bool) bool {
	now := clock.SinceBoot()
	for _, u := range list {
		if tried[u.Name] || u.Role == engine.Prefill || begun && u.Version != present.Version {
			continue
		}
		if f.Pace.Wait(now, u) == 0 && !u.Stats.CircuitOpen(now) {
			return true
		}
	}
	return false
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// reset is called when an event has arrived.
func (w *silenceTimer) reset() {
	if w.timer != nil {
		w.begun.Store(true)
		w.timer.Reset(w.gap)
	}
}

func (w *silenceTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

package forward

import (
	"context"
	"time"

	"wagtaillift/internal/models/route"
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

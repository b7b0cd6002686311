package dispatch

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

const (
	stallTimeout   = 4 * streamIdleTimeout  // without a token after which an engine that sends other bytes counts as silent
	silenceRecheck = 100 * time.Millisecond // after which a silent engine that nothing could take over from is judged again
)

// silenceTimer ends an attempt whose engine has fallen silent. An engine that only sends comments is silent after stallTimeout.
type silenceTimer struct {
	timer *time.Timer
	start time.Time
	token time.Duration // of the latest token since start, or zero
	end   atomic.Int64  // of the silence that is waited for, as a time.Duration since start. It only grows
	begun atomic.Bool   // a token has arrived
}

// newSilenceTimer returns a timer that runs from now. It calls leave after a silence, and again until leave reports that the attempt
// was ended.
func newSilenceTimer(leave func(begun bool) bool) *silenceTimer {
	w := &silenceTimer{start: time.Now()}
	w.end.Store(int64(streamIdleTimeout))
	w.timer = time.AfterFunc(time.Hour, func() {
		if left := time.Duration(w.end.Load()) - time.Since(w.start); left > 0 {
			w.timer.Reset(left)
		} else if !leave(w.begun.Load()) {
			w.timer.Reset(silenceRecheck)
		}
	})
	w.timer.Reset(streamIdleTimeout)
	return w
}

// received is called after a block of the stream; tokens reports whether it brought one. It leaves the timer as it is, which is cheaper
// than a reset for each block.
func (w *silenceTimer) received(tokens bool) {
	now := time.Since(w.start)
	if tokens {
		w.token = now
		if !w.begun.Load() {
			w.begun.Store(true)
		}
	}
	w.end.Store(int64(min(now+streamIdleTimeout, w.token+stallTimeout)))
}

func (w *silenceTimer) stop() { w.timer.Stop() }

// leaveSilent returns the function with which a silenceTimer ends c's attempt at u: by cancel, if a further attempt is allowed and another
// engine may go on. Otherwise the engine may just be slow, and is waited for until the deadline.
func (d *Dispatcher) leaveSilent(ctx context.Context, c *call.Call, u *roster.Upstream, pr *progress, tried map[id.Upstream]bool, cancel context.CancelFunc) func(begun bool) bool {
	last, began := pr.attempts >= maxAttempts, pr.tokens > 0
	tried = maps.Clone(tried) // the next attempt may add to it while the timer runs
	return func(begun bool) bool {
		if ctx.Err() != nil {
			return true
		}
		list := d.Roster.Snapshot().Models[c.Service.Model]
		if last || !d.budgets.Get(budgetOf(c)).Room(retryBudgetBurst) || !otherLeft(list, u, tried, began || begun) {
			return false
		}
		cancel()
		return true
	}
}

// otherLeft reports whether list has an engine that can take over from the present one. A stream that has begun goes on at its version
// only.
func otherLeft(list []*roster.Upstream, present *roster.Upstream, tried map[id.Upstream]bool, begun bool) bool {
	now := clock.SinceBoot()
	for _, u := range list {
		other := u.Name != present.Name && !tried[u.Name] && u.Role != engine.Prefill
		if other && (!begun || u.Version == present.Version) && !u.Stats.CircuitOpen(now) {
			return true
		}
	}
	return false
}

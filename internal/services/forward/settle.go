package forward

import (
	"context"
	"time"

	"wagtaillift/internal/modules/clock"
)

const (
	// settleMost is how long a call waits at a VM that just started: an election after a restart of the whole fleet
	// takes up to twice the 400 ms of silence that precede one.
	settleMost = 800 * time.Millisecond
	// settlePart bounds that wait to a part of the caller's patience, as a refusal must leave time to come back.
	settlePart = 4
	settleStep = 10 * time.Millisecond
)

// settle waits for the first configuration and the first lease of a VM that just started. It answers a restart of many
// VMs at once: refused calls would come back before there is a leader, and be refused again. A VM that has had a lease
// does not wait, as nobody knows for how long it is cut off.
func (f *Forwarder) settle(ctx context.Context, c *Call) {
	if f.settled.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait(c.Patience))
	defer cancel()
	t := time.NewTicker(settleStep)
	defer t.Stop()
	for {
		c.config = f.Config()
		if c.config.Version > 0 && f.Guard.Leased(clock.Boot(), 0) {
			f.settled.Store(true)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// settleWait returns the time for which a call of this patience may wait; zero patience is none stated.
func settleWait(patience time.Duration) time.Duration {
	if patience <= 0 {
		return settleMost
	}
	return min(settleMost, patience/settlePart)
}

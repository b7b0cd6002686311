package forward

import (
	"context"
	"time"

	"wagtaillift/internal/modules/clock"
)

const (
	// maxLeaseWait is how long a call waits on a VM that just started. After a restart of the whole fleet, an election
	// takes up to twice the 400 ms of silence that precede it.
	maxLeaseWait = 800 * time.Millisecond
	// leaseWaitDivisor limits the wait to a fraction of the caller's timeout, so that time is left for a retry.
	leaseWaitDivisor  = 4
	leasePollInterval = 10 * time.Millisecond
)

// waitForLease waits for the first configuration and the first lease of a VM that just started. When many VMs restart
// at once, callers refused immediately would retry before there is a leader and be refused again. A VM that had a lease
// before does not wait, because the length of its isolation is unknown.
func (f *Forwarder) waitForLease(ctx context.Context, c *Call) {
	if f.hadLease.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseWait(c.CallerTimeout))
	defer cancel()
	t := time.NewTicker(leasePollInterval)
	defer t.Stop()
	for {
		c.config = f.Config()
		if c.config.Version > 0 && f.Guard.Leased(clock.SinceBoot(), 0) {
			f.hadLease.Store(true)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// leaseWait returns how long a call may wait. A zero callerTimeout means that the caller gave no timeout.
func leaseWait(callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return maxLeaseWait
	}
	return min(maxLeaseWait, callerTimeout/leaseWaitDivisor)
}

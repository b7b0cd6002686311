package authority

import (
	"cmp"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/lease"
)

// Timing is how fast a fleet notices what has failed.
type Timing struct {
	Lease    time.Duration // how long a VM may serve keyed calls after a report
	Election time.Duration // least silence of a leader before another is elected
	Apply    time.Duration // within which a confirmed change is in force on every VM that serves; zero means Lease
	Spare    time.Duration // absence after which a voter gives way to a learner that has caught up
}

// DefaultTiming suits fleets whose data centres are far from each other.
var DefaultTiming = Timing{Lease: 15 * time.Second, Election: time.Second, Spare: time.Minute}

// The most that the derived times may be. Shorter leases shorten them.
const (
	mostReportEvery = 500 * time.Millisecond
	mostFeedWait    = time.Second
	mostFeedSlack   = 500 * time.Millisecond
	mostCall        = 1500 * time.Millisecond
)

func (t Timing) filled() Timing {
	return Timing{
		Lease:    cmp.Or(t.Lease, DefaultTiming.Lease),
		Apply:    cmp.Or(t.Apply, t.Lease, DefaultTiming.Lease),
		Election: cmp.Or(t.Election, DefaultTiming.Election),
		Spare:    cmp.Or(t.Spare, DefaultTiming.Spare),
	}
}

// reportEvery is the time between two reports: a dozen fit into a lease, so that some may be lost.
func (t Timing) reportEvery() time.Duration {
	return max(2*reportGap, min(mostReportEvery, t.Lease/12))
}

// feedWait is how long a relay keeps a follower waiting for news.
func (t Timing) feedWait() time.Duration { return min(mostFeedWait, t.Lease/6) }

// feedSlack is after what time beyond feedWait a relay that does not answer is left.
func (t Timing) feedSlack() time.Duration { return min(mostFeedSlack, t.Lease/12) }

// call bounds a call towards the leader: a lost one leaves time for others inside the lease.
func (t Timing) call() time.Duration { return min(mostCall, t.Lease/5) }

// fleetClock is the time of day that the fleet agrees on. The clock of one VM may be stepped; what counts is the median
// of what the VMs read when they started, carried on by their steady clocks.
type fleetClock struct {
	own    time.Duration // this VM's reading less its steady clock, at its start
	offset atomic.Int64  // agreed time less this VM's steady clock, nanoseconds since 1970
}

func (c *fleetClock) start(wall time.Time, boot time.Duration) {
	c.own = time.Duration(wall.UnixNano()) - boot
	c.offset.Store(int64(c.own))
}

// set takes the leader's answer to a report that was sent at sent.
func (c *fleetClock) set(wall, sent time.Duration) {
	if wall > 0 {
		c.offset.Store(int64(wall - sent))
	}
}

// Wall returns the fleet's time of day when this VM's steady clock shows now.
func (a *Authority) Wall(now time.Duration) time.Time {
	return time.Unix(0, a.wall.offset.Load()+int64(now))
}

// applyMargin is the part of Apply that covers requests on their way and the drift of clocks.
const applyMargin = 0.1

// silence returns how long a VM must have been silent so that its lease ends within Apply from now on.
func (t Timing) silence() time.Duration {
	return max(0, t.Lease-t.Apply+time.Duration(applyMargin*float64(t.Apply)))
}

// ended returns when the lease of a VM that was last heard at at has surely ended.
func (t Timing) ended(at time.Duration) time.Duration { return lease.EndedAt(at, t.Lease) }

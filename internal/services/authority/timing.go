package authority

import (
	"cmp"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/lease"
)

// Timing sets how fast a fleet detects failures.
type Timing struct {
	Lease             time.Duration // time for which a VM may serve requests with an API key after a report
	ElectionTimeout   time.Duration // minimum silence of a leader before another is elected
	ApplyBound        time.Duration // time within which every serving VM has applied a confirmed change; zero means Lease
	ReplaceVoterAfter time.Duration // silence after which a learner that has caught up takes a voter's place
}

// DefaultTiming suits fleets whose data centres are far from each other.
var DefaultTiming = Timing{Lease: 15 * time.Second, ElectionTimeout: time.Second, ReplaceVoterAfter: time.Minute}

// Upper bounds of the times that are derived from the lease; a short lease makes them shorter.
const (
	maxReportInterval = 500 * time.Millisecond
	maxFeedWait       = time.Second
	maxFeedGrace      = 500 * time.Millisecond
	maxCallTimeout    = 1500 * time.Millisecond
)

// minLinkRate is the lowest rate of a link, in bytes a second, at which a large message still arrives.
const minLinkRate = 256 << 10

// withDefaults returns t with zero fields replaced by their defaults.
func (t Timing) withDefaults() Timing {
	return Timing{
		Lease:             cmp.Or(t.Lease, DefaultTiming.Lease),
		ApplyBound:        cmp.Or(t.ApplyBound, t.Lease, DefaultTiming.Lease),
		ElectionTimeout:   cmp.Or(t.ElectionTimeout, DefaultTiming.ElectionTimeout),
		ReplaceVoterAfter: cmp.Or(t.ReplaceVoterAfter, DefaultTiming.ReplaceVoterAfter),
	}
}

// reportInterval is the time between two reports. A lease covers a dozen of them, so that some may be lost.
func (t Timing) reportInterval() time.Duration {
	return max(2*minReportInterval, min(maxReportInterval, t.Lease/12))
}

// feedWait is how long a relay delays its answer to a follower when there are no new entries.
func (t Timing) feedWait() time.Duration { return min(maxFeedWait, t.Lease/6) }

// feedGrace is how long after feedWait a follower gives up on a relay that has not answered.
func (t Timing) feedGrace() time.Duration { return min(maxFeedGrace, t.Lease/12) }

// call returns the timeout of a call towards the leader. It is a fifth of the lease at most, so that after a lost call
// there is time for others within the lease.
func (t Timing) call() time.Duration { return min(maxCallTimeout, t.Lease/5) }

// send returns the timeout of a call that carries n bytes of the log. With the timeout of other calls they would never arrive over a slow link,
// however often they are sent.
func (t Timing) send(n int) time.Duration {
	return t.call() + time.Duration(n)*time.Second/minLinkRate
}

// fleetClock is the agreed time of day of the fleet. The clock of a single VM may be stepped, so the fleet uses the
// median of the wall clocks that the VMs read at their start, advanced by their boot clocks.
type fleetClock struct {
	startOffset time.Duration // this VM's wall clock less its boot clock, read at its start
	offset      atomic.Int64  // agreed time less this VM's boot clock, nanoseconds since the Unix epoch
}

func (c *fleetClock) start(wall time.Time, boot time.Duration) {
	c.startOffset = time.Duration(wall.UnixNano()) - boot
	c.offset.Store(int64(c.startOffset))
}

// set updates the offset from the agreed time in a grant; sent is the send time of the report.
func (c *fleetClock) set(wall, sent time.Duration) {
	if wall > 0 {
		c.offset.Store(int64(wall - sent))
	}
}

// FleetTime returns the fleet's time of day at now, a time by this VM's boot clock.
func (a *Agent) FleetTime(now time.Duration) time.Time {
	return time.Unix(0, a.fleetTime.offset.Load()+int64(now))
}

// applyMargin is the fraction of ApplyBound reserved for requests in flight and clock drift.
const applyMargin = 0.1

// minSilence returns how long a VM must already have been silent for its lease to end within ApplyBound from now.
func (t Timing) minSilence() time.Duration {
	return max(0, t.Lease-t.ApplyBound+time.Duration(applyMargin*float64(t.ApplyBound)))
}

// leaseEnd returns when the lease of a VM that was last seen at lastSeen has ended even under the largest clock drift.
func (t Timing) leaseEnd(lastSeen time.Duration) time.Duration {
	return lease.EndedAt(lastSeen, t.Lease)
}

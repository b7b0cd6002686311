package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 500) }

const (
	testLeaseDuration = 6 * time.Second
	testClockDrift    = 200e-6 // largest relative rate error of a clock
)

// driftingClock is a VM's clock with its own offset and rate.
type driftingClock struct {
	offset time.Duration
	rate   float64
}

func (c driftingClock) read(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// simVM is a VM that competes for the lease and, acting as leader, expires it.
type simVM struct {
	vm          id.VM
	clock       driftingClock
	pausedUntil time.Duration // simulation time
	heldUntil   time.Duration // own clock
	fence       id.Fence
	observed    lease.Lease   // last state of the lease that it read
	observedAt  time.Duration // own clock
}

// event is a function scheduled at a simulation time.
type event struct {
	at  time.Duration
	run func()
}

// leaseSim runs VMs against one log. Commands commit after a delay, answers arrive after another delay or are lost,
// and VMs pause at any point.
type leaseSim struct {
	t      *rapid.T
	rnd    *rand.Rand
	real   time.Duration // simulation time
	index  id.Index
	m      *Machine
	vms    []*simVM
	events []event
}

func (c *leaseSim) delay() time.Duration {
	if c.rnd.IntN(10) == 0 {
		return time.Duration(c.rnd.IntN(9000)) * time.Millisecond
	}
	return time.Duration(c.rnd.IntN(20)) * time.Millisecond
}

func (c *leaseSim) schedule(d time.Duration, f func()) {
	c.events = append(c.events, event{c.real + d, f})
}

// whenAwake runs f once x is no longer paused.
func (c *leaseSim) whenAwake(x *simVM, f func()) {
	if c.real < x.pausedUntil {
		c.schedule(x.pausedUntil-c.real, func() { c.whenAwake(x, f) })
		return
	}
	f()
}

func (c *leaseSim) commit(cmd Command) Result {
	data, err := cmd.Encode()
	require.NoError(c.t, err)
	c.index++
	return c.m.Apply(c.index, data)
}

// acquire requests the lease the same way as services/order.
func (c *leaseSim) acquire(x *simVM) {
	requestedAt := x.clock.read(c.real)
	c.schedule(c.delay(), func() {
		r := c.commit(Command{Acquire: &Acquire{Name: "platform", VM: x.vm, Incarnation: 1, Duration: testLeaseDuration}})
		if r.Code != OK || c.rnd.IntN(10) == 0 {
			return // rejected, or the answer is lost
		}
		l := *r.Lease
		c.schedule(c.delay(), func() {
			c.whenAwake(x, func() {
				if l.Fence < x.fence {
					return // a late answer about an earlier grant
				}
				x.heldUntil = max(x.heldUntil, lease.HeldUntil(requestedAt, l.Duration))
				x.fence = l.Fence
			})
		})
	})
}

// expire frees a lease that was not renewed in time, the same way as the leader in services/authority.
func (c *leaseSim) expire(x *simVM) {
	now := x.clock.read(c.real)
	l, ok := c.m.Lease("platform")
	if !ok {
		return
	}
	if l != x.observed {
		x.observed, x.observedAt = l, now
		return
	}
	if now > lease.EndedAt(x.observedAt, l.Duration) {
		c.schedule(c.delay(), func() {
			c.commit(Command{Expire: &Expire{Name: l.Name, Fence: l.Fence, Renewal: l.Renewal}})
		})
	}
}

// step advances the simulation by 20 ms.
func (c *leaseSim) step() {
	c.real += 20 * time.Millisecond
	var due []event
	var rest []event
	for _, e := range c.events {
		if e.at <= c.real {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	c.events = rest
	for _, e := range due {
		e.run()
	}
	for _, x := range c.vms {
		switch {
		case c.real < x.pausedUntil:
		case c.rnd.IntN(400) == 0:
			x.pausedUntil = c.real + time.Duration(c.rnd.IntN(12000))*time.Millisecond
		case c.rnd.IntN(20) == 0:
			c.acquire(x)
		case c.rnd.IntN(5) == 0:
			c.expire(x)
		}
	}
}

// TestLeaseNeverHasTwoHolders checks that no two VMs act as holder of the lease at the same time, each by its own
// clock, despite pauses, lost and late answers and a clock drift of 200 ppm, and that the holder has the current
// fencing number.
func TestLeaseNeverHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &leaseSim{t: t, m: New(), rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		for i := range 3 {
			c.vms = append(c.vms, &simVM{vm: id.VM(fmt.Sprint("vm", i)), clock: driftingClock{
				offset: time.Duration(c.rnd.Int64N(int64(time.Hour))), rate: 1 + (2*c.rnd.Float64()-1)*testClockDrift,
			}})
		}
		held := 0
		for range 4000 {
			c.step()
			var holder *simVM
			for _, x := range c.vms {
				if x.clock.read(c.real) >= x.heldUntil {
					continue
				}
				require.Nil(t, holder, "two holders at %v", c.real)
				holder = x
				held++
			}
			if l, ok := c.m.Lease("platform"); ok && holder != nil {
				require.Equal(t, l.Fence, holder.fence)
			}
		}
		require.Positive(t, held, "the lease was never held")
	})
}

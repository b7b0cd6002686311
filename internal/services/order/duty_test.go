package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
	"wagtaillift/internal/services/emulate"
	"wagtaillift/internal/services/roster"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

const (
	dutyLength    = 40 * time.Second
	dutyLease     = 3 * time.Second
	longestFault  = 6 * time.Second
	afterFault    = 300 * time.Millisecond // calls that are written or arrive so soon after a pause or cut of their sender don't count
	dutyVMCount   = 3
	usualStep     = 3 * time.Millisecond
	usualDelivery = 20 * time.Millisecond
)

// dutySim runs the services of some VMs on one log, by the clock of synctest. VMs pause at every step of a call, are cut off, killed,
// stopped and started again; their clocks drift and step; calls are under way for up to tcpUserTimeout. The platform and the engine accept
// everything.
type dutySim struct {
	log   sharedLog
	mu    sync.Mutex
	rnd   *rand.Rand
	start time.Time
	waits waits
	calm  bool // no faults
	acts  emulate.Acts
}

// draw returns a random duration below d.
func (s *dutySim) draw(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rnd.Int64N(int64(d)))
}

// dutyVM is one VM. It implements ControlPlane, Platform and Engines.
type dutyVM struct {
	*dutySim
	name         id.VM
	incarnation  id.Incarnation
	rate         float64
	wall         atomic.Int64 // error of its time of day, in nanoseconds
	thawed, heal time.Time
	slow         atomic.Bool // its calls are under way for as long as the kernel tries
}

func (v *dutyVM) get(t *time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *t
}

func (v *dutyVM) set(t *time.Time, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next := time.Now().Add(d); next.After(*t) {
		*t = next
	}
}

// step is a step of the VM's work, at which it may be paused.
func (v *dutyVM) step() {
	if v.calm {
		time.Sleep(v.draw(usualStep))
		return
	}
	if v.draw(500) == 0 {
		v.set(&v.thawed, v.draw(longestFault))
	}
	d := v.draw(usualStep)
	if v.draw(20) == 0 {
		d = v.draw(writeAllowance) // little processor time
	}
	time.Sleep(d)
	for d = time.Until(v.get(&v.thawed)); d > 0; d = time.Until(v.get(&v.thawed)) {
		time.Sleep(d)
	}
}

func (v *dutyVM) sinceBoot() time.Duration {
	v.step()
	return time.Hour + time.Duration(float64(time.Since(v.start))*v.rate)
}

// travel waits for the way of a message and reports whether it arrives. Cuts hold messages; what is held for long is lost.
func (v *dutyVM) travel() bool {
	d := v.draw(usualDelivery)
	if !v.calm && v.draw(10) == 0 {
		d = v.draw(tcpUserTimeout)
	}
	time.Sleep(d)
	wait := time.Until(v.get(&v.heal))
	if wait > 0 && d+wait > tcpUserTimeout {
		return false
	}
	time.Sleep(wait)
	return true
}

// call is one call under a lease, as Sender makes it: checked at its begin and right before the bytes leave.
func (v *dutyVM) call(subject string, f id.Fence, check func() bool) error {
	if !check() {
		return errNotSent
	}
	v.step()
	if !check() {
		return errNotSent
	}
	v.step()
	excused := func() bool {
		return time.Since(v.get(&v.thawed)) < afterFault || time.Since(v.get(&v.heal)) < afterFault
	}
	a, answered := emulate.Act{Holder: v.name, Fence: f, Excused: excused()}, make(chan bool, 1)
	go func() {
		if v.slow.Load() {
			time.Sleep(tcpUserTimeout - usualDelivery)
		}
		if !v.travel() {
			return
		}
		a.At, a.Excused = time.Now(), a.Excused || excused()
		v.acts.Add(subject, a)
		answered <- v.travel()
	}()
	select {
	case <-answered:
		v.step()
		return nil
	case <-time.After(sendTimeout):
		v.step()
		return errors.New("no answer")
	}
}

func (v *dutyVM) VM() id.VM                                { return v.name }
func (v *dutyVM) Zone() id.Zone                            { return "a" }
func (v *dutyVM) Incarnation() id.Incarnation              { return v.incarnation }
func (v *dutyVM) State() *state.Machine                    { return v.log.machine }
func (v *dutyVM) IsControlVM() bool                        { return true }
func (v *dutyVM) Leased(time.Duration, time.Duration) bool { return true }

func (v *dutyVM) Propose(_ context.Context, c state.Command) (state.Result, error) {
	v.step()
	if !v.travel() {
		return state.Result{}, errors.New("lost")
	}
	r, err := v.log.propose(c)
	if !v.travel() {
		err = errors.New("answer lost")
	}
	v.step()
	return r, err
}

func (v *dutyVM) Report(_ context.Context, _ id.VM, f id.Fence, _ usage.Report, check func() bool) error {
	return v.call("usage", f, check)
}

func (v *dutyVM) Scale(_ context.Context, _ id.VM, f id.Fence, _ UpstreamCount, check func() bool) error {
	return v.call("scale", f, check)
}

func (v *dutyVM) Send(_ context.Context, _ id.VM, _ engine.Announcement, o order.Order, check func() bool) error {
	return v.call("engine", o.Fence, check)
}

func (v *dutyVM) Accepted(context.Context, engine.Announcement, order.Order) (bool, error) {
	return v.draw(2) == 0, nil
}

// serve runs a service of the VM until ctx ends, and adds what runs to wg.
func (v *dutyVM) serve(ctx context.Context, wg *sync.WaitGroup) *Service {
	r := roster.New(v.name, "a", 1, func() {})
	r.Announce(time.Hour, engine.Announcement{Name: "e1", Zone: "a", Address: "e1", State: engine.Ready, Model: "m", Role: engine.Both, KVBlocks: 1})
	x := New(Options{
		ControlPlane: v, Roster: r, PlatformClient: v, Engines: v, Window: time.Second, Lease: dutyLease, SinceBoot: v.sinceBoot,
		Now: func(now time.Duration) time.Time { return v.start.Add(now + time.Duration(v.wall.Load())) },
	})
	x.waits = v.waits
	wg.Go(func() { x.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(actInterval)
			if x.Platform(x.now()) {
				x.Scale(ctx, UpstreamCount{})
			}
			if x.CanOrder(x.now()) {
				x.Order(ctx, "e1", order.SetRole, "decode", "")
			}
		}
	})
	return x
}

// live runs the VM until the end of the simulation: a service in each life, ended by a kill or a planned stop.
func (v *dutyVM) live(end context.Context) {
	for life := 1; end.Err() == nil; life++ {
		v.incarnation = id.Incarnation(life)
		ctx, cancel := context.WithTimeout(end, time.Second+v.draw(dutyLength/2))
		var wg sync.WaitGroup
		x := v.serve(ctx, &wg)
		for ctx.Err() == nil {
			time.Sleep(v.draw(dutyLength / 4))
			v.wall.Store(int64(v.draw(10*time.Second) - 5*time.Second))
			v.set([]*time.Time{&v.thawed, &v.heal}[v.draw(2)], v.draw(longestFault))
		}
		if v.draw(2) == 0 && end.Err() == nil {
			x.HandOver(end)
		}
		cancel()
		wg.Wait()
		time.Sleep(v.draw(2 * time.Second))
	}
}

// expireLeases ends leases as the leader does.
func (s *dutySim) expireLeases(end context.Context) {
	type seen struct {
		lease lease.Lease
		at    time.Duration
	}
	observed := map[lease.Name]seen{}
	for end.Err() == nil {
		time.Sleep(dutyInterval)
		now := time.Since(s.start)
		for _, l := range s.log.machine.Leases() {
			switch o := observed[l.Name]; {
			case o.lease != l:
				observed[l.Name] = seen{l, now}
			case now > lease.EndedAt(o.at, l.Duration):
				s.log.propose(state.Command{Expire: &state.Expire{Name: l.Name, Fence: l.Fence, Renewal: l.Renewal}})
			}
		}
	}
}

const dutyInterval = 50 * time.Millisecond // of the leader

// playDuties plays one schedule and returns what was violated, and the number of calls.
func playDuties(t *testing.T, seed uint64, w waits) (broken []string, calls int) {
	synctest.Test(t, func(*testing.T) {
		s := &dutySim{log: sharedLog{machine: state.New()}, rnd: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), waits: w}
		end, cancel := context.WithTimeout(context.Background(), dutyLength)
		defer cancel()
		var wg sync.WaitGroup
		for i := range dutyVMCount {
			v := &dutyVM{dutySim: s, name: id.VM(fmt.Sprint("vm", i)), rate: 1 + (s.draw(time.Second).Seconds()-0.5)*lease.MaxClockDrift}
			wg.Go(func() { v.live(end) })
		}
		s.expireLeases(end)
		wg.Wait()
		time.Sleep(4 * longestFault) // until the last calls have arrived
		broken, calls = s.acts.Broken(dutyLease), s.acts.Len()
	})
	return broken, calls
}

// On a platform that checks no fencing numbers no VM acts after its successor, and no two take turns.
func TestDutiesStaySingle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		broken, calls := playDuties(t, rapid.Uint64().Draw(rt, "seed"), usualWaits)
		require.Empty(rt, broken)
		require.Positive(rt, calls)
	})
}

var usualWaits = waits{delivery: deliveryTime, takeover: takeoverDelay, handOver: handOverDelay(dutyLease)}

// The schedules find a holder that writes up to the end of its lease.
func TestDutiesNeedTheirWaits(t *testing.T) {
	for seed := range uint64(1000) {
		if broken, _ := playDuties(t, seed, waits{}); len(broken) > 0 {
			return
		}
	}
	t.Fatal("no schedule found that calls of two holders overlap")
}

// playHandOver stops the holder as planned while its calls are under way for long, and returns what was violated.
func playHandOver(t *testing.T, w waits) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		s := &dutySim{log: sharedLog{machine: state.New()}, rnd: rand.New(rand.NewPCG(1, 1)), start: time.Now(), waits: w, calm: true}
		end, cancel := context.WithTimeout(context.Background(), dutyLength)
		defer cancel()
		stopping, stop := context.WithCancel(end)
		var wg sync.WaitGroup
		first, second := &dutyVM{dutySim: s, name: "vm0", rate: 1}, &dutyVM{dutySim: s, name: "vm1", rate: 1}
		x := first.serve(stopping, &wg)
		time.Sleep(dutyLease) // it holds the leases and acts
		second.serve(end, &wg)
		wg.Go(func() {
			time.Sleep(dutyLease)
			first.slow.Store(true)
			time.Sleep(2 * actInterval)
			x.HandOver(end)
			stop()
		})
		s.expireLeases(end)
		wg.Wait()
		time.Sleep(4 * longestFault)
		broken = s.acts.Broken(dutyLease)
		require.Positive(t, s.acts.Len())
	})
	return broken
}

// A holder that is stopped as planned while a call of it is under way: handed over at once, the lease lets both act for a moment.
func TestHandOverWaits(t *testing.T) {
	require.NotEmpty(t, playHandOver(t, waits{delivery: deliveryTime, takeover: takeoverDelay}), "without the wait")
	require.Empty(t, playHandOver(t, usualWaits))
}

// A holder whose calls a peer refuses as outdated neither calls again nor lets another VM act while its other calls are under way.
func TestFencedHolderLetsLeaseRunOut(t *testing.T) {
	s := newFixture(t)
	h := s.acquireSettled(0)
	s.services[0].giveUp(h)
	require.ErrorIs(t, s.services[0].Order(t.Context(), "e1", order.SetRole, "decode", "test"), ErrNotHeld)
	for i := range 2 {
		_, ok := s.services[i].ensureLease(t.Context(), h.Name)
		require.False(t, ok)
	}
	s.expireEnginesLease()
	require.Greater(t, s.acquireEngines(0).Fence, h.Fence)
}

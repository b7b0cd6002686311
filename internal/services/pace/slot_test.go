package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/roster"
)

// What an upstream may get in limitWindow: limitFactor times what its rate allows, and limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// paceLoad is a replay of VMs that all have more requests for an upstream than it takes.
type paceLoad struct {
	rnd      *rand.Rand
	u        *roster.Upstream
	tables   []*Table
	skew     []time.Duration // of the VMs' fleet time
	members  []int           // VMs that each VM counts, as membership changes reach them at different times
	demand   time.Duration   // mean time between two requests of a VM
	arrivals []time.Duration
}

func newPaceLoad(seed uint64, vms int, rate Rate, demand time.Duration) *paceLoad {
	l := &paceLoad{rnd: rand.New(rand.NewPCG(seed, 1)), u: newUpstream(fmt.Sprint("u", seed), 1), demand: demand}
	for i := range vms {
		l.skew = append(l.skew, time.Duration(l.rnd.IntN(20))*time.Millisecond)
		l.members = append(l.members, vms)
		n := &Table{
			FleetTime: func(now time.Duration) time.Time { return time.Unix(1_796_000_000, int64(now+l.skew[i])) },
			Senders:   func() Senders { return Senders{Count: l.members[i], Rank: i} },
		}
		n.Observe(0, l.u, rate, 0)
		l.tables = append(l.tables, n)
	}
	return l
}

// play lets the VMs send from one time to another.
func (l *paceLoad) play(from, to time.Duration) {
	step := max(time.Millisecond, l.demand/time.Duration(len(l.tables)))
	for now := from; now < to; now += step {
		if l.tables[l.rnd.IntN(len(l.tables))].Take(now, l.u) {
			l.arrivals = append(l.arrivals, now)
		}
	}
}

// most returns the largest number of arrivals in any window of limitWindow.
func (l *paceLoad) most() (most int) {
	first := 0
	for i, at := range l.arrivals {
		for l.arrivals[first] < at-limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(rate Rate) int { return int(limitFactor*float64(rate)*limitWindow.Seconds()) + limitSlack }

// All VMs want the upstream at once; it gets no more than it takes, and most of what it takes.
func TestRateIsKeptByAllVMsTogether(t *testing.T) {
	const length = time.Minute
	for _, vms := range []int{1, 2, 9, 60} {
		for _, rate := range []Rate{minRate, 0.6, 1, 1.4, 5, 20, 150} {
			t.Run(fmt.Sprint(vms, " VMs, ", rate), func(t *testing.T) {
				for seed := range uint64(10) {
					l := newPaceLoad(seed, vms, rate, 20*time.Millisecond)
					l.play(0, length)
					require.LessOrEqual(t, l.most(), allowed(rate), "seed %d", seed)
					require.GreaterOrEqual(t, float64(len(l.arrivals)), 0.7*min(float64(rate), 50)*length.Seconds(), "seed %d", seed)
				}
			})
		}
	}
}

// VMs join and are lost, and learn of it seconds apart.
func TestRateIsKeptWhileMembersChange(t *testing.T) {
	for seed := range uint64(50) {
		l := newPaceLoad(seed, 9, 1.4, 20*time.Millisecond)
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			count := 6 + int(now/(10*time.Second))%4
			l.members[l.rnd.IntN(len(l.members))] = max(count, 1)
			l.play(now, now+time.Second)
		}
		require.LessOrEqual(t, l.most(), allowed(1.4), "seed %d", seed)
	}
}

// The rate that an upstream names goes up and down with each answer, and VMs know different ones.
func TestRateIsKeptWhileItVaries(t *testing.T) {
	for seed := range uint64(50) {
		l := newPaceLoad(seed, 9, 1.4, 20*time.Millisecond)
		for now := time.Duration(0); now < time.Minute; now += 500 * time.Millisecond {
			n := l.tables[l.rnd.IntN(len(l.tables))]
			n.Observe(now, l.u, Rate(1.3+0.1*l.rnd.Float64()), now)
			l.play(now, now+500*time.Millisecond)
		}
		require.LessOrEqual(t, l.most(), allowed(1.3), "seed %d", seed)
	}
}

// An upstream that takes its limit back gets as much as before; one VM tells the others.
func TestEndOfLimitReachesAllVMs(t *testing.T) {
	l := newPaceLoad(1, 9, 1, 20*time.Millisecond)
	l.tables[3].Observe(5*time.Second, l.u, 0, 4*time.Second)
	for _, n := range l.tables {
		n.Merge(l.tables[3].Limits(5 * time.Second))
		require.Zero(t, n.Wait(5*time.Second, l.u))
	}
}

func TestWaitEndsWithSlot(t *testing.T) {
	l := newPaceLoad(1, 9, 1, 20*time.Millisecond)
	for _, n := range l.tables {
		require.True(t, n.Take(n.Wait(0, l.u), l.u) || n.Take(n.Wait(0, l.u)+time.Nanosecond, l.u))
		wait := n.Wait(10*time.Second, l.u)
		require.LessOrEqual(t, wait, 9*time.Second)
		require.True(t, n.Take(10*time.Second+wait, l.u))
	}
	other := newUpstream("u1", 2)
	require.Zero(t, l.tables[0].Wait(0, other), "another incarnation has named none")
}

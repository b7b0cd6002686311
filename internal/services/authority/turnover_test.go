package authority

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// fastTiming makes a fleet replace a voter that is gone within seconds.
var fastTiming = Timing{Lease: 3 * time.Second, ElectionTimeout: 300 * time.Millisecond, ReplaceVoterAfter: time.Second}

// hasCustomers reports whether n has the customers c0 to c(count-1).
func (n *node) hasCustomers(count int) bool {
	for i := range count {
		if _, ok := n.authority.Config().Customers[id.Customer(fmt.Sprint("c", i))]; !ok {
			return false
		}
	}
	return true
}

// In a storm of changes from two operators the VM that leads is killed after each pair of them. No accepted change is lost, and no VM shows an
// older state than before.
func TestLeaderKilledWheneverItActs(t *testing.T) {
	g := newTimedFleet(t, fastTiming, 3, 2)
	follower := g.vms[3]
	n, seen := 0, id.Revision(0)
	for range 6 {
		var storm sync.WaitGroup
		for range 10 {
			for _, operator := range g.vms[3:] {
				i := n
				n++
				storm.Go(func() { g.commitChange(operator, fmt.Sprint("r", i), fmt.Sprint("c", i)) })
			}
		}
		storm.Wait()
		old := g.leader()
		g.kill(old)
		g.start(old)
		rev := follower.authority.Config().Revision
		require.GreaterOrEqual(t, rev, seen)
		seen = rev
	}
	for _, x := range g.vms {
		g.waitUntil("all changes on "+x.name, func() bool { return x.hasCustomers(n) })
		require.Equal(t, id.Revision(n), x.authority.Config().Revision, "each change once")
	}
}

// All seeds are exchanged for other control VMs. A VM that stays up, one that was cut off meanwhile, and new ones with old settings in which
// only one seed is left, find the fleet through the new VMs.
func TestSeedsAreExchanged(t *testing.T) {
	g := newTimedFleet(t, fastTiming, 3, 2)
	old, stays, cut := slices.Clone(g.vms[:3]), g.vms[3], g.vms[4]
	g.commitChange(g.vms[0], "r0", "c0")
	seeds := []string{old[0].address, old[1].address}
	g.kill(cut)
	for i, gone := range old {
		fresh := g.add(true)
		g.waitUntil("the new control VM follows", func() bool { return fresh.hasCustomers(1 + i) })
		g.kill(gone)
		gone.control = false // it is no seed of VMs that start later
		g.commitChange(fresh, fmt.Sprint("r", i+1), fmt.Sprint("c", i+1))
		g.waitUntil("it votes in place of the one that is gone", func() bool {
			s, ok := g.leader().authority.Status()
			return ok && s.Members.IsVoter(fresh.authority.node) && !s.Members.Contains(gone.authority.node)
		})
	}
	seeds = append(seeds, g.vms[5].address)
	start := func(name string, n *node) {
		t.Run(name, func(t *testing.T) {
			g.waitUntil("it knows every change", func() bool { return n.hasCustomers(len(old) + 1) })
			g.waitUntil("it is a member", func() bool {
				_, ok := g.leader().authority.State().Members()[id.VM(n.name)]
				return ok
			})
			require.Equal(t, state.OK, g.commitChange(n, "by-"+n.name, "of-"+n.name).Code)
		})
	}
	start("a VM that stays up", stays)
	cut.seeds = seeds
	g.start(cut)
	start("a VM that was cut off meanwhile", cut)
	late := &node{name: "late", address: "127.0.0.1:0", seeds: seeds}
	g.vms = append(g.vms, late)
	g.start(late)
	start("a new VM with old settings", late)
	lateControl := &node{name: "late2", control: true, address: "127.0.0.1:0", seeds: seeds}
	g.vms = append(g.vms, lateControl)
	g.start(lateControl)
	start("a new control VM with old settings", lateControl)
}

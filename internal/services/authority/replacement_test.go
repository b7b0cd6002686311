package authority

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of the deployments for which the bound is stated.
const (
	catchUp    = 4 * time.Second // after which the loss of a VM whose successor runs counts no more
	catchUpGap = 10 * time.Millisecond
	leaveTime  = 900 * time.Millisecond // for what a stopping VM commits
	stopTime   = 5 * time.Second        // until its process ends
)

var deployedTiming = Timing{Lease: 3 * time.Second, ElectionTimeout: 400 * time.Millisecond, ReplaceVoterAfter: time.Second}

// replacementFleet is a fleet in which control VMs are replaced and lost.
type replacementFleet struct {
	*testFleet
	follower  *node // stays up, and is no control VM
	tolerance int
	changes   int
}

func newReplacementFleet(t *testing.T, control, tolerance int) *replacementFleet {
	f := &replacementFleet{testFleet: newVotingFleet(t, deployedTiming, 2*tolerance+1, control, 1), tolerance: tolerance}
	f.follower = f.vms[control]
	f.commit()
	return f
}

// commit makes a change through the follower, and expects all earlier ones to be in force with it.
func (f *replacementFleet) commit() {
	f.t.Helper()
	f.commitChange(f.follower, fmt.Sprint("r", f.changes), fmt.Sprint("c", f.changes))
	f.changes++
	f.waitUntil("all changes", func() bool { return f.follower.hasCustomers(f.changes) })
}

// pick returns n running voters, the leader among them if so asked.
func (f *replacementFleet) pick(n int, leader bool) []*node {
	first := f.leader()
	s, _ := first.authority.Status()
	var list []*node
	if leader {
		list = append(list, first)
	}
	for _, x := range f.vms {
		if len(list) < n && x != first && x.stop != nil && x.control && s.Members.IsVoter(x.authority.node) {
			list = append(list, x)
		}
	}
	require.Len(f.t, list, n)
	return list
}

// lose takes VMs away for good.
func (f *replacementFleet) lose(list []*node) {
	for _, n := range list {
		f.kill(n)
		n.control = false // no seed of VMs that start later
	}
}

// replace loses VMs and starts as many successors after delay. It returns once those have had the time to catch up.
func (f *replacementFleet) replace(list []*node, delay time.Duration) {
	f.lose(list)
	time.Sleep(delay)
	f.addSuccessors(len(list))
}

func (f *replacementFleet) addSuccessors(n int) {
	for range n {
		f.add(true)
	}
	time.Sleep(catchUp + catchUpGap)
}

// retire stops VMs as planned, all at once.
func (f *replacementFleet) retire(list []*node) {
	done := make(chan struct{})
	for _, n := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTime)
			defer cancel()
			n.authority.Leave(ctx, leaveTime)
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	f.lose(list)
}

// loseNext takes as many VMs away at once as the fleet is said to bear, and expects that changes go on.
func (f *replacementFleet) loseNext() {
	f.t.Helper()
	f.lose(f.remaining()[:f.tolerance])
	f.commit()
}

// remaining returns the running control VMs, those that run longest first.
func (f *replacementFleet) remaining() []*node {
	var list []*node
	for _, n := range f.vms {
		if n.control && n.stop != nil {
			list = append(list, n)
		}
	}
	return list
}

// A control VM is lost for good and replaced, and the next loss comes once its successor has had the time to catch up. The successor did not
// vote yet, as the lost VM counted as a voter until its lease had ended, and the log had no majority for good.
func TestNextLossAfterReplacement(t *testing.T) {
	for _, c := range []struct {
		control, tolerance, lost int
		leader                   bool
		delay                    time.Duration
	}{
		{3, 1, 1, true, time.Second},
		{3, 1, 1, true, 100 * time.Millisecond},
		{3, 1, 1, false, time.Second},
		{3, 1, 1, false, 100 * time.Millisecond},
		{4, 1, 1, true, time.Second},
		{5, 2, 2, true, time.Second},
		{5, 2, 2, false, 100 * time.Millisecond},
		{6, 2, 2, true, time.Second},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d lost, leader %t, after %s", c.control, c.lost, c.leader, c.delay), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, c.control, c.tolerance)
			f.replace(f.pick(c.lost, c.leader), c.delay)
			f.loseNext()
		})
	}
}

// Control VMs are replaced as planned, and the next loss comes when they have ended. They stayed voters, and the log had no majority for good.
func TestNextLossAfterPlannedReplacement(t *testing.T) {
	for _, c := range []struct {
		control, tolerance, lost int
		leader                   bool
	}{
		{3, 1, 1, true},
		{3, 1, 1, false},
		{4, 1, 1, true},
		{5, 2, 2, true},
		{6, 2, 2, false},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d replaced, leader %t", c.control, c.lost, c.leader), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, c.control, c.tolerance)
			old := f.pick(c.lost, c.leader)
			f.addSuccessors(c.lost)
			f.retire(old)
			f.loseNext()
		})
	}
}

// The leader is lost while another control VM stops as planned, with a successor that stands by. The one that stops must not end before the others
// have a leader that has taken its vote over: with two of three voters gone the log had no majority for good.
func TestLeaderIsLostDuringPlannedStop(t *testing.T) {
	for _, control := range []int{3, 4} {
		t.Run(fmt.Sprint(control, " VMs"), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, control, 1)
			list := f.pick(2, true)
			f.addSuccessors(1)
			f.lose(list[:1])
			f.retire(list[1:])
			f.commit()
		})
	}
}

// The leader is replaced three times in a row, each time as soon as the fleet bears it, and the next loss follows.
func TestLeaderIsReplacedInSeries(t *testing.T) {
	for _, control := range []int{3, 4} {
		t.Run(fmt.Sprint(control, " VMs, lost"), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, control, 1)
			for range 3 {
				f.replace(f.pick(1, true), time.Second)
			}
			f.loseNext()
		})
		t.Run(fmt.Sprint(control, " VMs, planned"), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, control, 1)
			for range 3 {
				f.addSuccessors(1)
				f.retire(f.pick(1, true))
			}
			f.loseNext()
		})
	}
}

// A successor of a fleet with a large state votes within the time that it has to catch up, counted from its own start.
func TestSuccessorOfLargeStateVotesInTime(t *testing.T) {
	requireSuccessorsInTime(t, map[string]largeState{
		"entries":                     {40, 100 << 10, 0},
		"a snapshot":                  {20, 1 << 20, 0},
		"entries over 10 Mbit/s":      {10, 100 << 10, 10_000_000 / 8},
		"many entries over 50 Mbit/s": {500, 8 << 10, 50_000_000 / 8},
	})
}

// The same for a snapshot of 20 MB over a slow link.
func TestSuccessorOfLargeSnapshotOverSlowLink(t *testing.T) {
	requireSuccessorsInTime(t, map[string]largeState{"a snapshot over 100 Mbit/s": {20, 1 << 20, 100_000_000 / 8}})
}

// largeState is what a successor has to catch up with.
type largeState struct {
	entries, bytes int
	rate           int // of the successor's link, in bytes a second; 0 for loopback
}

func requireSuccessorsInTime(t *testing.T, cases map[string]largeState) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, 3, 1)
			for i := range c.entries {
				x := customerChange(fmt.Sprint("long", i), fmt.Sprint("long", i))
				x.Change.Reason = strings.Repeat("x", c.bytes)
				f.waitUntil("change accepted", func() bool {
					_, err := f.follower.authority.Propose(t.Context(), x)
					return err == nil
				})
			}
			f.lose(f.pick(1, true))
			f.leader()
			successor := &node{name: "successor", control: true, address: "127.0.0.1:0"}
			if c.rate > 0 {
				successor.address = unusedAddress(t)
				successor.proxied = slowLink(t, successor.address, c.rate)
			}
			f.vms = append(f.vms, successor)
			begin := time.Now()
			f.start(successor)
			f.waitUntil("it votes", func() bool {
				s, _ := f.leader().authority.Status()
				return s.Members.IsVoter(successor.authority.node)
			})
			t.Logf("votes after %s", time.Since(begin))
			require.Less(t, time.Since(begin), catchUp)
		})
	}
}

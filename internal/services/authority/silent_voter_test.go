package authority

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/quorum"
)

// cuts tells the links of a fleet what to drop: datagrams to or from an address.
type cuts struct {
	mu       sync.Mutex
	to, from map[string]bool
}

func (c *cuts) set(address string, to, from bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.to[address], c.from[address] = to, from
}

func (c *cuts) drops(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from[from] || c.to[to]
}

// link passes datagrams on to the VM at target and its answers back, unless they are cut off. It returns its address.
func (c *cuts) link(t *testing.T, target string) string {
	to, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	listen := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	front, back := listen(), map[string]*net.UDPConn{}
	pass := func(from *net.UDPConn, forward func(data []byte, sender *net.UDPAddr)) {
		buf := make([]byte, 64<<10)
		for {
			n, sender, err := from.ReadFromUDP(buf)
			if err != nil {
				return
			}
			forward(buf[:n], sender)
		}
	}
	go pass(front, func(data []byte, sender *net.UDPAddr) {
		conn, ok := back[sender.String()]
		if !ok {
			conn = listen()
			back[sender.String()] = conn
			go pass(conn, func(data []byte, _ *net.UDPAddr) {
				if !c.drops(target, sender.String()) {
					front.WriteToUDP(data, sender)
				}
			})
		}
		if !c.drops(sender.String(), target) {
			conn.WriteToUDP(data, to)
		}
	})
	return front.LocalAddr().String()
}

// newCutFleet starts control VMs behind links, and a follower.
func newCutFleet(t *testing.T, control, tolerance int) (*replacementFleet, *cuts) {
	c := &cuts{to: map[string]bool{}, from: map[string]bool{}}
	f := &replacementFleet{testFleet: &testFleet{t: t, folder: t.TempDir(), timing: deployedTiming, voters: 2*tolerance + 1}, tolerance: tolerance}
	f.bootstrap()
	var seeds []string
	for i := range control {
		n := &node{name: fmt.Sprint("vm", i), control: true, address: unusedAddress(t)}
		n.proxied = c.link(t, n.address)
		seeds = append(seeds, n.proxied)
		f.vms = append(f.vms, n)
	}
	f.follower = &node{name: "follower", address: "127.0.0.1:0"}
	f.vms = append(f.vms, f.follower)
	for _, n := range f.vms {
		n.seeds = seeds
		f.start(n)
	}
	t.Cleanup(func() {
		for _, n := range f.vms {
			f.kill(n)
		}
	})
	f.waitUntil("all voters", func() bool {
		s, _ := f.vms[0].authority.Status()
		return len(s.Members.Voters) == f.voters && len(s.Members.Learners) == control-f.voters
	})
	f.commit()
	return f, c
}

// A voter is silent for some seconds while another control VM stands by: cut off, or only one way. Its vote goes to the one that stands by, its return
// disturbs nobody, and once it has had the time to catch up the next loss is borne. The leader of the others must not change unless it was the one.
func TestSilentVoterReturns(t *testing.T) {
	for _, c := range []struct {
		control, tolerance int
		leader, to, from   bool
	}{
		{4, 1, false, true, true},
		{4, 1, false, true, false},
		{4, 1, false, false, true},
		{4, 1, true, true, true},
		{4, 1, true, true, false},
		{4, 1, true, false, true},
		{6, 2, false, true, true},
		{6, 2, true, true, true},
	} {
		t.Run(fmt.Sprintf("%d VMs, leader %t, to it %t, from it %t", c.control, c.leader, c.to, c.from), func(t *testing.T) {
			t.Parallel()
			f, cut := newCutFleet(t, c.control, c.tolerance)
			first := f.leader()
			list := f.pick(2, c.leader)
			silent, other := list[0], list[1]
			term := first.authority.replica.Status().Term
			cut.set(silent.address, c.to, c.from)
			f.waitUntil("another one votes", func() bool {
				s, _ := other.authority.Status()
				return !s.Members.IsVoter(silent.authority.node) && len(s.Members.Voters) == f.voters
			})
			f.commit()
			cut.set(silent.address, false, false)
			f.waitUntil("it is back", func() bool {
				s, _ := other.authority.Status()
				return s.Members.Contains(silent.authority.node) && silent.hasCustomers(f.changes)
			})
			if !c.leader {
				require.Equal(t, term, other.authority.replica.Status().Term, "the return of a VM cost the leader its office")
			}
			time.Sleep(catchUp + catchUpGap)
			s, _ := f.leader().authority.Status()
			require.Len(t, s.Members.Voters, f.voters)
			lost := slices.DeleteFunc(f.remaining(), func(n *node) bool { return n == silent })[:f.tolerance]
			f.lose(lost)
			f.commit()
		})
	}
}

// All control VMs end at once in the middle of a replacement, and are back with their disks. What was confirmed is still there.
func TestAllEndDuringReplacement(t *testing.T) {
	for _, pause := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			f := newReplacementFleet(t, 3, 1)
			f.lose(f.pick(1, true))
			f.add(true)
			time.Sleep(pause)
			rest := f.remaining()
			var wg sync.WaitGroup
			for _, n := range rest {
				wg.Go(func() { f.kill(n) })
			}
			wg.Wait()
			for _, n := range rest {
				f.start(n)
			}
			f.commit()
			f.waitUntil("three voters that are there", func() bool {
				s, _ := f.leader().authority.Status()
				return len(s.Members.Voters) == 3 && !slices.ContainsFunc(s.Members.Voters, func(x quorum.Node) bool {
					return !slices.ContainsFunc(rest, func(n *node) bool { return n.authority.node == x })
				})
			})
			f.commit()
		})
	}
}

package authority

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

const (
	waitTimeout  = 25 * time.Second
	pollInterval = 10 * time.Millisecond
)

// node is a VM of a test fleet. Its process can be killed and started again.
type node struct {
	name      string
	control   bool
	address   string
	proxied   string   // address that the other VMs use, if it is not the VM's own
	seeds     []string // defaults to the other control VMs of the fleet
	authority *Agent
	stop      func()
}

// testFleet is a set of VMs in one process.
type testFleet struct {
	t               testing.TB
	folder          string
	vms             []*node
	timing          Timing // of VMs that are started from now on
	voters          int
	lastIncarnation id.Incarnation
}

func (g *testFleet) path(parts ...string) string {
	return filepath.Join(append([]string{g.folder}, parts...)...)
}

// newTestFleet starts control VMs and followers, spread over three data centres.
func newTestFleet(t *testing.T, control, followers int) *testFleet {
	return newTimedFleet(t, Timing{}, control, followers)
}

func newTimedFleet(t *testing.T, timing Timing, control, followers int) *testFleet {
	return newVotingFleet(t, timing, 3, control, followers)
}

func newVotingFleet(t *testing.T, timing Timing, voters, control, followers int) *testFleet {
	g := &testFleet{t: t, folder: t.TempDir(), timing: timing, voters: voters}
	g.bootstrap()
	for i := range control + followers {
		g.add(i < control)
	}
	t.Cleanup(func() {
		for _, n := range g.vms {
			g.kill(n)
		}
	})
	g.waitUntil("all members", func() bool { return len(g.vms[0].authority.State().Members()) == control+followers })
	g.waitUntil("all voters", func() bool {
		s, _ := g.vms[0].authority.Status()
		return len(s.Members.Voters) == min(control, voters)
	})
	return g
}

// add starts a further VM.
func (g *testFleet) add(control bool) *node {
	n := &node{name: fmt.Sprint("vm", len(g.vms)), control: control, address: "127.0.0.1:0"}
	g.vms = append(g.vms, n)
	g.start(n)
	return n
}

// bootstrap creates the certificate authority and the log of the fleet.
func (g *testFleet) bootstrap() {
	require.NoError(g.t, cert.NewCA(g.path("ca"), "test", time.Now(), time.Hour))
	require.NoError(g.t, Bootstrap(g.path("vm0"), "vm0", nil))
}

func (g *testFleet) zone(n *node) id.Zone {
	for i, x := range g.vms {
		if x == n {
			return id.Zone(fmt.Sprint("zone", i%3))
		}
	}
	return "zone0"
}

// transport listens at address with the certificate of VM name.
func (g *testFleet) transport(name, address string, zone id.Zone) *peer.Transport {
	folder := g.path(name + "-cert")
	require.NoError(g.t, cert.NewVM(g.path("ca"), folder, id.VM(name), zone, time.Now(), time.Hour))
	store, err := cert.Load(folder)
	require.NoError(g.t, err)
	tr, err := peer.New(address, store)
	require.NoError(g.t, err)
	return tr
}

func (g *testFleet) start(n *node) {
	tr := g.transport(n.name, n.address, g.zone(n))
	n.address = tr.Address()
	g.lastIncarnation++
	opt := Options{
		VM: id.VM(n.name), Zone: g.zone(n), Incarnation: g.lastIncarnation, Peer: cmp.Or(n.proxied, n.address), Voters: g.voters, Transport: tr, Timing: g.timing,
	}
	if n.control {
		opt.Folder = g.path(n.name)
	}
	opt.Seeds = n.seeds
	for _, other := range g.vms {
		if len(n.seeds) == 0 && other != n && other.control {
			opt.Seeds = append(opt.Seeds, other.address)
		}
	}
	var err error
	n.authority, err = New(opt)
	require.NoError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(2)
	authority := n.authority
	go func() { defer wg.Done(); tr.Serve(ctx) }()
	go func() { defer wg.Done(); authority.Run(ctx) }()
	n.stop = func() {
		cancel()
		tr.Close()
		wg.Wait()
	}
}

// kill stops a VM without a graceful leave.
func (g *testFleet) kill(n *node) {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

func (g *testFleet) waitUntil(condition string, ok func() bool) {
	g.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !ok() {
		require.True(g.t, time.Now().Before(end), "condition not met in time: %s", condition)
		time.Sleep(pollInterval)
	}
}

// leader waits for a leader and returns it.
func (g *testFleet) leader() *node {
	var found *node
	g.waitUntil("a leader", func() bool {
		for _, n := range g.vms {
			if n.stop == nil {
				continue
			}
			if s, ok := n.authority.Status(); ok && s.Leading && s.LeadingSince > 0 {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// customerChange returns a command that creates customer name at any base revision.
func customerChange(request, name string) state.Command {
	return state.Command{Change: &state.Change{
		AnyBase: true, Request: id.Request(request), Customer: &customer.Customer{ID: id.Customer(name)},
	}}
}

// commitChange commits a change through n and resends it while its outcome is unknown.
func (g *testFleet) commitChange(n *node, request, name string) state.Result {
	var r state.Result
	g.waitUntil("change accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		r, err = n.authority.Propose(ctx, customerChange(request, name))
		return err == nil
	})
	require.Equal(g.t, state.OK, r.Code, r.Message)
	return r
}

// TestAcceptedChangesSurviveRestarts kills each VM in turn, and then all at once, between changes made through any VM.
func TestAcceptedChangesSurviveRestarts(t *testing.T) {
	g := newTestFleet(t, 3, 1)
	n := 0
	change := func(k int) {
		for range k {
			x := g.vms[n%len(g.vms)]
			r := g.commitChange(x, fmt.Sprint("r", n), fmt.Sprint("c", n))
			n++
			require.Equal(t, id.Revision(n), r.Revision)
		}
	}
	lowest := map[string]id.Revision{}
	check := func() {
		for _, x := range g.vms {
			rev := x.authority.Config().Revision
			require.GreaterOrEqual(t, rev, lowest[x.name], "revision of %s went backwards", x.name)
		}
	}
	change(100)
	for _, x := range g.vms {
		g.kill(x)
		if x != g.vms[3] {
			g.leader()
		}
		g.start(x)
		g.waitUntil("caught up", func() bool { return x.authority.Config().Revision == id.Revision(n) })
		lowest[x.name] = id.Revision(n)
		change(50)
		check()
	}
	for _, x := range g.vms {
		g.kill(x)
	}
	for _, x := range g.vms {
		g.start(x)
	}
	for _, x := range g.vms {
		g.waitUntil("all changes applied after the restart", func() bool { return x.authority.Config().Revision == id.Revision(n) })
		for i := range n {
			require.Contains(t, x.authority.Config().Customers, id.Customer(fmt.Sprint("c", i)))
		}
	}
	t.Run("request resent after a restart", func(t *testing.T) {
		require.Equal(t, id.Revision(7), g.commitChange(g.vms[1], "r6", "c6").Revision)
	})
}

// TestEmptiedDiskRejoinsAsNewNode empties the folder of a voter. The VM must not vote under its old node name, and its
// new node must replace the old one.
func TestEmptiedDiskRejoinsAsNewNode(t *testing.T) {
	g := newTestFleet(t, 3, 0)
	g.commitChange(g.vms[0], "r0", "c0")
	old := g.vms[2].authority.node
	g.kill(g.vms[2])
	require.NoError(t, os.RemoveAll(g.path("vm2")))
	g.start(g.vms[2])
	require.NotEqual(t, old, g.vms[2].authority.node)
	g.waitUntil("new node replaces the old one", func() bool {
		s, _ := g.leader().authority.Status()
		return len(s.Members.Voters) == 3 && s.Members.IsVoter(g.vms[2].authority.node) && !s.Members.Contains(old)
	})
	g.waitUntil("caught up", func() bool { return g.vms[2].authority.Config().Revision == 1 })
	t.Run("another VM fails right after", func(t *testing.T) {
		g.kill(g.vms[0])
		g.commitChange(g.vms[1], "r1", "c1")
	})
}

// TestConcurrentChangesWithOneBaseConflict sends two changes with the same base revision through two VMs: one must
// fail.
func TestConcurrentChangesWithOneBaseConflict(t *testing.T) {
	g := newTestFleet(t, 3, 0)
	for round := range 20 {
		codes := make([]state.Code, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := customerChange(fmt.Sprint("race-", round, "-", i), fmt.Sprint("c", i))
				c.Change.AnyBase, c.Change.Base = false, id.Revision(round)
				r, err := g.vms[i+1].authority.Propose(context.Background(), c)
				require.NoError(t, err)
				codes[i] = r.Code
			}()
		}
		wg.Wait()
		require.ElementsMatch(t, []state.Code{state.OK, state.Conflict}, codes)
	}
}

// TestNoChangeWithoutQuorum kills two of three control VMs.
func TestNoChangeWithoutQuorum(t *testing.T) {
	g := newTestFleet(t, 3, 1)
	g.commitChange(g.vms[3], "r0", "c0")
	g.kill(g.vms[1])
	g.kill(g.vms[2])
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := g.vms[3].authority.Propose(ctx, customerChange("r1", "c1"))
	require.Error(t, err)
	require.Equal(t, id.Revision(1), g.vms[3].authority.Config().Revision)
	require.Error(t, g.vms[3].authority.ReadBarrier(ctx))
	t.Run("remaining control VM finds no leader", func(t *testing.T) {
		require.False(t, g.vms[0].authority.AwaitLeader(context.Background(), 50*time.Millisecond))
	})
	t.Run("withdrawal reaches the remaining VMs", func(t *testing.T) {
		g.vms[3].authority.WithdrawKey(context.Background(), "k")
		require.True(t, g.vms[3].authority.Withdrawn("k"))
		require.True(t, g.vms[0].authority.Withdrawn("k"))
	})
	t.Run("VM lease ends", func(t *testing.T) {
		end := g.vms[3].authority.LeaseEnd()
		require.Positive(t, end)
		require.False(t, g.vms[3].authority.Leased(end, 0))
		require.True(t, g.vms[3].authority.Leased(end, time.Minute))
	})
}

// TestLeaveReleasesLeasesAndLeadership stops the leader gracefully. Its leases and its leadership must be released
// without waiting for them to expire.
func TestLeaveReleasesLeasesAndLeadership(t *testing.T) {
	g := newTestFleet(t, 3, 0)
	old := g.leader()
	r, err := old.authority.Propose(context.Background(), state.Command{Acquire: &state.Acquire{
		Name: "platform", VM: old.authority.VM(), Incarnation: old.authority.Incarnation(), Duration: time.Hour,
	}})
	require.NoError(t, err)
	require.Equal(t, state.OK, r.Code)
	start := time.Now()
	old.authority.Leave(context.Background(), waitTimeout)
	g.kill(old)
	var next *node
	g.waitUntil("a successor", func() bool { next = g.leader(); return next != old })
	g.waitUntil("the lease is free", func() bool { _, held := next.authority.State().Lease("platform"); return !held })
	g.waitUntil("the member has left", func() bool { _, in := next.authority.State().Members()[old.authority.VM()]; return !in })
	t.Logf("leases and leadership released in %s", time.Since(start))
	g.commitChange(next, "r", "c")
}

// TestAwaitAppliedListsPendingVMs checks that AwaitApplied lists a VM that has not applied a change, and omits a killed
// VM as soon as its lease has ended.
func TestAwaitAppliedListsPendingVMs(t *testing.T) {
	g := newTestFleet(t, 3, 1)
	r := g.commitChange(g.vms[0], "r0", "c0")
	status, err := g.vms[3].authority.AwaitApplied(context.Background(), r.Revision, 2*time.Second)
	require.NoError(t, err)
	require.Empty(t, status.Pending)
	g.kill(g.vms[3])
	r = g.commitChange(g.vms[0], "r1", "c1")
	g.waitUntil("only the killed VM is pending", func() bool {
		status, err := g.vms[1].authority.AwaitApplied(context.Background(), r.Revision, 0)
		return err == nil && slices.Equal(status.Pending, []id.VM{"vm3"})
	})
	start := time.Now()
	g.waitUntil("the lease has ended", func() bool {
		status, err := g.vms[1].authority.AwaitApplied(context.Background(), r.Revision, 200*time.Millisecond)
		return err == nil && len(status.Pending) == 0
	})
	require.Less(t, time.Since(start), 18*time.Second) // the default lease is 15 s
}

// TestKeyCommandOmitsSecret checks that the command that stores a key does not contain its secret.
func TestKeyCommandOmitsSecret(t *testing.T) {
	secret, hash, err := key.Generate("k")
	require.NoError(t, err)
	k := key.Key{ID: "k", Role: key.Admin, Hash: hash}
	data, err := state.Command{Change: &state.Change{AnyBase: true, Request: "r", Key: &k}}.Encode()
	require.NoError(t, err)
	require.NotContains(t, string(data), secret)
	require.NoError(t, k.Check())
}

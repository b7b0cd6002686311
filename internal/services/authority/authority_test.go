package authority

import (
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
	waitLimit = 25 * time.Second
	waitPoll  = 10 * time.Millisecond
)

// node is one VM of a test group; its process can be killed and started again.
type node struct {
	name    string
	control bool
	address string
	seeds   []string // empty stands for the control VMs of the group
	a       *Authority
	stop    func()
}

// group is a few VMs in one process.
type group struct {
	t      testing.TB
	folder string
	nodes  []*node
	inc    id.Incarnation
}

func (g *group) path(parts ...string) string {
	return filepath.Join(append([]string{g.folder}, parts...)...)
}

// newGroup starts control VMs and followers, a data centre for each control VM.
func newGroup(t *testing.T, control, followers int) *group {
	g := &group{t: t, folder: t.TempDir()}
	g.found()
	for i := range control + followers {
		n := &node{name: fmt.Sprint("vm", i), control: i < control, address: "127.0.0.1:0"}
		g.nodes = append(g.nodes, n)
		g.start(n)
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			g.kill(n)
		}
	})
	g.until("all members", func() bool { return len(g.nodes[0].a.State().Members()) == control+followers })
	g.until("all voters", func() bool {
		s, _ := g.nodes[0].a.Status()
		return len(s.Members.Voters) == min(control, 3)
	})
	return g
}

// found makes the authority of the fleet and its first state.
func (g *group) found() {
	require.NoError(g.t, cert.NewCA(g.path("ca"), "test", time.Now(), time.Hour))
	require.NoError(g.t, Found(g.path("vm0"), "vm0", nil))
}

func (g *group) zone(n *node) id.Zone {
	for i, x := range g.nodes {
		if x == n {
			return id.Zone(fmt.Sprint("zone", i%3))
		}
	}
	return "zone0"
}

// transport listens at address as the VM called name.
func (g *group) transport(name, address string, zone id.Zone) *peer.Transport {
	folder := g.path(name + "-cert")
	require.NoError(g.t, cert.NewVM(g.path("ca"), folder, id.VM(name), zone, time.Now(), time.Hour))
	store, err := cert.Load(folder)
	require.NoError(g.t, err)
	tr, err := peer.New(address, store)
	require.NoError(g.t, err)
	return tr
}

func (g *group) start(n *node) {
	tr := g.transport(n.name, n.address, g.zone(n))
	n.address = tr.Address()
	g.inc++
	opt := Options{
		VM: id.VM(n.name), Zone: g.zone(n), Incarnation: g.inc, Peer: n.address, Voters: 3, Transport: tr,
	}
	if n.control {
		opt.Folder = g.path(n.name)
	}
	opt.Seeds = n.seeds
	for _, other := range g.nodes {
		if len(n.seeds) == 0 && other != n && other.control {
			opt.Seeds = append(opt.Seeds, other.address)
		}
	}
	var err error
	n.a, err = New(opt)
	require.NoError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(2)
	a := n.a
	go func() { defer wg.Done(); tr.Serve(ctx) }()
	go func() { defer wg.Done(); a.Run(ctx) }()
	n.stop = func() {
		cancel()
		tr.Close()
		wg.Wait()
	}
}

// kill ends a VM without a goodbye.
func (g *group) kill(n *node) {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

func (g *group) until(what string, ok func() bool) {
	g.t.Helper()
	end := time.Now().Add(waitLimit)
	for !ok() {
		require.True(g.t, time.Now().Before(end), "not reached in time: %s", what)
		time.Sleep(waitPoll)
	}
}

// leader waits for the VM that leads.
func (g *group) leader() *node {
	var found *node
	g.until("a leader", func() bool {
		for _, n := range g.nodes {
			if n.stop == nil {
				continue
			}
			if s, ok := n.a.Status(); ok && s.Leading && s.Since > 0 {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func put(request, name string) state.Command {
	return state.Command{Change: &state.Change{
		Any: true, Request: id.Request(request), Customer: &customer.Customer{ID: id.Customer(name)},
	}}
}

// accept commits a change through n, sending it again while its outcome is not known.
func (g *group) accept(n *node, request, name string) state.Result {
	var r state.Result
	g.until("change accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		r, err = n.a.Propose(ctx, put(request, name))
		return err == nil
	})
	require.Equal(g.t, state.OK, r.Code, r.Message)
	return r
}

// TestNothingAcceptedIsLost kills every VM in turn, and all at once, between changes made at any VM.
func TestNothingAcceptedIsLost(t *testing.T) {
	g := newGroup(t, 3, 1)
	n := 0
	change := func(k int) {
		for range k {
			x := g.nodes[n%len(g.nodes)]
			r := g.accept(x, fmt.Sprint("r", n), fmt.Sprint("c", n))
			n++
			require.Equal(t, id.Revision(n), r.Revision)
		}
	}
	low := map[string]id.Revision{}
	check := func() {
		for _, x := range g.nodes {
			rev := x.a.Config().Revision
			require.GreaterOrEqual(t, rev, low[x.name], "%s shows a lower revision", x.name)
		}
	}
	change(100)
	for _, x := range g.nodes {
		g.kill(x)
		if x != g.nodes[3] {
			g.leader()
		}
		g.start(x)
		g.until("caught up", func() bool { return x.a.Config().Revision == id.Revision(n) })
		low[x.name] = id.Revision(n)
		change(50)
		check()
	}
	for _, x := range g.nodes {
		g.kill(x)
	}
	for _, x := range g.nodes {
		g.start(x)
	}
	for _, x := range g.nodes {
		g.until("all back", func() bool { return x.a.Config().Revision == id.Revision(n) })
		for i := range n {
			require.Contains(t, x.a.Config().Customers, id.Customer(fmt.Sprint("c", i)))
		}
	}
	t.Run("resent after a restart", func(t *testing.T) {
		require.Equal(t, id.Revision(7), g.accept(g.nodes[1], "r6", "c6").Revision)
	})
}

// TestLostDiskComesBackAsAnother empties a voter's folder: it must not vote as the old node, and takes its place.
func TestLostDiskComesBackAsAnother(t *testing.T) {
	g := newGroup(t, 3, 0)
	g.accept(g.nodes[0], "r0", "c0")
	old := g.nodes[2].a.node
	g.kill(g.nodes[2])
	require.NoError(t, os.RemoveAll(g.path("vm2")))
	g.start(g.nodes[2])
	require.NotEqual(t, old, g.nodes[2].a.node)
	g.until("replaced", func() bool {
		s, _ := g.leader().a.Status()
		return len(s.Members.Voters) == 3 && s.Members.Voter(g.nodes[2].a.node) && !s.Members.Has(old)
	})
	g.until("caught up", func() bool { return g.nodes[2].a.Config().Revision == 1 })
	t.Run("a second VM fails right after", func(t *testing.T) {
		g.kill(g.nodes[0])
		g.accept(g.nodes[1], "r1", "c1")
	})
}

// TestRacingOperators sends two changes with one base from two VMs.
func TestRacingOperators(t *testing.T) {
	g := newGroup(t, 3, 0)
	for round := range 20 {
		codes := make([]state.Code, 2)
		var wg sync.WaitGroup
		for i := range codes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := put(fmt.Sprint("race-", round, "-", i), fmt.Sprint("c", i))
				c.Change.Any, c.Change.Base = false, id.Revision(round)
				r, err := g.nodes[i+1].a.Propose(context.Background(), c)
				require.NoError(t, err)
				codes[i] = r.Code
			}()
		}
		wg.Wait()
		require.ElementsMatch(t, []state.Code{state.OK, state.Conflict}, codes)
	}
}

// TestWithoutAQuorumNothingChanges cuts two of three control VMs off.
func TestWithoutAQuorumNothingChanges(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.accept(g.nodes[3], "r0", "c0")
	g.kill(g.nodes[1])
	g.kill(g.nodes[2])
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := g.nodes[3].a.Propose(ctx, put("r1", "c1"))
	require.Error(t, err)
	require.Equal(t, id.Revision(1), g.nodes[3].a.Config().Revision)
	require.Error(t, g.nodes[3].a.Fresh(ctx))
	t.Run("the one that is left knows that nobody leads", func(t *testing.T) {
		require.False(t, g.nodes[0].a.AwaitLeader(context.Background(), 50*time.Millisecond))
	})
	t.Run("a withdrawal still reaches whom it can", func(t *testing.T) {
		g.nodes[3].a.Withdraw(context.Background(), "k")
		require.True(t, g.nodes[3].a.Withdrawn("k"))
		require.True(t, g.nodes[0].a.Withdrawn("k"))
	})
	t.Run("the VM lease runs out", func(t *testing.T) {
		end := g.nodes[3].a.LeaseEnd()
		require.Positive(t, end)
		require.False(t, g.nodes[3].a.Leased(end, 0))
		require.True(t, g.nodes[3].a.Leased(end, time.Minute))
	})
}

// TestStopHandsOn stops the leader gracefully: leases and leadership go at once, without waiting for their end.
func TestStopHandsOn(t *testing.T) {
	g := newGroup(t, 3, 0)
	old := g.leader()
	r, err := old.a.Propose(context.Background(), state.Command{Acquire: &state.Acquire{
		Name: "platform", VM: old.a.VM(), Incarnation: old.a.Incarnation(), Duration: time.Hour,
	}})
	require.NoError(t, err)
	require.Equal(t, state.OK, r.Code)
	start := time.Now()
	old.a.Leave(context.Background())
	g.kill(old)
	var next *node
	g.until("a successor", func() bool { next = g.leader(); return next != old })
	g.until("the lease is free", func() bool { _, held := next.a.State().Lease("platform"); return !held })
	g.until("the member has left", func() bool { _, in := next.a.State().Members()[old.a.VM()]; return !in })
	t.Logf("handed on in %s", time.Since(start))
	g.accept(next, "r", "c")
}

// TestForce holds that a change says which VM has not applied it, and that a killed VM stops counting when its lease
// has ended.
func TestForce(t *testing.T) {
	g := newGroup(t, 3, 1)
	r := g.accept(g.nodes[0], "r0", "c0")
	f, err := g.nodes[3].a.InForce(context.Background(), r.Revision, 2*time.Second)
	require.NoError(t, err)
	require.Empty(t, f.Pending)
	g.kill(g.nodes[3])
	r = g.accept(g.nodes[0], "r1", "c1")
	g.until("only the killed VM is pending", func() bool {
		f, err := g.nodes[1].a.InForce(context.Background(), r.Revision, 0)
		return err == nil && slices.Equal(f.Pending, []id.VM{"vm3"})
	})
	start := time.Now()
	g.until("the lease has ended", func() bool {
		f, err := g.nodes[1].a.InForce(context.Background(), r.Revision, 200*time.Millisecond)
		return err == nil && len(f.Pending) == 0
	})
	require.Less(t, time.Since(start), 18*time.Second)
}

// TestKeysOverTheLog holds that a stored key never carries its secret.
func TestKeysOverTheLog(t *testing.T) {
	secret, hash, err := key.Generate("k")
	require.NoError(t, err)
	k := key.Key{ID: "k", Role: key.Admin, Hash: hash}
	data, err := state.Command{Change: &state.Change{Any: true, Request: "r", Key: &k}}.Encode()
	require.NoError(t, err)
	require.NotContains(t, string(data), secret)
	require.NoError(t, k.Check())
}

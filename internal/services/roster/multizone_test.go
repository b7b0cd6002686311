package roster

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

// fleet is a set of VMs in one process that exchange rosters over the loopback interface.
type fleet struct {
	t       *testing.T
	folder  string
	members map[id.VM]state.Member
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, folder: t.TempDir(), members: map[id.VM]state.Member{}}
	require.NoError(t, cert.NewCA(filepath.Join(f.folder, "ca"), "test", time.Now(), time.Hour))
	return f
}

func (f *fleet) add(vm id.VM, control bool) *Gossip {
	folder := filepath.Join(f.folder, string(vm))
	require.NoError(f.t, cert.NewVM(filepath.Join(f.folder, "ca"), folder, vm, "a", time.Now(), time.Hour))
	store, err := cert.Load(folder)
	require.NoError(f.t, err)
	tr, err := peer.New("127.0.0.1:0", store)
	require.NoError(f.t, err)
	f.members[vm] = state.Member{VM: vm, Zone: "a", Peer: tr.Address(), Control: control}
	g := &Gossip{Transport: tr, Members: func() map[id.VM]state.Member { return f.members }, VM: vm, Zone: "a", MultiZone: true}
	g.Roster = NewMultiZone(vm, 1, 4*time.Second, g.Changed)
	g.Register()
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Serve(ctx)
	f.t.Cleanup(func() { cancel(); tr.Close() })
	return g
}

func (f *fleet) waitForUpstreams(g *Gossip, n int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return len(g.Roster.Snapshot().All) == n }, 10*time.Second, time.Millisecond)
}

// TestIdleRefreshMakesOneCall checks that a VM that has the lists of all control VMs makes one call per refresh. If the
// control VM that it calls does not answer, it fetches the lists from the others.
func TestIdleRefreshMakesOneCall(t *testing.T) {
	f := newFleet(t)
	controlVMs := []*Gossip{f.add("c1", true), f.add("c2", true), f.add("c3", true)}
	e := f.add("e", false)
	for i, g := range controlVMs {
		require.NoError(t, g.Roster.Announce(0, announcement(string(g.VM), uint64(i+1), engine.Ready)))
	}
	for _, g := range controlVMs {
		g.refreshMultiZone(t.Context())
		f.waitForUpstreams(g, 3)
	}
	e.refreshMultiZone(t.Context())
	f.waitForUpstreams(e, 3)
	calls := e.Transport.Stats.Calls.Load()
	for range 5 {
		e.refreshMultiZone(t.Context())
	}
	require.Equal(t, calls+5, e.Transport.Stats.Calls.Load())

	t.Run("a relay that does not answer", func(t *testing.T) {
		relay := state.SortByProximity(e.controlVMs(), e.VM, e.Zone)[0]
		for _, g := range controlVMs {
			if g.VM == relay.VM {
				g.Transport.Close()
				continue
			}
			require.NoError(t, g.Roster.Announce(1, announcement("new"+string(g.VM), 9, engine.Ready)))
		}
		e.refreshMultiZone(t.Context())
		f.waitForUpstreams(e, 5)
	})
}

// TestChangesReachEveryVM checks that new and departed upstreams are broadcast to a VM that fetches no lists itself.
func TestChangesReachEveryVM(t *testing.T) {
	f := newFleet(t)
	c, e := f.add("c1", true), f.add("e", false)
	go c.Run(t.Context())
	for _, n := range []string{"u1", "u2", "u3"} {
		require.NoError(t, c.Roster.Announce(0, announcement(n, 1, engine.Ready)))
	}
	f.waitForUpstreams(e, 3)
	c.Roster.MarkLeaving(1, "u2", 1, 0)
	require.True(t, c.BroadcastAndWait(t.Context(), 10*time.Second))
	f.waitForUpstreams(e, 2)
}

// TestDeparturesAreBatched marks 40 upstreams as leaving at once and checks that their departures share broadcasts.
func TestDeparturesAreBatched(t *testing.T) {
	f := newFleet(t)
	c, other, e := f.add("c1", true), f.add("c2", true), f.add("e", false)
	const n = 40
	for i := range n {
		require.NoError(t, c.Roster.Announce(0, announcement(fmt.Sprint("u", i), 1, engine.Ready)))
	}
	require.True(t, c.BroadcastAndWait(t.Context(), 10*time.Second))
	f.waitForUpstreams(e, n)
	calls := c.Transport.Stats.Calls.Load()
	var wg sync.WaitGroup
	for i := range n {
		c.Roster.MarkLeaving(1, id.Upstream(fmt.Sprint("u", i)), 1, 0)
	}
	for range n {
		wg.Go(func() { assert.True(t, c.BroadcastAndWait(t.Context(), 10*time.Second)) })
	}
	wg.Wait()
	f.waitForUpstreams(e, 0)
	f.waitForUpstreams(other, 0)
	require.Less(t, c.Transport.Stats.Calls.Load()-calls, int64(n), "departures were not batched: as many messages as departures, or more")
}

// TestBroadcastFailsWithoutAnotherControlVM checks that a change is not acknowledged while only one control VM has it.
func TestBroadcastFailsWithoutAnotherControlVM(t *testing.T) {
	f := newFleet(t)
	c, other := f.add("c1", true), f.add("c2", true)
	other.Transport.Close()
	require.NoError(t, c.Roster.Announce(0, announcement("u", 1, engine.Ready)))
	require.False(t, c.BroadcastAndWait(t.Context(), 100*time.Millisecond))
}

// TestBroadcastSucceedsWithOneControlVMStopped stops one of three control VMs. Each broadcast succeeds because the
// other one has the change, although the round also waits for the stopped one.
func TestBroadcastSucceedsWithOneControlVMStopped(t *testing.T) {
	f := newFleet(t)
	c := f.add("c1", true)
	f.add("c2", true)
	f.add("c3", true).Transport.Close()
	for i := range 10 {
		require.NoError(t, c.Roster.Announce(0, announcement("u", uint64(i+1), engine.Ready)))
		require.True(t, c.BroadcastAndWait(t.Context(), 100*time.Millisecond), "round %d", i)
	}
}

// In a large fleet a change crosses to each control VM once, and that passes it on to the VMs next to it.
func TestChangesArePassedOn(t *testing.T) {
	f := newFleet(t)
	c1, c2 := f.add("c1", true), f.add("c2", true)
	near, far := f.add("e1", false), f.add("e2", false)
	move := func(vm id.VM) {
		m := f.members[vm]
		m.Zone = "b"
		f.members[vm] = m
	}
	move("c2")
	move("e2")
	for i := range 2 * maxDirectVMs { // more VMs of the other data centre
		vm := id.VM(fmt.Sprint("x", i))
		f.members[vm] = state.Member{VM: vm, Zone: "b", Peer: "127.0.0.1:9"}
	}
	all := []*Gossip{c1, c2, near, far}
	for _, g := range all {
		go g.runOutbox(t.Context())
	}
	for i := range 3 {
		require.NoError(t, c1.Roster.Announce(0, announcement(fmt.Sprint("u", i), uint64(i+1), engine.Ready)))
		c1.broadcast(t.Context(), c1.pendingUpdate())
		for _, g := range all {
			f.waitForUpstreams(g, i+1)
		}
	}
	require.LessOrEqual(t, c1.Transport.Stats.Calls.Load(), int64(3*2+2)) // to c2 and e1, and what either of them lacked at first
	t.Run("a departure", func(t *testing.T) {
		leaving := announcement("u0", 1, engine.Leaving)
		leaving.Sequence++
		require.NoError(t, c1.Roster.Announce(0, leaving))
		require.True(t, c1.BroadcastAndWait(t.Context(), time.Second))
		for _, g := range all {
			f.waitForUpstreams(g, 2)
		}
	})
}

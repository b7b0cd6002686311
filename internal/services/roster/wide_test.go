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

// fleet is a few VMs in one process that exchange rosters over loopback.
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
	g := &Gossip{Transport: tr, Members: func() map[id.VM]state.Member { return f.members }, VM: vm, Zone: "a", Wide: true}
	g.Roster = NewWide(vm, 1, 4*time.Second, g.Changed)
	g.Register()
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Serve(ctx)
	f.t.Cleanup(func() { cancel(); tr.Close() })
	return g
}

func (f *fleet) knows(g *Gossip, n int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return len(g.Roster.Snapshot().All) == n }, 10*time.Second, time.Millisecond)
}

// TestAtRestOneCallIsEnough has one VM without a list and three control VMs that each have an upstream.
func TestAtRestOneCallIsEnough(t *testing.T) {
	f := newFleet(t)
	control := []*Gossip{f.add("c1", true), f.add("c2", true), f.add("c3", true)}
	e := f.add("e", false)
	for i, g := range control {
		require.NoError(t, g.Roster.Announce(0, announcement(string(g.VM), uint64(i+1), engine.Ready)))
	}
	for _, g := range control {
		g.askWide(t.Context())
		f.knows(g, 3)
	}
	e.askWide(t.Context())
	f.knows(e, 3)
	calls := e.Transport.Stats.Calls.Load()
	for range 5 {
		e.askWide(t.Context())
	}
	require.Equal(t, calls+5, e.Transport.Stats.Calls.Load())

	t.Run("a relay that does not answer", func(t *testing.T) {
		relay := state.Near(e.control(), e.VM, e.Zone)[0]
		for _, g := range control {
			if g.VM == relay.VM {
				g.Transport.Close()
				continue
			}
			require.NoError(t, g.Roster.Announce(1, announcement("new"+string(g.VM), 9, engine.Ready)))
		}
		e.askWide(t.Context())
		f.knows(e, 5)
	})
}

// TestChangesReachEveryVM has one upstream of many change, which another VM learns without asking.
func TestChangesReachEveryVM(t *testing.T) {
	f := newFleet(t)
	c, e := f.add("c1", true), f.add("e", false)
	go c.Run(t.Context())
	for _, n := range []string{"u1", "u2", "u3"} {
		require.NoError(t, c.Roster.Announce(0, announcement(n, 1, engine.Ready)))
	}
	f.knows(e, 3)
	c.Roster.Depart(1, "u2", 1, 0)
	require.True(t, c.Spread(t.Context(), 10*time.Second))
	f.knows(e, 2)
}

// TestDeparturesShareARound has 40 upstreams of one data centre depart at once.
func TestDeparturesShareARound(t *testing.T) {
	f := newFleet(t)
	c, other, e := f.add("c1", true), f.add("c2", true), f.add("e", false)
	const n = 40
	for i := range n {
		require.NoError(t, c.Roster.Announce(0, announcement(fmt.Sprint("u", i), 1, engine.Ready)))
	}
	require.True(t, c.Spread(t.Context(), 10*time.Second))
	f.knows(e, n)
	calls := c.Transport.Stats.Calls.Load()
	var wg sync.WaitGroup
	for i := range n {
		c.Roster.Depart(1, id.Upstream(fmt.Sprint("u", i)), 1, 0)
	}
	for range n {
		wg.Go(func() { assert.True(t, c.Spread(t.Context(), 10*time.Second)) })
	}
	wg.Wait()
	f.knows(e, 0)
	f.knows(other, 0)
	require.Less(t, c.Transport.Stats.Calls.Load()-calls, int64(n), "fewer messages than departures")
}

// Nothing that one VM alone has heard is acknowledged.
func TestSpreadWithoutAnotherControlVMFails(t *testing.T) {
	f := newFleet(t)
	c, other := f.add("c1", true), f.add("c2", true)
	other.Transport.Close()
	require.NoError(t, c.Roster.Announce(0, announcement("u", 1, engine.Ready)))
	require.False(t, c.Spread(t.Context(), 100*time.Millisecond))
}

// One control VM of three has stopped: what the other knows is kept, although the round waits for the one that stopped.
func TestSpreadOutlastsAVMThatStopped(t *testing.T) {
	f := newFleet(t)
	c := f.add("c1", true)
	f.add("c2", true)
	f.add("c3", true).Transport.Close()
	for i := range 10 {
		require.NoError(t, c.Roster.Announce(0, announcement("u", uint64(i+1), engine.Ready)))
		require.True(t, c.Spread(t.Context(), 100*time.Millisecond), "round %d", i)
	}
}

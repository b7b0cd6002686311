package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

func TestTableKeepsRecentOrigins(t *testing.T) {
	var n Table
	k, o := Key{Customer: "c", Request: "q"}, Origin{Service: "s", Version: "v1"}
	n.Put(time.Hour, k, o)
	for _, later := range []time.Duration{0, retention / 2, retention} {
		got, ok := n.Get(time.Hour+later, k)
		require.True(t, ok, later)
		require.Equal(t, o, got)
	}
	_, ok := n.Get(time.Hour, Key{Customer: "other", Request: "q"})
	require.False(t, ok, "a request id of another customer")
	_, ok = n.Get(time.Hour+3*retention, k)
	require.False(t, ok)
}

func TestTableForgetsAfterSilence(t *testing.T) {
	var n Table
	n.Put(0, Key{Request: "q"}, Origin{})
	_, ok := n.Get(2*retention, Key{Request: "q"})
	require.False(t, ok)
}

// sampleMembers returns the given number of VMs in each of the data centres.
func sampleMembers(zones, perZone int) map[id.VM]state.Member {
	members := map[id.VM]state.Member{}
	for z := range zones {
		for i := range perZone {
			vm := id.VM(fmt.Sprintf("vm-%d-%d", z, i))
			members[vm] = state.Member{VM: vm, Zone: id.Zone(fmt.Sprint("z", z))}
		}
	}
	return members
}

// Copies go to the own data centre and to others, and are spread over their holders: few VMs, so that no VM keeps connections to all others.
func TestCopiesAreSpread(t *testing.T) {
	const streams = 9000
	for perZone, holders := range map[int]int{4: 3, 40: 5} {
		members := sampleMembers(5, perZone)
		counts := map[id.Zone]map[id.VM]int{}
		for i := range streams {
			k := Key{Customer: "c", Request: id.Request(fmt.Sprint("q", i))}
			zones := ranking(members, "vm-0-0", k)
			list := copyZones(zones, "z0", k)
			require.Len(t, list, maxCopyZones)
			require.EqualValues(t, "z0", list[0])
			for _, z := range list {
				if counts[z] == nil {
					counts[z] = map[id.VM]int{}
				}
				counts[z][zones[z][0]]++
			}
		}
		for z, list := range counts {
			sent := streams
			if z != "z0" {
				sent = streams * (maxCopyZones - 1) / 4
				require.Len(t, list, holders)
			}
			require.Zero(t, list["vm-0-0"], "a VM sends itself no copy")
			for vm, n := range list {
				require.InDelta(t, sent/len(list), n, float64(sent/len(list))/4, vm)
			}
		}
	}
}

// All VMs rank the holders of a stream in the same order, and a lost VM changes only what it held.
func TestRankingIsTheSameEverywhere(t *testing.T) {
	members, fewer := sampleMembers(3, 4), sampleMembers(3, 4)
	delete(fewer, "vm-1-2")
	for i := range 100 {
		k := Key{Request: id.Request(fmt.Sprint("q", i))}
		a, b, c := ranking(members, "vm-0-0", k), ranking(members, "vm-2-3", k), ranking(fewer, "vm-0-0", k)
		require.Equal(t, a["z1"], b["z1"])
		if a["z1"][0] != "vm-1-2" {
			require.Contains(t, c["z1"][:askedPerZone], a["z1"][0])
		}
	}
}

// group is a number of VMs in one process.
type group struct {
	exchanges []*Exchange
	stops     []func()
}

func newGroup(t *testing.T, zones, perZone int) *group {
	g := &group{}
	members := sampleMembers(zones, perZone)
	for vm, m := range members {
		store, err := cert.NewEphemeral(vm, m.Zone, time.Now())
		require.NoError(t, err)
		transport, err := peer.New("127.0.0.1:0", store)
		require.NoError(t, err)
		m.Peer = transport.Address()
		members[vm] = m
		e := &Exchange{VM: vm, Zone: m.Zone, Transport: transport, Members: func() map[id.VM]state.Member { return members }}
		e.Register()
		ctx, cancel := context.WithCancel(context.Background())
		go transport.Serve(ctx)
		stop := func() {
			cancel()
			transport.Close()
		}
		t.Cleanup(stop)
		g.exchanges, g.stops = append(g.exchanges, e), append(g.stops, stop)
	}
	return g
}

// held returns the number of VMs that have the origin of k.
func (g *group) held(k Key) (n int) {
	for _, e := range g.exchanges {
		if _, ok := e.Table.Get(time.Duration(1), k); ok {
			n++
		}
	}
	return n
}

// A caller may resume its stream at any VM, also after the VM that began the stream has ended.
func TestOriginOutlivesItsVM(t *testing.T) {
	const waitTimeout = 10 * time.Second
	g := newGroup(t, 3, 3)
	o := Origin{Service: "s", Version: "v2"}
	var keys []Key
	for i := range 20 {
		k := Key{Customer: "c", Request: id.Request(fmt.Sprint("q", i))}
		keys = append(keys, k)
		g.exchanges[0].Record(k, o)
		require.Eventually(t, func() bool { return g.held(k) == 1+maxCopyZones }, waitTimeout, time.Millisecond)
	}
	g.stops[0]()
	for _, k := range keys {
		for _, e := range g.exchanges[1:] {
			got, ok := e.Find(context.Background(), k)
			require.True(t, ok)
			require.Equal(t, o, got)
		}
	}
	_, ok := g.exchanges[1].Find(context.Background(), Key{Customer: "c", Request: "never sent"})
	require.False(t, ok)
}

// The next VM of a data centre gets the copy if the preferred one does not confirm it.
func TestCopyGoesToTheNextVM(t *testing.T) {
	const waitTimeout = 10 * time.Second
	g := newGroup(t, 1, 4)
	writer := g.exchanges[0]
	k := Key{Request: "q"}
	preferred := ranking(writer.Members(), writer.VM, k)[writer.Zone][0]
	for i, e := range g.exchanges {
		if e.VM == preferred {
			g.stops[i]()
		}
	}
	writer.Record(k, Origin{Service: "s"})
	require.Eventually(t, func() bool { return g.held(k) == 2 }, waitTimeout, time.Millisecond)
	for i, e := range g.exchanges {
		if i > 0 && e.VM != preferred {
			_, ok := e.Find(context.Background(), k)
			require.True(t, ok)
		}
	}
}

package tally

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// TestHubsAgainstNaive has VMs tell three hubs, which share with losses; once all have shared, each knows what the naive sum of
// what every VM told last knows, and every VM has learnt every placement of the others.
func TestHubsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hubs := []*hub{{epoch: 1}, {epoch: 2}, {epoch: 3}}
		name := func(i int) id.VM { return id.VM(fmt.Sprint("c", i)) }
		told := map[id.VM]heard{}
		var placed []Placed
		asked := int64(0)
		pass := func(now time.Duration, i, k int, answered bool) {
			s, upto := hubs[i].share(now, name(k))
			hubs[k].hear(now, name(i), s)
			if answered {
				hubs[i].told(name(k), upto)
			}
		}
		for i := range hubs {
			for k := range hubs {
				if i != k {
					pass(0, i, k, true)
				}
			}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += 10 * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "hub")
			if rapid.Bool().Draw(t, "share") {
				k := (i + rapid.IntRange(1, 2).Draw(t, "to")) % 3
				pass(now, i, k, rapid.Bool().Draw(t, "answered"))
				continue
			}
			vm := id.VM(fmt.Sprint("vm", i, rapid.IntRange(0, 1).Draw(t, "vm")))
			loads := []Load{{Upstream: "u", Requests: rapid.Int64Range(0, 3).Draw(t, "requests")}}
			p := Placed{Upstream: "u", Chain: uint64(len(placed)), Tokens: 9}
			placed = append(placed, p)
			asked += 5
			hubs[i].exchange(now, vm, sheet{Loads: loads, Placed: []Placed{p}, Asked: []Asked{{Service: "s", Tokens: 5}}})
			told[vm] = heard{at: now, loads: loads}
		}
		for i := range hubs {
			for k := range hubs {
				if i != k {
					pass(now, i, k, true)
				}
			}
		}
		for i, h := range hubs {
			require.Equal(t, naive(told, now, ""), sorted(h.totals(now).Loads))
			known := map[uint64]bool{}
			for _, p := range h.exchange(now, id.VM(fmt.Sprint("new", i)), sheet{}).Placed {
				known[p.Chain] = true
			}
			require.Len(t, known, len(placed))
			sum := h.asked["s"]
			for _, o := range h.hubs {
				sum += o.asked["s"]
			}
			require.Equal(t, asked, sum)
		}
	})
}

// A hub whose VM has been silent for memory must not go on telling the others of that VM's work.
func TestSharedWorkEnds(t *testing.T) {
	a, b := hub{epoch: 1}, hub{epoch: 2}
	a.exchange(0, "vm1", sheet{Loads: []Load{{Upstream: "u", Requests: 1}}})
	s, _ := a.share(0, "c2")
	b.hear(0, "c1", s)
	require.Len(t, b.totals(0).Loads, 1)
	s, _ = a.share(memory+1, "c2")
	b.hear(memory+1, "c1", s)
	require.Empty(t, b.totals(memory+1).Loads)
}

func members(entries int) map[id.VM]state.Member {
	list := map[id.VM]state.Member{}
	for i := range 6 {
		n := id.VM(fmt.Sprint("c", i))
		list[n] = state.Member{VM: n, Zone: id.Zone(fmt.Sprint("z", i%3)), Control: true}
	}
	for i := range entries {
		n := id.VM(fmt.Sprint("vm", i))
		list[n] = state.Member{VM: n, Zone: id.Zone(fmt.Sprint("z", i%3))}
	}
	return list
}

func TestHubsFor(t *testing.T) {
	t.Run("one for a small fleet", func(t *testing.T) {
		m := members(hubVMs)
		require.Equal(t, hubsFor("vm0", m), hubsFor("vm1", m))
		require.Equal(t, id.VM("c0"), hubsFor("c3", m)[0].VM)
	})
	t.Run("the data centre's own for a large one", func(t *testing.T) {
		m := members(90)
		first := map[id.VM]int{}
		for vm, x := range m {
			if x.Control {
				continue
			}
			list := hubsFor(vm, m)
			require.Len(t, list, 6)
			require.Equal(t, x.Zone, list[0].Zone)
			require.Equal(t, x.Zone, list[1].Zone)
			first[list[0].VM]++
		}
		require.Len(t, first, 6)
		for vm, n := range first {
			require.Greater(t, n, 5, "%s serves too few of 15", vm)
		}
	})
	t.Run("another's where it has none", func(t *testing.T) {
		m := members(90)
		for vm, x := range m {
			if x.Control && x.Zone == "z0" {
				delete(m, vm)
			}
		}
		list := hubsFor("vm0", m)
		require.Len(t, list, 4)
		require.False(t, slices.ContainsFunc(list, func(x state.Member) bool { return x.Zone == "z0" }))
	})
}

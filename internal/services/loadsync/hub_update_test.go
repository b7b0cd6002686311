package loadsync

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

// TestHubsConvergeAfterLostAnswers reports loads to three hubs, which update each other while some answers are lost.
// After a final round of updates each hub must have the sum of the last reports of all VMs, and every placement.
func TestHubsConvergeAfterLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peerHubs := []*hub{{epoch: 1}, {epoch: 2}, {epoch: 3}}
		name := func(i int) id.VM { return id.VM(fmt.Sprint("c", i)) }
		reported := map[id.VM]report{}
		var placed []Placed
		promptTokens := int64(0)
		update := func(now time.Duration, i, k int, answered bool) {
			s, last := peerHubs[i].hubUpdate(now, name(k))
			peerHubs[k].applyUpdate(now, name(i), s)
			if answered {
				peerHubs[i].reported(name(k), last)
			}
		}
		for i := range peerHubs {
			for k := range peerHubs {
				if i != k {
					update(0, i, k, true)
				}
			}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += 10 * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "hub")
			if rapid.Bool().Draw(t, "update") {
				k := (i + rapid.IntRange(1, 2).Draw(t, "to")) % 3
				update(now, i, k, rapid.Bool().Draw(t, "answered"))
				continue
			}
			vm := id.VM(fmt.Sprint("vm", i, rapid.IntRange(0, 1).Draw(t, "vm")))
			loads := []Load{{Upstream: "u", Requests: rapid.Int64Range(0, 3).Draw(t, "requests")}}
			p := Placed{Upstream: "u", Chain: uint64(len(placed)), Tokens: 9}
			placed = append(placed, p)
			promptTokens += 5
			peerHubs[i].exchange(now, vm, exchangeRequest{Loads: loads, Placed: []Placed{p}, RequestedTokens: []RequestedTokens{{Service: "s", Tokens: 5}}})
			reported[vm] = report{at: now, loads: loads}
		}
		for i := range peerHubs {
			for k := range peerHubs {
				if i != k {
					update(now, i, k, true)
				}
			}
		}
		for i, h := range peerHubs {
			require.Equal(t, expectedLoads(reported, now, ""), sorted(h.totals(now).Loads))
			known := map[uint64]bool{}
			for _, p := range h.exchange(now, id.VM(fmt.Sprint("new", i)), exchangeRequest{}).Placed {
				known[p.Chain] = true
			}
			require.Len(t, known, len(placed))
			sum := h.promptTokens["s"]
			for _, o := range h.peerHubs {
				sum += o.promptTokens["s"]
			}
			require.Equal(t, promptTokens, sum)
		}
	})
}

// TestHubStopsSharingExpiredLoads checks that a hub does not send the loads of a VM whose report has expired.
func TestHubStopsSharingExpiredLoads(t *testing.T) {
	a, b := hub{epoch: 1}, hub{epoch: 2}
	a.exchange(0, "vm1", exchangeRequest{Loads: []Load{{Upstream: "u", Requests: 1}}})
	s, _ := a.hubUpdate(0, "c2")
	b.applyUpdate(0, "c1", s)
	require.Len(t, b.totals(0).Loads, 1)
	s, _ = a.hubUpdate(reportTTL+1, "c2")
	b.applyUpdate(reportTTL+1, "c1", s)
	require.Empty(t, b.totals(reportTTL+1).Loads)
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
	t.Run("a small fleet uses one hub", func(t *testing.T) {
		m := members(singleHubMaxVMs)
		require.Equal(t, hubsFor("vm0", m), hubsFor("vm1", m))
		require.Equal(t, id.VM("c0"), hubsFor("c3", m)[0].VM)
	})
	t.Run("a large fleet prefers hubs in the same data centre", func(t *testing.T) {
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
			require.Greater(t, n, 5, "%s serves too few of the 15 VMs", vm)
		}
	})
	t.Run("a data centre without hubs uses those of others", func(t *testing.T) {
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

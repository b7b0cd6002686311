package loadsync

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

// expectedLoads computes the sum of the last, unexpired reports of all VMs except from.
func expectedLoads(reported map[id.VM]report, now time.Duration, from id.VM) []Load {
	sum := map[id.Upstream]Load{}
	for vm, x := range reported {
		if vm == from || now-x.at > reportTTL {
			continue
		}
		for _, l := range x.loads {
			t := sum[l.Upstream]
			sum[l.Upstream] = Load{
				Upstream: l.Upstream, Requests: t.Requests + l.Requests, PendingPrefill: t.PendingPrefill + l.PendingPrefill,
				Failed: t.Failed + l.Failed, Answers: t.Answers + l.Answers,
			}
		}
	}
	list := []Load{}
	for _, l := range sum {
		if l.Requests != 0 || l.PendingPrefill != 0 || l.Failed != 0 || l.Answers != 0 {
			list = append(list, l)
		}
	}
	return sorted(list)
}

func sorted(list []Load) []Load {
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

func TestHubMatchesExpectedLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h hub
		reported := map[id.VM]report{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			vm := id.VM(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")))
			var loads []Load
			for range rapid.IntRange(0, 4).Draw(t, "loads") {
				loads = append(loads, Load{
					Upstream: id.Upstream(fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream"))),
					Requests: rapid.Int64Range(0, 3).Draw(t, "requests"), PendingPrefill: rapid.Int64Range(0, 900).Draw(t, "pending prefill"),
					Failed: rapid.Int64Range(0, 2).Draw(t, "failed"), Answers: rapid.Int64Range(0, 9).Draw(t, "answers"),
				})
			}
			reported[vm] = report{at: now, loads: loads}
			got := h.exchange(now, vm, exchangeRequest{Loads: loads}).Loads
			require.Equal(t, expectedLoads(reported, now, vm), sorted(got))
			require.Equal(t, expectedLoads(reported, now, ""), sorted(h.totals(now).Loads))
		}
	})
}

// TestPlacementsReachOtherVMsOnce also checks that a VM which knows another epoch of the hub receives all placements.
func TestPlacementsReachOtherVMsOnce(t *testing.T) {
	h := hub{epoch: 7}
	p := Placed{Upstream: "u", Chain: 3, Tokens: 100}
	h.exchange(0, "vm1", exchangeRequest{Placed: []Placed{p}})
	r := h.exchange(0, "vm2", exchangeRequest{})
	require.Equal(t, []Placed{p}, r.Placed)
	require.Empty(t, h.exchange(0, "vm2", exchangeRequest{Epoch: r.Epoch, After: r.LastPlacement}).Placed)
	require.Empty(t, h.exchange(0, "vm1", exchangeRequest{}).Placed, "a VM received its own placement")
	require.Equal(t, []Placed{p}, h.exchange(0, "vm2", exchangeRequest{Epoch: 6, After: r.LastPlacement}).Placed)
}

// BenchmarkExchange measures one exchange on a hub of n VMs that each have work at 140 upstreams.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{6, 83, 371} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var loads []Load
			for i := range 140 {
				loads = append(loads, Load{Upstream: id.Upstream(fmt.Sprint("u", i)), Requests: 1, PendingPrefill: 100})
			}
			var h hub
			for i := range n {
				h.exchange(0, id.VM(fmt.Sprint("vm", i)), exchangeRequest{Loads: loads})
			}
			for b.Loop() {
				h.exchange(0, "vm0", exchangeRequest{Loads: loads})
			}
		})
	}
}

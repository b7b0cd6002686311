package tunnel

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// sampleMembers returns three data centres with a control VM and several entry VMs each.
func sampleMembers(entries int) map[id.VM]state.Member {
	members := map[id.VM]state.Member{}
	for z := range 3 {
		zone := id.Zone(fmt.Sprint("z", z))
		control := id.VM(fmt.Sprint("core-", z))
		members[control] = state.Member{VM: control, Zone: zone, Control: true}
		for i := range entries {
			vm := id.VM(fmt.Sprintf("entry-%d-%d", z, i))
			members[vm] = state.Member{VM: vm, Zone: zone}
		}
	}
	return members
}

func isEntry(m state.Member) bool { return !m.Control }

func TestOrderOfHelpers(t *testing.T) {
	members := sampleMembers(3)
	order := func(h *helpers, now time.Duration, address string) []id.VM {
		return h.order(now, members, "entry-0-0", "z0", address, isEntry)
	}
	t.Run("own data centre first, a control VM last", func(t *testing.T) {
		list := order(&helpers{}, 0, "a")
		require.Len(t, list, maxEntryTries+maxControlTries)
		require.ElementsMatch(t, []id.VM{"entry-0-1", "entry-0-2"}, list[:2])
		require.EqualValues(t, "core-0", list[len(list)-1])
		require.NotContains(t, list, id.VM("entry-0-0"))
	})
	t.Run("VMs that connected first, those that failed last", func(t *testing.T) {
		var h helpers
		for vm, m := range members {
			if m.Zone == "z0" {
				h.record(0, vm, false)
			}
		}
		h.record(0, "entry-2-1", true)
		list := order(&h, time.Second, "a")
		require.EqualValues(t, "entry-2-1", list[0])
		require.NotContains(t, list, id.VM("entry-0-1"))
		require.Contains(t, order(&h, 2*resultRetention, "a")[:2], id.VM("entry-0-1"), "results are forgotten")
	})
	t.Run("addresses are spread over the VMs", func(t *testing.T) {
		const addresses = 400
		counts := map[id.VM]int{}
		for i := range addresses {
			counts[order(&helpers{}, 0, fmt.Sprint("address ", i))[0]]++
		}
		require.Len(t, counts, 2)
		for vm, n := range counts {
			require.InDelta(t, addresses/2, n, addresses/8, vm)
		}
	})
}

// All but one entry VM of a fleet are cut off: each finds the sound one, and asks it first from then on.
func TestSoundVMIsFound(t *testing.T) {
	members := sampleMembers(3)
	const sound = id.VM("entry-2-2")
	for self, m := range members {
		if m.Control || self == sound {
			continue
		}
		var h helpers
		asked, found := 0, false
		for round := range 4 {
			now := time.Duration(round) * 100 * time.Millisecond
			for _, vm := range h.order(now, members, self, m.Zone, "a", isEntry) {
				asked++
				ok := vm == sound || members[vm].Control
				h.record(now, vm, ok)
				if ok {
					found = found || vm == sound
					break
				}
			}
		}
		require.LessOrEqual(t, asked, 2*len(members), self)
		list := h.order(time.Second, members, self, m.Zone, "a", isEntry)
		if found {
			require.Equal(t, sound, list[0], self)
		}
	}
}

package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

func TestSortByProximityPrefersOwnZoneAndSpreads(t *testing.T) {
	list := []Member{{VM: "c1", Zone: "a"}, {VM: "c2", Zone: "a"}, {VM: "c3", Zone: "b"}, {VM: "c4", Zone: "b"}}
	firstChoices := map[id.VM]int{}
	for i := range 200 {
		sorted := SortByProximity(list, id.VM(fmt.Sprint("vm", i)), "b")
		require.Len(t, sorted, 4)
		firstChoices[sorted[0].VM]++
	}
	require.Len(t, firstChoices, 2, "VMs of the same zone come first")
	require.Greater(t, firstChoices["c3"], 50)
	require.Greater(t, firstChoices["c4"], 50)
	otherZone := []Member{{VM: "c1", Zone: "a"}, {VM: "c2", Zone: "a"}}
	require.Len(t, SortByProximity(otherZone, "vm1", "b"), 2, "VMs of another zone are kept if the own zone has none")
	require.Empty(t, SortByProximity(nil, "vm1", "b"))
}

func TestControlVMsAndCountEntryVMs(t *testing.T) {
	members := map[id.VM]Member{"c2": {VM: "c2", Control: true}, "c1": {VM: "c1", Control: true}, "e": {VM: "e"}}
	require.Equal(t, []Member{{VM: "c1", Control: true}, {VM: "c2", Control: true}}, ControlVMs(members))
	require.Equal(t, 1, CountEntryVMs(members))
}

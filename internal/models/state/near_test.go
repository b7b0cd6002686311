package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

func TestNear(t *testing.T) {
	list := []Member{{VM: "c1", Zone: "a"}, {VM: "c2", Zone: "a"}, {VM: "c3", Zone: "b"}, {VM: "c4", Zone: "b"}}
	picked := map[id.VM]int{}
	for i := range 200 {
		sorted := Near(list, id.VM(fmt.Sprint("vm", i)), "b")
		require.Len(t, sorted, 4)
		picked[sorted[0].VM]++
	}
	require.Len(t, picked, 2, "only those of its zone")
	require.Greater(t, picked["c3"], 50)
	require.Greater(t, picked["c4"], 50)
	other := []Member{{VM: "c1", Zone: "a"}, {VM: "c2", Zone: "a"}}
	require.Len(t, Near(other, "vm1", "b"), 2, "another zone's where its own has none")
	require.Empty(t, Near(nil, "vm1", "b"))
}

func TestControlVMsAndEntries(t *testing.T) {
	members := map[id.VM]Member{"c2": {VM: "c2", Control: true}, "c1": {VM: "c1", Control: true}, "e": {VM: "e"}}
	require.Equal(t, []Member{{VM: "c1", Control: true}, {VM: "c2", Control: true}}, ControlVMs(members))
	require.Equal(t, 1, Entries(members))
}

package authority

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// VMs that start together, knowing the same seeds or control VMs, spread over them.
func TestRelaysAreSpread(t *testing.T) {
	const vms = 195
	for name, members := range map[string][]state.Member{
		"seeds only": nil,
		"control VMs of other data centres": {
			{VM: "c1", Zone: "b", Peer: "c1:1", Control: true}, {VM: "c2", Zone: "c", Peer: "c2:1", Control: true}, {VM: "c3", Zone: "d", Peer: "c3:1", Control: true},
		},
		"control VMs of the data centre": {
			{VM: "c1", Zone: "a", Peer: "c1:1", Control: true}, {VM: "c2", Zone: "a", Peer: "c2:1", Control: true}, {VM: "c3", Zone: "a", Peer: "c3:1", Control: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			machine := newFeed()
			for i, m := range members {
				data, err := state.Command{Join: &m}.Encode()
				require.NoError(t, err)
				machine.Machine.Apply(id.Index(i+1), data)
			}
			machine.Publish()
			machine.Machine.Publish()
			first := map[string]int{}
			for i := range vms {
				a := &Agent{opt: Options{VM: id.VM(fmt.Sprint("e", i)), Zone: "a"}, feed: machine}
				a.seeds.Store([]string{"c1:1", "c2:1", "c3:1"})
				list := a.relayCandidates()
				require.Len(t, list, 3)
				first[list[0]]++
			}
			for _, n := range first {
				require.InDelta(t, vms/3, n, vms/6)
			}
			require.Len(t, first, 3)
		})
	}
}

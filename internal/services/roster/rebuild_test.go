package roster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// When everything restarts, the lists of five control VMs change with each engine that announces itself. A VM makes few new snapshots of them,
// and the last one has all.
func TestRestartMakesFewSnapshots(t *testing.T) {
	const engines, controlVMs, length = 560, 5, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := NewMultiZone("e", 1, time.Minute, func() {})
		const pause = 100 * time.Microsecond
		r.LimitRebuilds(pause)
		r.Apply(clock.SinceBoot(), fullList("c0", engines))
		snapshots, last := 0, r.Snapshot()
		for i := range engines {
			time.Sleep(length / engines)
			vm, n := id.VM(fmt.Sprint("c", 1+i%(controlVMs-1))), uint64(1+i/(controlVMs-1))
			v := ListUpdate{VM: vm, Epoch: 1, Version: n, Since: n - 1, Full: n == 1, List: []engine.Announcement{announcement(fmt.Sprint("new", i), 1, engine.Ready)}}
			require.True(t, r.Apply(clock.SinceBoot(), v))
			if s := r.Snapshot(); s != last {
				snapshots, last = snapshots+1, s
			}
		}
		time.Sleep(time.Second)
		require.Len(t, r.Snapshot().All, 2*engines)
		require.LessOrEqual(t, snapshots, int(length/(engines*pause))+1)
		require.Positive(t, snapshots)
	})
}

// fullList returns the list of a VM to which n upstreams announce themselves.
func fullList(vm id.VM, n int) ListUpdate {
	v := ListUpdate{VM: vm, Epoch: 1, Version: 1, Full: true}
	for i := range n {
		v.List = append(v.List, announcement(fmt.Sprint(vm, "-", i), 1, engine.Ready))
	}
	return v
}

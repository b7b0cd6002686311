package engine

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a load that is no count: it would make an upstream look idle, or full by an overflow.
func TestLoadsOutOfRange(t *testing.T) {
	require.NoError(t, Load{}.Check())
	require.NoError(t, Load{Running: 3, Queued: 1, KVBlocks: 410, PendingPrefill: 9000}.Check())
	for _, n := range []int64{-1, math.MinInt64, math.MaxInt64} {
		for _, l := range []Load{{Running: n}, {Queued: n}, {KVBlocks: n}, {PendingPrefill: n}} {
			require.Error(t, l.Check(), "%+v", l)
			a := Announcement{Name: "e", Zone: "a", Address: "10.0.0.1:80", State: Ready, Service: "s", Load: &l}
			require.Error(t, a.Check(), "%+v", l)
		}
	}
}

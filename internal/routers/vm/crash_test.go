package vm

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/services/emulate"
)

// A VM that has already dropped a crashed upstream must still confirm to another VM that it refuses connections.
func TestCrashIsConfirmedByVMThatKnowsIt(t *testing.T) {
	f := newFleet(t, 2)
	e := f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	u := f.vms[1].roster.Snapshot().All[0]
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	e.Crash(ended) // for good
	f.vms[1].roster.MarkCrashed(clock.SinceBoot(), u.Name, u.Incarnation)
	_, err := f.vms[0].dialer.Dial(t.Context(), u.Address, time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

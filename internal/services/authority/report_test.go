package authority

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The transport answers other VMs from the moment it is bound, so a report may reach a relay before its Run.
func TestReportBeforeRun(t *testing.T) {
	a, err := New(Options{VM: "vm1", Timing: Timing{Lease: time.Second}})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = a.gather(ctx, reports{List: []Report{{VM: "vm2"}}, Hops: 1})
	require.ErrorIs(t, err, ErrNoQuorum)
}

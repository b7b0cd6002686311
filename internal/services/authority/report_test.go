package authority

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReportBeforeRun sends a report to a relay before its Run has started: the transport serves peers as soon as it is
// bound.
func TestReportBeforeRun(t *testing.T) {
	a, err := New(Options{VM: "vm1", Timing: Timing{Lease: time.Second}})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = a.batchReports(ctx, reportBatch{List: []Report{{VM: "vm2"}}, Hops: 1})
	require.ErrorIs(t, err, ErrNoQuorum)
}

package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// join applies the entry at i that makes vm a member of the state that a follows.
func join(t *testing.T, a *Authority, i id.Index, vm id.VM, inc id.Incarnation) {
	t.Helper()
	data, err := state.Command{Join: &state.Member{VM: vm, Incarnation: inc}}.Encode()
	require.NoError(t, err)
	require.Equal(t, state.OK, a.feed.Machine.Apply(i, data).Code)
	a.feed.Publish()
}

const at = time.Minute // of the first look at the members

// joined returns a leader of long standing that has just seen vm2 among the members.
func joined(t *testing.T) (*Authority, *leader) {
	t.Helper()
	a, err := New(Options{VM: "vm1", Timing: Timing{Lease: 3 * time.Second}})
	require.NoError(t, err)
	a.leader.reset(time.Second)
	join(t, a, 1, "vm2", 7)
	require.Empty(t, a.leader.dead(at))
	return a, a.leader
}

// A VM that joins a leader of long standing reports only after it has joined. It must not be removed before.
func TestJoinedVMHasALeaseToReport(t *testing.T) {
	a, l := joined(t)
	require.Empty(t, l.dead(at+2*time.Second))
	dead := l.dead(at + 4*time.Second)
	require.Len(t, dead, 1)
	require.Equal(t, id.VM("vm2"), dead[0].VM)

	join(t, a, 2, "vm2", 8) // its next incarnation has a lease of its own
	require.Empty(t, l.dead(at+4*time.Second))
}

// A VM that was removed while it was cut off joins again with the incarnation that it had.
func TestRemovedVMJoinsAgain(t *testing.T) {
	_, l := joined(t)
	require.Len(t, l.dead(at+4*time.Second), 1)
	require.Empty(t, l.dead(at+5*time.Second), "it had no time to report since it joined again")
}

package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// applyJoin applies a log entry at index i that makes vm a member.
func applyJoin(t *testing.T, a *Agent, i id.Index, vm id.VM, inc id.Incarnation) {
	t.Helper()
	data, err := state.Command{Join: &state.Member{VM: vm, Incarnation: inc}}.Encode()
	require.NoError(t, err)
	require.Equal(t, state.OK, a.feed.Machine.Apply(i, data).Code)
	a.feed.Publish()
}

const firstSeenAt = time.Minute // when the leader first sees vm2 among the members

// newLeaderWithMember returns a leader that has led for nearly a minute and has just seen vm2 among the members.
func newLeaderWithMember(t *testing.T) (*Agent, *leader) {
	t.Helper()
	a, err := New(Options{VM: "vm1", Timing: Timing{Lease: 3 * time.Second}})
	require.NoError(t, err)
	a.leader.reset(time.Second)
	applyJoin(t, a, 1, "vm2", 7)
	require.Empty(t, a.leader.expiredMembers(firstSeenAt))
	return a, a.leader
}

// TestNewMemberIsKeptUntilItCanReport guards against a long-standing leader removing a VM that has just joined: a VM
// reports only after it has joined.
func TestNewMemberIsKeptUntilItCanReport(t *testing.T) {
	a, l := newLeaderWithMember(t)
	require.Empty(t, l.expiredMembers(firstSeenAt+2*time.Second))
	expiredMembers := l.expiredMembers(firstSeenAt + 4*time.Second)
	require.Len(t, expiredMembers, 1)
	require.Equal(t, id.VM("vm2"), expiredMembers[0].VM)

	applyJoin(t, a, 2, "vm2", 8) // the next incarnation has a lease of its own
	require.Empty(t, l.expiredMembers(firstSeenAt+4*time.Second))
}

// TestRemovedVMRejoinsWithSameIncarnation covers a VM that is removed while disconnected and joins again with the same
// incarnation.
func TestRemovedVMRejoinsWithSameIncarnation(t *testing.T) {
	_, l := newLeaderWithMember(t)
	require.Len(t, l.expiredMembers(firstSeenAt+4*time.Second), 1)
	require.Empty(t, l.expiredMembers(firstSeenAt+5*time.Second), "removed before it could report after rejoining")
}

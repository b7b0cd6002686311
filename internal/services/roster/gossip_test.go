package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// TestUpdateSinceSendsOnlyChanges announces 140 upstreams and changes one of them. The update holds only that change; a
// VM that does not have the list rejects it.
func TestUpdateSinceSendsOnlyChanges(t *testing.T) {
	r := newRoster("vm1")
	for i := range 140 {
		require.NoError(t, r.Announce(0, announcement(fmt.Sprint("u", i), 1, engine.Ready)))
	}
	full := r.ListUpdate(true)
	g := &Gossip{Roster: r}
	require.True(t, g.pendingUpdate().Full, "nothing has been broadcast yet")
	require.NoError(t, r.Announce(1, announcement("u7", 1, engine.Leaving)))
	v := g.pendingUpdate()
	require.Equal(t, full.Version, v.Since)
	require.Len(t, v.List, 1)
	require.Zero(t, g.pendingUpdate().Since, "nothing has changed since")

	b := newRoster("vm2")
	require.False(t, b.Apply(1, v), "changes to a list that the receiver does not have")
	require.True(t, b.Apply(1, full))
	require.True(t, b.Apply(1, v))
	require.Len(t, names(b), 139)
	require.False(t, b.Apply(1, ListUpdate{VM: "vm1", Epoch: 2, Version: 200, Since: full.Version}), "changes to the list of another epoch")
}

func TestDroppedListIsBounded(t *testing.T) {
	r := newRoster("vm1")
	for i := range maxDropped + 1 {
		n := fmt.Sprint("u", i)
		require.NoError(t, r.Announce(0, announcement(n, 1, engine.Ready)))
		r.ownList.drop(id.Upstream(n))
	}
	require.Len(t, r.ownList.dropped, 1)
	require.True(t, r.Since(1, 1).Full, "upstreams dropped after version 1 are no longer recorded")
	require.False(t, r.Since(1, r.ownList.version-1).Full)
}

// TestRelayedVersionsKeepTheirAge checks that a version passed on by a relay does not extend the life of a list: it
// expires as early as if it had been received directly.
func TestRelayedVersionsKeepTheirAge(t *testing.T) {
	from, relay, to := newRoster("vm1"), newRoster("vm2"), newRoster("vm3")
	require.NoError(t, from.Announce(0, announcement("u", 1, engine.Ready)))
	require.True(t, relay.Apply(0, from.ListUpdate(true)))
	require.True(t, to.Apply(0, from.ListUpdate(true)))
	now := 900 * time.Millisecond
	for _, s := range relay.Versions(now) {
		if s.VM == "vm1" {
			require.Equal(t, now, s.Age)
			require.True(t, to.Apply(now-s.Age, ListUpdate{VM: s.VM, Epoch: s.Epoch, Version: s.Version}))
		}
	}
	to.Expire(PeerTimeout + 1)
	require.Empty(t, names(to))
}

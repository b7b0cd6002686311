package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// TestChangesOnly announces 140 upstreams, of which one changes: the others are told of that one, or of all where they have
// nothing to add it to.
func TestChangesOnly(t *testing.T) {
	r := newRoster("vm1")
	for i := range 140 {
		require.NoError(t, r.Announce(0, announcement(fmt.Sprint("u", i), 1, engine.Ready)))
	}
	full := r.Vouch(true)
	g := &Gossip{Roster: r}
	require.True(t, g.changes().Full, "nobody has been told anything")
	require.NoError(t, r.Announce(1, announcement("u7", 1, engine.Leaving)))
	v := g.changes()
	require.Equal(t, full.Version, v.Since)
	require.Len(t, v.List, 1)
	require.Zero(t, g.changes().Since, "nothing has changed since")

	b := newRoster("vm2")
	require.False(t, b.Hear(1, v), "a change to a list that it does not have")
	require.True(t, b.Hear(1, full))
	require.True(t, b.Hear(1, v))
	require.Len(t, names(b), 139)
	require.False(t, b.Hear(1, Vouch{VM: "vm1", Epoch: 2, Version: 200, Since: full.Version}), "a change to an earlier life's list")
}

func TestDroppedAreForgottenAtABound(t *testing.T) {
	r := newRoster("vm1")
	for i := range mostDropped + 1 {
		n := fmt.Sprint("u", i)
		require.NoError(t, r.Announce(0, announcement(n, 1, engine.Ready)))
		r.own.drop(id.Upstream(n))
	}
	require.Len(t, r.own.dropped, 1)
	require.True(t, r.Since(1, 1).Full, "what was dropped after version 1 is not known any more")
	require.False(t, r.Since(1, r.own.version-1).Full)
}

// A relay passes on what it heard a while ago: that word lapses as early as if it had come straight.
func TestRelayedWordsAgeOnTheWay(t *testing.T) {
	from, relay, to := newRoster("vm1"), newRoster("vm2"), newRoster("vm3")
	require.NoError(t, from.Announce(0, announcement("u", 1, engine.Ready)))
	require.True(t, relay.Hear(0, from.Vouch(true)))
	require.True(t, to.Hear(0, from.Vouch(true)))
	now := 900 * time.Millisecond
	for _, s := range relay.Words(now) {
		if s.VM == "vm1" {
			require.Equal(t, now, s.Age)
			require.True(t, to.Hear(now-s.Age, Vouch{VM: s.VM, Epoch: s.Epoch, Version: s.Version}))
		}
	}
	to.Expire(Vouching + 1)
	require.Empty(t, names(to))
}

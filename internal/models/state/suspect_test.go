package state

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/id"
)

func crashReport(u id.Upstream, at suspect.Millis) Command {
	return Command{Report: &suspect.Report{Upstream: u, Incarnation: 1, At: at, Runs: []suspect.Run{{Request: 7, Began: at - 1}}}}
}

// A VM that restarts or joins reads the crashes from a snapshot.
func TestSuspectsSurviveSnapshots(t *testing.T) {
	l := newReplicaPair(t)
	l.apply(crashReport("u1", 1000))
	l.apply(crashReport("u1", 1200))
	l.restoreCopy()
	l.apply(crashReport("u2", 2000))
	_, data, err := l.m.FollowerSnapshot()
	require.NoError(t, err)
	follower := New()
	require.NoError(t, follower.Restore(data))
	for _, m := range []*Machine{l.m, l.copy, follower} {
		m.Publish()
		require.Len(t, m.Suspects()[7], 2)
	}
	l.apply(Command{Report: &suspect.Report{Upstream: "u3", At: 3000, Runs: []suspect.Run{{Request: 7}}, Completed: true}})
	l.m.Publish()
	require.Empty(t, l.m.Suspects())
}

// A snapshot of a version that did not know suspects.
func TestSnapshotWithoutSuspects(t *testing.T) {
	m := New()
	m.t.Suspects = nil
	data, err := cbor.Marshal(m.t)
	require.NoError(t, err)
	n := New()
	require.NoError(t, n.Restore(data))
	require.Equal(t, OK, n.Apply(1, encode(t, crashReport("u1", 1000))).Code)
	n.Publish()
	require.Len(t, n.Suspects(), 1)
}

func encode(t *testing.T, c Command) []byte {
	data, err := c.Encode()
	require.NoError(t, err)
	return data
}

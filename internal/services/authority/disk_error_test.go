package authority

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
)

// fullDisk refuses every write.
type fullDisk struct{}

func (fullDisk) Save(*quorum.HardState, []quorum.Entry) error { return errors.New("no space left") }

func (fullDisk) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error {
	return errors.New("no space left")
}
func (fullDisk) Size() int64  { return 0 }
func (fullDisk) Close() error { return nil }

// A control VM whose replica has stopped must end, so that it is started again. If it only stops to replicate, the loss of one
// more control VM leaves no quorum, also after the disk has room again.
func TestDiskErrorEndsAgent(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, Bootstrap(folder, "vm1", nil))
	a, err := New(Options{VM: "vm1", Zone: "z", Incarnation: 1, Folder: folder, Timing: Timing{ElectionTimeout: 100 * time.Millisecond}})
	require.NoError(t, err)
	_, data, err := a.State().Snapshot()
	require.NoError(t, err)
	snapshot := quorum.Snapshot{Index: 1, Term: 1, Members: quorum.Members{Voters: []quorum.Node{a.node}}, Data: data}
	a.replica, err = replica.New(replica.Options[state.Result]{
		Self: a.node, Disk: fullDisk{}, StateMachine: a.feed, State: quorum.State{Snapshot: snapshot},
		Send: func(quorum.Message) {}, ElectionTimeout: 100 * time.Millisecond, Seed: 1,
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "no space left")
	case <-time.After(20 * time.Second):
		require.Fail(t, "the agent goes on without its replica")
	}
}

package authority

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
)

// nonLeader returns a control VM other than leader.
func (g *testFleet) nonLeader(leader *node) *node {
	i := slices.IndexFunc(g.vms, func(n *node) bool { return n != leader && n.control })
	return g.vms[i]
}

// TestEnrollmentThroughNonLeader wipes the disk of a learner whose only seed is not the leader. The seed must forward
// the enrollment.
func TestEnrollmentThroughNonLeader(t *testing.T) {
	g := newTestFleet(t, 3, 0)
	g.commitChange(g.vms[0], "r0", "c0")
	leader := g.leader()
	n := &node{name: "vm3", control: true, address: "127.0.0.1:0", seeds: []string{g.nonLeader(leader).address}}
	g.vms = append(g.vms, n)
	g.start(n)
	g.waitUntil("vm3 enrolled", func() bool { return n.authority.Config().Revision == 1 })
	old := n.authority.node
	g.kill(n)
	require.NoError(t, os.RemoveAll(g.path("vm3")))
	g.start(n)
	g.waitUntil("vm3 enrolled with its new disk", func() bool { return n.authority.Config().Revision == 1 })
	s, _ := g.leader().authority.Status()
	require.True(t, s.Members.Contains(n.authority.node))
	require.False(t, s.Members.Contains(old), "the learner whose disk is gone is still a member")
}

func TestEnrollmentFromNonMemberIsRefused(t *testing.T) {
	g := newTestFleet(t, 1, 0)
	q := enrollment{Node: "vm9/disk", Address: "127.0.0.1:1", Hops: 1}
	_, err := g.vms[0].authority.onEnroll(context.Background(), "vm8", q)
	require.ErrorContains(t, err, "enrolment of vm9/disk from vm8")
}

func TestFeedWithoutStateIsRefused(t *testing.T) {
	a, err := New(Options{VM: "vm1"})
	require.NoError(t, err)
	_, err = a.onFeed(context.Background(), "vm2", feedRequest{})
	require.ErrorContains(t, err, "no state yet")
}

// TestLaggingRelayIsReplaced gives a VM a relay in its data centre that forwards calls to the leader but whose feed has
// stopped at an old index. The VM must switch to another relay, or it never applies the index in its grants and never
// gets a lease.
func TestLaggingRelayIsReplaced(t *testing.T) {
	g := newTestFleet(t, 1, 0)
	leader := g.vms[0]
	tr := g.transport("relay", "127.0.0.1:0", "zone1")
	m := state.Member{VM: "relay", Zone: "zone1", Peer: tr.Address(), Incarnation: 1, Control: true}
	_, err := leader.authority.Propose(context.Background(), state.Command{Join: &m})
	require.NoError(t, err)
	_, old, err := leader.authority.feed.FollowerSnapshot()
	require.NoError(t, err)
	applied := leader.authority.feed.Index()
	g.commitChange(leader, "r0", "c0")

	peer.Handle(tr, methodFeed, func(ctx context.Context, _ id.VM, q feedRequest) (feedAnswer, error) {
		if q.After < applied {
			return feedAnswer{Snapshot: old}, nil
		}
		time.Sleep(leader.authority.timing.feedWait())
		return feedAnswer{}, nil
	})
	peer.Handle(tr, methodAppliedIndex, func(context.Context, id.VM, empty) (indexAnswer, error) {
		return indexAnswer{Index: applied}, nil
	})
	peer.Handle(tr, methodReport, func(ctx context.Context, _ id.VM, q reportBatch) (grantBatch, error) {
		return peer.Call[grantBatch](ctx, tr, leader.address, methodReport, q)
	})
	peer.Handle(tr, methodPropose, func(ctx context.Context, _ id.VM, q proposal) (proposalAnswer, error) {
		return peer.Call[proposalAnswer](ctx, tr, leader.address, methodPropose, q)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Serve(ctx)
	t.Cleanup(func() { cancel(); tr.Close() })

	n := &node{name: "vm1", address: "127.0.0.1:0", seeds: []string{tr.Address(), leader.address}}
	g.vms = append(g.vms, n)
	g.start(n)
	g.waitUntil("vm1 has a lease and the latest revision", func() bool { return n.authority.Leased(clock.SinceBoot(), 0) && n.authority.Config().Revision == 1 })
}

func TestWithLearnerReplacesEarlierDiskOfVM(t *testing.T) {
	m := quorum.Members{Voters: []quorum.Node{"vm1/a", "vm2/b"}, Learners: []quorum.Node{"vm3/c", "vm4/d"}}
	got := withLearner(m, "vm3/e")
	require.Equal(t, m.Voters, got.Voters)
	require.ElementsMatch(t, []quorum.Node{"vm4/d", "vm3/e"}, got.Learners)
}

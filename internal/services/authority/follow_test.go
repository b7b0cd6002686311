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

// followerOf returns a control VM that does not lead.
func (g *group) followerOf(leader *node) *node {
	i := slices.IndexFunc(g.nodes, func(n *node) bool { return n != leader && n.control })
	return g.nodes[i]
}

// TestDiskEnrolsThroughAnyControlVM wipes a learner whose only seed does not lead: the seed passes the enrolment on.
func TestDiskEnrolsThroughAnyControlVM(t *testing.T) {
	g := newGroup(t, 3, 0)
	g.accept(g.nodes[0], "r0", "c0")
	leader := g.leader()
	n := &node{name: "vm3", control: true, address: "127.0.0.1:0", seeds: []string{g.followerOf(leader).address}}
	g.nodes = append(g.nodes, n)
	g.start(n)
	g.until("taken in", func() bool { return n.a.Config().Revision == 1 })
	old := n.a.node
	g.kill(n)
	require.NoError(t, os.RemoveAll(g.path("vm3")))
	g.start(n)
	g.until("taken in again", func() bool { return n.a.Config().Revision == 1 })
	s, _ := g.leader().a.Status()
	require.True(t, s.Members.Has(n.a.node))
	require.False(t, s.Members.Has(old), "the learner whose disk is gone is still a member")
}

func TestEnrolmentFromAStrangerIsRefused(t *testing.T) {
	g := newGroup(t, 1, 0)
	q := enrollment{Node: "vm9/disk", Address: "127.0.0.1:1", Hops: 1}
	_, err := g.nodes[0].a.onEnroll(context.Background(), "vm8", q)
	require.ErrorContains(t, err, "enrolment of vm9/disk from vm8")
}

func TestVMWithoutStateFeedsNobody(t *testing.T) {
	a, err := New(Options{VM: "vm1"})
	require.NoError(t, err)
	_, err = a.onFeed(context.Background(), "vm2", feedRequest{})
	require.ErrorContains(t, err, "no state yet")
}

// TestLaggingRelayIsLeft gives a VM a relay in its data centre that passes its calls on to the leader but has stopped at an
// old index.
func TestLaggingRelayIsLeft(t *testing.T) {
	g := newGroup(t, 1, 0)
	lead := g.nodes[0]
	tr := g.transport("relay", "127.0.0.1:0", "zone1")
	m := state.Member{VM: "relay", Zone: "zone1", Peer: tr.Address(), Incarnation: 1, Control: true}
	_, err := lead.a.Propose(context.Background(), state.Command{Join: &m})
	require.NoError(t, err)
	old, err := lead.a.feed.FollowerSnapshot()
	require.NoError(t, err)
	applied := lead.a.feed.Index()
	g.accept(lead, "r0", "c0")

	peer.Handle(tr, methodFeed, func(ctx context.Context, _ id.VM, q feedRequest) (feedAnswer, error) {
		if q.After < applied {
			return feedAnswer{Snapshot: old}, nil
		}
		time.Sleep(lead.a.timing.feedWait())
		return feedAnswer{}, nil
	})
	peer.Handle(tr, methodApplied, func(context.Context, id.VM, empty) (freshAnswer, error) {
		return freshAnswer{Index: applied}, nil
	})
	peer.Handle(tr, methodReport, func(ctx context.Context, _ id.VM, q reports) (grants, error) {
		return peer.Call[grants](ctx, tr, lead.address, methodReport, q)
	})
	peer.Handle(tr, methodPropose, func(ctx context.Context, _ id.VM, q proposal) (proposalAnswer, error) {
		return peer.Call[proposalAnswer](ctx, tr, lead.address, methodPropose, q)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Serve(ctx)
	t.Cleanup(func() { cancel(); tr.Close() })

	n := &node{name: "vm1", address: "127.0.0.1:0", seeds: []string{tr.Address(), lead.address}}
	g.nodes = append(g.nodes, n)
	g.start(n)
	g.until("leased", func() bool { return n.a.Leased(clock.Boot(), 0) && n.a.Config().Revision == 1 })
}

func TestEnlistedTakesThePlaceOfItsVMsEarlierDisk(t *testing.T) {
	m := quorum.Members{Voters: []quorum.Node{"vm1/a", "vm2/b"}, Learners: []quorum.Node{"vm3/c", "vm4/d"}}
	got := enlisted(m, "vm3/e")
	require.Equal(t, m.Voters, got.Voters)
	require.ElementsMatch(t, []quorum.Node{"vm4/d", "vm3/e"}, got.Learners)
}

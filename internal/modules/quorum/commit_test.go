package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEarlierTermEntryNotCommittedAlone covers figure 8 of the Raft paper: an entry of an earlier term that a majority
// has stored must be committed only together with one of the leader's own term, because it may still be overwritten.
func TestEarlierTermEntryNotCommittedAlone(t *testing.T) {
	voters := Members{Voters: []Node{"a", "b", "c", "d", "e"}}
	c := New(0, Options{
		Self: "a", ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		MaxBatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}, State{
		HardState: HardState{Term: 3}, Snapshot: Snapshot{Members: voters},
		Entries: []Entry{{Term: 1, Index: 1}, {Term: 2, Index: 2, Data: []byte("old")}},
	})
	now := 10 * testElectionTimeout
	c.Tick(now)
	for _, kind := range []MessageKind{PreVoteResponse, VoteResponse} {
		for _, n := range []Node{"b", "c"} {
			c.Step(now, Message{Kind: kind, From: n, To: "a", Term: 4})
		}
	}
	require.Equal(t, Leader, c.Role())
	c.TakeOutput()
	c.MarkSynced(now)
	ack := func(n Node, match Index) {
		c.Step(now, Message{Kind: AppendResponse, From: n, To: "a", Term: 4, Index: match, SentAt: now})
	}
	ack("b", 2)
	ack("c", 2)
	require.Zero(t, c.Commit(), "an entry of an earlier term was committed without one of the current term")
	ack("b", 3)
	require.Zero(t, c.Commit())
	ack("c", 3)
	require.Equal(t, Index(3), c.Commit())
}

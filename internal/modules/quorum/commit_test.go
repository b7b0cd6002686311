package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEarlierTermIsNotCountedAlone is figure 8 of the Raft paper: an entry of an earlier term on a majority is committed
// only together with one of the leader's own term, because another log may still overwrite it.
func TestEarlierTermIsNotCountedAlone(t *testing.T) {
	voters := Members{Voters: []Node{"a", "b", "c", "d", "e"}}
	c := New(0, Options{
		Self: "a", Election: testElection, Heartbeat: testHeartbeat, Batch: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}, State{
		Hard: Hard{Term: 3}, Snapshot: Snapshot{Members: voters},
		Entries: []Entry{{Term: 1, Index: 1}, {Term: 2, Index: 2, Data: []byte("old")}},
	})
	now := 10 * testElection
	c.Tick(now)
	for _, kind := range []MessageKind{PreVoteAnswer, VoteAnswer} {
		for _, n := range []Node{"b", "c"} {
			c.Step(now, Message{Kind: kind, From: n, To: "a", Term: 4})
		}
	}
	require.Equal(t, Leader, c.Role())
	c.Take()
	c.Synced(now)
	ack := func(n Node, match Index) {
		c.Step(now, Message{Kind: AppendAnswer, From: n, To: "a", Term: 4, Index: match, Sent: now})
	}
	ack("b", 2)
	ack("c", 2)
	require.Zero(t, c.Commit(), "an entry of an earlier term was committed alone")
	ack("b", 3)
	require.Zero(t, c.Commit())
	ack("c", 3)
	require.Equal(t, Index(3), c.Commit())
}

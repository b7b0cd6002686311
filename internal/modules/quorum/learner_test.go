package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A learner whose leader has been silent must not name it any longer: it looks for another way to the leader.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	const election = time.Second
	opt := Options{Self: "b", Election: election, Heartbeat: election / 4, Rand: rand.New(rand.NewPCG(1, 2))}
	s := Snapshot{Index: 1, Term: 1, Members: Members{Voters: []Node{"a"}, Learners: []Node{"b"}}}
	c := New(0, opt, State{Hard: Hard{Term: 1}, Snapshot: s})
	c.Step(0, Message{Kind: Append, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1})
	require.Equal(t, Node("a"), c.Leader())
	c.Tick(2 * election)
	require.Empty(t, c.Leader())
	require.Equal(t, Follower, c.Role())
}

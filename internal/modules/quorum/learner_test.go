package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLearnerForgetsASilentLeader checks that a learner reports no leader once its leader has been silent beyond the
// election deadline; otherwise its VM would keep contacting a failed leader instead of looking for a new one.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	const election = time.Second
	opt := Options{Self: "b", ElectionTimeout: election, HeartbeatInterval: election / 4, Rand: rand.New(rand.NewPCG(1, 2))}
	s := Snapshot{Index: 1, Term: 1, Members: Members{Voters: []Node{"a"}, Learners: []Node{"b"}}}
	c := New(0, opt, State{HardState: HardState{Term: 1}, Snapshot: s})
	c.Step(0, Message{Kind: AppendEntries, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1})
	require.Equal(t, Node("a"), c.Leader())
	c.Tick(2 * election)
	require.Empty(t, c.Leader())
	require.Equal(t, Follower, c.Role())
}

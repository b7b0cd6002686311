package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A message that no node sends is refused; the node goes on as if it had not come.
func TestMalformedMessages(t *testing.T) {
	entry := func(i Index, term Term) Entry { return Entry{Index: i, Term: term} }
	appendOf := func(prev Index, list ...Entry) Message {
		return Message{Kind: AppendEntries, Term: 3, Index: prev, LogTerm: 3, Commit: prev, Entries: list}
	}
	for name, m := range map[string]Message{
		"entries with a gap":                   appendOf(2, entry(4, 3)),
		"entries out of order":                 appendOf(2, entry(3, 3), entry(5, 3)),
		"an entry of a later term":             appendOf(2, entry(3, 9)),
		"terms that go down":                   appendOf(2, entry(3, 3), entry(4, 2)),
		"a change without members":             appendOf(2, Entry{Index: 3, Term: 3, Kind: MembersChange}),
		"a change without voters":              appendOf(2, Entry{Index: 3, Term: 3, Kind: MembersChange, Members: &Members{}}),
		"a conflict with a committed entry":    {Kind: AppendEntries, Term: 3, Entries: []Entry{entry(1, 2)}},
		"no snapshot":                          {Kind: InstallSnapshot, Term: 3},
		"a snapshot without voters":            {Kind: InstallSnapshot, Term: 3, Snapshot: &Snapshot{Index: 9, Term: 3}},
		"an answer for entries not yet sent":   {Kind: AppendResponse, Term: 3, Index: 99, SentAt: 1},
		"an answer to a message of the future": {Kind: AppendResponse, Term: 3, Index: 2, SentAt: time.Hour},
		"an unknown kind":                      {Kind: 77, Term: 3},
		"no sender":                            {Kind: PreVote, Term: 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(0, Options{Self: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1))}, State{
				HardState: HardState{Term: 3}, Snapshot: Snapshot{Members: Members{Voters: []Node{"a", "b", "c"}}}, Entries: []Entry{entry(1, 3), entry(2, 3)},
			})
			m.To = "a"
			if name != "no sender" {
				m.From = "b"
			}
			if m.Kind == AppendResponse {
				c.startElection(0, true)
				m.Term = c.Term()
				c.Step(0, Message{Kind: VoteResponse, From: "c", To: "a", Term: m.Term})
				require.Equal(t, Leader, c.Role())
			} else {
				c.Step(0, Message{Kind: AppendEntries, From: "b", To: "a", Term: 3, Index: 2, LogTerm: 3, Commit: 2})
			}
			c.TakeOutput()
			before := *c
			require.Error(t, c.Step(time.Second, m))
			require.Equal(t, before, *c)
			require.True(t, c.TakeOutput().Empty())
			if m.Kind == AppendResponse {
				require.Zero(t, c.peers["b"].match)
				_, leads := c.LeaseEnd(time.Second, 0)
				require.False(t, leads)
			}
		})
	}
}

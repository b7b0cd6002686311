package replica

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/quorum"
)

// memory is a disk and a state machine that keep nothing.
type memory struct{}

func (memory) Save(*quorum.Hard, []quorum.Entry) error            { return nil }
func (memory) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error { return nil }
func (memory) Size() int64                                        { return 0 }
func (memory) Close() error                                       { return nil }
func (memory) Apply(quorum.Index, []byte) struct{}                { return struct{}{} }
func (memory) Publish()                                           {}
func (memory) Snapshot() (quorum.Index, []byte, error)            { return 0, nil, nil }
func (memory) Restore([]byte) error                               { return nil }

// TestProposalsEndWithLeadership has a leader lose the others after its election, in which it sees no later term: whoever waits for
// its proposals learns at once that their outcome is not known.
func TestProposalsEndWithLeadership(t *testing.T) {
	var r *Replica[struct{}]
	answers := true
	send := func(m quorum.Message) {
		a := quorum.Message{From: m.To, To: m.From, Term: m.Term, Sent: m.Sent}
		switch {
		case !answers:
			return
		case m.Kind == quorum.PreVote:
			a.Kind = quorum.PreVoteAnswer
		case m.Kind == quorum.Vote:
			a.Kind = quorum.VoteAnswer
		case m.Kind == quorum.Append:
			a.Kind, a.Index = quorum.AppendAnswer, m.Index+quorum.Index(len(m.Entries))
		}
		r.Step(a)
	}
	first := quorum.Snapshot{Index: 1, Term: 1, Members: quorum.Members{Voters: []quorum.Node{"a", "b", "c"}}}
	r, err := New(Options[struct{}]{
		Self: "a", Disk: memory{}, Machine: memory{}, State: quorum.State{Hard: quorum.Hard{Term: 1}, Snapshot: first},
		Send: send, Notify: func(quorum.Index) {}, Election: 50 * time.Millisecond,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	require.Eventually(t, func() bool { return r.Status().LeaseEnd > clock.Boot() }, 10*time.Second, time.Millisecond)
	require.NoError(t, r.do(ctx, func(time.Duration) { answers = false }))
	_, err = r.Propose(ctx, []byte("x"))
	require.ErrorIs(t, err, ErrLost)
	require.NoError(t, ctx.Err(), "it was told before its own time was over")
	cancel()
	require.NoError(t, <-done)
}

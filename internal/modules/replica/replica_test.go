package replica

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/quorum"
)

// nullStore is a disk and a state machine that store nothing.
type nullStore struct{}

func (nullStore) Save(*quorum.HardState, []quorum.Entry) error       { return nil }
func (nullStore) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error { return nil }
func (nullStore) Size() int64                                        { return 0 }
func (nullStore) Close() error                                       { return nil }
func (nullStore) Apply(quorum.Index, []byte) struct{}                { return struct{}{} }
func (nullStore) Publish()                                           {}
func (nullStore) Snapshot() (quorum.Index, []byte, error)            { return 0, nil, nil }
func (nullStore) Restore([]byte) error                               { return nil }
func (nullStore) Check([]byte) error                                 { return nil }

// TestProposalsFailAfterLeadershipLoss checks that pending proposals fail with ErrOutcomeUnknown as soon as a leader
// steps down because the other voters no longer answer. The leader sees no later term in this case.
func TestProposalsFailAfterLeadershipLoss(t *testing.T) {
	var r *Replica[struct{}]
	answering := true
	send := func(m quorum.Message) {
		a := quorum.Message{From: m.To, To: m.From, Term: m.Term, SentAt: m.SentAt}
		switch {
		case !answering:
			return
		case m.Kind == quorum.PreVote:
			a.Kind = quorum.PreVoteResponse
		case m.Kind == quorum.Vote:
			a.Kind = quorum.VoteResponse
		case m.Kind == quorum.AppendEntries:
			a.Kind, a.Index = quorum.AppendResponse, m.Index+quorum.Index(len(m.Entries))
		}
		r.Step(a)
	}
	first := quorum.Snapshot{Index: 1, Term: 1, Members: quorum.Members{Voters: []quorum.Node{"a", "b", "c"}}}
	r, err := New(Options[struct{}]{
		Self: "a", Disk: nullStore{}, StateMachine: nullStore{},
		State: quorum.State{HardState: quorum.HardState{Term: 1}, Snapshot: first},
		Send:  send, Notify: func(quorum.Index) {}, ElectionTimeout: 50 * time.Millisecond,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	require.Eventually(t, func() bool { return r.Status().LeaseEnd > clock.SinceBoot() }, 10*time.Second, time.Millisecond)
	require.NoError(t, r.enqueue(ctx, func(time.Duration) { answering = false }))
	_, err = r.Propose(ctx, []byte("x"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.NoError(t, ctx.Err(), "the proposal must fail before its context ends")
	cancel()
	require.NoError(t, <-done)
}

// fullStore is a disk without room for a snapshot, while records still fit.
type fullStore struct{ nullStore }

func (fullStore) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error { return syscall.ENOSPC }

// A replica whose disk fills up during the first start of a fleet must end, as it does later: its disk may hold a part of what was written.
func TestDiskErrorInBootstrapEndsReplica(t *testing.T) {
	r, err := New(Options[struct{}]{
		Self: "a", Disk: fullStore{}, StateMachine: nullStore{}, Send: func(quorum.Message) {}, Notify: func(quorum.Index) {},
		ElectionTimeout: time.Minute,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	first := quorum.Snapshot{Index: 1, Term: 1, Members: quorum.Members{Voters: []quorum.Node{"a", "b", "c"}}}
	require.Error(t, r.Bootstrap(ctx, first))
	require.ErrorIs(t, <-done, syscall.ENOSPC)
}

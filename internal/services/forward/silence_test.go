package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

// An upstream that is slow but sound is only left if another one may take the call.
func TestSlowUpstreamIsKept(t *testing.T) {
	const pause = minSilenceTimeout + 300*time.Millisecond
	slow := sendResult{status: 200, stream: true, body: "id: 1\ndata: x\n\n", pause: pause}
	cases := map[string]func(s *fixture){
		"no retry is left in the budget": func(s *fixture) { s.Retries = Retries{} },
		"no other upstream": func(s *fixture) {
			other := newAnnouncement("e2", model, engine.Decode)
			other.State, other.Sequence = engine.Leaving, 1
			require.NoError(t, s.Roster.Announce(clock.SinceBoot(), other))
			s.Roster.MarkLeaving(clock.SinceBoot(), "e1", 1, 1)
			require.NoError(t, s.Roster.Announce(clock.SinceBoot(), newAnnouncement("e3", model, engine.Decode)))
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, out := newFixture(t, slow), &fakeSink{}
			prepare(s)
			require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), out))
			require.Equal(t, http.StatusOK, out.status)
			require.Len(t, s.up.targets, 1)
		})
	}
	t.Run("another upstream takes it", func(t *testing.T) {
		t.Parallel()
		s, out := newFixture(t, slow, sendResult{status: 200, stream: true, body: "id: 1\ndata: y\n\n"}), &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), out))
		require.Contains(t, out.body.String(), "data: y")
		require.Len(t, s.up.targets, 2)
	})
}

// The timer of an attempt read the set of tried upstreams while the next attempt wrote it: two threads in one map, which ends the process.
// What is tried later does not change the judgement of a silent upstream either.
func TestSilenceTimerKeepsItsOwnSetOfTriedUpstreams(t *testing.T) {
	t.Parallel()
	s, c := newFixture(t), newCall("/resumable/")
	require.NoError(t, s.decide(context.Background(), c))
	u, ok := s.Roster.Snapshot().Find("e1")
	require.True(t, ok)
	p := &progress{tried: map[id.Upstream]bool{"e1": true}}
	ctx, cancel := context.WithCancelCause(context.Background())
	w := s.silenceTimer(ctx, c, &selection{u: u}, p, cancel)
	defer w.stop()
	p.tried["e2"] = true
	for ctx.Err() == nil {
		p.tried["e1"] = true
		time.Sleep(time.Millisecond)
		require.Less(t, clock.SinceBoot()-c.StartSinceBoot, 30*time.Second, "the silent upstream was not left")
	}
	require.ErrorIs(t, context.Cause(ctx), errSilent)
}

// An upstream that is only silent towards the fleet for a while keeps the request that runs on it.
func TestSilentUpstreamKeepsItsRequest(t *testing.T) {
	const heartbeats = 50 * time.Millisecond
	s, out := newFixture(t), &fakeSink{}
	s.Roster = roster.NewMultiZone("vm1", 1, heartbeats, func() {})
	announce := func(name string) {
		a := newAnnouncement(name, model, engine.Decode)
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), a))
	}
	announce("e1")
	s.up.steps = []sendResult{{status: 200, stream: true, body: "id: 1\ndata: x\n\n", pause: 10 * heartbeats, beforeWrite: func() {
		go func() {
			for range 10 {
				time.Sleep(heartbeats / 2)
				announce("e2")
				s.Roster.Expire(clock.SinceBoot())
			}
		}()
	}}}
	require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), out))
	require.Equal(t, "id: 1\ndata: x\n\n", out.body.String())
	require.Len(t, s.up.targets, 1)
	_, listed := s.Roster.Snapshot().Find("e1")
	require.False(t, listed, "it is not silent")
}

// An upstream that takes a request and never answers has failed it, although the deadline ends the attempt.
func TestHangingUpstreamCountsAsFailing(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		want    bool
	}{"far over the objective": {1700 * time.Millisecond, true}, "the caller had little time": {200 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, q := newFixture(t, sendResult{hangs: true}), newCall("/unsafe/")
			q.CallerTimeout = c.timeout
			require.Error(t, s.Serve(context.Background(), q, &fakeSink{}))
			u, ok := s.Roster.Snapshot().Find(s.up.targets[0].Upstream)
			require.True(t, ok)
			require.Equal(t, c.want, u.Stats.FailureRate(clock.SinceBoot()) > 0)
		})
	}
}

// An upstream that answers with failures while others do not is the worse choice, whatever its status check says.
func TestFailedAnswersCount(t *testing.T) {
	for status, want := range map[int]bool{500: true, 200: false, 404: false} {
		s := newFixture(t, sendResult{status: status})
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		u, ok := s.Roster.Snapshot().Find(s.up.targets[0].Upstream)
		require.True(t, ok)
		require.Equal(t, want, u.Stats.FailureRate(clock.SinceBoot()) > 0, status)
	}
}

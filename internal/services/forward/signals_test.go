package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

// successOn returns the answer of a sound upstream to a call on path.
func successOn(path string) sendResult {
	r := okResult("x")
	if path == "/stream/" || path == "/resumable/" {
		r.body, r.stream = sampleEvents(1, 1), true
	}
	return r
}

// serveMany serves n calls and returns how often each upstream was sent one.
func (s *fixture) serveMany(t *testing.T, path string, n int) map[id.Upstream]int {
	before := len(s.up.targets)
	for i := range n {
		s.up.steps = append(s.up.steps, successOn(path))
		c := newCall(path)
		c.ID = id.Request(fmt.Sprint("many", i))
		require.NoError(t, s.Serve(context.Background(), c, &fakeSink{}))
	}
	count := map[id.Upstream]int{}
	for _, target := range s.up.targets[before:] {
		count[target.Upstream]++
	}
	return count
}

// An upstream that says in an answer that it leaves gets no further request, also if its announcement does not tell yet.
func TestLeavingInAnswer(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			last := successOn(path)
			last.Leaving = true
			s := newFixture(t, last)
			require.NoError(t, s.Serve(context.Background(), newCall(path), &fakeSink{}))
			left := s.up.targets[0].Upstream
			require.Zero(t, s.serveMany(t, path, 40)[left])
			t.Run("nor do late heartbeats bring it back", func(t *testing.T) {
				u := newAnnouncement(string(left), map[bool]id.Service{true: model, false: app}[path == "/stream/"], engine.Decode)
				u.Sequence = 9
				require.NoError(t, s.Roster.Announce(clock.SinceBoot(), u))
				require.Zero(t, s.serveMany(t, path, 40)[left])
			})
			t.Run("its successor under the name is used", func(t *testing.T) {
				u := newAnnouncement(string(left), map[bool]id.Service{true: model, false: app}[path == "/stream/"], engine.Decode)
				u.Incarnation = 2
				require.NoError(t, s.Roster.Announce(clock.SinceBoot(), u))
				_, ok := s.Roster.Snapshot().Find(left)
				require.True(t, ok)
				if path != "/stream/" { // whose prompt another engine keeps
					require.Positive(t, s.serveMany(t, path, 60)[left])
				}
			})
		})
	}
	t.Run("a request that had chosen it goes elsewhere", func(t *testing.T) {
		s := newFixture(t, sendResult{}, okResult("x"))
		s.up.steps[0].beforeWrite = func() {
			u, _ := s.Roster.Snapshot().Find(s.up.targets[0].Upstream)
			s.Roster.NoteLeaving(clock.SinceBoot(), u.Name, u.Incarnation)
		}
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		require.Equal(t, 1, s.up.written)
		require.NotEqual(t, s.up.targets[0].Upstream, s.up.targets[1].Upstream)
	})
}

// An upstream that turned a request away for some time gets nothing from this VM meanwhile: no first attempt, no retry, no resumed stream.
func TestRetryAfterOfUpstream(t *testing.T) {
	away := sendResult{status: 503, notRun: true}
	away.Hold = time.Hour
	t.Run("others are used", func(t *testing.T) {
		s := newFixture(t, away, okResult("x"))
		require.NoError(t, s.Serve(context.Background(), newCall("/safe/"), &fakeSink{}))
		held := s.up.targets[0].Upstream
		require.Zero(t, s.serveMany(t, "/safe/", 40)[held])
		u := newAnnouncement(string(held), app, "")
		u.Incarnation = 2
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), u))
		require.Positive(t, s.serveMany(t, "/safe/", 60)[held], "another incarnation")
	})
	t.Run("the time is bounded", func(t *testing.T) {
		s := newFixture(t)
		u := s.Roster.Snapshot().All[0]
		u.Hold(0, 24*time.Hour)
		require.Positive(t, u.Held(time.Minute-1))
		require.Zero(t, u.Held(time.Minute))
	})
	t.Run("refused at once if all are held", func(t *testing.T) {
		s := newFixture(t)
		for _, u := range s.Roster.Snapshot().All {
			u.Hold(clock.SinceBoot(), time.Hour)
		}
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumable/"} {
			r := requireRefusal(t, s.Serve(context.Background(), newCall(path), &fakeSink{}))
			require.Equal(t, 503, r.Status)
			require.Equal(t, call.RunNo, r.Run)
			require.Positive(t, r.RetryAfter)
		}
		require.Empty(t, s.up.targets)
	})
	t.Run("a stream goes on elsewhere", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}, sendResult{status: 200, stream: true, body: sampleEvents(3, 4)})
		s.announceVersions(t, "v1", "v1", "v1", "v1")
		for _, n := range []id.Upstream{"e2", "e3"} {
			u, _ := s.Roster.Snapshot().Find(n)
			u.Hold(clock.SinceBoot(), time.Hour)
		}
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), newCall("/resumable/"), out))
		require.Equal(t, sampleEvents(1, 4), out.body.String())
		for _, target := range s.up.targets {
			require.NotContains(t, []id.Upstream{"e2", "e3"}, target.Upstream)
		}
	})
}

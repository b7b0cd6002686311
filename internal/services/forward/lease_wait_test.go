package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

// delayedGuard has a lease only after a number of calls of Leased.
type delayedGuard struct{ refusals int }

func (g *delayedGuard) Leased(time.Duration, time.Duration) bool {
	g.refusals--
	return g.refusals < 0
}

func (g *delayedGuard) Withdrawn(id.Key) bool { return false }

// Guards against refusing calls while all VMs restart at once: the calls arrive before a leader is elected.
func TestWaitForLease(t *testing.T) {
	t.Run("a call before the first lease waits for it", func(t *testing.T) {
		s := newFixture(t, okResult("a"))
		s.Guard = &delayedGuard{refusals: 3}
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), out))
		require.Equal(t, http.StatusOK, out.status)
	})
	t.Run("a call with a short timeout is refused in time for a retry", func(t *testing.T) {
		s := newFixture(t)
		s.Guard = &delayedGuard{refusals: 1 << 30}
		q := newCall("/unsafe/")
		q.CallerTimeout = 40 * time.Millisecond
		r := requireRefusal(t, s.Serve(context.Background(), q, &fakeSink{}))
		require.Equal(t, call.NoLease, r.Code)
		require.Equal(t, call.RunNo, r.Run)
		require.Positive(t, r.RetryAfter)
	})
	t.Run("a VM whose lease ended does not wait", func(t *testing.T) {
		s := newFixture(t, okResult("a"))
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		g := &delayedGuard{refusals: 1 << 30}
		s.Guard = g
		requireRefusal(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		require.Equal(t, 1<<30-1, g.refusals, "Leased was called more than once")
	})
}

func TestLeaseWait(t *testing.T) {
	for callerTimeout, want := range map[time.Duration]time.Duration{
		0: maxLeaseWait, time.Second: 250 * time.Millisecond, time.Minute: maxLeaseWait,
	} {
		require.Equal(t, want, leaseWait(callerTimeout), "%s", callerTimeout)
	}
}

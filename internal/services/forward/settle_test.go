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

// starting is the lease of a VM that started: it comes after a number of questions.
type starting struct{ without int }

func (g *starting) Leased(time.Duration, time.Duration) bool {
	g.without--
	return g.without < 0
}

func (g *starting) Withdrawn(id.Key) bool { return false }

// The load pattern: every VM was restarted at once, and calls arrive before there is a leader.
func TestSettle(t *testing.T) {
	t.Run("a call that comes before the first lease is answered after it", func(t *testing.T) {
		s := newScene(t, ok("a"))
		s.Guard = &starting{without: 3}
		out := &caller{}
		require.NoError(t, s.Serve(context.Background(), request("/unsafe/"), out))
		require.Equal(t, http.StatusOK, out.status)
	})
	t.Run("one that could not come back in time is refused while there is time", func(t *testing.T) {
		s := newScene(t)
		s.Guard = &starting{without: 1 << 30}
		q := request("/unsafe/")
		q.Patience = 40 * time.Millisecond
		r := refusal(t, s.Serve(context.Background(), q, &caller{}))
		require.Equal(t, call.NoLease, r.Code)
		require.Equal(t, call.No, r.Run)
		require.Positive(t, r.Retry)
	})
	t.Run("a VM that had a lease does not wait for the next", func(t *testing.T) {
		s := newScene(t, ok("a"))
		require.NoError(t, s.Serve(context.Background(), request("/unsafe/"), &caller{}))
		g := &starting{without: 1 << 30}
		s.Guard = g
		refusal(t, s.Serve(context.Background(), request("/unsafe/"), &caller{}))
		require.Equal(t, 1<<30-1, g.without, "it asked more than once")
	})
}

func TestSettleWait(t *testing.T) {
	for patience, want := range map[time.Duration]time.Duration{
		0: settleMost, time.Second: 250 * time.Millisecond, time.Minute: settleMost,
	} {
		require.Equal(t, want, settleWait(patience), "%s", patience)
	}
}

package limit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

// TestFallbackWithoutLeader loses the leader under load. The VM must admit its fallback fraction, and not more.
func TestFallbackWithoutLeader(t *testing.T) {
	cfg := state.New().Config()
	l := &Limiter{Drawer: refusingDrawer{}, Allowance: Tolerance{Over: 0.1, Span: 8 * time.Second}}
	now := time.Second
	leaderless := false
	l.Leaderless = func(time.Duration) (int, bool) { return 10, leaderless }
	ask := func() bool {
		c := &call.Call{Config: cfg, Customer: "c", PromptTokens: 100, Wait: time.Nanosecond}
		return l.Reserve(context.Background(), func() time.Duration { return now }, c) == nil
	}
	require.False(t, ask(), "admitted although a reachable leader refused the draw")
	leaderless = true
	rate := cfg.Resolve(policy.Rate, "c", "").Value
	admitted := 0.0
	for end := now + 3*time.Second; now < end; now += 10 * time.Millisecond {
		for ask() {
			admitted += 100
		}
	}
	most := fallbackRateFraction * rate / 10 * (3 + fallbackBurstSpan.Seconds())
	require.LessOrEqual(t, admitted, most)
	require.Greater(t, admitted, 0.9*most-100)
}

// refusingDrawer refuses all draws.
type refusingDrawer struct{}

func (refusingDrawer) Draw(context.Context, id.Customer, float64) bool { return false }

// TestToleranceNeverExceedsAllowance checks that the extended bucket admits at most what limit and tolerance allow in
// any span.
func TestToleranceNeverExceedsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Quota{Rate: rapid.Float64Range(1, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1e6).Draw(t, "burst")}
		x := Tolerance{
			Over: rapid.Float64Range(0, 0.5).Draw(t, "over"), Slack: rapid.Float64Range(0, 1e6).Draw(t, "slack"), Span: 8 * time.Second,
		}
		got := x.Apply(limit)
		span := x.Span.Seconds()
		allowed := (1+x.Over)*(limit.Rate*span+limit.Burst) + x.Slack
		require.LessOrEqual(t, got.Rate*span+got.Burst, allowed*1.000001)
		require.GreaterOrEqual(t, got.Rate, limit.Rate)
	})
}

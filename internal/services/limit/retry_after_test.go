package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRetryAfter guards against a retry storm: many refused requests that all retry at the same time.
func TestRetryAfter(t *testing.T) {
	t.Run("a retry after the returned delay is admitted", func(t *testing.T) {
		b := &Bucket{}
		b.SetShare(0, Quota{Rate: 100, Burst: 50})
		var delays []time.Duration
		for range 8 {
			require.False(t, b.Take(0, 10))
			delays = append(delays, b.RetryAfter(0, 10))
		}
		for _, delay := range delays {
			require.True(t, b.Take(delay, 10), "after %s of %v", delay, delays)
		}
	})
	t.Run("the delay is capped when many requests are refused", func(t *testing.T) {
		b := &Bucket{}
		b.SetShare(0, Quota{Rate: 100, Burst: 50})
		for range 100 {
			require.LessOrEqual(t, b.RetryAfter(0, 10), maxRetryAfter)
		}
	})
	t.Run("delays that have passed do not add up", func(t *testing.T) {
		b := &Bucket{}
		b.SetShare(0, Quota{Rate: 100, Burst: 50})
		for range 100 {
			b.RetryAfter(0, 10)
		}
		require.True(t, b.Take(10*time.Second, 50))
		require.Equal(t, 100*time.Millisecond, b.RetryAfter(10*time.Second, 10))
	})
	t.Run("without a share", func(t *testing.T) {
		require.Equal(t, maxRetryAfter, (&Bucket{}).RetryAfter(0, 10))
	})
}

// TestRetryAfterMatchesModel compares the delays with a simple queue in which each refused request waits for all
// refused before it.
func TestRetryAfterMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bucket{}
		b.SetShare(0, Quota{Rate: 1000, Burst: 1000})
		now, queueEnd := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			n := float64(rapid.IntRange(1, 500).Draw(t, "tokens"))
			queueEnd = min(max(queueEnd, now)+time.Duration(n)*time.Millisecond, now+maxRetryAfter)
			wait, _ := b.Wait(now, n)
			got := b.RetryAfter(now, n)
			require.InDelta(t, float64(min(maxRetryAfter, max(queueEnd-now, wait))), float64(got), float64(time.Microsecond))
		}
	})
}

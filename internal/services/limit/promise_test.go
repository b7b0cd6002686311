package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The load pattern: a crowd that was turned away comes back at the moment it was told.
func TestPromise(t *testing.T) {
	t.Run("whoever comes back when told is admitted", func(t *testing.T) {
		b := &Bucket{}
		b.Set(0, Part{Rate: 100, Burst: 50})
		var back []time.Duration
		for range 8 {
			require.False(t, b.Take(0, 10))
			back = append(back, b.Promise(0, 10))
		}
		for _, at := range back {
			require.True(t, b.Take(at, 10), "at %s of %v", at, back)
		}
	})
	t.Run("a long row is not told more than the most", func(t *testing.T) {
		b := &Bucket{}
		b.Set(0, Part{Rate: 100, Burst: 50})
		for range 100 {
			require.LessOrEqual(t, b.Promise(0, 10), promiseMost)
		}
	})
	t.Run("a row that has passed is forgotten", func(t *testing.T) {
		b := &Bucket{}
		b.Set(0, Part{Rate: 100, Burst: 50})
		for range 100 {
			b.Promise(0, 10)
		}
		require.True(t, b.Take(10*time.Second, 50))
		require.Equal(t, 100*time.Millisecond, b.Promise(10*time.Second, 10))
	})
	t.Run("without a share", func(t *testing.T) {
		require.Equal(t, promiseMost, (&Bucket{}).Promise(0, 10))
	})
}

// Against a naive row: each refused request is told the end of all that were told before it.
func TestPromiseNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bucket{}
		b.Set(0, Part{Rate: 1000, Burst: 1000})
		now, row := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			n := float64(rapid.IntRange(1, 500).Draw(t, "tokens"))
			row = min(max(row, now)+time.Duration(n)*time.Millisecond, now+promiseMost)
			level, _ := b.Wait(now, n)
			got := b.Promise(now, n)
			require.InDelta(t, float64(min(promiseMost, max(row-now, level))), float64(got), float64(time.Microsecond))
		}
	})
}

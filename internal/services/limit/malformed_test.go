package limit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Numbers that no VM sends must neither make the leader grant everything nor spoil the shares of others.
func TestMalformedNumbers(t *testing.T) {
	for name, n := range map[string]float64{"not a number": math.NaN(), "negative": -1e9, "infinite": math.Inf(1), "minus infinite": math.Inf(-1)} {
		t.Run(name, func(t *testing.T) {
			d := &Divider{}
			d.SetLimit(Quota{Rate: 100, Burst: 100})
			d.Start(time.Second)
			now := 3 * time.Second
			require.False(t, d.Draw(now, n))
			require.True(t, d.Draw(now, 90))
			require.False(t, d.Draw(now, 90), "the burst is used")
			for _, r := range []VMReport{
				{WantedRate: n}, {Quota: Quota{Rate: n, Burst: 1}}, {Quota: Quota{Rate: 1, Burst: n}}, {DroppedTokens: n}, {WantedRate: 50, MeanTokens: n},
			} {
				d.Report("bad", r)
			}
			d.Report("good", VMReport{WantedRate: 50, MeanTokens: 1})
			share, _ := d.Share(now, "good")
			require.Greater(t, share.Rate, 40.0)
			require.LessOrEqual(t, share.Burst, 100.0)
			require.False(t, d.Draw(now, 90))
		})
	}
}

package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailureRate(t *testing.T) {
	fail := func(s *Stats, now time.Duration, n int) {
		for range n {
			s.RecordOutcome(now, true)
		}
	}
	t.Run("an upstream that failed is tried again", func(t *testing.T) {
		var s Stats
		fail(&s, time.Second, 10)
		require.Greater(t, s.FailureRate(time.Second), 0.6)
		require.Less(t, s.FailureRate(20*time.Second), 0.05, "it got no requests since")
	})
	t.Run("one failure says little", func(t *testing.T) {
		var s Stats
		fail(&s, 0, 1)
		require.InDelta(t, 0.2, s.FailureRate(0), 0.01)
	})
	t.Run("others' failures count", func(t *testing.T) {
		var s Stats
		s.SetOtherOutcomes(time.Second, Outcomes{Failed: 10, Answers: 12})
		require.Greater(t, s.FailureRate(time.Second), 0.5)
		o, told := s.Outcomes(time.Second)
		require.True(t, told, "this VM's answers tell others whether it fails for all")
		require.Zero(t, o.Failed)
		require.Less(t, s.FailureRate(20*time.Second), 0.05, "nothing was heard since")
	})
	t.Run("failures of one VM alone", func(t *testing.T) {
		var s Stats
		s.SetOtherOutcomes(0, Outcomes{Failed: 3, Answers: 60})
		require.Less(t, s.FailureRate(0), 0.1, "it serves the others")
		fail(&s, 0, 10)
		require.Greater(t, s.FailureRate(0), 0.6, "it does not serve this one")
	})
	t.Run("nothing is told of a sound upstream", func(t *testing.T) {
		var s Stats
		s.RecordOutcome(0, false)
		_, told := s.Outcomes(0)
		require.False(t, told)
	})
}

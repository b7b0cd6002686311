package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
)

// A shorter wish to be left alone, or a late one of an earlier incarnation, ended the one in force.
func TestHoldIsNotShortened(t *testing.T) {
	life := func(s *Stats, incarnation uint64) *Upstream {
		return &Upstream{Announcement: announcement("u", incarnation, engine.Ready), Stats: s}
	}
	for name, c := range map[string]struct {
		first, second uint64        // incarnations
		wish          time.Duration // the second one
		held          time.Duration // of the present incarnation, 2
	}{
		"a shorter wish":           {2, 2, time.Second, 10 * time.Second},
		"a longer wish":            {2, 2, 20 * time.Second, 20 * time.Second},
		"an earlier incarnation":   {2, 1, time.Second, 10 * time.Second},
		"the next incarnation":     {1, 2, time.Second, time.Second},
		"only the one before this": {1, 1, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Stats{}
			life(s, c.first).Hold(0, 10*time.Second)
			life(s, c.second).Hold(0, c.wish)
			require.Equal(t, c.held, life(s, 2).Held(0))
		})
	}
}

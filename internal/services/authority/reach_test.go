package authority

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/id"
)

// A VM whose settings or member list name VMs that are gone finds one that is there without waiting for each of the others.
func TestFirstToAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		list []string
		want []string
		wait time.Duration
	}{
		"the preferred one":          {[]string{"here", "also here"}, []string{"here", "also here"}, 0},
		"past four that are gone":    {[]string{"gone", "gone", "gone", "gone", "here"}, []string{"here", "gone", "gone", "gone", "gone"}, 4 * probeStagger},
		"one without state is last":  {[]string{"new", "here"}, []string{"here", "new"}, probeStagger},
		"none but one without state": {[]string{"refused", "new"}, []string{"new", "refused"}, probeStagger},
		"none":                       {[]string{"gone", "refused"}, nil, time.Minute},
		"no candidates":              {nil, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				start := time.Now()
				got := firstToAnswer(ctx, c.list, func(ctx context.Context, addr string) (id.Index, error) {
					switch addr {
					case "gone":
						<-ctx.Done()
						return 0, ctx.Err()
					case "refused":
						return 0, errors.New("refused")
					case "new":
						return 0, nil
					}
					return 7, nil
				})
				require.Equal(t, c.want, got)
				require.Equal(t, c.wait, time.Since(start))
			})
		})
	}
}

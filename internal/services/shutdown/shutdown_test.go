package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/setting"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

// All moments of a plan lie within the grace, whatever the other settings are.
func TestPlanKeepsWithinGrace(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		cfg                      setting.Shutdown
		refuse, leave, end, exit time.Duration
	}{
		"no grace":               {setting.Shutdown{RefuseDelay: s, DrainTimeout: 120 * s, Leave: 5 * s}, s, 121 * s, 121 * s, 128 * s},
		"grace":                  {setting.Shutdown{RefuseDelay: 2 * s, DrainTimeout: 120 * s, Leave: s, Grace: 8 * s}, 2 * s, 6600 * ms, 7600 * ms, 7800 * ms},
		"shorter limit":          {setting.Shutdown{RefuseDelay: 2 * s, DrainTimeout: 3 * s, Leave: s, Grace: 8 * s}, 2 * s, 5 * s, 5 * s, 7800 * ms},
		"short grace":            {setting.Shutdown{RefuseDelay: 2 * s, DrainTimeout: 120 * s, Leave: s, Grace: 3 * s}, s, 1800 * ms, 2800 * ms, 2900 * ms},
		"longer lead than grace": {setting.Shutdown{RefuseDelay: 60 * s, DrainTimeout: s, Leave: s, Grace: 6 * s}, 2 * s, 4700 * ms, 5700 * ms, 5850 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlan(start, c.cfg)
			got := []time.Duration{p.Refuse.Sub(start), p.Leave.Sub(start), p.End.Sub(start), p.Exit.Sub(start)}
			require.Equal(t, []time.Duration{c.refuse, c.leave, c.end, c.exit}, got)
		})
	}
}

func TestMayBegin(t *testing.T) {
	start := time.Now()
	p := NewPlan(start, setting.Shutdown{RefuseDelay: 2 * s, DrainTimeout: 120 * s, Leave: s, Grace: 8 * s})
	for name, c := range map[string]struct {
		now, deadline     time.Duration
		repeatable, begun bool
		want              bool
	}{
		"answered before the end":                {now: 6 * s, deadline: 7500 * ms, want: true},
		"answered at the end":                    {now: 6 * s, deadline: 7600 * ms, want: true},
		"once only, longer":                      {now: 0, deadline: 7601 * ms},
		"once only, longer, late":                {now: 6 * s, deadline: 20 * s},
		"repeatable, longer":                     {now: 1999 * ms, deadline: 20 * s, repeatable: true, want: true},
		"repeatable, longer, late":               {now: 2 * s, deadline: 20 * s, repeatable: true},
		"begun, longer, late":                    {now: 7 * s, deadline: 20 * s, repeatable: true, begun: true, want: true},
		"begun, after the end":                   {now: 7600 * ms, deadline: 20 * s, repeatable: true, begun: true},
		"answered before the end, after the end": {now: 8 * s, deadline: 7 * s},
	} {
		t.Run(name, func(t *testing.T) {
			r := Request{Deadline: start.Add(c.deadline), Repeatable: c.repeatable, Begun: c.begun}
			require.Equal(t, c.want, p.MayBegin(start.Add(c.now), r))
			var g Gate
			require.True(t, g.MayBegin(start.Add(c.now), r), "no shutdown")
			g.Begin(&p)
			require.Equal(t, c.want, g.MayBegin(start.Add(c.now), r))
		})
	}
	require.True(t, (*Gate)(nil).MayBegin(start, Request{}))
}

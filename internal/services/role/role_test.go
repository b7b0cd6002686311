package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 200) }

func engines(prefill, decode, running int) []Engine {
	var list []Engine
	for i := range prefill + decode {
		e := Engine{Name: id.Upstream(fmt.Sprint("e", i)), Zone: id.Zone(fmt.Sprint("z", i%3)), Role: engine.Prefill}
		if i >= prefill {
			e.Role, e.Running = engine.Decode, running
		}
		list = append(list, e)
	}
	return list
}

func TestPlan(t *testing.T) {
	at := time.Minute
	for name, c := range map[string]struct {
		v    Input
		want engine.Role // empty: no change
	}{
		"low load":                          {Input{Engines: engines(3, 6, 4), PromptRate: 40000, PrefillSpeed: 50000}, ""},
		"prefill overloaded":                {Input{Engines: engines(3, 6, 4), PromptRate: 120000, PrefillSpeed: 50000}, engine.Prefill},
		"decode overloaded":                 {Input{Engines: engines(6, 3, 40), PromptRate: 60000, PrefillSpeed: 50000}, engine.Decode},
		"equal pressure":                    {Input{Engines: engines(4, 5, 18), PromptRate: 150000, PrefillSpeed: 50000}, ""},
		"last decode engine":                {Input{Engines: engines(8, 1, 1), PromptRate: 900000, PrefillSpeed: 50000}, ""},
		"just after another change":         {Input{Engines: engines(3, 6, 4), PromptRate: 120000, PrefillSpeed: 50000, LastChange: at - time.Second}, ""},
		"unknown load, few prefill engines": {Input{Engines: engines(1, 8, 0), PrefillSpeed: 50000}, engine.Prefill},
		"unknown load, enough of both":      {Input{Engines: engines(4, 5, 0), PrefillSpeed: 50000}, ""},
		"unknown load, single engine":       {Input{Engines: engines(0, 1, 0), PrefillSpeed: 50000}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Plan(at, &c.v)
			require.Equal(t, c.want != "", ok)
			require.Equal(t, c.want, got.Role)
		})
	}
}

func TestOrdinaryEngineChangesToPrefill(t *testing.T) {
	v := Input{Engines: engines(3, 6, 4), PromptRate: 120000, PrefillSpeed: 50000}
	for i := range v.Engines {
		v.Engines[i].Cheap = i != 7
	}
	c, ok := Plan(time.Minute, &v)
	require.True(t, ok)
	require.EqualValues(t, "e7", c.Engine)
}

func TestMinRoleDwell(t *testing.T) {
	v := Input{Engines: engines(3, 6, 4), PromptRate: 120000, PrefillSpeed: 50000, MinRoleDwell: time.Hour}
	for i := range v.Engines {
		v.Engines[i].ChangedAt = time.Second
	}
	_, ok := Plan(time.Minute, &v)
	require.False(t, ok)
}

// TestSteadyMixSettles starts from any division of roles under a steady load. The changes must end, and no engine may
// change twice.
func TestSteadyMixSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill := rapid.IntRange(1, 10).Draw(t, "prefill engines")
		v := Input{
			Engines: engines(prefill, 12-prefill, 0), PrefillSpeed: 50000, MinRoleDwell: time.Hour,
			PromptRate: float64(rapid.IntRange(1, 600).Draw(t, "kilotokens")) * 1000,
		}
		streams := rapid.IntRange(0, 300).Draw(t, "streams")
		now, changes := time.Minute, 0
		for range 100 {
			now += minChangeInterval
			decode := 0
			for _, e := range v.Engines {
				if e.Role != engine.Prefill {
					decode++
				}
			}
			for i := range v.Engines {
				v.Engines[i].Running = 0
				if v.Engines[i].Role != engine.Prefill {
					v.Engines[i].Running = streams / decode
				}
			}
			c, ok := Plan(now, &v)
			if !ok {
				break
			}
			changes++
			for i := range v.Engines {
				if v.Engines[i].Name == c.Engine {
					require.Zero(t, v.Engines[i].ChangedAt)
					v.Engines[i].Role, v.Engines[i].ChangedAt = c.Role, now
				}
			}
			v.LastChange = now
		}
		require.LessOrEqual(t, changes, 11)
	})
}

package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/fixed"
	"wagtaillift/internal/modules/id"
)

func TestMain(m *testing.M) { fixed.Main(m, 200) }

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
		v    View
		want engine.Role // empty: no change
	}{
		"low load":                          {View{Engines: engines(3, 6, 4), Read: 40000, Speed: 50000}, ""},
		"prefill overloaded":                {View{Engines: engines(3, 6, 4), Read: 120000, Speed: 50000}, engine.Prefill},
		"decode overloaded":                 {View{Engines: engines(6, 3, 40), Read: 60000, Speed: 50000}, engine.Decode},
		"equal pressure":                    {View{Engines: engines(4, 5, 18), Read: 150000, Speed: 50000}, ""},
		"last decode engine":                {View{Engines: engines(8, 1, 1), Read: 900000, Speed: 50000}, ""},
		"just after another change":         {View{Engines: engines(3, 6, 4), Read: 120000, Speed: 50000, Last: at - time.Second}, ""},
		"unknown load, few prefill engines": {View{Engines: engines(1, 8, 0), Speed: 50000}, engine.Prefill},
		"unknown load, enough of both":      {View{Engines: engines(4, 5, 0), Speed: 50000}, ""},
		"unknown load, single engine":       {View{Engines: engines(0, 1, 0), Speed: 50000}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Plan(at, &c.v)
			require.Equal(t, c.want != "", ok)
			require.Equal(t, c.want, got.Role)
		})
	}
}

func TestCheapEnginesGenerate(t *testing.T) {
	v := View{Engines: engines(3, 6, 4), Read: 120000, Speed: 50000}
	for i := range v.Engines {
		v.Engines[i].Cheap = i != 7
	}
	c, ok := Plan(time.Minute, &v)
	require.True(t, ok)
	require.EqualValues(t, "e7", c.Engine)
}

func TestDwell(t *testing.T) {
	v := View{Engines: engines(3, 6, 4), Read: 120000, Speed: 50000, Dwell: time.Hour}
	for i := range v.Engines {
		v.Engines[i].Changed = time.Second
	}
	_, ok := Plan(time.Minute, &v)
	require.False(t, ok)
}

// TestSteadyMixSettles starts from any division of roles under a steady load. The changes must end, and no engine may
// change twice.
func TestSteadyMixSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill := rapid.IntRange(1, 10).Draw(t, "read")
		v := View{
			Engines: engines(prefill, 12-prefill, 0), Speed: 50000, Dwell: time.Hour,
			Read: float64(rapid.IntRange(1, 600).Draw(t, "kilotokens")) * 1000,
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
					require.Zero(t, v.Engines[i].Changed)
					v.Engines[i].Role, v.Engines[i].Changed = c.Role, now
				}
			}
			v.Last = now
		}
		require.LessOrEqual(t, changes, 11)
	})
}

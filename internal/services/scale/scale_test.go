package scale

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 300) }

func zones(ordinary, cheap int) []Zone {
	var list []Zone
	for i, price := range []float64{1, 0.8, 1.25} {
		list = append(list, Zone{Name: id.Zone(fmt.Sprint("z", i)), Price: price, Ordinary: ordinary, Cheap: cheap})
	}
	return list
}

func sum(list []Target) (ordinary, cheap int) {
	for _, target := range list {
		ordinary += target.Ordinary
		cheap += target.Cheap
	}
	return ordinary, cheap
}

func TestPlan(t *testing.T) {
	base := Input{Zones: zones(3, 0), MinPerZone: 1, MaxPerZone: 6, Cheap: 0.2, InitialCount: 9, ReclaimReserve: 0.1}
	t.Run("unknown load: twice the running upstreams, most of them cheap", func(t *testing.T) {
		ordinary, cheap := sum(Plan(0, &base))
		require.Equal(t, 5, ordinary)
		require.Equal(t, 13, cheap)
	})
	t.Run("ordinary upstreams stay until their cheap replacements work", func(t *testing.T) {
		v := base
		v.Need = 4
		ordinary, cheap := sum(Plan(0, &v))
		require.Equal(t, 8, ordinary)
		require.Equal(t, 5, cheap)
	})
	t.Run("ordinary upstreams are released once cheap ones work", func(t *testing.T) {
		v := base
		v.Zones, v.Need = zones(3, 5), 8
		ordinary, cheap := sum(Plan(0, &v))
		require.Equal(t, 3, ordinary)
		require.GreaterOrEqual(t, cheap, 9)
	})
	t.Run("ordinary upstreams replace cheap ones that are unavailable", func(t *testing.T) {
		v := base
		v.Need, v.Zones = 8, zones(3, 0)
		for i := range v.Zones {
			v.Zones[i].NoCheapUntil = time.Minute
		}
		ordinary, cheap := sum(Plan(time.Second, &v))
		require.Zero(t, cheap)
		require.GreaterOrEqual(t, ordinary, 8)
	})
	t.Run("without cheap upstreams", func(t *testing.T) {
		v := base
		v.Cheap, v.Need = 0, 7
		ordinary, cheap := sum(Plan(0, &v))
		require.Equal(t, 7, ordinary)
		require.Zero(t, cheap)
	})
	t.Run("less expensive data centres first", func(t *testing.T) {
		v := base
		v.Need = 4
		for _, target := range Plan(0, &v) {
			if target.Zone == "z2" { // the most expensive
				require.Equal(t, 1, target.Cheap)
			}
		}
	})
}

func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Input{
			MinPerZone: rapid.IntRange(0, 2).Draw(t, "min per zone"), MaxPerZone: rapid.IntRange(2, 8).Draw(t, "max per zone"),
			Cheap: rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "cheap price"), InitialCount: rapid.IntRange(1, 12).Draw(t, "initial count"),
			Need: rapid.Float64Range(0, 40).Draw(t, "need"), ReclaimReserve: 0.1,
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "zones") {
			z := Zone{Name: id.Zone(fmt.Sprint("z", i)), Price: 1, Ordinary: rapid.IntRange(0, v.MaxPerZone).Draw(t, "ordinary")}
			z.Cheap = rapid.IntRange(0, v.MaxPerZone-z.Ordinary).Draw(t, "cheap")
			if rapid.Bool().Draw(t, "no cheap capacity") {
				z.NoCheapUntil = time.Minute
			}
			v.Zones = append(v.Zones, z)
		}
		have := map[id.Zone]Zone{}
		running := 0
		for _, z := range v.Zones {
			have[z.Name] = z
			running += z.Ordinary + z.Cheap
		}
		total, kept, early := 0, 0, 0
		for _, target := range Plan(time.Second, &v) {
			z := have[target.Zone]
			kept += min(target.Ordinary, z.Ordinary) + min(target.Cheap, z.Cheap)
			if target.Ordinary < z.Ordinary && target.Cheap > z.Cheap {
				early++ // released before the cheap replacements work
			}
			require.GreaterOrEqual(t, target.Ordinary, v.MinPerZone)
			require.GreaterOrEqual(t, target.Cheap, 0)
			require.LessOrEqual(t, target.Ordinary+target.Cheap, v.MaxPerZone)
			total += target.Ordinary + target.Cheap
		}
		require.GreaterOrEqual(t, total, min(int(v.Need), v.MaxPerZone*len(v.Zones)))
		if kept < min(running, v.minRunning(v.targetCount())) {
			require.LessOrEqual(t, early, 1, "too few upstreams run while more than one data centre replaces its own")
		}
	})
}

// afterReclaim returns the state 12 s after two of three data centres with 70 cheap upstreams each were reclaimed.
// Ordinary upstreams have replaced them, and cheap ones are available again.
func afterReclaim() Input {
	return Input{
		Zones: []Zone{
			{Name: "a", Price: 0.8, Ordinary: 70}, {Name: "b", Price: 1, Ordinary: 8, Cheap: 86}, {Name: "c", Price: 1.25, Ordinary: 69},
		},
		MinPerZone: 1, MaxPerZone: 94, Cheap: 0.22, Need: 116, InitialCount: 140, ReclaimReserve: 0.1,
	}
}

// TestCheapUpstreamsReturnOneZoneAtATime applies the plan repeatedly; ordered upstreams work one step later. Enough
// upstreams must run all the time, and most of them must be cheap in the end.
func TestCheapUpstreamsReturnOneZoneAtATime(t *testing.T) {
	v := afterReclaim()
	least := v.minRunning(v.targetCount())
	for range 20 {
		targets := map[id.Zone]Target{}
		for _, target := range Plan(0, &v) {
			targets[target.Zone] = target
		}
		running := 0
		for i := range v.Zones { // released upstreams stop at once
			z := &v.Zones[i]
			z.Ordinary, z.Cheap = min(z.Ordinary, targets[z.Name].Ordinary), min(z.Cheap, targets[z.Name].Cheap)
			running += z.Ordinary + z.Cheap
		}
		require.GreaterOrEqual(t, running, least-70, "more than one data centre replaces its upstreams at once")
		for i := range v.Zones {
			z := &v.Zones[i]
			z.Ordinary, z.Cheap = targets[z.Name].Ordinary, targets[z.Name].Cheap
		}
	}
	ordinary := 0
	for _, z := range v.Zones {
		ordinary += z.Ordinary
	}
	require.Less(t, ordinary, 40, "too many ordinary upstreams remain in the end")
}

func TestZoneWithoutCheapCapacityKeepsRunningUpstreams(t *testing.T) {
	v := afterReclaim()
	v.Zones[1].NoCheapUntil = time.Minute
	for _, target := range Plan(time.Second, &v) {
		if target.Zone == "b" {
			require.GreaterOrEqual(t, target.Cheap, 60)
		}
	}
}

// Guards against two data centres that release ordinary upstreams at once, one of them as a surplus whose replacements start in the
// other, or as all that may be released early.
func TestOneDataCentreReplacesAtATime(t *testing.T) {
	for name, v := range map[string]Input{
		"replacements in another data centre": {
			Zones:      []Zone{{Name: "z0", Price: 1, Ordinary: 2}, {Name: "z1", Price: 1, NoCheapUntil: time.Minute}, {Name: "z2", Price: 1, Ordinary: 2, Cheap: 3}},
			MaxPerZone: 5, Cheap: 0.2, InitialCount: 1, Need: 4.5, ReclaimReserve: 0.1,
		},
		"after a release within the minimum": {
			Zones:      []Zone{{Name: "z0", Price: 1, Ordinary: 2}, {Name: "z1", Price: 1, Ordinary: 2}},
			MaxPerZone: 2, Cheap: 0.2, InitialCount: 1, Need: 1.5, ReclaimReserve: 0.1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			early, kept := 0, 0
			for i, target := range Plan(time.Second, &v) {
				z := v.Zones[i]
				if target.Ordinary < z.Ordinary && target.Cheap > z.Cheap {
					early++
				}
				kept += min(target.Ordinary, z.Ordinary) + min(target.Cheap, z.Cheap)
			}
			require.True(t, early <= 1 || kept >= v.minRunning(v.targetCount()), "%d data centres, %d upstreams kept", early, kept)
		})
	}
}

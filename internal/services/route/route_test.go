package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
	"wagtaillift/internal/services/roster"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

func newEngines(n int) []*roster.Upstream {
	var list []*roster.Upstream
	for i := range n {
		name := id.Upstream(fmt.Sprint("engine", i))
		list = append(list, &roster.Upstream{
			Announcement: engine.Announcement{Name: name, Model: "m", Role: engine.Both, KVBlocks: 4096, Cheap: i%3 == 2},
			Stats:        &roster.Stats{}, Hash: hash.String(name),
		})
	}
	return list
}

// TestPickRespectsLoadBounds checks for random loads that Pick finds an upstream exactly if an eligible one has
// capacity, never an ineligible one, and by prefix only one within the load bound.
func TestPickRespectsLoadBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newEngines(rapid.IntRange(1, 20).Draw(t, "engines"))
		for _, u := range list {
			u.Stats.KVBlocks.Store(rapid.Int64Range(0, 6000).Draw(t, "load"))
		}
		excluded := rapid.IntRange(0, 19).Draw(t, "excluded")
		q := &Query{
			Prefix: rapid.Uint64().Draw(t, "prefix"), KVBlocks: rapid.Int64Range(1, 500).Draw(t, "pieces"), LoadBound: 1.25, MaxBacklog: 0.5,
			Cheap: 0.6, Draw: rapid.Float64Range(0, 0.99).Draw(t, "draw"),
			Exclude: func(u *roster.Upstream) bool { return u.Name == id.Upstream(fmt.Sprint("engine", excluded)) },
		}
		c := Pick(0, list, q)
		hasCapacity := false
		for _, u := range list {
			fits := float64(u.Stats.Load(0)+q.KVBlocks) <= 1.5*4096
			hasCapacity = hasCapacity || fits && !q.Exclude(u)
		}
		require.Equal(t, hasCapacity, c.Upstream != nil)
		if c.Upstream == nil {
			return
		}
		require.False(t, q.Exclude(c.Upstream))
		require.LessOrEqual(t, c.Load, 1.5)
		if c.Rule == Prefix {
			require.LessOrEqual(t, c.Load, q.LoadBound*c.MeanLoad+1e-9)
		}
	})
}

// TestPickKeepsPrefixLocality sends requests with 50 prefixes and counts the cache hits: Pick must get more than
// PickFewestRequests, with the load of the fullest engine at most 1.6 times as high.
func TestPickKeepsPrefixLocality(t *testing.T) {
	run := func(pick func(time.Duration, []*roster.Upstream, *Query) Choice, count int64) (hits int, top int64) {
		list := newEngines(12)
		has := map[id.Upstream]map[uint64]bool{}
		for i := range 3000 {
			q := &Query{Prefix: hash.Mix(uint64(i*7919) % 50), KVBlocks: 20, LoadBound: 1.25, MaxBacklog: 1000, Cheap: 0.33, Draw: float64(i%100) / 100}
			u := pick(0, list, q).Upstream
			if has[u.Name] == nil {
				has[u.Name] = map[uint64]bool{}
			}
			if has[u.Name][q.Prefix] {
				hits++
			}
			has[u.Name][q.Prefix] = true
			u.Stats.KVBlocks.Add(q.KVBlocks)
			u.Stats.Requests.Add(count) // load for PickFewestRequests, which counts requests; Pick counts blocks and has its own request limit
		}
		for _, u := range list {
			top = max(top, u.Stats.KVBlocks.Load())
		}
		return hits, top
	}
	hits, top := run(Pick, 0)
	naiveHits, naiveTop := run(PickFewestRequests, 1)
	t.Logf("cache hits: %d, naive %d; highest load: %d, naive %d", hits, naiveHits, top, naiveTop)
	require.Greater(t, hits, naiveHits)
	require.LessOrEqual(t, float64(top), 1.6*float64(naiveTop))
}

func TestPickSkipsOpenCircuits(t *testing.T) {
	list := newEngines(2)
	for range 5 {
		list[0].Stats.RecordFailure(time.Second)
	}
	q := &Query{KVBlocks: 1, LoadBound: 1.25, MaxBacklog: 1}
	require.Equal(t, list[1], Pick(time.Second, list, q).Upstream)
	require.NotNil(t, Pick(10*time.Second, list[:1], q).Upstream, "the circuit closes again")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 70, 700} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			list := newEngines(n)
			q := &Query{Prefix: 1, KVBlocks: 20, LoadBound: 1.25, MaxBacklog: 1e12, Cheap: 0.6}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Prefix, q.Draw = hash.Mix(uint64(i)), float64(i%100)/100
				c := Pick(0, list, q)
				c.Upstream.Stats.KVBlocks.Add(1)
			}
		})
	}
}

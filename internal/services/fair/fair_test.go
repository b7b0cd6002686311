package fair

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

// simulate runs 4 customers with equal shares of one server. The first sends six times its share, the others theirs.
// It returns the cost served to each customer, with next choosing the order.
func simulate(rnd *rand.Rand, push func(k int, cost float64), next func() (int, float64, bool)) [4]float64 {
	var got [4]float64
	for range 2000 {
		for k := range 4 {
			times := 1
			if k == 0 {
				times = 6
			}
			for range times {
				push(k, 50+rnd.Float64()*100)
			}
		}
		for budget := 400.0; budget > 0; { // the server completes four average requests per round
			k, cost, ok := next()
			if !ok {
				break
			}
			got[k] += cost
			budget -= cost
		}
	}
	return got
}

// TestFairShareDuringSurge checks that customers within their share get at least 0.9 of it while another customer sends six
// times its share, and that first come, first served does not achieve this.
func TestFairShareDuringSurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		var q Queue[int, struct{}]
		fairCost := simulate(rand.New(rand.NewPCG(seed, 1)),
			func(k int, cost float64) { q.Push(&Item[int, struct{}]{Key: k, Cost: cost, Weight: 1}) },
			func() (int, float64, bool) {
				x := q.Peek()
				if x == nil {
					return 0, 0, false
				}
				q.Remove(x, true)
				return x.Key, x.Cost, true
			})
		type item struct {
			k    int
			cost float64
		}
		var pending []item
		fifoCost := simulate(rand.New(rand.NewPCG(seed, 1)),
			func(k int, cost float64) { pending = append(pending, item{k, cost}) },
			func() (int, float64, bool) {
				if len(pending) == 0 {
					return 0, 0, false
				}
				x := pending[0]
				pending = pending[1:]
				return x.k, x.cost, true
			})
		share := 2000 * 100.0
		for k := 1; k < 4; k++ {
			require.GreaterOrEqual(t, fairCost[k], 0.9*share, "customer %d", k)
			require.Less(t, fifoCost[k], 0.9*share, "first come, first served is no worse")
		}
	})
}

// TestIdleCustomerEarnsNoCredit checks that a customer that returns after a long idle time gets its share and no more.
func TestIdleCustomerEarnsNoCredit(t *testing.T) {
	var q Queue[string, int]
	add := func(k string) { q.Push(&Item[string, int]{Key: k, Cost: 1, Weight: 1}) }
	serve := func() string {
		x := q.Peek()
		q.Remove(x, true)
		return x.Key
	}
	for range 1000 {
		add("busy")
		serve()
	}
	for range 100 {
		add("busy")
		add("returning")
	}
	counts := map[string]int{}
	for range 100 {
		counts[serve()]++
	}
	require.InDelta(t, 50, counts["returning"], 1)
}

func TestWeights(t *testing.T) {
	var q Queue[string, int]
	counts := map[string]int{}
	for range 400 {
		q.Push(&Item[string, int]{Key: "one", Cost: 1, Weight: 1})
		q.Push(&Item[string, int]{Key: "three", Cost: 1, Weight: 3})
	}
	for range 400 {
		x := q.Peek()
		q.Remove(x, true)
		counts[x.Key]++
	}
	require.InDelta(t, 300, counts["three"], 2)
}

package load

import (
	"context"
	"sync"
	"time"
)

// Burst sends up to n requests in a closed loop: each of the concurrent callers sends its next request when its previous
// one has ended.
func Burst(ctx context.Context, opt Options, callers, n int, seed uint64) []Outcome {
	phase := Phase{Name: "burst", Duration: time.Second, Rate: float64(2 * n), Mix: Mix{Prompt: 100, Output: 24}}
	plan := Plan(seed, []Phase{phase}, []Customer{{Name: opt.Customers[0].Name, Weight: 1}}, 0)
	plan = plan[:min(n, len(plan))]
	r := newRunner(opt)
	out := make([]Outcome, len(plan))
	var wg sync.WaitGroup
	indexes := make(chan int)
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range indexes {
				a := plan[i]
				a.Customer = opt.Customers[i%len(opt.Customers)].Name
				out[i] = r.send(ctx, a)
			}
		}()
	}
	for i := range plan {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	return out
}

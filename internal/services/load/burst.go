package load

import (
	"context"
	"sync"
	"time"
)

// Burst sends n requests from a number of concurrent callers, each as soon as its last one has ended.
func Burst(ctx context.Context, opt Options, callers, n int, seed uint64) []Outcome {
	phase := Phase{Name: "burst", Long: time.Second, Rate: float64(2 * n), Mix: Mix{Prompt: 100, Output: 24}}
	plan := Plan(seed, []Phase{phase}, []Customer{{Name: opt.Customers[0].Name, Weight: 1}}, 0)
	plan = plan[:min(n, len(plan))]
	r := newRunner(opt)
	out := make([]Outcome, len(plan))
	var wg sync.WaitGroup
	work := make(chan int)
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				a := plan[i]
				a.Customer = opt.Customers[i%len(opt.Customers)].Name
				out[i] = r.send(ctx, a)
			}
		}()
	}
	for i := range plan {
		work <- i
	}
	close(work)
	wg.Wait()
	return out
}

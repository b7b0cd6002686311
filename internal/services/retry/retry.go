// Package retry limits how many requests are retried.
package retry

import (
	"sync"
	"sync/atomic"
)

// unitsPerRetry is the number of budget units that one retry costs.
const unitsPerRetry = 1000

// Budget limits retries to a ratio of the first attempts plus a burst. It is lock-free. The zero value has spent none.
type Budget struct {
	spent atomic.Int64 // thousandths of a retry
	begin sync.Once
}

// Begin empties the budget if empty is set; burst is its size. Only the first call has an effect. After a restart the budget
// begins empty, because the process before may just have spent it.
func (b *Budget) Begin(empty bool, burst float64) {
	b.begin.Do(func() {
		if empty {
			b.spent.Store(int64(burst * unitsPerRetry))
		}
	})
}

// Earn gives ratio retries back to the budget. It is called once per first attempt.
func (b *Budget) Earn(ratio float64) {
	n := int64(ratio * unitsPerRetry)
	for {
		old := b.spent.Load()
		if old == 0 || b.spent.CompareAndSwap(old, max(0, old-n)) {
			return
		}
	}
}

// Spend takes one retry from a budget of burst retries. It returns false if less than one is left.
func (b *Budget) Spend(burst float64) bool {
	for {
		old := b.spent.Load()
		if full := int64(burst * unitsPerRetry); old > full {
			b.spent.CompareAndSwap(old, full) // the burst has shrunk
			return false
		}
		if float64(old+unitsPerRetry) > burst*unitsPerRetry {
			return false
		}
		if b.spent.CompareAndSwap(old, old+unitsPerRetry) {
			return true
		}
	}
}

// Room reports whether Spend would take one retry now.
func (b *Budget) Room(burst float64) bool {
	return float64(b.spent.Load()+unitsPerRetry) <= burst*unitsPerRetry
}

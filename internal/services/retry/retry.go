// Package retry bounds how often requests are sent a second time.
package retry

import "sync/atomic"

// milli is how many units of account a retry is.
const milli = 1000

// Budget bounds retries to a part of the first attempts and a burst. It takes no lock; the zero value has spent nothing.
type Budget struct {
	spent atomic.Int64 // thousandths of a retry
}

// Earn gives part of a retry back for one first attempt.
func (b *Budget) Earn(part float64) {
	n := int64(part * milli)
	for {
		old := b.spent.Load()
		if old == 0 || b.spent.CompareAndSwap(old, max(0, old-n)) {
			return
		}
	}
}

// Spend takes one retry where fewer than burst are spent.
func (b *Budget) Spend(burst float64) bool {
	for {
		old := b.spent.Load()
		if float64(old+milli) > burst*milli {
			return false
		}
		if b.spent.CompareAndSwap(old, old+milli) {
			return true
		}
	}
}

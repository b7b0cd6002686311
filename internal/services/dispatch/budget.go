package dispatch

import (
	"strconv"
	"sync/atomic"

	"wagtaillift/internal/models/engine"
)

const (
	headerIncarnation = "Wagtaillift-Incarnation"
	milli             = 1000
)

func incarnationOf(a engine.Announcement) string { return strconv.FormatUint(a.Incarnation, 10) }

// budget bounds retries to a part of the first attempts. It takes no lock.
type budget struct {
	left atomic.Int64 // thousandths of a retry
}

func newBudget() *budget {
	b := &budget{}
	b.left.Store(budgetBurst * milli)
	return b
}

// earn adds part of a retry for one first attempt.
func (b *budget) earn(part float64) {
	if b.left.Add(int64(part*milli)) > budgetBurst*milli {
		b.left.Store(budgetBurst * milli)
	}
}

// spend takes one retry where one is left.
func (b *budget) spend() bool {
	for {
		old := b.left.Load()
		if old < milli {
			return false
		}
		if b.left.CompareAndSwap(old, old-milli) {
			return true
		}
	}
}

// Package memory bounds the bytes that requests make a VM hold.
package memory

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/lazy"
)

// SmallBytes is the most that a small request holds for one use.
const SmallBytes = 64 << 10

const (
	smallDivisor      = 4 // limit/smallDivisor is kept for small requests
	connectionDivisor = 2 // connections hold at most limit/connectionDivisor
	shareFactor       = 4 // a customer's large requests hold at most shareFactor times what is left for others
)

// ErrNoRoom means that the budget has no room for a request.
const ErrNoRoom = errors.ConstError("there is no room for the bytes of the request")

// Use is what bytes are held for.
type Use int

// The uses.
const (
	Body       Use = iota // bodies of requests, while they are read, sent and kept for another attempt
	Answer                // answers of upstreams, until they are passed on
	Document              // what operators and upstreams send
	Connection            // connections of clients, and headers
	uses
)

// Uses returns all uses.
func Uses() []Use { return []Use{Body, Answer, Document, Connection} }

// String returns the use, as in metrics.
func (u Use) String() string { return [...]string{"body", "answer", "document", "connection"}[u] }

// Budget bounds the bytes that all requests hold together. Part of it is kept for small requests, and large ones of one customer leave room
// for those of others. It takes no locks. The zero value counts and sets no bound.
type Budget struct {
	// Reclaim makes others give so many bytes back soon, and reports whether there are any. It must be set before the first call.
	Reclaim func(bytes int64) bool

	limit     atomic.Int64 // zero sets no bound
	total     atomic.Int64
	large     atomic.Int64 // part of total that large requests hold
	uses      [uses]atomic.Int64
	rejected  [uses]atomic.Int64
	customers lazy.Map[id.Customer, atomic.Int64] // parts of large
}

// SetLimit sets the bound; zero is none.
func (b *Budget) SetLimit(n int64) { b.limit.Store(n) }

// Limit returns the bound.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Held returns the bytes that are held for u.
func (b *Budget) Held(u Use) int64 { return b.uses[u].Load() }

// Rejected returns how often there was no room for u.
func (b *Budget) Rejected(u Use) int64 { return b.rejected[u].Load() }

// take takes n bytes of c if that leaves it within limit.
func take(c *atomic.Int64, n, limit int64) bool {
	for {
		old := c.Load()
		if n > limit-old {
			return false
		}
		if c.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

// takeLarge takes n bytes for large requests of a customer.
func (b *Budget) takeLarge(customer *atomic.Int64, n int64) bool {
	limit := b.Limit()
	if limit == 0 {
		b.large.Add(n)
		customer.Add(n)
		return true
	}
	limit -= limit / smallDivisor
	if !take(&b.large, n, limit) {
		return false
	}
	if !take(customer, n, shareFactor*(limit-b.large.Load())) {
		b.large.Add(-n)
		return false
	}
	return true
}

// Hold is the room that one request has taken for one use. Its exported fields must be set before the first call; without a budget there is
// always room. One goroutine at a time may call it, but for Keep and Release.
type Hold struct {
	Budget   *Budget
	Use      Use
	Customer id.Customer // empty if it is not known

	n       int64
	large   int64         // part of n that counts as large
	share   *atomic.Int64 // of the customer; nil until large is taken
	keepers atomic.Int32  // that use the bytes beside the owner
}

// Take takes room for n more bytes. It reports whether there was any.
func (h *Hold) Take(n int64) bool {
	if h.Budget == nil || h.take(n) {
		return true
	}
	h.Budget.rejected[h.Use].Add(1)
	return false
}

func (h *Hold) take(n int64) bool {
	b := h.Budget
	limit := b.Limit()
	useLimit := limit
	if h.Use == Connection {
		useLimit /= connectionDivisor
	}
	if limit == 0 {
		limit, useLimit = math.MaxInt64, math.MaxInt64
	}
	if !take(&b.total, n, limit) {
		return false
	}
	if !take(&b.uses[h.Use], n, useLimit) {
		b.total.Add(-n)
		return false
	}
	if h.n+n > SmallBytes && !h.takeLarge(h.n+n-h.large) {
		b.uses[h.Use].Add(-n)
		b.total.Add(-n)
		return false
	}
	h.n += n
	return true
}

const (
	reclaimPause = 5 * time.Millisecond
	reclaimTries = 20
)

// TakeReclaimed takes room as Take does. If there is none, but others can give theirs back, it waits a moment for that.
func (h *Hold) TakeReclaimed(n int64) bool {
	if h.Take(n) {
		return true
	}
	if h.Budget.Reclaim == nil || !h.Budget.Reclaim(n) {
		return false
	}
	for range reclaimTries {
		time.Sleep(reclaimPause)
		if h.take(n) {
			return true
		}
	}
	return false
}

// Held returns the bytes that h has taken.
func (h *Hold) Held() int64 { return h.n }

func (h *Hold) takeLarge(n int64) bool {
	share := h.share
	if share == nil {
		share = h.Budget.customers.Get(h.Customer)
	}
	if !h.Budget.takeLarge(share, n) {
		return false
	}
	h.share, h.large = share, h.large+n
	return true
}

func (h *Hold) unbounded() bool { return h.Budget == nil || h.Budget.Limit() == 0 }

// Give gives n bytes back.
func (h *Hold) Give(n int64) {
	if h.Budget == nil || n == 0 {
		return
	}
	h.n -= n
	if large := min(n, h.large); large > 0 {
		h.large -= large
		h.share.Add(-large)
		h.Budget.large.Add(-large)
	}
	h.Budget.uses[h.Use].Add(-n)
	h.Budget.total.Add(-n)
}

// Keep keeps the room until one more call of Release.
func (h *Hold) Keep() { h.keepers.Add(1) }

// Release gives everything back once the owner and each keeper have called it.
func (h *Hold) Release() {
	if h.keepers.Add(-1) < 0 {
		h.Give(h.n)
	}
}

// Scarce reports whether h is large and more than half of the budget is taken.
func (h *Hold) Scarce() bool {
	if h.Budget == nil || h.large == 0 {
		return false
	}
	limit := h.Budget.Limit()
	return limit > 0 && h.Budget.total.Load() > limit/2
}

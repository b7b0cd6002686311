package limit

import (
	"math"
	"sync/atomic"
	"time"
)

// demandMemory is the time constant of the demand estimate.
const demandMemory = time.Second

// Bucket admits tokens on one VM inside its share. It takes no lock; the zero value admits nothing.
type Bucket struct {
	p      atomic.Pointer[fill]
	asked  atomic.Int64  // tokens asked for since the last Demand
	count  atomic.Int64  // requests that asked for them
	size   atomic.Uint64 // mean tokens of a request, float bits
	demand atomic.Uint64
	seen   atomic.Int64
	back   atomic.Uint64 // tokens dropped by smaller shares, float bits
	booked atomic.Int64  // when the tokens that refused requests were told to come back for have flowed in
}

// fill is an immutable state of a bucket.
type fill struct {
	level float64
	at    time.Duration
	part  Part
}

// at returns f with the tokens that have flowed in by now.
func (f fill) flow(now time.Duration) fill {
	if now > f.at {
		f.level = min(f.part.Burst, f.level+f.part.Rate*(now-f.at).Seconds())
		f.at = now
	}
	return f
}

func (b *Bucket) load() fill {
	if p := b.p.Load(); p != nil {
		return *p
	}
	return fill{}
}

// update replaces the state by f of it, unless f refuses.
func (b *Bucket) update(f func(fill) (fill, bool)) bool {
	for {
		old := b.p.Load()
		var cur fill
		if old != nil {
			cur = *old
		}
		next, ok := f(cur)
		if !ok {
			return false
		}
		if b.p.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// Set changes the share. More burst brings no tokens of its own; less burst drops those beyond it.
// Back reports them.
func (b *Bucket) Set(now time.Duration, part Part) {
	dropped := 0.0
	b.update(func(f fill) (fill, bool) {
		f = f.flow(now)
		f.at = max(f.at, now)
		f.part = part
		dropped = max(0, f.level-part.Burst)
		f.level -= dropped
		return f, true
	})
	if dropped > 0 {
		b.back.Store(math.Float64bits(math.Float64frombits(b.back.Load()) + dropped))
	}
}

// Back returns the tokens dropped by smaller shares since the last call. One thread sets shares and reports.
func (b *Bucket) Back() float64 { return math.Float64frombits(b.back.Swap(0)) }

// Discard empties the bucket: its share belongs to others now, and what it held too.
func (b *Bucket) Discard(now time.Duration) {
	b.Set(now, Part{})
	b.Back()
}

// Part returns the share in force.
func (b *Bucket) Part() Part { return b.load().part }

// Ask counts n tokens as demand.
func (b *Bucket) Ask(n float64) {
	b.asked.Add(int64(n))
	b.count.Add(1)
}

// sizeMemory is the weight of the past in the mean size of a request, at each Demand.
const sizeMemory = 0.8

// Size returns the mean tokens of a request, as of the last Demand.
func (b *Bucket) Size() float64 { return math.Float64frombits(b.size.Load()) }

// measure updates the mean size by n tokens of the latest requests.
func (b *Bucket) measure(n float64) {
	count := b.count.Swap(0)
	if count == 0 {
		return
	}
	mean := n / float64(count)
	if old := b.Size(); old > 0 {
		mean = sizeMemory*old + (1-sizeMemory)*mean
	}
	b.size.Store(math.Float64bits(mean))
}

// Take admits n tokens at now where they are there.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	return b.update(func(f fill) (fill, bool) {
		f = f.flow(now)
		if f.level < n {
			return f, false
		}
		f.level -= n
		return f, true
	})
}

// Give returns n tokens that were admitted and not used.
func (b *Bucket) Give(now time.Duration, n float64) {
	b.update(func(f fill) (fill, bool) {
		f = f.flow(now)
		f.level = min(f.part.Burst, f.level+n)
		return f, true
	})
}

// Wait returns how long until n tokens will be there; ok is false where they never will.
func (b *Bucket) Wait(now time.Duration, n float64) (d time.Duration, ok bool) {
	f := b.load().flow(now)
	if n > f.part.Burst || f.part.Rate <= 0 && n > f.level {
		return 0, false
	}
	if n <= f.level {
		return 0, true
	}
	return time.Duration((n - f.level) / f.part.Rate * float64(time.Second)), true
}

// promiseMost bounds the time to come back: a caller that waits longer than this has mostly gone.
const promiseMost = time.Second

// Promise returns when a refused request of n tokens may come back: after those that were refused before it, as all
// who are told the same moment come at once, and but one is admitted.
func (b *Bucket) Promise(now time.Duration, n float64) time.Duration {
	wait, ok := b.Wait(now, n)
	if !ok {
		return promiseMost
	}
	rate := b.load().part.Rate
	for rate > 0 {
		old := b.booked.Load()
		next := max(time.Duration(old), now) + time.Duration(n/rate*float64(time.Second))
		next = min(next, now+promiseMost)
		if b.booked.CompareAndSwap(old, int64(next)) {
			return min(promiseMost, max(wait, next-now))
		}
	}
	return wait
}

// Demand returns the tokens a second asked for lately, a moving average.
func (b *Bucket) Demand(now time.Duration) float64 {
	last := time.Duration(b.seen.Swap(int64(now)))
	n := float64(b.asked.Swap(0))
	old := math.Float64frombits(b.demand.Load())
	dt := (now - last).Seconds()
	if last == 0 || dt <= 0 {
		b.asked.Add(int64(n))
		return old
	}
	b.measure(n)
	keep := math.Exp(-dt / demandMemory.Seconds())
	rate := old*keep + n/dt*(1-keep)
	b.demand.Store(math.Float64bits(rate))
	return rate
}

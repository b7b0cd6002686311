package limit

import (
	"math"
	"sync/atomic"
	"time"
)

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = time.Second

// Bucket is a lock-free token bucket that limits one customer on one VM to the VM's share of the customer's rate and
// burst. The zero value admits nothing.
type Bucket struct {
	state           atomic.Pointer[bucketState]
	requestedTokens atomic.Int64  // tokens requested since the last call of Demand
	requestCount    atomic.Int64  // requests since the last call of Demand
	meanTokens      atomic.Uint64 // mean tokens per request, as float64 bits
	demandRate      atomic.Uint64 // tokens per second, as float64 bits
	lastDemandAt    atomic.Int64  // time of the last call of Demand, in nanoseconds; zero before the first
	droppedTokens   atomic.Uint64 // tokens dropped because the share shrank, as float64 bits
	bookedUntil     atomic.Int64  // time by which refills cover the refused requests that were given a retry delay, in nanoseconds
}

// bucketState is an immutable snapshot of a bucket.
type bucketState struct {
	tokens    float64
	updatedAt time.Duration
	share     Quota
}

// refill returns s with the tokens added up to now.
func (s bucketState) refill(now time.Duration) bucketState {
	if now > s.updatedAt {
		s.tokens = min(s.share.Burst, s.tokens+s.share.Rate*(now-s.updatedAt).Seconds())
		s.updatedAt = now
	}
	return s
}

func (b *Bucket) load() bucketState {
	if state := b.state.Load(); state != nil {
		return *state
	}
	return bucketState{}
}

// update atomically replaces the state with the result of f and retries on conflict. It stores nothing and returns
// false if f returns false.
func (b *Bucket) update(f func(bucketState) (bucketState, bool)) bool {
	for {
		old := b.state.Load()
		var cur bucketState
		if old != nil {
			cur = *old
		}
		next, ok := f(cur)
		if !ok {
			return false
		}
		if b.state.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// SetShare changes the share. A larger burst adds no tokens; a smaller one drops the excess, which DroppedTokens
// reports.
func (b *Bucket) SetShare(now time.Duration, share Quota) {
	dropped := 0.0
	b.update(func(s bucketState) (bucketState, bool) {
		s = s.refill(now)
		s.updatedAt = max(s.updatedAt, now)
		s.share = share
		dropped = max(0, s.tokens-share.Burst)
		s.tokens -= dropped
		return s, true
	})
	if dropped > 0 {
		b.droppedTokens.Store(math.Float64bits(math.Float64frombits(b.droppedTokens.Load()) + dropped))
	}
}

// DroppedTokens returns the tokens dropped by SetShare since the last call. SetShare and DroppedTokens must be called
// from one goroutine.
func (b *Bucket) DroppedTokens() float64 { return math.Float64frombits(b.droppedTokens.Swap(0)) }

// Reset empties the bucket and removes its share. The tokens are not reported by DroppedTokens, because the share
// already belongs to other VMs.
func (b *Bucket) Reset(now time.Duration) {
	b.SetShare(now, Quota{})
	b.DroppedTokens()
}

// Quota returns the VM's current share.
func (b *Bucket) Quota() Quota { return b.load().share }

// AddDemand records a request for n tokens.
func (b *Bucket) AddDemand(n float64) {
	b.requestedTokens.Add(int64(n))
	b.requestCount.Add(1)
}

// meanTokensDecay is the weight of the previous mean at each update of the mean tokens per request.
const meanTokensDecay = 0.8

// MeanTokens returns the mean tokens per request, as of the last call of Demand.
func (b *Bucket) MeanTokens() float64 { return math.Float64frombits(b.meanTokens.Load()) }

// updateMeanTokens updates the mean tokens per request. The requests since the last update asked for n tokens.
func (b *Bucket) updateMeanTokens(n float64) {
	requestCount := b.requestCount.Swap(0)
	if requestCount == 0 {
		return
	}
	mean := n / float64(requestCount)
	if old := b.MeanTokens(); old > 0 {
		mean = meanTokensDecay*old + (1-meanTokensDecay)*mean
	}
	b.meanTokens.Store(math.Float64bits(mean))
}

// Take consumes n tokens. It returns false if the bucket holds fewer.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	return b.update(func(s bucketState) (bucketState, bool) {
		s = s.refill(now)
		if s.tokens < n {
			return s, false
		}
		s.tokens -= n
		return s, true
	})
}

// Credit adds n tokens, at most up to the burst: tokens that were admitted but not used, or that come with a larger
// share.
func (b *Bucket) Credit(now time.Duration, n float64) {
	b.update(func(s bucketState) (bucketState, bool) {
		s = s.refill(now)
		s.tokens = min(s.share.Burst, s.tokens+n)
		return s, true
	})
}

// Wait returns how long it takes until the bucket holds n tokens; ok is false if it never will.
func (b *Bucket) Wait(now time.Duration, n float64) (d time.Duration, ok bool) {
	s := b.load().refill(now)
	if n > s.share.Burst || s.share.Rate <= 0 && n > s.tokens {
		return 0, false
	}
	if n <= s.tokens {
		return 0, true
	}
	return time.Duration((n - s.tokens) / s.share.Rate * float64(time.Second)), true
}

// maxRetryAfter bounds the retry delay: most callers give up before waiting longer.
const maxRetryAfter = time.Second

// RetryAfter returns the delay after which a refused request for n tokens may retry. It queues refused requests one
// after the other: with the same delay for all, they would retry together and only one would be admitted.
func (b *Bucket) RetryAfter(now time.Duration, n float64) time.Duration {
	wait, ok := b.Wait(now, n)
	if !ok {
		return maxRetryAfter
	}
	rate := b.load().share.Rate
	for rate > 0 {
		old := b.bookedUntil.Load()
		next := max(time.Duration(old), now) + time.Duration(n/rate*float64(time.Second))
		next = min(next, now+maxRetryAfter)
		if b.bookedUntil.CompareAndSwap(old, int64(next)) {
			return min(maxRetryAfter, max(wait, next-now))
		}
	}
	return wait
}

// Demand returns a moving average of the requested tokens per second, and updates the mean tokens per request.
func (b *Bucket) Demand(now time.Duration) float64 {
	last := time.Duration(b.lastDemandAt.Swap(int64(now)))
	n := float64(b.requestedTokens.Swap(0))
	old := math.Float64frombits(b.demandRate.Load())
	dt := (now - last).Seconds()
	if last == 0 || dt <= 0 {
		b.requestedTokens.Add(int64(n))
		return old
	}
	b.updateMeanTokens(n)
	keep := math.Exp(-dt / demandTimeConstant.Seconds())
	rate := old*keep + n/dt*(1-keep)
	b.demandRate.Store(math.Float64bits(rate))
	return rate
}

package limit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/lazy"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/call"
)

const (
	step          = "limit"
	minRetryAfter = 50 * time.Millisecond
	drawBackoff   = 100 * time.Millisecond // time between draws of a request that the share can never admit
)

// Drawer takes tokens from the undivided part of a customer's limit, which the leader manages.
type Drawer interface {
	Draw(ctx context.Context, c id.Customer, tokens float64) bool
}

// Limiter holds the buckets of this VM. Requests are admitted without locks.
type Limiter struct {
	buckets   lazy.Map[id.Customer, Bucket]
	accounts  lazy.Map[id.Customer, account]
	fallback  sync.Map // id.Customer to *Bucket, used while no leader is reachable
	Drawer    Drawer
	Allowance Tolerance // how far customers may exceed their limit
	// Leaderless reports whether no leader could be reached for draws recently, and how many VMs admit requests. If nil, the
	// leader counts as reachable.
	Leaderless func(now time.Duration) (vms int, leaderless bool)
	Pool       Pool   // nil if every VM uses shares of its own
	OnShortage func() // called when the share is too small for a request, to report demand early
}

// Bucket returns the bucket of c.
func (l *Limiter) Bucket(c id.Customer) *Bucket { return l.buckets.Get(c) }

// Each calls f for each bucket.
func (l *Limiter) Each(f func(c id.Customer, b *Bucket)) { l.buckets.Each(f) }

// request is a request for tokens of a customer.
type request struct {
	customer id.Customer
	tokens   float64
	rate     float64       // the customer's, in tokens per second
	parties  func() int    // VMs that the fallback rate is divided between; nil for those that Leaderless returns
	account  *account      // of a holder; nil if this VM uses its share for its own requests only
	end      time.Duration // until which the request may wait
}

// Reserve takes the tokens that c may need from its customer's limit. If the share lacks them, it waits for a refill,
// or draws from the undivided part of the limit if a refill would take too long. While no leader is reachable, a low
// fallback rate applies in addition. Otherwise it refuses with a retry delay. In a large fleet it asks the holder of the
// customer's share in this data centre.
func (l *Limiter) Reserve(ctx context.Context, now func() time.Duration, c *call.Call) error {
	r := request{customer: c.Customer, tokens: float64(c.PromptTokens + c.OutputTokens), rate: c.Config.Resolve(policy.Rate, c.Customer, "").Value}
	maxTokens := l.Allowance.Apply(Quota{Rate: r.rate, Burst: c.Config.Resolve(policy.Burst, c.Customer, "").Value}).Burst
	if r.tokens > maxTokens {
		return call.Refuse(http.StatusRequestEntityTooLarge, call.OverBurst, step,
			"the request may need %.0f tokens and the customer's burst is %.0f", r.tokens, maxTokens)
	}
	maxWait := c.Config.ResolveDuration(policy.Wait, c.Customer, c.Service.ID)
	if c.Wait > 0 {
		maxWait = min(maxWait, c.Wait)
	}
	r.end = now() + maxWait
	if l.Pool != nil && l.Pool.Pooled() {
		return l.reservePooled(ctx, now, c, r)
	}
	b := l.Bucket(c.Customer)
	b.AddDemand(r.tokens)
	switch l.take(ctx, now, r) {
	case taken:
		c.ReservedTokens = c.PromptTokens + c.OutputTokens
	case takenWithoutShare: // c.ReservedTokens stays zero, as no share holds these tokens
	default:
		return refuse(r, b.RetryAfter(now(), r.tokens))
	}
	return nil
}

// outcome is the result of an attempt to take tokens.
type outcome int

const (
	notTaken outcome = iota
	taken
	takenWithoutShare // at the fallback rate
)

// take takes the tokens of r from this VM's share, from the undivided part or at the fallback rate, and waits for them until r.end.
func (l *Limiter) take(ctx context.Context, now func() time.Duration, r request) outcome {
	b := l.Bucket(r.customer)
	for {
		at := now()
		if b.Take(at, r.tokens) {
			return taken
		}
		if l.OnShortage != nil {
			l.OnShortage()
		}
		wait, possible := b.Wait(at, r.tokens)
		if !possible || at+wait > r.end {
			if l.draw(now, r, max(r.end-at, minAnswerWait)) {
				return taken
			}
		}
		if l.takeFallback(at, r) {
			return takenWithoutShare
		}
		at = now()
		if !possible {
			wait = min(drawBackoff, max(r.end-at, 0))
		}
		wait = max(wait, time.Millisecond)
		if at+wait > r.end || !pause.For(ctx, wait) {
			return notTaken
		}
	}
}

// draw takes the tokens of r from the undivided part of the limit. It waits for the leader's answer for a limited time; tokens that are
// granted later go to this VM's share.
func (l *Limiter) draw(now func() time.Duration, r request, wait time.Duration) bool {
	if l.Drawer == nil || r.account != nil && r.account.refusedLately(now(), r.tokens) {
		return false
	}
	answer := make(chan bool, 1)
	go func() { answer <- l.Drawer.Draw(context.Background(), r.customer, r.tokens) }()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case granted := <-answer:
		if r.account != nil {
			r.account.record(now(), r.tokens, granted)
		}
		return granted
	case <-timeout.C:
		go func() {
			if <-answer {
				l.Bucket(r.customer).Credit(now(), r.tokens)
			}
		}()
		return false
	}
}

// fallbackRateFraction is the fraction of an equal share of the customer's rate that a VM may admit without a leader.
// Summed over the VMs of an isolated data centre and over the duration of a VM lease, it stays within the excess that
// the tolerance allows.
const fallbackRateFraction = 0.4

// fallbackBurstSpan sets the fallback burst: a VM may admit this much time's worth of the fallback rate at once.
const fallbackBurstSpan = time.Second

// takeFallback admits requests at a reduced rate while no leader is reachable, as only the leader knows how much the
// other VMs have used.
func (l *Limiter) takeFallback(now time.Duration, r request) bool {
	if l.Leaderless == nil || l.Allowance.Span <= 0 {
		return false
	}
	vms, leaderless := l.Leaderless(now)
	if !leaderless {
		return false
	}
	if r.parties != nil {
		vms = r.parties()
	}
	rate := fallbackRateFraction * r.rate / float64(max(1, vms))
	fallbackQuota := Quota{Rate: rate, Burst: rate * fallbackBurstSpan.Seconds()}
	v, known := l.fallback.LoadOrStore(r.customer, &Bucket{})
	b := v.(*Bucket)
	if b.Quota() != fallbackQuota {
		b.SetShare(now, fallbackQuota)
		if !known {
			b.Credit(now, fallbackQuota.Burst)
		}
	}
	return b.Take(now, r.tokens)
}

func refuse(r request, wait time.Duration) error {
	return call.Refuse(http.StatusTooManyRequests, call.OverRate, step,
		"customer %s is over its rate of %.0f tokens/s", r.customer, r.rate).WithRetryAfter(max(wait, minRetryAfter))
}

// ReturnUnused gives back the tokens that c reserved but did not use.
func (l *Limiter) ReturnUnused(now time.Duration, c *call.Call) {
	if unused := c.ReservedTokens - c.Used.PromptTokens - c.Used.OutputTokens; unused > 0 {
		if l.Pool != nil && l.Pool.Pooled() {
			l.accounts.Get(c.Customer).unused.Add(int64(unused))
		} else {
			l.Bucket(c.Customer).Credit(now, float64(unused))
		}
	}
	c.ReservedTokens = 0
}

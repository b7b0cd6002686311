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
	fallback  sync.Map // id.Customer to *Bucket, used while no leader is reachable
	Drawer    Drawer
	Allowance Tolerance // how far customers may exceed their limit
	// Leaderless reports whether no leader could be reached for draws recently, and how many VMs admit requests. If nil, the
	// leader counts as reachable.
	Leaderless func(now time.Duration) (vms int, leaderless bool)
	OnShortage func() // called when the share is too small for a request, to report demand early
}

// Bucket returns the bucket of c.
func (l *Limiter) Bucket(c id.Customer) *Bucket { return l.buckets.Get(c) }

// Each calls f for each bucket.
func (l *Limiter) Each(f func(c id.Customer, b *Bucket)) { l.buckets.Each(f) }

// Reserve takes the tokens that c may need from its customer's limit. If the share lacks them, it waits for a refill,
// or draws from the undivided part of the limit if a refill would take too long. While no leader is reachable, a low
// fallback rate applies in addition. Otherwise it refuses with a retry delay.
func (l *Limiter) Reserve(ctx context.Context, now func() time.Duration, c *call.Call) error {
	need := float64(c.PromptTokens + c.OutputTokens)
	maxTokens := l.Allowance.Apply(Quota{
		Rate: c.Config.Resolve(policy.Rate, c.Customer, "").Value, Burst: c.Config.Resolve(policy.Burst, c.Customer, "").Value,
	}).Burst
	if need > maxTokens {
		return call.Refuse(http.StatusRequestEntityTooLarge, call.OverBurst, step,
			"the request may need %.0f tokens and the customer's burst is %.0f", need, maxTokens)
	}
	b := l.Bucket(c.Customer)
	b.AddDemand(need)
	maxWait := c.Config.ResolveDuration(policy.Wait, c.Customer, c.Service.ID)
	if c.Wait > 0 {
		maxWait = min(maxWait, c.Wait)
	}
	end := now() + maxWait
	for {
		at := now()
		if b.Take(at, need) {
			c.ReservedTokens = c.PromptTokens + c.OutputTokens
			return nil
		}
		if l.OnShortage != nil {
			l.OnShortage()
		}
		wait, possible := b.Wait(at, need)
		if !possible || at+wait > end {
			if l.Drawer != nil && l.Drawer.Draw(ctx, c.Customer, need) {
				c.ReservedTokens = c.PromptTokens + c.OutputTokens
				return nil
			}
		}
		if l.takeFallback(at, c, need) {
			return nil // c.ReservedTokens stays zero, as no share holds these tokens
		}
		if !possible {
			wait = min(drawBackoff, max(end-at, 0))
		}
		if at+max(wait, time.Millisecond) > end {
			return refuse(c, b, now(), need)
		}
		if !pause.For(ctx, max(wait, time.Millisecond)) {
			return refuse(c, b, now(), need)
		}
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
func (l *Limiter) takeFallback(now time.Duration, c *call.Call, need float64) bool {
	if l.Leaderless == nil || l.Allowance.Span <= 0 {
		return false
	}
	vms, leaderless := l.Leaderless(now)
	if !leaderless {
		return false
	}
	rate := fallbackRateFraction * c.Config.Resolve(policy.Rate, c.Customer, "").Value / float64(max(1, vms))
	fallbackQuota := Quota{Rate: rate, Burst: rate * fallbackBurstSpan.Seconds()}
	v, known := l.fallback.LoadOrStore(c.Customer, &Bucket{})
	b := v.(*Bucket)
	if b.Quota() != fallbackQuota {
		b.SetShare(now, fallbackQuota)
		if !known {
			b.Credit(now, fallbackQuota.Burst)
		}
	}
	return b.Take(now, need)
}

func refuse(c *call.Call, b *Bucket, now time.Duration, need float64) error {
	rate := c.Config.Resolve(policy.Rate, c.Customer, "").Value
	wait := b.RetryAfter(now, need)
	return call.Refuse(http.StatusTooManyRequests, call.OverRate, step,
		"customer %s is over its rate of %.0f tokens/s", c.Customer, rate).WithRetryAfter(max(wait, minRetryAfter))
}

// ReturnUnused gives back the tokens that c reserved but did not use.
func (l *Limiter) ReturnUnused(now time.Duration, c *call.Call) {
	if unused := c.ReservedTokens - c.Used.PromptTokens - c.Used.OutputTokens; unused > 0 {
		l.Bucket(c.Customer).Credit(now, float64(unused))
	}
	c.ReservedTokens = 0
}

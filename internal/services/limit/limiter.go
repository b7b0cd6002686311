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
	step        = "limit"
	leastRetry  = 50 * time.Millisecond
	drawBackoff = 100 * time.Millisecond
)

// Drawer takes tokens from a customer's undivided rest.
type Drawer interface {
	Draw(ctx context.Context, c id.Customer, tokens float64) bool
}

// Limiter holds this VM's buckets. The path of a request takes no lock.
type Limiter struct {
	buckets lazy.Map[id.Customer, Bucket]
	spare   sync.Map // id.Customer to *Bucket, for times without a leader
	Drawer  Drawer
	Extra   Tolerance
	// Alone reports whether no leader could be reached for draws lately, and how many VMs admit requests. Nil never is.
	Alone func(now time.Duration) (vms int, alone bool)
	Short func() // called when a share does not suffice, to report demand early
}

// Bucket returns the bucket of c.
func (l *Limiter) Bucket(c id.Customer) *Bucket { return l.buckets.Get(c) }

// Each calls f for every bucket.
func (l *Limiter) Each(f func(c id.Customer, b *Bucket)) { l.buckets.Each(f) }

// Reserve takes what c may need from its customer's rate. It waits a little where that is enough, draws what is too
// big for this VM's share from the undivided rest, and else refuses with the time to come back.
func (l *Limiter) Reserve(ctx context.Context, now func() time.Duration, c *call.Call) error {
	need := float64(c.Prompt + c.Output)
	total := l.Extra.Apply(Part{
		Rate: c.Config.Resolve(policy.Rate, c.Customer, "").Value, Burst: c.Config.Resolve(policy.Burst, c.Customer, "").Value,
	}).Burst
	if need > total {
		return call.Refuse(http.StatusRequestEntityTooLarge, call.OverBurst, step,
			"the request may need %.0f tokens and the customer's burst is %.0f", need, total)
	}
	b := l.Bucket(c.Customer)
	b.Ask(need)
	longest := c.Config.Seconds(policy.Wait, c.Customer, c.Service.ID)
	if c.Wait > 0 {
		longest = min(longest, c.Wait)
	}
	end := now() + longest
	for {
		at := now()
		if b.Take(at, need) {
			c.Reserved = c.Prompt + c.Output
			return nil
		}
		if l.Short != nil {
			l.Short()
		}
		wait, possible := b.Wait(at, need)
		if !possible || at+wait > end {
			if l.Drawer != nil && l.Drawer.Draw(ctx, c.Customer, need) {
				c.Reserved = c.Prompt + c.Output
				return nil
			}
		}
		if l.takeSpare(at, c, need) {
			return nil // nothing is to be given back: no share holds it
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

// sparePart is the part of its share of a customer's rate that a VM may admit without a leader. Summed over the VMs of a data
// centre that is cut off, and over a VM lease, it stays inside what the tolerance leaves.
const sparePart = 0.4

// spareSpan is the time whose part a VM may admit at once.
const spareSpan = time.Second

// takeSpare admits what a VM may without a leader, which alone knows what the others have used.
func (l *Limiter) takeSpare(now time.Duration, c *call.Call, need float64) bool {
	if l.Alone == nil || l.Extra.Span <= 0 {
		return false
	}
	vms, alone := l.Alone(now)
	if !alone {
		return false
	}
	rate := sparePart * c.Config.Resolve(policy.Rate, c.Customer, "").Value / float64(max(1, vms))
	part := Part{Rate: rate, Burst: rate * spareSpan.Seconds()}
	v, known := l.spare.LoadOrStore(c.Customer, &Bucket{})
	b := v.(*Bucket)
	if b.Part() != part {
		b.Set(now, part)
		if !known {
			b.Give(now, part.Burst)
		}
	}
	return b.Take(now, need)
}

func refuse(c *call.Call, b *Bucket, now time.Duration, need float64) error {
	rate := c.Config.Resolve(policy.Rate, c.Customer, "").Value
	wait := b.Promise(now, need)
	return call.Refuse(http.StatusTooManyRequests, call.OverRate, step,
		"customer %s is over its rate of %.0f tokens/s", c.Customer, rate).After(max(wait, leastRetry))
}

// Return gives back what c reserved and did not use.
func (l *Limiter) Return(now time.Duration, c *call.Call) {
	if unused := c.Reserved - c.Used.Prompt - c.Used.Output; unused > 0 {
		l.Bucket(c.Customer).Give(now, float64(unused))
	}
	c.Reserved = 0
}

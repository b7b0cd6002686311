// Package limit enforces each customer's rate and burst across all VMs. On the leader, a Divider assigns each VM a share
// of both, such that the sums of the shares never exceed the customer's rate and burst. On each VM, a Bucket admits
// requests within the VM's share. A part of the rate and burst stays undivided: from it the leader grants the tokens of
// requests that do not fit into a share, which is called a draw. The customer's limit and the shares are all Quotas.
package limit

import (
	"math"
	"time"

	"wagtaillift/internal/modules/id"
)

const (
	reservedBurstFraction = 0.3  // fraction of the burst that is never divided, for requests too big for a share
	drawReserveFraction   = 0.1  // undivided tokens that a growing share leaves for draws, as a fraction of the burst
	reservedRateFraction  = 0.05 // fraction of the rate that is never divided
	evenFraction          = 0.3  // fraction of the divided limit that is split evenly between VMs with demand; the rest follows demand
	headroomFactor        = 1.3  // divided rate as a multiple of the total demand, capped by the customer's divisible rate
	minRelativeChange     = 0.02 // smaller relative changes of a share are not sent to the VM
	idleDemandRate        = 1.0  // tokens per second; a VM with less demand gets no share
	minShareRequests      = 4.0  // a share whose burst holds fewer requests of mean size is not assigned, and every request draws
)

// Quota is a rate and a burst: the limit of one customer, or the share of it that one VM may admit.
type Quota struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// VMReport is the report of one VM: its demand and the share it applies.
type VMReport struct {
	WantedRate    float64 // demand in tokens per second
	Quota         Quota   // share that the VM applies
	DroppedTokens float64 // tokens dropped because the burst shrank, since the last report
	MeanTokens    float64 // mean tokens per request
}

// vmShare is the divider's state for one VM.
type vmShare struct {
	granted    Quota // largest share that the VM may currently apply
	lastSent   Quota // share sent most recently
	demandRate float64
	meanTokens float64
}

// Divider divides one customer's limit between VMs. The zero value has a limit of zero.
type Divider struct {
	limit           Quota
	shares          map[id.VM]*vmShare
	undividedTokens float64       // tokens available to draws and growing shares
	refilledAt      time.Duration // time of the last refill of undividedTokens
	// Frozen keeps all shares unchanged while VMs that have not reported to this divider may still apply theirs. Draws
	// are then limited to the reserved fractions of rate and burst.
	Frozen bool
}

// SetLimit sets the customer's rate and burst. A lower limit takes effect once VMs acknowledge smaller shares.
func (d *Divider) SetLimit(limit Quota) { d.limit = limit }

// valid reports whether n is an amount of tokens, or of tokens per second; NaN is not.
func valid(n float64) bool { return n >= 0 && n <= math.MaxInt64 }

func (r VMReport) valid() bool {
	return valid(r.WantedRate) && valid(r.Quota.Rate) && valid(r.Quota.Burst) && valid(r.DroppedTokens) && valid(r.MeanTokens)
}

// Report records the demand of vm and the share that it applies. It ignores a report with numbers that are none.
func (d *Divider) Report(vm id.VM, r VMReport) {
	if !r.valid() {
		return
	}
	if d.shares == nil {
		d.shares = map[id.VM]*vmShare{}
	}
	s, ok := d.shares[vm]
	if !ok {
		s = &vmShare{granted: r.Quota, lastSent: r.Quota}
		d.shares[vm] = s
	}
	s.demandRate, s.meanTokens = r.WantedRate, r.MeanTokens
	d.undividedTokens += r.DroppedTokens
	if r.Quota == s.lastSent {
		s.granted = r.Quota // the VM has acknowledged the latest share
	}
}

// Remove revokes the share of vm, whose lease must have expired. The tokens left in the VM's bucket are lost.
func (d *Divider) Remove(vm id.VM) { delete(d.shares, vm) }

// granted returns the sum of the shares that VMs may currently apply.
func (d *Divider) granted() Quota {
	var sum Quota
	for _, s := range d.shares {
		sum.Rate += s.granted.Rate
		sum.Burst += s.granted.Burst
	}
	return sum
}

// undivided returns the rate and burst that are not assigned to VMs.
func (d *Divider) undivided() Quota {
	if d.Frozen {
		return Quota{Rate: reservedRateFraction * d.limit.Rate, Burst: reservedBurstFraction * d.limit.Burst}
	}
	used := d.granted()
	return Quota{Rate: max(0, d.limit.Rate-used.Rate), Burst: max(0, d.limit.Burst-used.Burst)}
}

// available returns how much the shares may still grow, which excludes the reserved fractions.
func (d *Divider) available() Quota {
	undivided := d.undivided()
	return Quota{
		Rate:  max(0, undivided.Rate-reservedRateFraction*d.limit.Rate),
		Burst: max(0, undivided.Burst-reservedBurstFraction*d.limit.Burst),
	}
}

// Share returns the share to send to vm, and the tokens to credit to its bucket for a larger burst. A share grows only by
// what is undivided at the moment, so the sum over all VMs stays within the limit whichever messages are lost.
func (d *Divider) Share(now time.Duration, vm id.VM) (share Quota, tokens float64) {
	s := d.shares[vm]
	if s == nil {
		return Quota{}, 0
	}
	d.Refill(now)
	if d.Frozen {
		s.lastSent = s.granted
		return s.lastSent, 0
	}
	available := d.available()
	targetShare := d.targetShare(s)
	next := Quota{
		Rate:  limitGrowth(s.granted.Rate, targetShare.Rate, available.Rate),
		Burst: limitGrowth(s.granted.Burst, targetShare.Burst, available.Burst),
	}
	if nearlyEqual(next.Rate, s.lastSent.Rate) && nearlyEqual(next.Burst, s.lastSent.Burst) &&
		s.lastSent.Rate <= s.granted.Rate && s.lastSent.Burst <= s.granted.Burst {
		return s.lastSent, 0
	}
	growth := next.Burst - s.granted.Burst
	s.lastSent = next
	s.granted = Quota{Rate: max(s.granted.Rate, next.Rate), Burst: max(s.granted.Burst, next.Burst)}
	if growth > 0 {
		tokens = min(growth, max(0, d.undividedTokens-drawReserveFraction*d.limit.Burst))
		d.undividedTokens -= tokens
	}
	d.undividedTokens = min(d.undividedTokens, d.undivided().Burst)
	return next, tokens
}

// limitGrowth returns target, capped at current plus available.
func limitGrowth(current, target, available float64) float64 {
	return max(0, min(target, current+max(0, available)))
}

func nearlyEqual(a, b float64) bool {
	d := a - b
	return d <= minRelativeChange*b && d >= -minRelativeChange*b
}

// targetShare returns the share that h gets once all messages are delivered: an even part plus a part proportional to
// its demand.
func (d *Divider) targetShare(s *vmShare) Quota {
	if s.demandRate < idleDemandRate {
		return Quota{}
	}
	sum, n := 0.0, 0
	for _, x := range d.shares {
		if x.demandRate >= idleDemandRate {
			sum += x.demandRate
			n++
		}
	}
	fraction := evenFraction/float64(n) + (1-evenFraction)*s.demandRate/sum
	rate := min(d.limit.Rate*(1-reservedRateFraction), headroomFactor*sum)
	share := Quota{Rate: rate * fraction, Burst: d.limit.Burst * (1 - reservedBurstFraction) * fraction}
	if share.Burst < minShareRequests*s.meanTokens {
		return Quota{} // requests would rarely fit into such a share, so its tokens would go unused
	}
	return share
}

// Draw takes n undivided tokens. It returns false if there are fewer.
func (d *Divider) Draw(now time.Duration, n float64) bool {
	d.Refill(now)
	if !valid(n) || n > d.undividedTokens {
		return false
	}
	d.undividedTokens -= n
	return true
}

// Start starts counting undivided tokens at now, from zero, since earlier ones may have been drawn from the previous
// leader.
func (d *Divider) Start(now time.Duration) { d.undividedTokens, d.refilledAt = 0, now }

// Unfreeze clears Frozen, after a refill at the rate that applied until now.
func (d *Divider) Unfreeze(now time.Duration) {
	d.Refill(now)
	d.Frozen = false
}

// Refill adds undivided tokens at the undivided rate.
func (d *Divider) Refill(now time.Duration) {
	undivided := d.undivided()
	if now > d.refilledAt {
		d.undividedTokens += undivided.Rate * (now - d.refilledAt).Seconds()
	}
	d.undividedTokens = min(d.undividedTokens, undivided.Burst)
	d.refilledAt = max(d.refilledAt, now)
}

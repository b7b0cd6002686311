// Package limit keeps customers inside their rate and burst over all VMs together. A Bucket admits on one VM inside
// its share; a Divider hands out the shares so that their sums never exceed the customer's rate and burst.
package limit

import (
	"time"

	"wagtaillift/internal/modules/id"
)

const (
	restPart   = 0.3  // part of the burst that is never divided, for requests too big for a share
	keepPart   = 0.1  // part of the burst that stays in the rest for draws when a share grows
	restRate   = 0.05 // part of the rate that is never divided
	spread     = 0.3  // part of what is divided that is spread evenly between the VMs with demand
	headroom   = 1.3  // divided rate, as a multiple of the demand, while that is below the customer's rate
	minChange  = 0.02 // smaller relative changes of a share are not sent
	idleDemand = 1.0  // tokens a second below which a VM's share returns to the rest
	leastShare = 4.0  // mean requests that a share's burst holds; where it would hold fewer, every request draws
)

// Part is a share of one customer's rate (tokens a second) and burst (tokens).
type Part struct {
	Rate  float64
	Burst float64
}

// Held is what one VM reported: its demand and the share it applies.
type Held struct {
	Wanted float64
	Part   Part
	Back   float64 // tokens that a smaller burst has dropped since the last report
	Size   float64 // tokens of a request, on average
}

// holding is what the divider knows of one VM's share.
type holding struct {
	granted Part // largest share that the VM may be applying
	last    Part // share most recently sent
	wanted  float64
	size    float64
}

// Divider divides one customer's rate and burst between VMs. The zero value has nothing to divide.
type Divider struct {
	limit Part
	held  map[id.VM]*holding
	level float64 // tokens in the undivided rest
	at    time.Duration
	// Frozen keeps shares as they are: VMs that this divider does not know may still apply theirs. Draws come from the
	// parts that are never divided.
	Frozen bool
}

// Limit sets the customer's rate and burst. A lower limit takes effect as VMs acknowledge smaller shares.
func (d *Divider) Limit(limit Part) { d.limit = limit }

// Report records what vm wants and applies.
func (d *Divider) Report(vm id.VM, h Held) {
	if d.held == nil {
		d.held = map[id.VM]*holding{}
	}
	x, ok := d.held[vm]
	if !ok {
		x = &holding{granted: h.Part, last: h.Part}
		d.held[vm] = x
	}
	x.wanted, x.size = h.Wanted, h.Size
	d.level += h.Back
	if h.Part == x.last {
		x.granted = h.Part // the VM has acknowledged the latest share
	}
}

// End takes back the share of vm, whose lease has surely ended. It comes back empty.
func (d *Divider) End(vm id.VM) { delete(d.held, vm) }

// granted returns the sum of what VMs may be applying.
func (d *Divider) granted() Part {
	var sum Part
	for _, h := range d.held {
		sum.Rate += h.granted.Rate
		sum.Burst += h.granted.Burst
	}
	return sum
}

// rest returns what is not divided.
func (d *Divider) rest() Part {
	if d.Frozen {
		return Part{Rate: restRate * d.limit.Rate, Burst: restPart * d.limit.Burst}
	}
	used := d.granted()
	return Part{Rate: max(0, d.limit.Rate-used.Rate), Burst: max(0, d.limit.Burst-used.Burst)}
}

// free returns what shares may still grow by. The parts of the rest that are never divided stay out of it.
func (d *Divider) free() Part {
	rest := d.rest()
	return Part{
		Rate:  max(0, rest.Rate-restRate*d.limit.Rate),
		Burst: max(0, rest.Burst-restPart*d.limit.Burst),
	}
}

// Share decides the share to send to vm at now, and the tokens that go with a larger burst. Growth is limited to what
// is not divided at this moment, so the sums over all VMs stay inside the limit whatever messages are lost.
func (d *Divider) Share(now time.Duration, vm id.VM) (part Part, gift float64) {
	h := d.held[vm]
	if h == nil {
		return Part{}, 0
	}
	d.Tick(now)
	if d.Frozen {
		h.last = h.granted
		return h.last, 0
	}
	free := d.free()
	target := d.target(h)
	next := Part{
		Rate:  grow(h.granted.Rate, target.Rate, free.Rate),
		Burst: grow(h.granted.Burst, target.Burst, free.Burst),
	}
	if near(next.Rate, h.last.Rate) && near(next.Burst, h.last.Burst) &&
		h.last.Rate <= h.granted.Rate && h.last.Burst <= h.granted.Burst {
		return h.last, 0
	}
	growth := next.Burst - h.granted.Burst
	h.last = next
	h.granted = Part{Rate: max(h.granted.Rate, next.Rate), Burst: max(h.granted.Burst, next.Burst)}
	if growth > 0 {
		gift = min(growth, max(0, d.level-keepPart*d.limit.Burst))
		d.level -= gift
	}
	d.level = min(d.level, d.rest().Burst)
	return next, gift
}

// grow returns target, raised above held by at most free.
func grow(held, target, free float64) float64 {
	return max(0, min(target, held+max(0, free)))
}

func near(a, b float64) bool {
	d := a - b
	return d <= minChange*b && d >= -minChange*b
}

// target is the share that h would have with all messages delivered: an even part plus a part by demand.
func (d *Divider) target(h *holding) Part {
	if h.wanted < idleDemand {
		return Part{}
	}
	sum, n := 0.0, 0
	for _, x := range d.held {
		if x.wanted >= idleDemand {
			sum += x.wanted
			n++
		}
	}
	part := spread/float64(n) + (1-spread)*h.wanted/sum
	rate := min(d.limit.Rate*(1-restRate), headroom*sum)
	share := Part{Rate: rate * part, Burst: d.limit.Burst * (1 - restPart) * part}
	if share.Burst < leastShare*h.size {
		return Part{} // such a share would lie idle while requests do not fit into it
	}
	return share
}

// Draw takes n tokens from the undivided rest at now. It is refused where they are not there.
func (d *Divider) Draw(now time.Duration, n float64) bool {
	d.Tick(now)
	if n > d.level {
		return false
	}
	d.level -= n
	return true
}

// Open starts the rest at now, empty: what it held before may have been drawn from an earlier leader.
func (d *Divider) Open(now time.Duration) { d.level, d.at = 0, now }

// Thaw ends Frozen.
func (d *Divider) Thaw(now time.Duration) {
	d.Tick(now)
	d.Frozen = false
}

// Tick lets the rest fill at the rate that is not divided.
func (d *Divider) Tick(now time.Duration) {
	rest := d.rest()
	if now > d.at {
		d.level += rest.Rate * (now - d.at).Seconds()
	}
	d.level = min(d.level, rest.Burst)
	d.at = max(d.at, now)
}

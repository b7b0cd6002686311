package pace

import (
	"math"
	"time"
)

const (
	carry          = time.Second // for which a VM may use a slot after its start; a longer slot may be used to its end
	stepsPerOctave = 4           // rates are rounded down to steps, so that VMs which know slightly different rates have the same slots
)

// period returns the length of a slot; l must have a rate.
func (l Limit) period() time.Duration {
	rate := math.Exp2(math.Floor(stepsPerOctave*math.Log2(float64(l.Rate))) / stepsPerOctave)
	return max(1, time.Duration(float64(time.Second)/rate))
}

// Senders are the VMs that send requests to an upstream, in an order that is the same on all of them. The zero value is a single VM.
type Senders struct {
	Count int
	Rank  int // position of this VM, from 0
}

// slotAfter returns the start of the first slot of this VM that starts later than t, in nanoseconds since the Unix epoch. Shift is
// different for each upstream, so that a VM does not have the slots of all upstreams at the same time.
func (s Senders) slotAfter(t int64, period time.Duration, shift uint64) int64 {
	count := max(1, s.Count)
	cycle := int64(period) * int64(count)
	phase := int64(period) * int64((uint64(s.Rank)+shift)%uint64(count))
	return phase + (floorDiv(t-phase, cycle)+1)*cycle
}

func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}

// nextSlot returns the start of the first slot of this VM that is neither used nor over at now; it may be before now. Used is the
// start of the last slot that was used.
func (s Senders) nextSlot(now, used int64, period time.Duration, shift uint64) int64 {
	return s.slotAfter(max(used, now-int64(max(carry, period))), period, shift)
}

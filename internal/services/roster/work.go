package roster

import (
	"math"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// Work is this VM's view of an upstream's load. It takes no lock.
type Work struct {
	Requests atomic.Int64  // in flight from this VM
	Pieces   atomic.Int64  // KV pieces in flight from this VM
	others   atomic.Int64  // pieces in flight from other VMs, by the last report
	reported atomic.Int64  // when, by the VM's clock in nanoseconds
	failures atomic.Int64  // consecutive
	openTill atomic.Int64  // circuit, by the VM's clock in nanoseconds
	limit    atomic.Uint64 // requests at once from this VM, float bits; zero means firstLimit
	bad      atomic.Uint64 // moving average of answers that missed the service level, float bits
	settled  atomic.Bool   // the limit has been lowered once
	lowered  atomic.Int64  // when, by the VM's clock in nanoseconds

	Reading       atomic.Int64     // prompt tokens sent from this VM and not read yet
	OtherRequests atomic.Int64     // in flight from other VMs, as they last told
	OtherReading  atomic.Int64     // prompt tokens of theirs that are not read yet
	faults        atomic.Uint64    // moving average of answers that failed, float bits
	speed         [2]atomic.Uint64 // prompt tokens read in a millisecond, in place and apart, as learnt, float bits
	trips         atomic.Int64     // in a row
}

const (
	loadMemory   = 3 * time.Second // a report older than this counts half
	circuitAfter = 5               // consecutive failures
	circuitOpen  = 2 * time.Second

	firstLimit  = 4.0
	leastLimit  = 1.0
	mostLimit   = 512.0
	lowerBy     = 0.8
	badWeight   = 1.0 / 16 // of the latest answer in the moving average
	badLimit    = 0.1      // average from which on the limit is lowered; the service level allows 0.05
	lowerPeriod = 250 * time.Millisecond
)

// Limit returns how many requests this VM may have at the upstream at once.
func (w *Work) Limit() float64 {
	if v := math.Float64frombits(w.limit.Load()); v > 0 {
		return v
	}
	return firstLimit
}

// Room reports whether the upstream may take another request from this VM.
func (w *Work) Room() bool { return float64(w.Requests.Load()) < w.Limit() }

// Running returns the requests in flight, as far as this VM knows.
func (w *Work) Running() int64 { return w.Requests.Load() + w.OtherRequests.Load() }

// Unread returns the prompt tokens that are not read yet, as far as this VM knows.
func (w *Work) Unread() id.Tokens { return id.Tokens(w.Reading.Load() + w.OtherReading.Load()) }

// Learn adapts the limit to whether an answer met the service level: additive increase, multiplicative decrease (Chiu
// and Jain 1989), doubling until the first decrease. A limit that is not in use does not grow.
func (w *Work) Learn(now time.Duration, good bool) {
	old := w.Limit()
	bad := math.Float64frombits(w.bad.Load()) * (1 - badWeight)
	if !good {
		bad += badWeight
	}
	w.bad.Store(math.Float64bits(bad))
	if good == (bad > badLimit) {
		return
	}
	if good {
		if float64(w.Requests.Load()) < old/2 {
			return
		}
		step := 1 / old
		if !w.settled.Load() {
			step = 1
		}
		w.limit.Store(math.Float64bits(min(mostLimit, old+step)))
		return
	}
	last := w.lowered.Load()
	if int64(now)-last < int64(lowerPeriod) || !w.lowered.CompareAndSwap(last, int64(now)) {
		return
	}
	w.settled.Store(true)
	w.limit.Store(math.Float64bits(max(leastLimit, old*lowerBy)))
}

// Report takes the upstream's own view: what it holds beyond this VM's work is other VMs' work.
func (w *Work) Report(now time.Duration, l engine.Load) {
	w.others.Store(max(0, l.Pieces-w.Pieces.Load()))
	w.reported.Store(int64(now))
}

// Load returns the estimated pieces in use at now: this VM's own and the aged rest.
func (w *Work) Load(now time.Duration) int64 {
	others := w.others.Load()
	if age := now - time.Duration(w.reported.Load()); age > loadMemory {
		others /= 2
	}
	return w.Pieces.Load() + others
}

// The constants of what is learnt from answers. FirstApart stands for the reading speed of an engine that is not known.
const (
	faultWeight  = 0.15 // of the latest answer in the part that failed
	FirstApart   = 50.0 // prompt tokens a millisecond, until the first answers
	firstInPlace = 25.0
	speedWeight  = 0.1 // of the latest answer in the speed
	leastSpeed   = 5.0 // below which a measurement says more about the way than about the engine
	mostSpeed    = 500.0
	leastTrip    = 250 * time.Millisecond
	mostTrip     = 4 * time.Second // twice the time in which an upstream announces itself again
)

// Judge counts an answer, failed or not, in the part that failed.
func (w *Work) Judge(failed bool) {
	v := math.Float64frombits(w.faults.Load()) * (1 - faultWeight)
	if failed {
		v += faultWeight
	} else {
		w.trips.Store(0)
	}
	w.faults.Store(math.Float64bits(v))
}

// Faults returns the part of the latest answers that failed.
func (w *Work) Faults() float64 { return math.Float64frombits(w.faults.Load()) }

// Speed returns how many prompt tokens the engine reads in a millisecond, apart or in place.
func (w *Work) Speed(apart bool) float64 {
	if v := math.Float64frombits(w.speedOf(apart).Load()); v > 0 {
		return v
	}
	if apart {
		return FirstApart
	}
	return firstInPlace
}

func (w *Work) speedOf(apart bool) *atomic.Uint64 {
	if apart {
		return &w.speed[1]
	}
	return &w.speed[0]
}

// Read learns from n prompt tokens that took d to read.
func (w *Work) Read(apart bool, n id.Tokens, d time.Duration) {
	ms := d.Seconds() * 1000
	if ms <= 0 {
		return
	}
	v := min(mostSpeed, max(leastSpeed, float64(n)/ms))
	w.speedOf(apart).Store(math.Float64bits(w.Speed(apart)*(1-speedWeight) + v*speedWeight))
}

// Trip opens the circuit at now after a connection failed: longer each time in a row.
func (w *Work) Trip(now time.Duration) {
	n := min(w.trips.Add(1)-1, 8)
	w.openTill.Store(int64(now + min(mostTrip, leastTrip<<n)))
}

// Open reports whether the circuit is open at now.
func (w *Work) Open(now time.Duration) bool { return int64(now) < w.openTill.Load() }

// Succeed closes the circuit.
func (w *Work) Succeed() { w.failures.Store(0) }

// Fail counts a failure and opens the circuit after several in a row.
func (w *Work) Fail(now time.Duration) {
	if w.failures.Add(1) >= circuitAfter {
		w.openTill.Store(int64(now + circuitOpen))
		w.failures.Store(0)
	}
}

package roster

import (
	"math"
	"sync/atomic"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// Stats holds this VM's measurements of an upstream: load, request limit, failures and prefill speed. It takes no lock.
type Stats struct {
	Requests            atomic.Int64 // in flight from this VM
	KVBlocks            atomic.Int64 // KV cache blocks in flight from this VM
	otherKVBlocks       atomic.Int64 // KV cache blocks in flight from other VMs, according to the upstream's last report
	reportedAt          atomic.Int64 // time of that report, in nanoseconds of the VM's clock
	consecutiveFailures atomic.Int64
	circuitOpenUntil    atomic.Int64  // in nanoseconds of the VM's clock
	limit               atomic.Uint64 // concurrent requests from this VM, as float bits; zero means initialLimit
	missRate            atomic.Uint64 // moving average of answers that missed the service level, as float bits
	everLowered         atomic.Bool   // the limit has been lowered at least once
	loweredAt           atomic.Int64  // time of the last decrease of the limit, in nanoseconds of the VM's clock

	PendingPrefill      atomic.Int64     // prompt tokens sent from this VM and not prefilled yet
	OtherRequests       atomic.Int64     // in flight from other VMs, according to their last reports
	OtherPendingPrefill atomic.Int64     // prompt tokens sent from other VMs and not prefilled yet
	ownOutcomes         outcomes         // of this VM's requests
	otherOutcomes       outcomes         // of other VMs' requests, according to their last reports
	prefillSpeed        [2]atomic.Uint64 // measured prefill speed in prompt tokens per millisecond, colocated and dedicated, as float bits
	consecutiveTrips    atomic.Int64     // calls of OpenCircuit since the last successful answer
	hold                atomic.Pointer[hold]
	leaving             atomic.Uint64 // incarnation that said in an answer that it leaves, plus one
}

// hold is the wish of one incarnation of an upstream to get nothing from this VM for some time.
type hold struct {
	incarnation uint64
	until       time.Duration
}

// maxHold bounds the time for which an upstream may be held.
const maxHold = time.Minute

// Hold keeps u from getting anything from this VM for d from now, or for as long as it is held already.
func (u *Upstream) Hold(now, d time.Duration) {
	next := &hold{incarnation: u.Incarnation, until: now + min(maxHold, d)}
	for {
		old := u.Stats.hold.Load()
		if old != nil && (old.incarnation > next.incarnation || old.incarnation == next.incarnation && old.until >= next.until) {
			return
		}
		if u.Stats.hold.CompareAndSwap(old, next) {
			return
		}
	}
}

// Leaves reports whether u said in an answer that it leaves.
func (u *Upstream) Leaves() bool { return u.Stats.leaving.Load() == u.Incarnation+1 }

// Held returns how long u is still held at now. Another incarnation is not held by its predecessor's word.
func (u *Upstream) Held(now time.Duration) time.Duration {
	h := u.Stats.hold.Load()
	if h == nil || h.incarnation != u.Incarnation {
		return 0
	}
	return max(0, h.until-now)
}

const (
	reportMaxAge        = 3 * time.Second // blocks from an older report count half
	circuitThreshold    = 5               // consecutive failures that open the circuit
	circuitOpenDuration = 2 * time.Second

	initialLimit        = 4.0
	minLimit            = 1.0
	maxLimit            = 512.0
	decreaseFactor      = 0.8
	missWeight          = 1.0 / 16 // weight of the latest answer in the moving average
	missThreshold       = 0.1      // the limit is lowered above this average; the service level allows 0.05
	minDecreaseInterval = 250 * time.Millisecond
)

// Limit returns the maximum number of concurrent requests from this VM to the upstream.
func (s *Stats) Limit() float64 {
	if v := math.Float64frombits(s.limit.Load()); v > 0 {
		return v
	}
	return initialLimit
}

// HasCapacity reports whether the limit allows another request from this VM.
func (s *Stats) HasCapacity() bool { return float64(s.Requests.Load()) < s.Limit() }

// Running returns the known requests in flight from all VMs.
func (s *Stats) Running() int64 { return s.Requests.Load() + s.OtherRequests.Load() }

// TokensToPrefill returns the known prompt tokens from all VMs that are not prefilled yet.
func (s *Stats) TokensToPrefill() id.Tokens {
	return id.Tokens(s.PendingPrefill.Load() + s.OtherPendingPrefill.Load())
}

// AdaptLimit adapts the limit to an answer that met (good) or missed the service level: additive increase, multiplicative
// decrease (Chiu and Jain 1989), with exponential growth until the first decrease. The limit does not grow while less
// than half of it is in use.
func (s *Stats) AdaptLimit(now time.Duration, good bool) {
	old := s.Limit()
	missRate := math.Float64frombits(s.missRate.Load()) * (1 - missWeight)
	if !good {
		missRate += missWeight
	}
	s.missRate.Store(math.Float64bits(missRate))
	if good == (missRate > missThreshold) { // the answer and the average disagree on the direction
		return
	}
	if good {
		if float64(s.Requests.Load()) < old/2 {
			return
		}
		step := 1 / old
		if !s.everLowered.Load() {
			step = 1
		}
		s.limit.Store(math.Float64bits(min(maxLimit, old+step)))
		return
	}
	last := s.loweredAt.Load()
	if int64(now)-last < int64(minDecreaseInterval) || !s.loweredAt.CompareAndSwap(last, int64(now)) {
		return
	}
	s.everLowered.Store(true)
	s.limit.Store(math.Float64bits(max(minLimit, old*decreaseFactor)))
}

// Report processes the load reported by the upstream. Blocks beyond those of this VM are attributed to other VMs.
func (s *Stats) Report(now time.Duration, l engine.Load) {
	s.otherKVBlocks.Store(max(0, l.KVBlocks-s.KVBlocks.Load()))
	s.reportedAt.Store(int64(now))
}

// Load returns the estimated KV cache blocks in use at now: those of this VM, and those of other VMs, halved if the
// report is older than reportMaxAge.
func (s *Stats) Load(now time.Duration) int64 {
	otherKVBlocks := s.otherKVBlocks.Load()
	if age := now - time.Duration(s.reportedAt.Load()); age > reportMaxAge {
		otherKVBlocks /= 2
	}
	return s.KVBlocks.Load() + otherKVBlocks
}

// Parameters of the prefill speed and the circuit breaker. DefaultDedicatedSpeed is the assumed
// prefill speed of a dedicated prefill engine that has not been measured.
const (
	DefaultDedicatedSpeed = 50.0 // prompt tokens per millisecond, until the first measurement
	defaultColocatedSpeed = 25.0
	speedWeight           = 0.1 // weight of the latest measurement in the speed
	minSpeed              = 5.0 // lower measurements reflect the network rather than the engine
	maxSpeed              = 500.0
	minTripDuration       = 250 * time.Millisecond // how long the first of several consecutive trips opens the circuit
	maxTripDuration       = 4 * time.Second        // twice the time an upstream takes to announce itself again
)

// PrefillSpeed returns the prefill speed in prompt tokens per millisecond, either of a dedicated prefill engine or of a
// colocated one, which also decodes.
func (s *Stats) PrefillSpeed(dedicated bool) float64 {
	if v := math.Float64frombits(s.prefillSpeedOf(dedicated).Load()); v > 0 {
		return v
	}
	if dedicated {
		return DefaultDedicatedSpeed
	}
	return defaultColocatedSpeed
}

func (s *Stats) prefillSpeedOf(dedicated bool) *atomic.Uint64 {
	if dedicated {
		return &s.prefillSpeed[1]
	}
	return &s.prefillSpeed[0]
}

// Read updates the prefill speed with a measurement: n prompt tokens prefilled in d.
func (s *Stats) Read(dedicated bool, n id.Tokens, d time.Duration) {
	ms := d.Seconds() * 1000
	if ms <= 0 {
		return
	}
	v := min(maxSpeed, max(minSpeed, float64(n)/ms))
	s.prefillSpeedOf(dedicated).Store(math.Float64bits(s.PrefillSpeed(dedicated)*(1-speedWeight) + v*speedWeight))
}

// OpenCircuit opens the circuit at now after a failed connection. The time doubles with each consecutive trip, up to
// maxTripDuration.
func (s *Stats) OpenCircuit(now time.Duration) {
	n := min(s.consecutiveTrips.Add(1)-1, 8)
	s.circuitOpenUntil.Store(int64(now + min(maxTripDuration, minTripDuration<<n)))
}

// CircuitOpen reports whether the circuit is open at now.
func (s *Stats) CircuitOpen(now time.Duration) bool { return int64(now) < s.circuitOpenUntil.Load() }

// RecordSuccess resets the count of consecutive failures.
func (s *Stats) RecordSuccess() { s.consecutiveFailures.Store(0) }

// RecordFailure counts a failure and opens the circuit after circuitThreshold consecutive failures.
func (s *Stats) RecordFailure(now time.Duration) {
	if s.consecutiveFailures.Add(1) >= circuitThreshold {
		s.circuitOpenUntil.Store(int64(now + circuitOpenDuration))
		s.consecutiveFailures.Store(0)
	}
}

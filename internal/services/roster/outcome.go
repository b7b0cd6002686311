package roster

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	outcomeHalfLife = 2 * time.Second // after which an answer counts half
	outcomePrior    = 4.0             // answers that are assumed to have succeeded, so that one failure alone says little
	minFailed       = 0.1             // failed answers from which outcomes are told to other VMs
)

// Outcomes counts answers of an upstream. An answer counts less the older it is, so that an upstream that failed is tried again.
type Outcomes struct {
	Failed  float64
	Answers float64 // failed ones included
	at      time.Duration
}

// decayed returns o with the weights of now.
func (o Outcomes) decayed(now time.Duration) Outcomes {
	if now <= o.at {
		return o
	}
	weight := math.Exp2(-float64(now-o.at) / float64(outcomeHalfLife))
	return Outcomes{Failed: o.Failed * weight, Answers: o.Answers * weight, at: now}
}

// plus returns the sum of o and x, of the same time.
func (o Outcomes) plus(x Outcomes) Outcomes {
	o.Failed += x.Failed
	o.Answers += x.Answers
	return o
}

// rate returns the share of answers that failed, from 0 to 1 also for counts that make no sense.
func (o Outcomes) rate() float64 {
	return min(1, max(0, o.Failed/max(outcomePrior, o.Answers+outcomePrior)))
}

// outcomes holds Outcomes for concurrent use. The zero value holds none.
type outcomes struct{ p atomic.Pointer[Outcomes] }

func (s *outcomes) at(now time.Duration) Outcomes {
	if o := s.p.Load(); o != nil {
		return o.decayed(now)
	}
	return Outcomes{at: now}
}

// add adds x at now.
func (s *outcomes) add(now time.Duration, x Outcomes) {
	for {
		old := s.p.Load()
		next := Outcomes{at: now}
		if old != nil {
			next = old.decayed(now)
		}
		next = next.plus(x)
		if s.p.CompareAndSwap(old, &next) {
			return
		}
	}
}

// RecordOutcome adds an answer at now. A success resets the consecutive trips.
func (s *Stats) RecordOutcome(now time.Duration, failed bool) {
	o := Outcomes{Answers: 1}
	if failed {
		o.Failed = 1
	} else {
		s.consecutiveTrips.Store(0)
	}
	s.ownOutcomes.add(now, o)
}

// FailureRate returns the share of recent answers that failed, from 0 to 1: of this VM's or of those of all VMs, whichever is larger, as an
// upstream may fail for some VMs only.
func (s *Stats) FailureRate(now time.Duration) float64 {
	own := s.ownOutcomes.at(now)
	return max(own.rate(), own.plus(s.otherOutcomes.at(now)).rate())
}

// Outcomes returns what this VM has to tell others about the upstream at now. Ok is false while nobody knows of failed answers.
func (s *Stats) Outcomes(now time.Duration) (o Outcomes, ok bool) {
	o = s.ownOutcomes.at(now)
	return o, o.Failed >= minFailed || s.otherOutcomes.at(now).Failed >= minFailed
}

// SetOtherOutcomes replaces what other VMs know of the upstream.
func (s *Stats) SetOtherOutcomes(now time.Duration, o Outcomes) {
	if o.Answers == 0 && s.otherOutcomes.p.Load() == nil {
		return
	}
	o.at = now
	s.otherOutcomes.p.Store(&o)
}

// Package burn measures service-level objectives and the burn rates of their error budgets over several windows
// (multi-window burn rates, Beyer et al., The Site Reliability Workbook, 2018, chapter 5).
package burn

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
)

// Objective names a service-level objective.
type Objective string

// Supported objectives.
const (
	Available  Objective = "available"  // answered without a system error
	FirstToken Objective = "firsttoken" // first token within FirstTokenLimit
	TokenGap   Objective = "tokengap"   // mean time between tokens within TokenGapLimit
)

// Limits and targets of the objectives, and the resolution of the measurements.
const (
	FirstTokenLimit = 640 * time.Millisecond
	TokenGapLimit   = 34 * time.Millisecond
	availableTarget = 0.999
	latencyTarget   = 0.95
	bucketLength    = 10 * time.Second
	bucketCount     = 6 * 60 * 6 // six hours
)

// Target returns the fraction of requests that must meet o.
func (o Objective) Target() float64 {
	if o == Available {
		return availableTarget
	}
	return latencyTarget
}

// Windows returns the time windows over which the burn rate is reported.
func Windows() []time.Duration {
	return []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

// bucket counts the requests of one time interval of bucketLength.
type bucket struct {
	slot      int64
	good, bad uint32
}

// series holds the counts of one objective for one customer and service.
type series struct {
	buckets [bucketCount]bucket
	causes  map[call.Code]uint64
}

// Key identifies a series.
type Key struct {
	Customer  id.Customer `json:"customer"`
	Service   id.Service  `json:"service"`
	Objective Objective   `json:"objective"`
}

// Meter counts the outcomes of requests. The zero value is empty.
type Meter struct {
	mu     sync.Mutex
	series map[Key]*series
}

// Record counts a request that ended at end; first is when its first token was sent, or zero if none was.
func (m *Meter) Record(c *call.Call, first, end time.Time, err error) {
	var r *call.Refusal
	code := call.Code("")
	if err != nil && errors.As(err, &r) {
		code = r.Code
		if r.Status < http.StatusInternalServerError && r.Code != call.OverRate {
			return // client error, which does not count against the objective
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if code == call.OverRate {
		return // not counted here: whether the request was within its rate is decided where the rates are known
	}
	m.count(c, Available, end, err == nil, code)
	if first.IsZero() {
		return
	}
	m.count(c, FirstToken, end, first.Sub(c.Start) <= FirstTokenLimit, "late_first_token")
	if n := c.Used.OutputTokens; err == nil && n > 1 {
		m.count(c, TokenGap, end, end.Sub(first)/time.Duration(n-1) <= TokenGapLimit, "slow_tokens")
	}
}

// count adds one request to a series, and its cause if it is bad.
func (m *Meter) count(c *call.Call, o Objective, at time.Time, good bool, cause call.Code) {
	if m.series == nil {
		m.series = map[Key]*series{}
	}
	k := Key{Customer: c.Customer, Service: c.Service.ID, Objective: o}
	s, ok := m.series[k]
	if !ok {
		s = &series{causes: map[call.Code]uint64{}}
		m.series[k] = s
	}
	slot := at.UnixNano() / int64(bucketLength)
	x := &s.buckets[slot%bucketCount]
	if x.slot != slot {
		*x = bucket{slot: slot}
	}
	if good {
		x.good++
		return
	}
	x.bad++
	s.causes[cause]++
}

// Span is the burn rate over one window.
type Span struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Burn   float64 `json:"burn"` // 1 uses up the error budget exactly at the end of the period
}

// SeriesReport reports one series.
type SeriesReport struct {
	Key
	Target float64              `json:"target"`
	Spans  []Span               `json:"spans"`
	Left   float64              `json:"left"` // fraction of the error budget left over the longest window
	Causes map[call.Code]uint64 `json:"causes,omitempty"`
	Recent []float64            `json:"recent"` // burn rate of each minute of the last hour, oldest first
}

// Report returns the burn rates of every series at now, the one with the least budget left first.
func (m *Meter) Report(now time.Time) []SeriesReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []SeriesReport{}
	for k, s := range m.series {
		l := SeriesReport{Key: k, Target: k.Objective.Target(), Causes: map[call.Code]uint64{}}
		for _, w := range Windows() {
			l.Spans = append(l.Spans, s.span(now, w, l.Target))
		}
		l.Left = 1 - l.Spans[len(l.Spans)-1].Burn
		for c, n := range s.causes {
			l.Causes[c] = n
		}
		for i := 59; i >= 0; i-- {
			l.Recent = append(l.Recent, s.span(now.Add(-time.Duration(i)*time.Minute), time.Minute, l.Target).Burn)
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Objective, b.Objective))
	})
	return list
}

// span returns the counts and the burn rate of the window of length w that ends at now.
func (s *series) span(now time.Time, w time.Duration, target float64) Span {
	last := now.UnixNano() / int64(bucketLength)
	n := int64(w / bucketLength)
	out := Span{Window: w.String()}
	for slot := last - n + 1; slot <= last; slot++ {
		if x := s.buckets[((slot%bucketCount)+bucketCount)%bucketCount]; x.slot == slot {
			out.Good += uint64(x.good)
			out.Bad += uint64(x.bad)
		}
	}
	if total := out.Good + out.Bad; total > 0 {
		out.Burn = float64(out.Bad) / float64(total) / (1 - target)
	}
	return out
}

package limit

import "time"

// Fractions of a span's total allowance that go into the bucket's rate and burst. The remainder covers requests that
// the upstream counts in a different span than this VM.
const (
	rateFraction  = 0.72
	burstFraction = 0.2
)

// Tolerance is how far a customer may exceed its rate and burst in any Span. The zero value allows no excess.
type Tolerance struct {
	Over  float64       // fraction of what rate and burst allow in Span
	Slack float64       // extra tokens per Span
	Span  time.Duration // if zero, only Slack is added, to the burst
}

// Apply returns limit extended by the tolerance. Over any Span it admits at most what limit and the tolerance allow.
func (t Tolerance) Apply(limit Quota) Quota {
	span := t.Span.Seconds()
	if span <= 0 {
		limit.Burst += t.Slack
		return limit
	}
	allowed := (1+t.Over)*(limit.Rate*span+limit.Burst) + t.Slack
	rate := max(limit.Rate, rateFraction*allowed/span)
	return Quota{Rate: rate, Burst: min(burstFraction*allowed, allowed-rate*span)}
}

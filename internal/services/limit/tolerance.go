package limit

import "time"

// The parts of what a customer may use in a span that its bucket is given: as a rate, and at once. The rest covers requests
// that count in another span at the upstream than here.
const (
	ratePart  = 0.72
	burstPart = 0.2
)

// Tolerance is how far a customer may get beyond its rate and burst in any Span. The zero value allows nothing.
type Tolerance struct {
	Over  float64       // part of what rate and burst allow in Span
	Slack float64       // tokens
	Span  time.Duration // zero counts the burst alone
}

// Apply returns the bucket that uses the tolerance: over any Span it admits at most what limit and the tolerance allow.
func (t Tolerance) Apply(limit Part) Part {
	span := t.Span.Seconds()
	if span <= 0 {
		limit.Burst += t.Slack
		return limit
	}
	allowed := (1+t.Over)*(limit.Rate*span+limit.Burst) + t.Slack
	rate := max(limit.Rate, ratePart*allowed/span)
	return Part{Rate: rate, Burst: min(burstPart*allowed, allowed-rate*span)}
}

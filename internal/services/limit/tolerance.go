package limit

import "time"

// tolerancePart is how much of a tolerance is handed out; the rest covers requests that are counted in another window at
// the upstream than here.
const tolerancePart = 0.7

// Tolerance is how far a customer may get beyond its rate and burst in any Span. The zero value allows nothing.
type Tolerance struct {
	Over  float64       // part of what rate and burst allow in Span
	Slack float64       // tokens
	Span  time.Duration // zero counts the burst alone
}

// Apply returns limit with the tolerance in its burst.
func (t Tolerance) Apply(limit Part) Part {
	allowed := limit.Rate*t.Span.Seconds() + limit.Burst
	limit.Burst += tolerancePart * (t.Over*allowed + t.Slack)
	return limit
}

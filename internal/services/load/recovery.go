package load

import "time"

// Recovery tells how a fleet came through a trouble.
type Recovery struct {
	Before float64       // share of the requests served before the trouble
	During float64       // the same while it lasted
	After  time.Duration // from its end until the share stays at recovered of Before; negative if it never does
}

const (
	recovered    = 0.9             // part of the share before that counts as recovered
	recoverySpan = time.Second     // requests that arrive within it are judged together
	warmUp       = 2 * time.Second // of a run, which does not count
)

// share is the number of requests that arrived in some time and how many of them were served.
type share struct{ served, sent int }

func (s share) ratio() float64 {
	if s.sent == 0 {
		return 1
	}
	return float64(s.served) / float64(s.sent)
}

// between counts the outcomes of requests that arrived from one time to another.
func between(opt *Options, list []Outcome, from, to time.Duration) (s share) {
	for i := range list {
		if o := &list[i]; o.At >= from && o.At < to {
			s.sent++
			if o.Good(opt) {
				s.served++
			}
		}
	}
	return s
}

// Recover judges a run of the given length with a trouble between two times. A request that met its objectives counts as served, at the
// time of its arrival.
func Recover(opt *Options, list []Outcome, begin, end, length time.Duration) Recovery {
	r := Recovery{
		Before: between(opt, list, min(warmUp, begin/2), begin).ratio(), During: between(opt, list, begin, end).ratio(), After: -1,
	}
	for at := end; at+recoverySpan <= length; at += recoverySpan {
		switch ok := between(opt, list, at, at+recoverySpan).ratio() >= recovered*r.Before; {
		case !ok:
			r.After = -1
		case r.After < 0:
			r.After = at - end
		}
	}
	return r
}

// AddRecovery adds the figures of a recovery to r.
func (r *Result) AddRecovery(x Recovery) {
	r.add("served_before", x.Before, "ratio")
	r.add("served_during", x.During, "ratio")
	r.add("recovered_after", x.After.Seconds(), "s")
}

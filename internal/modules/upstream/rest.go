package upstream

import "time"

const (
	minRest       = 20 * time.Millisecond  // a connection that rested less was reset for another reason
	restStrikes   = 2                      // resets of connections after a rest that show that an upstream forgets them
	commonStrikes = 4                      // the same of different upstreams, that show that all may forget them
	strikeGap     = 100 * time.Millisecond // between two of them; a crash resets many connections at once
	restRetention = 30 * time.Second       // after which longer rests are tried again
)

// restLimit learns for how long an upstream keeps idle connections that it forgets without notice. Times are of one clock. The zero value
// knows no limit.
type restLimit struct {
	strikes  int
	last     time.Duration // time of the latest strike
	shortest time.Duration // rest after which a connection was reset
}

// reset records that a kept connection was reset when it was used again after rest.
func (l *restLimit) reset(now, rest time.Duration) {
	if rest < minRest {
		return
	}
	if now-l.last > restRetention {
		*l = restLimit{}
	}
	if l.strikes > 0 && now-l.last < strikeGap {
		return
	}
	if l.strikes == 0 || rest < l.shortest {
		l.shortest = rest
	}
	l.strikes, l.last = l.strikes+1, now
}

// known reports whether something was learnt that still counts.
func (l *restLimit) known(now time.Duration) bool { return l.strikes > 0 && now-l.last < restRetention }

// limit returns the longest rest after which a connection may be used, zero for any, if at least the given number of resets show it.
func (l *restLimit) limit(now time.Duration, strikes int) time.Duration {
	if l.strikes < strikes || !l.known(now) {
		return 0
	}
	return max(minRest, l.shortest/2)
}

// commonRest is a restLimit for all upstreams, for VMs that send too little to one of them to learn of each. The zero value knows no
// limit.
type commonRest struct {
	restLimit
	address string // of the latest strike
}

// resetBy records that a connection to address was reset after rest.
func (l *commonRest) resetBy(now, rest time.Duration, address string) {
	if address != l.address {
		l.reset(now, rest)
		l.address = address
	}
}

// shorter returns the shorter of two limits, of which zero is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

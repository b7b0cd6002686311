package upstream

import "time"

const (
	minRest       = 20 * time.Millisecond  // a connection that rested less was reset for another reason
	restStrikes   = 2                      // resets of connections after a rest that show that an upstream forgets them
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

// limit returns the longest rest after which a connection may be used, zero for any.
func (l *restLimit) limit(now time.Duration) time.Duration {
	if l.strikes < restStrikes || !l.known(now) {
		return 0
	}
	return max(minRest, l.shortest/2)
}

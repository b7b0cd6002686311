package suspect

import (
	"cmp"
	"slices"
	"time"

	"wagtaillift/internal/modules/id"
)

// What the record of a part must show before requests with the part are refused. A part is shared by many requests, so this is more
// than for a single request. Upstreams that end together for another reason, each under some request with a frequent part, are noticed at
// nearly one moment; less so if they fall silent.
const (
	minPartRequests  = 2 // different requests; the crashes of one request are its own
	minPartRounds    = 3 // crashes one after the other
	minCrowdedRounds = 2 // the same if there are minMoments moments, because requests with the part come faster than upstreams end
	minMoments       = 4
	momentGap        = 200 * time.Millisecond // between the crashes of two moments
	silentGap        = 2 * time.Second        // the same if silence alone shows a crash
	seriesFactor     = 2                      // the crashes of a series are apart by so many times the spread of their delays
)

const (
	firstPartHold  = time.Minute // for which a part is refused at first
	partHoldFactor = 4           // growth of this time with each further crash
)

// guiltyPart reports whether the crashes of a part are no coincidence.
func (r Record) guiltyPart() bool {
	if len(r) < min(minPartRounds, minMoments) || r.requests() < minPartRequests {
		return false
	}
	rounds := max(r.rounds(), r.moments(silentGap))
	switch {
	case rounds >= minPartRounds, rounds >= minCrowdedRounds && r.moments(momentGap) >= minMoments:
		return true
	}
	return r.moments(max(momentGap, seriesFactor*r.delaySpread())) >= minPartRounds
}

// delaySpread returns by how much the times from the begin of a run to the notice of its crash differ. Crashes that a part causes follow
// their begin at about the same delay, however late they are noticed. Upstreams that end together for another reason do so at any age of
// their runs, and are noticed in another order than the runs began.
func (r Record) delaySpread() time.Duration {
	shortest, longest := r[0].delay(), r[0].delay()
	for _, c := range r[1:] {
		shortest, longest = min(shortest, c.delay()), max(longest, c.delay())
	}
	return longest - shortest
}

func (c Crash) delay() time.Duration { return c.At.Sub(c.Began) }

// moments returns the number of crashes that were noticed at least gap apart.
func (r Record) moments(gap time.Duration) (n int) {
	var last Millis
	for _, c := range r {
		if n == 0 || c.At.Sub(last) >= gap {
			n, last = n+1, c.At
		}
	}
	return n
}

// requests returns the number of different requests in the record of a part.
func (r Record) requests() int {
	var seen []Fingerprint
	for _, c := range r {
		if c.Request != 0 && !slices.Contains(seen, c.Request) {
			seen = append(seen, c.Request)
		}
	}
	return len(seen)
}

// PartHold returns for how long after the last crash requests with the part of r are refused, at most the given time. Zero does not
// refuse them. It grows with each further crash, so that a part that is refused by mistake comes back soon.
func (r Record) PartHold(longest time.Duration) time.Duration {
	if !r.guiltyPart() {
		return 0
	}
	d := firstPartHold
	for range len(r) - minPartRounds {
		d = min(longest, partHoldFactor*d)
	}
	return min(longest, d)
}

// Last returns the time of the last crash of r, which must not be empty.
func (r Record) Last() Millis { return r[len(r)-1].At }

// incarnation is one run of an upstream's process.
type incarnation struct {
	upstream id.Upstream
	number   uint64
}

func (c Crash) incarnation() incarnation { return incarnation{c.Upstream, c.Incarnation} }

// Culprits are the parts of prompts that crash upstreams. It is immutable; the zero value has none.
type Culprits struct {
	parts    map[Fingerprint]Record
	explains map[incarnation]bool // crashes of which a culprit is the cause
	doubtful []candidate          // parts that may be the cause of further crashes
}

// Part returns the crashes of which a part is the cause.
func (c Culprits) Part(p Fingerprint) Record { return c.parts[p] }

// Len returns the number of parts.
func (c Culprits) Len() int { return len(c.parts) }

// Unexplained returns the crashes of r that no culprit explains.
func (c Culprits) Unexplained(r Record) Record {
	if len(c.explains) == 0 || !slices.ContainsFunc(r, func(x Crash) bool { return c.explains[x.incarnation()] }) {
		return r
	}
	return slices.DeleteFunc(slices.Clone(r), func(x Crash) bool { return c.explains[x.incarnation()] })
}

// Doubtful reports whether the crashes of r, the record of a request, may as well be those of a part that the request does not hold. That is
// not so any more once they come one after the other as often as for a part.
func (c Culprits) Doubtful(r Record, own []Fingerprint) bool {
	if r.rounds() >= minPartRounds {
		return false
	}
	return slices.ContainsFunc(c.doubtful, func(n candidate) bool {
		return !slices.Contains(own, n.part) && n.crashes.covers(r)
	})
}

// covers reports whether each crash of o is in r.
func (r Record) covers(o Record) bool {
	return !slices.ContainsFunc(o, func(x Crash) bool { return !slices.ContainsFunc(r, x.same) })
}

// Culprits finds the parts that explain the crashes in t. The part with the most crashes is taken first and explains all of its
// crashes; each other one is judged by what is left for it, so that parts which were beside a culprit are not blamed (after the greedy
// algorithm for set covers, with the order of the first step for all steps).
func (t Table) Culprits() Culprits {
	var found Culprits
	for _, n := range t.doubtfulParts() {
		switch left := found.Unexplained(n.crashes); {
		case left.guiltyPart():
			found = found.with(n.part, left)
		case len(left) >= minRounds:
			found.doubtful = append(found.doubtful, candidate{n.part, left})
		}
	}
	return found
}

// candidate is a part whose crashes may be no coincidence.
type candidate struct {
	part    Fingerprint
	crashes Record
}

// compare orders candidates: more crashes first; of equal ones the part that is later in the prompt, which fewer requests share.
func (a candidate) compare(b candidate) int {
	x, y := a.crashes[len(a.crashes)-1], b.crashes[len(b.crashes)-1]
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(y.Position, x.Position), cmp.Compare(a.part, b.part))
}

// doubtfulParts returns the parts with several crashes, in the order of candidates.
func (t Table) doubtfulParts() (list []candidate) {
	for p, r := range t {
		if len(r) >= minRounds && r.requests() > 0 {
			list = append(list, candidate{p, r})
		}
	}
	slices.SortFunc(list, candidate.compare)
	return list
}

// with returns c with one more part and the crashes of which it is the cause.
func (c Culprits) with(part Fingerprint, crashes Record) Culprits {
	if c.parts == nil {
		c.parts, c.explains = map[Fingerprint]Record{}, map[incarnation]bool{}
	}
	c.parts[part] = crashes
	for _, x := range crashes {
		c.explains[x.incarnation()] = true
	}
	return c
}

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
)

const (
	firstPartHold  = time.Minute // for which a part is refused at first
	partHoldFactor = 4           // growth of this time with each further crash
)

// guiltyPart reports whether the crashes of a part are no coincidence.
func (r Record) guiltyPart() bool {
	if r.requests() < minPartRequests {
		return false
	}
	rounds := max(r.rounds(), r.moments(silentGap))
	return rounds >= minPartRounds || rounds >= minCrowdedRounds && r.moments(momentGap) >= minMoments
}

// moments returns the number of crashes that are at least gap apart.
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

// Culprits finds the parts that explain the crashes in t. The part with the most crashes is taken first and explains all of its
// crashes; the others are judged by what is left, so that requests which ran beside a culprit are not blamed (greedy set cover).
func (t Table) Culprits() Culprits {
	var found Culprits
	left := t.guiltyParts()
	for len(left) > 0 {
		slices.SortFunc(left, candidate.compare)
		first := left[0]
		found = found.with(first)
		left = found.unexplained(left[1:])
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

func (t Table) guiltyParts() (list []candidate) {
	for p, r := range t {
		if r.guiltyPart() {
			list = append(list, candidate{p, r})
		}
	}
	return list
}

// with returns the culprits with one more.
func (c Culprits) with(n candidate) Culprits {
	if c.parts == nil {
		c = Culprits{parts: map[Fingerprint]Record{}, explains: map[incarnation]bool{}}
	}
	c.parts[n.part] = n.crashes
	for _, x := range n.crashes {
		c.explains[x.incarnation()] = true
	}
	return c
}

// unexplained returns the candidates that are still guilty of what c does not explain.
func (c Culprits) unexplained(list []candidate) (left []candidate) {
	for _, n := range list {
		if n.crashes = c.Unexplained(n.crashes); n.crashes.guiltyPart() {
			left = append(left, n)
		}
	}
	return left
}

// Package route chooses the upstream of a request: a pure decision over one snapshot.
package route

import (
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/services/roster"
)

// Rule names what decided a choice.
type Rule string

// The rules of a choice.
const (
	Prefix    Rule = "prefix"    // the prompt's place in the hash order, under the load bound
	LeastLoad Rule = "leastload" // every place in the hash order was over the bound
	None      Rule = "none"      // nothing is eligible
	Full      Rule = "full"      // every eligible engine lacks room
)

// Query is what a request needs.
type Query struct {
	Prefix     uint64  // hash of the prompt's leading blocks; zero has no preference
	Pieces     int64   // KV pieces needed
	Bound      float64 // load bound, as a multiple of the mean
	Backlog    float64 // most load that may be queued, as a multiple of an engine's memory
	PreferRole engine.Role
	Begun      bool    // part of the answer is delivered: it goes on even where the service level is lost
	Cheap      float64 // part of the work aimed at cheap upstreams; decides with Draw
	Draw       float64 // uniform in [0, 1)
	Avoid      func(*roster.Upstream) bool
	Retry      func(*roster.Upstream) bool // takes Avoid's place where nothing else is left
}

// Choice is the decision with its inputs, for explaining it.
type Choice struct {
	Upstream *roster.Upstream
	Rule     Rule
	Load     float64 // of the chosen upstream, in parts of its memory
	Mean     float64
	Eligible int
}

// scan is what one pass over the candidates finds.
type scan struct {
	eligible int
	load     int64
	size     int64
}

// eligible reports whether u may take a request of q at now.
func eligible(now time.Duration, u *roster.Upstream, q *Query) bool {
	if u.Work.Open(now) || u.Role == engine.Prefill && q.PreferRole != engine.Prefill {
		return false
	}
	return q.Avoid == nil || !q.Avoid(u)
}

// Pick chooses among list. It first tries the class, cheap or not, that q's draw falls into, then all.
//
// Inside a class it follows rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam 2018): the highest-ranked engine whose load is below the bound.
func Pick(now time.Duration, list []*roster.Upstream, q *Query) Choice {
	wantCheap := q.Draw < q.Cheap
	if c := pickClass(now, list, q, func(u *roster.Upstream) bool { return u.Cheap == wantCheap }); c.Upstream != nil {
		return c
	}
	return pickClass(now, list, q, func(*roster.Upstream) bool { return true })
}

func pickClass(now time.Duration, list []*roster.Upstream, q *Query, in func(*roster.Upstream) bool) Choice {
	s := measure(now, list, q, in)
	if s.eligible == 0 {
		return Choice{Rule: None}
	}
	mean := ratio(s.load+q.Pieces, s.size)
	var ranked, least *roster.Upstream
	var top uint64
	lowest := 0.0
	for _, u := range list {
		if !in(u) || !eligible(now, u, q) {
			continue
		}
		size := memory(u)
		load := ratio(u.Work.Load(now)+q.Pieces, size)
		if !q.Begun && (load > 1+q.Backlog || u.Model != "" && !u.Work.Room()) {
			continue
		}
		if least == nil || load < lowest {
			least, lowest = u, load
		}
		if q.Prefix == 0 || load > q.Bound*mean {
			continue
		}
		if rank := hash.Pair(u.Hash, q.Prefix); ranked == nil || rank > top {
			ranked, top = u, rank
		}
	}
	c := Choice{Mean: mean, Eligible: s.eligible}
	switch {
	case ranked != nil:
		c.Upstream, c.Rule = ranked, Prefix
	case least != nil:
		c.Upstream, c.Rule = least, LeastLoad
	default:
		c.Rule = Full
		return c
	}
	c.Load = ratio(c.Upstream.Work.Load(now)+q.Pieces, memory(c.Upstream))
	return c
}

func measure(now time.Duration, list []*roster.Upstream, q *Query, in func(*roster.Upstream) bool) scan {
	var s scan
	for _, u := range list {
		if !in(u) || !eligible(now, u, q) {
			continue
		}
		s.eligible++
		s.load += u.Work.Load(now)
		s.size += memory(u)
	}
	return s
}

// plainSlots is the room assumed for an application, which reports no memory.
const plainSlots = 64

func memory(u *roster.Upstream) int64 {
	if u.Pieces > 0 {
		return u.Pieces
	}
	return plainSlots
}

func ratio(a, b int64) float64 { return float64(a) / float64(max(b, 1)) }

// Naive chooses the upstream with the fewest requests in flight. It is the baseline of the differential tests.
func Naive(now time.Duration, list []*roster.Upstream, q *Query) Choice {
	var best *roster.Upstream
	n := 0
	for _, u := range list {
		if !eligible(now, u, q) {
			continue
		}
		n++
		if best == nil || u.Work.Requests.Load() < best.Work.Requests.Load() {
			best = u
		}
	}
	if best == nil {
		return Choice{Rule: None}
	}
	return Choice{Upstream: best, Rule: LeastLoad, Eligible: n}
}

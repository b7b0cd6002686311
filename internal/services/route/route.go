// Package route selects the upstream of a request from one snapshot of the upstreams, without side effects.
package route

import (
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/services/roster"
)

// Rule is the reason for a choice.
type Rule string

// The rules of a choice.
const (
	Prefix    Rule = "prefix"    // first in the hash order of the prompt's prefix among the engines below the load bound
	LeastLoad Rule = "leastload" // the request has no prefix, or every engine is above the load bound
	None      Rule = "none"      // no upstream is eligible
	Full      Rule = "full"      // every eligible engine is at capacity
)

// Query describes the needs of a request.
type Query struct {
	Prefix          uint64                      // hash of the prompt's leading blocks; zero means no preference
	KVBlocks        int64                       // KV cache blocks needed
	LoadBound       float64                     // load bound, as a multiple of the mean load
	MaxBacklog      float64                     // maximum queued load, as a multiple of an engine's capacity
	PreferRole      engine.Role                 // engine.Prefill admits prefill-only engines, which are excluded otherwise
	AnswerBegun     bool                        // the request is retried and part of its answer may be delivered: capacity limits do not apply, even if the service level is missed
	Cheap           float64                     // share of the work sent to cheap upstreams; compared with Draw
	Draw            float64                     // random number, uniform in [0, 1)
	Exclude         func(*roster.Upstream) bool // excludes upstreams
	FallbackExclude func(*roster.Upstream) bool // replaces Exclude if no other upstream is left
}

// Choice is the selected upstream with the figures that explain it.
type Choice struct {
	Upstream *roster.Upstream
	Rule     Rule
	Load     float64 // of the chosen upstream with this request, as a fraction of its capacity
	MeanLoad float64 // mean load of the eligible upstreams of the class, as a fraction of capacity
	Eligible int
}

// candidateStats sums up the eligible upstreams of a class.
type candidateStats struct {
	eligible int
	load     int64 // sum of the loads, in KV cache blocks
	size     int64 // sum of the capacities, in KV cache blocks
}

// eligible reports whether u may take a request at now.
func eligible(now time.Duration, u *roster.Upstream, q *Query) bool {
	if u.Stats.CircuitOpen(now) || u.Role == engine.Prefill && q.PreferRole != engine.Prefill {
		return false
	}
	return q.Exclude == nil || !q.Exclude(u)
}

// Pick selects an upstream from list. It first tries the class (cheap or regular) given by q.Draw, then all upstreams.
//
// Within a class it uses rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam 2018): the highest-ranked engine whose load is below the bound.
func Pick(now time.Duration, list []*roster.Upstream, q *Query) Choice {
	wantCheap := q.Draw < q.Cheap
	if c := pickClass(now, list, q, func(u *roster.Upstream) bool { return u.Cheap == wantCheap }); c.Upstream != nil {
		return c
	}
	return pickClass(now, list, q, func(*roster.Upstream) bool { return true })
}

func pickClass(now time.Duration, list []*roster.Upstream, q *Query, inClass func(*roster.Upstream) bool) Choice {
	s := sumCandidates(now, list, q, inClass)
	if s.eligible == 0 {
		return Choice{Rule: None}
	}
	mean := ratio(s.load+q.KVBlocks, s.size)
	var ranked, least *roster.Upstream
	var top uint64
	lowest := 0.0
	for _, u := range list {
		if !inClass(u) || !eligible(now, u, q) {
			continue
		}
		size := capacity(u)
		load := ratio(u.Stats.Load(now)+q.KVBlocks, size)
		if !q.AnswerBegun && (load > 1+q.MaxBacklog || u.Model != "" && !u.Stats.HasCapacity()) {
			continue
		}
		if least == nil || load < lowest {
			least, lowest = u, load
		}
		if q.Prefix == 0 || load > q.LoadBound*mean {
			continue
		}
		if rank := hash.Combine(u.Hash, q.Prefix); ranked == nil || rank > top {
			ranked, top = u, rank
		}
	}
	c := Choice{MeanLoad: mean, Eligible: s.eligible}
	switch {
	case ranked != nil:
		c.Upstream, c.Rule = ranked, Prefix
	case least != nil:
		c.Upstream, c.Rule = least, LeastLoad
	default:
		c.Rule = Full
		return c
	}
	c.Load = ratio(c.Upstream.Stats.Load(now)+q.KVBlocks, capacity(c.Upstream))
	return c
}

func sumCandidates(now time.Duration, list []*roster.Upstream, q *Query, inClass func(*roster.Upstream) bool) candidateStats {
	var s candidateStats
	for _, u := range list {
		if !inClass(u) || !eligible(now, u, q) {
			continue
		}
		s.eligible++
		s.load += u.Stats.Load(now)
		s.size += capacity(u)
	}
	return s
}

// defaultCapacity is the capacity assumed for plain services, which report none. A plain call counts as one block.
const defaultCapacity = 64

func capacity(u *roster.Upstream) int64 {
	if u.KVBlocks > 0 {
		return u.KVBlocks
	}
	return defaultCapacity
}

func ratio(a, b int64) float64 { return float64(a) / float64(max(b, 1)) }

// PickFewestRequests selects the upstream with the fewest requests in flight. It is the baseline of the differential tests.
func PickFewestRequests(now time.Duration, list []*roster.Upstream, q *Query) Choice {
	var best *roster.Upstream
	n := 0
	for _, u := range list {
		if !eligible(now, u, q) {
			continue
		}
		n++
		if best == nil || u.Stats.Requests.Load() < best.Stats.Requests.Load() {
			best = u
		}
	}
	if best == nil {
		return Choice{Rule: None}
	}
	return Choice{Upstream: best, Rule: LeastLoad, Eligible: n}
}

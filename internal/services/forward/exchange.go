package forward

import (
	"sync/atomic"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/loadsync"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/roster"
)

// Loads implements loadsync.Work.
func (f *Forwarder) Loads() []loadsync.Load {
	var list []loadsync.Load
	now := clock.SinceBoot()
	for _, u := range f.Roster.Snapshot().All {
		l := loadsync.Load{Upstream: u.Name, Requests: u.Stats.Requests.Load(), PendingPrefill: u.Stats.PendingPrefill.Load()}
		o, failing := u.Stats.Outcomes(now)
		if failing {
			l.SetOutcomes(o.Failed, o.Answers)
		}
		if l.Requests > 0 || l.Answers > 0 {
			list = append(list, l)
		}
	}
	return list
}

// Placed implements loadsync.Work.
func (f *Forwarder) Placed() []loadsync.Placed {
	f.caches.mu.Lock()
	defer f.caches.mu.Unlock()
	list := f.caches.newPlacements
	f.caches.newPlacements = nil
	return list
}

// Limits implements loadsync.Work.
func (f *Forwarder) Limits() []pace.Limit { return f.Pace.Limits(clock.SinceBoot()) }

// MergeLimits implements loadsync.Work.
func (f *Forwarder) MergeLimits(list []pace.Limit) { f.Pace.Merge(list) }

// RequestedTokens implements loadsync.Work.
func (f *Forwarder) RequestedTokens() []loadsync.RequestedTokens {
	var list []loadsync.RequestedTokens
	f.requestedTokens.Each(func(s id.Service, v *atomic.Int64) {
		if n := v.Swap(0); n > 0 {
			list = append(list, loadsync.RequestedTokens{Service: s, Tokens: n})
		}
	})
	return list
}

// addRequestedTokens counts prompt tokens as demand on the engines, used for planning their roles. Only the last part of
// a prompt counts: shared parts are rarely processed in steady state but often right after a change of roles, and must
// not trigger the next change.
func (f *Forwarder) addRequestedTokens(s id.Service, n id.Tokens) {
	f.requestedTokens.Get(s).Add(int64(n))
}

// SetOtherLoads implements loadsync.Work.
func (f *Forwarder) SetOtherLoads(loads []loadsync.Load) {
	byName := make(map[id.Upstream]loadsync.Load, len(loads))
	for _, l := range loads {
		byName[l.Upstream] = l
	}
	now := clock.SinceBoot()
	for _, u := range f.Roster.Snapshot().All {
		l := byName[u.Name]
		failed, answers := l.Outcomes()
		u.Stats.SetOtherOutcomes(now, roster.Outcomes{Failed: failed, Answers: answers})
		u.Stats.OtherRequests.Store(l.Requests)
		u.Stats.OtherPendingPrefill.Store(l.PendingPrefill)
	}
}

// AddPlacements implements loadsync.Work.
func (f *Forwarder) AddPlacements(list []loadsync.Placed) {
	byName := map[id.Upstream]*roster.Upstream{}
	for _, u := range f.Roster.Snapshot().All {
		byName[u.Name] = u
	}
	cfg := f.Config()
	f.caches.mu.Lock()
	defer f.caches.mu.Unlock()
	for _, p := range list {
		u, ok := byName[p.Upstream]
		if !ok {
			continue
		}
		s := cfg.Services[u.Service]
		if s.Engine == nil {
			continue
		}
		f.caches.engine(u.Name, u.Incarnation).Add([]place.Part{{Chain: p.Chain, Tokens: p.Tokens}}, id.Tokens(cacheMemoryRatio*float64(s.Engine.KVCapacityTokens)))
	}
}

// RemoveStale removes the state of engines that left the roster.
func (f *Forwarder) RemoveStale() {
	want := map[id.Upstream]bool{}
	for _, u := range f.Roster.Snapshot().All {
		want[u.Name] = true
	}
	f.caches.retain(want)
	f.Pace.Retain(want)
}

package forward

import (
	"sync/atomic"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/tally"
)

// Loads implements tally.Work.
func (f *Forwarder) Loads() []tally.Load {
	var list []tally.Load
	for _, u := range f.Roster.Snapshot().All {
		l := tally.Load{Upstream: u.Name, Requests: u.Work.Requests.Load(), Reading: u.Work.Reading.Load()}
		if l.Requests > 0 {
			list = append(list, l)
		}
	}
	return list
}

// Placed implements tally.Work.
func (f *Forwarder) Placed() []tally.Placed {
	f.known.mu.Lock()
	defer f.known.mu.Unlock()
	list := f.known.placed
	f.known.placed = nil
	return list
}

// Asked implements tally.Work.
func (f *Forwarder) Asked() []tally.Asked {
	var list []tally.Asked
	f.asked.Each(func(s id.Service, v *atomic.Int64) {
		if n := v.Swap(0); n > 0 {
			list = append(list, tally.Asked{Service: s, Tokens: n})
		}
	})
	return list
}

// ask counts prompt tokens that a call asks to have read: those of its own last part. Shared parts are read seldom at
// rest, and often just after a change of roles, which must not bring about the next one.
func (f *Forwarder) ask(s id.Service, n id.Tokens) {
	f.asked.Get(s).Add(int64(n))
}

// SetOthers implements tally.Work.
func (f *Forwarder) SetOthers(loads []tally.Load) {
	by := make(map[id.Upstream]tally.Load, len(loads))
	for _, l := range loads {
		by[l.Upstream] = l
	}
	for _, u := range f.Roster.Snapshot().All {
		l := by[u.Name]
		u.Work.OtherRequests.Store(l.Requests)
		u.Work.OtherReading.Store(l.Reading)
	}
}

// Learn implements tally.Work.
func (f *Forwarder) Learn(list []tally.Placed) {
	by := map[id.Upstream]*roster.Upstream{}
	for _, u := range f.Roster.Snapshot().All {
		by[u.Name] = u
	}
	cfg := f.Config()
	f.known.mu.Lock()
	defer f.known.mu.Unlock()
	for _, p := range list {
		u, ok := by[p.Upstream]
		if !ok {
			continue
		}
		s := cfg.Services[u.Service]
		if s.Engine == nil {
			continue
		}
		f.known.of(u.Name, u.Incarnation).Keep([]place.Part{{Chain: p.Chain, Tokens: p.Tokens}}, id.Tokens(memoryPart*float64(s.Engine.Memory)))
	}
}

// Tidy forgets the engines that are gone.
func (f *Forwarder) Tidy() {
	want := map[id.Upstream]bool{}
	for _, u := range f.Roster.Snapshot().All {
		want[u.Name] = true
	}
	f.known.forget(want)
}

package pace

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/rcu"
	"wagtaillift/internal/services/roster"
)

// shareTime is how long other VMs are told that an upstream names no limit any more.
const shareTime = 10 * time.Second

// Table holds the limits that upstreams have named, and the slots that this VM has used. The zero value has no limits
// and is for a single VM. It is safe for concurrent use; reading takes no lock.
type Table struct {
	FleetTime func(now time.Duration) time.Time // the same on all VMs; nil takes now as the time since the Unix epoch
	Senders   func() Senders

	entries rcu.Value[map[id.Upstream]*entry]
}

// entry is the limit of an upstream.
type entry struct {
	Limit
	used *atomic.Int64 // start of the last slot that this VM used, in nanoseconds since the Unix epoch
}

// fleetTime returns the fleet's time at now.
func (t *Table) fleetTime(now time.Duration) time.Time {
	if t.FleetTime == nil {
		return time.Unix(0, int64(now))
	}
	return t.FleetTime(now)
}

func (t *Table) millis(now time.Duration) int64 { return t.fleetTime(now).UnixMilli() }

// Observe records the rate in an answer of u to a request that was sent at sentAt; zero if the answer names none. Such an answer ends an
// earlier limit only if its request was sent after the limit was named: answers may arrive in another order than they were made.
func (t *Table) Observe(now time.Duration, u *roster.Upstream, rate Rate, sentAt time.Duration) {
	old, known := t.entries.Load()[u.Name]
	known = known && old.Incarnation == u.Incarnation && old.Rate > 0
	if rate == Unreadable || rate == 0 && (!known || t.millis(sentAt) < old.At) {
		return
	}
	t.Merge([]Limit{{Upstream: u.Name, Incarnation: u.Incarnation, Rate: rate, At: t.millis(now)}})
}

// Merge adds the limits that are newer than those in t.
func (t *Table) Merge(list []Limit) {
	newer := func(entries map[id.Upstream]*entry, l Limit) bool {
		old, ok := entries[l.Upstream]
		return !ok || l.Newer(old.Limit)
	}
	changed := false
	for _, l := range list {
		changed = changed || newer(t.entries.Load(), l)
	}
	if !changed {
		return
	}
	t.entries.Update(func(entries map[id.Upstream]*entry) map[id.Upstream]*entry {
		next := maps.Clone(entries)
		if next == nil {
			next = map[id.Upstream]*entry{}
		}
		for _, l := range list {
			if newer(next, l) {
				next[l.Upstream] = next[l.Upstream].replace(l)
			}
		}
		return next
	})
}

// replace returns the entry for l in place of e, which may be nil, and logs a changed rate.
func (e *entry) replace(l Limit) *entry {
	n := &entry{Limit: l, used: &atomic.Int64{}}
	rate := Rate(0)
	if e != nil {
		n.used, rate = e.used, e.Rate
	}
	if l.Rate != rate {
		metrics.GetOrCreateCounter(`wagtaillift_named_limits_total`).Inc()
		klog.InfoS("Upstream named another limit", "upstream", l.Upstream, "incarnation", l.Incarnation, "rate", l.Rate, "before", rate, "at", l.At)
	}
	return n
}

// Limits returns the limits in force, and those that ended a short time ago.
func (t *Table) Limits(now time.Duration) (list []Limit) {
	entries := t.entries.Load()
	if len(entries) == 0 {
		return nil
	}
	at := t.millis(now)
	for _, e := range entries {
		if e.Rate > 0 || at-e.At < shareTime.Milliseconds() {
			list = append(list, e.Limit)
		}
	}
	return list
}

// Retain removes the limits of upstreams that are not in want.
func (t *Table) Retain(want map[id.Upstream]bool) {
	if len(t.entries.Load()) == 0 {
		return
	}
	t.entries.Update(func(entries map[id.Upstream]*entry) map[id.Upstream]*entry {
		next := maps.Clone(entries)
		maps.DeleteFunc(next, func(n id.Upstream, _ *entry) bool { return !want[n] })
		return next
	})
}

// Wait returns how long it takes until this VM may send a request to u; zero if it may now.
func (t *Table) Wait(now time.Duration, u *roster.Upstream) time.Duration {
	e := t.limitOf(u)
	if e == nil {
		return 0
	}
	at := t.fleetTime(now).UnixNano()
	return max(0, time.Duration(t.nextSlot(e, at, e.used.Load())-at))
}

// Take uses a slot for a request to u. It returns false if this VM has none now.
func (t *Table) Take(now time.Duration, u *roster.Upstream) bool {
	e := t.limitOf(u)
	if e == nil {
		return true
	}
	at := t.fleetTime(now).UnixNano()
	for {
		used := e.used.Load()
		slot := t.nextSlot(e, at, used)
		if slot > at {
			return false
		}
		if e.used.CompareAndSwap(used, slot) {
			return true
		}
	}
}

func (t *Table) nextSlot(e *entry, at, used int64) int64 {
	var s Senders
	if t.Senders != nil {
		s = t.Senders()
	}
	return s.nextSlot(at, used, e.period(), hash.String(e.Upstream))
}

// limitOf returns the limit that u names, or nil if it names none.
func (t *Table) limitOf(u *roster.Upstream) *entry {
	e, ok := t.entries.Load()[u.Name]
	if !ok || e.Rate <= 0 || e.Incarnation != u.Incarnation {
		return nil
	}
	return e
}

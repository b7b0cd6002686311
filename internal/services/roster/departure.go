package roster

import (
	"cmp"
	"math"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// MarkLeaving records that incarnation inc of the upstream n accepts no new requests from now on; if inc is zero, the latest known
// incarnation. If none is known either, it covers every incarnation up to latest, whose announcements may still be in transit.
func (r *Roster) MarkLeaving(now time.Duration, n id.Upstream, inc, latest uint64) error {
	if !customer.ValidID(string(n)) {
		return errors.NotValidf("upstream name %q", n)
	}
	r.mu.Lock()
	a, known := r.latestKnown(n, inc)
	if !known {
		a = engine.Announcement{Name: n, Incarnation: cmp.Or(inc, latest)}
	}
	if e, ok := r.ownList.list[n]; ok && e.announcement.Incarnation > a.Incarnation {
		r.mu.Unlock()
		klog.InfoS("Departure of an earlier incarnation", "upstream", n, "incarnation", a.Incarnation, "present", e.announcement.Incarnation)
		return nil
	}
	a.State, a.Sequence = engine.Leaving, math.MaxUint64
	r.ownList.set(now, a)
	r.update(now)
	klog.InfoS("Upstream marked as leaving", "upstream", n, "address", a.Address, "incarnation", a.Incarnation)
	r.mu.Unlock()
	r.changed()
	return nil
}

// latestKnown returns the announcement of the latest incarnation of n in any list, or of incarnation inc unless that is zero.
// r.mu must be held.
func (r *Roster) latestKnown(n id.Upstream, inc uint64) (a engine.Announcement, known bool) {
	look := func(p *peerList) {
		e, ok := p.list[n]
		if !ok || inc > 0 && e.announcement.Incarnation != inc || known && e.announcement.Incarnation <= a.Incarnation {
			return
		}
		a, known = e.announcement, true
	}
	look(&r.ownList.peerList)
	for _, p := range r.peers {
		look(p)
	}
	return a, known
}

// NoteLeaving drops an incarnation that said in an answer to this VM that it leaves, before its announcement tells.
func (r *Roster) NoteLeaving(now time.Duration, name id.Upstream, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end, ok := r.departed[name]; r.departed == nil || ok && end.incarnation >= incarnation {
		return
	}
	r.departed[name] = ended{incarnation: incarnation, recordedAt: now}
	r.statsOf(name).leaving.Store(incarnation + 1)
	r.update(now)
	klog.InfoS("Upstream leaves, by its answer", "upstream", name, "incarnation", incarnation)
}

// MarkCrashed drops an incarnation that refused a connection while requests were in flight, for crashRetention or until a
// later incarnation announces itself.
func (r *Roster) MarkCrashed(now time.Duration, name id.Upstream, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended[name].incarnation > incarnation {
		return
	}
	r.ended[name] = ended{incarnation: incarnation, recordedAt: now}
	r.update(now)
}

// Leaving reports whether incarnation inc of n, or a later one, has been announced as leaving.
func (r *Roster) Leaving(n id.Upstream, inc uint64) bool {
	leaves := func(p *peerList) bool {
		e, ok := p.list[n]
		return ok && e.announcement.State == engine.Leaving && e.announcement.Incarnation >= inc
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaves(&r.ownList.peerList) {
		return true
	}
	for _, p := range r.peers {
		if leaves(p) {
			return true
		}
	}
	return false
}

// dropDeparted records leaving incarnations and removes ready ones recorded as leaving earlier: the VM that reported the
// departure may have stopped since, while another VM still has an older announcement.
func (r *Roster) dropDeparted(now time.Duration, best map[id.Upstream]engine.Announcement) {
	if r.departed == nil {
		return
	}
	for name, a := range best {
		end, ok := r.departed[name]
		switch {
		case a.State == engine.Leaving && (!ok || a.Incarnation > end.incarnation):
			r.departed[name] = ended{incarnation: a.Incarnation, recordedAt: now}
		case a.State == engine.Ready && ok && a.Incarnation <= end.incarnation:
			delete(best, name)
		}
	}
}

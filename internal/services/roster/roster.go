// Package roster keeps the list of available upstreams: those that announce themselves to this VM, and those that
// announce themselves to other VMs, which pass them on.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/rcu"
)

const (
	// HeartbeatTimeout is the default time without a heartbeat after which an upstream gets no new requests.
	HeartbeatTimeout = 2 * time.Second
	// PeerTimeout is the default time without an update after which a VM's list is dropped.
	PeerTimeout = HeartbeatTimeout + peerTimeoutSlack
	// peerTimeoutSlack is how much longer a VM's list is kept than an upstream without a heartbeat.
	peerTimeoutSlack = 500 * time.Millisecond
	// crashRetention is how long a crashed incarnation gets no requests although its heartbeats continue.
	crashRetention = 10 * time.Second
	// leavingRetention is how long a departed upstream is remembered, so that late announcements do not bring it back.
	leavingRetention = 30 * time.Second
)

// Upstream is a known upstream. The announcement is immutable; Stats is shared by all snapshots.
type Upstream struct {
	engine.Announcement
	Stats *Stats
	Hash  uint64 // of the name
}

// Snapshot holds the upstreams that accept new requests. It is immutable.
type Snapshot struct {
	Models   map[id.Model][]*Upstream
	Services map[id.Service][]*Upstream
	All      []*Upstream
	Mixed    map[id.Service]bool // services with upstreams of several software versions
}

// Find returns the upstream n if it accepts new requests.
func (s *Snapshot) Find(n id.Upstream) (*Upstream, bool) {
	for _, u := range s.All {
		if u.Name == n {
			return u, true
		}
	}
	return nil, false
}

// Roster is the list of known upstreams. It is safe for concurrent use; Snapshot takes no lock.
type Roster struct {
	vm               id.VM
	zone             id.Zone // empty accepts upstreams of every data centre
	heartbeatTimeout time.Duration
	mu               sync.Mutex
	ownList          ownList
	peers            map[id.VM]*peerList
	stats            map[id.Upstream]*Stats
	ended            map[id.Upstream]ended // incarnations that refused connections, see MarkCrashed
	departed         map[id.Upstream]ended // reported as leaving by any VM; nil if an incarnation may become ready again
	current          rcu.Value[*Snapshot]
	oldestList       atomic.Int64 // time of the last confirmation of the list that was confirmed least recently; zero if there is none
	changed          func()

	pause     time.Duration // between two rebuilds, for each upstream in the list
	rebuiltAt time.Duration
	scheduled bool // a rebuild is due
}

// ended records the end of an incarnation, so that an older announcement does not bring it back.
type ended struct {
	incarnation uint64
	recordedAt  time.Duration
}

// NewMultiZone returns an empty roster for upstreams of every data centre, which expire after heartbeatTimeout.
func NewMultiZone(vm id.VM, epoch uint64, heartbeatTimeout time.Duration, changed func()) *Roster {
	r := New(vm, "", epoch, changed)
	r.heartbeatTimeout, r.departed = heartbeatTimeout, map[id.Upstream]ended{}
	return r
}

// New returns an empty roster for the upstreams of zone. The function changed is called, without the lock held, after a
// change of this VM's own list.
func New(vm id.VM, zone id.Zone, epoch uint64, changed func()) *Roster {
	r := &Roster{
		vm: vm, zone: zone, changed: changed, heartbeatTimeout: HeartbeatTimeout,
		ownList: ownList{peerList: peerList{epoch: epoch, version: 1, list: map[id.Upstream]*entry{}}, dropped: map[id.Upstream]uint64{}},
		peers:   map[id.VM]*peerList{},
		stats:   map[id.Upstream]*Stats{},
		ended:   map[id.Upstream]ended{},
	}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot returns the upstreams that accept new requests. It takes no lock.
func (r *Roster) Snapshot() *Snapshot { return r.current.Load() }

// Announce processes a heartbeat of an upstream received at now.
func (r *Roster) Announce(now time.Duration, a engine.Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if r.zone != "" && a.Zone != r.zone {
		return errors.NotValidf("upstream %q of zone %q announced in zone %q, so it", a.Name, a.Zone, r.zone)
	}
	r.mu.Lock()
	old, known := r.ownList.list[a.Name]
	if known && old.announcement.Incarnation > a.Incarnation {
		r.mu.Unlock()
		return errors.NotValidf("incarnation %d of upstream %q after %d", a.Incarnation, a.Name, old.announcement.Incarnation)
	}
	if known && old.announcement.Incarnation == a.Incarnation && a.Sequence > 0 && a.Sequence <= old.announcement.Sequence {
		r.mu.Unlock()
		return nil // arrived out of order; a later announcement was processed
	}
	load := a.Load
	a.Load = nil
	updated := !known || !equalIgnoringSequence(old.announcement, a)
	if updated {
		r.ownList.set(now, a)
		r.update(now)
		klog.InfoS("Upstream announced", "upstream", a.Name, "address", a.Address, "state", a.State, "role", a.Role)
	} else {
		old.recordedAt, old.announcement.Sequence = now, a.Sequence
	}
	if load != nil {
		r.statsOf(a.Name).Report(now, *load)
	}
	r.mu.Unlock()
	if updated {
		r.changed()
	}
	return nil
}

// equalIgnoringSequence reports whether two announcements are equal except for their sequence number.
func equalIgnoringSequence(a, b engine.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// retention returns how long an announcement is kept without a newer one.
func (r *Roster) retention(a engine.Announcement) time.Duration {
	if a.State == engine.Leaving {
		return max(r.heartbeatTimeout, leavingRetention)
	}
	return r.heartbeatTimeout
}

// Expire drops upstreams without a recent heartbeat and the lists of VMs without a recent update. It reports whether
// anything changed.
func (r *Roster) Expire(now time.Duration) bool {
	r.mu.Lock()
	ownChanged, changed := false, false
	for name, e := range r.ownList.list {
		if now-e.recordedAt > r.retention(e.announcement) {
			r.ownList.drop(name)
			ownChanged = true
			klog.InfoS("Upstream dropped: no recent heartbeat", "upstream", name, "address", e.announcement.Address, "for", now-e.recordedAt)
		}
	}
	for vm, p := range r.peers {
		if now-p.recordedAt > r.heartbeatTimeout+peerTimeoutSlack {
			delete(r.peers, vm)
			changed = true
		}
	}
	for name, end := range r.departed {
		if now-end.recordedAt > leavingRetention {
			delete(r.departed, name)
		}
	}
	for name, end := range r.ended {
		if now-end.recordedAt > crashRetention {
			delete(r.ended, name)
		}
	}
	if ownChanged || changed {
		r.update(now)
	}
	r.noteOldestList()
	r.mu.Unlock()
	if ownChanged {
		r.changed()
	}
	return ownChanged || changed
}

// maxListAge is how old the lists of other VMs are at most while these are refreshed as planned.
const maxListAge = refreshInterval + maxRelayedAge

// Stale reports whether a list of another VM was last confirmed so long before now that upstreams may have started or ended unheard. It
// takes no lock.
func (r *Roster) Stale(now time.Duration) bool {
	oldest := r.oldestList.Load()
	return oldest > 0 && now-time.Duration(oldest) > maxListAge
}

// noteOldestList updates the time for Stale. r.mu must be held.
func (r *Roster) noteOldestList() {
	oldest := int64(0)
	for _, p := range r.peers {
		if at := max(1, int64(p.recordedAt)); oldest == 0 || at < oldest {
			oldest = at
		}
	}
	r.oldestList.Store(oldest)
}

// HasAddress reports whether an upstream is announced at address, also one that has crashed: a VM that has noticed the crash can confirm it
// to others.
func (r *Roster) HasAddress(address string) bool {
	at := func(u *Upstream) bool { return u.Address == address }
	if slices.ContainsFunc(r.Snapshot().All, at) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownList.hasAddress(address) {
		return true
	}
	for _, p := range r.peers {
		if p.hasAddress(address) {
			return true
		}
	}
	return false
}

func (r *Roster) statsOf(n id.Upstream) *Stats {
	s, ok := r.stats[n]
	if !ok {
		s = &Stats{}
		r.stats[n] = s
	}
	return s
}

// LimitRebuilds makes changes that follow each other closely share one new snapshot: at least pause passes between two for each upstream in
// the list. When hundreds of upstreams come or go, a snapshot for each of them takes more processor time than a small VM has.
func (r *Roster) LimitRebuilds(pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = pause
}

// update publishes the changes at now, or soon if that was just done. r.mu must be held.
func (r *Roster) update(now time.Duration) {
	interval := r.pause * time.Duration(len(r.Snapshot().All))
	wait := r.rebuiltAt + interval - now
	switch {
	case r.scheduled:
	case wait <= 0 || interval == 0:
		r.rebuild(now)
	default:
		r.scheduled = true
		time.AfterFunc(min(wait, interval), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.scheduled = false
			r.rebuild(clock.SinceBoot())
		})
	}
}

// rebuild publishes a new snapshot. For each upstream it takes the announcement of the latest incarnation, preferring a
// leaving state to a ready one. If two upstreams announce the same address, the later incarnation keeps it.
func (r *Roster) rebuild(now time.Duration) {
	r.rebuiltAt = now
	best := map[id.Upstream]engine.Announcement{}
	collect := func(p *peerList) {
		for name, e := range p.list {
			a := e.announcement
			old, ok := best[name]
			newer := a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.State == engine.Leaving
			if !ok || newer {
				best[name] = a
			}
		}
	}
	collect(&r.ownList.peerList)
	for _, p := range r.peers {
		collect(p)
	}
	r.dropDeparted(now, best)
	r.dropReusedAddresses(best)
	previous := map[id.Upstream]*Upstream{}
	for _, u := range r.Snapshot().All {
		previous[u.Name] = u
	}
	next := &Snapshot{Models: map[id.Model][]*Upstream{}, Services: map[id.Service][]*Upstream{}, Mixed: map[id.Service]bool{}}
	for name, a := range best {
		if a.State != engine.Ready {
			continue
		}
		if end, ok := r.ended[name]; ok && end.incarnation >= a.Incarnation {
			continue
		}
		u, ok := previous[name]
		if !ok || !equalIgnoringSequence(u.Announcement, a) {
			u = &Upstream{Announcement: a, Stats: r.statsOf(name), Hash: hash.String(name)}
		}
		next.All = append(next.All, u)
	}
	slices.SortFunc(next.All, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for _, u := range next.All {
		if u.Service == "" {
			next.Models[u.Model] = append(next.Models[u.Model], u)
		} else {
			next.Services[u.Service] = append(next.Services[u.Service], u)
			if u.Version != next.Services[u.Service][0].Version {
				next.Mixed[u.Service] = true
			}
		}
	}
	r.pruneStats(best)
	r.current.Store(next)
}

// dropReusedAddresses removes upstreams whose address is now used by a later incarnation of another upstream.
func (r *Roster) dropReusedAddresses(best map[id.Upstream]engine.Announcement) {
	holder := map[string]engine.Announcement{}
	for _, a := range best {
		if old, ok := holder[a.Address]; !ok || a.Incarnation > old.Incarnation {
			holder[a.Address] = a
		}
	}
	for name, a := range best {
		if h := holder[a.Address]; h.Name != name && h.Incarnation > a.Incarnation && a.State == engine.Ready {
			delete(best, name)
		}
	}
}

// pruneStats deletes the measurements of upstreams that are not in known and have no requests in flight.
func (r *Roster) pruneStats(known map[id.Upstream]engine.Announcement) {
	for name, s := range r.stats {
		if _, ok := known[name]; !ok && s.Requests.Load() == 0 {
			delete(r.stats, name)
		}
	}
}

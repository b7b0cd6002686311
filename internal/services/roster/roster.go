// Package roster knows the upstreams of this VM's data centre: those that announce themselves here, and those that
// announce themselves to other VMs of the data centre, which vouch for them.
package roster

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/rcu"
)

const (
	// Silence is how long an upstream may be silent before it gets no new work, where the settings say nothing else.
	Silence = 2 * time.Second
	// Vouching is how long a VM's word for its upstreams holds under that silence.
	Vouching = Silence + vouchSlack
	// vouchSlack is how much longer than an upstream's silence a VM's word for its upstreams holds.
	vouchSlack  = 500 * time.Millisecond
	crashMemory = 10 * time.Second
	// leftMemory is how long the end of an upstream is remembered: late announcements must not bring it back.
	leftMemory = 30 * time.Second
)

// Upstream is one known upstream. The announcement is immutable; Work is shared by all snapshots.
type Upstream struct {
	engine.Announcement
	Work *Work
	Hash uint64
}

// Snapshot is the upstreams that take new work. It is immutable.
type Snapshot struct {
	Models   map[id.Model][]*Upstream
	Services map[id.Service][]*Upstream
	All      []*Upstream
}

// Find returns n where it takes new work.
func (s *Snapshot) Find(n id.Upstream) (*Upstream, bool) {
	for _, u := range s.All {
		if u.Name == n {
			return u, true
		}
	}
	return nil, false
}

// Roster is safe for concurrent use; Snapshot takes no lock.
type Roster struct {
	vm      id.VM
	zone    id.Zone // empty takes upstreams of every data centre
	silence time.Duration
	mu      sync.Mutex
	own     own
	peers   map[id.VM]*source
	work    map[id.Upstream]*Work
	gone    map[id.Upstream]gone
	left    map[id.Upstream]gone // lives that were heard to leave, whoever said so; nil where a life may become ready again
	current rcu.Value[*Snapshot]
	changed func()
}

// gone remembers an upstream's end, so that an older announcement does not bring it back.
type gone struct {
	incarnation uint64
	at          time.Duration
}

// NewWide returns an empty roster of upstreams of every data centre, which may be silent for silence.
func NewWide(vm id.VM, epoch uint64, silence time.Duration, changed func()) *Roster {
	r := New(vm, "", epoch, changed)
	r.silence, r.left = silence, map[id.Upstream]gone{}
	return r
}

// New returns an empty roster of the upstreams of zone. Changed is called, without the lock, after this VM's own list
// changed.
func New(vm id.VM, zone id.Zone, epoch uint64, changed func()) *Roster {
	r := &Roster{
		vm: vm, zone: zone, changed: changed, silence: Silence,
		own:   own{source: source{epoch: epoch, version: 1, list: map[id.Upstream]*heard{}}, dropped: map[id.Upstream]uint64{}},
		peers: map[id.VM]*source{},
		work:  map[id.Upstream]*Work{},
		gone:  map[id.Upstream]gone{},
	}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot returns the upstreams that take new work. It takes no lock.
func (r *Roster) Snapshot() *Snapshot { return r.current.Load() }

// Announce takes an upstream's heartbeat at now.
func (r *Roster) Announce(now time.Duration, a engine.Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if r.zone != "" && a.Zone != r.zone {
		return errors.NotValidf("upstream %q of zone %q announced in zone %q, so it", a.Name, a.Zone, r.zone)
	}
	r.mu.Lock()
	old, known := r.own.list[a.Name]
	if known && old.announcement.Incarnation > a.Incarnation {
		r.mu.Unlock()
		return errors.NotValidf("incarnation %d of upstream %q after %d", a.Incarnation, a.Name, old.announcement.Incarnation)
	}
	if known && old.announcement.Incarnation == a.Incarnation && a.Sequence > 0 && a.Sequence <= old.announcement.Sequence {
		r.mu.Unlock()
		return nil // delayed: a later announcement has arrived
	}
	load := a.Load
	a.Load = nil
	news := !known || !same(old.announcement, a)
	if news {
		r.own.set(now, a)
		r.rebuild(now)
		klog.InfoS("Upstream announced", "upstream", a.Name, "address", a.Address, "state", a.State, "role", a.Role)
	} else {
		old.at, old.announcement.Sequence = now, a.Sequence
	}
	if load != nil {
		r.workOf(a.Name).Report(now, *load)
	}
	r.mu.Unlock()
	if news {
		r.changed()
	}
	return nil
}

// same reports whether two announcements say the same of an upstream.
func same(a, b engine.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// Depart records that the upstream n of incarnation inc takes no new work from now on. Where inc is zero and n is not known, every
// incarnation up to latest has ended: its announcements may still be on their way.
func (r *Roster) Depart(now time.Duration, n id.Upstream, inc, latest uint64) {
	r.mu.Lock()
	h, known := r.own.list[n]
	if known && h.announcement.Incarnation > inc && inc > 0 {
		r.mu.Unlock()
		return
	}
	a := engine.Announcement{Name: n, Incarnation: cmp.Or(inc, latest)}
	if known {
		a = h.announcement
	} else if u, ok := r.Snapshot().Find(n); ok {
		a = u.Announcement
	}
	a.State, a.Sequence = engine.Leaving, math.MaxUint64
	r.own.set(now, a)
	r.rebuild(now)
	klog.InfoS("Upstream departs", "upstream", n, "address", a.Address, "incarnation", a.Incarnation)
	r.mu.Unlock()
	r.changed()
}

// memory returns how long an announcement is kept without another one.
func (r *Roster) memory(a engine.Announcement) time.Duration {
	if a.State == engine.Leaving {
		return max(r.silence, leftMemory)
	}
	return r.silence
}

// Expire drops upstreams that have been silent and VMs whose word has lapsed; it reports whether anything changed.
func (r *Roster) Expire(now time.Duration) bool {
	r.mu.Lock()
	ownChanged, changed := false, false
	for name, h := range r.own.list {
		if now-h.at > r.memory(h.announcement) {
			r.own.drop(name)
			ownChanged = true
			klog.InfoS("Upstream dropped: no heartbeat", "upstream", name, "address", h.announcement.Address, "for", now-h.at)
		}
	}
	for vm, s := range r.peers {
		if now-s.at > r.silence+vouchSlack {
			delete(r.peers, vm)
			changed = true
		}
	}
	for name, g := range r.left {
		if now-g.at > leftMemory {
			delete(r.left, name)
		}
	}
	for name, g := range r.gone {
		if now-g.at > crashMemory {
			delete(r.gone, name)
		}
	}
	if ownChanged || changed {
		r.rebuild(now)
	}
	r.mu.Unlock()
	if ownChanged {
		r.changed()
	}
	return ownChanged || changed
}

// Crashed drops an incarnation that refused a connection while it had work, until it announces itself again.
func (r *Roster) Crashed(now time.Duration, name id.Upstream, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[name] = gone{incarnation: incarnation, at: now}
	r.rebuild(now)
}

// Leaving reports whether n has announced that it leaves.
func (r *Roster) Leaving(n id.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.own.list[n]; ok && h.announcement.State == engine.Leaving {
		return true
	}
	for _, s := range r.peers {
		if h, ok := s.list[n]; ok && h.announcement.State == engine.Leaving {
			return true
		}
	}
	return false
}

func (r *Roster) workOf(n id.Upstream) *Work {
	w, ok := r.work[n]
	if !ok {
		w = &Work{}
		r.work[n] = w
	}
	return w
}

// rebuild publishes a new snapshot: for each upstream the announcement of its latest incarnation, where a leaving
// state wins over a ready one. Where two upstreams name one address the later incarnation has it.
func (r *Roster) rebuild(now time.Duration) {
	best := map[id.Upstream]engine.Announcement{}
	take := func(s *source) {
		for name, h := range s.list {
			a := h.announcement
			old, ok := best[name]
			newer := a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.State == engine.Leaving
			if !ok || newer {
				best[name] = a
			}
		}
	}
	take(&r.own.source)
	for _, s := range r.peers {
		take(s)
	}
	r.dropLeft(now, best)
	r.dropReused(best)
	before := map[id.Upstream]*Upstream{}
	for _, u := range r.Snapshot().All {
		before[u.Name] = u
	}
	n := &Snapshot{Models: map[id.Model][]*Upstream{}, Services: map[id.Service][]*Upstream{}}
	for name, a := range best {
		if a.State != engine.Ready {
			continue
		}
		if g, ok := r.gone[name]; ok && g.incarnation >= a.Incarnation {
			continue
		}
		u, ok := before[name]
		if !ok || !same(u.Announcement, a) {
			u = &Upstream{Announcement: a, Work: r.workOf(name), Hash: hash.String(name)}
		}
		n.All = append(n.All, u)
	}
	slices.SortFunc(n.All, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for _, u := range n.All {
		if u.Service == "" {
			n.Models[u.Model] = append(n.Models[u.Model], u)
		} else {
			n.Services[u.Service] = append(n.Services[u.Service], u)
		}
	}
	r.prune(best)
	r.current.Store(n)
}

// dropLeft remembers the lives that leave, and takes out those that were heard to leave before: the VM that heard it may be
// silent by now, while another still has an older word.
func (r *Roster) dropLeft(now time.Duration, best map[id.Upstream]engine.Announcement) {
	if r.left == nil {
		return
	}
	for name, a := range best {
		g, ok := r.left[name]
		switch {
		case a.State == engine.Leaving && (!ok || a.Incarnation > g.incarnation):
			r.left[name] = gone{incarnation: a.Incarnation, at: now}
		case a.State == engine.Ready && ok && a.Incarnation <= g.incarnation:
			delete(best, name)
		}
	}
}

// dropReused takes out upstreams whose address a later one has.
func (r *Roster) dropReused(best map[id.Upstream]engine.Announcement) {
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

// prune forgets the work of upstreams that are gone and idle.
func (r *Roster) prune(known map[id.Upstream]engine.Announcement) {
	for name, w := range r.work {
		if _, ok := known[name]; !ok && w.Requests.Load() == 0 {
			delete(r.work, name)
		}
	}
}

// Package roster knows the upstreams of this VM's data centre: those that announce themselves here, and those that
// announce themselves to other VMs of the data centre, which vouch for them.
package roster

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
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

// Work is this VM's view of an upstream's load. It takes no lock.
type Work struct {
	Requests atomic.Int64  // in flight from this VM
	Pieces   atomic.Int64  // KV pieces in flight from this VM
	others   atomic.Int64  // pieces in flight from other VMs, by the last report
	reported atomic.Int64  // when, by the VM's clock in nanoseconds
	failures atomic.Int64  // consecutive
	openTill atomic.Int64  // circuit, by the VM's clock in nanoseconds
	limit    atomic.Uint64 // requests at once from this VM, float bits; zero means firstLimit
	bad      atomic.Uint64 // moving average of answers that missed the service level, float bits
	settled  atomic.Bool   // the limit has been lowered once
	lowered  atomic.Int64  // when, by the VM's clock in nanoseconds

	Reading       atomic.Int64     // prompt tokens sent from this VM and not read yet
	OtherRequests atomic.Int64     // in flight from other VMs, as they last told
	OtherReading  atomic.Int64     // prompt tokens of theirs that are not read yet
	faults        atomic.Uint64    // moving average of answers that failed, float bits
	speed         [2]atomic.Uint64 // prompt tokens read in a millisecond, in place and apart, as learnt, float bits
	trips         atomic.Int64     // in a row
}

const (
	loadMemory   = 3 * time.Second // a report older than this counts half
	circuitAfter = 5               // consecutive failures
	circuitOpen  = 2 * time.Second

	firstLimit  = 4.0
	leastLimit  = 1.0
	mostLimit   = 512.0
	lowerBy     = 0.8
	badWeight   = 1.0 / 16 // of the latest answer in the moving average
	badLimit    = 0.1      // average from which on the limit is lowered; the service level allows 0.05
	lowerPeriod = 250 * time.Millisecond
)

// Limit returns how many requests this VM may have at the upstream at once.
func (w *Work) Limit() float64 {
	if v := math.Float64frombits(w.limit.Load()); v > 0 {
		return v
	}
	return firstLimit
}

// Room reports whether the upstream may take another request from this VM.
func (w *Work) Room() bool { return float64(w.Requests.Load()) < w.Limit() }

// Learn adapts the limit to whether an answer met the service level: additive increase, multiplicative decrease (Chiu
// and Jain 1989), doubling until the first decrease. A limit that is not in use does not grow.
func (w *Work) Learn(now time.Duration, good bool) {
	old := w.Limit()
	bad := math.Float64frombits(w.bad.Load()) * (1 - badWeight)
	if !good {
		bad += badWeight
	}
	w.bad.Store(math.Float64bits(bad))
	if good == (bad > badLimit) {
		return
	}
	if good {
		if float64(w.Requests.Load()) < old/2 {
			return
		}
		step := 1 / old
		if !w.settled.Load() {
			step = 1
		}
		w.limit.Store(math.Float64bits(min(mostLimit, old+step)))
		return
	}
	last := w.lowered.Load()
	if int64(now)-last < int64(lowerPeriod) || !w.lowered.CompareAndSwap(last, int64(now)) {
		return
	}
	w.settled.Store(true)
	w.limit.Store(math.Float64bits(max(leastLimit, old*lowerBy)))
}

// Report takes the upstream's own view: what it holds beyond this VM's work is other VMs' work.
func (w *Work) Report(now time.Duration, l engine.Load) {
	w.others.Store(max(0, l.Pieces-w.Pieces.Load()))
	w.reported.Store(int64(now))
}

// Load returns the estimated pieces in use at now: this VM's own and the aged rest.
func (w *Work) Load(now time.Duration) int64 {
	others := w.others.Load()
	if age := now - time.Duration(w.reported.Load()); age > loadMemory {
		others /= 2
	}
	return w.Pieces.Load() + others
}

// The constants of what is learnt from answers. FirstApart stands for the reading speed of an engine that is not known.
const (
	faultWeight  = 0.15 // of the latest answer in the part that failed
	FirstApart   = 50.0 // prompt tokens a millisecond, until the first answers
	firstInPlace = 25.0
	speedWeight  = 0.1 // of the latest answer in the speed
	leastSpeed   = 5.0 // below which a measurement says more about the way than about the engine
	mostSpeed    = 500.0
	leastTrip    = 250 * time.Millisecond
	mostTrip     = 4 * time.Second // twice the time in which an upstream announces itself again
)

// Judge counts an answer, failed or not, in the part that failed.
func (w *Work) Judge(failed bool) {
	v := math.Float64frombits(w.faults.Load()) * (1 - faultWeight)
	if failed {
		v += faultWeight
	} else {
		w.trips.Store(0)
	}
	w.faults.Store(math.Float64bits(v))
}

// Faults returns the part of the latest answers that failed.
func (w *Work) Faults() float64 { return math.Float64frombits(w.faults.Load()) }

// Speed returns how many prompt tokens the engine reads in a millisecond, apart or in place.
func (w *Work) Speed(apart bool) float64 {
	if v := math.Float64frombits(w.speedOf(apart).Load()); v > 0 {
		return v
	}
	if apart {
		return FirstApart
	}
	return firstInPlace
}

func (w *Work) speedOf(apart bool) *atomic.Uint64 {
	if apart {
		return &w.speed[1]
	}
	return &w.speed[0]
}

// Read learns from n prompt tokens that took d to read.
func (w *Work) Read(apart bool, n id.Tokens, d time.Duration) {
	ms := d.Seconds() * 1000
	if ms <= 0 {
		return
	}
	v := min(mostSpeed, max(leastSpeed, float64(n)/ms))
	w.speedOf(apart).Store(math.Float64bits(w.Speed(apart)*(1-speedWeight) + v*speedWeight))
}

// Trip opens the circuit at now after a connection failed: longer each time in a row.
func (w *Work) Trip(now time.Duration) {
	n := min(w.trips.Add(1)-1, 8)
	w.openTill.Store(int64(now + min(mostTrip, leastTrip<<n)))
}

// Open reports whether the circuit is open at now.
func (w *Work) Open(now time.Duration) bool { return int64(now) < w.openTill.Load() }

// Succeed closes the circuit.
func (w *Work) Succeed() { w.failures.Store(0) }

// Fail counts a failure and opens the circuit after several in a row.
func (w *Work) Fail(now time.Duration) {
	if w.failures.Add(1) >= circuitAfter {
		w.openTill.Store(int64(now + circuitOpen))
		w.failures.Store(0)
	}
}

// Snapshot is the upstreams that take new work. It is immutable.
type Snapshot struct {
	Models   map[id.Model][]*Upstream
	Services map[id.Service][]*Upstream
	All      []*Upstream
}

// Vouch is what a VM tells the others of its data centre about the upstreams that announce themselves to it.
type Vouch struct {
	VM      id.VM                 `cbor:"1,keyasint"`
	Epoch   uint64                `cbor:"2,keyasint"` // incarnation of the VM
	Version uint64                `cbor:"3,keyasint"`
	List    []engine.Announcement `cbor:"4,keyasint,omitempty"` // complete, where the receiver lacks Version
	Full    bool                  `cbor:"5,keyasint,omitempty"`
}

// source is one VM's list, or this VM's own.
type source struct {
	epoch   uint64
	version uint64
	at      time.Duration
	list    map[id.Upstream]*heard
}

type heard struct {
	announcement engine.Announcement
	at           time.Duration
}

// Roster is safe for concurrent use; Snapshot takes no lock.
type Roster struct {
	vm      id.VM
	zone    id.Zone // empty takes upstreams of every data centre
	silence time.Duration
	mu      sync.Mutex
	own     source
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
		own:   source{epoch: epoch, version: 1, list: map[id.Upstream]*heard{}},
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
	r.own.list[a.Name] = &heard{announcement: a, at: now}
	if news {
		r.own.version++
		r.rebuild(now)
		klog.InfoS("Upstream announced", "upstream", a.Name, "address", a.Address, "state", a.State, "role", a.Role)
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

// Depart records that the upstream n of incarnation inc takes no new work from now on.
func (r *Roster) Depart(now time.Duration, n id.Upstream, inc uint64) {
	r.mu.Lock()
	h, known := r.own.list[n]
	if known && h.announcement.Incarnation > inc && inc > 0 {
		r.mu.Unlock()
		return
	}
	a := engine.Announcement{Name: n, Incarnation: inc}
	if known {
		a = h.announcement
	} else if u, ok := r.find(n); ok {
		a = u.Announcement
	}
	a.State, a.Sequence = engine.Leaving, math.MaxUint64
	r.own.list[n] = &heard{announcement: a, at: now}
	r.own.version++
	r.rebuild(now)
	klog.InfoS("Upstream departs", "upstream", n, "address", a.Address, "incarnation", a.Incarnation)
	r.mu.Unlock()
	r.changed()
}

// find returns n where it takes new work.
func (r *Roster) find(n id.Upstream) (*Upstream, bool) {
	for _, u := range r.current.Load().All {
		if u.Name == n {
			return u, true
		}
	}
	return nil, false
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
			delete(r.own.list, name)
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
	if ownChanged {
		r.own.version++
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

// Vouch returns this VM's word; full includes the list.
func (r *Roster) Vouch(full bool) Vouch {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Vouch{VM: r.vm, Epoch: r.own.epoch, Version: r.own.version, Full: full}
	if full {
		for _, h := range r.own.list {
			v.List = append(v.List, h.announcement)
		}
	}
	return v
}

// Hear takes another VM's word at now. It returns false where the full list is needed.
func (r *Roster) Hear(now time.Duration, v Vouch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.peers[v.VM]
	if known && (v.Epoch < s.epoch || v.Epoch == s.epoch && v.Version < s.version) {
		return true // delayed
	}
	if known && s.epoch == v.Epoch && s.version == v.Version {
		s.at = now
		return true
	}
	if !v.Full {
		return false
	}
	n := &source{epoch: v.Epoch, version: v.Version, at: now, list: map[id.Upstream]*heard{}}
	for _, a := range v.List {
		n.list[a.Name] = &heard{announcement: a, at: now}
	}
	r.peers[v.VM] = n
	r.rebuild(now)
	return true
}

// Known returns which list of vm this VM has.
func (r *Roster) Known(vm id.VM) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.peers[vm]; ok {
		return s.epoch, s.version
	}
	return 0, 0
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
	take(&r.own)
	for _, s := range r.peers {
		take(s)
	}
	r.dropLeft(now, best)
	r.dropReused(best)
	n := &Snapshot{Models: map[id.Model][]*Upstream{}, Services: map[id.Service][]*Upstream{}}
	for name, a := range best {
		if a.State != engine.Ready {
			continue
		}
		if g, ok := r.gone[name]; ok && g.incarnation >= a.Incarnation {
			continue
		}
		n.All = append(n.All, &Upstream{Announcement: a, Work: r.workOf(name), Hash: hash.String(name)})
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

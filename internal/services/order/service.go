// Package order holds the exclusive leases of this VM and acts under them: orders to the engines of its data centre,
// and usage reports and upstream orders to the platform.
package order

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/roster"
)

const (
	leaseLength = 6 * time.Second
	renewals    = 3 // renewals of a lease in its length
	actEvery    = 250 * time.Millisecond
	orderWithin = 2 * time.Second // an order is written within this after its intent
	sendTimeout = time.Second
)

// ErrNotHeld says that this VM does not hold the lease, or not for long enough.
var ErrNotHeld = errors.New("the lease is not held for long enough")

// Authority is what this package needs of the shared state.
type Authority interface {
	VM() id.VM
	Zone() id.Zone
	Incarnation() id.Incarnation
	State() *state.Machine
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Leased(now, autonomy time.Duration) bool
	Control() bool // whether this VM has a part of the replicated log
}

// Options are what the service works with.
type Options struct {
	Authority Authority
	Roster    *roster.Roster
	Platform  string                            // base URL; empty reports nothing, unless Port is set
	Port      Platform                          // towards the platform; nil speaks this project's own protocol to Platform
	Engines   Engines                           // towards engines; nil speaks this project's own protocol
	Wide      bool                              // one control VM orders the engines of all data centres
	Window    time.Duration                     // of usage
	Delay     time.Duration                     // after a window's end until its figure is fixed; zero means sealDelay
	Lease     time.Duration                     // of the exclusive roles; zero means leaseLength
	Now       func(now time.Duration) time.Time // the fleet's time of day; nil reads the VM's own
}

// Platform takes what is done under the platform's lease. ErrFenced says that a later holder was seen.
type Platform interface {
	// Report sends the figure of a window; check is asked right before the write.
	Report(ctx context.Context, holder id.VM, f id.Fence, r usage.Report, check func() bool) error
	// Scale asks for a number of upstreams. ErrDry says that none are to be had now.
	Scale(ctx context.Context, holder id.VM, f id.Fence, n Number, check func() bool) error
}

// Number is how many upstreams of one kind a service is to have in a data centre.
type Number struct {
	Service id.Service
	Zone    id.Zone
	Cheap   bool
	Count   int
}

// ErrDry says that no upstream of the kind is to be had in the data centre now.
const ErrDry = errors.ConstError("no such upstream is to be had now")

// Engines takes orders to engines. Errors name what is known: errNotSent and errRefused as the sender's, ErrFenced.
type Engines interface {
	// Send writes o to an engine; check is asked right before the write.
	Send(ctx context.Context, holder id.VM, to engine.Announcement, o order.Order, check func() bool) error
	// Taken reports whether the engine has taken o.
	Taken(ctx context.Context, to engine.Announcement, o order.Order) (bool, error)
}

// ErrFenced says that the peer has seen a higher fencing number.
const ErrFenced = errors.ConstError("a higher fencing number was seen")

// Hold is a lease that this VM holds.
type Hold struct {
	Name     lease.Name
	Fence    id.Fence
	Until    time.Duration // by clock.Boot
	acquired time.Duration
	renewed  time.Duration
}

// Service acts under the leases of this VM.
type Service struct {
	opt    Options
	sender *Sender
	mu     sync.Mutex
	held   map[lease.Name]Hold
}

// New returns a service. Run starts it.
func New(opt Options) *Service {
	s := &Service{opt: opt, sender: NewSender(), held: map[lease.Name]Hold{}}
	s.opt.Lease = cmp.Or(opt.Lease, leaseLength)
	s.opt.Delay = cmp.Or(opt.Delay, sealDelay)
	if opt.Port == nil && opt.Platform != "" {
		s.opt.Port = &web{sender: s.sender, url: opt.Platform}
	}
	if opt.Engines == nil {
		s.opt.Engines = &web{sender: s.sender}
	}
	if opt.Now == nil {
		s.opt.Now = func(time.Duration) time.Time { return time.Now() }
	}
	return s
}

// Run holds leases and acts under them until ctx ends.
func (s *Service) Run(ctx context.Context) {
	pause.Each(ctx, actEvery, func() { s.act(ctx) })
}

func (s *Service) act(ctx context.Context) {
	now := clock.Boot()
	if !s.opt.Authority.Leased(now, 0) {
		return
	}
	if !s.opt.Wide || s.opt.Authority.Control() {
		if h, ok := s.keep(ctx, s.engines()); ok {
			s.finishPending(ctx, h)
		}
	}
	if s.opt.Port == nil || !s.opt.Authority.Control() {
		return // only control VMs know the usage
	}
	if h, ok := s.keep(ctx, lease.Platform); ok {
		s.seal(ctx, h)
		s.reportWindows(ctx, h)
	}
}

// allZones stands for all data centres in the name of a lease.
const allZones = "all"

// engines returns the lease for orders to the engines that this VM may order.
func (s *Service) engines() lease.Name {
	if s.opt.Wide {
		return lease.Engines(allZones)
	}
	return lease.Engines(s.opt.Authority.Zone())
}

// Orders reports whether this VM may order engines at now.
func (s *Service) Orders(now time.Duration) bool {
	h, ok := s.Held(now, s.engines())
	return ok && now >= h.acquired+settleTime
}

// settleTime is how long a new holder waits before it acts: what an earlier one wrote has arrived by then.
const settleTime = orderWithin + sendTimeout + lingerBound

// Held returns the lease n as this VM holds it at now.
func (s *Service) Held(now time.Duration, n lease.Name) (Hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[n]
	return h, ok && now < h.Until
}

// keep renews n where it is due, or asks for it where nobody holds it.
func (s *Service) keep(ctx context.Context, n lease.Name) (Hold, bool) {
	now := clock.Boot()
	h, held := s.Held(now, n)
	if held && now-h.renewed < s.opt.Lease/renewals {
		return h, true
	}
	a := s.opt.Authority
	l, granted := a.State().Lease(n)
	mine := granted && l.Holder == a.VM() && l.Incarnation == a.Incarnation()
	if granted && !mine {
		return Hold{}, false
	}
	r, err := a.Propose(ctx, state.Command{Acquire: &state.Acquire{
		Name: n, VM: a.VM(), Incarnation: a.Incarnation(), Duration: s.opt.Lease,
	}})
	if err != nil || r.Code != state.OK || r.Lease == nil {
		return h, held
	}
	return s.keepHeld(now, *r.Lease)
}

// keepHeld records a grant that was asked for at asked.
func (s *Service) keepHeld(asked time.Duration, l lease.Lease) (Hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[l.Name]
	if l.Fence < h.Fence {
		return h, false // a late answer about an earlier grant
	}
	if h.Fence != l.Fence {
		klog.InfoS("Lease acquired", "lease", l.Name, "fence", l.Fence)
		h = Hold{Name: l.Name, Fence: l.Fence, acquired: clock.Boot()}
	}
	h.renewed = asked
	h.Until = lease.HeldUntil(asked, l.Duration)
	s.held[l.Name] = h
	return h, clock.Boot() < h.Until
}

// drop gives up a lease whose holder has been overtaken.
func (s *Service) drop(ctx context.Context, h Hold) {
	s.mu.Lock()
	if s.held[h.Name].Fence == h.Fence {
		s.held[h.Name] = Hold{Name: h.Name, Fence: h.Fence}
	}
	s.mu.Unlock()
	klog.InfoS("Lease given up: a higher fencing number was seen", "lease", h.Name, "fence", h.Fence)
	if _, err := s.opt.Authority.Propose(ctx, state.Command{Release: &state.Release{Name: h.Name, Fence: h.Fence}}); err != nil {
		klog.InfoS("Lease not released", "lease", h.Name, "fence", h.Fence, "err", err)
	}
}

// Order commits and sends one order to an engine of this data centre.
func (s *Service) Order(ctx context.Context, u id.Upstream, kind order.Kind, value, reason string) error {
	now := clock.Boot()
	h, ok := s.Held(now, s.engines())
	if !ok || h.Until < now+sendTimeout {
		return ErrNotHeld
	}
	target, found := s.find(u)
	o := order.Order{Upstream: u, Life: target.Incarnation, Zone: s.opt.Authority.Zone(), Kind: kind, Value: value, Fence: h.Fence, Within: orderWithin, Reason: reason}
	r, err := s.opt.Authority.Propose(ctx, state.Command{Intent: &state.Intent{Lease: h.Name, Order: o}})
	if err != nil {
		return errors.Annotatef(err, "commit order to %s", u)
	}
	if r.Code != state.OK {
		return errors.Errorf("commit order to %s: %s", u, r.Message)
	}
	o.ID = r.Index
	if !found {
		return s.end(ctx, o, order.Failed, "the upstream is gone")
	}
	return s.send(ctx, h, o, target, now+orderWithin)
}

// send writes o before deadline, or not at all, and commits its outcome. An unclear outcome stays pending:
// finishPending reads it back.
func (s *Service) send(ctx context.Context, h Hold, o order.Order, target engine.Announcement, deadline time.Duration) error {
	check := func() bool {
		now := clock.Boot()
		held, ok := s.Held(now, h.Name)
		return ok && held.Fence == h.Fence && now < deadline && held.Until > now+sendTimeout
	}
	err := s.opt.Engines.Send(ctx, s.opt.Authority.VM(), target, o, check)
	switch {
	case err == nil:
		return s.end(ctx, o, order.Done, "")
	case errors.Is(err, errNotSent):
		return s.end(ctx, o, order.Failed, "not sent: "+err.Error())
	case errors.Is(err, ErrFenced):
		s.drop(ctx, h)
		return errors.Annotatef(err, "order to upstream %s", target.Address)
	case errors.Is(err, errRefused):
		return s.end(ctx, o, order.Failed, err.Error())
	}
	return errors.Annotatef(err, "order to upstream %s", target.Address)
}

func (s *Service) end(ctx context.Context, o order.Order, st order.State, reason string) error {
	_, err := s.opt.Authority.Propose(ctx, state.Command{Outcome: &state.Outcome{
		Upstream: o.Upstream, ID: o.ID, State: st, Reason: reason,
	}})
	if err == nil && st == order.Failed {
		return errors.Errorf("order to %s: %s", o.Upstream, reason)
	}
	return errors.Annotatef(err, "commit outcome of order to %s", o.Upstream)
}

func (s *Service) find(u id.Upstream) (engine.Announcement, bool) {
	x, ok := s.opt.Roster.Snapshot().Find(u)
	if !ok {
		return engine.Announcement{}, false
	}
	return x.Announcement, true
}

// finishPending settles orders whose outcome is not known. It first waits until no earlier holder can still write, and
// the kernel can deliver nothing more, and then reads the engine's state back.
func (s *Service) finishPending(ctx context.Context, h Hold) {
	now := clock.Boot()
	if now < h.acquired+settleTime {
		return
	}
	for _, o := range s.opt.Authority.State().Orders() {
		if !s.opt.Wide && o.Zone != s.opt.Authority.Zone() || o.State != order.Pending {
			continue
		}
		target, ok := s.find(o.Upstream)
		if !ok {
			s.end(ctx, o, order.Failed, "the upstream is gone")
			continue
		}
		taken, err := s.opt.Engines.Taken(ctx, target, o)
		if err != nil {
			klog.InfoS("Order not read back", "upstream", o.Upstream, "address", target.Address, "err", err)
			continue
		}
		if taken {
			s.end(ctx, o, order.Done, "read back")
		} else {
			s.end(ctx, o, order.Failed, "read back: the engine never had it")
		}
	}
}

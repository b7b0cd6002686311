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
	Window    time.Duration                     // of usage
	Delay     time.Duration                     // after a window's end until its figure is fixed; zero means sealDelay
	Lease     time.Duration                     // of the exclusive roles; zero means leaseLength
	Now       func(now time.Duration) time.Time // the fleet's time of day; nil reads the VM's own
}

// Platform takes what is done under the platform's lease. ErrFenced says that a later holder was seen.
type Platform interface {
	// Report sends the figure of a window; check is asked right before the write.
	Report(ctx context.Context, holder id.VM, f id.Fence, r usage.Report, check func() bool) error
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
	zone := s.opt.Authority.Zone()
	if h, ok := s.keep(ctx, lease.Engines(zone)); ok {
		s.finishPending(ctx, h, zone)
	}
	if s.opt.Port == nil || !s.opt.Authority.Control() {
		return // only control VMs know the usage
	}
	if h, ok := s.keep(ctx, lease.Platform); ok {
		s.seal(ctx, h)
		s.reportWindows(ctx, h)
	}
}

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
	zone := s.opt.Authority.Zone()
	now := clock.Boot()
	h, ok := s.Held(now, lease.Engines(zone))
	if !ok || h.Until < now+orderWithin+sendTimeout {
		return ErrNotHeld
	}
	o := order.Order{Upstream: u, Zone: zone, Kind: kind, Value: value, Fence: h.Fence, Within: orderWithin, Reason: reason}
	r, err := s.opt.Authority.Propose(ctx, state.Command{Intent: &state.Intent{Lease: h.Name, Order: o}})
	if err != nil {
		return errors.Annotatef(err, "commit order to %s", u)
	}
	if r.Code != state.OK {
		return errors.Errorf("commit order to %s: %s", u, r.Message)
	}
	o.ID = r.Index
	target, ok := s.find(u)
	if !ok {
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
	err := s.sender.order(ctx, target.Address, o, check)
	switch {
	case err == nil:
		return s.end(ctx, o, order.Done, "")
	case errors.Is(err, errNotSent):
		return s.end(ctx, o, order.Failed, "not sent: "+err.Error())
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
	for _, x := range s.opt.Roster.Snapshot().All {
		if x.Name == u {
			return x.Announcement, true
		}
	}
	return engine.Announcement{}, false
}

// finishPending settles orders whose outcome is not known. It first waits until no earlier holder can still write, and
// the kernel can deliver nothing more, and then reads the engine's state back.
func (s *Service) finishPending(ctx context.Context, h Hold, zone id.Zone) {
	now := clock.Boot()
	if now < h.acquired+orderWithin+sendTimeout+lingerBound {
		return
	}
	for _, o := range s.opt.Authority.State().Orders() {
		if o.Zone != zone || o.State != order.Pending {
			continue
		}
		target, ok := s.find(o.Upstream)
		if !ok {
			s.end(ctx, o, order.Failed, "the upstream is gone")
			continue
		}
		st, err := s.sender.readBack(ctx, target.Address)
		if err != nil {
			klog.InfoS("Order not read back", "upstream", o.Upstream, "address", target.Address, "err", err)
			continue
		}
		if st.Order == o.ID {
			s.end(ctx, o, order.Done, "read back")
		} else {
			s.end(ctx, o, order.Failed, "read back: the engine never had it")
		}
	}
}

// Package order acquires this VM's exclusive leases and makes the calls that require them: orders to the engines of its
// data centre, and usage reports and scaling requests to the platform.
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
	leaseDuration     = 6 * time.Second
	renewalsPerLease  = 3 // renewals within the duration of a lease
	actInterval       = 250 * time.Millisecond
	orderWriteTimeout = 2 * time.Second // an order is written at most this long after its intent is proposed
	sendTimeout       = time.Second
)

// ErrNotHeld is returned if this VM does not hold the lease or the lease expires too soon.
var ErrNotHeld = errors.New("the lease is not held for long enough")

// ControlPlane provides access to the replicated state.
type ControlPlane interface {
	VM() id.VM
	Zone() id.Zone
	Incarnation() id.Incarnation
	State() *state.Machine
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Leased(now, autonomy time.Duration) bool // whether this VM's own lease is valid, or ended less than autonomy ago
	IsControlVM() bool                       // whether this VM is a replica of the log
}

// Options configures a Service.
type Options struct {
	ControlPlane   ControlPlane
	Roster         *roster.Roster
	Platform       string                            // base URL of the platform; if empty and PlatformClient is nil, no reports are sent
	PlatformClient Platform                          // client of the platform; if nil, the built-in protocol is used with the URL in Platform
	Engines        Engines                           // client of the engines; if nil, the built-in protocol is used
	MultiZone      bool                              // one control VM sends orders to the engines of all data centres
	Window         time.Duration                     // length of a usage window
	SealDelay      time.Duration                     // from the end of a window until it is sealed; zero means sealDelay
	Lease          time.Duration                     // duration of the exclusive leases; zero means leaseDuration, and minLease is the shortest
	Now            func(now time.Duration) time.Time // the fleet's wall-clock time; if nil, the VM's own is used
	SinceBoot      func() time.Duration              // the clock of leases; if nil, clock.SinceBoot
}

// Platform makes the calls that require the platform lease. They return ErrFenced if the platform has seen a later
// holder of the lease.
type Platform interface {
	// Report sends the usage of a window. It calls check right before each write and writes nothing if check fails.
	Report(ctx context.Context, holder id.VM, f id.Fence, r usage.Report, check func() bool) error
	// Scale requests a number of upstreams. It returns ErrNoCapacity if none are available now.
	Scale(ctx context.Context, holder id.VM, f id.Fence, n UpstreamCount, check func() bool) error
}

// UpstreamCount is the desired number of upstreams of one kind for a service in a data centre.
type UpstreamCount struct {
	Service id.Service
	Zone    id.Zone
	Cheap   bool
	Count   int
}

// ErrNoCapacity is returned if the data centre currently has no capacity for this kind of upstream.
const ErrNoCapacity = errors.ConstError("no such upstream is to be had now")

// Engines sends orders to engines. Its errors tell the outcome: errNotSent if the order was not sent, errRefused if the
// engine refused it, ErrFenced if the engine has seen a later holder. After any other error the outcome is
// unknown.
type Engines interface {
	// Send writes o to an engine. It calls check right before each write and writes nothing if check fails.
	Send(ctx context.Context, holder id.VM, to engine.Announcement, o order.Order, check func() bool) error
	// Accepted reports whether the engine has accepted o.
	Accepted(ctx context.Context, to engine.Announcement, o order.Order) (bool, error)
}

// ErrFenced is returned if the peer has seen a higher fencing number, so this VM no longer holds the lease.
const ErrFenced = errors.ConstError("a higher fencing number was seen")

// Service acquires leases for this VM and sends orders and reports while it holds them.
type Service struct {
	opt    Options
	waits  waits
	sender *Sender
	mu     sync.Mutex
	held   map[lease.Name]HeldLease
	closed bool // HandOver was called
}

// New returns a service, which is started by Run.
func New(opt Options) *Service {
	s := &Service{opt: opt, sender: NewSender(), held: map[lease.Name]HeldLease{}}
	s.opt.Lease = max(minLease, cmp.Or(opt.Lease, leaseDuration))
	s.waits = waits{delivery: deliveryTime, takeover: takeoverDelay, handOver: handOverDelay(s.opt.Lease)}
	s.opt.SealDelay = cmp.Or(opt.SealDelay, sealDelay)
	if opt.PlatformClient == nil && opt.Platform != "" {
		s.opt.PlatformClient = &nativeClient{sender: s.sender, url: opt.Platform}
	}
	if opt.Engines == nil {
		s.opt.Engines = &nativeClient{sender: s.sender}
	}
	if opt.Now == nil {
		s.opt.Now = func(time.Duration) time.Time { return time.Now() }
	}
	if opt.SinceBoot == nil {
		s.opt.SinceBoot = clock.SinceBoot
	}
	return s
}

func (s *Service) now() time.Duration { return s.opt.SinceBoot() }

// Run acquires and renews leases and does the work that requires them until ctx ends.
func (s *Service) Run(ctx context.Context) {
	pause.Every(ctx, actInterval, func() { s.act(ctx) })
}

func (s *Service) act(ctx context.Context) {
	now := s.now()
	if !s.opt.ControlPlane.Leased(now, 0) {
		return
	}
	if !s.opt.MultiZone || s.opt.ControlPlane.IsControlVM() {
		if h, ok := s.ensureLease(ctx, s.enginesLease()); ok {
			s.resolvePending(ctx, h)
		}
	}
	if s.opt.PlatformClient == nil || !s.opt.ControlPlane.IsControlVM() {
		return // only control VMs have the usage data
	}
	if h, ok := s.ensureLease(ctx, lease.Platform); ok {
		s.sealWindows(ctx, h)
		s.reportWindows(ctx, h)
	}
}

// allZones denotes all data centres in the name of a lease.
const allZones = "all"

// enginesLease returns the name of the lease that this VM needs to send orders to engines.
func (s *Service) enginesLease() lease.Name {
	if s.opt.MultiZone {
		return lease.Engines(allZones)
	}
	return lease.Engines(s.opt.ControlPlane.Zone())
}

// CanOrder reports whether this VM may send orders to engines at now.
func (s *Service) CanOrder(now time.Duration) bool {
	h, ok := s.Held(now, s.enginesLease())
	return ok && h.settled(now, s.waits)
}

// Order commits the intent of an order to an engine, sends the order and commits the outcome.
func (s *Service) Order(ctx context.Context, u id.Upstream, kind order.Kind, value, reason string) error {
	now := s.now()
	h, ok := s.Held(now, s.enginesLease())
	if !ok || !h.settled(now, s.waits) || !h.mayWrite(now, s.waits) {
		return ErrNotHeld
	}
	target, found := s.findEngine(u)
	o := order.Order{Upstream: u, UpstreamIncarnation: target.Incarnation, Zone: s.opt.ControlPlane.Zone(), Kind: kind, Value: value, Fence: h.Fence, SendWithin: orderWriteTimeout, Reason: reason}
	r, err := s.opt.ControlPlane.Propose(ctx, state.Command{Intent: &state.Intent{Lease: h.Name, Order: o}})
	if err != nil {
		return errors.Annotatef(err, "commit order to %s", u)
	}
	if r.Code != state.OK {
		return errors.Errorf("commit order to %s: %s", u, r.Message)
	}
	o.ID = r.Index
	if !found {
		return s.commitOutcome(ctx, o, order.Failed, "the upstream is gone")
	}
	return s.send(ctx, h, o, target, now+orderWriteTimeout)
}

// send writes o before deadline or not at all, and commits its outcome. If the outcome is unknown, the order stays
// pending until resolvePending reads it from the engine.
func (s *Service) send(ctx context.Context, h HeldLease, o order.Order, target engine.Announcement, deadline time.Duration) error {
	check := func() bool { return s.now() < deadline && s.mayWrite(h) }
	err := s.opt.Engines.Send(ctx, s.opt.ControlPlane.VM(), target, o, check)
	switch {
	case err == nil:
		return s.commitOutcome(ctx, o, order.Done, "")
	case errors.Is(err, errNotSent):
		return s.commitOutcome(ctx, o, order.Failed, "not sent: "+err.Error())
	case errors.Is(err, ErrFenced):
		s.giveUp(h)
		return errors.Annotatef(err, "order to upstream %s", target.Address)
	case errors.Is(err, errRefused):
		return s.commitOutcome(ctx, o, order.Failed, err.Error())
	}
	return errors.Annotatef(err, "order to upstream %s", target.Address)
}

func (s *Service) commitOutcome(ctx context.Context, o order.Order, st order.State, reason string) error {
	_, err := s.opt.ControlPlane.Propose(ctx, state.Command{Outcome: &state.Outcome{
		Upstream: o.Upstream, ID: o.ID, State: st, Reason: reason,
	}})
	if err == nil && st == order.Failed {
		return errors.Errorf("order to %s: %s", o.Upstream, reason)
	}
	return errors.Annotatef(err, "commit outcome of order to %s", o.Upstream)
}

func (s *Service) findEngine(u id.Upstream) (engine.Announcement, bool) {
	x, ok := s.opt.Roster.Snapshot().Find(u)
	if !ok {
		return engine.Announcement{}, false
	}
	return x.Announcement, true
}

// resolvePending reads from the engines whether they accepted the orders that are still pending, and commits the
// outcomes. It does nothing before takeoverDelay has passed: until then an earlier holder could still write, or the
// kernel deliver what it wrote.
func (s *Service) resolvePending(ctx context.Context, h HeldLease) {
	now := s.now()
	if !h.settled(now, s.waits) {
		return
	}
	for _, o := range s.opt.ControlPlane.State().Orders() {
		if !s.opt.MultiZone && o.Zone != s.opt.ControlPlane.Zone() || o.State != order.Pending {
			continue
		}
		target, ok := s.findEngine(o.Upstream)
		if !ok {
			s.commitOutcome(ctx, o, order.Failed, "the upstream is gone")
			continue
		}
		accepted, err := s.opt.Engines.Accepted(ctx, target, o)
		if err != nil {
			klog.InfoS("Failed to read order state from engine", "upstream", o.Upstream, "address", target.Address, "err", err)
			continue
		}
		if accepted {
			s.commitOutcome(ctx, o, order.Done, "read back")
		} else {
			s.commitOutcome(ctx, o, order.Failed, "read back: the engine never had it")
		}
	}
}

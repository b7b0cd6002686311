package order

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
)

const (
	// writeAllowance is the time from the last check of a call until the kernel has its bytes, on a VM that gets little processor
	// time.
	writeAllowance = 500 * time.Millisecond
	// deliveryTime is how long after its last check a call may still reach its peer: then the kernel gives it up.
	deliveryTime = writeAllowance + tcpUserTimeout
	// minLease leaves a holder as much time for calls after a renewal as deliveryTime takes from it.
	minLease = 2 * deliveryTime
	// takeoverDelay is how long a new holder of an engines lease waits before it sends orders. Everything that an earlier
	// holder wrote has arrived or been dropped by then, so that the engines' state can be read back.
	takeoverDelay = orderWriteTimeout + sendTimeout + deliveryTime
	// handOverMargin is added to the delay of a hand-over for the clocks of two VMs and the ways of their calls.
	handOverMargin = 300 * time.Millisecond
)

// HeldLease is a lease held by this VM.
type HeldLease struct {
	Name     lease.Name
	Fence    id.Fence
	Until    time.Duration // on the clock of leases
	acquired time.Duration // time at which this VM learned of the first grant with this fencing number
	renewed  time.Duration // time at which the latest grant was requested
	wrote    time.Duration // time of the latest check that allowed a write
	givenUp  bool          // the lease is not used any more, and runs out
}

// waits are the times that keep the calls of two holders apart.
type waits struct {
	delivery time.Duration // between the last write of a holder and the end of its lease
	takeover time.Duration // between a grant and the first order to an engine
	handOver time.Duration // between the last write of a holder that stops as planned and the release of its lease
}

// mayWrite reports whether a call may be written at now: it has then arrived or been given up when the lease ends, and the next
// holder need not wait.
func (h HeldLease) mayWrite(now time.Duration, w waits) bool {
	return !h.givenUp && h.Until > now+w.delivery
}

// settled reports whether everything that an earlier holder wrote has arrived or been dropped at now.
func (h HeldLease) settled(now time.Duration, w waits) bool { return now >= h.acquired+w.takeover }

// Held returns the lease n and whether this VM holds it at now.
func (s *Service) Held(now time.Duration, n lease.Name) (HeldLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[n]
	return h, ok && !s.closed && !h.givenUp && now < h.Until
}

// ensureLease renews the lease n if a renewal is due, or acquires it if no VM holds it.
func (s *Service) ensureLease(ctx context.Context, n lease.Name) (HeldLease, bool) {
	now := s.now()
	h, held := s.Held(now, n)
	if held && now-h.renewed < s.opt.Lease/renewalsPerLease {
		return h, true
	}
	cp := s.opt.ControlPlane
	l, granted := cp.State().Lease(n)
	mine := granted && l.Holder == cp.VM() && l.Incarnation == cp.Incarnation()
	if granted && !mine || !s.wants(n, l) {
		return HeldLease{}, false
	}
	r, err := cp.Propose(ctx, state.Command{Acquire: &state.Acquire{
		Name: n, VM: cp.VM(), Incarnation: cp.Incarnation(), Duration: s.opt.Lease,
	}})
	if err != nil || r.Code != state.OK || r.Lease == nil {
		return h, held
	}
	return s.recordGrant(now, *r.Lease)
}

// wants reports whether this VM may acquire or renew l, the present grant of n or the zero value.
func (s *Service) wants(n lease.Name, l lease.Lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[n]
	return !s.closed && !(h.givenUp && h.Fence == l.Fence)
}

// recordGrant records a grant of the lease l that was requested at requestedAt.
func (s *Service) recordGrant(requestedAt time.Duration, l lease.Lease) (HeldLease, bool) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[l.Name]
	if l.Fence < h.Fence {
		return h, false // a delayed answer with an earlier grant
	}
	if h.Fence != l.Fence {
		klog.InfoS("Lease acquired", "lease", l.Name, "fence", l.Fence)
		h = HeldLease{Name: l.Name, Fence: l.Fence, acquired: now}
	}
	h.renewed = requestedAt
	h.Until = lease.HeldUntil(requestedAt, l.Duration)
	s.held[l.Name] = h
	return h, !s.closed && !h.givenUp && now < h.Until
}

// mayWrite reports whether a call that was prepared under h may be written now, and records the write. It is the last step
// before the bytes leave.
func (s *Service) mayWrite(h HeldLease) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[h.Name]
	if s.closed || held.Fence != h.Fence || !held.mayWrite(now, s.waits) {
		return false
	}
	held.wrote = now
	s.held[h.Name] = held
	return true
}

// giveUp stops the use of a lease after a peer has seen a higher fencing number for it. The lease is not released but runs out,
// because other calls of this VM may still be under way.
func (s *Service) giveUp(h HeldLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.held[h.Name]; held.Fence == h.Fence {
		held.givenUp = true
		s.held[h.Name] = held
	}
	klog.InfoS("Lease given up: a peer has seen a higher fencing number", "lease", h.Name, "fence", h.Fence)
}

// handOverDelay returns how long a stopping holder waits after its last write before it releases a lease of duration d. Its calls have
// then arrived or been given up, and it takes longer than d until a VM acts, another one, and the first again, also if one of the two
// changes is the end of a lease.
func handOverDelay(d time.Duration) time.Duration {
	return max(deliveryTime, d-deliveryTime) + handOverMargin
}

// HandOver ends the use of all leases and releases them once nothing that this VM wrote can still arrive, so that the next holder
// need not wait for their end. It is for planned stops.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	held := maps.Clone(s.held)
	s.mu.Unlock()
	for _, h := range held {
		now := s.now()
		if now >= h.Until || !pause.For(ctx, h.wrote+s.waits.handOver-now) {
			continue // it runs out
		}
		r, err := s.opt.ControlPlane.Propose(ctx, state.Command{Release: &state.Release{Name: h.Name, Fence: h.Fence}})
		klog.InfoS("Lease handed over", "lease", h.Name, "fence", h.Fence, "result", r.Message, "err", err)
	}
}

package order

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// sealDelay is how long after its end a window is sealed, so that the last counts of its requests are in.
const sealDelay = 3 * time.Second

// mostSeals is how many windows are sealed in one go: more than a change of the holder takes.
const mostSeals = 12

// seal fixes the figures of the windows that have ended.
func (s *Service) seal(ctx context.Context, h Hold) {
	ended := id.WindowAt(s.opt.Now(clock.Boot()).Add(-s.opt.Delay), s.opt.Window) - 1
	next := ended
	if list := s.opt.Authority.State().Reports(); len(list) > 0 {
		next = max(list[len(list)-1].Window+1, ended-min(ended, mostSeals))
	}
	for ; next <= ended; next++ {
		r, err := s.opt.Authority.Propose(ctx, state.Command{Seal: &state.Seal{Window: next, Fence: h.Fence}})
		if err != nil || r.Code != state.OK {
			klog.InfoS("Usage window not sealed", "window", next, "fence", h.Fence, "result", r.Message, "err", err)
			return
		}
		klog.InfoS("Usage window sealed", "window", next, "fence", h.Fence)
	}
}

// reportWindows sends the sealed windows that the platform has not acknowledged, in order and unchanged.
func (s *Service) reportWindows(ctx context.Context, h Hold) {
	for _, w := range s.opt.Authority.State().Reports() {
		if w.Acknowledged {
			continue
		}
		err := s.opt.Port.Report(ctx, s.opt.Authority.VM(), h.Fence, w, s.mayCall(h))
		if errors.Is(err, ErrFenced) {
			s.drop(ctx, h)
			return
		}
		if err != nil {
			klog.InfoS("Usage not reported", "window", w.Window, "fence", h.Fence, "err", err)
			return
		}
		r, err := s.opt.Authority.Propose(ctx, state.Command{Ack: &state.Ack{Window: w.Window, Fence: h.Fence}})
		if err != nil || r.Code != state.OK {
			klog.InfoS("Usage report not noted", "window", w.Window, "result", r.Message, "err", err)
		}
	}
}

// mayCall returns the check of a call to the platform under h.
func (s *Service) mayCall(h Hold) func() bool {
	return func() bool {
		now := clock.Boot()
		held, ok := s.Held(now, lease.Platform)
		return ok && held.Fence == h.Fence && held.Until > now+reportMargin
	}
}

// Platform reports whether this VM may call the platform at now.
func (s *Service) Platform(now time.Duration) bool {
	h, ok := s.Held(now, lease.Platform)
	return ok && s.opt.Port != nil && h.Until > now+reportMargin
}

// Scale asks the platform for a number of upstreams.
func (s *Service) Scale(ctx context.Context, n Number) error {
	h, ok := s.Held(clock.Boot(), lease.Platform)
	if !ok || s.opt.Port == nil {
		return ErrNotHeld
	}
	err := s.opt.Port.Scale(ctx, s.opt.Authority.VM(), h.Fence, n, s.mayCall(h))
	if errors.Is(err, ErrFenced) {
		s.drop(ctx, h)
	}
	return err
}

// reportMargin is how much of the lease must be left when a report is written: the kernel delivers nothing later.
const reportMargin = lingerBound

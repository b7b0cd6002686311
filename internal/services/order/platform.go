package order

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
)

// sealDelay is the time from the end of a window until it is sealed. By then the last counts of its requests have
// arrived.
const sealDelay = 3 * time.Second

// maxSealsPerRun is the maximum number of past windows sealed in one run. It exceeds the number of windows that end
// while the lease changes hands.
const maxSealsPerRun = 12

// sealWindows seals the windows that have ended, after which their usage no longer changes.
func (s *Service) sealWindows(ctx context.Context, h HeldLease) {
	ended := id.WindowAt(s.opt.Now(s.now()).Add(-s.opt.SealDelay), s.opt.Window) - 1
	next := ended
	if list := s.opt.ControlPlane.State().UsageReports(); len(list) > 0 {
		next = max(list[len(list)-1].Window+1, ended-min(ended, maxSealsPerRun))
	}
	for ; next <= ended; next++ {
		r, err := s.opt.ControlPlane.Propose(ctx, state.Command{Seal: &state.Seal{Window: next, Fence: h.Fence}})
		if err != nil || r.Code != state.OK {
			klog.InfoS("Failed to seal usage window", "window", next, "fence", h.Fence, "result", r.Message, "err", err)
			return
		}
		klog.InfoS("Usage window sealed", "window", next, "fence", h.Fence)
	}
}

// reportWindows sends the sealed windows that the platform has not acknowledged, in order. A window sent again has the
// same content.
func (s *Service) reportWindows(ctx context.Context, h HeldLease) {
	for _, w := range s.opt.ControlPlane.State().UsageReports() {
		if w.Acknowledged {
			continue
		}
		err := s.opt.PlatformClient.Report(ctx, s.opt.ControlPlane.VM(), h.Fence, w, s.platformCheck(h))
		if errors.Is(err, ErrFenced) {
			s.giveUp(h)
			return
		}
		if err != nil {
			klog.InfoS("Failed to report usage", "window", w.Window, "fence", h.Fence, "err", err)
			return
		}
		r, err := s.opt.ControlPlane.Propose(ctx, state.Command{Ack: &state.Ack{Window: w.Window, Fence: h.Fence}})
		if err != nil || r.Code != state.OK {
			klog.InfoS("Failed to record acknowledgement of usage report", "window", w.Window, "result", r.Message, "err", err)
		}
	}
}

// platformCheck returns a function that reports whether a call to the platform may still be written under lease h.
func (s *Service) platformCheck(h HeldLease) func() bool {
	return func() bool { return s.mayWrite(h) }
}

// Platform reports whether this VM may call the platform at now.
func (s *Service) Platform(now time.Duration) bool {
	h, ok := s.Held(now, lease.Platform)
	return ok && s.opt.PlatformClient != nil && h.mayWrite(now, s.waits)
}

// Scale requests a number of upstreams from the platform.
func (s *Service) Scale(ctx context.Context, n UpstreamCount) error {
	h, ok := s.Held(s.now(), lease.Platform)
	if !ok || s.opt.PlatformClient == nil {
		return ErrNotHeld
	}
	err := s.opt.PlatformClient.Scale(ctx, s.opt.ControlPlane.VM(), h.Fence, n, s.platformCheck(h))
	if errors.Is(err, ErrFenced) {
		s.giveUp(h)
	}
	return err
}

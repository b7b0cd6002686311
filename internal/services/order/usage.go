package order

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// sealDelay is how long after its end a window is sealed, so that the last counts of its requests are in.
const sealDelay = 3 * time.Second

// windowAt returns the window that t falls into.
func windowAt(t time.Time, length time.Duration) id.Window {
	return id.Window(t.UnixNano() / int64(length))
}

// seal fixes the figure of the latest window that has ended.
func (s *Service) seal(ctx context.Context, h Hold) {
	ended := windowAt(time.Now().Add(-sealDelay), s.opt.Window) - 1
	list := s.opt.Authority.State().Reports()
	if n := len(list); n > 0 && list[n-1].Window >= ended {
		return
	}
	r, err := s.opt.Authority.Propose(ctx, state.Command{Seal: &state.Seal{Window: ended, Fence: h.Fence}})
	if err == nil && r.Code == state.OK {
		klog.InfoS("Usage window sealed", "window", ended)
	}
}

// reportWindows sends the sealed windows that the platform has not acknowledged, in order and unchanged.
func (s *Service) reportWindows(ctx context.Context, h Hold) {
	for _, w := range s.opt.Authority.State().Reports() {
		if w.Acknowledged {
			continue
		}
		check := func() bool {
			now := clock.Boot()
			held, ok := s.Held(now, lease.Platform)
			return ok && held.Fence == h.Fence && held.Until > now+sendTimeout+lingerBound
		}
		body := report{Window: w.Window, Fence: h.Fence, Lines: w.Lines}
		if err := s.sender.post(ctx, s.opt.Platform+"/v1/usage", h.Fence, body, check); err != nil {
			klog.InfoS("Usage not reported", "window", w.Window, "platform", s.opt.Platform, "err", err)
			return
		}
		s.opt.Authority.Propose(ctx, state.Command{Ack: &state.Ack{Window: w.Window, Fence: h.Fence}})
	}
}

package quarantine

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/pause"
)

const (
	maxPendingReports   = 256 // reports that wait for the log; further ones are only broadcast
	proposeRetryBackoff = 100 * time.Millisecond
	maxMessagedVMs      = 16 // other VMs up to which each of them gets a message ahead of the log
)

// AheadOfLog reports whether a report of a crash goes to each of n other VMs by a message ahead of the log. In a large fleet, where a herd
// of crashes is noticed by nearly every VM, such messages and the connections for them would grow with the square of the fleet.
func AheadOfLog(n int) bool { return n <= maxMessagedVMs }

// Sharer gives reports to the other VMs: at once by a message to each of them in a small fleet, and for good through the replicated log.
type Sharer struct {
	broadcast func(suspect.Report)
	propose   func(context.Context, suspect.Report) error
	pending   chan suspect.Report
}

// NewSharer returns a Sharer. Broadcast sends a report to the other VMs without waiting; propose commits it to the log and
// may be called again after an error, because a repeated report has no effect.
func NewSharer(broadcast func(suspect.Report), propose func(context.Context, suspect.Report) error) *Sharer {
	return &Sharer{broadcast: broadcast, propose: propose, pending: make(chan suspect.Report, maxPendingReports)}
}

// Share gives r to the other VMs. It does not wait.
func (s *Sharer) Share(r suspect.Report) {
	s.broadcast(r)
	select {
	case s.pending <- r:
	default:
		klog.InfoS("Report of a crash not committed: too many wait", "upstream", r.Upstream, "incarnation", r.Incarnation, "requests", len(r.Runs))
	}
}

// Run commits the shared reports in order, each until it succeeds, until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.pending:
			s.commit(ctx, r)
		}
	}
}

func (s *Sharer) commit(ctx context.Context, r suspect.Report) {
	for {
		err := s.propose(ctx, r)
		if err == nil {
			return
		}
		klog.InfoS("Report of a crash not committed yet", "upstream", r.Upstream, "incarnation", r.Incarnation, "requests", len(r.Runs), "err", err)
		if !pause.For(ctx, proposeRetryBackoff) {
			return
		}
	}
}

package authority

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

// batchInterval is the time during which a relay collects reports for one batch.
const batchInterval = 100 * time.Millisecond

// reportLoop renews the VM lease and reports demand and usage.
func (a *Agent) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.reportNow:
		}
		if !a.left.Load() {
			a.reportOnce(ctx)
		}
		pause.For(ctx, minReportInterval)
		timer.Reset(a.timing.reportInterval() - minReportInterval)
	}
}

func (a *Agent) reportOnce(ctx context.Context) {
	now := clock.SinceBoot()
	r := Report{
		VM: a.opt.VM, Incarnation: a.opt.Incarnation, Sent: now, Revision: a.Config().Revision,
		Demands: a.demand(now), Wall: now + a.fleetTime.startOffset,
	}
	if now-a.usageReportedAt >= usageInterval {
		a.usageReportedAt = now
		r.Usage = a.usageReadings()
	}
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	answer, err := a.sendReport(ctx, reportBatch{List: []Report{r}})
	if err != nil {
		klog.V(1).InfoS("Report failed", "vm", a.opt.VM, "err", err)
		return
	}
	for _, g := range answer.List {
		if g.VM == a.opt.VM && g.Sent == now {
			a.applyGrant(ctx, g)
		}
	}
}

// sendReport sends q through the relay. If the relay cannot pass it on, a follower tries one other relay candidate, each time the next one:
// hundreds of VMs that try all of them would keep control VMs without a leader from electing one.
func (a *Agent) sendReport(ctx context.Context, q reportBatch) (grantBatch, error) {
	relayCtx, cancel := context.WithTimeout(ctx, a.timing.call()/maxReportAttempts)
	answer, err := a.processReports(relayCtx, q)
	cancel()
	if err == nil || a.replica != nil {
		return answer, err
	}
	addr, ok := a.otherRelay()
	if !ok {
		return answer, err
	}
	q.Hops++
	call, cancel := context.WithTimeout(ctx, a.timing.call()/maxReportAttempts)
	defer cancel()
	return peer.Call[grantBatch](call, a.opt.Transport, addr, methodReport, q)
}

// otherRelay returns the next of the relay candidates that is not the present relay. Only the report loop calls it.
func (a *Agent) otherRelay() (string, bool) {
	relay, _ := a.nextHop()
	list := slices.DeleteFunc(a.relayCandidates(), func(addr string) bool { return addr == relay })
	if len(list) == 0 {
		return "", false
	}
	a.relaysTried++
	return list[a.relaysTried%len(list)], true
}

// maxReportAttempts is the number of VMs through which a report can be sent within the timeout of one call.
const maxReportAttempts = 2

// applyGrant applies g. The lease and the shares take effect only after this VM has applied the index in the grant.
func (a *Agent) applyGrant(ctx context.Context, g Grant) {
	a.onUsageCommitted(g.Counted)
	a.fleetTime.set(g.Wall, g.Sent)
	if g.Rejoin {
		if err := a.join(ctx); err != nil {
			klog.V(1).InfoS("Join failed", "vm", a.opt.VM, "err", err)
		}
		a.ReportSoon()
		return
	}
	if g.Duration == 0 {
		return
	}
	a.leaderIndex.Store(max(a.leaderIndex.Load(), uint64(g.Index)))
	if err := a.awaitIndex(ctx, g.Index); err != nil {
		klog.InfoS("Grant ignored: its index is not applied yet", "vm", a.opt.VM, "index", g.Index, "applied", a.feed.Index())
		return
	}
	end := lease.HeldUntil(g.Sent, g.Duration)
	if end <= a.LeaseEnd() || a.left.Load() {
		return
	}
	a.onShares(g.Shares)
	if a.LeaseEnd() == 0 {
		klog.InfoS("VM lease granted", "vm", a.opt.VM, "revision", g.Revision)
	}
	a.leaseEnd.Store(int64(end))
}

// processReports answers reports if this VM is the leader and forwards them towards the leader otherwise.
func (a *Agent) processReports(ctx context.Context, q reportBatch) (grantBatch, error) {
	if now := clock.SinceBoot(); a.Leading(now) {
		return a.leader.grant(now, q.List), nil
	}
	addr, ok := a.nextHop()
	if !ok || q.Hops >= maxHops {
		return grantBatch{}, ErrNoQuorum
	}
	q.Hops++
	return peer.Call[grantBatch](ctx, a.opt.Transport, addr, methodReport, q)
}

// reportBatcher collects the reports of the VMs that use this VM as their relay, so that one call carries many of them
// towards the leader.
type reportBatcher struct {
	mu        sync.Mutex
	waiting   []pendingReport
	scheduled bool // sendBatch is about to run
}

type pendingReport struct {
	report Report
	grant  chan Grant
}

// batchReports adds q to the next batch and waits for its grants. The leader answers q at once, and reports that another
// relay has batched (more than one hop) are forwarded at once.
func (a *Agent) batchReports(ctx context.Context, q reportBatch) (grantBatch, error) {
	if a.Leading(clock.SinceBoot()) || q.Hops > 1 {
		return a.processReports(ctx, q)
	}
	var list []pendingReport
	for _, r := range q.List {
		list = append(list, pendingReport{report: r, grant: make(chan Grant, 1)})
	}
	a.reportBatcher.mu.Lock()
	a.reportBatcher.waiting = append(a.reportBatcher.waiting, list...)
	if !a.reportBatcher.scheduled {
		a.reportBatcher.scheduled = true
		go a.sendBatch(q.Hops)
	}
	a.reportBatcher.mu.Unlock()
	var answer grantBatch
	for _, p := range list {
		select {
		case g, ok := <-p.grant:
			if !ok {
				return answer, ErrNoQuorum
			}
			answer.List = append(answer.List, g)
		case <-ctx.Done():
			return answer, errors.Trace(ctx.Err())
		}
	}
	return answer, nil
}

// sendBatch sends the collected reports after batchInterval and distributes the grants.
func (a *Agent) sendBatch(hops int) {
	pause.For(a.ctx, batchInterval)
	a.reportBatcher.mu.Lock()
	batch := a.reportBatcher.waiting
	a.reportBatcher.waiting, a.reportBatcher.scheduled = nil, false
	a.reportBatcher.mu.Unlock()
	q := reportBatch{Hops: hops}
	for _, p := range batch {
		q.List = append(q.List, p.report)
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.timing.call())
	defer cancel()
	answer, err := a.processReports(ctx, q)
	for i, p := range batch {
		if err != nil || i >= len(answer.List) {
			close(p.grant)
			continue
		}
		p.grant <- answer.List[i]
	}
}

// FlushUsage commits the usage readings that are not committed yet.
func (a *Agent) FlushUsage(ctx context.Context) {
	list := a.usageReadings()
	if len(list) == 0 {
		return
	}
	if _, err := a.Propose(ctx, state.Command{Usage: &state.Usage{Readings: list}}); err != nil {
		klog.InfoS("Failed to commit usage before shutdown", "vm", a.opt.VM, "err", err)
	}
}

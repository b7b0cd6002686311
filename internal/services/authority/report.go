package authority

import (
	"context"
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

// relayEvery is the time between two batches that a relay passes on.
const relayEvery = 100 * time.Millisecond

// reportLoop renews the VM lease and reports demand and usage.
func (a *Authority) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.report:
		}
		if !a.leftAt.Load() {
			a.reportOnce(ctx)
		}
		pause.For(ctx, reportGap)
		timer.Reset(a.timing.reportEvery() - reportGap)
	}
}

func (a *Authority) reportOnce(ctx context.Context) {
	now := clock.Boot()
	r := Report{
		VM: a.opt.VM, Incarnation: a.opt.Incarnation, Sent: now, Revision: a.Config().Revision,
		Demands: a.demand(now), Wall: now + a.wall.own,
	}
	if now-a.told >= usageEvery {
		a.told = now
		r.Usage = a.readings()
	}
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	answer, err := a.sendReport(ctx, reports{List: []Report{r}})
	if err != nil {
		klog.V(1).InfoS("Report failed", "vm", a.opt.VM, "err", err)
		return
	}
	for _, g := range answer.List {
		if g.VM == a.opt.VM && g.Sent == now {
			a.accept(ctx, g)
		}
	}
}

// sendReport passes q on through the relay, or through another control VM where the relay does not answer.
func (a *Authority) sendReport(ctx context.Context, q reports) (grants, error) {
	first, cancel := context.WithTimeout(ctx, a.timing.call()/reportTries)
	answer, err := a.passOn(first, q)
	cancel()
	if err == nil || a.replica != nil {
		return answer, err
	}
	q.Hops++
	relay, _ := a.upstream()
	for _, to := range a.candidates() {
		if to == relay || ctx.Err() != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, a.timing.call()/reportTries)
		answer, err = peer.Call[grants](call, a.opt.Transport, to, methodReport, q)
		cancel()
		if err == nil {
			break
		}
	}
	return answer, err
}

// reportTries is how many control VMs a report may be tried at in the time of one call.
const reportTries = 2

// accept takes a grant. It counts only once this VM has applied the revision that the leader stood at.
func (a *Authority) accept(ctx context.Context, g Grant) {
	a.onCounted(g.Counted)
	a.wall.set(g.Wall, g.Sent)
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
	a.named.Store(max(a.named.Load(), uint64(g.Index)))
	if err := a.await(ctx, g.Index); err != nil {
		klog.InfoS("Grant not taken: its index is not applied here", "vm", a.opt.VM, "index", g.Index, "applied", a.feed.Index())
		return
	}
	end := lease.HeldUntil(g.Sent, g.Duration)
	if end <= a.LeaseEnd() || a.leftAt.Load() {
		return
	}
	a.onShares(g.Shares)
	if a.LeaseEnd() == 0 {
		klog.InfoS("VM lease granted", "vm", a.opt.VM, "revision", g.Revision)
	}
	a.leaseEnd.Store(int64(end))
}

// passOn answers reports here, where this VM leads, else passes them on towards the leader.
func (a *Authority) passOn(ctx context.Context, q reports) (grants, error) {
	if now := clock.Boot(); a.Leading(now) {
		return a.leader.grant(now, q.List), nil
	}
	to, ok := a.upstream()
	if !ok || q.Hops >= maxHops {
		return grants{}, ErrNoQuorum
	}
	q.Hops++
	return peer.Call[grants](ctx, a.opt.Transport, to, methodReport, q)
}

// relay gathers the reports of the VMs below this one, so that one call towards the leader carries many.
type relay struct {
	mu      sync.Mutex
	waiting []pending
	running bool
}

type pending struct {
	report Report
	ch     chan Grant
}

// gather adds q to the next batch and waits for its grant.
func (a *Authority) gather(ctx context.Context, q reports) (grants, error) {
	if a.Leading(clock.Boot()) || q.Hops > 1 {
		return a.passOn(ctx, q)
	}
	var list []pending
	for _, r := range q.List {
		list = append(list, pending{report: r, ch: make(chan Grant, 1)})
	}
	a.relay.mu.Lock()
	a.relay.waiting = append(a.relay.waiting, list...)
	if !a.relay.running {
		a.relay.running = true
		go a.relayBatch(q.Hops)
	}
	a.relay.mu.Unlock()
	var answer grants
	for _, p := range list {
		select {
		case g, ok := <-p.ch:
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

func (a *Authority) relayBatch(hops int) {
	pause.For(a.ctx, relayEvery)
	a.relay.mu.Lock()
	batch := a.relay.waiting
	a.relay.waiting, a.relay.running = nil, false
	a.relay.mu.Unlock()
	q := reports{Hops: hops}
	for _, p := range batch {
		q.List = append(q.List, p.report)
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.timing.call())
	defer cancel()
	answer, err := a.passOn(ctx, q)
	for i, p := range batch {
		if err != nil || i >= len(answer.List) {
			close(p.ch)
			continue
		}
		p.ch <- answer.List[i]
	}
}

// Flush commits the usage readings that are not committed yet.
func (a *Authority) Flush(ctx context.Context) {
	list := a.readings()
	if len(list) == 0 {
		return
	}
	if _, err := a.Propose(ctx, state.Command{Usage: &state.Usage{Readings: list}}); err != nil {
		klog.InfoS("Usage not committed before the stop", "vm", a.opt.VM, "err", err)
	}
}

package authority

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
)

// register installs the handlers of the peer methods.
func (a *Agent) register(t *peer.Transport) {
	peer.Handle(t, methodLog, a.onLog)
	peer.Handle(t, methodFeed, a.onFeed)
	peer.Handle(t, methodNodeInfo, a.onNodeInfo)
	peer.Handle(t, methodPropose, a.onPropose)
	peer.Handle(t, methodReport, func(ctx context.Context, _ id.VM, q reportBatch) (grantBatch, error) { return a.batchReports(ctx, q) })
	peer.Handle(t, methodEnroll, a.onEnroll)
	peer.Handle(t, methodHandOver, a.onHandOver)
	peer.Handle(t, methodAwaitRevision, func(ctx context.Context, _ id.VM, q revisionRequest) (RevisionStatus, error) {
		return a.awaitRevision(ctx, q)
	})
	peer.Handle(t, methodWithdraw, a.onWithdraw)
	peer.Handle(t, methodUsageReports, func(ctx context.Context, _ id.VM, _ empty) ([]usage.Report, error) { return a.UsageReports(ctx) })
	peer.Handle(t, methodDraw, func(ctx context.Context, _ id.VM, q drawRequest) (drawAnswer, error) { return a.draw(ctx, q) })
	peer.Handle(t, methodAppliedIndex, func(context.Context, id.VM, empty) (indexAnswer, error) {
		return indexAnswer{Index: a.feed.Index()}, nil
	})
	peer.Handle(t, methodReadIndex, func(ctx context.Context, _ id.VM, q readIndexRequest) (indexAnswer, error) {
		i, err := a.readIndex(ctx, q)
		return indexAnswer{Index: i}, err
	})
}

func (a *Agent) onLog(_ context.Context, from id.VM, q logMessages) (empty, error) {
	if a.replica == nil {
		return empty{}, errors.New("this VM has no log")
	}
	for _, m := range q.List {
		if nodeVM(m.From) != from {
			return empty{}, errors.Errorf("message of %s from %s", m.From, from)
		}
		a.learnedAddresses.Store(m.From, q.Address)
		a.replica.Step(m)
	}
	return empty{}, nil
}

// sendLog queues a log message for its recipient. It drops the message if the address is unknown or the queue is full.
func (a *Agent) sendLog(m quorum.Message) {
	addr, ok := a.nodeAddress(m.To)
	if !ok {
		return
	}
	v, known := a.outboxes.Load(addr)
	if !known {
		ch := make(chan quorum.Message, outboxLength)
		if v, known = a.outboxes.LoadOrStore(addr, ch); !known {
			go a.drainOutbox(addr, ch)
		}
	}
	select {
	case v.(chan quorum.Message) <- m:
	default:
	}
}

// drainOutbox sends the messages queued for addr in batches, one call at a time.
func (a *Agent) drainOutbox(addr string, ch chan quorum.Message) {
	const maxMessages = 64
	for {
		var list []quorum.Message
		select {
		case m := <-ch:
			list = append(list, m)
		case <-a.stopped:
			return
		}
		for len(list) < maxMessages && len(ch) > 0 {
			list = append(list, <-ch)
		}
		bytes := dataBytes(list)
		ctx, cancel := context.WithTimeout(context.Background(), a.timing.send(bytes))
		q := logMessages{Address: a.opt.Peer, List: list}
		if _, err := peer.Call[empty](ctx, a.opt.Transport, addr, methodLog, q); err != nil {
			klog.InfoS("Failed to send log messages", "peer", addr, "messages", len(list), "bytes", bytes, "queued", len(ch), "err", err)
		}
		cancel()
	}
}

// dataBytes returns the bytes of the entries and snapshots in list.
func dataBytes(list []quorum.Message) (n int) {
	for _, m := range list {
		if m.Snapshot != nil {
			n += len(m.Snapshot.Data)
		}
		for _, e := range m.Entries {
			n += len(e.Data)
		}
	}
	return n
}

func (a *Agent) onFeed(ctx context.Context, _ id.VM, q feedRequest) (feedAnswer, error) {
	if a.feed.Index() == 0 {
		return feedAnswer{}, errors.New("this VM has no state yet")
	}
	timer := time.NewTimer(a.timing.feedWait())
	defer timer.Stop()
	for {
		changed := a.feed.nextChange()
		r, err := a.feed.after(q)
		if err != nil || !r.isEmpty() {
			return r, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return feedAnswer{}, nil
		case <-ctx.Done():
			return feedAnswer{}, ctx.Err()
		}
	}
}

func (a *Agent) onPropose(ctx context.Context, _ id.VM, q proposal) (proposalAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := a.propose(ctx, q)
	switch {
	case errors.Is(err, ErrNoQuorum):
		return proposalAnswer{NoQuorum: true}, nil
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return proposalAnswer{Lost: true}, nil
	}
	return proposalAnswer{Result: r}, err
}

func (a *Agent) onEnroll(ctx context.Context, from id.VM, q enrollment) (empty, error) {
	if nodeVM(q.Node) != from && !(q.Hops > 0 && a.isLogMember(from)) {
		return empty{}, errors.Errorf("enrolment of %s from %s", q.Node, from)
	}
	a.learnedAddresses.Store(q.Node, q.Address)
	return empty{}, a.addLearner(ctx, q)
}

// isLogMember reports whether a disk of vm is a member of the log. Such a VM may forward enrollments that it has
// authenticated.
func (a *Agent) isLogMember(vm id.VM) bool {
	s, ok := a.Status()
	if !ok {
		return false
	}
	if _, ok := nodeOfVM(s.Members.Voters, vm); ok {
		return true
	}
	_, ok = nodeOfVM(s.Members.Learners, vm)
	return ok
}

// addLearner adds a disk to the log as a learner if this VM is the leader. Otherwise it forwards the request, but only
// once.
func (a *Agent) addLearner(ctx context.Context, q enrollment) error {
	if a.replica != nil && a.replica.Status().Leading {
		return a.proposeLearner(ctx, q.Node)
	}
	addr, ok := a.nextHop()
	if !ok || q.Hops >= maxHops {
		return ErrNoQuorum
	}
	if q.Hops == 0 {
		return a.forwardEnrollment(ctx, addr, q)
	}
	return ErrNoQuorum
}

// enrollPollInterval is the time between two tries to add a learner while another change of the members is in progress.
const enrollPollInterval = 20 * time.Millisecond

// proposeLearner commits n as a learner. It waits for its turn while another change is in progress, as several VMs may enroll at once.
func (a *Agent) proposeLearner(ctx context.Context, n quorum.Node) error {
	for {
		_, err := a.replica.ChangeMembers(ctx, func(s replica.Status) (quorum.Members, bool) {
			return withLearner(s.Members, n), !s.Members.Contains(n)
		})
		if !errors.Is(err, quorum.ErrBusy) || !pause.For(ctx, enrollPollInterval) {
			return err
		}
	}
}

// withLearner returns m with n added as a learner. It replaces an earlier learner of the same VM, whose disk is gone.
func withLearner(m quorum.Members, n quorum.Node) quorum.Members {
	if old, ok := nodeOfVM(m.Learners, nodeVM(n)); ok {
		m = m.Without(old)
	}
	return m.With(n, false)
}

// forwardEnrollment forwards an enrollment that this VM has authenticated.
func (a *Agent) forwardEnrollment(ctx context.Context, addr string, q enrollment) error {
	q.Hops++
	_, err := peer.Call[empty](ctx, a.opt.Transport, addr, methodEnroll, q)
	return err
}

func (a *Agent) onWithdraw(_ context.Context, from id.VM, q withdrawal) (empty, error) {
	a.withdrawLocally(q.Keys)
	klog.InfoS("Keys withdrawn by peer message", "peer", from, "keys", q.Keys)
	return empty{}, nil
}

// withdrawLocally adds keys to the withdrawn keys of this VM.
func (a *Agent) withdrawLocally(keys []id.Key) {
	a.withdrawn.Update(func(old map[id.Key]bool) map[id.Key]bool {
		n := maps.Clone(old)
		if n == nil {
			n = map[id.Key]bool{}
		}
		for _, k := range keys {
			n[k] = true
		}
		return n
	})
}

// WithdrawKey makes this VM and every reachable VM reject keys at once, and returns the VMs that did not answer. The set
// of withdrawn keys only grows, so messages may arrive in any order and more than once.
func (a *Agent) WithdrawKey(ctx context.Context, keys ...id.Key) []id.VM {
	a.withdrawLocally(keys)
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	type reply struct {
		vm  id.VM
		err error
	}
	members := a.feed.Members()
	ch := make(chan reply, len(members))
	n := 0
	for vm, m := range members {
		if vm == a.opt.VM {
			continue
		}
		n++
		go func() {
			_, err := peer.Call[empty](ctx, a.opt.Transport, m.Peer, methodWithdraw, withdrawal{Keys: keys})
			ch <- reply{vm, err}
		}()
	}
	var unreached []id.VM
	for range n {
		if r := <-ch; r.err != nil {
			unreached = append(unreached, r.vm)
		}
	}
	return unreached
}

// AwaitApplied waits up to wait until every VM has applied revision r, and reports the VMs that have not.
func (a *Agent) AwaitApplied(ctx context.Context, r id.Revision, wait time.Duration) (RevisionStatus, error) {
	return a.awaitRevision(ctx, revisionRequest{Revision: r, Wait: wait})
}

// AwaitAppliedOrStopped waits up to wait until every VM either has applied revision r or has been silent so long that
// it stops serving within Timing.ApplyBound. It reports the VMs for which neither is true.
func (a *Agent) AwaitAppliedOrStopped(ctx context.Context, r id.Revision, wait time.Duration) (RevisionStatus, error) {
	return a.awaitRevision(ctx, revisionRequest{Revision: r, Wait: wait, Bounded: true})
}

// awaitRevision answers q if this VM is the leader and forwards it towards the leader otherwise.
func (a *Agent) awaitRevision(ctx context.Context, q revisionRequest) (RevisionStatus, error) {
	if a.Leading(clock.SinceBoot()) {
		return a.leader.awaitRevision(ctx, q), nil
	}
	addr, ok := a.nextHop()
	if !ok || q.Hops >= maxHops {
		return RevisionStatus{}, ErrNoQuorum
	}
	q.Hops++
	ctx, cancel := context.WithTimeout(ctx, q.Wait+a.timing.call())
	defer cancel()
	return peer.Call[RevisionStatus](ctx, a.opt.Transport, addr, methodAwaitRevision, q)
}

// Draw requests tokens of customer c from the leader beyond this VM's share, and reports whether they were granted.
func (a *Agent) Draw(ctx context.Context, c id.Customer, tokens float64) bool {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := a.draw(ctx, drawRequest{Customer: c, Tokens: tokens})
	if err != nil {
		a.drawFailedAt.Store(int64(clock.SinceBoot()))
	} else {
		a.drawFailedAt.Store(0)
	}
	return err == nil && r.Granted
}

// Leaderless reports whether the latest draw failed to reach a leader and that was less than a VM lease before now.
func (a *Agent) Leaderless(now time.Duration) bool {
	failedAt := time.Duration(a.drawFailedAt.Load())
	return failedAt > 0 && now-failedAt < a.timing.Lease
}

// draw grants q if this VM is the leader and forwards it towards the leader otherwise.
func (a *Agent) draw(ctx context.Context, q drawRequest) (drawAnswer, error) {
	if now := clock.SinceBoot(); a.Leading(now) {
		return drawAnswer{Granted: a.leader.draw(now, q)}, nil
	}
	addr, ok := a.nextHop()
	if !ok || q.Hops >= maxHops {
		return drawAnswer{}, ErrNoQuorum
	}
	q.Hops++
	return peer.Call[drawAnswer](ctx, a.opt.Transport, addr, methodDraw, q)
}

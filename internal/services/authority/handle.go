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
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
)

// register answers the calls of other VMs.
func (a *Authority) register(t *peer.Transport) {
	peer.Handle(t, methodLog, a.onLog)
	peer.Handle(t, methodFeed, a.onFeed)
	peer.Handle(t, methodWho, a.onWho)
	peer.Handle(t, methodPropose, a.onPropose)
	peer.Handle(t, methodReport, func(ctx context.Context, _ id.VM, q reports) (grants, error) { return a.gather(ctx, q) })
	peer.Handle(t, methodEnroll, a.onEnroll)
	peer.Handle(t, methodForce, func(ctx context.Context, _ id.VM, q forceRequest) (Force, error) { return a.force(ctx, q) })
	peer.Handle(t, methodWithdraw, a.onWithdraw)
	peer.Handle(t, methodReports, func(ctx context.Context, _ id.VM, _ empty) ([]usage.Report, error) { return a.Reports(ctx) })
	peer.Handle(t, methodDraw, func(ctx context.Context, _ id.VM, q drawRequest) (drawAnswer, error) { return a.draw(ctx, q) })
	peer.Handle(t, methodApplied, func(context.Context, id.VM, empty) (freshAnswer, error) {
		return freshAnswer{Index: a.feed.Index()}, nil
	})
	peer.Handle(t, methodFresh, func(ctx context.Context, _ id.VM, q freshRequest) (freshAnswer, error) {
		i, err := a.fresh(ctx, q)
		return freshAnswer{Index: i}, err
	})
}

func (a *Authority) onLog(_ context.Context, from id.VM, q logMessages) (empty, error) {
	if a.replica == nil {
		return empty{}, errors.New("this VM has no log")
	}
	for _, m := range q.List {
		if nodeVM(m.From) != from {
			return empty{}, errors.Errorf("message of %s from %s", m.From, from)
		}
		a.addresses.Store(m.From, q.Address)
		a.replica.Step(m)
	}
	return empty{}, nil
}

// sendLog queues a message of the log; it is dropped where the queue is full.
func (a *Authority) sendLog(m quorum.Message) {
	to, ok := a.address(m.To)
	if !ok {
		return
	}
	v, known := a.outboxes.Load(to)
	if !known {
		ch := make(chan quorum.Message, outboxLength)
		if v, known = a.outboxes.LoadOrStore(to, ch); !known {
			go a.drainOutbox(to, ch)
		}
	}
	select {
	case v.(chan quorum.Message) <- m:
	default:
	}
}

// drainOutbox sends what has queued up for one address in one call after the other.
func (a *Authority) drainOutbox(to string, ch chan quorum.Message) {
	const most = 64
	for {
		var list []quorum.Message
		select {
		case m := <-ch:
			list = append(list, m)
		case <-a.stopped:
			return
		}
		for len(list) < most && len(ch) > 0 {
			list = append(list, <-ch)
		}
		ctx, cancel := context.WithTimeout(context.Background(), a.timing.call())
		q := logMessages{Address: a.opt.Peer, List: list}
		if _, err := peer.Call[empty](ctx, a.opt.Transport, to, methodLog, q); err != nil {
			klog.V(2).InfoS("Log messages lost", "peer", to, "err", err)
		}
		cancel()
	}
}

func (a *Authority) onFeed(ctx context.Context, _ id.VM, q feedRequest) (feedAnswer, error) {
	if a.feed.Index() == 0 {
		return feedAnswer{}, errors.New("this VM has no state yet")
	}
	timer := time.NewTimer(a.timing.feedWait())
	defer timer.Stop()
	for {
		changed := a.feed.wait()
		r, err := a.feed.after(q.After)
		if err != nil || !r.none() {
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

func (a *Authority) onPropose(ctx context.Context, _ id.VM, q proposal) (proposalAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeWait)
	defer cancel()
	r, err := a.propose(ctx, q)
	switch {
	case errors.Is(err, ErrNoQuorum):
		return proposalAnswer{NoQuorum: true}, nil
	case errors.Is(err, replica.ErrLost):
		return proposalAnswer{Lost: true}, nil
	}
	return proposalAnswer{Result: r}, err
}

func (a *Authority) onEnroll(ctx context.Context, from id.VM, q enrollment) (empty, error) {
	if nodeVM(q.Node) != from && !(q.Hops > 0 && a.inLog(from)) {
		return empty{}, errors.Errorf("enrolment of %s from %s", q.Node, from)
	}
	a.addresses.Store(q.Node, q.Address)
	return empty{}, a.enrol(ctx, q)
}

// inLog reports whether a disk of vm is a member of the log here: such a VM may pass on what it has authenticated.
func (a *Authority) inLog(vm id.VM) bool {
	s, ok := a.Status()
	if !ok {
		return false
	}
	if _, ok := sameVM(s.Members.Voters, vm); ok {
		return true
	}
	_, ok = sameVM(s.Members.Learners, vm)
	return ok
}

// enrol adds a disk to the log as a learner, where this VM leads, else passes the request on.
func (a *Authority) enrol(ctx context.Context, q enrollment) error {
	if a.replica != nil && a.replica.Status().Leading {
		s := a.replica.Status()
		if s.Members.Has(q.Node) {
			return nil
		}
		return a.replica.ProposeMembers(ctx, enlisted(s.Members, q.Node))
	}
	to, ok := a.upstream()
	if !ok || q.Hops >= maxHops {
		return ErrNoQuorum
	}
	if q.Hops == 0 {
		return a.enrolAt(ctx, to, q)
	}
	return ErrNoQuorum
}

// enlisted returns m with n as a learner in the place of an earlier learner of the same VM, whose disk is gone.
func enlisted(m quorum.Members, n quorum.Node) quorum.Members {
	if old, ok := sameVM(m.Learners, nodeVM(n)); ok {
		m = m.Without(old)
	}
	return m.With(n, false)
}

// enrolAt passes on an enrolment that this VM has authenticated.
func (a *Authority) enrolAt(ctx context.Context, to string, q enrollment) error {
	q.Hops++
	_, err := peer.Call[empty](ctx, a.opt.Transport, to, methodEnroll, q)
	return err
}

func (a *Authority) onWithdraw(_ context.Context, from id.VM, q withdrawal) (empty, error) {
	a.withdrawHere(q.Keys)
	klog.InfoS("Keys withdrawn ahead of the log", "peer", from, "keys", q.Keys)
	return empty{}, nil
}

func (a *Authority) withdrawHere(keys []id.Key) {
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

// Withdraw stops keys on this VM at once and on every other VM that can be reached; it returns the VMs that did not
// answer. The set only grows, so messages may arrive in any order and more than once.
func (a *Authority) Withdraw(ctx context.Context, keys ...id.Key) []id.VM {
	a.withdrawHere(keys)
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
	var missed []id.VM
	for range n {
		if r := <-ch; r.err != nil {
			missed = append(missed, r.vm)
		}
	}
	return missed
}

// InForce waits up to wait for every VM to have applied revision r and returns those that have not.
func (a *Authority) InForce(ctx context.Context, r id.Revision, wait time.Duration) (Force, error) {
	return a.force(ctx, forceRequest{Revision: r, Wait: wait})
}

// Confirmed waits up to wait until every VM has applied revision r, or has been silent for so long that it stops serving
// before the bound for changes is over. It returns the VMs that neither holds for.
func (a *Authority) Confirmed(ctx context.Context, r id.Revision, wait time.Duration) (Force, error) {
	return a.force(ctx, forceRequest{Revision: r, Wait: wait, Bounded: true})
}

func (a *Authority) force(ctx context.Context, q forceRequest) (Force, error) {
	if a.Leading(clock.Boot()) {
		return a.leader.force(ctx, q), nil
	}
	to, ok := a.upstream()
	if !ok || q.Hops >= maxHops {
		return Force{}, ErrNoQuorum
	}
	q.Hops++
	ctx, cancel := context.WithTimeout(ctx, q.Wait+a.timing.call())
	defer cancel()
	return peer.Call[Force](ctx, a.opt.Transport, to, methodForce, q)
}

// Draw asks the leader for tokens of c beyond this VM's share.
func (a *Authority) Draw(ctx context.Context, c id.Customer, tokens float64) bool {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := a.draw(ctx, drawRequest{Customer: c, Tokens: tokens})
	if err != nil {
		a.undrawn.Store(int64(clock.Boot()))
	} else {
		a.undrawn.Store(0)
	}
	return err == nil && r.Granted
}

// Alone reports whether the latest draw, not long before now, reached no leader.
func (a *Authority) Alone(now time.Duration) bool {
	at := time.Duration(a.undrawn.Load())
	return at > 0 && now-at < a.timing.Lease
}

func (a *Authority) draw(ctx context.Context, q drawRequest) (drawAnswer, error) {
	if now := clock.Boot(); a.Leading(now) {
		return drawAnswer{Granted: a.leader.draw(now, q)}, nil
	}
	to, ok := a.upstream()
	if !ok || q.Hops >= maxHops {
		return drawAnswer{}, ErrNoQuorum
	}
	q.Hops++
	return peer.Call[drawAnswer](ctx, a.opt.Transport, to, methodDraw, q)
}

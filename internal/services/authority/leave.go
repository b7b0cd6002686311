package authority

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
)

// votePollInterval is the time between two looks at whether a vote can be handed over.
const votePollInterval = 20 * time.Millisecond

// markLeaving counts a call that waits for the hand-over of n.
func (v *voters) markLeaving(n quorum.Node, calls int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[n] += calls; v.leaving[n] == 0 {
		delete(v.leaving, n)
	}
}

// handOver replaces n, whose process is about to end, by a member that stands by. It waits until that is committed, ctx ends, or no member
// stands by, and reports whether n is a member no more.
func (v *voters) handOver(ctx context.Context, n quorum.Node) (bool, error) {
	v.markLeaving(n, 1)
	defer v.markLeaving(n, -1)
	for {
		d, err := v.adjust(ctx)
		switch {
		case errors.Is(err, quorum.ErrNotLeader):
			return false, ErrNoQuorum
		case err == nil && !d.members.Contains(n):
			return true, nil
		case err == nil && !d.mayRelease:
			return false, nil
		}
		if !pause.For(ctx, votePollInterval) {
			return false, errors.Annotatef(ctx.Err(), "hand over the vote of %s", n)
		}
	}
}

// handOver asks the leader to replace a member of the log whose process is about to end.
type handOver struct {
	Node quorum.Node `cbor:"1,keyasint"`
}

// handOverAnswer says whether the member has been replaced. If not, no other one stands by.
type handOverAnswer struct {
	Done bool `cbor:"1,keyasint"`
}

func (a *Agent) onHandOver(ctx context.Context, from id.VM, q handOver) (handOverAnswer, error) {
	if nodeVM(q.Node) != from {
		return handOverAnswer{}, errors.Errorf("hand-over of %s from %s", q.Node, from)
	}
	if a.replica == nil {
		return handOverAnswer{}, errors.New("this VM has no log")
	}
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	done, err := a.voters.handOver(ctx, q.Node)
	return handOverAnswer{Done: done}, err
}

// leaveLog transfers leadership if this VM leads, and has another member take over this VM's vote, if one stands by, so that the log bears the
// next loss as soon as this process has ended.
func (a *Agent) leaveLog(ctx context.Context) {
	for ctx.Err() == nil {
		s := a.replica.Status()
		switch addr, ok := a.nextHop(); {
		case s.Leading && len(s.Members.Voters) == 1:
			return
		case s.Leading:
			a.transferLeadership(ctx)
			continue
		case ok && s.Leader != "":
			if a.requestHandOver(ctx, addr) {
				return
			}
		case !s.Members.IsVoter(a.node):
			return
		}
		pause.For(ctx, votePollInterval)
	}
	klog.InfoS("Vote not handed over in time", "node", a.node)
}

// transferLeadership transfers leadership, to a VM that does not leave itself if there is a choice, and waits until this VM no longer leads.
func (a *Agent) transferLeadership(ctx context.Context) {
	members, avoid := a.feed.Members(), map[quorum.Node]bool{}
	for _, n := range a.replica.Status().Members.Voters {
		if _, ok := members[nodeVM(n)]; !ok {
			avoid[n] = true
		}
	}
	a.replica.Transfer(ctx, avoid)
	for a.replica.Status().Leading && pause.For(ctx, votePollInterval) {
	}
}

// requestHandOver asks the leader at addr to have another member take over this VM's vote, and reports whether that is settled.
func (a *Agent) requestHandOver(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := peer.Call[handOverAnswer](ctx, a.opt.Transport, addr, methodHandOver, handOver{Node: a.node})
	if err != nil {
		klog.V(1).InfoS("Vote not handed over", "node", a.node, "peer", addr, "err", err)
		return isUnknownMethod(err)
	}
	klog.InfoS("Left the log", "node", a.node, "replaced", r.Done, "peer", addr)
	return true
}

// isUnknownMethod reports whether err comes from a VM of an earlier version, which does not serve the method.
func isUnknownMethod(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && strings.HasPrefix(remote.Message, "unknown method")
}

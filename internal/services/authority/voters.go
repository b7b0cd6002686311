package authority

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/services/voter"
)

// voters changes the voters of the log while this VM leads it.
type voters struct {
	a       *Agent
	rules   voter.Rules
	watch   voter.Watch  // used only on the replica's goroutine
	changes atomic.Int64 // committed by this VM
	spare   atomic.Int64 // voters that the log can still lose

	mu      sync.Mutex
	leaving map[quorum.Node]int // number of calls that wait for the hand-over
}

func newVoters(a *Agent) *voters {
	return &voters{
		a: a, leaving: map[quorum.Node]int{},
		rules: voter.Rules{Count: a.opt.Voters, Silence: a.timing.ReplaceVoterAfter},
	}
}

func (v *voters) run(ctx context.Context) {
	pause.Every(ctx, dutyInterval, func() {
		call, cancel := context.WithTimeout(ctx, v.a.timing.call())
		defer cancel()
		if _, err := v.adjust(call); err != nil && !errors.Is(err, quorum.ErrNotLeader) {
			klog.V(1).InfoS("Voters not adjusted", "err", err)
		}
	})
}

// decision is the outcome of one look at the members.
type decision struct {
	members    quorum.Members
	next       voter.Change // unless none is due
	mayRelease bool         // see voter.Rules
}

// adjust makes the changes that are due, one after the other, and returns the decision that none is.
func (v *voters) adjust(ctx context.Context) (decision, error) {
	for {
		made := make(chan decision, 1)
		changed, err := v.a.replica.ChangeMembers(ctx, func(s replica.Status) (quorum.Members, bool) {
			v.watch.Observe(s.Term, s.Answered, s.Peers)
			view := v.view(s)
			v.spare.Store(int64(v.rules.Spare(view)))
			next, due := v.rules.Next(view)
			made <- decision{members: s.Members, next: next, mayRelease: v.rules.MayRelease(view)}
			return next.Members, due
		})
		if err != nil {
			return decision{}, err
		}
		d := <-made
		if !changed {
			return d, nil
		}
		v.changes.Add(1)
		klog.InfoS("Member of the log changed", "node", d.next.Node, "promoted", d.next.Promoted, "cause", d.next.Cause,
			"silence", d.next.Silence.Round(time.Millisecond), "voters", d.next.Members.Voters, "learners", d.next.Members.Learners)
	}
}

// view returns what is known of the members.
func (v *voters) view(s replica.Status) voter.View {
	view := voter.View{
		Self: s.Self, Members: s.Members, Commit: s.Commit, Peers: s.Peers, Watch: &v.watch,
		Leaving: map[quorum.Node]bool{}, Former: map[quorum.Node]quorum.Node{},
	}
	for _, n := range s.Members.Learners {
		if old, ok := nodeOfVM(s.Members.Voters, nodeVM(n)); ok {
			view.Former[n] = old
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for n := range v.leaving {
		view.Leaving[n] = true
	}
	return view
}

// nodeOfVM returns the node of vm in list.
func nodeOfVM(list []quorum.Node, vm id.VM) (quorum.Node, bool) {
	for _, x := range list {
		if nodeVM(x) == vm {
			return x, true
		}
	}
	return "", false
}

// Voters returns how many changes of the log's members this VM has committed, and how many further voters the log can lose; ok is false
// unless this VM leads.
func (a *Agent) Voters(now time.Duration) (changes, spare int64, ok bool) {
	if a.replica == nil {
		return 0, 0, false
	}
	return a.voters.changes.Load(), a.voters.spare.Load(), a.Leading(now)
}

package authority

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

// probeStagger is the time between two probes, so that a preferred VM that is well answers before the next one is asked.
const probeStagger = 100 * time.Millisecond

// reachable returns the candidates in the order in which to try them: the first VM that answers, and then the others as they were. It is
// empty if none answers. A VM may have many addresses that are gone, from the member list or an old settings file; trying one after the
// other would take a dial timeout for each.
func (a *Agent) reachable(ctx context.Context, candidates []string) []string {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	list := firstToAnswer(ctx, candidates, func(ctx context.Context, addr string) (id.Index, error) {
		r, err := peer.Call[indexAnswer](ctx, a.opt.Transport, addr, methodAppliedIndex, empty{})
		return id.Index(r.Index), err
	})
	if len(list) == 0 && len(candidates) > 0 {
		klog.V(1).InfoS("No VM answers", "asked", candidates)
	}
	return list
}

// firstToAnswer probes the candidates in turn, probeStagger apart, until one answers that has a state, and returns it before the others. If
// all have been probed and none has a state, it returns one that answered.
func firstToAnswer(ctx context.Context, candidates []string, probe func(ctx context.Context, addr string) (id.Index, error)) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		place int
		index id.Index
		err   error
	}
	answers := make(chan answer, len(candidates))
	go func() {
		for i, addr := range candidates {
			if i > 0 && !pause.For(ctx, probeStagger) {
				answers <- answer{place: i, err: ctx.Err()}
				continue
			}
			go func() {
				index, err := probe(ctx, addr)
				answers <- answer{place: i, index: index, err: err}
			}()
		}
	}()
	found := -1
	for range candidates {
		r := <-answers
		if r.err == nil && (found < 0 || r.index > 0) {
			found = r.place
		}
		if r.err == nil && r.index > 0 {
			break
		}
	}
	if found < 0 {
		return nil
	}
	list := append([]string{candidates[found]}, candidates[:found]...)
	return append(list, candidates[found+1:]...)
}

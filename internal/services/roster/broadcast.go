package roster

import (
	"context"
	"time"

	"wagtaillift/internal/modules/pause"
)

// batchDelay is how long a round waits for further callers: upstreams of a data centre are often removed many at a time.
const batchDelay = 10 * time.Millisecond

// broadcastRound is one broadcast to every VM, shared by all callers that wait for it.
type broadcastRound struct {
	done       chan struct{}
	replicated bool // another control VM has the update, or there is no other
}

// BroadcastAndWait sends the pending changes to every VM, in a large fleet to every control VM, and waits until all have answered or
// wait has passed. It returns false if no other control VM has the changes: they would be lost if this VM failed.
func (g *Gossip) BroadcastAndWait(ctx context.Context, wait time.Duration) bool {
	g.mu.Lock()
	r := g.nextRound
	if r == nil {
		r = &broadcastRound{done: make(chan struct{})}
		g.nextRound = r
		go g.runRound(context.WithoutCancel(ctx), r, wait)
	}
	g.mu.Unlock()
	select {
	case <-r.done:
		return r.replicated
	case <-ctx.Done():
		return false
	}
}

// runRound waits for further callers, then sends the broadcast of r.
func (g *Gossip) runRound(ctx context.Context, r *broadcastRound, wait time.Duration) {
	defer close(r.done)
	pause.For(ctx, batchDelay)
	g.mu.Lock()
	g.nextRound = nil
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r.replicated = g.sendToAll(ctx)
}

// sendToAll sends the pending changes to every VM and waits for the answers. It reports whether another control VM has
// them or there is no other control VM.
func (g *Gossip) sendToAll(ctx context.Context) bool {
	v := g.pendingUpdate()
	type reply struct {
		control, ok bool
	}
	g.passOn(v)
	receivers := g.receivers()
	ch := make(chan reply, len(receivers))
	otherControlVMs := 0
	for _, m := range receivers {
		if m.Control {
			otherControlVMs++
		}
		go func() {
			err := g.send(ctx, m.Peer, v)
			ch <- reply{m.Control, err == nil}
		}()
	}
	replicated := otherControlVMs == 0
	for range receivers {
		r := <-ch
		replicated = replicated || r.control && r.ok
	}
	return replicated
}

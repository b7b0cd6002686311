package roster

import (
	"context"
	"time"

	"wagtaillift/internal/modules/pause"
)

// gatherFor is how long a round waits for others to join: the upstreams of a data centre are taken away together.
const gatherFor = 10 * time.Millisecond

// round is one message to every VM for all that wait for it.
type round struct {
	done chan struct{}
	kept bool // another control VM knows, or there is none
}

// Spread tells every VM what has changed and waits until all know or wait is over. It returns false where no other control VM
// knows: what this VM heard would be lost with it.
func (g *Gossip) Spread(ctx context.Context, wait time.Duration) bool {
	g.mu.Lock()
	r := g.next
	if r == nil {
		r = &round{done: make(chan struct{})}
		g.next = r
		go g.spread(context.WithoutCancel(ctx), r, wait)
	}
	g.mu.Unlock()
	select {
	case <-r.done:
		return r.kept
	case <-ctx.Done():
		return false
	}
}

// spread makes the round r.
func (g *Gossip) spread(ctx context.Context, r *round, wait time.Duration) {
	defer close(r.done)
	pause.For(ctx, gatherFor)
	g.mu.Lock()
	g.next = nil
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r.kept = g.tellAll(ctx)
}

// tellAll tells every VM what has changed and waits for the answers. It returns whether another control VM knows, or there is none.
func (g *Gossip) tellAll(ctx context.Context) bool {
	v := g.changes()
	type reply struct {
		control, ok bool
	}
	members := g.Members()
	ch := make(chan reply, len(members))
	n, others := 0, 0
	for vm, m := range members {
		if vm == g.VM {
			continue
		}
		n++
		if m.Control {
			others++
		}
		go func() {
			err := g.tell(ctx, m.Peer, v)
			ch <- reply{m.Control, err == nil}
		}()
	}
	kept := others == 0
	for range n {
		r := <-ch
		kept = kept || r.control && r.ok
	}
	return kept
}

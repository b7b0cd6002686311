package roster

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

const (
	methodPass       = "pass"
	maxDirectVMs     = 32                     // entry VMs up to which a control VM sends its changes to each of them
	passInterval     = 100 * time.Millisecond // between messages to one VM, each with all that has changed
	maxPassedUpdates = 256                    // updates kept for the next message; VMs fetch what is beyond them
)

// outbox holds updates that a control VM passes on to the VMs next to it, so that an update crosses to another data centre once and not once
// for each VM there. The zero value is empty.
type outbox struct {
	mu   sync.Mutex
	list []ListUpdate
}

func (o *outbox) add(v ListUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) < maxPassedUpdates {
		o.list = append(o.list, v)
	}
}

func (o *outbox) take() []ListUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.list
	o.list = nil
	return list
}

// passes reports whether control VMs pass updates on.
func (g *Gossip) passes(members map[id.VM]state.Member) bool {
	return g.MultiZone && state.CountEntryVMs(members) > maxDirectVMs
}

// receivers returns the VMs to which this one sends changes of its own list: all that use the list, but in a large fleet only the control VMs.
func (g *Gossip) receivers() []state.Member {
	members := g.Members()
	passes := g.passes(members)
	var list []state.Member
	for vm, m := range members {
		if vm != g.VM && (m.Control || !passes) && (g.MultiZone || m.Zone == g.Zone) {
			list = append(list, m)
		}
	}
	return list
}

// passOn keeps v, an own change or one from another control VM, for the VMs next to this one.
func (g *Gossip) passOn(v ListUpdate) {
	members := g.Members()
	if members[g.VM].Control && g.passes(members) && (v.Full || v.Since > 0) {
		g.outbox.add(v)
	}
}

// runOutbox sends what was kept, once in passInterval, until ctx ends.
func (g *Gossip) runOutbox(ctx context.Context) {
	pause.Every(ctx, passInterval, func() {
		list := g.outbox.take()
		if len(list) == 0 {
			return
		}
		for _, m := range g.followers() {
			go g.pass(ctx, m, list)
		}
	})
}

func (g *Gossip) pass(ctx context.Context, m state.Member, list []ListUpdate) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := peer.Call[struct{}](ctx, g.Transport, m.Peer, methodPass, list); err != nil {
		klog.V(2).InfoS("Failed to pass roster updates on", "peer", m.Peer, "err", err)
	}
}

// followers returns the entry VMs whose nearest control VM is this one: those that refresh their lists with it.
func (g *Gossip) followers() []state.Member {
	members := g.Members()
	controls := state.ControlVMs(members)
	var list []state.Member
	for vm, m := range members {
		if !m.Control && state.SortByProximity(controls, vm, m.Zone)[0].VM == g.VM {
			list = append(list, m)
		}
	}
	return list
}

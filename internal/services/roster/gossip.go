package roster

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

const (
	methodVouch = "vouch"
	vouchEvery  = 500 * time.Millisecond
	expireEvery = 100 * time.Millisecond
	callTimeout = time.Second
)

// vouchAnswer says whether the full list is needed.
type vouchAnswer struct {
	Lacking bool `cbor:"1,keyasint,omitempty"`
}

// Gossip exchanges the rosters of the VMs of one data centre. A message without a list says that nothing changed.
type Gossip struct {
	Roster    *Roster
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	VM        id.VM
	Zone      id.Zone
	wake      chan struct{}
}

// Register answers the other VMs. It comes before the transport serves.
func (g *Gossip) Register() {
	g.wake = make(chan struct{}, 1)
	peer.Handle(g.Transport, methodVouch, func(_ context.Context, from id.VM, v Vouch) (vouchAnswer, error) {
		if v.VM != from {
			return vouchAnswer{}, nil
		}
		return vouchAnswer{Lacking: !g.Roster.Hear(clock.Boot(), v)}, nil
	})
}

// Changed makes the next message leave at once.
func (g *Gossip) Changed() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends and expires until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	vouch := time.NewTicker(vouchEvery)
	defer vouch.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			g.Roster.Expire(clock.Boot())
			continue
		case <-vouch.C:
		case <-g.wake:
		}
		g.send(ctx)
	}
}

func (g *Gossip) send(ctx context.Context) {
	for vm, m := range g.Members() {
		if vm != g.VM && m.Zone == g.Zone {
			go g.sendTo(ctx, m.Peer)
		}
	}
}

func (g *Gossip) sendTo(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, g.Roster.Vouch(false))
	if err == nil && r.Lacking {
		_, err = peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, g.Roster.Vouch(true))
	}
	if err != nil {
		klog.V(2).InfoS("Roster not sent", "peer", to, "err", err)
	}
}

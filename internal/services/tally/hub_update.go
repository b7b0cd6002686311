package tally

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

// hubVMs is how many VMs one hub serves. Where there are more, each control VM is a hub for those that pick it, and hubs tell
// each other: one exchange costs a hub 0.06 ms and 3 to 5 KB at 140 upstreams, ten times a second for each VM.
const hubVMs = 16

// share is what a hub tells another: the work of its own VMs.
type share struct {
	Epoch  uint64               `cbor:"1,keyasint"`
	Loads  []Load               `cbor:"2,keyasint,omitempty"`
	Placed []Placed             `cbor:"3,keyasint,omitempty"`
	Asked  map[id.Service]int64 `cbor:"4,keyasint,omitempty"` // prompt tokens asked for since the hub's start
}

// share returns what to is to know at now, and up to which placement that is.
func (h *hub) share(now time.Duration, to id.VM) (share, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	s := share{Epoch: h.epoch, Loads: h.local(), Asked: maps.Clone(h.asked)}
	for _, r := range h.since(h.other(to).told) {
		if !r.hub {
			s.Placed = append(s.Placed, r.Placed)
		}
	}
	return s, h.next
}

// local adds up the work of this hub's own VMs.
func (h *hub) local() []Load {
	sum := total{}
	for _, x := range h.heard {
		if !x.hub {
			sum.add(x.loads, 1)
		}
	}
	return slices.Collect(maps.Values(sum))
}

// told notes that to has taken the placements up to a number.
func (h *hub) told(to id.VM, upto uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.other(to).told = upto
}

// hear takes what another hub tells.
func (h *hub) hear(now time.Duration, from id.VM, s share) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(from, heard{at: now, loads: s.Loads, hub: true})
	h.keep(from, true, s.Placed)
	o := h.other(from)
	if o.epoch != s.Epoch {
		o.epoch, o.asked = s.Epoch, s.Asked // what an earlier life had counted is not known
		return
	}
	var news []Asked
	for n, v := range s.Asked {
		news = append(news, Asked{Service: n, Tokens: max(0, v-o.asked[n])})
	}
	o.asked = s.Asked
	h.ask(now, news)
}

func (h *hub) other(vm id.VM) *other {
	if h.hubs == nil {
		h.hubs = map[id.VM]*other{}
	}
	o, ok := h.hubs[vm]
	if !ok {
		o = &other{}
		h.hubs[vm] = o
	}
	return o
}

// spread reports whether every control VM is a hub.
func spread(members map[id.VM]state.Member) bool { return state.Entries(members) > hubVMs }

// hubsFor returns the control VMs in the order in which vm tries them: all VMs in the same one, or, where hubs share the work, those
// near to it first.
func hubsFor(vm id.VM, members map[id.VM]state.Member) []state.Member {
	list := state.ControlVMs(members)
	if spread(members) {
		list = state.Near(list, vm, members[vm].Zone)
	}
	return list
}

// shareAll tells the other hubs, where this VM is one.
func (e *Exchange) shareAll(ctx context.Context) {
	members := e.Members()
	if !members[e.VM].Control || !spread(members) {
		return
	}
	if e.busy == nil {
		e.busy = map[id.VM]chan struct{}{}
	}
	for _, m := range state.ControlVMs(members) {
		if m.VM == e.VM {
			continue
		}
		if done, ok := e.busy[m.VM]; ok && !closed(done) {
			continue
		}
		done := make(chan struct{})
		e.busy[m.VM] = done
		go func() {
			defer close(done)
			e.shareWith(ctx, m)
		}()
	}
}

func closed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (e *Exchange) shareWith(ctx context.Context, m state.Member) {
	s, upto := e.hub.share(clock.Boot(), m.VM)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := peer.Call[struct{}](ctx, e.Transport, m.Peer, methodShare, s); err != nil {
		klog.V(1).InfoS("Tally not shared", "peer", m.Peer, "err", err)
		return
	}
	e.hub.told(m.VM, upto)
}

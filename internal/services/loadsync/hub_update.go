package loadsync

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
	"wagtaillift/internal/services/pace"
)

// singleHubMaxVMs is the largest number of entry VMs (those that send requests to upstreams) that a single hub serves. In
// a larger fleet every control VM is a hub for the VMs that choose it, and hubs update each other. One exchange costs a
// hub 0.06 ms and 3 to 5 KB at 140 upstreams, ten times a second per VM.
const singleHubMaxVMs = 16

// hubUpdate is sent from one hub to another and covers the work of the sender's own VMs.
type hubUpdate struct {
	Epoch           uint64               `cbor:"1,keyasint"`
	Loads           []Load               `cbor:"2,keyasint,omitempty"`
	Placed          []Placed             `cbor:"3,keyasint,omitempty"`
	RequestedTokens map[id.Service]int64 `cbor:"4,keyasint,omitempty"` // prompt tokens requested since the hub's start
	Limits          []pace.Limit         `cbor:"5,keyasint,omitempty"`
}

// hubUpdate returns the update for the hub named to, and the number of the last placement that it covers.
func (h *hub) hubUpdate(now time.Duration, to id.VM) (hubUpdate, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireReports(now)
	update := hubUpdate{Epoch: h.epoch, Loads: h.localLoads(), RequestedTokens: maps.Clone(h.promptTokens)}
	update.Limits = h.limits.list(now)
	for _, r := range h.placementsAfter(h.peerHub(to).reported) {
		if !r.hub {
			update.Placed = append(update.Placed, r.Placed)
		}
	}
	return update, h.lastPlacement
}

// localLoads sums the loads of this hub's own VMs.
func (h *hub) localLoads() []Load {
	sum := loadsByUpstream{}
	for _, x := range h.report {
		if !x.hub {
			sum.add(x.loads, 1)
		}
	}
	return slices.Collect(maps.Values(sum))
}

// reported records that the placements up to number last have been reported to the hub named to.
func (h *hub) reported(to id.VM, last uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerHub(to).reported = last
}

// applyUpdate stores the update of another hub.
func (h *hub) applyUpdate(now time.Duration, from id.VM, update hubUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReport(from, report{at: now, loads: update.Loads, hub: true})
	h.addPlacements(from, true, update.Placed)
	h.otherLimits = h.otherLimits.merge(now, update.Limits)
	p := h.peerHub(from)
	if p.epoch != update.Epoch {
		p.epoch, p.promptTokens = update.Epoch, update.RequestedTokens // the first update since the hub's start has no earlier counts to compare with
		return
	}
	var added []RequestedTokens
	for n, v := range update.RequestedTokens {
		added = append(added, RequestedTokens{Service: n, Tokens: max(0, v-p.promptTokens[n])})
	}
	p.promptTokens = update.RequestedTokens
	h.countPromptTokens(now, added)
}

func (h *hub) peerHub(vm id.VM) *peerHub {
	if h.peerHubs == nil {
		h.peerHubs = map[id.VM]*peerHub{}
	}
	p, ok := h.peerHubs[vm]
	if !ok {
		p = &peerHub{}
		h.peerHubs[vm] = p
	}
	return p
}

// usesMultipleHubs reports whether every control VM is a hub, instead of only one.
func usesMultipleHubs(members map[id.VM]state.Member) bool {
	return state.CountEntryVMs(members) > singleHubMaxVMs
}

// hubsFor returns the control VMs in the order in which vm tries them as hubs. With a single hub the order is the same
// for all VMs; with multiple hubs the nearest come first.
func hubsFor(vm id.VM, members map[id.VM]state.Member) []state.Member {
	list := state.ControlVMs(members)
	if usesMultipleHubs(members) {
		list = state.SortByProximity(list, vm, members[vm].Zone)
	}
	return list
}

// updateHubs sends updates to the other hubs if this VM is one of multiple hubs. It skips a hub while the previous update
// to it is still running.
func (e *Exchange) updateHubs(ctx context.Context) {
	members := e.Members()
	if !members[e.VM].Control || !usesMultipleHubs(members) {
		return
	}
	if e.updateDone == nil {
		e.updateDone = map[id.VM]chan struct{}{}
	}
	for _, m := range state.ControlVMs(members) {
		if m.VM == e.VM {
			continue
		}
		if done, ok := e.updateDone[m.VM]; ok && !isClosed(done) {
			continue
		}
		done := make(chan struct{})
		e.updateDone[m.VM] = done
		go func() {
			defer close(done)
			e.updateHub(ctx, m)
		}()
	}
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (e *Exchange) updateHub(ctx context.Context, m state.Member) {
	s, last := e.hub.hubUpdate(clock.SinceBoot(), m.VM)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := peer.Call[struct{}](ctx, e.Transport, m.Peer, methodUpdate, s); err != nil {
		klog.V(1).InfoS("Failed to send loads to hub", "peer", m.Peer, "err", err)
		return
	}
	e.hub.reported(m.VM, last)
}

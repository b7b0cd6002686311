package loadsync

import (
	"math"
	"sync"
	"time"

	"wagtaillift/internal/modules/id"
)

// hub sums the loads reported by VMs and distributes their placements. The zero value is an empty hub.
type hub struct {
	mu            sync.Mutex
	epoch         uint64
	report        map[id.VM]report // last report by sender
	totalLoads    loadsByUpstream  // sum over report
	placements    []placement
	lastPlacement uint64 // number of the latest placement; they are numbered from 1
	promptRates   map[id.Service]*rate
	promptTokens  map[id.Service]int64 // total of prompt tokens in requests to this hub's VMs
	peerHubs      map[id.VM]*peerHub
	limits        sharedLimits // reported by this hub's VMs
	otherLimits   sharedLimits // reported by other hubs
}

// peerHub is the state that a hub keeps about another hub.
type peerHub struct {
	reported     uint64 // number of the last placement reported to the other hub
	epoch        uint64
	promptTokens map[id.Service]int64 // totals in its last update
}

// rate is a moving average of an amount per second.
type rate struct {
	value     float64
	updatedAt time.Duration
	startedAt time.Duration
}

// rateTimeConstant is the time constant of rates. It is long compared to a burst of requests and short compared to a
// shift in the mix of requests.
const rateTimeConstant = 3 * time.Second

// add decays the average to now and adds the amount n.
func (r *rate) add(now time.Duration, n float64) {
	if dt := now - r.updatedAt; dt > 0 {
		r.value *= math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
		r.updatedAt = now
	}
	r.value += n / rateTimeConstant.Seconds()
}

// get returns the average at now. Shortly after the start it covers only the time since the start.
func (r *rate) get(now time.Duration) float64 {
	r.add(now, 0)
	if now <= r.startedAt {
		return 0
	}
	return r.value / (1 - math.Exp(-(now-r.startedAt).Seconds()/rateTimeConstant.Seconds()))
}

// totals returns the combined work of all VMs. It omits the rates of services that were first seen within the last
// rateTimeConstant.
func (h *hub) totals(now time.Duration) Totals {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireReports(now)
	t := Totals{Loads: h.loadsExcept(nil), PromptRate: map[id.Service]float64{}}
	for s, r := range h.promptRates {
		if now-r.startedAt > rateTimeConstant {
			t.PromptRate[s] = r.get(now)
		}
	}
	return t
}

// report is the last report of a VM or of another hub.
type report struct {
	at    time.Duration
	loads []Load
	hub   bool // sent by another hub, for all of its VMs
}

// placement is a Placed and the VM or hub that sent it.
type placement struct {
	vm  id.VM
	hub bool // sent by another hub
	Placed
}

// exchange stores the request of a VM and returns the loads of the other VMs and the placements that are new to it.
func (h *hub) exchange(now time.Duration, from id.VM, req exchangeRequest) exchangeResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReport(from, report{at: now, loads: req.Loads})
	h.expireReports(now)
	out := exchangeResponse{Epoch: h.epoch, Loads: h.loadsExcept(req.Loads), Placed: h.placedAfter(from, req)}
	h.addPlacements(from, false, req.Placed)
	h.limits = h.limits.merge(now, req.Limits)
	out.Limits = append(h.limits.list(now), h.otherLimits.list(now)...)
	h.countPromptTokens(now, req.RequestedTokens)
	if h.promptTokens == nil {
		h.promptTokens = map[id.Service]int64{}
	}
	for _, a := range req.RequestedTokens {
		h.promptTokens[a.Service] += a.Tokens
	}
	out.LastPlacement = h.lastPlacement
	return out
}

// addPlacements appends placements and trims the list to at most 2*maxPlacements.
func (h *hub) addPlacements(from id.VM, hub bool, list []Placed) {
	for _, p := range list {
		h.placements = append(h.placements, placement{vm: from, hub: hub, Placed: p})
	}
	h.lastPlacement += uint64(len(list))
	if len(h.placements) > 2*maxPlacements {
		h.placements = append([]placement(nil), h.placements[len(h.placements)-maxPlacements:]...)
	}
}

// countPromptTokens adds requested prompt tokens to the rates.
func (h *hub) countPromptTokens(now time.Duration, list []RequestedTokens) {
	if h.promptRates == nil {
		h.promptRates = map[id.Service]*rate{}
	}
	for _, a := range list {
		r, ok := h.promptRates[a.Service]
		if !ok {
			r = &rate{updatedAt: now, startedAt: now}
			h.promptRates[a.Service] = r
		}
		r.add(now, float64(a.Tokens))
	}
}

// setReport replaces the last report of from with x.
func (h *hub) setReport(from id.VM, x report) {
	if h.report == nil {
		h.report, h.totalLoads = map[id.VM]report{}, loadsByUpstream{}
	}
	h.totalLoads.add(h.report[from].loads, -1)
	h.totalLoads.add(x.loads, 1)
	h.report[from] = x
}

// expireReports removes reports older than reportTTL.
func (h *hub) expireReports(now time.Duration) {
	for vm, x := range h.report {
		if now-x.at > reportTTL {
			h.totalLoads.add(x.loads, -1)
			delete(h.report, vm)
		}
	}
}

// loadsByUpstream maps upstreams to their loads. Upstreams without load are omitted.
type loadsByUpstream map[id.Upstream]Load

// add adds the loads in list, multiplied by sign.
func (t loadsByUpstream) add(list []Load, sign int64) {
	for _, l := range list {
		x := t[l.Upstream].plus(l, sign)
		if x.empty() {
			delete(t, l.Upstream)
			continue
		}
		t[l.Upstream] = x
	}
}

// loadsExcept returns the loads of all VMs minus own.
func (h *hub) loadsExcept(own []Load) []Load {
	ownLoads := make(loadsByUpstream, len(own))
	ownLoads.add(own, 1)
	list := make([]Load, 0, len(h.totalLoads))
	for n, t := range h.totalLoads {
		if own, ok := ownLoads[n]; ok {
			t = t.plus(own, -1)
		}
		if !t.empty() {
			list = append(list, t)
		}
	}
	return list
}

// placedAfter returns the placements of other VMs that from has not received yet.
func (h *hub) placedAfter(from id.VM, req exchangeRequest) []Placed {
	placedAfter := uint64(0)
	if req.Epoch == h.epoch {
		placedAfter = req.After
	}
	var list []Placed
	for _, r := range h.placementsAfter(placedAfter) {
		if r.vm != from {
			list = append(list, r.Placed)
		}
	}
	return list
}

// placementsAfter returns the kept placements with a number greater than after.
func (h *hub) placementsAfter(after uint64) []placement {
	first := h.lastPlacement - uint64(len(h.placements))
	return h.placements[min(max(first, after), h.lastPlacement)-first:]
}

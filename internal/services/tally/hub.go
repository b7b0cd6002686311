package tally

import (
	"math"
	"sync"
	"time"

	"wagtaillift/internal/modules/id"
)

// hub adds up what VMs tell. The zero value is empty.
type hub struct {
	mu    sync.Mutex
	epoch uint64
	heard map[id.VM]heard
	sum   total // over all of heard
	ring  []ringed
	next  uint64 // number of the next placement
	read  map[id.Service]*rate
	asked map[id.Service]int64 // prompt tokens that this hub's VMs asked for, all in all
	hubs  map[id.VM]*other
}

// other is what a hub knows of another one.
type other struct {
	told  uint64 // placements up to here were taken there
	epoch uint64
	asked map[id.Service]int64 // as it said last
}

// rate is a moving average of an amount per second.
type rate struct {
	value float64
	at    time.Duration
	since time.Duration
}

// rateMemory is the time constant of rates: long against a burst of requests, short against a shift of the mix.
const rateMemory = 3 * time.Second

// add counts n at now; value is as of now afterwards.
func (r *rate) add(now time.Duration, n float64) {
	if dt := now - r.at; dt > 0 {
		r.value *= math.Exp(-dt.Seconds() / rateMemory.Seconds())
		r.at = now
	}
	r.value += n / rateMemory.Seconds()
}

// get returns the average at now, over the time that has passed where that is short.
func (r *rate) get(now time.Duration) float64 {
	r.add(now, 0)
	if now <= r.since {
		return 0
	}
	return r.value / (1 - math.Exp(-(now-r.since).Seconds()/rateMemory.Seconds()))
}

// totals returns the work of all VMs.
func (h *hub) totals(now time.Duration) Totals {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	t := Totals{Loads: h.others(nil), Read: map[id.Service]float64{}}
	for s, r := range h.read {
		if now-r.since > rateMemory {
			t.Read[s] = r.get(now)
		}
	}
	return t
}

type heard struct {
	at    time.Duration
	loads []Load
	hub   bool // the work of all VMs that tell another hub
}

type ringed struct {
	vm  id.VM
	hub bool // heard from another hub
	Placed
}

func (h *hub) exchange(now time.Duration, from id.VM, s sheet) sums {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(from, heard{at: now, loads: s.Loads})
	h.forget(now)
	out := sums{Epoch: h.epoch, Loads: h.others(s.Loads), Placed: h.after(from, s)}
	h.keep(from, false, s.Placed)
	h.ask(now, s.Asked)
	if h.asked == nil {
		h.asked = map[id.Service]int64{}
	}
	for _, a := range s.Asked {
		h.asked[a.Service] += a.Tokens
	}
	out.Upto = h.next
	return out
}

// keep puts placements into the ring.
func (h *hub) keep(from id.VM, hub bool, list []Placed) {
	for _, p := range list {
		h.ring = append(h.ring, ringed{vm: from, hub: hub, Placed: p})
	}
	h.next += uint64(len(list))
	if len(h.ring) > 2*ringLength {
		h.ring = append([]ringed(nil), h.ring[len(h.ring)-ringLength:]...)
	}
}

// ask counts the prompt tokens that callers asked to have read.
func (h *hub) ask(now time.Duration, list []Asked) {
	if h.read == nil {
		h.read = map[id.Service]*rate{}
	}
	for _, a := range list {
		r, ok := h.read[a.Service]
		if !ok {
			r = &rate{at: now, since: now}
			h.read[a.Service] = r
		}
		r.add(now, float64(a.Tokens))
	}
}

// take puts x in the place of what from told before.
func (h *hub) take(from id.VM, x heard) {
	if h.heard == nil {
		h.heard, h.sum = map[id.VM]heard{}, total{}
	}
	h.sum.add(h.heard[from].loads, -1)
	h.sum.add(x.loads, 1)
	h.heard[from] = x
}

// forget takes out the VMs that have been silent.
func (h *hub) forget(now time.Duration) {
	for vm, x := range h.heard {
		if now-x.at > memory {
			h.sum.add(x.loads, -1)
			delete(h.heard, vm)
		}
	}
}

// total is work by upstream; an upstream without any is left out.
type total map[id.Upstream]Load

// add adds list, times sign.
func (t total) add(list []Load, sign int64) {
	for _, l := range list {
		x := t[l.Upstream]
		x.Upstream = l.Upstream
		x.Requests += sign * l.Requests
		x.Reading += sign * l.Reading
		if x.Requests == 0 && x.Reading == 0 {
			delete(t, l.Upstream)
			continue
		}
		t[l.Upstream] = x
	}
}

// others returns the outstanding work of all VMs less own.
func (h *hub) others(own []Load) []Load {
	less := make(total, len(own))
	less.add(own, 1)
	list := make([]Load, 0, len(h.sum))
	for n, t := range h.sum {
		t.Requests -= less[n].Requests
		t.Reading -= less[n].Reading
		if t.Requests != 0 || t.Reading != 0 {
			list = append(list, t)
		}
	}
	return list
}

// after returns the placements of other VMs that from has not been told.
func (h *hub) after(from id.VM, s sheet) []Placed {
	after := uint64(0)
	if s.Epoch == h.epoch {
		after = s.After
	}
	var list []Placed
	for _, r := range h.since(after) {
		if r.vm != from {
			list = append(list, r.Placed)
		}
	}
	return list
}

// since returns what the ring still has after a number.
func (h *hub) since(after uint64) []ringed {
	first := h.next - uint64(len(h.ring))
	return h.ring[min(max(first, after), h.next)-first:]
}

package tunnel

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	maxEntryTries   = 5               // entry VMs that are asked for one connection
	maxControlTries = 1               // control VMs that are asked after them
	resultRetention = 2 * time.Second // how long the result of a VM's last attempt decides when it is asked next
)

// helpers holds the results of the latest attempts of other VMs to connect. The zero value is empty.
type helpers struct {
	mu      sync.Mutex
	results map[id.VM]attempt
}

type attempt struct {
	connected bool
	at        time.Duration
}

// record records the result of an attempt of vm.
func (h *helpers) record(now time.Duration, vm id.VM, connected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.results == nil {
		h.results = map[id.VM]attempt{}
	}
	h.results[vm] = attempt{connected: connected, at: now}
}

// order returns the VMs to ask for a connection to address, in this order: VMs whose last attempt succeeded, VMs without a recent attempt,
// VMs whose last attempt failed; within these, VMs of the own data centre first, and different ones for each address. Control VMs that
// serve no callers come last, because the fleet depends on them.
func (h *helpers) order(now time.Duration, members map[id.VM]state.Member, self id.VM, zone id.Zone, address string, entry func(state.Member) bool) []id.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	var entries, controls []id.VM
	for vm, m := range members {
		switch {
		case vm == self:
		case entry(m):
			entries = append(entries, vm)
		case m.Control:
			controls = append(controls, vm)
		}
	}
	salt := hash.Combine(hash.String(self), hash.String(address))
	rank := func(a, b id.VM) int {
		return cmp.Or(
			cmp.Compare(h.class(now, a), h.class(now, b)),
			cmp.Compare(distance(members[a].Zone, zone), distance(members[b].Zone, zone)),
			cmp.Compare(hash.Combine(hash.String(a), salt), hash.Combine(hash.String(b), salt)),
		)
	}
	slices.SortFunc(entries, rank)
	slices.SortFunc(controls, rank)
	return append(entries[:min(len(entries), maxEntryTries)], controls[:min(len(controls), maxControlTries)]...)
}

// class returns 0 for a VM whose last attempt succeeded, 2 if it failed, and 1 if it was too long ago.
func (h *helpers) class(now time.Duration, vm id.VM) int {
	r, ok := h.results[vm]
	switch {
	case !ok || now-r.at > resultRetention:
		return 1
	case r.connected:
		return 0
	}
	return 2
}

func distance(a, b id.Zone) int {
	if a == b {
		return 0
	}
	return 1
}

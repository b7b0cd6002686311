package pool

import (
	"slices"
	"time"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	vmsPerHolder = 8 // entry VMs of a data centre for each of them that holds shares
	minHolders   = 3 // in a data centre that has as many
)

// holders is the list of a data centre's holders. It is immutable.
type holders struct {
	at        time.Duration // when it was made
	list      []id.VM
	addresses map[id.VM]string // peer addresses
	entries   int              // entry VMs of the fleet
	zones     int              // data centres with entry VMs
}

// newHolders chooses the holders of zone: the same ones for all customers, so that a VM keeps connections to few others.
func newHolders(now time.Duration, members map[id.VM]state.Member, zone id.Zone, entry func(state.Member) bool) *holders {
	h := &holders{at: now, addresses: map[id.VM]string{}}
	zones := map[id.Zone]bool{}
	for vm, m := range members {
		if !entry(m) {
			continue
		}
		h.entries++
		zones[m.Zone] = true
		if m.Zone == zone {
			h.list = append(h.list, vm)
		}
	}
	h.zones = len(zones)
	hash.SortByRank(h.list, hash.String(zone))
	n := max(minHolders, (len(h.list)+vmsPerHolder-1)/vmsPerHolder)
	h.list = h.list[:min(n, len(h.list))]
	for _, vm := range h.list {
		h.addresses[vm] = members[vm].Peer
	}
	return h
}

// order returns the holders to ask for tokens of c: the preferred one and its successor by rendezvous hashing (Thaler and Ravishankar
// 1998), those for which failed returns true last.
func (h *holders) order(c id.Customer, failed func(id.VM) bool) []id.VM {
	list := slices.Clone(h.list)
	hash.SortByRank(list, hash.String(c))
	list = list[:min(maxAsked, len(list))]
	slices.SortStableFunc(list, func(a, b id.VM) int { return order(failed(a)) - order(failed(b)) })
	return list
}

func order(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

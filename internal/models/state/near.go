package state

import (
	"cmp"
	"slices"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// ControlVMs returns the control VMs among members, by name.
func ControlVMs(members map[id.VM]Member) []Member {
	var list []Member
	for _, m := range members {
		if m.Control {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Entries returns how many of members are no control VMs: these send requests to upstreams.
func Entries(members map[id.VM]Member) int {
	n := 0
	for _, m := range members {
		if !m.Control {
			n++
		}
	}
	return n
}

// Near sorts list in the order in which vm of zone tries its VMs: those of its zone first, and so that the VMs that try spread over
// them (rendezvous hashing, Thaler and Ravishankar 1998).
func Near(list []Member, vm id.VM, zone id.Zone) []Member {
	own := hash.String(vm)
	far := func(m Member) int {
		if m.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b Member) int {
		return cmp.Or(far(a)-far(b), cmp.Compare(hash.Pair(own, hash.String(b.VM)), hash.Pair(own, hash.String(a.VM))))
	})
	return list
}

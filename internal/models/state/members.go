package state

import (
	"cmp"
	"slices"

	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

// ControlVMs returns the control VMs among members, sorted by name.
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

// CountEntryVMs returns the number of entry VMs among members. They are the VMs that send requests to upstreams.
func CountEntryVMs(members map[id.VM]Member) int {
	n := 0
	for _, m := range members {
		if !m.Control {
			n++
		}
	}
	return n
}

// SortByProximity sorts list in place into the order in which vm, located in zone, contacts these VMs. Those of the
// same zone come first. Rendezvous hashing (Thaler and Ravishankar 1998) decides the rest, so that the VMs that sort the
// same list spread their load over it.
func SortByProximity(list []Member, vm id.VM, zone id.Zone) []Member {
	vmHash := hash.String(vm)
	zoneOrder := func(m Member) int {
		if m.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b Member) int {
		return cmp.Or(zoneOrder(a)-zoneOrder(b), cmp.Compare(hash.Combine(vmHash, hash.String(b.VM)), hash.Combine(vmHash, hash.String(a.VM))))
	})
	return list
}

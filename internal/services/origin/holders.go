package origin

import (
	"cmp"
	"slices"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	maxCopyZones   = 3 // data centres that get a copy of an origin, the recording VM's own included
	askedPerZone   = 2 // VMs of a data centre that are asked for an origin: the holder, and the next one in case its copy failed
	maxHolderTries = 3 // VMs of a data centre to which a copy is sent until one confirms it
)

// ranking returns the VMs of each data centre other than self, the preferred holders of k first (rendezvous hashing, Thaler and
// Ravishankar 1998).
func ranking(members map[id.VM]state.Member, self id.VM, k Key) map[id.Zone][]id.VM {
	zones := map[id.Zone][]id.VM{}
	for vm, m := range members {
		if vm != self {
			zones[m.Zone] = append(zones[m.Zone], vm)
		}
	}
	for _, list := range zones {
		sortByRank(list, k)
	}
	return zones
}

// copyZones returns the data centres that get a copy of k: own first, then others in rank order.
func copyZones(zones map[id.Zone][]id.VM, own id.Zone, k Key) []id.Zone {
	var list []id.Zone
	for z := range zones {
		if z != own {
			list = append(list, z)
		}
	}
	sortByRank(list, k)
	if len(zones[own]) > 0 {
		list = slices.Insert(list, 0, own)
	}
	return list[:min(len(list), maxCopyZones)]
}

// sortByRank sorts names by their rendezvous hash with k, the highest first.
func sortByRank[T ~string](names []T, k Key) {
	h := hash.Combine(hash.String(k.Customer), hash.String(k.Request))
	slices.SortFunc(names, func(a, b T) int {
		if d := cmp.Compare(hash.Combine(hash.String(b), h), hash.Combine(hash.String(a), h)); d != 0 {
			return d
		}
		return cmp.Compare(a, b)
	})
}

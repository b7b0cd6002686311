package origin

import (
	"slices"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
)

const (
	maxCopyZones   = 3 // data centres that get a copy of an origin, the recording VM's own included
	askedPerZone   = 2 // VMs of a data centre that are asked for an origin: the holder, and the next one in case its copy failed
	maxHolderTries = 3 // VMs of a data centre to which a copy is sent until one confirms it
	minHolders     = 3 // VMs of a data centre that hold copies, at least
	vmsPerHolder   = 8 // in a large data centre, so that a VM keeps connections to few others
)

// holders keeps the VMs of a data centre that hold copies: the same ones for all streams, chosen by the data centre's name.
func holders(list []id.VM, z id.Zone) []id.VM {
	n := max(minHolders, (len(list)+vmsPerHolder-1)/vmsPerHolder)
	hash.SortByRank(list, hash.String(z))
	return list[:min(n, len(list))]
}

// ranking returns the holders of each data centre, without self, the preferred ones of k first (rendezvous hashing, Thaler and
// Ravishankar 1998).
func ranking(members map[id.VM]state.Member, self id.VM, k Key) map[id.Zone][]id.VM {
	zones := map[id.Zone][]id.VM{}
	for vm, m := range members {
		zones[m.Zone] = append(zones[m.Zone], vm)
	}
	for z, list := range zones {
		list = slices.DeleteFunc(holders(list, z), func(vm id.VM) bool { return vm == self })
		hash.SortByRank(list, k.hash())
		zones[z] = list
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
	hash.SortByRank(list, k.hash())
	if len(zones[own]) > 0 {
		list = slices.Insert(list, 0, own)
	}
	return list[:min(len(list), maxCopyZones)]
}

func (k Key) hash() uint64 { return hash.Combine(hash.String(k.Customer), hash.String(k.Request)) }

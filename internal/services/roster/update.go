package roster

import (
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// ListUpdate is a message about the upstreams that announce themselves to a VM: the whole list, the changes since a
// version, or only the current version.
type ListUpdate struct {
	VM      id.VM                 `cbor:"1,keyasint"`
	Epoch   uint64                `cbor:"2,keyasint"` // incarnation of the VM
	Version uint64                `cbor:"3,keyasint"`
	List    []engine.Announcement `cbor:"4,keyasint,omitempty"`
	Full    bool                  `cbor:"5,keyasint,omitempty"` // List is complete
	Since   uint64                `cbor:"6,keyasint,omitempty"` // List and Dropped hold the changes after this version; zero if there are none
	Dropped []id.Upstream         `cbor:"7,keyasint,omitempty"`
}

// listVersion names a version of a VM's list.
type listVersion struct {
	VM      id.VM         `cbor:"1,keyasint"`
	Epoch   uint64        `cbor:"2,keyasint"`
	Version uint64        `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // time since the VM itself sent this version
}

// peerList is the list of the upstreams that announce themselves to one VM.
type peerList struct {
	epoch      uint64
	version    uint64
	recordedAt time.Duration // of the latest update or confirmation of the version
	list       map[id.Upstream]*entry
}

// hasAddress reports whether an upstream of the list is announced at address.
func (p *peerList) hasAddress(address string) bool {
	for _, e := range p.list {
		if e.announcement.Address == address {
			return true
		}
	}
	return false
}

// entry is an announcement in a list.
type entry struct {
	announcement engine.Announcement
	recordedAt   time.Duration // of the latest heartbeat, or of the update that carried the announcement
	version      uint64        // version of the own list that added this announcement
}

// maxDropped bounds the dropped upstreams that are remembered for incremental updates.
const maxDropped = 4096

// ownList is this VM's list, with the data needed to send incremental updates.
type ownList struct {
	peerList
	dropped        map[id.Upstream]uint64 // version that dropped the upstream
	minBaseVersion uint64                 // receivers with an older version get the whole list
}

// set stores a new or changed announcement.
func (o *ownList) set(now time.Duration, a engine.Announcement) {
	o.version++
	o.list[a.Name] = &entry{announcement: a, recordedAt: now, version: o.version}
	delete(o.dropped, a.Name)
}

// drop removes an upstream from the list.
func (o *ownList) drop(n id.Upstream) {
	o.version++
	delete(o.list, n)
	if len(o.dropped) >= maxDropped {
		clear(o.dropped)
		o.minBaseVersion = o.version - 1
	}
	o.dropped[n] = o.version
}

// ListUpdate returns this VM's list version, with the whole list if full is set.
func (r *Roster) ListUpdate(full bool) ListUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listUpdate(full)
}

func (r *Roster) listUpdate(full bool) ListUpdate {
	v := ListUpdate{VM: r.vm, Epoch: r.ownList.epoch, Version: r.ownList.version, Full: full}
	if full {
		for _, e := range r.ownList.list {
			v.List = append(v.List, e.announcement)
		}
	}
	return v
}

// Since returns the update for a VM that has version of epoch: the current version only, the changes, or the whole list.
func (r *Roster) Since(epoch, version uint64) ListUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case epoch == r.ownList.epoch && version == r.ownList.version:
		return r.listUpdate(false)
	case epoch != r.ownList.epoch || version == 0 || version < r.ownList.minBaseVersion || version > r.ownList.version:
		return r.listUpdate(true)
	}
	v := r.listUpdate(false)
	v.Since = version
	for _, e := range r.ownList.list {
		if e.version > version {
			v.List = append(v.List, e.announcement)
		}
	}
	for n, at := range r.ownList.dropped {
		if at > version {
			v.Dropped = append(v.Dropped, n)
		}
	}
	return v
}

// Apply applies another VM's update at now. It returns false if the stored list of that VM is missing or too old for it.
func (r *Roster) Apply(now time.Duration, v ListUpdate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.noteOldestList()
	p, known := r.peers[v.VM]
	if known && (v.Epoch < p.epoch || v.Epoch == p.epoch && v.Version < p.version) {
		return true // arrived out of order; a newer update was applied
	}
	if known && p.epoch == v.Epoch && p.version == v.Version {
		p.recordedAt = max(p.recordedAt, now)
		return true
	}
	switch {
	case v.Full:
		p = &peerList{epoch: v.Epoch, list: map[id.Upstream]*entry{}}
		r.peers[v.VM] = p
	case !known || p.epoch != v.Epoch || v.Since == 0 || p.version < v.Since:
		return false
	}
	p.recordedAt, p.version = max(p.recordedAt, now), v.Version
	for _, a := range v.List {
		p.list[a.Name] = &entry{announcement: a, recordedAt: now}
	}
	for _, n := range v.Dropped {
		delete(p.list, n)
	}
	r.update(now)
	return true
}

// PeerVersion returns the epoch and version of the stored list of vm, or zeros if there is none.
func (r *Roster) PeerVersion(vm id.VM) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.peers[vm]; ok {
		return p.epoch, p.version
	}
	return 0, 0
}

// Versions returns the version and age of every list that this VM has, its own included.
func (r *Roster) Versions(now time.Duration) []listVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]listVersion, 0, len(r.peers)+1)
	list = append(list, listVersion{VM: r.vm, Epoch: r.ownList.epoch, Version: r.ownList.version})
	for vm, p := range r.peers {
		list = append(list, listVersion{VM: vm, Epoch: p.epoch, Version: p.version, Age: max(0, now-p.recordedAt)})
	}
	return list
}

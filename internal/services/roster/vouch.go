package roster

import (
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// Vouch is what a VM tells the others about the upstreams that announce themselves to it: its whole list, what has changed
// since a version, or only the version.
type Vouch struct {
	VM      id.VM                 `cbor:"1,keyasint"`
	Epoch   uint64                `cbor:"2,keyasint"` // incarnation of the VM
	Version uint64                `cbor:"3,keyasint"`
	List    []engine.Announcement `cbor:"4,keyasint,omitempty"`
	Full    bool                  `cbor:"5,keyasint,omitempty"` // List is complete
	Since   uint64                `cbor:"6,keyasint,omitempty"` // List and Dropped are what has changed after this version; zero where they are not given
	Dropped []id.Upstream         `cbor:"7,keyasint,omitempty"`
}

// summary names a version of a VM's list.
type summary struct {
	VM      id.VM         `cbor:"1,keyasint"`
	Epoch   uint64        `cbor:"2,keyasint"`
	Version uint64        `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since the VM itself said so
}

// source is one VM's list.
type source struct {
	epoch   uint64
	version uint64
	at      time.Duration
	list    map[id.Upstream]*heard
}

type heard struct {
	announcement engine.Announcement
	at           time.Duration
	version      uint64 // of this VM's own list, in which the announcement came
}

// mostDropped bounds the upstreams whose end is kept for others that ask for changes.
const mostDropped = 4096

// own is this VM's list with what others need to be told of changes only.
type own struct {
	source
	dropped map[id.Upstream]uint64 // version in which an upstream was dropped
	floor   uint64                 // versions before this one are too old for changes
}

// set takes an announcement that says something new.
func (o *own) set(now time.Duration, a engine.Announcement) {
	o.version++
	o.list[a.Name] = &heard{announcement: a, at: now, version: o.version}
	delete(o.dropped, a.Name)
}

// drop takes an upstream out of the list.
func (o *own) drop(n id.Upstream) {
	o.version++
	delete(o.list, n)
	if len(o.dropped) >= mostDropped {
		clear(o.dropped)
		o.floor = o.version - 1
	}
	o.dropped[n] = o.version
}

// Vouch returns this VM's word; full includes the list.
func (r *Roster) Vouch(full bool) Vouch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vouch(full)
}

func (r *Roster) vouch(full bool) Vouch {
	v := Vouch{VM: r.vm, Epoch: r.own.epoch, Version: r.own.version, Full: full}
	if full {
		for _, h := range r.own.list {
			v.List = append(v.List, h.announcement)
		}
	}
	return v
}

// Since returns what a VM lacks that has version of epoch: nothing, the changes, or the whole list.
func (r *Roster) Since(epoch, version uint64) Vouch {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case epoch == r.own.epoch && version == r.own.version:
		return r.vouch(false)
	case epoch != r.own.epoch || version == 0 || version < r.own.floor || version > r.own.version:
		return r.vouch(true)
	}
	v := r.vouch(false)
	v.Since = version
	for _, h := range r.own.list {
		if h.version > version {
			v.List = append(v.List, h.announcement)
		}
	}
	for n, at := range r.own.dropped {
		if at > version {
			v.Dropped = append(v.Dropped, n)
		}
	}
	return v
}

// Hear takes another VM's word as of now. It returns false where what it has of that VM is too old for it.
func (r *Roster) Hear(now time.Duration, v Vouch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.peers[v.VM]
	if known && (v.Epoch < s.epoch || v.Epoch == s.epoch && v.Version < s.version) {
		return true // delayed
	}
	if known && s.epoch == v.Epoch && s.version == v.Version {
		s.at = max(s.at, now)
		return true
	}
	switch {
	case v.Full:
		s = &source{epoch: v.Epoch, list: map[id.Upstream]*heard{}}
		r.peers[v.VM] = s
	case !known || s.epoch != v.Epoch || v.Since == 0 || s.version < v.Since:
		return false
	}
	s.at, s.version = max(s.at, now), v.Version
	for _, a := range v.List {
		s.list[a.Name] = &heard{announcement: a, at: now}
	}
	for _, n := range v.Dropped {
		delete(s.list, n)
	}
	r.rebuild(now)
	return true
}

// Known returns which list of vm this VM has.
func (r *Roster) Known(vm id.VM) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.peers[vm]; ok {
		return s.epoch, s.version
	}
	return 0, 0
}

// Words returns which lists this VM has, and how old its word of each is.
func (r *Roster) Words(now time.Duration) []summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]summary, 0, len(r.peers)+1)
	list = append(list, summary{VM: r.vm, Epoch: r.own.epoch, Version: r.own.version})
	for vm, s := range r.peers {
		list = append(list, summary{VM: vm, Epoch: s.epoch, Version: s.version, Age: max(0, now-s.at)})
	}
	return list
}

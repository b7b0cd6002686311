package authority

import (
	"maps"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/wal"
)

// addressFile keeps where the other control VMs listened last. After a restart of all of them the log cannot tell: its
// entries are applied only once a leader has been elected.
const addressFile = "addresses"

// loadAddresses reads the kept addresses. A file that cannot be read is only a slower start.
func (a *Authority) loadAddresses() {
	raw, err := os.ReadFile(filepath.Join(a.opt.Folder, addressFile))
	if err != nil {
		return
	}
	var kept map[id.VM]string
	if err := cbor.Unmarshal(raw, &kept); err != nil {
		klog.InfoS("Kept addresses not read", "vm", a.opt.VM, "err", err)
		return
	}
	a.kept.Store(kept)
}

// saveAddresses keeps the addresses of the control VMs where they have changed.
func (a *Authority) saveAddresses() {
	known := map[id.VM]string{}
	for vm, m := range a.feed.Members() {
		if m.Control {
			known[vm] = m.Peer
		}
	}
	kept := a.kept.Load()
	merged := maps.Clone(kept)
	if merged == nil {
		merged = map[id.VM]string{}
	}
	maps.Copy(merged, known)
	if maps.Equal(merged, kept) {
		return
	}
	raw, err := cbor.Marshal(merged)
	if err == nil {
		err = wal.WriteFile(filepath.Join(a.opt.Folder, addressFile), raw, identityPerm)
	}
	if err != nil {
		klog.InfoS("Addresses not kept", "vm", a.opt.VM, "err", err)
		return
	}
	a.kept.Store(merged)
}

// address returns where n listens: by its own messages, by the members, or as kept from an earlier life.
func (a *Authority) address(n quorum.Node) (string, bool) {
	if v, ok := a.addresses.Load(n); ok {
		return v.(string), true
	}
	if m, ok := a.feed.Members()[nodeVM(n)]; ok {
		return m.Peer, true
	}
	to, ok := a.kept.Load()[nodeVM(n)]
	return to, ok
}

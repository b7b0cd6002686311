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

// addressFile stores the last known peer addresses of the control VMs. When all of them restart, the log cannot supply
// the addresses: its entries are applied only after a leader has been elected.
const addressFile = "addresses"

// loadAddresses reads the saved addresses. An unreadable file only makes the start slower.
func (a *Agent) loadAddresses() {
	raw, err := os.ReadFile(filepath.Join(a.opt.Folder, addressFile))
	if err != nil {
		return
	}
	var savedAddresses map[id.VM]string
	if err := cbor.Unmarshal(raw, &savedAddresses); err != nil {
		klog.InfoS("Failed to read saved peer addresses", "vm", a.opt.VM, "err", err)
		return
	}
	a.savedAddresses.Store(savedAddresses)
}

// saveAddresses writes the addresses of the control VMs to disk if they have changed.
func (a *Agent) saveAddresses() {
	current := map[id.VM]string{}
	for vm, m := range a.feed.Members() {
		if m.Control {
			current[vm] = m.Peer
		}
	}
	savedAddresses := a.savedAddresses.Load()
	merged := maps.Clone(savedAddresses)
	if merged == nil {
		merged = map[id.VM]string{}
	}
	maps.Copy(merged, current)
	if maps.Equal(merged, savedAddresses) {
		return
	}
	raw, err := cbor.Marshal(merged)
	if err == nil {
		err = wal.WriteFileOn(a.opt.Files, filepath.Join(a.opt.Folder, addressFile), raw, filePerm)
	}
	if err != nil {
		klog.InfoS("Failed to save peer addresses", "vm", a.opt.VM, "err", err)
		return
	}
	a.savedAddresses.Store(merged)
}

// nodeAddress returns the peer address of n. An address learned from peer messages takes precedence over the member
// list, and the member list over the saved addresses of an earlier process.
func (a *Agent) nodeAddress(n quorum.Node) (string, bool) {
	if v, ok := a.learnedAddresses.Load(n); ok {
		return v.(string), true
	}
	if m, ok := a.feed.Members()[nodeVM(n)]; ok {
		return m.Peer, true
	}
	addr, ok := a.savedAddresses.Load()[nodeVM(n)]
	return addr, ok
}

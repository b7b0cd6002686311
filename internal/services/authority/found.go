package authority

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/wal"
)

// firstFile marks a disk that took part in the fleet's first start. The marker outlives a restart before the founding,
// after which the settings no longer call the start the first one.
const firstFile = "first"

// presence is what a control VM says of itself while the fleet has no log.
type presence struct {
	Node    quorum.Node `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	First   bool        `cbor:"3,keyasint,omitempty"`
}

// noteFirst keeps on disk that this VM takes part in the first start.
func (a *Authority) noteFirst() error {
	path := filepath.Join(a.opt.Folder, firstFile)
	_, err := os.Stat(path)
	switch {
	case err == nil:
		a.opt.First = true
		return nil
	case !os.IsNotExist(err):
		return errors.Annotate(err, "read marker of the first start")
	case !a.opt.First:
		return nil
	}
	return wal.WriteFile(path, []byte(a.node+"\n"), identityPerm)
}

func (a *Authority) presence() presence {
	return presence{Node: a.node, Address: a.opt.Peer, First: a.opt.First && a.replica != nil}
}

// found makes the seeds the first voters, where this VM is one of them and all of them take part in the first start. Every
// seed makes the same log, so it does not matter which of them are done first.
func (a *Authority) found(ctx context.Context) error {
	if !a.opt.First || !slices.Contains(a.seeds.Load(), a.opt.Peer) || !a.replica.Empty() {
		return nil
	}
	voters := []quorum.Node{a.node}
	for _, to := range a.seeds.Load() {
		if to == a.opt.Peer {
			continue
		}
		p, err := a.askWho(ctx, to)
		if err != nil {
			return errors.Annotatef(err, "found the fleet")
		}
		if !p.First {
			return errors.Errorf("found the fleet: seed %s does not start for the first time", to)
		}
		a.addresses.Store(p.Node, to)
		voters = append(voters, p.Node)
	}
	slices.Sort(voters)
	m := state.New()
	m.Apply(1, nil) // a snapshot at index 0 would look like an empty log
	i, data, err := m.Snapshot()
	if err != nil {
		return err
	}
	s := quorum.Snapshot{Index: quorum.Index(i), Term: 1, Members: quorum.Members{Voters: voters}, Data: data}
	if err := a.replica.Found(ctx, s); err != nil {
		return err
	}
	klog.InfoS("Fleet founded", "vm", a.opt.VM, "voters", voters)
	return nil
}

func (a *Authority) askWho(ctx context.Context, to string) (presence, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	return peer.Call[presence](ctx, a.opt.Transport, to, methodWho, a.presence())
}

func (a *Authority) onWho(_ context.Context, from id.VM, q presence) (presence, error) {
	if q.Node != "" && nodeVM(q.Node) == from {
		a.addresses.Store(q.Node, q.Address)
	}
	return a.presence(), nil
}

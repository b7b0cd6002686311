package authority

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/modules/wal"
)

// firstStartFile marks a disk that takes part in the first start of the fleet. If a VM restarts before the fleet is
// bootstrapped, the marker stands in for the setting, which may be unset by then.
const firstStartFile = "first"

// nodeInfo identifies a control VM to others before the fleet has a log.
type nodeInfo struct {
	Node       quorum.Node `cbor:"1,keyasint"`
	Address    string      `cbor:"2,keyasint"`
	FirstStart bool        `cbor:"3,keyasint,omitempty"`
}

// openReplica opens the log in the data folder and the replica that runs on it.
func (a *Agent) openReplica() error {
	disk, err := diskIdentity(a.opt.Files, a.opt.Folder)
	if err != nil {
		return err
	}
	log, stored, err := wal.OpenOn(a.opt.Files, filepath.Join(a.opt.Folder, "log"))
	if err != nil {
		return errors.Annotate(err, "open replicated log")
	}
	a.node = nodeName(a.opt.VM, disk)
	err = a.saveFirstStart()
	if err == nil {
		a.loadAddresses()
		a.replica, err = a.newReplica(log, stored)
	}
	if err != nil {
		if cerr := log.Close(); cerr != nil {
			klog.ErrorS(cerr, "Failed to close the log", "node", a.node)
		}
	}
	return err
}

func (a *Agent) newReplica(log *wal.Log, stored quorum.State) (*replica.Replica[state.Result], error) {
	return replica.New(replica.Options[state.Result]{
		Self: a.node, Disk: log, State: stored, StateMachine: a.feed, Send: a.sendLog, ClockDrift: lease.MaxClockDrift,
		Notify: a.reportNewRevision, Seed: uint64(a.opt.Incarnation), ElectionTimeout: a.timing.ElectionTimeout,
	})
}

// saveFirstStart records on disk that this VM takes part in the first start, or restores that fact from disk.
func (a *Agent) saveFirstStart() error {
	path := filepath.Join(a.opt.Folder, firstStartFile)
	_, err := os.Stat(path)
	switch {
	case err == nil:
		a.opt.FirstStart = true
		return nil
	case !os.IsNotExist(err):
		return errors.Annotate(err, "read first-start marker")
	case !a.opt.FirstStart:
		return nil
	}
	return wal.WriteFileOn(a.opt.Files, path, []byte(a.node+"\n"), filePerm)
}

func (a *Agent) nodeInfo() nodeInfo {
	return nodeInfo{Node: a.node, Address: a.opt.Peer, FirstStart: a.opt.FirstStart && a.replica != nil}
}

// bootstrap creates the log of a new fleet with the seeds as voters. This VM must be a seed, and all seeds must take
// part in the first start. All seeds create the same log, so it does not matter which finishes first.
func (a *Agent) bootstrap(ctx context.Context) error {
	if !a.opt.FirstStart || !slices.Contains(a.seeds.Load(), a.opt.Peer) || !a.replica.Empty() {
		return nil
	}
	voters := []quorum.Node{a.node}
	for _, addr := range a.seeds.Load() {
		if addr == a.opt.Peer {
			continue
		}
		p, err := a.exchangeNodeInfo(ctx, addr)
		if err != nil {
			return errors.Annotatef(err, "bootstrap fleet")
		}
		if !p.FirstStart {
			return errors.Errorf("bootstrap fleet: seed %s is not in its first start", addr)
		}
		a.learnedAddresses.Store(p.Node, addr)
		voters = append(voters, p.Node)
	}
	slices.Sort(voters)
	machine := state.New()
	machine.Apply(1, nil) // a snapshot at index 0 would be taken for an empty log
	i, data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	s := quorum.Snapshot{Index: quorum.Index(i), Term: 1, Members: quorum.Members{Voters: voters}, Data: data}
	if err := a.replica.Bootstrap(ctx, s); err != nil {
		return err
	}
	klog.InfoS("Fleet bootstrapped", "vm", a.opt.VM, "voters", voters)
	return nil
}

// exchangeNodeInfo sends this VM's node info to addr and returns the info of the VM there.
func (a *Agent) exchangeNodeInfo(ctx context.Context, addr string) (nodeInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	return peer.Call[nodeInfo](ctx, a.opt.Transport, addr, methodNodeInfo, a.nodeInfo())
}

func (a *Agent) onNodeInfo(_ context.Context, from id.VM, q nodeInfo) (nodeInfo, error) {
	if q.Node != "" && nodeVM(q.Node) == from {
		a.learnedAddresses.Store(q.Node, q.Address)
	}
	return a.nodeInfo(), nil
}

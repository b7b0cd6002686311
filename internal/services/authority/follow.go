package authority

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/modules/wal"
)

const (
	identityFile  = "identity"
	identityBytes = 8
	filePerm      = 0o600
)

// feedInterval is the time between two requests of a follower while entries arrive, so that those of a burst travel together. Without it
// each entry is a call of each follower.
const feedInterval = 100 * time.Millisecond

// diskIdentity returns the identity of the disk that holds folder and creates it if missing. A replaced disk therefore
// gets a new identity.
func diskIdentity(files wal.Files, folder string) (string, error) {
	path := filepath.Join(folder, identityFile)
	raw, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(raw)), nil
	}
	if !os.IsNotExist(err) {
		return "", errors.Annotate(err, "read disk identity")
	}
	if logs, _ := filepath.Glob(filepath.Join(folder, "log", "log-*")); len(logs) > 0 {
		return "", errors.Errorf("%s is missing although the data folder holds a log; empty the data folder to rejoin with a new identity", path)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", errors.Annotate(err, "create data folder")
	}
	bits := make([]byte, identityBytes)
	if _, err := rand.Read(bits); err != nil {
		return "", errors.Annotate(err, "generate disk identity")
	}
	n := hex.EncodeToString(bits)
	return n, wal.WriteFileOn(files, path, []byte(n+"\n"), filePerm)
}

// nodeName returns the node name of a disk in the log: the VM's name and the identity of the disk.
func nodeName(vm id.VM, disk string) quorum.Node { return quorum.Node(string(vm) + "/" + disk) }

// nodeVM returns the VM in the node name n.
func nodeVM(n quorum.Node) id.VM {
	vm, _, _ := strings.Cut(string(n), "/")
	return id.VM(vm)
}

// Bootstrap initializes the log of a new fleet in folder. This VM is its only voter; commands are applied to the initial
// state.
func Bootstrap(folder string, vm id.VM, commands []state.Command) error {
	disk, err := diskIdentity(wal.OS, folder)
	if err != nil {
		return err
	}
	log, stored, err := wal.Open(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	if stored.Snapshot.Index > 0 || len(stored.Entries) > 0 || stored.HardState.Term > 0 {
		return errors.AlreadyExistsf("fleet in %s", folder)
	}
	machine := state.New()
	for i, c := range commands {
		data, err := c.Encode()
		if err != nil {
			return err
		}
		if r := machine.Apply(id.Index(i+1), data); r.Code != state.OK {
			return errors.Errorf("bootstrap fleet: %s", r.Message)
		}
	}
	if len(commands) == 0 {
		machine.Apply(1, nil) // a learner would take a snapshot at index 0 for an empty log
	}
	i, data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	members := quorum.Members{Voters: []quorum.Node{nodeName(vm, disk)}}
	return log.SaveSnapshot(quorum.Snapshot{Index: quorum.Index(i), Term: 1, Members: members, Data: data}, nil)
}

// nextHop returns the address that this VM sends calls for the leader to: the leader if known, otherwise the relay.
func (a *Agent) nextHop() (string, bool) {
	if a.replica != nil {
		s := a.replica.Status()
		if s.Leader != "" && s.Leader != a.node {
			return a.nodeAddress(s.Leader)
		}
		if s.Leader == "" && s.Members.IsVoter(a.node) {
			return "", false
		}
	}
	if p := a.relayAddress.Load(); p != nil {
		return *p, true
	}
	return "", false
}

// relayCandidates lists the addresses of the VMs that this VM may use as its relay, in order of preference: the control
// VMs of its data centre or, if it has none, the VM there with the lowest name; then all control VMs; then the seeds. Among equals each
// VM has an order of its own, so that the VMs of a fleet do not all follow the same one.
func (a *Agent) relayCandidates() []string {
	var sameZone, controlVMs []string
	members := a.feed.Members()
	var lowestVM id.VM
	for vm, m := range members {
		if vm == a.opt.VM {
			continue
		}
		switch {
		case m.Control && m.Zone == a.opt.Zone:
			sameZone = append(sameZone, m.Peer)
		case m.Control:
			controlVMs = append(controlVMs, m.Peer)
		}
		if m.Zone == a.opt.Zone && (lowestVM == "" || vm < lowestVM) {
			lowestVM = vm
		}
	}
	own := hash.String(a.opt.VM)
	hash.SortByRank(sameZone, own)
	hash.SortByRank(controlVMs, own)
	if len(sameZone) == 0 && lowestVM != "" && lowestVM < a.opt.VM {
		sameZone = append(sameZone, members[lowestVM].Peer)
	}
	list := append(sameZone, controlVMs...)
	seeds := slices.Clone(a.seeds.Load())
	hash.SortByRank(seeds, own)
	for _, s := range seeds {
		if s != a.opt.Peer && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// follow keeps this VM's state up to date from the feed of a relay.
func (a *Agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		attached := false
		for _, addr := range a.reachable(ctx, a.relayCandidates()) {
			if a.followFrom(ctx, addr) {
				attached = true
				break
			}
		}
		if !attached {
			pause.For(ctx, retryInterval)
		}
	}
}

// followFrom follows the relay at addr until a call fails, the relay lags behind the leader, or a preferred relay is up
// to date. It returns true to retry from the most preferred relay and false to try the next one.
func (a *Agent) followFrom(ctx context.Context, addr string) bool {
	attached := false
	for ctx.Err() == nil {
		leaderIndex, askedAt := a.leaderIndex.Load(), clock.SinceBoot()
		call, cancel := context.WithTimeout(ctx, a.timing.feedWait()+a.timing.feedGrace())
		r, err := peer.Call[feedAnswer](call, a.opt.Transport, addr, methodFeed, feedRequest{After: a.feed.Index(), Packs: true})
		cancel()
		if err != nil {
			klog.V(1).InfoS("Feed request failed", "peer", addr, "err", err)
			return attached
		}
		if err := a.applyFeed(r); err != nil {
			klog.ErrorS(err, "Failed to apply feed", "peer", addr)
			return false
		}
		if !attached {
			klog.InfoS("Following relay", "peer", addr)
			a.relayAddress.Store(&addr)
			attached = true
			a.ReportSoon()
		}
		if r.isEmpty() && uint64(a.feed.Index()) < leaderIndex {
			klog.InfoS("Relay lags behind the leader, trying another", "peer", addr, "index", a.feed.Index(), "leader", leaderIndex)
			return false
		}
		if preferred := a.relayCandidates(); len(preferred) > 0 && preferred[0] != addr && a.upToDate(ctx, preferred[0]) {
			return attached
		}
		if !r.isEmpty() {
			pause.For(ctx, feedInterval-(clock.SinceBoot()-askedAt))
		}
	}
	return attached
}

// upToDate reports whether the relay at addr has applied as much as this VM has, and everything up to the highest index
// in the leader's grants.
func (a *Agent) upToDate(ctx context.Context, addr string) bool {
	call, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := peer.Call[indexAnswer](call, a.opt.Transport, addr, methodAppliedIndex, empty{})
	return err == nil && uint64(r.Index) >= max(uint64(a.feed.Index()), a.leaderIndex.Load())
}

// applyFeed applies the snapshot or entries of r.
func (a *Agent) applyFeed(r feedAnswer) error {
	r, err := r.unpacked()
	if err != nil {
		return err
	}
	if len(r.Snapshot) > 0 {
		if err := a.feed.Restore(r.Snapshot); err != nil {
			return err
		}
		a.feed.Publish()
	}
	for _, e := range r.Entries {
		if applied := a.feed.Index(); e.Index <= applied {
			return errors.Errorf("feed entry %d is not newer than applied entry %d", e.Index, applied)
		}
		a.feed.Apply(quorum.Index(e.Index), e.Data)
	}
	a.feed.SkipTo(r.LastIndex)
	a.feed.Publish()
	a.reportNewRevision(0)
	return nil
}

// ReportSoon triggers a report without waiting for the regular interval; minReportInterval still applies.
func (a *Agent) ReportSoon() {
	select {
	case a.reportNow <- struct{}{}:
	default:
	}
}

// enrollLoop makes this control VM's disk a member of the log, and bootstraps a new fleet if needed. It also announces
// the VM's address to other control VMs whenever no leader is known.
func (a *Agent) enrollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.saveAddresses()
		if s := a.replica.Status(); s.Members.Contains(a.node) && s.Leader != "" || a.left.Load() {
			pause.For(ctx, a.timing.feedWait())
			continue
		}
		if err := a.bootstrap(ctx); err != nil {
			klog.V(1).InfoS("Fleet not bootstrapped yet", "vm", a.opt.VM, "err", err)
			pause.For(ctx, retryInterval)
			continue
		}
		for _, addr := range a.reachable(ctx, a.relayCandidates()) {
			a.relayAddress.Store(&addr)
			q := enrollment{Node: a.node, Address: a.opt.Peer}
			call, cancel := context.WithTimeout(ctx, a.timing.call())
			_, err := peer.Call[empty](call, a.opt.Transport, addr, methodEnroll, q)
			cancel()
			if err == nil {
				klog.InfoS("Enrollment accepted", "node", a.node, "peer", addr)
				break
			}
			klog.InfoS("Enrollment failed", "peer", addr, "err", err)
		}
		pause.For(ctx, a.timing.feedWait())
	}
}

// proposalAnswer carries a result, or which of the errors that callers distinguish occurred.
type proposalAnswer struct {
	Result   state.Result `cbor:"1,keyasint"`
	NoQuorum bool         `cbor:"2,keyasint,omitempty"`
	Lost     bool         `cbor:"3,keyasint,omitempty"` // the outcome is unknown
}

// forwardProposal sends p to addr. If the call fails after p was sent, the outcome is unknown and the error is
// replica.ErrOutcomeUnknown.
func (a *Agent) forwardProposal(ctx context.Context, addr string, p proposal) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := peer.Call[proposalAnswer](ctx, a.opt.Transport, addr, methodPropose, p)
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return state.Result{}, ErrNoQuorum
	case err != nil:
		klog.V(1).InfoS("Proposal outcome unknown", "peer", addr, "err", err)
		return state.Result{}, replica.ErrOutcomeUnknown
	case r.NoQuorum:
		return state.Result{}, ErrNoQuorum
	case r.Lost:
		return state.Result{}, replica.ErrOutcomeUnknown
	}
	return r.Result, nil
}

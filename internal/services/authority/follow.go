package authority

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
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
	identityPerm  = 0o600
)

// identity returns the identity of the disk in folder, which is made where missing: a replaced disk has a new one.
func identity(folder string) (string, error) {
	path := filepath.Join(folder, identityFile)
	raw, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(raw)), nil
	}
	if !os.IsNotExist(err) {
		return "", errors.Annotate(err, "read disk identity")
	}
	if logs, _ := filepath.Glob(filepath.Join(folder, "log", "log-*")); len(logs) > 0 {
		return "", errors.Errorf("%s is missing beside a log: empty the data folder to rejoin with a new identity", path)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", errors.Annotate(err, "create data folder")
	}
	bits := make([]byte, identityBytes)
	if _, err := rand.Read(bits); err != nil {
		return "", errors.Annotate(err, "make disk identity")
	}
	n := hex.EncodeToString(bits)
	return n, wal.WriteFile(path, []byte(n+"\n"), identityPerm)
}

func nodeName(vm id.VM, disk string) quorum.Node { return quorum.Node(string(vm) + "/" + disk) }

func nodeVM(n quorum.Node) id.VM {
	vm, _, _ := strings.Cut(string(n), "/")
	return id.VM(vm)
}

// Found creates the log of a new fleet in folder with this VM as its only voter and commands as its first state.
func Found(folder string, vm id.VM, commands []state.Command) error {
	disk, err := identity(folder)
	if err != nil {
		return err
	}
	log, s, err := wal.Open(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	if s.Snapshot.Index > 0 || len(s.Entries) > 0 || s.Hard.Term > 0 {
		return errors.AlreadyExistsf("fleet in %s", folder)
	}
	m := state.New()
	for i, c := range commands {
		data, err := c.Encode()
		if err != nil {
			return err
		}
		if r := m.Apply(id.Index(i+1), data); r.Code != state.OK {
			return errors.Errorf("found the fleet: %s", r.Message)
		}
	}
	if len(commands) == 0 {
		m.Apply(1, nil) // a snapshot at index 0 would look like an empty log to a learner
	}
	i, data, err := m.Snapshot()
	if err != nil {
		return err
	}
	members := quorum.Members{Voters: []quorum.Node{nodeName(vm, disk)}}
	return log.SaveSnapshot(quorum.Snapshot{Index: quorum.Index(i), Term: 1, Members: members, Data: data}, nil)
}

// upstream returns the address that this VM's calls towards the leader go to.
func (a *Authority) upstream() (string, bool) {
	if a.replica != nil {
		s := a.replica.Status()
		if s.Leader != "" && s.Leader != a.node {
			return a.address(s.Leader)
		}
		if s.Leader == "" && s.Members.Voter(a.node) {
			return "", false
		}
	}
	if p := a.uplink.Load(); p != nil {
		return *p, true
	}
	return "", false
}

// candidates lists where this VM may attach, best first: its data centre's relay, the control VMs nearest by name
// order, the seeds.
func (a *Authority) candidates() []string {
	var near, control []string
	members := a.feed.Members()
	var first id.VM
	for vm, m := range members {
		if vm == a.opt.VM {
			continue
		}
		if m.Control {
			control = append(control, m.Peer)
			if m.Zone == a.opt.Zone {
				near = append(near, m.Peer)
			}
		}
		if m.Zone == a.opt.Zone && (first == "" || vm < first) {
			first = vm
		}
	}
	slices.Sort(near)
	slices.Sort(control)
	if len(near) == 0 && first != "" && first < a.opt.VM {
		near = append(near, members[first].Peer)
	}
	list := append(near, control...)
	for _, s := range a.seeds.Load() {
		if s != a.opt.Peer && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// follow keeps this VM's state machine in step with its relay.
func (a *Authority) follow(ctx context.Context) {
	for ctx.Err() == nil {
		attached := false
		for _, to := range a.candidates() {
			if a.followFrom(ctx, to) {
				attached = true
				break
			}
		}
		if !attached {
			pause.For(ctx, retryPause)
		}
	}
}

// followFrom follows to until a call fails, to lags behind the leader or a better relay is there. It reports whether to
// start with the best relay again; false stands for going on with the next one.
func (a *Authority) followFrom(ctx context.Context, to string) bool {
	worked := false
	for ctx.Err() == nil {
		named := a.named.Load()
		call, cancel := context.WithTimeout(ctx, a.timing.feedWait()+a.timing.feedSlack())
		r, err := peer.Call[feedAnswer](call, a.opt.Transport, to, methodFeed, feedRequest{After: a.feed.Index()})
		cancel()
		if err != nil {
			klog.V(1).InfoS("Feed ended", "peer", to, "err", err)
			return worked
		}
		if err := a.absorb(r); err != nil {
			klog.ErrorS(err, "Feed refused", "peer", to)
			return false
		}
		if !worked {
			klog.InfoS("Feed attached", "peer", to)
			a.uplink.Store(&to)
			worked = true
			a.ReportSoon()
		}
		if r.none() && uint64(a.feed.Index()) < named {
			klog.InfoS("Feed left: it lags behind the leader", "peer", to, "index", a.feed.Index(), "leader", named)
			return false
		}
		if best := a.candidates(); len(best) > 0 && best[0] != to && a.upToDate(ctx, best[0]) {
			return worked
		}
	}
	return worked
}

// upToDate reports whether the relay at to has applied what this VM has, and what the leader has named to it.
func (a *Authority) upToDate(ctx context.Context, to string) bool {
	call, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := peer.Call[freshAnswer](call, a.opt.Transport, to, methodApplied, empty{})
	return err == nil && uint64(r.Index) >= max(uint64(a.feed.Index()), a.named.Load())
}

func (a *Authority) absorb(r feedAnswer) error {
	if len(r.Snapshot) > 0 {
		if err := a.feed.Restore(r.Snapshot); err != nil {
			return err
		}
		a.feed.Publish()
	}
	for _, it := range r.Items {
		if at := a.feed.Index(); it.Index <= at {
			return errors.Errorf("entry %d follows entry %d", it.Index, at)
		}
		a.feed.Apply(quorum.Index(it.Index), it.Data)
	}
	a.feed.Skip(r.Upto)
	a.feed.Publish()
	a.noteApplied(0)
	return nil
}

// ReportSoon makes the next report leave as soon as the least gap between two allows.
func (a *Authority) ReportSoon() {
	select {
	case a.report <- struct{}{}:
	default:
	}
}

// enroll makes this control VM's disk a member of the log. While no leader is known it tells the others its address.
func (a *Authority) enroll(ctx context.Context) {
	for ctx.Err() == nil {
		a.saveAddresses()
		if s := a.replica.Status(); s.Members.Has(a.node) && s.Leader != "" {
			pause.For(ctx, a.timing.feedWait())
			continue
		}
		if err := a.found(ctx); err != nil {
			klog.V(1).InfoS("Fleet not founded yet", "vm", a.opt.VM, "err", err)
			pause.For(ctx, retryPause)
			continue
		}
		for _, to := range a.candidates() {
			a.uplink.Store(&to)
			q := enrollment{Node: a.node, Address: a.opt.Peer}
			call, cancel := context.WithTimeout(ctx, a.timing.call())
			_, err := peer.Call[empty](call, a.opt.Transport, to, methodEnroll, q)
			cancel()
			if err == nil {
				klog.InfoS("Disk enrolled", "node", a.node, "peer", to)
				break
			}
			klog.InfoS("Enrolment failed", "peer", to, "err", err)
		}
		pause.For(ctx, a.timing.feedWait())
	}
}

// proposalAnswer carries a result together with the errors that callers tell apart.
type proposalAnswer struct {
	Result   state.Result `cbor:"1,keyasint"`
	NoQuorum bool         `cbor:"2,keyasint,omitempty"`
	Lost     bool         `cbor:"3,keyasint,omitempty"`
}

// forward passes a proposal on. A call that fails after it was sent leaves the outcome unknown.
func (a *Authority) forward(ctx context.Context, to string, p proposal) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.call())
	defer cancel()
	r, err := peer.Call[proposalAnswer](ctx, a.opt.Transport, to, methodPropose, p)
	switch {
	case errors.Is(err, peer.ErrUnreached):
		return state.Result{}, ErrNoQuorum
	case err != nil:
		klog.V(1).InfoS("Proposal lost", "peer", to, "err", err)
		return state.Result{}, replica.ErrLost
	case r.NoQuorum:
		return state.Result{}, ErrNoQuorum
	case r.Lost:
		return state.Result{}, replica.ErrLost
	}
	return r.Result, nil
}

package roster

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

const (
	methodUpdate      = "vouch"
	methodVersions    = "table"
	methodFetch       = "word"
	refreshInterval   = 500 * time.Millisecond
	broadcastDelay    = 20 * time.Millisecond // after a change; lets BroadcastAndWait send departures first, so that they are not sent twice
	broadcastInterval = 50 * time.Millisecond // minimum time between broadcasts; engines often change state many at a time
	maxRelayedAge     = 2 * refreshInterval   // from this age on, a relayed version is fetched from the VM itself
	expireInterval    = 250 * time.Millisecond
	callTimeout       = time.Second
	relayTimeout      = 200 * time.Millisecond // after this every control VM is queried, which still fits within the peer timeout
	relayRetention    = 2 * time.Second        // how long a relay keeps the last version received from a VM
)

// updateReply reports whether the receiver's copy is still outdated after an update, and which version it has.
type updateReply struct {
	Outdated bool   `cbor:"1,keyasint,omitempty"`
	Epoch    uint64 `cbor:"2,keyasint,omitempty"`
	Version  uint64 `cbor:"3,keyasint,omitempty"`
}

// versionsReply lists the recently received list version of every VM.
type versionsReply struct {
	List []listVersion `cbor:"1,keyasint"`
}

// relayTable holds the list versions that a relay received from the VMs of its data centre. The zero value is empty.
type relayTable struct {
	mu      sync.Mutex
	entries map[id.VM]relayEntry
}

type relayEntry struct {
	version    listVersion
	receivedAt time.Duration
}

// exchangeVersions records a VM's list version at now and returns the versions received within relayRetention.
func (t *relayTable) exchangeVersions(now time.Duration, lv listVersion) []listVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[id.VM]relayEntry{}
	}
	t.entries[lv.VM] = relayEntry{version: lv, receivedAt: now}
	var list []listVersion
	for vm, e := range t.entries {
		if now-e.receivedAt > relayRetention {
			delete(t.entries, vm)
			continue
		}
		list = append(list, e.version)
	}
	return list
}

// Gossip exchanges the rosters of the VMs of one data centre. While nothing changes, each VM sends its list version to a
// relay, one VM of the data centre, and receives the versions of all VMs, so that the cost does not grow with the square
// of the number of VMs. Changes are broadcast to every VM, at most once per broadcastInterval. While the relay does not
// answer, versions are broadcast too.
type Gossip struct {
	Roster    *Roster
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	VM        id.VM
	Zone      id.Zone
	// MultiZone exchanges rosters across all data centres. Upstreams announce themselves to control VMs, which fetch each
	// other's lists. Every other VM gets the list versions from one control VM.
	MultiZone        bool
	table            relayTable
	wake             chan struct{}
	broadcastVersion atomic.Uint64 // version of the own list that was last broadcast
	outbox           outbox        // for the VMs that this control VM passes updates on to
	fetching         sync.Map      // VMs whose lists are being fetched
	mu               sync.Mutex
	nextRound        *broadcastRound // broadcast round that has not started yet; nil if there is none
}

// Register installs the peer handlers. It must be called before the transport starts serving.
func (g *Gossip) Register() {
	g.wake = make(chan struct{}, 1)
	peer.Handle(g.Transport, methodUpdate, func(_ context.Context, from id.VM, v ListUpdate) (updateReply, error) {
		if v.VM != from {
			return updateReply{}, nil
		}
		if g.Roster.Apply(clock.SinceBoot(), v) {
			g.passOn(v)
			return updateReply{}, nil
		}
		epoch, version := g.Roster.PeerVersion(from)
		return updateReply{Outdated: true, Epoch: epoch, Version: version}, nil
	})
	peer.Handle(g.Transport, methodPass, func(_ context.Context, _ id.VM, list []ListUpdate) (struct{}, error) {
		for _, v := range list {
			if v.VM != g.VM {
				g.Roster.Apply(clock.SinceBoot(), v) // what is missing for it comes with the next refresh
			}
		}
		return struct{}{}, nil
	})
	peer.Handle(g.Transport, methodVersions, func(_ context.Context, from id.VM, lv listVersion) (versionsReply, error) {
		if g.MultiZone {
			return versionsReply{List: g.Roster.Versions(clock.SinceBoot())}, nil
		}
		lv.VM = from
		return versionsReply{List: g.table.exchangeVersions(clock.SinceBoot(), lv)}, nil
	})
	peer.Handle(g.Transport, methodFetch, func(_ context.Context, _ id.VM, lv listVersion) (ListUpdate, error) {
		return g.Roster.Since(lv.Epoch, lv.Version), nil
	})
}

// Changed triggers a broadcast of the changes without waiting for the next refresh.
func (g *Gossip) Changed() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run broadcasts changes and expires stale entries until ctx is done.
func (g *Gossip) Run(ctx context.Context) {
	go g.refresh(ctx)
	go g.runOutbox(ctx)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			g.Roster.Expire(clock.SinceBoot())
		case <-g.wake:
			pause.For(ctx, broadcastDelay)
			if v := g.pendingUpdate(); v.Full || v.Since > 0 {
				g.broadcast(ctx, v)
			}
			pause.For(ctx, broadcastInterval)
		}
	}
}

// refresh exchanges list versions periodically, through the relay or with the control VMs.
func (g *Gossip) refresh(ctx context.Context) {
	if g.MultiZone {
		g.fetchInitial(ctx)
		pause.Every(ctx, refreshInterval, func() { g.refreshMultiZone(ctx) })
		return
	}
	pause.Every(ctx, refreshInterval, func() {
		if err := g.exchangeVersions(ctx); err != nil {
			klog.V(1).InfoS("Failed to exchange roster versions with the relay", "err", err)
			g.broadcast(ctx, g.pendingUpdate())
		}
	})
}

// startupInterval is the refresh interval until the first upstream is known: before that the VM cannot serve requests. After a restart of a
// large fleet all VMs are in this state.
const startupInterval = 200 * time.Millisecond

// memberInterval is the time between two looks for control VMs among the members.
const memberInterval = 20 * time.Millisecond

// fetchInitial refreshes the lists until an upstream is known.
func (g *Gossip) fetchInitial(ctx context.Context) {
	none := func() bool { return len(g.Roster.Snapshot().All) == 0 }
	for none() && len(g.controlVMs()) == 0 && pause.For(ctx, memberInterval) {
	}
	for none() {
		g.refreshMultiZone(ctx)
		if !pause.For(ctx, startupInterval) {
			return
		}
	}
}

// fetchFromControlVMs fetches the list, or the changes to it, from every other control VM.
func (g *Gossip) fetchFromControlVMs(ctx context.Context) {
	for _, m := range g.controlVMs() {
		go g.fetch(ctx, m)
	}
}

// controlVMs returns the control VMs except this one.
func (g *Gossip) controlVMs() []state.Member {
	return slices.DeleteFunc(state.ControlVMs(g.Members()), func(m state.Member) bool { return m.VM == g.VM })
}

// refreshMultiZone refreshes the lists of the control VMs. A control VM fetches from each of the others. Any other VM
// gets all versions from one control VM, and fetches only the lists of which it has an older version, or whose version
// that control VM last confirmed maxRelayedAge ago or earlier.
func (g *Gossip) refreshMultiZone(ctx context.Context) {
	members := g.Members()
	if members[g.VM].Control {
		g.fetchFromControlVMs(ctx)
		return
	}
	list := state.SortByProximity(g.controlVMs(), g.VM, g.Zone)
	if len(list) == 0 {
		return
	}
	peerVersions := g.peerVersions(ctx, list[0])
	for _, m := range list {
		lv, ok := peerVersions[m.VM]
		if ok && lv.Age < maxRelayedAge && g.Roster.Apply(clock.SinceBoot()-lv.Age, ListUpdate{VM: lv.VM, Epoch: lv.Epoch, Version: lv.Version}) {
			continue
		}
		go g.fetch(ctx, m)
	}
}

// peerVersions returns the list versions that the control VM m has, or an empty map if it does not answer.
func (g *Gossip) peerVersions(ctx context.Context, m state.Member) map[id.VM]listVersion {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	peerVersions := map[id.VM]listVersion{}
	a, err := peer.Call[versionsReply](ctx, g.Transport, m.Peer, methodVersions, listVersion{VM: g.VM})
	if err != nil {
		klog.V(1).InfoS("Failed to get roster versions from a control VM", "peer", m.Peer, "err", err)
	}
	for _, lv := range a.List {
		peerVersions[lv.VM] = lv
	}
	return peerVersions
}

// fetch fetches the list of m, or the changes to it, unless that is under way.
func (g *Gossip) fetch(ctx context.Context, m state.Member) {
	if _, underWay := g.fetching.LoadOrStore(m.VM, true); underWay {
		return
	}
	defer g.fetching.Delete(m.VM)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, version := g.Roster.PeerVersion(m.VM)
	v, err := peer.Call[ListUpdate](ctx, g.Transport, m.Peer, methodFetch, listVersion{VM: g.VM, Epoch: epoch, Version: version})
	if err != nil || v.VM != m.VM {
		klog.V(1).InfoS("Failed to fetch roster", "peer", m.Peer, "err", err)
		return
	}
	g.Roster.Apply(clock.SinceBoot(), v)
}

// relay returns the VM that keeps the version table of the data centre: the first control VM by name, else the first VM.
func (g *Gossip) relay() (state.Member, bool) {
	var best state.Member
	found := false
	for _, m := range g.Members() {
		if m.Zone != g.Zone {
			continue
		}
		if !found || m.Control && !best.Control || m.Control == best.Control && m.VM < best.VM {
			best, found = m, true
		}
	}
	return best, found
}

// exchangeVersions sends this VM's list version to the relay and applies the versions of all VMs.
func (g *Gossip) exchangeVersions(ctx context.Context) error {
	m, ok := g.relay()
	if !ok {
		return nil
	}
	v := g.Roster.ListUpdate(false)
	own := listVersion{VM: g.VM, Epoch: v.Epoch, Version: v.Version}
	if m.VM == g.VM {
		g.applyVersions(ctx, g.table.exchangeVersions(clock.SinceBoot(), own))
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := peer.Call[versionsReply](callCtx, g.Transport, m.Peer, methodVersions, own)
	if err != nil {
		return err
	}
	g.applyVersions(ctx, a.List)
	return nil
}

// applyVersions refreshes the peers whose version in list is current and fetches the lists of the others.
func (g *Gossip) applyVersions(ctx context.Context, list []listVersion) {
	members := g.Members()
	for _, lv := range list {
		if lv.VM == g.VM || g.Roster.Apply(clock.SinceBoot(), ListUpdate{VM: lv.VM, Epoch: lv.Epoch, Version: lv.Version}) {
			continue
		}
		if m, ok := members[lv.VM]; ok {
			go g.fetch(ctx, m)
		}
	}
}

// broadcast sends v to every other VM of the data centre, or of all data centres if MultiZone is set. In a large fleet control VMs pass it
// on.
func (g *Gossip) broadcast(ctx context.Context, v ListUpdate) {
	for _, m := range g.receivers() {
		go g.sendWithTimeout(ctx, m.Peer, v)
	}
	g.passOn(v)
}

// pendingUpdate returns the changes since the last broadcast, or only the version if there are none, and marks them as
// broadcast.
func (g *Gossip) pendingUpdate() ListUpdate {
	v := g.Roster.ListUpdate(false)
	v = g.Roster.Since(v.Epoch, g.broadcastVersion.Load())
	g.broadcastVersion.Store(v.Version)
	return v
}

func (g *Gossip) sendWithTimeout(ctx context.Context, to string, v ListUpdate) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.send(ctx, to, v); err != nil {
		klog.V(2).InfoS("Failed to send roster update", "peer", to, "err", err)
	}
}

// send delivers v, then the missing changes if the receiver replies that it is still outdated.
func (g *Gossip) send(ctx context.Context, to string, v ListUpdate) error {
	r, err := peer.Call[updateReply](ctx, g.Transport, to, methodUpdate, v)
	if err == nil && r.Outdated {
		_, err = peer.Call[updateReply](ctx, g.Transport, to, methodUpdate, g.Roster.Since(r.Epoch, r.Version))
	}
	return err
}

package roster

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

const (
	methodVouch = "vouch"
	methodTable = "table"
	methodPull  = "pull"
	methodWord  = "word"
	vouchEvery  = 500 * time.Millisecond
	expireEvery = 250 * time.Millisecond
	callTimeout = time.Second
	tableMemory = 2 * time.Second // how long a relay passes a VM's word on
)

// vouchAnswer says whether the full list is needed.
type vouchAnswer struct {
	Lacking bool `cbor:"1,keyasint,omitempty"`
}

// summary is a VM's word without its list.
type summary struct {
	VM      id.VM  `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

// tableAnswer is the latest word of every VM that the relay has heard lately.
type tableAnswer struct {
	List []summary `cbor:"1,keyasint"`
}

// Table is what a relay has heard from the VMs of its data centre. The zero value is empty.
type Table struct {
	mu    sync.Mutex
	heard map[id.VM]heardWord
}

type heardWord struct {
	word summary
	at   time.Duration
}

// exchange records a VM's word at now and returns every VM's that was heard lately.
func (t *Table) exchange(now time.Duration, s summary) []summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard == nil {
		t.heard = map[id.VM]heardWord{}
	}
	t.heard[s.VM] = heardWord{word: s, at: now}
	var list []summary
	for vm, h := range t.heard {
		if now-h.at > tableMemory {
			delete(t.heard, vm)
			continue
		}
		list = append(list, h.word)
	}
	return list
}

// Gossip exchanges the rosters of the VMs of one data centre. At rest each VM tells its relay the version of its list
// and gets everyone's back, so that the cost does not grow with the square of the VMs. A change goes to every VM at
// once. While the relay does not answer, so does the version.
type Gossip struct {
	Roster    *Roster
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	VM        id.VM
	Zone      id.Zone
	// Wide exchanges rosters over all data centres: upstreams announce themselves to control VMs, and every VM asks each
	// of these for its list.
	Wide  bool
	table Table
	wake  chan struct{}
}

// Register answers the other VMs. It comes before the transport serves.
func (g *Gossip) Register() {
	g.wake = make(chan struct{}, 1)
	peer.Handle(g.Transport, methodVouch, func(_ context.Context, from id.VM, v Vouch) (vouchAnswer, error) {
		if v.VM != from {
			return vouchAnswer{}, nil
		}
		return vouchAnswer{Lacking: !g.Roster.Hear(clock.Boot(), v)}, nil
	})
	peer.Handle(g.Transport, methodTable, func(_ context.Context, from id.VM, s summary) (tableAnswer, error) {
		s.VM = from
		return tableAnswer{List: g.table.exchange(clock.Boot(), s)}, nil
	})
	peer.Handle(g.Transport, methodPull, func(context.Context, id.VM, summary) (Vouch, error) {
		return g.Roster.Vouch(true), nil
	})
	peer.Handle(g.Transport, methodWord, func(_ context.Context, _ id.VM, s summary) (Vouch, error) {
		v := g.Roster.Vouch(false)
		if v.Epoch != s.Epoch || v.Version != s.Version {
			v = g.Roster.Vouch(true)
		}
		return v, nil
	})
}

// Changed makes the next message leave at once.
func (g *Gossip) Changed() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends and expires until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.refresh(ctx)
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			g.Roster.Expire(clock.Boot())
		case <-g.wake:
			g.flood(ctx)
		}
	}
}

// refresh renews this VM's word with the relay.
func (g *Gossip) refresh(ctx context.Context) {
	if g.Wide {
		g.askUntilKnown(ctx)
		pause.Each(ctx, vouchEvery, func() { g.askAll(ctx) })
		return
	}
	pause.Each(ctx, vouchEvery, func() {
		if err := g.exchange(ctx); err != nil {
			klog.V(1).InfoS("Relay does not answer", "err", err)
			g.flood(ctx)
		}
	})
}

// firstEvery is how often a VM that has just started asks for the lists: it cannot serve before.
const firstEvery = 50 * time.Millisecond

// askUntilKnown asks until some list has arrived.
func (g *Gossip) askUntilKnown(ctx context.Context) {
	for len(g.Roster.Snapshot().All) == 0 && pause.For(ctx, firstEvery) {
		g.askAll(ctx)
	}
}

// askAll asks every control VM for its list, where this VM lacks it.
func (g *Gossip) askAll(ctx context.Context) {
	for vm, m := range g.Members() {
		if m.Control && vm != g.VM {
			go g.ask(ctx, m)
		}
	}
}

func (g *Gossip) ask(ctx context.Context, m state.Member) {
	epoch, version := g.Roster.Known(m.VM)
	g.fetch(ctx, m, methodWord, summary{VM: g.VM, Epoch: epoch, Version: version})
}

// fetch takes the word of one VM.
func (g *Gossip) fetch(ctx context.Context, m state.Member, method string, s summary) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := peer.Call[Vouch](ctx, g.Transport, m.Peer, method, s)
	if err != nil || v.VM != m.VM {
		klog.V(1).InfoS("Roster not fetched", "peer", m.Peer, "method", method, "err", err)
		return
	}
	g.Roster.Hear(clock.Boot(), v)
}

// relay returns the VM that keeps the data centre's table: the first control VM by name, else the first VM.
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

// exchange tells the relay this VM's word and takes everyone's.
func (g *Gossip) exchange(ctx context.Context) error {
	m, ok := g.relay()
	if !ok {
		return nil
	}
	v := g.Roster.Vouch(false)
	own := summary{VM: g.VM, Epoch: v.Epoch, Version: v.Version}
	if m.VM == g.VM {
		g.take(ctx, g.table.exchange(clock.Boot(), own))
		return nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := peer.Call[tableAnswer](call, g.Transport, m.Peer, methodTable, own)
	if err != nil {
		return err
	}
	g.take(ctx, a.List)
	return nil
}

// take renews the words in list and pulls the lists that this VM lacks.
func (g *Gossip) take(ctx context.Context, list []summary) {
	members := g.Members()
	for _, s := range list {
		if s.VM == g.VM || g.Roster.Hear(clock.Boot(), Vouch{VM: s.VM, Epoch: s.Epoch, Version: s.Version}) {
			continue
		}
		if m, ok := members[s.VM]; ok {
			go g.fetch(ctx, m, methodPull, summary{VM: g.VM})
		}
	}
}

// flood tells this VM's word to every VM of the data centre.
func (g *Gossip) flood(ctx context.Context) {
	for vm, m := range g.Members() {
		if vm != g.VM && (g.Wide || m.Zone == g.Zone) {
			go g.sendTo(ctx, m.Peer)
		}
	}
}

// Spread tells this VM's list to every VM and waits until all have it or wait is over. It returns false where no other
// control VM has it: what this VM heard would be lost with it.
func (g *Gossip) Spread(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v := g.Roster.Vouch(true)
	type reply struct {
		control, ok bool
	}
	members := g.Members()
	ch := make(chan reply, len(members))
	n, others := 0, 0
	for vm, m := range members {
		if vm == g.VM {
			continue
		}
		n++
		if m.Control {
			others++
		}
		go func() {
			_, err := peer.Call[vouchAnswer](ctx, g.Transport, m.Peer, methodVouch, v)
			ch <- reply{m.Control, err == nil}
		}()
	}
	kept := others == 0
	for range n {
		r := <-ch
		kept = kept || r.control && r.ok
	}
	return kept
}

func (g *Gossip) sendTo(ctx context.Context, to string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, g.Roster.Vouch(false))
	if err == nil && r.Lacking {
		_, err = peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, g.Roster.Vouch(true))
	}
	if err != nil {
		klog.V(2).InfoS("Roster not sent", "peer", to, "err", err)
	}
}

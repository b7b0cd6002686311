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
	methodVouch  = "vouch"
	methodTable  = "table"
	methodWord   = "word"
	vouchEvery   = 500 * time.Millisecond
	floodAfter   = 20 * time.Millisecond // from a change on: what departs is told by Spread, which is then not told twice
	floodEvery   = 50 * time.Millisecond // least time between two rounds of changes: engines change in numbers
	relayedAge   = 2 * vouchEvery        // from which on a word through the relay is too old: the VM itself is asked
	expireEvery  = 250 * time.Millisecond
	callTimeout  = time.Second
	relayTimeout = 200 * time.Millisecond // then every control VM is asked, inside the time that a word holds
	tableMemory  = 2 * time.Second        // how long a relay passes a VM's word on
)

// vouchAnswer says whether the receiver lacks more than it was told, and which list it has.
type vouchAnswer struct {
	Lacking bool   `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint,omitempty"`
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
// and gets everyone's back, so that the cost does not grow with the square of the VMs. Changes go to every VM at once, those
// of floodEvery together. While the relay does not answer, so does the version.
type Gossip struct {
	Roster    *Roster
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	VM        id.VM
	Zone      id.Zone
	// Wide exchanges rosters over all data centres: upstreams announce themselves to control VMs. These ask each other for
	// their lists, and every other VM asks one of them which lists there are.
	Wide  bool
	table Table
	wake  chan struct{}
	told  atomic.Uint64 // version of the own list that has gone to every VM
	mu    sync.Mutex
	next  *round // the round of Spread that has not begun; nil where none waits
}

// Register answers the other VMs. It comes before the transport serves.
func (g *Gossip) Register() {
	g.wake = make(chan struct{}, 1)
	peer.Handle(g.Transport, methodVouch, func(_ context.Context, from id.VM, v Vouch) (vouchAnswer, error) {
		if v.VM != from || g.Roster.Hear(clock.Boot(), v) {
			return vouchAnswer{}, nil
		}
		epoch, version := g.Roster.Known(from)
		return vouchAnswer{Lacking: true, Epoch: epoch, Version: version}, nil
	})
	peer.Handle(g.Transport, methodTable, func(_ context.Context, from id.VM, s summary) (tableAnswer, error) {
		if g.Wide {
			return tableAnswer{List: g.Roster.Words(clock.Boot())}, nil
		}
		s.VM = from
		return tableAnswer{List: g.table.exchange(clock.Boot(), s)}, nil
	})
	peer.Handle(g.Transport, methodWord, func(_ context.Context, _ id.VM, s summary) (Vouch, error) {
		return g.Roster.Since(s.Epoch, s.Version), nil
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
			pause.For(ctx, floodAfter)
			if v := g.changes(); v.Full || v.Since > 0 {
				g.flood(ctx, v)
			}
			pause.For(ctx, floodEvery)
		}
	}
}

// refresh renews this VM's word with the relay.
func (g *Gossip) refresh(ctx context.Context) {
	if g.Wide {
		g.askUntilKnown(ctx)
		pause.Each(ctx, vouchEvery, func() { g.askWide(ctx) })
		return
	}
	pause.Each(ctx, vouchEvery, func() {
		if err := g.exchange(ctx); err != nil {
			klog.V(1).InfoS("Relay does not answer", "err", err)
			g.flood(ctx, g.changes())
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
	for _, m := range g.control() {
		go g.ask(ctx, m)
	}
}

// control returns the other control VMs.
func (g *Gossip) control() []state.Member {
	return slices.DeleteFunc(state.ControlVMs(g.Members()), func(m state.Member) bool { return m.VM == g.VM })
}

// askWide renews the words of the control VMs: a control VM asks each, another VM one of them and only those whose word
// that one has not heard lately.
func (g *Gossip) askWide(ctx context.Context) {
	members := g.Members()
	if members[g.VM].Control {
		g.askAll(ctx)
		return
	}
	list := state.Near(g.control(), g.VM, g.Zone)
	if len(list) == 0 {
		return
	}
	words := g.words(ctx, list[0])
	for _, m := range list {
		s, ok := words[m.VM]
		if ok && s.Age < relayedAge && g.Roster.Hear(clock.Boot()-s.Age, Vouch{VM: s.VM, Epoch: s.Epoch, Version: s.Version}) {
			continue
		}
		go g.ask(ctx, m)
	}
}

// words returns what the control VM m knows of all of them; nothing where it does not answer.
func (g *Gossip) words(ctx context.Context, m state.Member) map[id.VM]summary {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	words := map[id.VM]summary{}
	a, err := peer.Call[tableAnswer](ctx, g.Transport, m.Peer, methodTable, summary{VM: g.VM})
	if err != nil {
		klog.V(1).InfoS("Relay does not answer", "peer", m.Peer, "err", err)
	}
	for _, s := range a.List {
		words[s.VM] = s
	}
	return words
}

func (g *Gossip) ask(ctx context.Context, m state.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, version := g.Roster.Known(m.VM)
	v, err := peer.Call[Vouch](ctx, g.Transport, m.Peer, methodWord, summary{VM: g.VM, Epoch: epoch, Version: version})
	if err != nil || v.VM != m.VM {
		klog.V(1).InfoS("Roster not fetched", "peer", m.Peer, "err", err)
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
			go g.ask(ctx, m)
		}
	}
}

// flood tells v to every VM of the data centre.
func (g *Gossip) flood(ctx context.Context, v Vouch) {
	for vm, m := range g.Members() {
		if vm != g.VM && (g.Wide || m.Zone == g.Zone) {
			go g.sendTo(ctx, m.Peer, v)
		}
	}
}

// changes returns what has changed since the last round of changes, or that nothing has.
func (g *Gossip) changes() Vouch {
	v := g.Roster.Vouch(false)
	v = g.Roster.Since(v.Epoch, g.told.Load())
	g.told.Store(v.Version)
	return v
}

func (g *Gossip) sendTo(ctx context.Context, to string, v Vouch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.tell(ctx, to, v); err != nil {
		klog.V(2).InfoS("Roster not sent", "peer", to, "err", err)
	}
}

// tell sends v, and what the receiver says that it lacks besides.
func (g *Gossip) tell(ctx context.Context, to string, v Vouch) error {
	r, err := peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, v)
	if err == nil && r.Lacking {
		_, err = peer.Call[vouchAnswer](ctx, g.Transport, to, methodVouch, g.Roster.Since(r.Epoch, r.Version))
	}
	return err
}

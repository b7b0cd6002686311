// Package tally tells each VM what the others have sent to the upstreams: their outstanding work and where the leading
// parts of prompts were read. Each VM exchanges its own figures with one control VM, the hub, several times a second. In a
// large fleet there are several hubs, which tell each other.
package tally

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
)

const (
	method      = "tally"
	methodTotal = "totals"
	methodShare = "share"
	period      = 100 * time.Millisecond // a tenth of the times to the first token that decisions aim at
	restPeriods = 10                     // a VM without work exchanges once in so many periods
	callTimeout = 300 * time.Millisecond
	memory      = time.Second // after which a silent VM's work counts as done
	ringLength  = 4096        // placements kept for VMs that ask less often
)

// Load is the outstanding work of one VM, or of several, at an upstream.
type Load struct {
	Upstream id.Upstream `cbor:"1,keyasint"`
	Requests int64       `cbor:"2,keyasint"`
	Reading  int64       `cbor:"3,keyasint,omitempty"` // prompt tokens not read yet
}

// Placed is a leading part of a prompt that was sent to an engine.
type Placed struct {
	Upstream id.Upstream `cbor:"1,keyasint"`
	Chain    uint64      `cbor:"2,keyasint"`
	Tokens   id.Tokens   `cbor:"3,keyasint"`
}

// sheet is what a VM tells.
type sheet struct {
	Loads  []Load   `cbor:"1,keyasint,omitempty"`
	Placed []Placed `cbor:"2,keyasint,omitempty"`
	Epoch  uint64   `cbor:"3,keyasint,omitempty"` // of the hub that After belongs to
	After  uint64   `cbor:"4,keyasint,omitempty"` // placements up to here are known
	Asked  []Asked  `cbor:"5,keyasint,omitempty"` // since the last sheet
}

// Asked is the prompt tokens that callers of a service asked to have read, those turned away included.
type Asked struct {
	Service id.Service `cbor:"1,keyasint"`
	Tokens  int64      `cbor:"2,keyasint"`
}

// Totals is the work of all VMs.
type Totals struct {
	Loads []Load                 `cbor:"1,keyasint,omitempty"`
	Read  map[id.Service]float64 `cbor:"2,keyasint,omitempty"` // prompt tokens a second, a moving average
}

// sums is what a VM learns: the work of the others, and their placements.
type sums struct {
	Loads  []Load   `cbor:"1,keyasint,omitempty"`
	Placed []Placed `cbor:"2,keyasint,omitempty"`
	Epoch  uint64   `cbor:"3,keyasint"`
	Upto   uint64   `cbor:"4,keyasint"`
}

// Work is this VM's own side.
type Work interface {
	Loads() []Load
	Placed() []Placed // since the last call
	Asked() []Asked   // since the last call
	SetOthers(loads []Load)
	Learn(list []Placed)
}

// Exchange runs the exchange of one VM, and on control VMs the hub.
type Exchange struct {
	VM        id.VM
	Epoch     uint64
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	Work      Work // nil on a VM that sends nothing to upstreams

	hub    hub
	epoch  uint64
	after  uint64
	unsent []Placed
	asked  map[id.Service]int64
	rest   int
	busy   map[id.VM]chan struct{} // closed once the last share with a hub is over
}

// Register answers the other VMs. It comes before the transport serves.
func (e *Exchange) Register() {
	e.hub.epoch = e.Epoch
	peer.Handle(e.Transport, method, func(_ context.Context, from id.VM, s sheet) (sums, error) {
		return e.hub.exchange(clock.Boot(), from, s), nil
	})
	peer.Handle(e.Transport, methodShare, func(_ context.Context, from id.VM, s share) (struct{}, error) {
		e.hub.hear(clock.Boot(), from, s)
		return struct{}{}, nil
	})
	peer.Handle(e.Transport, methodTotal, func(context.Context, id.VM, struct{}) (Totals, error) {
		return e.hub.totals(clock.Boot()), nil
	})
}

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	pause.Each(ctx, period, func() {
		e.shareAll(ctx)
		if e.Work != nil {
			e.once(ctx)
		}
	})
}

// once makes one exchange with the first control VM that answers.
func (e *Exchange) once(ctx context.Context) {
	s := sheet{Loads: e.Work.Loads(), Epoch: e.epoch, After: e.after}
	e.unsent = append(e.unsent, e.Work.Placed()...)
	s.Placed, s.Asked = e.unsent, e.gather()
	if len(s.Loads) == 0 && len(s.Placed) == 0 && e.rest < restPeriods {
		e.rest++
		return
	}
	e.rest = 0
	for _, m := range hubsFor(e.VM, e.Members()) {
		if m.VM == e.VM {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := peer.Call[sums](call, e.Transport, m.Peer, method, s)
		cancel()
		if err != nil {
			klog.V(1).InfoS("Tally not exchanged", "peer", m.Peer, "err", err)
			continue
		}
		e.unsent, e.asked = nil, nil
		e.epoch, e.after = r.Epoch, r.Upto
		e.Work.SetOthers(r.Loads)
		e.Work.Learn(r.Placed)
		return
	}
	e.unsent = e.unsent[max(0, len(e.unsent)-ringLength):]
}

// gather returns what was asked since the last exchange that succeeded.
func (e *Exchange) gather() []Asked {
	if e.asked == nil {
		e.asked = map[id.Service]int64{}
	}
	for _, a := range e.Work.Asked() {
		e.asked[a.Service] += a.Tokens
	}
	list := make([]Asked, 0, len(e.asked))
	for s, n := range e.asked {
		list = append(list, Asked{Service: s, Tokens: n})
	}
	return list
}

// Totals returns the work of all VMs, from a control VM that knows it.
func (e *Exchange) Totals(ctx context.Context) (Totals, error) {
	err := error(nil)
	members := e.Members()
	for _, m := range hubsFor(e.VM, members) {
		if m.VM == e.VM || members[e.VM].Control && spread(members) {
			return e.hub.totals(clock.Boot()), nil
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var t Totals
		t, err = peer.Call[Totals](call, e.Transport, m.Peer, methodTotal, struct{}{})
		cancel()
		if err == nil {
			return t, nil
		}
	}
	return Totals{}, errors.Annotate(err, "ask for the totals")
}

// Package loadsync shares between VMs which requests they have sent to the upstreams: the outstanding work of each
// upstream, the limit that it names, and the engines that have processed the leading parts of prompts. Each VM exchanges its data with one control
// VM, the hub, several times a second. In a large fleet there are several hubs, which also update each other.
package loadsync

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
	"wagtaillift/internal/services/pace"
)

const (
	methodExchange   = "tally"
	methodTotals     = "totals"
	methodUpdate     = "share"
	exchangeInterval = 100 * time.Millisecond // a tenth of the target times to first token
	maxIdlePeriods   = 10                     // a VM without work skips at most this many exchanges in a row
	callTimeout      = 300 * time.Millisecond
	reportTTL        = time.Second // age at which a VM's last report expires and its work counts as done
	maxPlacements    = 4096        // placements kept for VMs that exchange less often
)

// Load is the outstanding work of one or more VMs at an upstream.
type Load struct {
	Upstream       id.Upstream `cbor:"1,keyasint"`
	Requests       int64       `cbor:"2,keyasint"`
	PendingPrefill int64       `cbor:"3,keyasint,omitempty"` // prompt tokens not yet processed
	Failed         int64       `cbor:"4,keyasint,omitempty"` // recent answers that failed, in parts of outcomeUnit
	Answers        int64       `cbor:"5,keyasint,omitempty"` // recent answers, in the same parts; zero while none of them failed
}

// outcomeUnit is the number by which outcomes are multiplied in messages, where they are whole numbers.
const outcomeUnit = 16

// SetOutcomes sets what the VM knows of the upstream's answers.
func (l *Load) SetOutcomes(failed, answers float64) {
	l.Failed, l.Answers = int64(failed*outcomeUnit+0.5), int64(answers*outcomeUnit+0.5)
}

// Outcomes returns the number of recent answers that failed, and of all recent answers.
func (l Load) Outcomes() (failed, answers float64) {
	return float64(l.Failed) / outcomeUnit, float64(l.Answers) / outcomeUnit
}

// empty reports whether l says nothing of the upstream.
func (l Load) empty() bool { return l == Load{Upstream: l.Upstream} }

// plus returns l with the work and the outcomes of x added, multiplied by sign.
func (l Load) plus(x Load, sign int64) Load {
	return Load{
		Upstream: x.Upstream, Requests: l.Requests + sign*x.Requests, PendingPrefill: l.PendingPrefill + sign*x.PendingPrefill,
		Failed: l.Failed + sign*x.Failed, Answers: l.Answers + sign*x.Answers,
	}
}

// Placed records that a leading part of a prompt was sent to an engine.
type Placed struct {
	Upstream id.Upstream `cbor:"1,keyasint"`
	Chain    uint64      `cbor:"2,keyasint"` // hash of the model and the leading part
	Tokens   id.Tokens   `cbor:"3,keyasint"`
}

// exchangeRequest is sent from a VM to its hub.
type exchangeRequest struct {
	Loads           []Load            `cbor:"1,keyasint,omitempty"`
	Placed          []Placed          `cbor:"2,keyasint,omitempty"`
	Epoch           uint64            `cbor:"3,keyasint,omitempty"` // epoch of the hub that numbered After
	After           uint64            `cbor:"4,keyasint,omitempty"` // number of the last placement received
	RequestedTokens []RequestedTokens `cbor:"5,keyasint,omitempty"` // since the last successful exchange
	Limits          []pace.Limit      `cbor:"6,keyasint,omitempty"` // that upstreams named to this VM or to others
}

// RequestedTokens is the number of prompt tokens in requests to a service, including refused requests.
type RequestedTokens struct {
	Service id.Service `cbor:"1,keyasint"`
	Tokens  int64      `cbor:"2,keyasint"`
}

// Totals is the combined work of all VMs.
type Totals struct {
	Loads      []Load                 `cbor:"1,keyasint,omitempty"`
	PromptRate map[id.Service]float64 `cbor:"2,keyasint,omitempty"` // requested prompt tokens per second, a moving average
}

// exchangeResponse is the answer of a hub: the work and the new placements of all other VMs.
type exchangeResponse struct {
	Loads         []Load       `cbor:"1,keyasint,omitempty"`
	Placed        []Placed     `cbor:"2,keyasint,omitempty"`
	Epoch         uint64       `cbor:"3,keyasint"`
	LastPlacement uint64       `cbor:"4,keyasint"`
	Limits        []pace.Limit `cbor:"5,keyasint,omitempty"`
}

// Work provides this VM's own data and receives that of the other VMs.
type Work interface {
	Loads() []Load
	Placed() []Placed                   // placements since the last call
	RequestedTokens() []RequestedTokens // requested prompt tokens since the last call
	Limits() []pace.Limit               // that upstreams named
	SetOtherLoads(loads []Load)
	MergeLimits(list []pace.Limit)
	AddPlacements(list []Placed)
}

// Exchange exchanges the data of one VM with a hub, and runs the hub on control VMs.
type Exchange struct {
	VM        id.VM
	Epoch     uint64
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	Work      Work // nil on a VM that sends no requests to upstreams

	hub           hub
	hubEpoch      uint64 // epoch of the hub that numbered lastPlacement
	lastPlacement uint64 // number of the last placement received
	unsentPlaced  []Placed
	unsentTokens  map[id.Service]int64
	idlePeriods   int
	updateDone    map[id.VM]chan struct{} // per hub, closed when the last update to it has ended
}

// Register registers the handlers for calls from other VMs. It must be called before the transport serves.
func (e *Exchange) Register() {
	e.hub.epoch = e.Epoch
	peer.Handle(e.Transport, methodExchange, func(_ context.Context, from id.VM, req exchangeRequest) (exchangeResponse, error) {
		return e.hub.exchange(clock.SinceBoot(), from, req), nil
	})
	peer.Handle(e.Transport, methodUpdate, func(_ context.Context, from id.VM, req hubUpdate) (struct{}, error) {
		e.hub.applyUpdate(clock.SinceBoot(), from, req)
		return struct{}{}, nil
	})
	peer.Handle(e.Transport, methodTotals, func(context.Context, id.VM, struct{}) (Totals, error) {
		return e.hub.totals(clock.SinceBoot()), nil
	})
}

// Run exchanges data with the hubs until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	pause.Every(ctx, exchangeInterval, func() {
		e.updateHubs(ctx)
		if e.Work != nil {
			e.exchangeOnce(ctx)
		}
	})
}

// exchangeOnce exchanges data with the first hub that answers. Data that no hub received is sent again next time.
func (e *Exchange) exchangeOnce(ctx context.Context) {
	req := exchangeRequest{Loads: e.Work.Loads(), Epoch: e.hubEpoch, After: e.lastPlacement, Limits: e.Work.Limits()}
	e.unsentPlaced = append(e.unsentPlaced, e.Work.Placed()...)
	req.Placed, req.RequestedTokens = e.unsentPlaced, e.gatherTokens()
	if len(req.Loads) == 0 && len(req.Placed) == 0 && len(req.Limits) == 0 && e.idlePeriods < maxIdlePeriods {
		e.idlePeriods++
		return
	}
	e.idlePeriods = 0
	for _, m := range hubsFor(e.VM, e.Members()) {
		if m.VM == e.VM {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := peer.Call[exchangeResponse](callCtx, e.Transport, m.Peer, methodExchange, req)
		cancel()
		if err != nil {
			klog.V(1).InfoS("Failed to exchange loads with hub", "peer", m.Peer, "err", err)
			continue
		}
		e.unsentPlaced, e.unsentTokens = nil, nil
		e.hubEpoch, e.lastPlacement = r.Epoch, r.LastPlacement
		e.Work.SetOtherLoads(r.Loads)
		e.Work.AddPlacements(r.Placed)
		e.Work.MergeLimits(r.Limits)
		return
	}
	e.unsentPlaced = e.unsentPlaced[max(0, len(e.unsentPlaced)-maxPlacements):]
}

// gatherTokens returns the prompt tokens requested since the last successful exchange.
func (e *Exchange) gatherTokens() []RequestedTokens {
	if e.unsentTokens == nil {
		e.unsentTokens = map[id.Service]int64{}
	}
	for _, a := range e.Work.RequestedTokens() {
		e.unsentTokens[a.Service] += a.Tokens
	}
	list := make([]RequestedTokens, 0, len(e.unsentTokens))
	for s, n := range e.unsentTokens {
		list = append(list, RequestedTokens{Service: s, Tokens: n})
	}
	return list
}

// Totals returns the combined work of all VMs, from this VM's hub or the first other hub that answers.
func (e *Exchange) Totals(ctx context.Context) (Totals, error) {
	err := error(nil)
	members := e.Members()
	for _, m := range hubsFor(e.VM, members) {
		if m.VM == e.VM || members[e.VM].Control && usesMultipleHubs(members) {
			return e.hub.totals(clock.SinceBoot()), nil
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var t Totals
		t, err = peer.Call[Totals](call, e.Transport, m.Peer, methodTotals, struct{}{})
		cancel()
		if err == nil {
			return t, nil
		}
	}
	return Totals{}, errors.Annotate(err, "ask for the totals")
}

package origin

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

const (
	methodPut   = "began"
	methodGet   = "origin"
	copyTimeout = 300 * time.Millisecond // for one copy; then the next VM of the data centre gets it
	findTimeout = 300 * time.Millisecond // for the answers of all VMs that are asked
)

// Exchange shares origins between VMs. Without a Transport it knows only those that this VM recorded.
type Exchange struct {
	VM        id.VM
	Zone      id.Zone
	Transport *peer.Transport
	Members   func() map[id.VM]state.Member
	Table     Table
}

// record is the message that gives an origin to another VM.
type record struct {
	Key    Key    `cbor:"1,keyasint"`
	Origin Origin `cbor:"2,keyasint"`
}

// reply is the answer of a VM that is asked for an origin.
type reply struct {
	Known  bool   `cbor:"1,keyasint,omitempty"`
	Origin Origin `cbor:"2,keyasint"`
}

// Results of Find, counted by metric.
var (
	foundHere   = metrics.NewCounter(`wagtaillift_stream_origins_total{found="here"}`)
	foundAtPeer = metrics.NewCounter(`wagtaillift_stream_origins_total{found="peer"}`)
	notFound    = metrics.NewCounter(`wagtaillift_stream_origins_total{found="no"}`)
)

// Register registers the peer methods.
func (e *Exchange) Register() {
	peer.Handle(e.Transport, methodPut, func(_ context.Context, _ id.VM, r record) (bool, error) {
		e.Table.Put(clock.SinceBoot(), r.Key, r.Origin)
		return true, nil
	})
	peer.Handle(e.Transport, methodGet, func(_ context.Context, _ id.VM, k Key) (reply, error) {
		o, ok := e.Table.Get(clock.SinceBoot(), k)
		return reply{Known: ok, Origin: o}, nil
	})
}

// Record records the origin of a stream and gives it to other VMs, so that it outlives this one. It does not wait for them.
func (e *Exchange) Record(k Key, o Origin) {
	e.Table.Put(clock.SinceBoot(), k, o)
	if e.Transport == nil {
		return
	}
	members := e.Members()
	zones := ranking(members, e.VM, k)
	for _, z := range copyZones(zones, e.Zone, k) {
		go e.copyTo(members, zones[z], record{Key: k, Origin: o})
	}
}

// copyTo sends r to the first of list that confirms it.
func (e *Exchange) copyTo(members map[id.VM]state.Member, list []id.VM, r record) {
	for _, vm := range list[:min(len(list), maxHolderTries)] {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		_, err := peer.Call[bool](ctx, e.Transport, members[vm].Peer, methodPut, r)
		cancel()
		if err == nil {
			return
		}
		klog.V(1).InfoS("Origin of a stream not copied", "request", r.Key.Request, "to", vm, "err", err)
	}
}

// Find returns the origin of a stream, and asks other VMs if this one does not know it.
func (e *Exchange) Find(ctx context.Context, k Key) (Origin, bool) {
	if o, ok := e.Table.Get(clock.SinceBoot(), k); ok {
		foundHere.Inc()
		return o, true
	}
	if o, ok := e.ask(ctx, k); ok {
		foundAtPeer.Inc()
		return o, true
	}
	notFound.Inc()
	return Origin{}, false
}

// ask asks the preferred holders of k in every data centre at once and returns the first origin that one of them knows.
func (e *Exchange) ask(ctx context.Context, k Key) (Origin, bool) {
	if e.Transport == nil {
		return Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	members := e.Members()
	replies := make(chan reply, len(members))
	asked := 0
	for _, list := range ranking(members, e.VM, k) {
		for _, vm := range list[:min(len(list), askedPerZone)] {
			asked++
			go func() { replies <- e.askVM(ctx, members[vm], k) }()
		}
	}
	for range asked {
		if r := <-replies; r.Known {
			return r.Origin, true
		}
	}
	return Origin{}, false
}

// askVM asks one VM for the origin of k. A VM that does not answer knows nothing.
func (e *Exchange) askVM(ctx context.Context, m state.Member, k Key) reply {
	r, err := peer.Call[reply](ctx, e.Transport, m.Peer, methodGet, k)
	if err != nil && ctx.Err() != context.Canceled {
		klog.InfoS("Origin of a stream not asked", "request", k.Request, "peer", m.VM, "err", err)
	}
	return r
}

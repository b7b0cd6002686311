// Package vm assembles one VM: its part in the shared state, its rosters and limits, and its listeners.
package vm

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/routers/announce"
	"wagtaillift/internal/routers/caller"
	"wagtaillift/internal/routers/operator"
	"wagtaillift/internal/services/authority"
	"wagtaillift/internal/services/billing"
	"wagtaillift/internal/services/burn"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/dispatch"
	"wagtaillift/internal/services/journal"
	"wagtaillift/internal/services/limit"
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/route"
)

const (
	methodHold     = "hold"
	methodRefuse   = "refuse"
	methodCrash    = "crash"
	methodIsolate  = "isolate"
	isolateTimeout = 300 * time.Millisecond
	peerTimeout    = time.Second
	idlePoll       = 20 * time.Millisecond
	closeTimeout   = 2 * time.Second
	leastDemand    = 0.01 // tokens a second below which a customer is left out of reports
)

// VM is one running VM.
type VM struct {
	cfg       setting.Config
	transport *peer.Transport
	authority *authority.Authority
	roster    *roster.Roster
	gossip    *roster.Gossip
	limiter   *limit.Limiter
	meter     *billing.Meter
	caller    *caller.Handler
	platform  *platformFace // nil where the product's own interface is served
	operator  *operator.Handler
	burn      *burn.Meter
	journal   *journal.Journal
	refused   *quarantine.List
	orders    *order.Service
	stopping  atomic.Bool
	unhealthy atomic.Bool
	servers   []*http.Server
	listeners []net.Listener
}

// New builds a VM from checked settings and binds its addresses.
func New(cfg setting.Config) (*VM, error) {
	store, err := loadCert(cfg)
	if err != nil {
		return nil, err
	}
	v := &VM{
		cfg: cfg, limiter: &limit.Limiter{}, burn: &burn.Meter{}, journal: &journal.Journal{}, refused: &quarantine.List{},
	}
	if v.transport, err = peer.New(cfg.Listen.Peer, store); err != nil {
		return nil, err
	}
	if cfg.Peers.Advertise == "" {
		cfg.Peers.Advertise = v.transport.Address()
		v.cfg = cfg
	}
	inc := id.Incarnation(time.Now().UnixNano())
	v.authority, err = authority.New(authority.Options{
		VM: id.VM(cfg.VM), Zone: id.Zone(cfg.Zone), Incarnation: inc, Peer: cfg.PeerAddress(),
		Operator: cfg.Listen.Operator, Folder: cfg.Data.Folder, Seeds: cfg.SeedPeers(), Voters: cfg.Voters(),
		First: cfg.Data.First, Transport: v.transport,
		Tolerance: tolerance(cfg),
		Timing:    authority.Timing{Lease: cfg.VMLease(), Election: cfg.Lease.Election, Apply: cfg.Lease.Apply, Spare: cfg.Data.Spare},
	})
	if err != nil {
		return nil, err
	}
	v.buildRoster(inc)
	v.buildMeter(inc)
	v.buildLimits()
	if cfg.Face == facePlatform {
		v.buildPlatform(inc)
		return v, v.listen(v.platformFaces())
	}
	v.buildCaller(inc)
	v.operator = &operator.Handler{
		Authority: v.authority, Roster: v.roster, Explain: v.journal.Explain,
		Burn: func(now time.Time) any { return v.burn.Report(now) },
	}
	v.operator.Register()
	v.buildOrders(nil, nil)
	return v, v.listen(v.faces())
}

// The faces that settings name.
const facePlatform = "platform"

// loadCert returns the VM's certificate, or makes one where the network is trusted.
func loadCert(cfg setting.Config) (*cert.Store, error) {
	if cfg.Peers.Trust != "network" {
		return cert.Load(cfg.Peers.Cert)
	}
	klog.InfoS("Peers are not verified: whoever reaches the peers' network can pass for a VM", "vm", cfg.VM)
	return cert.Ephemeral(id.VM(cfg.VM), id.Zone(cfg.Zone), time.Now())
}

// tolerance returns how far customers may get beyond their limits.
func tolerance(cfg setting.Config) limit.Tolerance {
	return limit.Tolerance{Over: cfg.Limit.Over, Slack: cfg.Limit.Slack, Span: cfg.Limit.Span}
}

// buildOrders sets up what is done under exclusive roles. Nil ports speak this project's own protocol.
func (v *VM) buildOrders(port order.Platform, engines order.Engines) {
	cfg := v.cfg
	v.orders = order.New(order.Options{
		Authority: v.authority, Roster: v.roster, Platform: cfg.Bill.Platform, Port: port, Engines: engines,
		Wide: cfg.Route.Scope == "fleet", Window: cfg.Bill.Window,
		Delay: cfg.Bill.Delay, Lease: cfg.Lease.Duty, Now: v.authority.Wall,
	})
}

func (v *VM) buildRoster(inc id.Incarnation) {
	a := v.authority
	wide := v.cfg.Route.Scope == "fleet"
	v.gossip = &roster.Gossip{Transport: v.transport, Members: a.State().Members, VM: a.VM(), Zone: a.Zone(), Wide: wide}
	if wide {
		v.roster = roster.NewWide(a.VM(), uint64(inc), v.cfg.Route.Silence, v.gossip.Changed)
	} else {
		v.roster = roster.New(a.VM(), a.Zone(), uint64(inc), v.gossip.Changed)
	}
	v.gossip.Roster = v.roster
	v.gossip.Register()
}

func (v *VM) buildMeter(inc id.Incarnation) {
	a := v.authority
	v.meter = &billing.Meter{VM: a.VM(), Incarnation: inc, Send: v.sendCounts}
	a.OnUsage(v.meter.Readings)
	a.OnCounted(v.meter.Counted)
	peer.Handle(v.transport, methodHold, func(_ context.Context, _ id.VM, list []usage.Reading) (bool, error) {
		v.meter.Hold(list)
		return true, nil
	})
	peer.Handle(v.transport, methodIsolate, func(_ context.Context, _ id.VM, r isolation) (bool, error) {
		if !r.Enter {
			v.refused.Leave(r.Upstream, r.Print)
			return true, nil
		}
		return v.refused.Enter(clock.Boot(), r.Upstream, r.Print), nil
	})
	peer.Handle(v.transport, methodCrash, func(_ context.Context, _ id.VM, r refusedPrint) (bool, error) {
		return v.refused.Crash(clock.Boot(), r.Print, r.Hold), nil
	})
	peer.Handle(v.transport, methodRefuse, func(_ context.Context, _ id.VM, r refusedPrint) (bool, error) {
		v.refused.Refuse(clock.Boot(), r.Print, r.Hold)
		return true, nil
	})
}

// refusedPrint tells the other VMs of a quarantined request.
type refusedPrint struct {
	Print quarantine.Print `cbor:"1,keyasint"`
	Hold  time.Duration    `cbor:"2,keyasint"`
}

// isolation reserves an upstream for one suspect, or frees it.
type isolation struct {
	Upstream id.Upstream      `cbor:"1,keyasint"`
	Print    quarantine.Print `cbor:"2,keyasint"`
	Enter    bool             `cbor:"3,keyasint,omitempty"`
}

// reserve asks the other VMs of the data centre to keep u for the suspect p, or to free it. A VM that does not answer
// in time does not object.
func (v *VM) reserve(u id.Upstream, p quarantine.Print, enter bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), isolateTimeout)
	defer cancel()
	var refused atomic.Bool
	var wg sync.WaitGroup
	for _, to := range v.neighbours() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok, err := peer.Call[bool](ctx, v.transport, to, methodIsolate, isolation{Upstream: u, Print: p, Enter: enter})
			if err == nil && !ok {
				refused.Store(true)
			}
		}()
	}
	wg.Wait()
	return !refused.Load()
}

// neighbours returns the peer addresses of the other VMs of the data centre.
func (v *VM) neighbours() []string {
	return v.others(func(m state.Member) bool { return m.Zone == v.authority.Zone() })
}

// others returns the peer addresses of the other VMs that want accepts.
func (v *VM) others(want func(m state.Member) bool) []string {
	var list []string
	for vm, m := range v.authority.State().Members() {
		if vm != v.authority.VM() && want(m) {
			list = append(list, m.Peer)
		}
	}
	return list
}

// buddy returns the VM that keeps copies of this VM's counts: the next one by name in the data centre.
func (v *VM) buddy() (string, bool) {
	self := v.authority.VM()
	var next, first id.VM
	members := v.authority.State().Members()
	for vm, m := range members {
		if vm == self || m.Zone != v.authority.Zone() {
			continue
		}
		if first == "" || vm < first {
			first = vm
		}
		if vm > self && (next == "" || vm < next) {
			next = vm
		}
	}
	if next == "" {
		next = first
	}
	return members[next].Peer, next != ""
}

func (v *VM) sendCounts(ctx context.Context, list []usage.Reading) error {
	to, ok := v.buddy()
	if !ok {
		return nil
	}
	_, err := peer.Call[bool](ctx, v.transport, to, methodHold, list)
	return err
}

// tellRefused tells every VM about a quarantined request: its caller may send it again in another data centre.
func (v *VM) tellRefused(p quarantine.Print, hold time.Duration) {
	v.tell(methodRefuse, refusedPrint{p, hold})
}

// tellCrashed tells every VM that a request ran on an upstream that crashed.
func (v *VM) tellCrashed(p quarantine.Print, hold time.Duration) {
	v.tell(methodCrash, refusedPrint{p, hold})
}

func (v *VM) tell(method string, p refusedPrint) {
	for _, to := range v.others(func(state.Member) bool { return true }) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := peer.Call[bool](ctx, v.transport, to, method, p); err != nil {
				klog.InfoS("Suspect not told", "method", method, "peer", to, "err", err)
			}
		}()
	}
}

func (v *VM) buildLimits() {
	v.limiter.Extra = tolerance(v.cfg)
	v.limiter.Alone = func(now time.Duration) (int, bool) { return v.entries(), v.authority.Alone(now) }
	v.limiter.Drawer, v.limiter.Short = v.authority, v.authority.ReportSoon
	v.authority.OnDemand(func(now time.Duration) []authority.Demand {
		var list []authority.Demand
		v.limiter.Each(func(c id.Customer, b *limit.Bucket) {
			if !v.authority.Leased(now, v.autonomy(c)) {
				b.Discard(now) // the leader may have given this share to others
			}
			part, wanted := b.Part(), b.Demand(now)
			if wanted < leastDemand && part == (limit.Part{}) {
				return
			}
			list = append(list, authority.Demand{Customer: c, Wanted: wanted, Rate: part.Rate, Burst: part.Burst, Back: b.Back(), Size: b.Size()})
		})
		return list
	})
	v.authority.OnShares(func(list []authority.Share) {
		now := clock.Boot()
		for _, s := range list {
			b := v.limiter.Bucket(s.Customer)
			b.Set(now, limit.Part{Rate: s.Rate, Burst: s.Burst})
			b.Give(now, s.Gift)
		}
	})
}

func (v *VM) buildCaller(inc id.Incarnation) {
	a := v.authority
	d := &dispatch.Dispatcher{Roster: v.roster, Client: upstream.New(), Quarantine: v.refused, Refused: v.tellRefused, Reserve: v.reserve}
	if v.cfg.Route.Policy == "naive" {
		d.Pick = route.Naive
	}
	v.caller = &caller.Handler{
		Config: a.Config,
		Filters: []pipeline.Filter{
			pipeline.Authenticate(a), pipeline.Classify(pipeline.Bounds{Body: int64(v.cfg.Caller.Body), Slow: v.cfg.Caller.Slow}), pipeline.Limit(v.limiter),
		},
		Dispatcher: d, Claims: &pipeline.Claims{Proposer: a, VM: a.VM(), Incarnation: inc},
		Meter: v.meter, Limiter: v.limiter, Recorder: v, Stopping: &v.stopping, Unhealthy: &v.unhealthy,
	}
	v.caller.Register()
}

// Record keeps what happened to a request, for explaining it and for service levels.
func (v *VM) Record(c *call.Call, first, end time.Time, err error) {
	v.journal.Record(c, first, end, err)
	v.burn.Record(c, first, end, err)
	outcome := "ok"
	var r *call.Refusal
	if errors.As(err, &r) {
		outcome = string(r.Code)
	}
	countOutcome(string(c.Service.ID), outcome)
}

// face is one listener; without an address it is not served.
type face struct {
	name, address string
	h             http.Handler
}

// faces returns the listeners of the product's own interface.
func (v *VM) faces() []face {
	up := &announce.Handler{Config: v.authority.Config, Guard: v.authority, Roster: v.roster, VM: v.authority.VM()}
	return []face{
		{"callers", v.cfg.Listen.Caller, v.caller},
		{"operators", v.cfg.Listen.Operator, v.operator},
		{"upstreams", v.cfg.Listen.Upstream, up},
		{"metrics", v.cfg.Listen.Metrics, v.metrics()},
	}
}

// listen binds the TCP addresses.
func (v *VM) listen(faces []face) error {
	for _, f := range faces {
		if f.address == "" {
			v.listeners, v.servers = append(v.listeners, nil), append(v.servers, &http.Server{})
			continue
		}
		l, err := net.Listen("tcp", f.address)
		if err != nil {
			return errors.Annotatef(err, "listen for %s on %s", f.name, f.address)
		}
		v.listeners = append(v.listeners, l)
		v.servers = append(v.servers, &http.Server{
			Handler: f.h, ReadHeaderTimeout: v.cfg.Caller.Slow, MaxHeaderBytes: v.cfg.Caller.Header,
		})
	}
	return nil
}

func (v *VM) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		v.writeBurn(w)
		v.writeControl(w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// The order of the listeners.
const (
	faceCaller = iota
	faceOperator
	faceUpstream
	faceMetrics
)

// CallerURL returns the base URL of the callers' listener.
func (v *VM) CallerURL() string { return v.url(faceCaller) }

// OperatorURL returns the base URL of the operators' listener.
func (v *VM) OperatorURL() string { return v.url(faceOperator) }

// UpstreamURL returns the base URL of the upstreams' listener.
func (v *VM) UpstreamURL() string { return v.url(faceUpstream) }

// PeerAddress returns the address that other VMs call.
func (v *VM) PeerAddress() string { return v.transport.Address() }

func (v *VM) url(face int) string { return "http://" + v.listeners[face].Addr().String() }

// Run serves until ctx ends, then stops without cutting a request.
func (v *VM) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	failed := make(chan error, len(v.servers)+1)
	start := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	start(func() { v.transport.Serve(inner) })
	start(func() {
		if err := v.authority.Run(inner); err != nil {
			failed <- err
		}
	})
	start(func() { v.gossip.Run(inner) })
	start(func() { v.orders.Run(inner) })
	start(func() { v.background(inner) })
	for i, s := range v.servers {
		if v.listeners[i] == nil {
			continue
		}
		start(func() {
			if err := s.Serve(v.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	klog.InfoS("VM started", "vm", v.cfg.VM, "zone", v.cfg.Zone, "caller", v.cfg.Listen.Caller, "peer", v.cfg.PeerAddress())
	var err error
	select {
	case <-ctx.Done():
		v.drain()
	case err = <-failed:
	}
	cancel()
	v.close()
	wg.Wait()
	return err
}

// drain fails the health check, then refuses new requests, then waits for the running ones.
func (v *VM) drain() {
	v.unhealthy.Store(true)
	klog.InfoS("VM stopping", "vm", v.cfg.VM, "running", v.running())
	v.servers[faceCaller].SetKeepAlivesEnabled(false) // callers go elsewhere with their next request
	time.Sleep(v.cfg.Stop.Lead)
	v.stopping.Store(true)
	end := time.Now().Add(v.cfg.Stop.Limit)
	for v.running() > 0 && time.Now().Before(end) {
		time.Sleep(idlePoll)
	}
	klog.InfoS("VM drained", "vm", v.cfg.VM, "running", v.running())
	ctx, cancel := context.WithTimeout(context.Background(), v.cfg.Stop.Leave)
	defer cancel()
	v.authority.Flush(ctx)
	v.authority.Leave(ctx)
}

func (v *VM) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range v.servers {
		s.Shutdown(ctx)
		s.Close()
	}
	v.transport.Close()
}

// Reload applies what may change while the VM runs: the seeds and the log's verbosity. The rest waits for a restart.
func (v *VM) Reload(cfg setting.Config) {
	v.authority.SetSeeds(cfg.SeedPeers())
	klog.InfoS("Settings reloaded", "vm", cfg.VM, "seeds", cfg.SeedPeers())
}

// Config returns the configuration in force on this VM.
func (v *VM) Config() *state.Config { return v.authority.Config() }

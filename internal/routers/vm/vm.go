// Package vm assembles a VM from its services: control plane, upstream roster, rate limits, usage metering and listeners.
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
	"wagtaillift/internal/modules/inbound"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/modules/pause"
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
	"wagtaillift/internal/services/limit"
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/pipeline"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/requestlog"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/route"
	"wagtaillift/internal/services/shutdown"
	"wagtaillift/internal/services/tunnel"
)

// Peer methods, timeouts and limits.
const (
	methodHoldUsage = "hold"
	methodSuspects  = "suspects"
	methodReserve   = "isolate"
	reserveTimeout  = 300 * time.Millisecond
	peerTimeout     = time.Second
	rebuildPause    = 100 * time.Microsecond // for each upstream; 56 ms for 560
	minDemandRate   = 0.01                   // tokens per second; customers with less demand are left out of reports
)

// VM holds the services and listeners of one VM process.
type VM struct {
	cfg            setting.Config
	transport      *peer.Transport
	authority      *authority.Agent
	dialer         upstream.Dialer
	tunnels        *tunnel.Service
	roster         *roster.Roster
	gossip         *roster.Gossip
	limiter        *limit.Limiter
	meter          *billing.Meter
	caller         *caller.Handler
	platform       *platformServer // nil unless the platform API is served
	operator       *operator.Handler
	burn           *burn.Meter
	requestlog     *requestlog.Journal
	quarantineList *quarantine.List
	pace           *pace.Table
	sharer         *quarantine.Sharer
	detector       *quarantine.Detector
	orders         *order.Service
	memory         memory.Budget
	inbound        inbound.Table
	gate           shutdown.Gate
	requests       context.Context // of all callers' requests
	endRequests    context.CancelCauseFunc
	stopping       atomic.Bool
	unhealthy      atomic.Bool
	servers        []*http.Server
	listeners      []net.Listener
}

// New builds a VM from validated settings and binds its listeners.
func New(cfg setting.Config) (*VM, error) {
	store, err := loadCert(cfg)
	if err != nil {
		return nil, err
	}
	v := &VM{
		cfg: cfg, limiter: &limit.Limiter{}, burn: &burn.Meter{}, requestlog: &requestlog.Journal{},
		quarantineList: &quarantine.List{}, pace: &pace.Table{},
	}
	v.requests, v.endRequests = context.WithCancelCause(context.Background())
	if v.transport, err = peer.New(cfg.Listen.Peer, store); err != nil {
		return nil, err
	}
	if cfg.Peers.Advertise == "" {
		cfg.Peers.Advertise = v.transport.Address()
		v.cfg = cfg
	}
	v.limitMemory()
	inc := id.Incarnation(time.Now().UnixNano())
	v.authority, err = authority.New(authority.Options{
		VM: id.VM(cfg.VM), Zone: id.Zone(cfg.Zone), Incarnation: inc, Peer: cfg.PeerAddress(),
		Operator: cfg.Listen.Operator, Folder: cfg.Data.Folder, Seeds: cfg.SeedPeers(), Voters: cfg.Voters(),
		FirstStart: cfg.Data.FirstStart, Transport: v.transport,
		Tolerance: tolerance(cfg),
		Timing: authority.Timing{
			Lease: cfg.VMLease(), ElectionTimeout: cfg.Lease.ElectionTimeout, ApplyBound: cfg.Lease.ApplyBound,
			ReplaceVoterAfter: cfg.Data.ReplaceVoterAfter,
		},
	})
	if err != nil {
		v.transport.Close() // the process may build the VM again, once its disk has room
		return nil, err
	}
	v.buildRoster(inc)
	v.buildTunnels()
	v.buildUsageMeter(inc)
	v.buildQuarantine()
	v.buildLimits()
	v.pace.FleetTime, v.pace.Senders = v.authority.FleetTime, v.senders
	if cfg.API == apiPlatform {
		v.buildPlatform(inc)
		return v, v.listen(v.platformEndpoints())
	}
	v.buildCaller(inc)
	v.operator = &operator.Handler{
		Agent: v.authority, Roster: v.roster, Explain: v.requestlog.Explain,
		Burn: func(now time.Time) any { return v.burn.Report(now) },
	}
	v.operator.Register()
	v.buildOrderService(nil, nil)
	return v, v.listen(v.endpoints())
}

// scopeFleet is the value of the "route.scope" setting with which upstreams serve the VMs of all data centres.
const scopeFleet = "fleet"

// apiPlatform is the value of the "face" setting that selects the platform API.
const apiPlatform = "platform"

// loadCert loads the VM's certificate, or creates an ephemeral one if the settings trust the peer network.
func loadCert(cfg setting.Config) (*cert.Store, error) {
	if cfg.Peers.Trust != "network" {
		return cert.Load(cfg.Peers.Cert)
	}
	klog.InfoS("Peer certificates are not verified: any host on the peer network can act as a VM", "vm", cfg.VM)
	return cert.NewEphemeral(id.VM(cfg.VM), id.Zone(cfg.Zone), time.Now())
}

// buildOrderService creates the service that sends usage reports and scaling orders to the platform, and orders to engines, under
// exclusive leases. A nil platformClient or engines selects this project's own protocol.
func (v *VM) buildOrderService(platformClient order.Platform, engines order.Engines) {
	cfg := v.cfg
	v.orders = order.New(order.Options{
		ControlPlane: v.authority, Roster: v.roster, Platform: cfg.Billing.Platform, PlatformClient: platformClient, Engines: engines,
		MultiZone: cfg.Route.Scope == scopeFleet, Window: cfg.Billing.Window,
		SealDelay: cfg.Billing.SealDelay, Lease: cfg.Lease.ExclusiveRole, Now: v.authority.FleetTime,
	})
}

// buildRoster creates the roster and the gossip that exchanges it with other VMs: those of this data centre, or of all of them if
// the route scope is "fleet".
func (v *VM) buildRoster(inc id.Incarnation) {
	a := v.authority
	allZones := v.cfg.Route.Scope == scopeFleet
	v.gossip = &roster.Gossip{Transport: v.transport, Members: a.State().Members, VM: a.VM(), Zone: a.Zone(), MultiZone: allZones}
	if allZones {
		v.roster = roster.NewMultiZone(a.VM(), uint64(inc), v.cfg.Route.HeartbeatTimeout, v.gossip.Changed)
	} else {
		v.roster = roster.New(a.VM(), a.Zone(), uint64(inc), v.gossip.Changed)
	}
	v.roster.LimitRebuilds(rebuildPause)
	v.gossip.Roster = v.roster
	v.gossip.Register()
}

// buildTunnels creates the service through which VMs that are cut off from the upstreams connect to them.
func (v *VM) buildTunnels() {
	a := v.authority
	v.tunnels = &tunnel.Service{
		VM: a.VM(), Zone: a.Zone(), Transport: v.transport, Dialer: &v.dialer, Members: a.State().Members, Entry: v.sharesUpstreams,
		Known: v.roster.HasAddress, Stopping: v.stopping.Load,
	}
	v.tunnels.Register()
	v.dialer.Relay = v.tunnels.Open
}

// buildUsageMeter creates the usage meter, and registers the peer method for copies of usage counts.
func (v *VM) buildUsageMeter(inc id.Incarnation) {
	a := v.authority
	v.meter = &billing.Meter{VM: a.VM(), Incarnation: inc, SendCopy: v.sendUsage}
	a.OnUsage(v.meter.UncommittedReadings)
	a.OnUsageCommitted(v.meter.MarkCommitted)
	peer.Handle(v.transport, methodHoldUsage, func(_ context.Context, _ id.VM, list []usage.Reading) (bool, error) {
		v.meter.Hold(list)
		return true, nil
	})
}

// zonePeers returns the peer addresses of the other VMs in this data centre.
func (v *VM) zonePeers() []string {
	return v.peerAddresses(func(m state.Member) bool { return m.Zone == v.authority.Zone() })
}

// peerAddresses returns the peer addresses of the other VMs that match accepts.
func (v *VM) peerAddresses(match func(m state.Member) bool) []string {
	var list []string
	for vm, m := range v.authority.State().Members() {
		if vm != v.authority.VM() && match(m) {
			list = append(list, m.Peer)
		}
	}
	return list
}

// usageBackupPeer returns the peer address of the VM that stores copies of this VM's usage counts: the next VM by name in the
// data centre, or the first one after the last name.
func (v *VM) usageBackupPeer() (string, bool) {
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

// sendUsage copies usage readings to the backup VM, if there is one.
func (v *VM) sendUsage(ctx context.Context, list []usage.Reading) error {
	to, ok := v.usageBackupPeer()
	if !ok {
		return nil
	}
	_, err := peer.Call[bool](ctx, v.transport, to, methodHoldUsage, list)
	return err
}

// buildCaller creates the handler for callers of the OpenAI-style API.
func (v *VM) buildCaller(inc id.Incarnation) {
	a := v.authority
	d := &dispatch.Dispatcher{
		Roster: v.roster, Client: upstream.New(&v.dialer), Quarantine: v.quarantineList, Detector: v.detector, Pace: v.pace,
		ReserveOnPeers: v.reserveUpstream, Gate: &v.gate,
	}
	if v.cfg.Route.Policy == "naive" {
		d.Pick = route.PickFewestRequests
	}
	v.caller = &caller.Handler{
		Config: a.Config,
		Filters: []pipeline.Filter{
			pipeline.Authenticate(a),
			pipeline.Classify(pipeline.BodyLimits{Body: int64(v.cfg.Caller.Body), ReadTimeout: v.cfg.Caller.ReadTimeout, Memory: &v.memory}),
			pipeline.RateLimit(v.limiter),
		},
		Dispatcher: d, Claims: &pipeline.Claims{Proposer: a, VM: a.VM(), Incarnation: inc},
		Meter: v.meter, Limiter: v.limiter, Recorder: v, Stopping: &v.stopping, Unhealthy: &v.unhealthy,
	}
	v.caller.Register()
}

// Record adds the outcome of a request to the request log, the error-budget burn rates and the request counter.
func (v *VM) Record(c *call.Call, firstTokenAt, end time.Time, err error) {
	v.requestlog.Record(c, firstTokenAt, end, err)
	v.burn.Record(c, firstTokenAt, end, err)
	outcome := "ok"
	var r *call.Refusal
	if errors.As(err, &r) {
		outcome = string(r.Code)
	}
	countRequest(string(c.Service.ID), outcome)
}

// endLater wraps a handler so that, once the VM is stopping, each answer ends its connection: callers then send their next request to
// another VM. Idle connections stay open meanwhile, since a caller may just be sending on one.
func (v *VM) endLater(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.unhealthy.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// endpoint is a listener with its handler and the part of the process's descriptors that its clients may take. An empty address disables it.
type endpoint struct {
	name, address string
	h             http.Handler
	descriptors   float64
}

// Parts of the descriptors of a process. What they leave is for upstreams, other VMs, the log and the data folder.
const (
	mainClients  = 0.4      // of the address at which a VM does its work
	otherClients = 0.1      // of an address with few clients
	probeClients = 1.0 / 16 // of probes and metrics
)

// endpoints returns the endpoints of the OpenAI-style API.
func (v *VM) endpoints() []endpoint {
	announcements := &announce.Handler{Config: v.authority.Config, Guard: v.authority, Roster: v.roster, VM: v.authority.VM()}
	return []endpoint{
		{"callers", v.cfg.Listen.Caller, v.endLater(v.caller), mainClients},
		{"operators", v.cfg.Listen.Operator, v.operator, otherClients},
		{"upstreams", v.cfg.Listen.Upstream, announcements, otherClients},
		{"metrics", v.cfg.Listen.Metrics, v.metricsHandler(), probeClients},
	}
}

// listen binds the TCP addresses. A disabled endpoint gets a nil listener, so that the indexes stay the same.
func (v *VM) listen(endpoints []endpoint) error {
	descriptors := v.limitConnections()
	for i, e := range endpoints {
		if e.address == "" {
			v.listeners, v.servers = append(v.listeners, nil), append(v.servers, &http.Server{})
			continue
		}
		idle := func() time.Duration { return v.cfg.Caller.IdleTimeout }
		if i == endpointCaller {
			idle = v.callerIdleTimeout
		}
		l, err := v.inbound.Listen(e.name, e.address, int(e.descriptors*float64(descriptors)), idle)
		if err != nil {
			return err
		}
		v.listeners = append(v.listeners, l)
		v.servers = append(v.servers, &http.Server{
			Handler: l.Handler(e.h), ConnContext: inbound.ConnContext, ReadHeaderTimeout: v.cfg.Caller.ReadTimeout, MaxHeaderBytes: v.cfg.Caller.MaxHeader,
		})
	}
	return nil
}

// metricsHandler serves Prometheus metrics and profiles.
func (v *VM) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		v.writeBurnRates(w)
		v.writeControlMetrics(w)
		v.writeMemoryMetrics(w)
		v.inbound.WriteMetrics(w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// Indexes of the listeners, in the order of endpoints and platformEndpoints.
const (
	endpointCaller = iota
	endpointOperator
	endpointUpstream
	endpointMetrics
)

// CallerURL returns the base URL of the caller listener.
func (v *VM) CallerURL() string { return v.endpointURL(endpointCaller) }

// OperatorURL returns the base URL of the operator listener.
func (v *VM) OperatorURL() string { return v.endpointURL(endpointOperator) }

// UpstreamURL returns the base URL of the upstream listener.
func (v *VM) UpstreamURL() string { return v.endpointURL(endpointUpstream) }

// PeerAddress returns the address on which this VM takes calls from other VMs.
func (v *VM) PeerAddress() string { return v.transport.Address() }

func (v *VM) endpointURL(index int) string { return "http://" + v.listeners[index].Addr().String() }

// Run serves until ctx ends or a component fails. When ctx ends it drains the VM before it returns.
func (v *VM) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	failures := make(chan error, len(v.servers)+1)
	start := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	start(func() { v.transport.Serve(serveCtx) })
	start(func() {
		if err := v.authority.Run(serveCtx); err != nil {
			failures <- err
		}
	})
	start(func() { v.gossip.Run(serveCtx) })
	start(func() { v.orders.Run(serveCtx) })
	start(func() { v.sharer.Run(serveCtx) })
	start(func() {
		pause.Every(serveCtx, quarantine.CheckInterval, func() { v.detector.Check(clock.SinceBoot()) })
	})
	start(func() { v.runPlatform(serveCtx) })
	start(func() { v.inbound.Run(serveCtx) })
	v.servers[endpointCaller].BaseContext = func(net.Listener) context.Context { return v.requests }
	for i, s := range v.servers {
		if v.listeners[i] == nil {
			continue
		}
		start(func() {
			if err := s.Serve(v.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	klog.InfoS("VM started", "vm", v.cfg.VM, "zone", v.cfg.Zone, "caller", v.cfg.Listen.Caller, "peer", v.cfg.PeerAddress())
	var err error
	closing := context.Background()
	select {
	case <-ctx.Done():
		p := shutdown.NewPlan(time.Now(), v.cfg.Shutdown)
		var exit context.CancelFunc
		closing, exit = context.WithDeadline(closing, p.Exit)
		defer exit()
		v.drain(closing, &p)
	case err = <-failures:
	}
	cancel()
	v.close(closing)
	wg.Wait()
	return err
}

// Reload applies the seeds of the new settings. Other settings take effect after a restart.
func (v *VM) Reload(cfg setting.Config) {
	v.authority.SetSeeds(cfg.SeedPeers())
	klog.InfoS("Settings reloaded", "vm", cfg.VM, "seeds", cfg.SeedPeers())
}

// Config returns the configuration that this VM applies now.
func (v *VM) Config() *state.Config { return v.authority.Config() }

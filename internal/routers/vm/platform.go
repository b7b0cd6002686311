package vm

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/label"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/forward"
	"wagtaillift/internal/services/loadsync"
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/pace"
	"wagtaillift/platform"
)

const (
	cleanupInterval     = 2 * time.Second
	retryBudgetFraction = 0.8 // fraction of the retry budget that is divided between VMs, because shares grow when a VM that spent its own is lost
)

// platformServer holds the components that a VM needs to serve the platform API.
type platformServer struct {
	pool      *upstream.Pool
	forwarder *forward.Forwarder
	caller    *platform.Caller
	control   *platform.Control
	loadsync  *loadsync.Exchange
}

// buildPlatform creates the handlers of the platform API and the services behind them. A VM with a caller address serves
// callers and takes part in load exchange as a sender; one with an operator address serves operators and upstreams.
func (v *VM) buildPlatform(inc id.Incarnation) {
	a := v.authority
	server := &platformServer{pool: &upstream.Pool{Dialer: &v.dialer}}
	v.platform = server
	var emptyUntil time.Duration
	if !v.cfg.Data.FirstStart {
		emptyUntil = clock.SinceBoot() + v.cfg.Route.Retries.Window
	}
	server.forwarder = &forward.Forwarder{
		Config: a.Config, Guard: a, Limiter: v.limiter, Roster: v.roster,
		UpstreamClient: &platform.UpstreamClient{Pool: server.pool}, Meter: v.meter, Quarantine: v.quarantineList,
		Detector: v.detector, Pace: v.pace, Gate: &v.gate, Origins: v.buildOrigins(), Zone: a.Zone(), Members: v.entryCount,
		Window: func(now time.Duration) id.Window {
			return id.WindowAt(a.FleetTime(now), v.cfg.Billing.Window)
		},
		Orders: a.State().LatestOrders, EventFormat: platform.EventFormat,
		Retries: forward.Retries{
			Ratio: retryBudgetFraction * v.cfg.Route.Retries.Ratio,
			Burst: retryBudgetFraction * v.cfg.Route.Retries.Burst, EmptyUntil: emptyUntil,
		},
	}
	server.caller = &platform.Caller{
		Config: a.Config, Forwarder: server.forwarder, Stopping: &v.stopping, RecordOutcome: countRequest, Memory: &v.memory,
	}
	server.control = &platform.Control{
		ControlPlane: a, Roster: v.roster, Ready: v.ready, BroadcastAndWait: v.gossip.BroadcastAndWait, Memory: &v.memory,
	}
	server.control.Register()
	server.loadsync = &loadsync.Exchange{VM: a.VM(), Epoch: uint64(inc), Transport: v.transport, Members: a.State().Members}
	if v.cfg.Listen.Caller != "" {
		server.loadsync.Work = server.forwarder
	}
	server.loadsync.Register()
	var cloud order.Platform
	if v.cfg.Billing.Platform != "" {
		cloud = &platform.CloudClient{Address: v.cfg.Billing.Platform, Sender: order.NewSender()}
	}
	v.buildOrderService(cloud, &platform.EngineOrderClient{Sender: order.NewSender()})
}

// buildOrigins creates the exchange of the origins of streams.
func (v *VM) buildOrigins() *origin.Exchange {
	a := v.authority
	e := &origin.Exchange{VM: a.VM(), Zone: a.Zone(), Transport: v.transport, Members: a.State().Members}
	e.Register()
	return e
}

// platformEndpoints returns the endpoints of the platform API.
func (v *VM) platformEndpoints() []endpoint {
	server := v.platform
	return []endpoint{
		{"callers", v.cfg.Listen.Caller, v.endLater(server.caller), mainClients},
		{"operators", v.cfg.Listen.Operator, server.control, mainClients},
		{"upstreams", v.cfg.Listen.Upstream, server.control, otherClients},
		{"metrics", v.cfg.Listen.Metrics, v.metricsHandler(), probeClients},
		{"readiness", v.cfg.Listen.Ready, platform.Ready(v.ready), probeClients},
	}
}

// ready reports whether this VM can serve callers: its health check passes, its lease is valid, and it has a configuration and
// at least one upstream.
func (v *VM) ready() bool {
	return !v.unhealthy.Load() && v.authority.Leased(clock.SinceBoot(), 0) && v.authority.Config().Version > 0 &&
		len(v.roster.Snapshot().All) > 0
}

// entryCount returns the number of VMs that send requests to upstreams, at least one.
func (v *VM) entryCount() int {
	return max(1, state.CountEntryVMs(v.authority.State().Members()))
}

// senders returns the VMs that send requests to the same upstreams as this one, in the order of their names.
func (v *VM) senders() pace.Senders {
	var s pace.Senders
	for name, m := range v.authority.State().Members() {
		if !v.sharesUpstreams(m) {
			continue
		}
		s.Count++
		if name < v.authority.VM() {
			s.Rank++
		}
	}
	return s
}

// sharesUpstreams reports whether a member sends requests to the upstreams of this VM.
func (v *VM) sharesUpstreams(m state.Member) bool {
	if v.cfg.API == apiPlatform && m.Control {
		return false
	}
	return v.cfg.Route.Scope == scopeFleet || m.Zone == v.authority.Zone()
}

// runningRequests returns the number of requests in progress, of own callers and of other VMs that use a connection of this one.
func (v *VM) runningRequests() int64 {
	n := v.tunnels.Relaying()
	if v.platform != nil {
		return n + v.platform.caller.RunningRequests.Load()
	}
	return n + v.caller.RunningRequests.Load()
}

// runPlatform runs the load exchange, the planners and the cleanup of the platform API until ctx ends. It returns at once if the
// VM doesn't serve that API.
func (v *VM) runPlatform(ctx context.Context) {
	server := v.platform
	if server == nil {
		return
	}
	go server.loadsync.Run(ctx)
	if v.authority.IsControlVM() {
		go v.planRoles(ctx)
		go v.planScaling(ctx)
	}
	pause.Every(ctx, cleanupInterval, func() {
		inUse := map[string]bool{}
		for _, u := range v.roster.Snapshot().All {
			inUse[u.Address] = true
		}
		server.pool.CloseStale(time.Now(), func(address string) bool { return inUse[address] })
		server.forwarder.RemoveStale()
		window := server.forwarder.Window(clock.SinceBoot())
		v.meter.DropCommitted(window - min(window, keptWindows))
	})
}

// keptWindows is the number of usage windows for which a VM keeps committed counters, in case a leader asks again.
const keptWindows = 12

// countRequest increments the request counter of a service and outcome.
func countRequest(service, outcome string) {
	metrics.GetOrCreateCounter(`wagtaillift_requests_total{service=` + label.Quote(service) + `,outcome=` + label.Quote(outcome) + `}`).Inc()
}

var _ http.Handler = (*platform.Caller)(nil)

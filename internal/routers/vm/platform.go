package vm

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/forward"
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/tally"
	"wagtaillift/platform"
)

const (
	tidyEvery   = 2 * time.Second
	memoryPart  = 0.7 // of the memory in the settings that the collector aims at; the rest is stacks and buffers
	retryMargin = 0.8 // of the budget of repeated requests that is handed out; VMs restart with a full part
	megabyte    = 1 << 20
)

// platformFace is what a VM needs to serve the users' platform.
type platformFace struct {
	pool      *upstream.Pool
	forwarder *forward.Forwarder
	caller    *platform.Caller
	control   *platform.Control
	tally     *tally.Exchange
}

// buildPlatform assembles the platform's faces: callers on VMs with a callers' address, operators and upstreams on those
// with an operators' address.
func (v *VM) buildPlatform(inc id.Incarnation) {
	a := v.authority
	if v.cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(v.cfg.Memory) * megabyte))
	}
	p := &platformFace{pool: &upstream.Pool{}}
	v.platform = p
	p.forwarder = &forward.Forwarder{
		Config: a.Config, Guard: a, Limiter: v.limiter, Roster: v.roster, Upstreams: &platform.Upstreams{Pool: p.pool},
		Meter: v.meter, Quarantine: v.refused, Crashed: v.tellCrashed, Zone: a.Zone(), Members: v.entries,
		Window: func(now time.Duration) id.Window {
			return id.WindowAt(a.Wall(now), v.cfg.Bill.Window)
		},
		Orders:  a.State().Latest,
		Retries: forward.Retries{Part: retryMargin * v.cfg.Route.Retries.Part, Burst: retryMargin * v.cfg.Route.Retries.Burst},
	}
	p.caller = &platform.Caller{Config: a.Config, Forwarder: p.forwarder, Stopping: &v.stopping, Record: countOutcome}
	p.control = &platform.Control{Authority: a, Roster: v.roster, Ready: v.ready, Spread: v.gossip.Spread}
	p.control.Register()
	p.tally = &tally.Exchange{VM: a.VM(), Epoch: uint64(inc), Transport: v.transport, Members: a.State().Members}
	if v.cfg.Listen.Caller != "" {
		p.tally.Work = p.forwarder
	}
	p.tally.Register()
	var cloud order.Platform
	if v.cfg.Bill.Platform != "" {
		cloud = &platform.Cloud{Address: v.cfg.Bill.Platform, Sender: order.NewSender()}
	}
	v.buildOrders(cloud, &platform.Engines{Sender: order.NewSender()})
}

// platformFaces returns the listeners of the platform's interface.
func (v *VM) platformFaces() []face {
	p := v.platform
	return []face{
		{"callers", v.cfg.Listen.Caller, p.caller},
		{"operators", v.cfg.Listen.Operator, p.control},
		{"upstreams", v.cfg.Listen.Upstream, p.control},
		{"metrics", v.cfg.Listen.Metrics, v.metrics()},
		{"readiness", v.cfg.Listen.Ready, platform.Ready(v.ready)},
	}
}

// ready reports whether this VM can serve callers: it knows a configuration and upstreams, and its lease holds.
func (v *VM) ready() bool {
	return !v.unhealthy.Load() && v.authority.Leased(clock.Boot(), 0) && v.authority.Config().Version > 0 &&
		len(v.roster.Snapshot().All) > 0
}

// entries returns how many VMs send requests to upstreams.
func (v *VM) entries() int {
	return max(1, state.Entries(v.authority.State().Members()))
}

// running returns the callers' requests in progress.
func (v *VM) running() int64 {
	if v.platform != nil {
		return v.platform.caller.Running.Load()
	}
	return v.caller.Running.Load()
}

// background does the platform's recurring work until ctx ends.
func (v *VM) background(ctx context.Context) {
	p := v.platform
	if p == nil {
		return
	}
	go p.tally.Run(ctx)
	if v.authority.Control() {
		go v.planRoles(ctx)
		go v.planScale(ctx)
	}
	pause.Each(ctx, tidyEvery, func() {
		wanted := map[string]bool{}
		for _, u := range v.roster.Snapshot().All {
			wanted[u.Address] = true
		}
		p.pool.Trim(time.Now(), func(address string) bool { return wanted[address] })
		p.forwarder.Tidy()
		w := p.forwarder.Window(clock.Boot())
		v.meter.Forget(w - min(w, forgetAfter))
	})
}

// forgetAfter is how many windows a VM keeps its committed counters, for a leader that asks again.
const forgetAfter = 12

func countOutcome(service, outcome string) {
	metrics.GetOrCreateCounter(`wagtaillift_requests_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}

var _ http.Handler = (*platform.Caller)(nil)

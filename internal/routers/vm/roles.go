package vm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	orders "wagtaillift/internal/models/order"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/loadsync"
	"wagtaillift/internal/services/role"
	"wagtaillift/internal/services/roster"
)

// planInterval is the time between two planning rounds for roles and upstream counts: a fraction of the time that a role change
// or the start of an upstream takes.
const planInterval = 500 * time.Millisecond

// planEachService runs planning rounds until ctx ends. A round calls f for every service with the load of all VMs; it is skipped
// while allowed returns false, the VM stops or the load is not available.
func (v *VM) planEachService(
	ctx context.Context, planName string, allowed func(now time.Duration) bool,
	f func(now time.Duration, s service.Service, t loadsync.Totals),
) {
	pause.Every(ctx, planInterval, func() {
		now := clock.SinceBoot()
		if !allowed(now) || v.stopping.Load() {
			return
		}
		t, err := v.platform.loadsync.Totals(ctx)
		if err != nil {
			klog.V(1).InfoS("Planning round skipped", "what", planName, "err", err)
			return
		}
		for _, s := range v.authority.Config().Services {
			f(now, s, t)
		}
	})
}

// roleHistory records when this VM last ordered a role change of each engine, and of any engine of each service.
type roleHistory struct {
	changedAt map[id.Upstream]time.Duration // by engine
	latest    map[id.Service]time.Duration  // by service
}

// planRoles orders role changes of engines while this VM holds the lease for engine orders, until ctx ends.
func (v *VM) planRoles(ctx context.Context) {
	history := roleHistory{changedAt: map[id.Upstream]time.Duration{}, latest: map[id.Service]time.Duration{}}
	v.planEachService(ctx, "roles", v.orders.CanOrder, func(now time.Duration, s service.Service, t loadsync.Totals) {
		if s.Engine != nil {
			v.planServiceRoles(ctx, now, &history, s, t)
		}
	})
}

// planServiceRoles orders the next role change for a service, if role.Plan returns one.
func (v *VM) planServiceRoles(ctx context.Context, now time.Duration, history *roleHistory, s service.Service, t loadsync.Totals) {
	input := v.roleInput(history, s, t)
	c, ok := role.Plan(now, &input)
	if !ok {
		return
	}
	history.changedAt[c.Engine], history.latest[s.ID] = now, now
	err := v.orders.Order(ctx, c.Engine, orders.SetRole, string(c.Role), "pressure")
	klog.InfoS("Role ordered", "service", s.ID, "upstream", c.Engine, "role", c.Role, "read", input.PromptRate,
		"speed", input.PrefillSpeed, "engines", len(input.Engines), "before", c.PressureBefore, "after", c.PressureAfter, "err", err)
}

// roleInput collects the engines and the load of a service for role.Plan.
func (v *VM) roleInput(history *roleHistory, s service.Service, t loadsync.Totals) role.Input {
	running := map[id.Upstream]int{}
	for _, l := range t.Loads {
		running[l.Upstream] = int(l.Requests)
	}
	input := role.Input{
		PromptRate: t.PromptRate[s.ID], LastChange: history.latest[s.ID],
		MinRoleDwell: v.authority.Config().ResolveDuration(policy.MinRoleDwell, "", s.ID),
		PrefillSpeed: roster.DefaultDedicatedSpeed * 1000, // tokens per millisecond to tokens per second
	}
	latest := v.authority.State().LatestOrders()
	for _, u := range v.roster.Snapshot().Services[s.ID] {
		current := effectiveRole(u)
		if o := latest[u.Name]; o.ChangesRole(u.Incarnation, string(u.Role)) {
			current = engine.Role(o.Value) // an engine with a pending role order counts under its new role
		}
		input.Engines = append(input.Engines, role.Engine{
			Name: u.Name, Zone: u.Zone, Role: current, Cheap: u.Cheap, Running: running[u.Name],
			ChangedAt: history.changedAt[u.Name],
		})
	}
	return input
}

// effectiveRole returns the role of u for planning: every engine that is not dedicated to prefill counts as decode.
func effectiveRole(u *roster.Upstream) engine.Role {
	if u.Role == engine.Prefill {
		return engine.Prefill
	}
	return engine.Decode
}

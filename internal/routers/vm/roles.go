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
	"wagtaillift/internal/services/role"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/tally"
)

// planEvery is how often roles and numbers of engines are looked at: a fraction of the time that a change takes.
const planEvery = 500 * time.Millisecond

// plan calls f for every service, with the work of all VMs, whenever this VM may act, until ctx ends.
func (v *VM) plan(ctx context.Context, what string, may func(now time.Duration) bool, f func(now time.Duration, s service.Service, t tally.Totals)) {
	pause.Each(ctx, planEvery, func() {
		now := clock.Boot()
		if !may(now) || v.stopping.Load() {
			return
		}
		t, err := v.platform.tally.Totals(ctx)
		if err != nil {
			klog.V(1).InfoS("Not planned", "what", what, "err", err)
			return
		}
		for _, s := range v.authority.Config().Services {
			f(now, s, t)
		}
	})
}

// planner remembers the changes that this VM ordered.
type planner struct {
	changed map[id.Upstream]time.Duration
	last    map[id.Service]time.Duration
}

// planRoles orders changes of engines' roles while this VM may, until ctx ends.
func (v *VM) planRoles(ctx context.Context) {
	p := planner{changed: map[id.Upstream]time.Duration{}, last: map[id.Service]time.Duration{}}
	v.plan(ctx, "roles", v.orders.Orders, func(now time.Duration, s service.Service, t tally.Totals) {
		if s.Engine != nil {
			v.planService(ctx, now, &p, s, t)
		}
	})
}

// planService makes the next change of one service's roles, where one is of use.
func (v *VM) planService(ctx context.Context, now time.Duration, p *planner, s service.Service, t tally.Totals) {
	view := v.viewRoles(p, s, t)
	c, ok := role.Plan(now, &view)
	if !ok {
		return
	}
	p.changed[c.Engine], p.last[s.ID] = now, now
	err := v.orders.Order(ctx, c.Engine, orders.SetRole, string(c.Role), "pressure")
	klog.InfoS("Role ordered", "service", s.ID, "upstream", c.Engine, "role", c.Role, "read", view.Read, "speed", view.Speed,
		"engines", len(view.Engines), "before", c.Before, "after", c.After, "err", err)
}

func (v *VM) viewRoles(p *planner, s service.Service, t tally.Totals) role.View {
	running := map[id.Upstream]int{}
	for _, l := range t.Loads {
		running[l.Upstream] = int(l.Requests)
	}
	out := role.View{
		Read: t.Read[s.ID], Last: p.last[s.ID], Dwell: v.authority.Config().Seconds(policy.Dwell, "", s.ID),
		Speed: roster.FirstApart * 1000,
	}
	last := v.authority.State().Latest()
	for _, u := range v.roster.Snapshot().Services[s.ID] {
		now := roleOf(u)
		if o := last[u.Name]; o.Changes(u.Incarnation, string(u.Role)) {
			now = engine.Role(o.Value) // it counts as what it is about to be
		}
		out.Engines = append(out.Engines, role.Engine{
			Name: u.Name, Zone: u.Zone, Role: now, Cheap: u.Cheap, Running: running[u.Name], Changed: p.changed[u.Name],
		})
	}
	return out
}

func roleOf(u *roster.Upstream) engine.Role {
	if u.Role == engine.Prefill {
		return engine.Prefill
	}
	return engine.Decode
}

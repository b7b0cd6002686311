package vm

import (
	"time"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/services/authority"
	"wagtaillift/internal/services/limit"
	"wagtaillift/internal/services/pool"
)

// buildLimits connects the rate limiter to the control plane: this VM reports the demand of each customer to the leader, which
// assigns a share of the customer's rate and burst to each VM.
func (v *VM) buildLimits() {
	v.limiter.Allowance = tolerance(v.cfg)
	v.limiter.Leaderless = func(now time.Duration) (int, bool) { return v.entryCount(), v.authority.Leaderless(now) }
	v.limiter.Drawer, v.limiter.OnShortage = v.authority, v.authority.ReportSoon
	v.buildPool()
	v.authority.OnDemand(func(now time.Duration) []authority.Demand {
		var list []authority.Demand
		v.limiter.Each(func(c id.Customer, b *limit.Bucket) {
			if !v.authority.Leased(now, v.autonomy(c)) {
				b.Reset(now) // the leader may have assigned this share to other VMs
			}
			share, demand := b.Quota(), b.Demand(now)
			if demand < minDemandRate && share == (limit.Quota{}) {
				return
			}
			list = append(list, authority.Demand{
				Customer: c, WantedRate: demand, Rate: share.Rate, Burst: share.Burst,
				DroppedTokens: b.DroppedTokens(), MeanTokens: b.MeanTokens(),
			})
		})
		return list
	})
	v.authority.OnShares(func(list []authority.Share) {
		now := clock.SinceBoot()
		for _, s := range list {
			b := v.limiter.Bucket(s.Customer)
			b.SetShare(now, limit.Quota{Rate: s.Rate, Burst: s.Burst})
			b.Credit(now, s.AddedTokens)
		}
	})
}

// buildPool connects the rate limiter to the VMs that hold shares for this data centre, if the fleet is large.
func (v *VM) buildPool() {
	a := v.authority
	p := &pool.Service{
		VM: a.VM(), Zone: a.Zone(), Transport: v.transport, Members: a.State().Members, Limiter: v.limiter,
		Entry: func(m state.Member) bool { return v.cfg.API != apiPlatform || !m.Control },
		Holding: func(now time.Duration, c id.Customer) bool {
			return a.Leased(now, v.autonomy(c)) && !v.stopping.Load()
		},
	}
	p.Register()
	v.limiter.Pool = p
}

// autonomy returns how long this VM may serve c after its VM lease has ended.
func (v *VM) autonomy(c id.Customer) time.Duration {
	return v.authority.Config().ResolveDuration(policy.Autonomy, c, "")
}

// tolerance returns by how much customers may exceed their rate and burst limits.
func tolerance(cfg setting.Config) limit.Tolerance {
	return limit.Tolerance{Over: cfg.Limit.Over, Slack: cfg.Limit.Slack, Span: cfg.Limit.Span}
}

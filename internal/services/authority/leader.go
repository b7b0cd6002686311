package authority

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/limit"
)

const (
	usageInterval        = time.Second
	revisionPollInterval = 20 * time.Millisecond
)

// leader performs the duties of the leading VM. After a change of leader its state is rebuilt from reports.
type leader struct {
	a  *Agent
	mu sync.Mutex

	leadingSince time.Duration // replica.Status.LeadingSince of the leadership that the fields below belong to
	lastReports  map[id.VM]receivedReport
	firstSeen    map[id.VM]firstObservation
	renewals     map[lease.Name]observedRenewal
	dividers     map[id.Customer]*limit.Divider
	retained     []retained // of VMs whose lease has ended but whose autonomy has not
	usageCounts  map[usage.Source]usage.Count
	usageTakenAt time.Duration
}

// receivedReport is the latest report of a VM.
type receivedReport struct {
	incarnation id.Incarnation
	at          time.Duration // by the leader's boot clock
	sentAt      time.Duration // by the VM's boot clock
	revision    id.Revision
	wallOffset  time.Duration // wall time in the report less the leader's boot clock at receipt
}

// firstObservation records when this leader first saw an incarnation among the members.
type firstObservation struct {
	incarnation id.Incarnation
	at          time.Duration
}

// observedRenewal records when this VM first saw the latest renewal of a lease.
type observedRenewal struct {
	fence      id.Fence
	number     uint64
	observedAt time.Duration
}

// retained is a share that its VM may use until dueAt although its VM lease has ended, because the customer has
// autonomy: policy.Autonomy lets VMs serve its requests for some time without a lease.
type retained struct {
	customer id.Customer
	vm       id.VM
	dueAt    time.Duration
}

func newLeader(a *Agent) *leader {
	return &leader{a: a, renewals: map[lease.Name]observedRenewal{}}
}

func (l *leader) run(ctx context.Context) {
	pause.Every(ctx, dutyInterval, func() {
		now := clock.SinceBoot()
		l.observeLeases(now)
		if l.a.Leading(now) {
			l.performDuties(ctx, now)
		}
	})
}

func (l *leader) performDuties(ctx context.Context, now time.Duration) {
	s := l.a.replica.Status()
	l.mu.Lock()
	l.reset(s.LeadingSince)
	expiredMembers := l.expiredMembers(now)
	leases := l.expiredLeases(now)
	readings := l.takeUsage(now)
	l.unfreezeDividers(now)
	l.mu.Unlock()
	for _, m := range expiredMembers {
		klog.InfoS("VM lease expired", "vm", m.VM, "incarnation", m.Incarnation)
		l.propose(ctx, state.Command{Leave: &state.Leave{VM: m.VM, Incarnation: m.Incarnation}})
	}
	for _, e := range leases {
		klog.InfoS("Lease expired", "lease", e.Name, "fence", e.Fence)
		l.propose(ctx, state.Command{Expire: &e})
	}
	if len(readings) > 0 {
		l.propose(ctx, state.Command{Usage: &state.Usage{Readings: readings}})
	}
}

func (l *leader) propose(ctx context.Context, c state.Command) {
	ctx, cancel := context.WithTimeout(ctx, l.a.timing.call())
	defer cancel()
	if _, err := l.a.Propose(ctx, c); err != nil {
		klog.V(1).InfoS("Leader failed to commit command", "err", err)
	}
}

// reset discards the state of an earlier leadership.
func (l *leader) reset(leadingSince time.Duration) {
	if l.leadingSince == leadingSince && l.lastReports != nil {
		return
	}
	l.leadingSince = leadingSince
	l.lastReports = map[id.VM]receivedReport{}
	l.firstSeen = map[id.VM]firstObservation{}
	l.dividers = map[id.Customer]*limit.Divider{}
	l.retained = nil
	l.usageCounts = map[usage.Source]usage.Count{}
}

// earlierLeasesEnd returns when every VM lease granted by an earlier leader has ended.
func (l *leader) earlierLeasesEnd() time.Duration { return l.a.timing.leaseEnd(l.leadingSince) }

// observeLeases records when this VM first saw each renewal, even while it is not the leader.
func (l *leader) observeLeases(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.a.State().Leases() {
		r, ok := l.renewals[g.Name]
		if !ok || r.fence != g.Fence || r.number != g.Renewal {
			l.renewals[g.Name] = observedRenewal{fence: g.Fence, number: g.Renewal, observedAt: now}
		}
	}
}

// expiredLeases returns the leases that have ended even under the largest clock drift.
func (l *leader) expiredLeases(now time.Duration) []state.Expire {
	var list []state.Expire
	for _, g := range l.a.State().Leases() {
		r, ok := l.renewals[g.Name]
		if ok && r.fence == g.Fence && r.number == g.Renewal && now > lease.EndedAt(r.observedAt, g.Duration) {
			list = append(list, state.Expire{Name: g.Name, Fence: g.Fence, Renewal: g.Renewal})
		}
	}
	return list
}

// expiredMembers returns the members whose VM lease has ended even under the largest clock drift, and reclaims their
// shares.
func (l *leader) expiredMembers(now time.Duration) []state.Member {
	var list []state.Member
	for vm, m := range l.a.feed.Members() {
		if seenAt := l.lastSeen(now, m); now > l.a.timing.leaseEnd(seenAt) {
			list = append(list, m)
			l.reclaimShares(vm, now)
		}
	}
	var remaining []retained
	for _, e := range l.retained {
		if now < e.dueAt {
			remaining = append(remaining, e)
		} else if d := l.dividers[e.customer]; d != nil {
			d.Remove(e.vm)
		}
	}
	l.retained = remaining
	return list
}

// lastSeen returns the time of m's latest report or, if there is none, when m was first seen among the members: a VM
// reports only after it has joined.
func (l *leader) lastSeen(now time.Duration, m state.Member) time.Duration {
	if report, ok := l.lastReports[m.VM]; ok && report.incarnation >= m.Incarnation {
		return report.at
	}
	first, ok := l.firstSeen[m.VM]
	if !ok || first.incarnation != m.Incarnation {
		first = firstObservation{incarnation: m.Incarnation, at: now}
		l.firstSeen[m.VM] = first
	}
	return first.at
}

// reclaimShares takes back the shares of vm. Shares of customers with autonomy are taken back when that is over.
func (l *leader) reclaimShares(vm id.VM, now time.Duration) {
	cfg := l.a.Config()
	for c, d := range l.dividers {
		autonomy := cfg.ResolveDuration(policy.Autonomy, c, "")
		if autonomy == 0 {
			d.Remove(vm)
			continue
		}
		l.retained = append(l.retained, retained{customer: c, vm: vm, dueAt: now + lease.EndedAt(0, autonomy)})
	}
	delete(l.lastReports, vm)
	delete(l.firstSeen, vm) // the same incarnation may join again
}

// unfreezeDividers lets dividers enlarge shares as soon as no unknown VM can hold one.
func (l *leader) unfreezeDividers(now time.Duration) {
	cfg := l.a.Config()
	for c, d := range l.dividers {
		d.SetLimit(l.customerLimit(cfg, c))
		l.unfreezeDivider(now, cfg, c, d)
		d.Refill(now)
	}
}

// unfreezeDivider unfreezes d once every member has reported, or all leases granted by an earlier leader have ended.
// For a customer with autonomy only the latter counts and the autonomy must be over as well, because a VM that is no
// longer a member may still use its share.
func (l *leader) unfreezeDivider(now time.Duration, cfg *state.Config, c id.Customer, d *limit.Divider) {
	if !d.Frozen {
		return
	}
	autonomy := cfg.ResolveDuration(policy.Autonomy, c, "")
	allKnown := autonomy == 0 && l.allMembersReported()
	if allKnown || now > l.earlierLeasesEnd()+lease.EndedAt(0, autonomy) {
		d.Unfreeze(now)
	}
}

// allMembersReported reports whether every member has reported to this leader. If so, no unknown VM holds a share,
// because a VM is removed from the members only after its lease has ended.
func (l *leader) allMembersReported() bool {
	for vm, m := range l.a.feed.Members() {
		if s, ok := l.lastReports[vm]; !ok || s.incarnation != m.Incarnation {
			return false
		}
	}
	return true
}

// customerLimit returns the rate and burst of c with the configured tolerance applied.
func (l *leader) customerLimit(cfg *state.Config, c id.Customer) limit.Quota {
	return l.a.opt.Tolerance.Apply(limit.Quota{
		Rate: cfg.Resolve(policy.Rate, c, "").Value, Burst: cfg.Resolve(policy.Burst, c, "").Value,
	})
}

// divider returns the divider of c. A new one starts frozen, because VMs may still hold shares from an earlier leader.
func (l *leader) divider(now time.Duration, c id.Customer) *limit.Divider {
	d, ok := l.dividers[c]
	if !ok {
		cfg := l.a.Config()
		d = &limit.Divider{Frozen: true}
		d.Start(now)
		d.SetLimit(l.customerLimit(cfg, c))
		l.unfreezeDivider(now, cfg, c, d)
		l.dividers[c] = d
	}
	return d
}

// grant answers reports with VM leases and shares.
func (l *leader) grant(now time.Duration, list []Report) grantBatch {
	s := l.a.replica.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset(s.LeadingSince)
	var out grantBatch
	members := l.a.feed.Members()
	for _, r := range list {
		out.List = append(out.List, l.grantReport(now, members, r))
	}
	l.addWall(now, out.List)
	return out
}

// grantReport answers one report. It records the usage of any sender, but grants a lease and shares only to members.
func (l *leader) grantReport(now time.Duration, members map[id.VM]state.Member, r Report) Grant {
	g := Grant{VM: r.VM, Sent: r.Sent}
	for _, u := range r.Usage {
		l.usageCounts[u.Source] = l.usageCounts[u.Source].Merge(u.Count)
		g.Counted = append(g.Counted, usage.Reading{Source: u.Source, Count: l.a.State().Count(u.Source)})
	}
	m, ok := members[r.VM]
	if !ok || m.Incarnation != r.Incarnation {
		g.Rejoin = !ok || m.Incarnation < r.Incarnation
		return g
	}
	if old, ok := l.lastReports[r.VM]; ok && old.incarnation == r.Incarnation && r.Sent <= old.sentAt {
		return g // a delayed report must not override the acknowledgement in a later one
	}
	l.lastReports[r.VM] = receivedReport{incarnation: r.Incarnation, at: now, sentAt: r.Sent, revision: r.Revision, wallOffset: r.Wall - now}
	l.retained = slices.DeleteFunc(l.retained, func(e retained) bool { return e.vm == r.VM })
	g.Duration, g.Revision, g.Index = l.a.timing.Lease, l.a.Config().Revision, l.a.feed.Last()
	for _, d := range r.Demands {
		div := l.divider(now, d.Customer)
		div.Report(r.VM, limit.VMReport{WantedRate: d.WantedRate, Quota: limit.Quota{Rate: d.Rate, Burst: d.Burst}, DroppedTokens: d.DroppedTokens, MeanTokens: d.MeanTokens})
		share, addedTokens := div.Share(now, r.VM)
		g.Shares = append(g.Shares, Share{Customer: d.Customer, Rate: share.Rate, Burst: share.Burst, AddedTokens: addedTokens})
	}
	return g
}

// addWall adds the agreed time of day to the grants of members, once for all of them, because it takes a look at the reports of all VMs.
func (l *leader) addWall(now time.Duration, list []Grant) {
	wall := time.Duration(0)
	for i := range list {
		if list[i].Duration == 0 {
			continue
		}
		if wall == 0 {
			wall = now + l.wallOffset()
		}
		list[i].Wall = wall
	}
}

// wallOffset returns the agreed time of day less this VM's boot clock: the median over the VMs that report.
func (l *leader) wallOffset() time.Duration {
	offsets := make([]time.Duration, 0, len(l.lastReports))
	for _, s := range l.lastReports {
		offsets = append(offsets, s.wallOffset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

func (l *leader) draw(now time.Duration, q drawRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dividers == nil {
		return false
	}
	return l.divider(now, q.Customer).Draw(now, q.Tokens)
}

// takeUsage returns the usage collected since the previous call, at most once per usageInterval.
func (l *leader) takeUsage(now time.Duration) []usage.Reading {
	if now-l.usageTakenAt < usageInterval {
		return nil
	}
	l.usageTakenAt = now
	var list []usage.Reading
	for src, c := range l.usageCounts {
		list = append(list, usage.Reading{Source: src, Count: c})
	}
	clear(l.usageCounts)
	return list
}

// awaitRevision waits until every member has applied the revision in q.
func (l *leader) awaitRevision(ctx context.Context, q revisionRequest) RevisionStatus {
	end := time.Now().Add(q.Wait)
	for {
		status := l.revisionStatus(clock.SinceBoot(), q)
		if len(status.Pending) == 0 || ctx.Err() != nil || !time.Now().Before(end) {
			return status
		}
		pause.For(ctx, revisionPollInterval)
	}
}

// revisionStatus reports the members that have not applied the revision in q. If q is bounded, members that have been
// silent so long that they stop serving within Timing.ApplyBound are not pending.
func (l *leader) revisionStatus(now time.Duration, q revisionRequest) RevisionStatus {
	s := l.a.replica.Status()
	members := l.a.feed.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset(s.LeadingSince)
	status := RevisionStatus{Applied: map[id.VM]id.Revision{}}
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		applied := l.lastReports[vm].revision
		if vm == l.a.opt.VM {
			applied = l.a.Config().Revision
		}
		status.Applied[vm] = applied
		stopsInTime := q.Bounded && now >= max(l.leadingSince, l.lastSeen(now, members[vm]))+l.a.timing.minSilence()
		if applied < q.Revision && !stopsInTime {
			status.Pending = append(status.Pending, vm)
		}
	}
	return status
}

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
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/services/limit"
)

const (
	usageEvery = time.Second
	caughtUp   = 200 // entries a learner may lack when it is promoted
	forceCheck = 20 * time.Millisecond
)

// leader does the duties of the leading VM. Its state is rebuilt from reports after a change of leader.
type leader struct {
	a  *Authority
	mu sync.Mutex

	since    time.Duration // status.Since that the state below belongs to
	seen     map[id.VM]sighting
	met      map[id.VM]meeting
	renewals map[lease.Name]renewal
	gone     map[id.VM]time.Duration
	dividers map[id.Customer]*limit.Divider
	ending   []ending
	counts   map[usage.Source]usage.Count
	flushed  time.Duration
}

// sighting is the latest report of a VM.
type sighting struct {
	incarnation id.Incarnation
	at          time.Duration // leader's clock at receipt
	sent        time.Duration // VM's clock
	revision    id.Revision
	wall        time.Duration // VM's clock of the day at its start, less the leader's steady clock
}

// meeting is when this leader first found an incarnation among the members.
type meeting struct {
	incarnation id.Incarnation
	at          time.Duration
}

// renewal is when this VM first saw a lease at a renewal number.
type renewal struct {
	fence  id.Fence
	number uint64
	at     time.Duration
}

// ending is a share that returns once its VM's autonomy is over.
type ending struct {
	customer id.Customer
	vm       id.VM
	at       time.Duration
}

func newLeader(a *Authority) *leader { return &leader{a: a, renewals: map[lease.Name]renewal{}} }

func (l *leader) run(ctx context.Context) {
	pause.Each(ctx, dutyEvery, func() {
		now := clock.Boot()
		l.observeLeases(now)
		if l.a.Leading(now) {
			l.duties(ctx, now)
		}
	})
}

func (l *leader) duties(ctx context.Context, now time.Duration) {
	s := l.a.replica.Status()
	l.mu.Lock()
	l.reset(s.Since)
	dead := l.dead(now)
	stale := l.staleLeases(now)
	counts := l.takeCounts(now)
	l.thaw(now)
	l.mu.Unlock()
	for _, m := range dead {
		klog.InfoS("VM lease ended", "vm", m.VM, "incarnation", m.Incarnation)
		l.propose(ctx, state.Command{Leave: &state.Leave{VM: m.VM, Incarnation: m.Incarnation}})
	}
	for _, e := range stale {
		klog.InfoS("Lease expired", "lease", e.Name, "fence", e.Fence)
		l.propose(ctx, state.Command{Expire: &e})
	}
	if len(counts) > 0 {
		l.propose(ctx, state.Command{Usage: &state.Usage{Readings: counts}})
	}
	l.voters(ctx, now, s)
}

func (l *leader) propose(ctx context.Context, c state.Command) {
	ctx, cancel := context.WithTimeout(ctx, l.a.timing.call())
	defer cancel()
	if _, err := l.a.Propose(ctx, c); err != nil {
		klog.V(1).InfoS("Duty failed", "err", err)
	}
}

// reset forgets what an earlier time as leader knew.
func (l *leader) reset(since time.Duration) {
	if l.since == since && l.seen != nil {
		return
	}
	l.since = since
	l.seen = map[id.VM]sighting{}
	l.met = map[id.VM]meeting{}
	l.gone = map[id.VM]time.Duration{}
	l.dividers = map[id.Customer]*limit.Divider{}
	l.ending = nil
	l.counts = map[usage.Source]usage.Count{}
}

// grace returns when every VM lease granted by an earlier leader has ended.
func (l *leader) grace() time.Duration { return l.a.timing.ended(l.since) }

// observeLeases notes when this VM first saw each renewal, whether it leads or not.
func (l *leader) observeLeases(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.a.State().Leases() {
		r, ok := l.renewals[g.Name]
		if !ok || r.fence != g.Fence || r.number != g.Renewal {
			l.renewals[g.Name] = renewal{fence: g.Fence, number: g.Renewal, at: now}
		}
	}
}

// staleLeases returns the leases that have surely ended.
func (l *leader) staleLeases(now time.Duration) []state.Expire {
	var list []state.Expire
	for _, g := range l.a.State().Leases() {
		r, ok := l.renewals[g.Name]
		if ok && r.fence == g.Fence && r.number == g.Renewal && now > lease.EndedAt(r.at, g.Duration) {
			list = append(list, state.Expire{Name: g.Name, Fence: g.Fence, Renewal: g.Renewal})
		}
	}
	return list
}

// dead returns the members whose VM lease has surely ended, and takes back their shares.
func (l *leader) dead(now time.Duration) []state.Member {
	var list []state.Member
	for vm, m := range l.a.feed.Members() {
		if last := l.lastHeard(now, m); now > l.a.timing.ended(last) {
			list = append(list, m)
			l.release(vm, now)
		}
	}
	var later []ending
	for _, e := range l.ending {
		if now < e.at {
			later = append(later, e)
		} else if d := l.dividers[e.customer]; d != nil {
			d.End(e.vm)
		}
	}
	l.ending = later
	return list
}

// lastHeard returns when m is known to have been there last: its latest report, or when it was first found among the
// members. A VM reports only after it has joined.
func (l *leader) lastHeard(now time.Duration, m state.Member) time.Duration {
	if s, ok := l.seen[m.VM]; ok && s.incarnation >= m.Incarnation {
		return s.at
	}
	x, ok := l.met[m.VM]
	if !ok || x.incarnation != m.Incarnation {
		x = meeting{incarnation: m.Incarnation, at: now}
		l.met[m.VM] = x
	}
	return x.at
}

// release takes back the shares of vm, those of autonomous customers once their autonomy is over.
func (l *leader) release(vm id.VM, now time.Duration) {
	cfg := l.a.Config()
	for c, d := range l.dividers {
		autonomy := cfg.Seconds(policy.Autonomy, c, "")
		if autonomy == 0 {
			d.End(vm)
			continue
		}
		l.ending = append(l.ending, ending{customer: c, vm: vm, at: now + lease.EndedAt(0, autonomy)})
	}
	delete(l.seen, vm)
	delete(l.met, vm) // the same incarnation may join again
	if _, ok := l.gone[vm]; !ok {
		l.gone[vm] = now
	}
}

// thaw lets dividers grow shares once no unknown VM can hold one.
func (l *leader) thaw(now time.Duration) {
	cfg := l.a.Config()
	for c, d := range l.dividers {
		d.Limit(l.limitOf(cfg, c))
		l.thawOne(now, cfg, c, d)
		d.Tick(now)
	}
}

func (l *leader) thawOne(now time.Duration, cfg *state.Config, c id.Customer, d *limit.Divider) {
	if !d.Frozen {
		return
	}
	autonomy := cfg.Seconds(policy.Autonomy, c, "")
	known := autonomy == 0 && l.allSeen()
	if known || now > l.grace()+lease.EndedAt(0, autonomy) {
		d.Thaw(now)
	}
}

// allSeen reports whether every member has reported to this leader. Then no unknown VM holds a share: a VM is removed
// from the members only after its lease has ended.
func (l *leader) allSeen() bool {
	for vm, m := range l.a.feed.Members() {
		if s, ok := l.seen[vm]; !ok || s.incarnation != m.Incarnation {
			return false
		}
	}
	return true
}

func (l *leader) limitOf(cfg *state.Config, c id.Customer) limit.Part {
	return l.a.opt.Tolerance.Apply(limit.Part{
		Rate: cfg.Resolve(policy.Rate, c, "").Value, Burst: cfg.Resolve(policy.Burst, c, "").Value,
	})
}

func (l *leader) divider(now time.Duration, c id.Customer) *limit.Divider {
	d, ok := l.dividers[c]
	if !ok {
		cfg := l.a.Config()
		d = &limit.Divider{Frozen: true}
		d.Open(now)
		d.Limit(l.limitOf(cfg, c))
		l.thawOne(now, cfg, c, d)
		l.dividers[c] = d
	}
	return d
}

// grant answers reports with VM leases and shares.
func (l *leader) grant(now time.Duration, list []Report) grants {
	s := l.a.replica.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset(s.Since)
	var out grants
	members := l.a.feed.Members()
	for _, r := range list {
		out.List = append(out.List, l.grantOne(now, members, r))
	}
	return out
}

func (l *leader) grantOne(now time.Duration, members map[id.VM]state.Member, r Report) Grant {
	g := Grant{VM: r.VM, Sent: r.Sent}
	for _, u := range r.Usage {
		l.counts[u.Source] = l.counts[u.Source].Merge(u.Count)
		g.Counted = append(g.Counted, usage.Reading{Source: u.Source, Count: l.a.State().Count(u.Source)})
	}
	m, ok := members[r.VM]
	if !ok || m.Incarnation != r.Incarnation {
		g.Rejoin = !ok || m.Incarnation < r.Incarnation
		return g
	}
	if old, ok := l.seen[r.VM]; ok && old.incarnation == r.Incarnation && r.Sent <= old.sent {
		return g // a delayed report must not undo what a later one has acknowledged
	}
	l.seen[r.VM] = sighting{incarnation: r.Incarnation, at: now, sent: r.Sent, revision: r.Revision, wall: r.Wall - now}
	delete(l.gone, r.VM)
	l.ending = slices.DeleteFunc(l.ending, func(e ending) bool { return e.vm == r.VM })
	g.Wall = now + l.wall()
	g.Duration, g.Revision, g.Index = l.a.timing.Lease, l.a.Config().Revision, l.a.feed.Last()
	for _, d := range r.Demands {
		div := l.divider(now, d.Customer)
		div.Report(r.VM, limit.Held{Wanted: d.Wanted, Part: limit.Part{Rate: d.Rate, Burst: d.Burst}, Back: d.Back, Size: d.Size})
		part, gift := div.Share(now, r.VM)
		g.Shares = append(g.Shares, Share{Customer: d.Customer, Rate: part.Rate, Burst: part.Burst, Gift: gift})
	}
	return g
}

// wall returns the agreed time of day less this VM's steady clock: the median of the VMs that report.
func (l *leader) wall() time.Duration {
	list := make([]time.Duration, 0, len(l.seen))
	for _, s := range l.seen {
		list = append(list, s.wall)
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func (l *leader) draw(now time.Duration, q drawRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dividers == nil {
		return false
	}
	return l.divider(now, q.Customer).Draw(now, q.Tokens)
}

// takeCounts returns the usage gathered since the last time, once a usageEvery.
func (l *leader) takeCounts(now time.Duration) []usage.Reading {
	if now-l.flushed < usageEvery {
		return nil
	}
	l.flushed = now
	var list []usage.Reading
	for src, c := range l.counts {
		list = append(list, usage.Reading{Source: src, Count: c})
	}
	clear(l.counts)
	return list
}

// force waits for every member to have applied a revision.
func (l *leader) force(ctx context.Context, q forceRequest) Force {
	end := time.Now().Add(q.Wait)
	for {
		f := l.forceNow(clock.Boot(), q)
		if len(f.Pending) == 0 || ctx.Err() != nil || !time.Now().Before(end) {
			return f
		}
		pause.For(ctx, forceCheck)
	}
}

// forceNow returns the members that have not applied a revision. Where the request allows it, those are left out that will
// have stopped serving inside the bound for changes: they have been silent for long enough.
func (l *leader) forceNow(now time.Duration, q forceRequest) Force {
	s := l.a.replica.Status()
	members := l.a.feed.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset(s.Since)
	f := Force{Applied: map[id.VM]id.Revision{}}
	for _, vm := range slices.Sorted(maps.Keys(members)) {
		at := l.seen[vm].revision
		if vm == l.a.opt.VM {
			at = l.a.Config().Revision
		}
		f.Applied[vm] = at
		silent := q.Bounded && now >= max(l.since, l.lastHeard(now, members[vm]))+l.a.timing.silence()
		if at < q.Revision && !silent {
			f.Pending = append(f.Pending, vm)
		}
	}
	return f
}

// voters makes one step towards the wanted voters: a replaced disk takes its VM's place, learners that have caught
// up are promoted, a voter absent for long gives way to a spare.
func (l *leader) voters(ctx context.Context, now time.Duration, s replica.Status) {
	next, ok := l.nextMembers(now, s)
	if !ok {
		return
	}
	if err := l.a.replica.ProposeMembers(ctx, next); err == nil {
		klog.InfoS("Voters change", "voters", next.Voters, "learners", next.Learners)
	}
}

func (l *leader) nextMembers(now time.Duration, s replica.Status) (quorum.Members, bool) {
	for _, n := range s.Members.Learners {
		if s.Matches[n] == 0 || s.Matches[n]+caughtUp < s.Commit {
			continue
		}
		if old, ok := sameVM(s.Members.Voters, nodeVM(n)); ok {
			return s.Members.Without(old), true
		}
		if len(s.Members.Voters) < l.a.opt.Voters {
			return s.Members.With(n, true), true
		}
		if dead, ok := l.absent(now, s.Members.Voters); ok {
			return s.Members.Without(dead), true
		}
	}
	return s.Members, false
}

// sameVM returns the disk of vm in list.
func sameVM(list []quorum.Node, vm id.VM) (quorum.Node, bool) {
	for _, x := range list {
		if nodeVM(x) == vm {
			return x, true
		}
	}
	return "", false
}

// absent returns a voter whose VM has been no member for l.a.timing.Spare.
func (l *leader) absent(now time.Duration, voters []quorum.Node) (quorum.Node, bool) {
	members := l.a.feed.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range voters {
		vm := nodeVM(n)
		if _, ok := members[vm]; ok {
			continue
		}
		since, ok := l.gone[vm]
		if !ok {
			l.gone[vm] = now
		} else if now-since > l.a.timing.Spare {
			return n, true
		}
	}
	return "", false
}

package state

import (
	"sort"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// acquire grants a free lease or renews it for its holder.
func (m *Machine) acquire(i id.Index, a Acquire) Result {
	l, held := m.t.Leases[a.Name]
	switch {
	case !held:
		l = lease.Lease{Name: a.Name, Holder: a.VM, Incarnation: a.Incarnation, Fence: id.Fence(i)}
	case l.Holder != a.VM || l.Incarnation != a.Incarnation:
		return Result{Code: Conflict, Message: "held by another VM", Lease: &l}
	}
	l.Renewal++
	l.Duration = a.Duration
	m.t.Leases[a.Name] = l
	return Result{Code: OK, Lease: &l}
}

func (m *Machine) release(r Release) Result {
	if l, held := m.t.Leases[r.Name]; !held || l.Fence != r.Fence {
		return fail(Missing, "no such grant")
	}
	delete(m.t.Leases, r.Name)
	return ok()
}

// expire frees a lease that was not renewed since the proposer looked.
func (m *Machine) expire(e Expire) Result {
	l, held := m.t.Leases[e.Name]
	if !held || l.Fence != e.Fence || l.Renewal != e.Renewal {
		return fail(Conflict, "renewed or granted again")
	}
	delete(m.t.Leases, e.Name)
	return ok()
}

// holds reports whether f is the fencing number of the current grant of n.
func (m *Machine) holds(n lease.Name, f id.Fence) bool {
	l, held := m.t.Leases[n]
	return held && l.Fence == f
}

// intent commits an order. An upstream has at most one pending order.
func (m *Machine) intent(i id.Index, n Intent) Result {
	if !m.holds(n.Lease, n.Order.Fence) {
		return fail(Denied, "the lease is no longer held")
	}
	if old, ok := m.t.Orders[n.Order.Upstream]; ok && old.State == order.Pending {
		return fail(Conflict, "another order is pending")
	}
	o := n.Order
	o.ID, o.State = i, order.Pending
	m.t.Orders[o.Upstream] = o
	m.dirty = true
	return ok()
}

func (m *Machine) outcome(n Outcome) Result {
	o, found := m.t.Orders[n.Upstream]
	if !found || o.ID != n.ID || o.State != order.Pending {
		return fail(Missing, "no such pending order")
	}
	o.State, o.Reason = n.State, n.Reason
	m.t.Orders[n.Upstream] = o
	m.dirty = true
	return ok()
}

// merge takes the larger of each cumulative counter, so that a resend counts once.
func (m *Machine) merge(u Usage) Result {
	for _, r := range u.Readings {
		m.t.Counts[r.Source] = m.t.Counts[r.Source].Merge(r.Count)
	}
	return ok()
}

// seal fixes the next window: the committed totals less what earlier windows hold.
func (m *Machine) seal(s Seal) Result {
	if !m.holds(lease.Platform, s.Fence) {
		return fail(Denied, "the platform lease is no longer held")
	}
	if n := len(m.t.Reports); n > 0 && s.Window <= m.t.Reports[n-1].Window {
		return fail(Conflict, "the window is sealed")
	}
	totals := map[pair]usage.Count{}
	for src, c := range m.t.Counts {
		if src.Window > s.Window {
			continue
		}
		p := pair{src.Customer, src.Service}
		totals[p] = totals[p].Add(c)
	}
	for p, c := range m.t.Settled {
		totals[p] = totals[p].Add(c)
	}
	r := usage.Report{Window: s.Window}
	for p, total := range totals {
		part := total.Sub(m.t.Reported[p])
		if part.Zero() {
			continue
		}
		r.Lines = append(r.Lines, usage.Line{Customer: p.Customer, Service: p.Service, Count: part})
		m.t.Reported[p] = total
	}
	sort.Slice(r.Lines, func(a, b int) bool {
		x, y := r.Lines[a], r.Lines[b]
		return x.Customer < y.Customer || x.Customer == y.Customer && x.Service < y.Service
	})
	m.t.Reports = append(m.t.Reports, r)
	m.trim()
	m.settleCounts(s.Window)
	return ok()
}

// settleCounts folds the counters of windows that ended long ago into one sum: no VM reports them again.
func (m *Machine) settleCounts(sealed id.Window) {
	for src, c := range m.t.Counts {
		if src.Window > 0 && src.Window+windowsKept < sealed {
			p := pair{src.Customer, src.Service}
			m.t.Settled[p] = m.t.Settled[p].Add(c)
			delete(m.t.Counts, src)
		}
	}
}

// trim drops the oldest acknowledged reports beyond reportsKept.
func (m *Machine) trim() {
	for len(m.t.Reports) > reportsKept && m.t.Reports[0].Acknowledged {
		m.t.Reports = m.t.Reports[1:]
	}
}

func (m *Machine) ack(a Ack) Result {
	if !m.holds(lease.Platform, a.Fence) {
		return fail(Denied, "the platform lease is no longer held")
	}
	for i := range m.t.Reports {
		if m.t.Reports[i].Window == a.Window {
			m.t.Reports[i].Acknowledged = true
			return ok()
		}
	}
	return fail(Missing, "no such window")
}

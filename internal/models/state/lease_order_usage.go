package state

import (
	"sort"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// acquireLease grants a free lease or renews it for its holder.
func (m *Machine) acquireLease(i id.Index, a Acquire) Result {
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

func (m *Machine) releaseLease(r Release) Result {
	if l, held := m.t.Leases[r.Name]; !held || l.Fence != r.Fence {
		return fail(NotFound, "no such grant")
	}
	delete(m.t.Leases, r.Name)
	return ok()
}

// expireLease frees a lease unless it was renewed or granted again after the proposer read it.
func (m *Machine) expireLease(e Expire) Result {
	l, held := m.t.Leases[e.Name]
	if !held || l.Fence != e.Fence || l.Renewal != e.Renewal {
		return fail(Conflict, "renewed or granted again")
	}
	delete(m.t.Leases, e.Name)
	return ok()
}

// isCurrentFence reports whether f is the fencing number of the current grant of lease n.
func (m *Machine) isCurrentFence(n lease.Name, f id.Fence) bool {
	l, held := m.t.Leases[n]
	return held && l.Fence == f
}

// commitOrder stores a new pending order. An upstream has at most one pending order.
func (m *Machine) commitOrder(i id.Index, intent Intent) Result {
	if !m.isCurrentFence(intent.Lease, intent.Order.Fence) {
		return fail(Denied, "the lease is no longer held")
	}
	if old, ok := m.t.Orders[intent.Order.Upstream]; ok && old.State == order.Pending {
		return fail(Conflict, "another order is pending")
	}
	o := intent.Order
	o.ID, o.State = i, order.Pending
	m.t.Orders[o.Upstream] = o
	m.unpublished = true
	return ok()
}

func (m *Machine) finishOrder(outcome Outcome) Result {
	o, found := m.t.Orders[outcome.Upstream]
	if !found || o.ID != outcome.ID || o.State != order.Pending {
		return fail(NotFound, "no such pending order")
	}
	o.State, o.Reason = outcome.State, outcome.Reason
	m.t.Orders[outcome.Upstream] = o
	m.unpublished = true
	return ok()
}

// mergeUsage keeps the larger value of each cumulative counter, so that a resent reading counts once.
func (m *Machine) mergeUsage(u Usage) Result {
	for _, r := range u.Readings {
		m.t.Counts[r.Source] = m.t.Counts[r.Source].Merge(r.Count)
	}
	return ok()
}

// sealWindow creates the report of a window: the committed totals minus those in earlier reports.
func (m *Machine) sealWindow(s Seal) Result {
	if !m.isCurrentFence(lease.Platform, s.Fence) {
		return fail(Denied, "the platform lease is no longer held")
	}
	if n := len(m.t.UsageReports); n > 0 && s.Window <= m.t.UsageReports[n-1].Window {
		return fail(Conflict, "the window is sealed")
	}
	totals := map[customerService]usage.Count{}
	for src, c := range m.t.Counts {
		if src.Window > s.Window {
			continue
		}
		p := customerService{src.Customer, src.Service}
		totals[p] = totals[p].Add(c)
	}
	for p, c := range m.t.CompactedCounts {
		totals[p] = totals[p].Add(c)
	}
	r := usage.Report{Window: s.Window}
	for p, total := range totals {
		unreported := total.Sub(m.t.ReportedTotals[p])
		if unreported.Zero() {
			continue
		}
		r.Lines = append(r.Lines, usage.Line{Customer: p.Customer, Service: p.Service, Count: unreported})
		m.t.ReportedTotals[p] = total
	}
	sort.Slice(r.Lines, func(a, b int) bool {
		x, y := r.Lines[a], r.Lines[b]
		return x.Customer < y.Customer || x.Customer == y.Customer && x.Service < y.Service
	})
	m.t.UsageReports = append(m.t.UsageReports, r)
	m.trimReports()
	m.compactCounts(s.Window)
	return ok()
}

// compactCounts moves the counters of windows that ended long ago into CompactedCounts, since no VM resends them.
func (m *Machine) compactCounts(sealed id.Window) {
	for src, c := range m.t.Counts {
		if src.Window > 0 && src.Window+countWindowsKept < sealed {
			p := customerService{src.Customer, src.Service}
			m.t.CompactedCounts[p] = m.t.CompactedCounts[p].Add(c)
			delete(m.t.Counts, src)
		}
	}
}

// trimReports removes the oldest acknowledged reports beyond maxReports.
func (m *Machine) trimReports() {
	for len(m.t.UsageReports) > maxReports && m.t.UsageReports[0].Acknowledged {
		m.t.UsageReports = m.t.UsageReports[1:]
	}
}

func (m *Machine) acknowledgeReport(a Ack) Result {
	if !m.isCurrentFence(lease.Platform, a.Fence) {
		return fail(Denied, "the platform lease is no longer held")
	}
	for i := range m.t.UsageReports {
		if m.t.UsageReports[i].Window == a.Window {
			m.t.UsageReports[i].Acknowledged = true
			return ok()
		}
	}
	return fail(NotFound, "no such window")
}

package vm

import (
	"context"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/loadsync"
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/scale"
)

const (
	needWindow       = 10 * time.Second // the highest need of this period counts, because upstreams take seconds to start
	unavailableDelay = 3 * time.Second  // before an order that the platform lacked capacity for is repeated
	reorderDelay     = 3 * time.Second  // beyond the boot time of an upstream, before missing ones are ordered again
	// minReorderInterval is the time between two orders that replace lost upstreams: a data centre loses all its cheap ones
	// within this time.
	minReorderInterval = time.Second
	settleDelay        = 2500 * time.Millisecond // after the first upstream was seen; the others announce themselves within this time
	lowerCheapDelay    = 15 * time.Second        // how long a lower count of cheap upstreams must be planned before it is ordered
	lowerOrdinaryDelay = 2 * time.Second         // the same for ordinary upstreams, which the plan keeps anyway until cheap ones work
	targetPrefillLoad  = 0.4                     // fraction of its prefill speed that a prefill engine should use
	targetConcurrency  = 10.0                    // requests that a decode engine should run at once
	targetSlotLoad     = 0.5                     // fraction of its slots that an upstream of a plain service should use
)

// sentOrder is the last order for one kind of upstream, and the highest number that ran since.
type sentOrder struct {
	count      int
	at         time.Duration
	maxRunning int
}

// scaleHistory records the orders that this VM sent and the upstreams and needs that it saw. The kind of an order, used as a
// key, is an order.UpstreamCount with a Count of zero.
type scaleHistory struct {
	lastSent         map[order.UpstreamCount]sentOrder     // by kind
	unavailableUntil map[order.UpstreamCount]time.Duration // by kind; no order is sent before this time
	lowerSince       map[order.UpstreamCount]time.Duration // by kind; when the plan first asked for a lower count
	recentNeeds      map[id.Service][]needSample
	firstSeen        map[id.Service]time.Duration // when the first upstream was seen
	initialCount     map[id.Service]int           // upstreams that ran after settleDelay
}

func newScaleHistory() *scaleHistory {
	return &scaleHistory{
		lastSent: map[order.UpstreamCount]sentOrder{}, unavailableUntil: map[order.UpstreamCount]time.Duration{},
		lowerSince:  map[order.UpstreamCount]time.Duration{},
		recentNeeds: map[id.Service][]needSample{}, firstSeen: map[id.Service]time.Duration{}, initialCount: map[id.Service]int{},
	}
}

// needSample is the number of upstreams that a service needed at one time.
type needSample struct {
	at   time.Duration
	need float64
}

// planScaling orders upstreams while this VM holds the lease for the platform, until ctx ends.
func (v *VM) planScaling(ctx context.Context) {
	history := newScaleHistory()
	v.planEachService(ctx, "upstreams", v.orders.Platform, func(now time.Duration, svc service.Service, t loadsync.Totals) {
		if svc.Scale != nil {
			v.scaleService(ctx, now, history, svc, t)
		}
	})
}

// scaleService plans the upstream counts of one service and sends the orders that are due.
func (v *VM) scaleService(ctx context.Context, now time.Duration, history *scaleHistory, svc service.Service, t loadsync.Totals) {
	input := v.scaleInput(now, history, svc, t)
	if !history.settled(now, svc.ID, &input) {
		return
	}
	for _, target := range scale.Plan(now, &input) {
		v.orderUpstreams(ctx, now, history, svc,
			order.UpstreamCount{Service: svc.ID, Zone: target.Zone, Cheap: true, Count: target.Cheap}, input)
		v.orderUpstreams(ctx, now, history, svc,
			order.UpstreamCount{Service: svc.ID, Zone: target.Zone, Count: target.Ordinary}, input)
	}
}

// settled reports whether settleDelay has passed since the first upstream of svc was seen, by which time all running ones have
// announced themselves. It then records their initial count and sets it in the input.
func (s *scaleHistory) settled(now time.Duration, svc id.Service, input *scale.Input) bool {
	running := 0
	for _, z := range input.Zones {
		running += z.Ordinary + z.Cheap
	}
	if _, seen := s.firstSeen[svc]; !seen && running > 0 {
		s.firstSeen[svc] = now
	}
	at, seen := s.firstSeen[svc]
	if !seen || now-at < settleDelay {
		return false
	}
	if _, recorded := s.initialCount[svc]; !recorded {
		s.initialCount[svc] = running
	}
	input.InitialCount = s.initialCount[svc]
	return true
}

// lowerAllowed reports whether n may replace the count of the last order: a lower count only after it was planned for long
// enough.
func (s *scaleHistory) lowerAllowed(now time.Duration, n, kind order.UpstreamCount, lastCount int) bool {
	if n.Count >= lastCount {
		delete(s.lowerSince, kind)
		return true
	}
	since, ok := s.lowerSince[kind]
	if !ok {
		s.lowerSince[kind] = now
		return false
	}
	wait := lowerOrdinaryDelay
	if n.Cheap {
		wait = lowerCheapDelay
	}
	return now-since >= wait
}

// orderDue reports whether n must be sent at now: if its count differs from the last order, if upstreams were lost since, or if
// fewer run than ordered although bootTime and reorderDelay have passed.
func (s *scaleHistory) orderDue(now, bootTime time.Duration, n order.UpstreamCount, running int) bool {
	kind := n
	kind.Count = 0
	last, known := s.lastSent[kind]
	if !known {
		last.count = running // before the first order, the running upstreams stay until the plan asks for another count
		if n.Cheap {
			last.count = 0
		}
	}
	if !s.lowerAllowed(now, n, kind, last.count) || now < s.unavailableUntil[kind] {
		return false
	}
	if last.count != n.Count {
		return true
	}
	lost := running < last.maxRunning && now-last.at >= minReorderInterval
	last.maxRunning = max(last.maxRunning, running)
	if known {
		s.lastSent[kind] = last
	}
	return known && running < n.Count && (lost || now-last.at > bootTime+reorderDelay)
}

// orderUpstreams sends n if it is due, and records the result.
func (v *VM) orderUpstreams(
	ctx context.Context, now time.Duration, history *scaleHistory, svc service.Service, n order.UpstreamCount, input scale.Input,
) {
	kind := n
	kind.Count = 0
	running := 0
	for _, z := range input.Zones {
		if z.Name == n.Zone {
			running = z.Ordinary
			if n.Cheap {
				running = z.Cheap
			}
		}
	}
	if !history.orderDue(now, svc.Scale.BootTime, n, running) {
		return
	}
	err := v.orders.Scale(ctx, n)
	klog.InfoS("Upstreams ordered", "service", n.Service, "zone", n.Zone, "cheap", n.Cheap, "count", n.Count,
		"runs", running, "need", input.Need, "err", err)
	switch {
	case errors.Is(err, order.ErrNoCapacity):
		history.unavailableUntil[kind] = now + unavailableDelay
	case err == nil:
		history.lastSent[kind] = sentOrder{count: n.Count, at: now, maxRunning: running}
	}
}

// scaleInput collects the upstreams, prices and need of a service for scale.Plan.
func (v *VM) scaleInput(now time.Duration, history *scaleHistory, svc service.Service, t loadsync.Totals) scale.Input {
	cfg := v.authority.Config()
	input := scale.Input{
		MinPerZone: svc.Scale.MinPerZone, MaxPerZone: svc.Scale.MaxPerZone, Cheap: svc.Scale.Cheap,
		ReclaimReserve: cfg.Resolve(policy.ReclaimReserve, "", svc.ID).Value,
	}
	zones := map[id.Zone]*scale.Zone{}
	for name, price := range svc.Scale.Prices {
		unavailableUntil := history.unavailableUntil[order.UpstreamCount{Service: svc.ID, Zone: name, Cheap: true}]
		zones[name] = &scale.Zone{Name: name, Price: price, NoCheapUntil: unavailableUntil}
	}
	for _, u := range v.roster.Snapshot().Services[svc.ID] {
		z, ok := zones[u.Zone]
		switch {
		case !ok:
		case u.Cheap:
			z.Cheap++
		default:
			z.Ordinary++
		}
	}
	for _, z := range zones {
		input.Zones = append(input.Zones, *z)
	}
	input.Need = history.recordNeed(now, svc.ID, v.upstreamsNeeded(svc, t))
	return input
}

// upstreamsNeeded returns how many upstreams the current load of svc requires, or zero if there is no load.
func (v *VM) upstreamsNeeded(svc service.Service, t loadsync.Totals) float64 {
	byName := map[id.Upstream]*roster.Upstream{}
	for _, u := range v.roster.Snapshot().Services[svc.ID] {
		byName[u.Name] = u
	}
	running := 0.0
	for _, l := range t.Loads {
		if u, ok := byName[l.Upstream]; ok && u.Role != engine.Prefill {
			running += float64(l.Requests)
		}
	}
	if svc.Engine == nil {
		for _, u := range byName {
			if u.Slots > 0 {
				return running / (targetSlotLoad * float64(u.Slots))
			}
		}
		return 0
	}
	promptRate := t.PromptRate[svc.ID]
	if promptRate <= 0 {
		return 0
	}
	// DefaultDedicatedSpeed is in tokens per millisecond, promptRate in tokens per second.
	return promptRate/(targetPrefillLoad*roster.DefaultDedicatedSpeed*1000) + running/targetConcurrency
}

// recordNeed adds a sample and returns the highest need within needWindow.
func (s *scaleHistory) recordNeed(now time.Duration, svc id.Service, need float64) float64 {
	samples := append(s.recentNeeds[svc], needSample{now, need})
	for len(samples) > 0 && now-samples[0].at > needWindow {
		samples = samples[1:]
	}
	s.recentNeeds[svc] = samples
	highest := 0.0
	for _, n := range samples {
		highest = max(highest, n.need)
	}
	return highest
}

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
	"wagtaillift/internal/services/order"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/scale"
	"wagtaillift/internal/services/tally"
)

const (
	needMemory  = 10 * time.Second        // the need is the greatest of this time: upstreams take seconds to come
	dryFor      = 3 * time.Second         // before upstreams that were not to be had are asked for again
	resendAfter = 3 * time.Second         // beyond an upstream's start, where fewer run than were ordered
	goneAfter   = time.Second             // between two orders for what has gone: a data centre's cheap ones leave within that
	settle      = 2500 * time.Millisecond // after the first upstream was seen, by when the others have announced themselves
	lowerCheap  = 15 * time.Second        // a smaller number of cheap upstreams must be wanted for so long
	lowerOthers = 2 * time.Second         // and of ordinary ones, which are held anyway until cheap ones work
	readPart    = 0.4                     // of its speed at which an engine that reads is to be used
	runAtOnce   = 10.0                    // requests that an engine that generates is to run at once
	slotPart    = 0.5                     // of its slots that a plain upstream is to use
)

// ordered is what this VM asked for last, and the most that ran since.
type ordered struct {
	count int
	at    time.Duration
	ran   int
}

// scaler remembers what this VM ordered and saw.
type scaler struct {
	sent  map[order.Number]ordered // by kind, with a Count of zero
	dry   map[order.Number]time.Duration
	lower map[order.Number]time.Duration // since when a smaller number is wanted, by kind
	needs map[id.Service][]needAt
	first map[id.Service]time.Duration // when an upstream was first seen
	base  map[id.Service]int           // how many there were after settle
}

func newScaler() *scaler {
	return &scaler{
		sent: map[order.Number]ordered{}, dry: map[order.Number]time.Duration{}, lower: map[order.Number]time.Duration{},
		needs: map[id.Service][]needAt{}, first: map[id.Service]time.Duration{}, base: map[id.Service]int{},
	}
}

type needAt struct {
	at   time.Duration
	need float64
}

// planScale orders upstreams while this VM may, until ctx ends.
func (v *VM) planScale(ctx context.Context) {
	s := newScaler()
	v.plan(ctx, "upstreams", v.orders.Platform, func(now time.Duration, svc service.Service, t tally.Totals) {
		if svc.Scale != nil {
			v.scaleService(ctx, now, s, svc, t)
		}
	})
}

func (v *VM) scaleService(ctx context.Context, now time.Duration, s *scaler, svc service.Service, t tally.Totals) {
	view := v.viewScale(now, s, svc, t)
	if !s.settled(now, svc.ID, &view) {
		return
	}
	for _, w := range scale.Plan(now, &view) {
		v.orderNumber(ctx, now, s, svc, order.Number{Service: svc.ID, Zone: w.Zone, Cheap: true, Count: w.Cheap}, view)
		v.orderNumber(ctx, now, s, svc, order.Number{Service: svc.ID, Zone: w.Zone, Count: w.Ordinary}, view)
	}
}

// settled reports whether the upstreams that run are known, and notes how many there were first.
func (s *scaler) settled(now time.Duration, svc id.Service, view *scale.View) bool {
	n := 0
	for _, z := range view.Zones {
		n += z.Ordinary + z.Cheap
	}
	if _, seen := s.first[svc]; !seen && n > 0 {
		s.first[svc] = now
	}
	at, seen := s.first[svc]
	if !seen || now-at < settle {
		return false
	}
	if _, noted := s.base[svc]; !noted {
		s.base[svc] = n
	}
	view.Base = s.base[svc]
	return true
}

// lowered reports whether a smaller number has been wanted for long enough.
func (s *scaler) lowered(now time.Duration, n, kind order.Number, last int) bool {
	if n.Count >= last {
		delete(s.lower, kind)
		return true
	}
	since, ok := s.lower[kind]
	if !ok {
		s.lower[kind] = now
		return false
	}
	wait := lowerOthers
	if n.Cheap {
		wait = lowerCheap
	}
	return now-since >= wait
}

// due reports whether n is to be sent at now, while runs upstreams of its kind run: where it differs from what was sent, where
// some have gone since, or where fewer run for longer than a start takes.
func (s *scaler) due(now, boot time.Duration, n order.Number, runs int) bool {
	kind := n
	kind.Count = 0
	last, known := s.sent[kind]
	if !known {
		last.count = runs // what runs at the start stays as it is until another number is wanted
		if n.Cheap {
			last.count = 0
		}
	}
	if !s.lowered(now, n, kind, last.count) || now < s.dry[kind] {
		return false
	}
	if last.count != n.Count {
		return true
	}
	gone := runs < last.ran && now-last.at >= goneAfter
	last.ran = max(last.ran, runs)
	if known {
		s.sent[kind] = last
	}
	return known && runs < n.Count && (gone || now-last.at > boot+resendAfter)
}

// orderNumber sends n where it is due.
func (v *VM) orderNumber(ctx context.Context, now time.Duration, s *scaler, svc service.Service, n order.Number, view scale.View) {
	kind := n
	kind.Count = 0
	runs := 0
	for _, z := range view.Zones {
		if z.Name == n.Zone {
			runs = z.Ordinary
			if n.Cheap {
				runs = z.Cheap
			}
		}
	}
	if !s.due(now, svc.Scale.Boot, n, runs) {
		return
	}
	err := v.orders.Scale(ctx, n)
	klog.InfoS("Upstreams ordered", "service", n.Service, "zone", n.Zone, "cheap", n.Cheap, "count", n.Count, "runs", runs, "need", view.Need, "err", err)
	switch {
	case errors.Is(err, order.ErrDry):
		s.dry[kind] = now + dryFor
	case err == nil:
		s.sent[kind] = ordered{count: n.Count, at: now, ran: runs}
	}
}

func (v *VM) viewScale(now time.Duration, s *scaler, svc service.Service, t tally.Totals) scale.View {
	cfg := v.authority.Config()
	out := scale.View{
		Least: svc.Scale.Least, Most: svc.Scale.Most, Cheap: svc.Scale.Cheap,
		Reserve: cfg.Resolve(policy.Reserve, "", svc.ID).Value,
	}
	zones := map[id.Zone]*scale.Zone{}
	for name, price := range svc.Scale.Prices {
		dry := s.dry[order.Number{Service: svc.ID, Zone: name, Cheap: true}]
		zones[name] = &scale.Zone{Name: name, Price: price, Dry: dry}
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
		out.Zones = append(out.Zones, *z)
	}
	out.Need = s.greatest(now, svc.ID, v.needOf(svc, t))
	return out
}

// needOf returns how many upstreams the present work of svc needs; zero where there is none.
func (v *VM) needOf(svc service.Service, t tally.Totals) float64 {
	by := map[id.Upstream]*roster.Upstream{}
	for _, u := range v.roster.Snapshot().Services[svc.ID] {
		by[u.Name] = u
	}
	running := 0.0
	for _, l := range t.Loads {
		if u, ok := by[l.Upstream]; ok && u.Role != engine.Prefill {
			running += float64(l.Requests)
		}
	}
	if svc.Engine == nil {
		for _, u := range by {
			if u.Slots > 0 {
				return running / (slotPart * float64(u.Slots))
			}
		}
		return 0
	}
	read := t.Read[svc.ID]
	if read <= 0 {
		return 0
	}
	return read/(readPart*roster.FirstApart*1000) + running/runAtOnce
}

// greatest notes a need and returns the greatest of the last needMemory.
func (s *scaler) greatest(now time.Duration, svc id.Service, need float64) float64 {
	list := append(s.needs[svc], needAt{now, need})
	for len(list) > 0 && now-list[0].at > needMemory {
		list = list[1:]
	}
	s.needs[svc] = list
	most := 0.0
	for _, n := range list {
		most = max(most, n.need)
	}
	return most
}

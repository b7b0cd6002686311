// Package scale decides how many upstreams of a service run in each data centre, ordinary ones and cheap ones that may be
// reclaimed: a pure function of the work and of what runs.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wagtaillift/internal/modules/id"
)

// Zone is one data centre at the moment of a decision.
type Zone struct {
	Name     id.Zone
	Price    float64       // of an ordinary upstream second
	Ordinary int           // upstreams that run, or were ordered
	Cheap    int           // cheap ones that take work
	Dry      time.Duration // until when no cheap one is to be had here; zero where they are
}

// View is a service's upstreams and work.
type View struct {
	Zones   []Zone
	Least   int     // upstreams in each data centre
	Most    int     // upstreams in each data centre, of both kinds
	Cheap   float64 // price of a cheap upstream, as a part of the others'; zero where there are none
	Need    float64 // upstreams that the work needs; zero while it is not known
	Base    int     // upstreams that ran when the service was first looked at
	Reserve float64 // part of the need that ordinary upstreams cover, for reclaims
}

// Want is how many upstreams a data centre is to have.
type Want struct {
	Zone     id.Zone
	Ordinary int
	Cheap    int
}

const (
	// worthwhile is the price from which on cheap upstreams do not pay: they come and go.
	worthwhile = 0.7
	// unknownNeed is what a service is given while its work is not known, as a multiple of what ran first.
	unknownNeed = 2.0
	// firmPart is the part of what ran first that stays ordinary while the work is not known.
	firmPart = 0.5
	// ample is how much more than the need runs where that is cheap: queues are short, and the loss of some is borne.
	ample = 1.5
)

// Plan returns what each data centre is to have at now. It answers a load that grows beyond what runs, and cheap
// upstreams that are taken away a data centre at a time: the need is met with cheap ones, spread so that the others carry
// the work when one data centre loses its own, and none are given back before others work in their place.
func Plan(now time.Duration, v *View) []Want {
	zones := slices.Clone(v.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name)) })
	need := v.need()
	want := make([]Want, len(zones))
	ordinary := v.ordinary(need)
	for i, z := range zones {
		want[i] = Want{Zone: z.Name, Ordinary: spread(ordinary, len(zones), i)}
		want[i].Ordinary = min(v.Most, max(want[i].Ordinary, v.Least))
	}
	missing := need
	for i := range want {
		missing -= want[i].Ordinary
	}
	missing = v.fillCheap(now, zones, want, missing)
	v.fillOrdinary(want, missing)
	v.keep(zones, want, need)
	return want
}

// need returns how many upstreams are wanted, with those that a reclaim of one data centre takes.
func (v *View) need() int {
	if v.Need <= 0 {
		return int(math.Ceil(unknownNeed * float64(v.Base)))
	}
	n := v.Need
	if v.pays() && len(v.Zones) > 1 {
		n *= ample * float64(len(v.Zones)) / (float64(len(v.Zones)) - lossPart)
	}
	return int(math.Ceil(n))
}

// lossPart is the part of a data centre's cheap upstreams that the need is raised for: the rest of a loss is borne by the
// room that the others have.
const lossPart = 0.5

func (v *View) pays() bool { return v.Cheap > 0 && v.Cheap < worthwhile }

// ordinary returns how many ordinary upstreams are wanted in all.
func (v *View) ordinary(need int) int {
	if !v.pays() {
		return need
	}
	n := max(int(math.Ceil(v.Reserve*float64(need))), v.Least*len(v.Zones))
	if v.Need <= 0 {
		n = max(n, int(math.Ceil(firmPart*float64(v.Base))))
	}
	return n
}

// spread returns the part of n that the i-th of count gets; the first ones get the rest.
func spread(n, count, i int) int {
	part := n / count
	if i < n%count {
		part++
	}
	return part
}

// fillCheap adds cheap upstreams, one data centre after the other, and returns how many are still missing.
func (v *View) fillCheap(now time.Duration, zones []Zone, want []Want, missing int) int {
	if !v.pays() {
		return missing
	}
	for progress := true; progress && missing > 0; {
		progress = false
		for i := range want {
			if missing <= 0 {
				return 0
			}
			if now < zones[i].Dry && want[i].Cheap >= zones[i].Cheap || want[i].Ordinary+want[i].Cheap >= v.Most {
				continue
			}
			want[i].Cheap++
			missing--
			progress = true
		}
	}
	return missing
}

// fillOrdinary adds ordinary upstreams for what cheap ones cannot cover.
func (v *View) fillOrdinary(want []Want, missing int) {
	for progress := true; progress && missing > 0; {
		progress = false
		for i := range want {
			if missing > 0 && want[i].Ordinary+want[i].Cheap < v.Most {
				want[i].Ordinary++
				missing--
				progress = true
			}
		}
	}
}

// holdPart is the part of the wanted upstreams below which the plan takes none away before others work in their place: what
// starts takes seconds, and the queue of those seconds takes many more to end.
const holdPart = 0.75

// held returns how many upstreams stay until others work. While the work is not known there is no queue to be afraid of.
func (v *View) held(need int) int {
	if v.Need <= 0 {
		return int(math.Ceil(firmPart * float64(v.Base)))
	}
	return int(math.Ceil(holdPart * float64(need)))
}

// keep holds ordinary upstreams until the cheap ones that replace them work. Where a data centre has no room for both kinds,
// ordinary ones make room as far as v.held still run, and beyond that in one data centre after the other.
func (v *View) keep(zones []Zone, want []Want, need int) {
	spare := -v.held(need)
	for _, z := range zones {
		spare += z.Ordinary + min(z.Cheap, v.Most-v.Least) // the rest gives way to the least ordinary ones
	}
	give := func(n int) int {
		n = max(0, min(n, spare))
		spare -= n
		return n
	}
	changing := false
	for i := len(zones) - 1; i >= 0; i-- { // the dearest first
		z, w := zones[i], &want[i]
		surplus := max(0, z.Ordinary-w.Ordinary)
		hold := min(surplus, max(0, w.Cheap-z.Cheap))
		if over := min(hold, w.Ordinary+hold+w.Cheap-v.Most); over > 0 {
			room := give(over)
			if !changing && !starting(zones, want, i) {
				room, changing = over, true
			}
			hold -= room
		}
		w.Ordinary += hold
		w.Cheap = max(0, min(w.Cheap, v.Most-w.Ordinary))
	}
}

// starting reports whether cheap upstreams start in another data centre than the i-th that has given its others back.
func starting(zones []Zone, want []Want, i int) bool {
	for k, z := range zones {
		if k != i && want[k].Cheap > z.Cheap && z.Ordinary <= want[k].Ordinary {
			return true
		}
	}
	return false
}

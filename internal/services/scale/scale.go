// Package scale decides how many upstreams of a service run in each data centre: ordinary ones, and cheap ones that the
// platform may reclaim at any time. The decision is a pure function of the load and the running upstreams.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wagtaillift/internal/modules/id"
)

// Zone is the state of one data centre at the time of a decision.
type Zone struct {
	Name         id.Zone
	Price        float64       // price of an ordinary upstream per second
	Ordinary     int           // running or ordered ordinary upstreams
	Cheap        int           // cheap upstreams that accept requests
	NoCheapUntil time.Duration // time until which no cheap upstreams are available; zero if they are
}

// Input holds the upstreams and the load of a service at the time of a decision.
type Input struct {
	Zones          []Zone
	MinPerZone     int     // minimum number of ordinary upstreams per data centre
	MaxPerZone     int     // maximum number of upstreams per data centre, both kinds together
	Cheap          float64 // price of a cheap upstream as a fraction of an ordinary one's; zero if there are none
	Need           float64 // number of upstreams that the load requires; zero while it is unknown
	InitialCount   int     // upstreams that ran when the service was first observed
	ReclaimReserve float64 // fraction of the desired upstreams that is ordinary even if cheap ones are available, as a reserve for reclaims
}

// Target is the desired number of upstreams in a data centre.
type Target struct {
	Zone     id.Zone
	Ordinary int
	Cheap    int
}

const (
	// maxCheapPrice is the relative price from which cheap upstreams are not worthwhile, because they may be reclaimed and
	// have to be replaced.
	maxCheapPrice = 0.7
	// unknownNeedFactor is the number of upstreams while the load is unknown, as a multiple of InitialCount.
	unknownNeedFactor = 2.0
	// unknownNeedOrdinaryFraction is the fraction of InitialCount that stays ordinary while the load is unknown.
	unknownNeedOrdinaryFraction = 0.5
	// cheapHeadroomFactor is the factor applied to the need if cheap upstreams are used. The extra capacity keeps queues
	// short and absorbs the loss of some upstreams.
	cheapHeadroomFactor = 1.5
)

// Plan returns the desired number of upstreams for each data centre. It handles load that outgrows the running
// upstreams, and reclaims that take all cheap upstreams of a data centre at once. The need is covered with cheap
// upstreams, spread so that the other data centres carry the load when one loses its own. No upstream is released before
// its replacement works, except as described at keepUntilReplaced.
func Plan(now time.Duration, in *Input) []Target {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name)) })
	targetCount := in.targetCount()
	targets := make([]Target, len(zones))
	ordinaryCount := in.ordinaryCount(targetCount)
	for i, z := range zones {
		targets[i] = Target{Zone: z.Name, Ordinary: evenPart(ordinaryCount, len(zones), i)}
		targets[i].Ordinary = min(in.MaxPerZone, max(targets[i].Ordinary, in.MinPerZone))
	}
	missing := targetCount
	for i := range targets {
		missing -= targets[i].Ordinary
	}
	missing = in.fillCheap(now, zones, targets, missing)
	in.fillOrdinary(targets, missing)
	in.keepUntilReplaced(zones, targets, targetCount)
	return targets
}

// targetCount returns the desired number of upstreams, including spare ones for a reclaim in one data centre.
func (in *Input) targetCount() int {
	if in.Need <= 0 {
		return int(math.Ceil(unknownNeedFactor * float64(in.InitialCount)))
	}
	n := in.Need
	if in.usesCheap() && len(in.Zones) > 1 {
		n *= cheapHeadroomFactor * float64(len(in.Zones)) / (float64(len(in.Zones)) - coveredLossFraction)
	}
	return int(math.Ceil(n))
}

// coveredLossFraction is the fraction of a data centre's cheap upstreams for whose loss the need is raised. The
// headroom of the other data centres absorbs the rest of the loss.
const coveredLossFraction = 0.5

// usesCheap reports whether cheap upstreams are available and cost little enough to be worthwhile.
func (in *Input) usesCheap() bool { return in.Cheap > 0 && in.Cheap < maxCheapPrice }

// ordinaryCount returns the desired total number of ordinary upstreams.
func (in *Input) ordinaryCount(targetCount int) int {
	if !in.usesCheap() {
		return targetCount
	}
	n := max(int(math.Ceil(in.ReclaimReserve*float64(targetCount))), in.MinPerZone*len(in.Zones))
	if in.Need <= 0 {
		n = max(n, int(math.Ceil(unknownNeedOrdinaryFraction*float64(in.InitialCount))))
	}
	return n
}

// evenPart returns the i-th of count nearly equal parts of n. The first n%count parts are larger by one.
func evenPart(n, count, i int) int {
	part := n / count
	if i < n%count {
		part++
	}
	return part
}

// fillCheap adds cheap upstreams to the data centres in turn and returns how many are still missing. A data centre in
// which none are available keeps at most those that it has.
func (in *Input) fillCheap(now time.Duration, zones []Zone, targets []Target, missing int) int {
	if !in.usesCheap() {
		return missing
	}
	for progress := true; progress && missing > 0; {
		progress = false
		for i := range targets {
			if missing <= 0 {
				return 0
			}
			if now < zones[i].NoCheapUntil && targets[i].Cheap >= zones[i].Cheap || targets[i].Ordinary+targets[i].Cheap >= in.MaxPerZone {
				continue
			}
			targets[i].Cheap++
			missing--
			progress = true
		}
	}
	return missing
}

// fillOrdinary adds ordinary upstreams to cover what cheap ones cannot.
func (in *Input) fillOrdinary(targets []Target, missing int) {
	for progress := true; progress && missing > 0; {
		progress = false
		for i := range targets {
			if missing > 0 && targets[i].Ordinary+targets[i].Cheap < in.MaxPerZone {
				targets[i].Ordinary++
				missing--
				progress = true
			}
		}
	}
}

// minRunningFraction is the fraction of the desired upstreams below which none is released before its replacement works.
// A replacement takes seconds to start, and the queue that builds up meanwhile takes much longer to drain.
const minRunningFraction = 0.75

// minRunning returns the number of upstreams that must run until replacements work. It is lower while the load is
// unknown, as no queue can build up then.
func (in *Input) minRunning(targetCount int) int {
	if in.Need <= 0 {
		return int(math.Ceil(unknownNeedOrdinaryFraction * float64(in.InitialCount)))
	}
	return int(math.Ceil(minRunningFraction * float64(targetCount)))
}

// keepUntilReplaced raises targets so that an ordinary upstream stays until the cheap one that replaces it works. Where
// MaxPerZone leaves no room for both, ordinary upstreams are released early to make room: in all data centres as long as
// at least minRunning upstreams remain, and in one data centre at a time even if fewer remain. Cheap upstreams for which
// there is still no room are not ordered yet.
func (in *Input) keepUntilReplaced(zones []Zone, targets []Target, targetCount int) {
	releasable := -in.minRunning(targetCount) // running upstreams above the minimum
	for i, z := range zones {
		releasable += z.Ordinary + min(z.Cheap, in.MaxPerZone-in.MinPerZone, targets[i].Cheap) // cheap ones beyond this are released in any case
	}
	// release returns how many of n upstreams may be released early, and takes them from releasable.
	release := func(n int) int {
		n = max(0, min(n, releasable))
		releasable -= n
		return n
	}
	// replacing is set once a data centre releases some before their replacements work.
	replacing := false
	for i := len(zones) - 1; i >= 0; i-- { // the most expensive first
		z, target := zones[i], &targets[i]
		surplus := max(0, z.Ordinary-target.Ordinary)
		kept := min(surplus, max(0, target.Cheap-z.Cheap))
		kept = surplus - release(surplus-kept) // the replacements of the others start in another data centre
		if excess := min(kept, target.Ordinary+kept+target.Cheap-in.MaxPerZone); excess > 0 {
			released := release(excess)
			if !replacing && !replacementStarting(zones, targets, i) {
				released = excess
			}
			kept -= released
		}
		target.Ordinary += kept
		target.Cheap = max(0, min(target.Cheap, in.MaxPerZone-target.Ordinary))
		replacing = replacing || target.Ordinary < z.Ordinary && target.Cheap > z.Cheap
	}
}

// replacementStarting reports whether a data centre other than the i-th has released its surplus ordinary upstreams while
// their cheap replacements are still starting.
func replacementStarting(zones []Zone, targets []Target, i int) bool {
	for k, z := range zones {
		if k != i && targets[k].Cheap > z.Cheap && z.Ordinary <= targets[k].Ordinary {
			return true
		}
	}
	return false
}

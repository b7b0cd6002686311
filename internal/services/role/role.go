// Package role decides which engines only read prompts and which generate: a pure function of the work of a service and
// its engines.
package role

import (
	"cmp"
	"slices"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// Engine is one engine at the moment of a decision.
type Engine struct {
	Name    id.Upstream
	Zone    id.Zone
	Role    engine.Role
	Cheap   bool
	Running int           // requests at it
	Changed time.Duration // when its role was changed last; zero where it never was
}

// View is the engines of a service and their work.
type View struct {
	Engines []Engine
	Read    float64       // prompt tokens a second that engines have to read, those turned away included
	Speed   float64       // prompt tokens a second that an engine reads which does nothing else
	Dwell   time.Duration // least time between two changes of one engine
	Last    time.Duration // when any role of the service was changed last
}

const (
	// fullRun is how many requests an engine that generates runs at once before the gaps between events and its memory
	// suffer: half of the slots of a batch.
	fullRun = 24.0
	// leastGain is the part of the greater pressure that a change must take away. It covers what the change costs: the
	// engine does nothing for seconds.
	leastGain = 0.12
	// leastPressure is the pressure below which nothing is changed: both kinds of work find room.
	leastPressure = 0.5
	// between is the least time between two changes, so that the effect of one is seen before the next.
	between = 1500 * time.Millisecond
	// leastKind is how many engines of each kind are kept.
	leastKind = 1
)

// Change is a decision, with its inputs.
type Change struct {
	Engine id.Upstream
	Role   engine.Role
	Before float64 // greater of the two pressures now
	After  float64 // and after the change
}

// pressure returns the greater of the loads of n engines that read and m that generate.
func (v *View) pressure(n, m int, running float64) float64 {
	if n < leastKind || m < leastKind {
		return 1e9
	}
	return max(v.Read/(float64(n)*v.Speed), running/(float64(m)*fullRun))
}

// Plan returns the next change of a role at now. It answers a mix that shifts between long prompts and long answers:
// one engine goes over to the kind of work that is pressed more, where that lowers the greater pressure by enough.
func Plan(now time.Duration, v *View) (Change, bool) {
	if v.Speed <= 0 {
		return Change{}, false
	}
	var read, generate []Engine
	running := 0.0
	for _, e := range v.Engines {
		if e.Role == engine.Prefill {
			read = append(read, e)
			continue
		}
		generate = append(generate, e)
		running += float64(e.Running)
	}
	n, m := len(read), len(generate)
	if v.Read <= 0 {
		return v.rest(now, read, generate)
	}
	if v.Last > 0 && now-v.Last < between {
		return Change{}, false
	}
	before := v.pressure(n, m, running)
	if before < leastPressure {
		return Change{}, false
	}
	more, less := v.pressure(n+1, m-1, running), v.pressure(n-1, m+1, running)
	from, to, after := generate, engine.Prefill, more
	if less < more {
		from, to, after = read, engine.Decode, less
	}
	if after > before*(1-leastGain) {
		return Change{}, false
	}
	e, ok := v.pick(now, from, to)
	if !ok {
		return Change{}, false
	}
	return Change{Engine: e.Name, Role: to, Before: before, After: after}, true
}

// wanted orders engines by whether role suits them.
func wanted(e Engine, role engine.Role) int {
	if e.Cheap == (role == engine.Prefill) {
		return 1
	}
	return 0
}

// restPart is the part of the engines that read while the mix is not known.
const restPart = 0.5

// rest returns the next change towards restPart.
func (v *View) rest(now time.Duration, read, generate []Engine) (Change, bool) {
	want := int(restPart * float64(len(v.Engines)))
	if len(read) >= max(leastKind, want) || len(generate) <= leastKind {
		return Change{}, false
	}
	e, ok := v.pick(now, generate, engine.Prefill)
	return Change{Engine: e.Name, Role: engine.Prefill}, ok
}

// pick returns the engine that goes over to role: where it is to read, one that is not cheap, because a reclaim takes what
// it keeps of prompts; then of the data centre that has most of the kind, the least busy.
func (v *View) pick(now time.Duration, list []Engine, role engine.Role) (Engine, bool) {
	zones := map[id.Zone]int{}
	var free []Engine
	for _, e := range list {
		zones[e.Zone]++
		if e.Changed == 0 || now-e.Changed >= v.Dwell {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(free, func(a, b Engine) int {
		return cmp.Or(wanted(a, role)-wanted(b, role), cmp.Compare(zones[b.Zone], zones[a.Zone]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	}), true
}

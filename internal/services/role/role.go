// Package role decides which engines of a service only process prompts (prefill) and which generate (decode). The
// decision is a pure function of the service's load and its engines.
package role

import (
	"cmp"
	"slices"
	"time"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// Engine is the state of one engine at the time of a decision.
type Engine struct {
	Name      id.Upstream
	Zone      id.Zone
	Role      engine.Role
	Cheap     bool          // may be reclaimed by the platform
	Running   int           // requests running on it
	ChangedAt time.Duration // time of its last change of role; zero if there was none
}

// Input holds the engines of a service and their load at the time of a decision.
type Input struct {
	Engines      []Engine
	PromptRate   float64       // prompt tokens per second in requests, including refused requests
	PrefillSpeed float64       // prompt tokens per second that an engine processes if it does nothing else
	MinRoleDwell time.Duration // minimum time between two changes of one engine
	LastChange   time.Duration // time of the last change of any engine of the service
}

const (
	// fullBatchRequests is the number of concurrent requests above which the gaps between stream events and the memory
	// of a decode engine suffer: half of the slots of a batch.
	fullBatchRequests = 24.0
	// minGain is the fraction by which a change must lower the greater pressure. It covers the cost of the change, during
	// which the engine is idle for seconds.
	minGain = 0.12
	// minPressure is the pressure below which no role is changed, as there is room for both kinds of work.
	minPressure = 0.5
	// minChangeInterval is the minimum time between two changes, so that the effect of one is visible before the next.
	minChangeInterval = 1500 * time.Millisecond
	// minPerRole is the minimum number of engines in each role.
	minPerRole = 1
)

// Change is a decision to change the role of one engine.
type Change struct {
	Engine         id.Upstream
	Role           engine.Role
	PressureBefore float64 // greater of the two pressures before the change
	PressureAfter  float64 // greater of the two pressures after the change
}

// pressure returns the greater of the relative loads of n prefill engines and m decode engines. It is 1e9 if either
// number is below minPerRole.
func (in *Input) pressure(n, m int, running float64) float64 {
	if n < minPerRole || m < minPerRole {
		return 1e9
	}
	return max(in.PromptRate/(float64(n)*in.PrefillSpeed), running/(float64(m)*fullBatchRequests))
}

// Plan returns the next change of a role, if any. It follows shifts between long prompts and long answers: one engine
// changes to the role under more pressure if that lowers the greater pressure by at least minGain.
func Plan(now time.Duration, in *Input) (Change, bool) {
	if in.PrefillSpeed <= 0 {
		return Change{}, false
	}
	var prefill, decode []Engine
	running := 0.0
	for _, e := range in.Engines {
		if e.Role == engine.Prefill {
			prefill = append(prefill, e)
			continue
		}
		decode = append(decode, e)
		running += float64(e.Running)
	}
	n, m := len(prefill), len(decode)
	if in.PromptRate <= 0 {
		return in.planDefault(now, prefill, decode)
	}
	if in.LastChange > 0 && now-in.LastChange < minChangeInterval {
		return Change{}, false
	}
	before := in.pressure(n, m, running)
	if before < minPressure {
		return Change{}, false
	}
	morePrefill, fewerPrefill := in.pressure(n+1, m-1, running), in.pressure(n-1, m+1, running)
	from, to, after := decode, engine.Prefill, morePrefill
	if fewerPrefill < morePrefill {
		from, to, after = prefill, engine.Decode, fewerPrefill
	}
	if after > before*(1-minGain) {
		return Change{}, false
	}
	e, ok := in.pickEngine(now, from, to)
	if !ok {
		return Change{}, false
	}
	return Change{Engine: e.Name, Role: to, PressureBefore: before, PressureAfter: after}, true
}

// rolePenalty returns 1 if e is a poor choice for role, and 0 otherwise. Cheap engines suit decode, others prefill.
func rolePenalty(e Engine, role engine.Role) int {
	if e.Cheap == (role == engine.Prefill) {
		return 1
	}
	return 0
}

// defaultPrefillFraction is the fraction of engines in the prefill role while the load is unknown.
const defaultPrefillFraction = 0.5

// planDefault returns the next change towards defaultPrefillFraction, if any.
func (in *Input) planDefault(now time.Duration, prefill, decode []Engine) (Change, bool) {
	want := int(defaultPrefillFraction * float64(len(in.Engines)))
	if len(prefill) >= max(minPerRole, want) || len(decode) <= minPerRole {
		return Change{}, false
	}
	e, ok := in.pickEngine(now, decode, engine.Prefill)
	return Change{Engine: e.Name, Role: engine.Prefill}, ok
}

// pickEngine returns the engine of list that changes to role, or false if all have changed within MinRoleDwell. For
// prefill it prefers engines that are not cheap, because a reclaim loses the cached prompts. Then it prefers the data
// centre with the most engines in list, and the engine with the fewest running requests.
func (in *Input) pickEngine(now time.Duration, list []Engine, role engine.Role) (Engine, bool) {
	zones := map[id.Zone]int{}
	var free []Engine
	for _, e := range list {
		zones[e.Zone]++
		if e.ChangedAt == 0 || now-e.ChangedAt >= in.MinRoleDwell {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(free, func(a, b Engine) int {
		return cmp.Or(rolePenalty(a, role)-rolePenalty(b, role), cmp.Compare(zones[b.Zone], zones[a.Zone]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	}), true
}

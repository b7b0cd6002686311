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
	// fullLoadRequests is the number of concurrent requests that fully load a decode engine: half of the slots of a batch.
	// With more, the gaps between stream events grow and memory becomes scarce.
	fullLoadRequests = 24.0
	// minGain is the fraction by which a change must lower the pressure (see Input.pressure). It covers the cost of the
	// change, during which the engine is idle for seconds.
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
	PressureBefore float64 // pressure before the change; zero while the load is unknown
	PressureAfter  float64 // pressure after the change; zero while the load is unknown
}

// pressure returns the load of the prefill engines or that of the decode engines, whichever is greater, where 1 is full
// load and running is the total number of requests on decode engines. It returns 1e9 if either role has fewer than
// minPerRole engines.
func (in *Input) pressure(prefillCount, decodeCount int, running float64) float64 {
	if prefillCount < minPerRole || decodeCount < minPerRole {
		return 1e9
	}
	return max(in.PromptRate/(float64(prefillCount)*in.PrefillSpeed), running/(float64(decodeCount)*fullLoadRequests))
}

// Plan returns the next change of a role, if any. It follows shifts between long prompts and long answers: one engine
// changes to the more loaded role if that lowers the pressure by at least minGain.
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
	prefillCount, decodeCount := len(prefill), len(decode)
	if in.PromptRate <= 0 {
		return in.planDefault(now, prefill, decode)
	}
	if in.LastChange > 0 && now-in.LastChange < minChangeInterval {
		return Change{}, false
	}
	before := in.pressure(prefillCount, decodeCount, running)
	if before < minPressure {
		return Change{}, false
	}
	morePrefill, fewerPrefill := in.pressure(prefillCount+1, decodeCount-1, running), in.pressure(prefillCount-1, decodeCount+1, running)
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
	wantPrefill := int(defaultPrefillFraction * float64(len(in.Engines)))
	if len(prefill) >= max(minPerRole, wantPrefill) || len(decode) <= minPerRole {
		return Change{}, false
	}
	e, ok := in.pickEngine(now, decode, engine.Prefill)
	return Change{Engine: e.Name, Role: engine.Prefill}, ok
}

// pickEngine returns the engine of list that changes to role, or false if all have changed within MinRoleDwell. For
// prefill it prefers engines that are not cheap, because a reclaim loses the cached prompts. Then it prefers the data
// centre with the most engines in list, and the engine with the fewest running requests.
func (in *Input) pickEngine(now time.Duration, list []Engine, role engine.Role) (Engine, bool) {
	enginesPerZone := map[id.Zone]int{}
	var eligible []Engine
	for _, e := range list {
		enginesPerZone[e.Zone]++
		if e.ChangedAt == 0 || now-e.ChangedAt >= in.MinRoleDwell {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(eligible, func(a, b Engine) int {
		return cmp.Or(rolePenalty(a, role)-rolePenalty(b, role), cmp.Compare(enginesPerZone[b.Zone], enginesPerZone[a.Zone]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	}), true
}

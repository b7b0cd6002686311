package forward

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/loadsync"
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/roster"
)

const (
	cacheMemoryRatio   = 0.8 // share of an engine's memory assumed to cache prompt parts; the rest holds running requests
	defaultSlots       = 8   // concurrent requests assumed for upstreams that announce no limit
	remoteLoadPenalty  = 0.4 // load, as a fraction of the slots, added to upstreams of other data centres
	failureLoadPenalty = 3.0 // load, as a multiple of the slots, added to an upstream all of whose answers fail
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 2 * time.Second
	spareVMs           = 2 // VMs that can join before the connections to an upstream must be divided again
)

// selection is the upstream of one attempt, and the load counted at it until the attempt ends.
type selection struct {
	u               *roster.Upstream
	prefill         bool // u only processes the prompt
	rule            string
	firstEventDelay time.Duration // estimate
	sentAt          time.Duration // clock.SinceBoot at the start of the attempt
	tokensToPrefill id.Tokens
	queuedTokens    id.Tokens // prompt tokens queued at u before this prompt
	copyFrom        string    // address of the engine to copy a prefix from; empty if none
	prefillOnce     sync.Once
	releaseOnce     sync.Once
}

// finishPrefill removes the prompt from the upstream's tokens to prefill. Only the first call has an effect.
func (sel *selection) finishPrefill() {
	sel.prefillOnce.Do(func() { sel.u.Stats.PendingPrefill.Add(-int64(sel.tokensToPrefill)) })
}

// release removes the request from the load of the upstream.
func (sel *selection) release() {
	sel.finishPrefill()
	sel.releaseOnce.Do(func() { sel.u.Stats.Requests.Add(-1) })
}

// choose selects the upstream of the next attempt and adds c to its load.
func (f *Forwarder) choose(ctx context.Context, c *Call, p *progress) (*selection, error) {
	model := c.service.Engine != nil && len(c.PromptParts) > 0
	want := func(u *roster.Upstream) bool {
		return model && !c.begun && !p.skipPrefillOnly || u.Role != engine.Prefill
	}
	return f.chooseInTurn(ctx, c, p, want, func(list []*roster.Upstream) (*selection, error) {
		if len(list) == 0 {
			return nil, refuse(http.StatusServiceUnavailable, call.NoUpstream, "no upstream of "+string(c.service.ID)+" is ready").WithRetryAfter(notReadyRetryAfter)
		}
		if !model {
			return f.choosePlain(c, list), nil
		}
		return f.chooseEngine(c, list, c.begun || len(p.tried) > 0)
	})
}

// acquire adds the request to the load of its upstream.
func (sel *selection) acquire() *selection {
	sel.sentAt = clock.SinceBoot()
	sel.u.Stats.Requests.Add(1)
	sel.u.Stats.PendingPrefill.Add(int64(sel.tokensToPrefill))
	return sel
}

// eligible returns the upstreams that may run c. Those with an open circuit are returned only if there are no others. If the limits of
// upstreams leave none now, it returns how long it takes until this VM may send to one of them.
func (f *Forwarder) eligible(c *Call, p *progress, want func(*roster.Upstream) bool) (list []*roster.Upstream, wait time.Duration) {
	now := clock.SinceBoot()
	orders := f.Orders()
	var open []*roster.Upstream
	for _, u := range f.Roster.Snapshot().Services[c.service.ID] {
		if p.tried[u.Name] || !c.mayContinueAt(u) || !want(u) || orders[u.Name].ChangesRole(u.Incarnation, string(u.Role)) {
			continue
		}
		switch d := max(f.Pace.Wait(now, u), u.Held(now)); {
		case d > 0:
			if wait == 0 || d < wait {
				wait = d
			}
		case u.Stats.CircuitOpen(now):
			open = append(open, u)
		default:
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		list = open
	}
	if len(list) > 0 {
		wait = 0
	}
	return list, wait
}

// Loads, as fractions of the slots, added to an engine in another data centre than this VM (remoteDecodePenalty) and to
// one in another data centre than the processed prompt (kvMovePenalty).
const (
	remoteDecodePenalty = 0.25
	kvMovePenalty       = 0.15
)

// chooseDecoder selects the engine that generates the answer to the prompt processed on prefillEngine.
func (f *Forwarder) chooseDecoder(ctx context.Context, c *Call, p *progress, prefillEngine *roster.Upstream) (*selection, error) {
	generates := func(u *roster.Upstream) bool { return u.Role != engine.Prefill }
	return f.chooseInTurn(ctx, c, p, generates, func(list []*roster.Upstream) (*selection, error) {
		return f.leastLoadedDecoder(c, list, prefillEngine)
	})
}

func (f *Forwarder) leastLoadedDecoder(c *Call, list []*roster.Upstream, prefillEngine *roster.Upstream) (*selection, error) {
	var best *roster.Upstream
	least := math.Inf(1)
	now := clock.SinceBoot()
	for _, u := range list {
		load := relativeLoad(now, u, c.service.Engine.Slots)
		if u.Zone != f.Zone {
			load += remoteDecodePenalty
		}
		if u.Zone != prefillEngine.Zone {
			load += kvMovePenalty
		}
		if load < least {
			best, least = u, load
		}
	}
	if best == nil {
		return nil, refuse(http.StatusServiceUnavailable, call.NoUpstream, "no engine of "+string(c.service.ID)+" generates").WithRetryAfter(notReadyRetryAfter)
	}
	return &selection{u: best, rule: "generate"}, nil
}

// relativeLoad returns the load of u as a fraction of its slots, increased by its failure rate.
func relativeLoad(now time.Duration, u *roster.Upstream, slots int) float64 {
	return float64(u.Stats.Running())/float64(max(1, slots)) + failureLoadPenalty*u.Stats.FailureRate(now)
}

// choosePlain selects the upstream with the lowest load; upstreams of other data centres count as more loaded.
func (f *Forwarder) choosePlain(c *Call, list []*roster.Upstream) *selection {
	now := clock.SinceBoot()
	var best *roster.Upstream
	least := math.Inf(1)
	var rank uint64
	for _, u := range list {
		slots := defaultSlots
		if u.Slots > 0 {
			slots = u.Slots
		}
		load := relativeLoad(now, u, slots)
		if u.Zone != f.Zone {
			load += remoteLoadPenalty
		}
		r := hash.Combine(u.Hash, hash.String(c.ID))
		if load < least || load == least && r > rank {
			best, least, rank = u, load, r
		}
	}
	return &selection{u: best, rule: "leastload"}
}

// chooseEngine selects an engine with package place. If retried is set, the call was sent or its stream has begun before, and it is
// not rejected as late.
func (f *Forwarder) chooseEngine(c *Call, list []*roster.Upstream, retried bool) (*selection, error) {
	prefixHash := c.PromptParts[max(0, len(c.PromptParts)-2)].Chain
	cachedTokens := f.caches.cached(f.Roster.Snapshot().Services[c.service.ID], c.PromptParts)
	holders := f.holders(c, cachedTokens)
	now := clock.SinceBoot()
	views := make([]place.View, len(list))
	sources := make([]string, len(list))
	for i, u := range list {
		cached := cachedTokens[u.Name]
		from, copyable, took := holders.bestSource(c, u, cached)
		views[i] = place.View{
			QueuedTokens:   u.Stats.TokensToPrefill(),
			Running:        int(u.Stats.Running()),
			Slots:          c.service.Engine.Slots,
			PrefillSpeed:   u.Stats.PrefillSpeed(u.Role == engine.Prefill),
			PrefillOnly:    u.Role == engine.Prefill,
			Cached:         cached,
			CopyableTokens: copyable,
			CopyTime:       took,
			Remote:         u.Zone != f.Zone,
			FailureRate:    u.Stats.FailureRate(now),
			Rank:           hash.Combine(u.Hash, prefixHash),
		}
		sources[i] = from
	}
	j := place.Job{
		Tokens: c.PromptTokens, RequestBytes: len(c.Body), Objective: c.route.Objective, Waited: time.Since(c.Start),
		LatenessFactor: c.config.Resolve(policy.MaxLateness, c.customer.ID, c.service.ID).Value, Retried: retried,
	}
	ch := place.Choose(views, &j)
	if !retried {
		f.addRequestedTokens(c.service.ID, c.PromptParts[len(c.PromptParts)-1].Tokens)
	}
	if ch.Index < 0 {
		retryAfter := min(maxRetryAfter, max(minRetryAfter, ch.QueueDelay-c.route.Objective/2))
		klog.InfoS("Request rejected: no engine can answer in time", "request", c.ID, "rule", ch.Rule, "queue", ch.QueueDelay, "unread", ch.TokensToPrefill, "objective", c.route.Objective, "return", retryAfter)
		return nil, refuse(http.StatusServiceUnavailable, call.Busy, "no engine of "+string(c.service.ID)+" can answer in time").WithRetryAfter(AddJitter(retryAfter, c.ID))
	}
	u := list[ch.Index]
	f.caches.add(u, c, cacheMemoryRatio)
	from := ""
	if ch.Rule == place.Copied {
		from = sources[ch.Index]
	}
	return &selection{copyFrom: from, u: u, prefill: u.Role == engine.Prefill, rule: string(ch.Rule), firstEventDelay: ch.FirstTokenDelay, tokensToPrefill: ch.TokensToPrefill, queuedTokens: views[ch.Index].QueuedTokens}, nil
}

// AddJitter returns d lengthened by up to half, depending on the request, so that rejected callers do not all retry at
// the same time.
func AddJitter(d time.Duration, n id.Request) time.Duration {
	const parts = 1024
	return d + d*time.Duration(hash.String(n)%parts)/(2*parts)
}

// promptCaches estimates which prompt parts each engine has cached. The zero value is empty.
type promptCaches struct {
	mu            sync.Mutex
	engines       map[id.Upstream]*engineCache
	newPlacements []loadsync.Placed // not yet sent to the other VMs
}

// engineCache is the estimated prompt cache of one incarnation of an engine.
type engineCache struct {
	incarnation uint64
	place.PromptCache
}

// engine returns the cache of an engine. A new incarnation starts with an empty one.
func (m *promptCaches) engine(name id.Upstream, incarnation uint64) *engineCache {
	if m.engines == nil {
		m.engines = map[id.Upstream]*engineCache{}
	}
	e, ok := m.engines[name]
	if !ok || e.incarnation != incarnation {
		e = &engineCache{incarnation: incarnation}
		m.engines[name] = e
	}
	return e
}

// cached returns how many leading tokens of parts each engine of list is estimated to have cached.
func (m *promptCaches) cached(list []*roster.Upstream, parts []place.Part) map[id.Upstream]id.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[id.Upstream]id.Tokens, len(list))
	for _, u := range list {
		out[u.Name] = m.engine(u.Name, u.Incarnation).Cached(parts)
	}
	return out
}

// add records that u processes c's prompt, and queues the parts that the other VMs do not know of yet.
func (m *promptCaches) add(u *roster.Upstream, c *Call, memoryRatio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engine(u.Name, u.Incarnation)
	shared := c.PromptParts[:max(1, len(c.PromptParts)-1)]
	known := e.Cached(shared)
	e.Add(c.PromptParts, id.Tokens(memoryRatio*float64(c.service.Engine.KVCapacityTokens)))
	for _, p := range shared {
		if known -= p.Tokens; known >= 0 {
			continue // known to the other VMs
		}
		m.newPlacements = append(m.newPlacements, loadsync.Placed{Upstream: u.Name, Chain: p.Chain, Tokens: p.Tokens})
	}
}

// retain removes all engines that are not in want.
func (m *promptCaches) retain(want map[id.Upstream]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.engines {
		if !want[n] {
			delete(m.engines, n)
		}
	}
}

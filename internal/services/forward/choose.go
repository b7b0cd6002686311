package forward

import (
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
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/tally"
)

const (
	memoryPart  = 0.8 // of an engine's memory that is believed to keep parts; the rest holds running requests
	plainSlots  = 8   // requests at once assumed for upstreams that name no number
	farLoad     = 0.4 // load, in slots, that an upstream of this data centre may have beyond one of another
	faultLoad   = 3.0 // load, in slots, that failing every answer counts as
	leastReturn = 100 * time.Millisecond
	mostReturn  = 2 * time.Second
	connSpare   = 2 // VMs that may be added before connections are divided anew
)

// chosen is where one attempt goes, with what is to be undone after it.
type chosen struct {
	u      *roster.Upstream
	apart  bool // u only reads the prompt
	rule   string
	wait   time.Duration // predicted time to the first event
	unread id.Tokens
	ahead  id.Tokens // tokens to be read before
	source string    // address of the engine that leading parts are copied from; empty where none are
	once   sync.Once
	left   sync.Once
}

// readOff takes the prompt out of what is to be read, once.
func (h *chosen) readOff() {
	h.once.Do(func() { h.u.Work.Reading.Add(-int64(h.unread)) })
}

// leave takes the request out of the upstream's work.
func (h *chosen) leave() {
	h.readOff()
	h.left.Do(func() { h.u.Work.Requests.Add(-1) })
}

// choose picks the upstream of the next attempt and enters c there.
func (f *Forwarder) choose(c *Call, p *progress) (*chosen, error) {
	model := c.service.Engine != nil && len(c.Parts) > 0
	list := f.eligible(c, p, func(u *roster.Upstream) bool { return model && !p.begun && !p.inPlace || u.Role != engine.Prefill })
	if len(list) == 0 {
		return nil, refuse(http.StatusServiceUnavailable, call.NoUpstream, "no upstream of "+string(c.service.ID)+" is ready").After(whileUnknown)
	}
	if !model {
		return f.choosePlain(c, list).enter(), nil
	}
	h, err := f.chooseEngine(c, list, len(p.tried) > 0)
	if err != nil {
		return nil, err
	}
	return h.enter(), nil
}

// enter counts the request at its upstream.
func (h *chosen) enter() *chosen {
	h.u.Work.Requests.Add(1)
	h.u.Work.Reading.Add(int64(h.unread))
	return h
}

// eligible returns the upstreams that may take c: where all circuits are open, those too.
func (f *Forwarder) eligible(c *Call, p *progress, want func(*roster.Upstream) bool) []*roster.Upstream {
	now := clock.Boot()
	orders := f.Orders()
	var closed, open []*roster.Upstream
	for _, u := range f.Roster.Snapshot().Services[c.service.ID] {
		switch {
		case p.tried[u.Name] || !want(u) || orders[u.Name].Changes(u.Incarnation, string(u.Role)):
		case u.Work.Open(now):
			open = append(open, u)
		default:
			closed = append(closed, u)
		}
	}
	if len(closed) > 0 {
		return closed
	}
	return open
}

// The load, in slots, that moving a request or a read prompt to another data centre is worth avoiding.
const (
	farGenerate = 0.25
	farMove     = 0.15
)

// chooseNext picks the engine that generates from a prompt that was read at from.
func (f *Forwarder) chooseNext(c *Call, p *progress, from *roster.Upstream) (*chosen, error) {
	var best *roster.Upstream
	least := math.Inf(1)
	for _, u := range f.eligible(c, p, func(u *roster.Upstream) bool { return u.Role != engine.Prefill }) {
		load := loadOf(u, c.service.Engine.Slots)
		if u.Zone != f.Zone {
			load += farGenerate
		}
		if u.Zone != from.Zone {
			load += farMove
		}
		if load < least {
			best, least = u, load
		}
	}
	if best == nil {
		return nil, refuse(http.StatusServiceUnavailable, call.NoUpstream, "no engine of "+string(c.service.ID)+" generates").After(whileUnknown)
	}
	h := &chosen{u: best, rule: "generate"}
	return h.enter(), nil
}

// loadOf returns the load of u in parts of its slots, raised where its answers fail.
func loadOf(u *roster.Upstream, slots int) float64 {
	return float64(u.Work.Running())/float64(max(1, slots)) + faultLoad*u.Work.Faults()
}

// choosePlain takes the least loaded upstream, one of this data centre before others.
func (f *Forwarder) choosePlain(c *Call, list []*roster.Upstream) *chosen {
	var best *roster.Upstream
	least := math.Inf(1)
	var rank uint64
	for _, u := range list {
		slots := plainSlots
		if u.Slots > 0 {
			slots = u.Slots
		}
		load := loadOf(u, slots)
		if u.Zone != f.Zone {
			load += farLoad
		}
		r := hash.Pair(u.Hash, hash.String(c.ID))
		if load < least || load == least && r > rank {
			best, least, rank = u, load, r
		}
	}
	return &chosen{u: best, rule: "leastload"}
}

// chooseEngine asks package place. A request that has begun goes on wherever it can.
func (f *Forwarder) chooseEngine(c *Call, list []*roster.Upstream, again bool) (*chosen, error) {
	key := c.Parts[max(0, len(c.Parts)-2)].Chain
	kept := f.known.cached(f.Roster.Snapshot().Services[c.service.ID], c.Parts)
	holders := f.holders(c, kept)
	views := make([]place.View, len(list))
	sources := make([]string, len(list))
	for i, u := range list {
		cached := kept[u.Name]
		from, fetch, took := holders.best(c, u, cached)
		views[i] = place.View{
			Reading: u.Work.Unread(),
			Running: int(u.Work.Running()),
			Slots:   c.service.Engine.Slots,
			Speed:   u.Work.Speed(u.Role == engine.Prefill),
			Apart:   u.Role == engine.Prefill,
			Cached:  cached,
			Fetch:   fetch,
			Copy:    took,
			Remote:  u.Zone != f.Zone,
			Faults:  u.Work.Faults(),
			Place:   hash.Pair(u.Hash, key),
		}
		sources[i] = from
	}
	j := place.Job{
		Tokens: c.Prompt, Bytes: len(c.Body), Objective: c.route.Objective, Waited: time.Since(c.Start),
		Lenient: c.config.Resolve(policy.Late, c.customer.ID, c.service.ID).Value, Begun: again,
	}
	ch := place.Choose(views, &j)
	if !again {
		f.ask(c.service.ID, c.Parts[len(c.Parts)-1].Tokens)
	}
	if ch.Index < 0 {
		back := min(mostReturn, max(leastReturn, ch.Queue-c.route.Objective/2))
		klog.InfoS("Turned away", "request", c.ID, "rule", ch.Rule, "queue", ch.Queue, "unread", ch.Unread, "objective", c.route.Objective, "return", back)
		return nil, refuse(http.StatusServiceUnavailable, call.Busy, "no engine of "+string(c.service.ID)+" can answer in time").After(spread(back, c.ID))
	}
	u := list[ch.Index]
	f.known.keep(u, c, memoryPart)
	from := ""
	if ch.Rule == place.Copied {
		from = sources[ch.Index]
	}
	return &chosen{source: from, u: u, apart: u.Role == engine.Prefill, rule: string(ch.Rule), wait: ch.Wait, unread: ch.Unread, ahead: views[ch.Index].Reading}, nil
}

// spread returns d lengthened by up to half, by request, so that those that return do not come at once.
func spread(d time.Duration, n id.Request) time.Duration {
	const parts = 1024
	return d + d*time.Duration(hash.String(n)%parts)/(2*parts)
}

// memories are what the engines are believed to keep. The zero value is empty.
type memories struct {
	mu      sync.Mutex
	engines map[id.Upstream]*remembered
	placed  []tally.Placed // for the other VMs
}

type remembered struct {
	incarnation uint64
	place.Memory
}

// of returns the memory of u's present life.
func (m *memories) of(name id.Upstream, incarnation uint64) *remembered {
	if m.engines == nil {
		m.engines = map[id.Upstream]*remembered{}
	}
	e, ok := m.engines[name]
	if !ok || e.incarnation != incarnation {
		e = &remembered{incarnation: incarnation}
		m.engines[name] = e
	}
	return e
}

// cached returns how many leading tokens of parts each engine of list is believed to keep.
func (m *memories) cached(list []*roster.Upstream, parts []place.Part) map[id.Upstream]id.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[id.Upstream]id.Tokens, len(list))
	for _, u := range list {
		out[u.Name] = m.of(u.Name, u.Incarnation).Cached(parts)
	}
	return out
}

// keep notes that u reads c's prompt, and what the other VMs are to know of it.
func (m *memories) keep(u *roster.Upstream, c *Call, part float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.of(u.Name, u.Incarnation)
	shared := c.Parts[:max(1, len(c.Parts)-1)]
	known := e.Cached(shared)
	e.Keep(c.Parts, id.Tokens(part*float64(c.service.Engine.Memory)))
	for _, p := range shared {
		if known -= p.Tokens; known >= 0 {
			continue // the others know of it
		}
		m.placed = append(m.placed, tally.Placed{Upstream: u.Name, Chain: p.Chain, Tokens: p.Tokens})
	}
}

// forget drops the engines that want does not name.
func (m *memories) forget(want map[id.Upstream]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.engines {
		if !want[n] {
			delete(m.engines, n)
		}
	}
}

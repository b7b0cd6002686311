// Package emulate emulates the systems that wagtaillift talks to: model engines, applications, the platform and the weight
// store. They follow docs/PROTOCOLS.md and are deterministic except for scheduling: all randomness comes from a seed.
package emulate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/hash"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
)

// Timing holds the parameters that determine the duration of an engine's steps and changes.
type Timing struct {
	Step              time.Duration // fixed part of each step
	PrefillPerToken   time.Duration // per prompt token processed in a step
	DecodePerSequence time.Duration // per sequence that generates a token in a step
	ChunkTokens       int           // most prompt tokens processed in one step
	ChangeDuration    time.Duration // time for which the engine is unavailable to apply an order
}

// DefaultTiming returns the timing of a mid-sized engine.
func DefaultTiming() Timing {
	return Timing{
		Step: 8 * time.Millisecond, PrefillPerToken: 40 * time.Microsecond, DecodePerSequence: 150 * time.Microsecond, ChunkTokens: 512,
		ChangeDuration: 2 * time.Second,
	}
}

// Slowed returns t with the time per token multiplied and the chunk size divided by factor. It returns t itself if factor
// is not positive.
func (t Timing) Slowed(factor float64) Timing {
	if factor <= 0 {
		return t
	}
	t.PrefillPerToken = time.Duration(float64(t.PrefillPerToken) * factor)
	t.DecodePerSequence = time.Duration(float64(t.DecodePerSequence) * factor)
	t.ChunkTokens = max(1, int(float64(t.ChunkTokens)/factor))
	return t
}

// Options configures an Engine.
type Options struct {
	Announcement engine.Announcement
	Announce     []string // base URLs of the fleet's upstream listeners
	Credential   string   // upstream credential
	Timing       Timing
	Faults       Faults
	Seed         uint64
	Lag          time.Duration // delay of load reports and cache events
	Restart      time.Duration // time after a crash until the engine restarts; zero for never
	WeightStore  *WeightStore  // nil loads without delay
}

const (
	maxRunning       = 64 // sequences in one batch
	maxQueued        = 512
	cacheDivisor     = 2 // the prefix cache takes 1/cacheDivisor of the KV memory
	pollInterval     = 10 * time.Millisecond
	maxRequestCounts = 1 << 20 // request IDs that are counted before the counts are cleared
)

// sequence is a request that is queued or running in an engine.
type sequence struct {
	prompt      string
	prefillLeft int // prompt tokens still to be processed; -1 after the prefill until emit
	generated   int // tokens generated so far, including those delivered before the request was resumed
	maxTokens   int
	kvBlocks    int64 // KV blocks that the sequence occupies
	priority    int
	arrival     uint64          // order of arrival, which decides between sequences of the same priority
	out         chan int        // numbers of the generated tokens; closed at the end of the sequence
	callerGone  <-chan struct{} // closed when the caller disconnects
}

// Engine is an emulated model engine with continuous batching, chunked prefill and a prefix cache.
type Engine struct {
	opt            Options
	mu             sync.Mutex
	rng            *rand.Rand
	queue          []*sequence
	running        []*sequence
	usedKVBlocks   int64 // KV blocks that running sequences occupy
	arrivals       uint64
	cache          prefixCache
	faults         Faults
	announced      engine.Announcement
	highestFence   id.Fence
	order          id.Index // ID of the latest accepted order
	crashed        bool     // no requests are accepted until the restart
	activeRequests int      // completion requests that are being handled
	workQueued     chan struct{}
	stateChanged   chan struct{} // wakes announceLoop
	stopAnnouncing context.CancelFunc
	usualFaults    Faults // while troubles is above 0
	troubles       int
	reportedLoad   engine.Load // load as last reported, up to Options.Lag old
	requestCounts  map[string]int
	eventLog       eventLog
	stats          Stats
	server         *http.Server
	stop           context.CancelFunc
	ctx            context.Context
}

// Stats counts the work and faults of an engine.
type Stats struct {
	Requests  int64 `json:"requests"`
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	Changes   int64 `json:"changes"`
	Conflicts int64 `json:"conflicts"` // orders refused because the engine was not ready
}

// NewEngine returns an engine, which Start starts.
func NewEngine(opt Options) *Engine {
	if opt.Timing == (Timing{}) {
		opt.Timing = DefaultTiming()
	}
	a := opt.Announcement
	if a.Role == "" {
		a.Role = engine.Both
	}
	if a.KVBlocks == 0 {
		a.KVBlocks = 4096
	}
	a.State = engine.Ready
	e := &Engine{
		opt: opt, announced: a, faults: opt.Faults, rng: rand.New(rand.NewPCG(opt.Seed, hash.String(a.Name))),
		requestCounts: map[string]int{}, cache: prefixCache{maxBlocks: int(a.KVBlocks) / cacheDivisor},
	}
	e.stateChanged = make(chan struct{}, 1)
	e.eventLog.rng = rand.New(rand.NewPCG(opt.Seed, 1))
	e.cache.onChange = func(block uint64, cached bool) { e.eventLog.add(time.Now(), block, cached) }
	return e
}

// Start listens on the announced address, or on a free port if that ends in :0, and runs and announces the engine until
// ctx ends.
func (e *Engine) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", e.announced.Address)
	if err != nil {
		return errors.Annotatef(err, "listen for engine %s", e.announced.Name)
	}
	inner, stop := context.WithCancel(ctx)
	e.mu.Lock()
	e.ctx, e.stop = inner, stop
	e.workQueued = make(chan struct{}, 1)
	e.announced.Address = l.Addr().String()
	e.announced.Incarnation = uint64(time.Now().UnixNano())
	e.announced.State, e.crashed = engine.Ready, false
	e.queue, e.running, e.usedKVBlocks = nil, nil, 0
	e.cache.clear()
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Minute, ConnContext: withConn}
	srv := e.server
	announcing, stop := context.WithCancel(inner)
	e.stopAnnouncing = stop
	e.mu.Unlock()
	go srv.Serve(l)
	go e.schedule(inner)
	go e.updateLoadLoop(inner)
	go announceLoop(announcing, e.opt.Announce, e.opt.Credential, e.stateChanged, e.announcement)
	return nil
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announced.Address
}

// Stats returns the statistics since the engine was created.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// RequestCounts returns the number of times that each request ID reached the engine.
func (e *Engine) RequestCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.requestCounts))
	for k, v := range e.requestCounts {
		counts[k] = v
	}
	return counts
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// StopAnnouncing stops the announcements; the engine keeps serving requests.
func (e *Engine) StopAnnouncing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopAnnouncing()
}

// announcement returns the current announcement, with the reported load.
func (e *Engine) announcement() engine.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.announced
	l := e.reportedLoad
	a.Load = &l
	return a
}

// Crash stops the engine abruptly, as if its process were killed: its connections are closed. It restarts after
// Options.Restart unless that is zero or parent has ended.
func (e *Engine) Crash(parent context.Context) {
	e.mu.Lock()
	if e.crashed && e.server == nil {
		e.mu.Unlock()
		return
	}
	srv := e.server
	e.server, e.crashed = nil, true
	e.stats.Crashes++
	e.stop()
	e.mu.Unlock()
	srv.Close()
	klog.V(1).InfoS("Engine crashed", "engine", e.announced.Name)
	if e.opt.Restart == 0 {
		return
	}
	time.AfterFunc(e.opt.Restart, func() {
		if parent.Err() == nil {
			e.Start(parent)
		}
	})
}

// setState changes the state and triggers an announcement. The caller holds e.mu.
func (e *Engine) setState(s engine.State) {
	e.announced.State = s
	select {
	case e.stateChanged <- struct{}{}:
	default:
	}
}

// Leave shuts the engine down gracefully: it announces that the engine is leaving, waits for running requests and stops.
func (e *Engine) Leave(ctx context.Context) {
	e.mu.Lock()
	e.setState(engine.Leaving)
	e.mu.Unlock()
	e.waitIdle(ctx)
	e.mu.Lock()
	srv, stop := e.server, e.stop
	e.mu.Unlock()
	if srv != nil {
		srv.Shutdown(ctx)
	}
	stop()
}

// waitIdle waits until no request is being handled or ctx ends.
func (e *Engine) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := e.activeRequests
		e.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// updateLoadLoop updates the reported load every Options.Lag.
func (e *Engine) updateLoadLoop(ctx context.Context) {
	pause.Every(ctx, max(e.opt.Lag, pollInterval), func() {
		e.mu.Lock()
		e.reportedLoad = e.currentLoad()
		e.mu.Unlock()
	})
}

// currentLoad returns the load of the queued and running sequences. The caller holds e.mu.
func (e *Engine) currentLoad() engine.Load {
	l := engine.Load{Running: int64(len(e.running)), Queued: int64(len(e.queue)), KVBlocks: e.usedKVBlocks}
	for _, s := range e.queue {
		l.PendingPrefill += int64(s.prefillLeft)
		l.KVBlocks += s.kvBlocks
	}
	for _, s := range e.running {
		l.PendingPrefill += int64(s.prefillLeft)
	}
	return l
}

// submit queues s. It returns false if the queue is full, the engine has crashed or s needs more than its KV memory.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || len(e.queue) >= maxQueued || s.kvBlocks > e.announced.KVBlocks {
		return false
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.stats.Requests++
	e.queue = append(e.queue, s)
	select {
	case e.workQueued <- struct{}{}:
	default:
	}
	return true
}

// schedule runs the engine's steps until ctx ends: continuous batching with chunked prefill.
func (e *Engine) schedule(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.admit()
		d := e.planStep()
		idle := len(e.running) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.workQueued:
			}
			continue
		}
		time.Sleep(d)
		e.mu.Lock()
		e.emit()
		e.mu.Unlock()
	}
}

// admit moves queued sequences into the batch while KV memory is free, by priority and then by arrival.
func (e *Engine) admit() {
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return e.removeCancelled(s) })
	slices.SortFunc(e.queue, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	for len(e.queue) > 0 && len(e.running) < maxRunning {
		s := e.queue[0]
		if e.usedKVBlocks+s.kvBlocks > e.announced.KVBlocks {
			return
		}
		e.queue = e.queue[1:]
		e.usedKVBlocks += s.kvBlocks
		hit := e.cache.lookupAndInsert(s.prompt)
		e.stats.Cached += int64(hit)
		s.prefillLeft = max(0, s.prefillLeft-hit)
		e.running = append(e.running, s)
	}
}

// removeCancelled reports whether the caller of s has disconnected; if so, it counts s as cancelled and closes its output.
func (e *Engine) removeCancelled(s *sequence) bool {
	select {
	case <-s.callerGone:
		e.stats.Cancelled++
		close(s.out)
		return true
	default:
		return false
	}
}

// planStep allocates the prefill budget of one step to the running sequences and returns the duration of the step.
func (e *Engine) planStep() time.Duration {
	t := e.opt.Timing
	d := t.Step
	budget := t.ChunkTokens
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			d += t.DecodePerSequence
			continue
		}
		n := min(s.prefillLeft, budget)
		budget -= n
		s.prefillLeft -= n
		e.stats.Prefilled += int64(n)
		d += time.Duration(n) * t.PrefillPerToken
		if s.prefillLeft == 0 {
			s.prefillLeft = -1 // emit generates its first token
		}
	}
	return d
}

// emit generates one token for each sequence past its prefill, and ends sequences that are complete or cancelled.
func (e *Engine) emit() {
	var kept []*sequence
	for _, s := range e.running {
		if e.removeCancelled(s) {
			e.usedKVBlocks -= s.kvBlocks
			continue
		}
		if s.prefillLeft > 0 {
			kept = append(kept, s)
			continue
		}
		s.prefillLeft = 0
		s.generated++
		e.stats.Generated++
		select {
		case s.out <- s.generated:
		default: // the output is full because nobody reads it
		}
		if s.generated < s.maxTokens {
			kept = append(kept, s)
			continue
		}
		e.usedKVBlocks -= s.kvBlocks
		close(s.out)
	}
	e.running = kept
}

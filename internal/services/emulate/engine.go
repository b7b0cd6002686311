// Package emulate holds stand-ins for what wagtaillift meets: model engines, applications, the platform and the weight
// store. They follow docs/PROTOCOLS.md and are deterministic apart from scheduling: all randomness comes from a seed.
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

// Timing is how long an engine's steps take.
type Timing struct {
	Step    time.Duration // of one step without work
	Prefill time.Duration // per prompt token
	Decode  time.Duration // per running sequence
	Chunk   int           // prompt tokens in one step
	Change  time.Duration // of a role change
}

// DefaultTiming returns a mid-sized engine.
func DefaultTiming() Timing {
	return Timing{
		Step: 8 * time.Millisecond, Prefill: 40 * time.Microsecond, Decode: 150 * time.Microsecond, Chunk: 512,
		Change: 2 * time.Second,
	}
}

// Slowed returns t with factor times the time for each token and correspondingly smaller chunks.
func (t Timing) Slowed(factor float64) Timing {
	if factor <= 0 {
		return t
	}
	t.Prefill = time.Duration(float64(t.Prefill) * factor)
	t.Decode = time.Duration(float64(t.Decode) * factor)
	t.Chunk = max(1, int(float64(t.Chunk)/factor))
	return t
}

// Faults are the faults an engine shows, as probabilities per request, and the prompt text that crashes it.
type Faults struct {
	Cut   float64 `json:"cut"`   // the stream ends midway without its end mark
	Late  float64 `json:"late"`  // the answer starts late
	Cross float64 `json:"cross"` // the answer names another request
	Reset float64 `json:"reset"` // the connection is reset before the answer
	Crash string  `json:"crash"` // prompts that contain this crash the engine
}

// Options describe an engine.
type Options struct {
	Announcement engine.Announcement
	Announce     []string // base URLs of the fleet's upstream listeners
	Key          string   // upstream credential
	Timing       Timing
	Faults       Faults
	Seed         uint64
	Lag          time.Duration // of load reports
	Restart      time.Duration // after a crash; zero stays down
	Weights      *Weights      // nil loads at once
}

const (
	maxRunning    = 64 // sequences in one batch
	maxQueued     = 512
	cacheParts    = 2                      // the prefix cache takes 1/cacheParts of the memory
	lateBy        = 300 * time.Millisecond // delay of a late answer
	drainPoll     = 10 * time.Millisecond
	restartLength = 1 << 20
)

// sequence is one request inside an engine.
type sequence struct {
	prompt   string
	prefill  int // prompt tokens still to process
	at       int // tokens generated, those delivered before a resume included
	most     int
	pieces   int64
	priority int
	order    uint64
	out      chan int // token numbers
	gone     <-chan struct{}
}

// Engine is one emulated engine.
type Engine struct {
	opt     Options
	mu      sync.Mutex
	rnd     *rand.Rand
	queue   []*sequence
	run     []*sequence
	used    int64 // pieces
	serial  uint64
	cache   lru
	faults  Faults
	ann     engine.Announcement
	fence   id.Fence
	order   id.Index
	refuse  bool // takes no requests: changing, draining or crashed
	active  int  // requests inside handlers
	wake    chan struct{}
	changed chan struct{} // the state has changed
	load    engine.Load   // lagged
	seen    map[string]int
	events  events
	stats   Stats
	server  *http.Server
	stop    context.CancelFunc
	ctx     context.Context
}

// Stats are what an engine has done.
type Stats struct {
	Requests  int64 `json:"requests"`
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	Changes   int64 `json:"changes"`
	Conflicts int64 `json:"conflicts"` // orders that came while another was carried out
}

// NewEngine returns an engine. Start runs it.
func NewEngine(opt Options) *Engine {
	if opt.Timing == (Timing{}) {
		opt.Timing = DefaultTiming()
	}
	a := opt.Announcement
	if a.Role == "" {
		a.Role = engine.Both
	}
	if a.Pieces == 0 {
		a.Pieces = 4096
	}
	a.State = engine.Ready
	e := &Engine{
		opt: opt, ann: a, faults: opt.Faults, rnd: rand.New(rand.NewPCG(opt.Seed, hash.String(a.Name))),
		seen: map[string]int{}, cache: lru{most: int(a.Pieces) / cacheParts},
	}
	e.changed = make(chan struct{}, 1)
	e.events.rnd = rand.New(rand.NewPCG(opt.Seed, 1))
	e.cache.note = func(block uint64, kept bool) { e.events.add(time.Now(), block, kept) }
	return e
}

// Start listens on the announced address, or a free port where it ends in :0, and announces the engine.
func (e *Engine) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", e.ann.Address)
	if err != nil {
		return errors.Annotatef(err, "listen for engine %s", e.ann.Name)
	}
	inner, stop := context.WithCancel(ctx)
	e.mu.Lock()
	e.ctx, e.stop = inner, stop
	e.wake = make(chan struct{}, 1)
	e.ann.Address = l.Addr().String()
	e.ann.Incarnation = uint64(time.Now().UnixNano())
	e.ann.State, e.refuse = engine.Ready, false
	e.queue, e.run, e.used = nil, nil, 0
	e.cache.clear()
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Minute}
	srv := e.server
	e.mu.Unlock()
	go srv.Serve(l)
	go e.schedule(inner)
	go e.reportLoop(inner)
	go announceLoop(inner, e.opt.Announce, e.opt.Key, e.changed, e.announcement)
	return nil
}

// Address returns where the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ann.Address
}

// Stats returns what the engine has done.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Seen returns how often each request id reached the engine.
func (e *Engine) Seen() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := make(map[string]int, len(e.seen))
	for k, v := range e.seen {
		n[k] = v
	}
	return n
}

// SetFaults changes the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) announcement() engine.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.ann
	l := e.load
	a.Load = &l
	return a
}

// Crash ends the engine as a killed process would: its connections are reset. It restarts where Options say so.
func (e *Engine) Crash(parent context.Context) {
	e.mu.Lock()
	if e.refuse && e.server == nil {
		e.mu.Unlock()
		return
	}
	srv := e.server
	e.server, e.refuse = nil, true
	e.stats.Crashes++
	e.stop()
	e.mu.Unlock()
	srv.Close()
	klog.V(1).InfoS("Engine crashed", "engine", e.ann.Name)
	if e.opt.Restart == 0 {
		return
	}
	time.AfterFunc(e.opt.Restart, func() {
		if parent.Err() == nil {
			e.Start(parent)
		}
	})
}

// setState changes the announced state and announces it at once. The caller holds the lock.
func (e *Engine) setState(s engine.State) {
	e.ann.State = s
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Leave drains the engine: it announces that it leaves, finishes what runs and stops.
func (e *Engine) Leave(ctx context.Context) {
	e.mu.Lock()
	e.setState(engine.Leaving)
	e.mu.Unlock()
	e.idle(ctx)
	e.mu.Lock()
	srv, stop := e.server, e.stop
	e.mu.Unlock()
	if srv != nil {
		srv.Shutdown(ctx)
	}
	stop()
}

// idle waits until no request runs.
func (e *Engine) idle(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := e.active
		e.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (e *Engine) reportLoop(ctx context.Context) {
	pause.Each(ctx, max(e.opt.Lag, drainPoll), func() {
		e.mu.Lock()
		e.load = e.loadNow()
		e.mu.Unlock()
	})
}

func (e *Engine) loadNow() engine.Load {
	l := engine.Load{Running: int64(len(e.run)), Queued: int64(len(e.queue)), Pieces: e.used}
	for _, s := range e.queue {
		l.Prefill += int64(s.prefill)
		l.Pieces += s.pieces
	}
	for _, s := range e.run {
		l.Prefill += int64(s.prefill)
	}
	return l
}

// submit queues s; it returns false where the queue is full or the engine takes no requests.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse || len(e.queue) >= maxQueued || s.pieces > e.ann.Pieces {
		return false
	}
	e.serial++
	s.order = e.serial
	e.stats.Requests++
	e.queue = append(e.queue, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// schedule runs steps: continuous batching with prefill in chunks.
func (e *Engine) schedule(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.admit()
		d := e.step()
		idle := len(e.run) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(d)
		e.mu.Lock()
		e.emit()
		e.mu.Unlock()
	}
}

// admit moves queued sequences into the batch while there is memory, the most urgent first.
func (e *Engine) admit() {
	e.queue = slices.DeleteFunc(e.queue, func(s *sequence) bool { return e.cancelled(s) })
	slices.SortFunc(e.queue, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	for len(e.queue) > 0 && len(e.run) < maxRunning {
		s := e.queue[0]
		if e.used+s.pieces > e.ann.Pieces {
			return
		}
		e.queue = e.queue[1:]
		e.used += s.pieces
		hit := e.cache.use(s.prompt)
		e.stats.Cached += int64(hit)
		s.prefill = max(0, s.prefill-hit)
		e.run = append(e.run, s)
	}
}

func (e *Engine) cancelled(s *sequence) bool {
	select {
	case <-s.gone:
		e.stats.Cancelled++
		close(s.out)
		return true
	default:
		return false
	}
}

// step plans one step and returns how long it takes.
func (e *Engine) step() time.Duration {
	t := e.opt.Timing
	d := t.Step
	budget := t.Chunk
	for _, s := range e.run {
		if s.prefill == 0 {
			d += t.Decode
			continue
		}
		n := min(s.prefill, budget)
		budget -= n
		s.prefill -= n
		e.stats.Prefilled += int64(n)
		d += time.Duration(n) * t.Prefill
		if s.prefill == 0 {
			s.prefill = -1 // its first token comes with the next step
		}
	}
	return d
}

// emit hands out one token of every sequence past its prefill and ends those that are complete or cancelled.
func (e *Engine) emit() {
	var kept []*sequence
	for _, s := range e.run {
		if e.cancelled(s) {
			e.used -= s.pieces
			continue
		}
		if s.prefill > 0 {
			kept = append(kept, s)
			continue
		}
		s.prefill = 0
		s.at++
		e.stats.Generated++
		select {
		case s.out <- s.at:
		default: // the reader has gone
		}
		if s.at < s.most {
			kept = append(kept, s)
			continue
		}
		e.used -= s.pieces
		close(s.out)
	}
	e.run = kept
}

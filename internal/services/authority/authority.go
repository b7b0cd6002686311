package authority

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/modules/quorum"
	"wagtaillift/internal/modules/rcu"
	"wagtaillift/internal/modules/replica"
	"wagtaillift/internal/modules/wal"
	"wagtaillift/internal/services/limit"
)

const (
	reportGap    = 100 * time.Millisecond // least time between two reports
	dutyEvery    = 200 * time.Millisecond
	proposeWait  = 5 * time.Second
	retryPause   = 100 * time.Millisecond
	maxHops      = 4
	outboxLength = 1024
)

// ErrNoQuorum says that no leader with a quorum could be reached, so nothing was changed.
var ErrNoQuorum = errors.New("no quorum can be reached")

// Options describe this VM.
type Options struct {
	VM          id.VM
	Zone        id.Zone
	Incarnation id.Incarnation
	Peer        string // address that other VMs call
	Operator    string // address of the administration API
	Folder      string // data folder; empty for a VM that only follows
	Seeds       []string
	Voters      int  // most voters
	First       bool // the whole fleet starts for the first time: the seeds found its log
	Tolerance   limit.Tolerance
	Timing      Timing // zero values stand for DefaultTiming
	Transport   *peer.Transport
}

// Authority is this VM's part in the shared state.
type Authority struct {
	opt     Options
	feed    *feed
	replica *replica.Replica[state.Result]
	node    quorum.Node

	timing    Timing
	leaseEnd  atomic.Int64 // clock.Boot, nanoseconds
	wall      fleetClock
	leftAt    atomic.Bool
	noted     atomic.Uint64 // revision at the last early report
	withdrawn rcu.Value[map[id.Key]bool]
	demand    func(now time.Duration) []Demand
	readings  func() []usage.Reading
	onShares  func([]Share)
	onCounted func([]usage.Reading)
	seeds     rcu.Value[[]string]
	report    chan struct{}
	named     atomic.Uint64 // highest index that the leader has named in a grant
	undrawn   atomic.Int64  // when a draw reached no leader, by clock.Boot; zero once one has
	told      time.Duration // when usage was reported last; used by the report loop alone

	addresses sync.Map // quorum.Node to string
	kept      rcu.Value[map[id.VM]string]
	outboxes  sync.Map // string to chan quorum.Message
	uplink    atomic.Pointer[string]
	leader    *leader
	relay     relay
	ctx       context.Context // ends with Run; calls of other VMs may come before it
	cancel    context.CancelFunc
	stopped   chan struct{}
}

// New opens this VM's part in the shared state. A folder without a log makes the VM join as a learner.
func New(opt Options) (*Authority, error) {
	a := &Authority{
		opt: opt, feed: newFeed(), report: make(chan struct{}, 1), stopped: make(chan struct{}),
		demand:   func(time.Duration) []Demand { return nil },
		readings: func() []usage.Reading { return nil },
		onShares: func([]Share) {}, onCounted: func([]usage.Reading) {},
		timing: opt.Timing.filled(),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.seeds.Store(opt.Seeds)
	a.wall.start(time.Now(), clock.Boot())
	a.leader = newLeader(a)
	if opt.Folder != "" {
		if err := a.openReplica(); err != nil {
			return nil, err
		}
	}
	if opt.Transport != nil {
		a.register(opt.Transport)
	}
	return a, nil
}

func (a *Authority) openReplica() error {
	disk, err := identity(a.opt.Folder)
	if err != nil {
		return err
	}
	log, s, err := wal.Open(filepath.Join(a.opt.Folder, "log"))
	if err != nil {
		return errors.Annotate(err, "open replicated log")
	}
	a.node = nodeName(a.opt.VM, disk)
	if err := a.noteFirst(); err != nil {
		return err
	}
	a.loadAddresses()
	a.replica, err = replica.New(replica.Options[state.Result]{
		Self: a.node, Disk: log, State: s, Machine: a.feed, Send: a.sendLog, Drift: lease.DriftBound,
		Notify: a.noteApplied, Seed: uint64(a.opt.Incarnation), Election: a.timing.Election,
	})
	return err
}

// noteApplied reports early when the configuration has changed, so that a change is known to be in force soon.
func (a *Authority) noteApplied(quorum.Index) {
	rev := uint64(a.Config().Revision)
	if a.noted.Swap(rev) != rev {
		a.ReportSoon()
	}
}

// OnDemand sets the function that reports this VM's demand of customers' rates. It is set before Run.
func (a *Authority) OnDemand(f func(now time.Duration) []Demand) { a.demand = f }

// OnUsage sets the function that returns the usage readings to report. It is set before Run.
func (a *Authority) OnUsage(f func() []usage.Reading) { a.readings = f }

// OnCounted sets the function that learns which usage readings are committed. It is set before Run.
func (a *Authority) OnCounted(f func([]usage.Reading)) { a.onCounted = f }

// OnShares sets the function that applies this VM's shares. It is set before Run.
func (a *Authority) OnShares(f func([]Share)) { a.onShares = f }

// SetSeeds replaces the addresses where this VM looks for the fleet when it knows no member.
func (a *Authority) SetSeeds(list []string) { a.seeds.Store(list) }

// State returns the state machine of this VM.
func (a *Authority) State() *state.Machine { return a.feed.Machine }

// Config returns the applied configuration. It takes no lock.
func (a *Authority) Config() *state.Config { return a.feed.Config() }

// VM returns the name of this VM.
func (a *Authority) VM() id.VM { return a.opt.VM }

// Zone returns the data centre of this VM.
func (a *Authority) Zone() id.Zone { return a.opt.Zone }

// Incarnation returns the incarnation of this process.
func (a *Authority) Incarnation() id.Incarnation { return a.opt.Incarnation }

// LeaseEnd returns when the VM lease ends, by clock.Boot.
func (a *Authority) LeaseEnd() time.Duration { return time.Duration(a.leaseEnd.Load()) }

// Leased reports whether this VM may serve keyed calls at now, or, with autonomy, up to that long after.
func (a *Authority) Leased(now, autonomy time.Duration) bool {
	end := a.LeaseEnd()
	return end > 0 && now < end+autonomy
}

// Withdrawn reports whether n was withdrawn by a flooded message that may be ahead of the log.
func (a *Authority) Withdrawn(n id.Key) bool { return a.withdrawn.Load()[n] }

// Status returns what this VM's replica knows of the log; ok is false on a VM without one.
func (a *Authority) Status() (s replica.Status, ok bool) {
	if a.replica == nil {
		return s, false
	}
	return a.replica.Status(), true
}

// Leading reports whether this VM leads with a valid lease at now.
func (a *Authority) Leading(now time.Duration) bool {
	s, ok := a.Status()
	return ok && s.Leading && now < s.LeaseEnd
}

// Run follows the log, reports and does duties until ctx ends.
func (a *Authority) Run(ctx context.Context) error {
	defer a.cancel()
	var wg sync.WaitGroup
	run := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	failed := make(chan error, 1)
	if a.replica != nil {
		run(func(ctx context.Context) {
			if err := a.replica.Run(ctx); err != nil {
				failed <- err
			}
		})
		run(a.leader.run)
		run(a.enroll)
	} else {
		run(a.follow)
	}
	run(a.reportLoop)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	wg.Wait()
	close(a.stopped)
	return err
}

// Join makes this VM a member. It is repeated until it succeeds.
func (a *Authority) join(ctx context.Context) error {
	m := state.Member{
		VM: a.opt.VM, Zone: a.opt.Zone, Peer: a.opt.Peer, Operator: a.opt.Operator,
		Incarnation: a.opt.Incarnation, Control: a.replica != nil,
	}
	r, err := a.Propose(ctx, state.Command{Join: &m})
	if err != nil {
		return err
	}
	if r.Code != state.OK {
		return errors.Errorf("join: %s", r.Message)
	}
	klog.InfoS("VM joined", "vm", a.opt.VM, "incarnation", a.opt.Incarnation)
	return nil
}

// Leave hands on what this VM holds: its leases in the log, its leadership and its VM lease.
func (a *Authority) Leave(ctx context.Context) {
	a.leftAt.Store(true)
	for _, l := range a.State().Leases() {
		if l.Holder == a.opt.VM && l.Incarnation == a.opt.Incarnation {
			a.Propose(ctx, state.Command{Release: &state.Release{Name: l.Name, Fence: l.Fence}})
		}
	}
	a.leaseEnd.Store(0)
	a.Propose(ctx, state.Command{Leave: &state.Leave{VM: a.opt.VM, Incarnation: a.opt.Incarnation}})
	if s, ok := a.Status(); ok && s.Leading {
		a.replica.Transfer(ctx)
		a.awaitSuccessor(ctx)
	}
}

// awaitSuccessor waits until another node leads.
func (a *Authority) awaitSuccessor(ctx context.Context) {
	for ctx.Err() == nil {
		if s := a.replica.Status(); !s.Leading && s.Leader != "" || len(s.Members.Voters) == 1 {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// Propose commits c and returns what applying it answered. ErrNoQuorum means that it was not proposed;
// replica.ErrLost that its outcome is not known.
func (a *Authority) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeWait)
	defer cancel()
	for {
		r, err := a.propose(ctx, proposal{Data: data})
		if !errors.Is(err, ErrNoQuorum) || ctx.Err() != nil {
			return r, err
		}
		pause.For(ctx, retryPause)
	}
}

// leaderPoll is how often AwaitLeader looks.
const leaderPoll = 20 * time.Millisecond

// AwaitLeader waits until this VM leads or knows a way to the leader, and reports whether it does before wait is over.
func (a *Authority) AwaitLeader(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if a.Leading(clock.Boot()) {
			return true
		}
		if _, ok := a.upstream(); ok {
			return true
		}
		if !pause.For(ctx, leaderPoll) {
			return false
		}
	}
}

// propose commits here, where this VM leads, else passes p on towards the leader.
func (a *Authority) propose(ctx context.Context, p proposal) (state.Result, error) {
	if a.replica != nil && a.replica.Status().Leading {
		r, err := a.replica.Propose(ctx, p.Data)
		if errors.Is(err, quorum.ErrNotLeader) || errors.Is(err, quorum.ErrBusy) || errors.Is(err, replica.ErrStopped) {
			return r, ErrNoQuorum
		}
		return r, err
	}
	to, ok := a.upstream()
	if !ok || p.Hops >= maxHops {
		return state.Result{}, ErrNoQuorum
	}
	p.Hops++
	return a.forward(ctx, to, p)
}

// Reports returns the sealed usage windows, from a control VM where this VM only follows.
func (a *Authority) Reports(ctx context.Context) ([]usage.Report, error) {
	if a.replica != nil {
		return a.State().Reports(), nil
	}
	to, ok := a.upstream()
	if !ok {
		return nil, ErrNoQuorum
	}
	return peer.Call[[]usage.Report](ctx, a.opt.Transport, to, methodReports, empty{})
}

// Control reports whether this VM has a part of the replicated log.
func (a *Authority) Control() bool { return a.replica != nil }

// Fresh waits until everything committed before the call is applied on this VM.
func (a *Authority) Fresh(ctx context.Context) error {
	i, err := a.fresh(ctx, freshRequest{})
	if err != nil {
		return err
	}
	return a.await(ctx, i)
}

// await waits until index i is applied here.
func (a *Authority) await(ctx context.Context, i id.Index) error {
	for {
		changed := a.feed.wait()
		if a.feed.Index() >= i {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "wait for index %d", i)
		}
	}
}

func (a *Authority) fresh(ctx context.Context, q freshRequest) (id.Index, error) {
	if a.replica != nil && a.replica.Status().Leading {
		_, err := a.replica.Read(ctx)
		return a.feed.Last(), err
	}
	to, ok := a.upstream()
	if !ok || q.Hops >= maxHops {
		return 0, ErrNoQuorum
	}
	q.Hops++
	r, err := peer.Call[freshAnswer](ctx, a.opt.Transport, to, methodFresh, q)
	return r.Index, err
}

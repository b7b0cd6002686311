package authority

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

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
	minReportInterval = 100 * time.Millisecond // shortest interval between two reports
	dutyInterval      = 200 * time.Millisecond // time between two rounds of the leader's duties
	proposeTimeout    = 5 * time.Second
	retryInterval     = 100 * time.Millisecond
	maxRetryInterval  = 800 * time.Millisecond // between repeats of a proposal
	maxHops           = 4                      // how often a call may be forwarded on its way to the leader
	outboxLength      = 1024                   // log messages queued for one address
)

// ErrNoQuorum means that no leader with a quorum could be reached and nothing was changed.
var ErrNoQuorum = errors.New("no quorum can be reached")

// Options configures an Agent.
type Options struct {
	VM          id.VM
	Zone        id.Zone
	Incarnation id.Incarnation
	Peer        string    // address for peer calls from other VMs
	Operator    string    // address of the operator API
	Folder      string    // data folder; empty on a VM that has no replica of the log
	Files       wal.Files // file system of Folder; nil means that of the operating system
	Seeds       []string  // peer addresses used to find the fleet
	Voters      int       // maximum number of voters
	FirstStart  bool      // first start of the whole fleet: the seeds bootstrap its log
	Tolerance   limit.Tolerance
	Timing      Timing // zero fields default to those of DefaultTiming
	Transport   *peer.Transport
}

// Agent gives this VM access to the replicated state of the fleet. On a control VM it runs a replica of the log. On any
// other VM it is a follower, which takes the applied entries from the feed of another VM, its relay.
type Agent struct {
	opt     Options
	feed    *feed
	replica *replica.Replica[state.Result]
	node    quorum.Node

	timing           Timing
	leaseEnd         atomic.Int64 // by clock.SinceBoot, in nanoseconds
	fleetTime        fleetClock
	left             atomic.Bool   // set by Leave; ends reports and renewals
	reportedRevision atomic.Uint64 // revision that the last early report was triggered for
	withdrawn        rcu.Value[map[id.Key]bool]
	demand           func(now time.Duration) []Demand
	usageReadings    func() []usage.Reading
	onShares         func([]Share)
	onUsageCommitted func([]usage.Reading)
	seeds            rcu.Value[[]string]
	reportNow        chan struct{}
	leaderIndex      atomic.Uint64 // highest index in any grant from the leader
	drawFailedAt     atomic.Int64  // by clock.SinceBoot, when a draw last failed to reach a leader; zero once one reaches it
	usageReportedAt  time.Duration // when usage was last reported; used only by the report loop
	relaysTried      int           // by reports that the relay could not pass on; used only by the report loop

	learnedAddresses sync.Map // quorum.Node to address
	savedAddresses   rcu.Value[map[id.VM]string]
	outboxes         sync.Map               // address to chan quorum.Message
	relayAddress     atomic.Pointer[string] // next hop for calls to the leader while its address is unknown
	leader           *leader
	voters           *voters
	reportBatcher    reportBatcher
	ctx              context.Context // cancelled when Run returns; peer calls may arrive before Run starts
	cancel           context.CancelFunc
	stopped          chan struct{}
}

// New returns an Agent. With a data folder it opens the replica of the log in it; a folder without a log makes the
// VM join the log as a learner.
func New(opt Options) (*Agent, error) {
	a := &Agent{
		opt: opt, feed: newFeed(), reportNow: make(chan struct{}, 1), stopped: make(chan struct{}),
		demand:        func(time.Duration) []Demand { return nil },
		usageReadings: func() []usage.Reading { return nil },
		onShares:      func([]Share) {}, onUsageCommitted: func([]usage.Reading) {},
		timing: opt.Timing.withDefaults(),
	}
	if a.opt.Files == nil {
		a.opt.Files = wal.OS
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.seeds.Store(opt.Seeds)
	a.fleetTime.start(time.Now(), clock.SinceBoot())
	a.leader, a.voters = newLeader(a), newVoters(a)
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

// reportNewRevision sends an early report after a configuration change, so that the leader soon learns that this VM has
// applied it.
func (a *Agent) reportNewRevision(quorum.Index) {
	revision := uint64(a.Config().Revision)
	if a.reportedRevision.Swap(revision) != revision {
		a.ReportSoon()
	}
}

// OnDemand sets the function that returns this VM's demand on the rates of customers. It must be called before Run.
func (a *Agent) OnDemand(f func(now time.Duration) []Demand) { a.demand = f }

// OnUsage sets the function that returns the usage readings to report. It must be called before Run.
func (a *Agent) OnUsage(f func() []usage.Reading) { a.usageReadings = f }

// OnUsageCommitted sets the function that receives the committed usage readings. It must be called before Run.
func (a *Agent) OnUsageCommitted(f func([]usage.Reading)) { a.onUsageCommitted = f }

// OnShares sets the function that applies this VM's shares of customers' limits. It must be called before Run.
func (a *Agent) OnShares(f func([]Share)) { a.onShares = f }

// SetSeeds replaces the seed addresses, which the VM tries after the relays and control VMs of the member list.
func (a *Agent) SetSeeds(list []string) { a.seeds.Store(list) }

// State returns this VM's copy of the state machine.
func (a *Agent) State() *state.Machine { return a.feed.Machine }

// Config returns the applied configuration. It takes no lock.
func (a *Agent) Config() *state.Config { return a.feed.Config() }

// VM returns the name of this VM.
func (a *Agent) VM() id.VM { return a.opt.VM }

// Zone returns the data centre of this VM.
func (a *Agent) Zone() id.Zone { return a.opt.Zone }

// Incarnation returns the incarnation of this process.
func (a *Agent) Incarnation() id.Incarnation { return a.opt.Incarnation }

// LeaseEnd returns the end of the VM lease by clock.SinceBoot; zero means that no lease is held.
func (a *Agent) LeaseEnd() time.Duration { return time.Duration(a.leaseEnd.Load()) }

// Leased reports whether this VM may serve requests with an API key at now: until its lease ends, and for the duration
// autonomy after that.
func (a *Agent) Leased(now, autonomy time.Duration) bool {
	end := a.LeaseEnd()
	return end > 0 && now < end+autonomy
}

// Withdrawn reports whether a peer message has withdrawn key k. The message may arrive before the log entry is applied.
func (a *Agent) Withdrawn(k id.Key) bool { return a.withdrawn.Load()[k] }

// Status returns the status of this VM's replica of the log; ok is false on a VM without one.
func (a *Agent) Status() (s replica.Status, ok bool) {
	if a.replica == nil {
		return s, false
	}
	return a.replica.Status(), true
}

// Leading reports whether this VM is the leader and its leader lease is valid at now.
func (a *Agent) Leading(now time.Duration) bool {
	s, ok := a.Status()
	return ok && s.Leading && now < s.LeaseEnd
}

// Run replicates or follows the log, sends reports and performs the leader's duties until ctx ends or the replica fails.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancel()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
		run(a.voters.run)
		run(a.enrollLoop)
		run((&leaderWatch{a: a}).run)
	} else {
		run(a.follow)
	}
	run(a.reportLoop)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		cancel()
	}
	wg.Wait()
	close(a.stopped)
	return err
}

// join adds this VM to the members. Callers repeat it until it succeeds.
func (a *Agent) join(ctx context.Context) error {
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

// Leave releases this VM's leases in the log and its VM lease, and removes it from the members, for which it takes commit at most; it reports
// whether that was enough. A control VM then transfers leadership and hands over its vote, until ctx ends: without that, the end of its process
// and one more loss could leave the log without a majority for good.
func (a *Agent) Leave(ctx context.Context, commit time.Duration) bool {
	a.left.Store(true)
	call, cancel := context.WithTimeout(ctx, commit)
	defer cancel()
	for _, l := range a.State().Leases() {
		if l.Holder == a.opt.VM && l.Incarnation == a.opt.Incarnation {
			a.Propose(call, state.Command{Release: &state.Release{Name: l.Name, Fence: l.Fence}})
		}
	}
	a.leaseEnd.Store(0)
	a.Propose(call, state.Command{Leave: &state.Leave{VM: a.opt.VM, Incarnation: a.opt.Incarnation}})
	inTime := call.Err() == nil
	if a.replica != nil {
		a.leaveLog(ctx)
	}
	return inTime
}

// Propose commits c and returns the result of applying it. ErrNoQuorum means that c was not proposed,
// replica.ErrOutcomeUnknown that its outcome is unknown.
func (a *Agent) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for wait := retryInterval; ; wait = min(2*wait, maxRetryInterval) {
		r, err := a.propose(ctx, proposal{Data: data})
		if !errors.Is(err, ErrNoQuorum) || ctx.Err() != nil {
			return r, err
		}
		pause.For(ctx, wait)
	}
}

// leaderPollInterval is the time between two checks of AwaitLeader.
const leaderPollInterval = 20 * time.Millisecond

// AwaitLeader waits until this VM is the leader or has an address to forward proposals to. It returns false if that
// takes longer than wait.
func (a *Agent) AwaitLeader(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if a.Leading(clock.SinceBoot()) {
			return true
		}
		if _, ok := a.nextHop(); ok {
			return true
		}
		if !pause.For(ctx, leaderPollInterval) {
			return false
		}
	}
}

// propose commits p if this VM is the leader and forwards it towards the leader otherwise.
func (a *Agent) propose(ctx context.Context, p proposal) (state.Result, error) {
	if a.replica != nil && a.replica.Status().Leading {
		r, err := a.replica.Propose(ctx, p.Data)
		if errors.Is(err, quorum.ErrNotLeader) || errors.Is(err, quorum.ErrBusy) || errors.Is(err, replica.ErrStopped) {
			return r, ErrNoQuorum
		}
		return r, err
	}
	addr, ok := a.nextHop()
	if !ok || p.Hops >= maxHops {
		return state.Result{}, ErrNoQuorum
	}
	p.Hops++
	return a.forwardProposal(ctx, addr, p)
}

// UsageReports returns the sealed usage windows. A VM without a replica requests them from a control VM.
func (a *Agent) UsageReports(ctx context.Context) ([]usage.Report, error) {
	if a.replica != nil {
		return a.State().UsageReports(), nil
	}
	addr, ok := a.nextHop()
	if !ok {
		return nil, ErrNoQuorum
	}
	return peer.Call[[]usage.Report](ctx, a.opt.Transport, addr, methodUsageReports, empty{})
}

// IsControlVM reports whether this VM is a control VM, which holds a replica of the log.
func (a *Agent) IsControlVM() bool { return a.replica != nil }

// ReadBarrier waits until this VM has applied everything that was committed before the call.
func (a *Agent) ReadBarrier(ctx context.Context) error {
	i, err := a.readIndex(ctx, readIndexRequest{})
	if err != nil {
		return err
	}
	return a.awaitIndex(ctx, i)
}

// awaitIndex waits until this VM has applied index i.
func (a *Agent) awaitIndex(ctx context.Context, i id.Index) error {
	for {
		changed := a.feed.nextChange()
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

// readIndex returns the index that a linearizable read must wait for. Only the leader knows it, so other VMs forward
// the request.
func (a *Agent) readIndex(ctx context.Context, q readIndexRequest) (id.Index, error) {
	if a.replica != nil && a.replica.Status().Leading {
		_, err := a.replica.Read(ctx)
		return a.feed.Last(), err
	}
	addr, ok := a.nextHop()
	if !ok || q.Hops >= maxHops {
		return 0, ErrNoQuorum
	}
	q.Hops++
	r, err := peer.Call[indexAnswer](ctx, a.opt.Transport, addr, methodReadIndex, q)
	return r.Index, err
}

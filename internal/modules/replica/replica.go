// Package replica runs one voter or learner of the replicated log: it drives a quorum core, persists the core's output,
// sends its messages and applies the committed entries to a state machine.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/quorum"
)

const (
	maxHeartbeatInterval = 250 * time.Millisecond // a quarter of the election timeout if that is shorter
	maxBatchBytes        = 128 << 10
	inboxSize            = 4096
	compactEntries       = 20000    // number of applied entries after which the log is compacted
	compactLogBytes      = 16 << 20 // size of the log file from which the log is compacted
	minTickInterval      = 10 * time.Millisecond
)

// StateMachine is the state machine that the log is applied to. R is the result of applying an entry.
type StateMachine[R any] interface {
	Apply(i quorum.Index, data []byte) R
	Publish() // makes the applied entries visible to readers
	Snapshot() (quorum.Index, []byte, error)
	Restore(data []byte) error
	Check(data []byte) error // whether Restore can read data
}

// Disk is the persistent storage of the log.
type Disk interface {
	Save(hardState *quorum.HardState, entries []quorum.Entry) error
	SaveSnapshot(s quorum.Snapshot, rest []quorum.Entry) error // rest are the entries after s
	Size() int64                                               // bytes of the log file
	Close() error
}

// ErrOutcomeUnknown means that a proposal may or may not have been committed.
var ErrOutcomeUnknown = errors.New("the outcome of the proposal is not known")

// ErrStopped means that the replica has stopped.
var ErrStopped = errors.New("the replica has stopped")

// Status is a replica's view of its group.
type Status struct {
	Self         quorum.Node
	Leader       quorum.Node
	Leading      bool
	Term         quorum.Term
	Commit       quorum.Index
	Members      quorum.Members
	LeaseEnd     time.Duration                   // by clock.SinceBoot; zero if this node has no leader's lease
	LeadingSince time.Duration                   // by clock.SinceBoot, when this leader first had a lease; zero on other nodes
	Peers        map[quorum.Node]quorum.Progress // of the other members, on a leader with a lease
	Answered     time.Duration                   // by clock.SinceBoot, send time of messages that a majority has answered, on a leader
	Role         quorum.Role
}

// Replica is a running member of the log.
type Replica[R any] struct {
	core          *quorum.Core
	options       quorum.Options
	empty         atomic.Bool
	disk          Disk
	machine       StateMachine[R]
	send          func(quorum.Message)
	maxClockDrift float64
	appliedIndex  quorum.Index
	notify        func(quorum.Index)

	inbox          chan func(now time.Duration)
	proposals      map[quorum.Index]pendingProposal[R]
	pendingReads   map[uint64]chan quorum.Index
	confirmedReads []quorum.ConfirmedRead
	lastToken      uint64 // token of the latest read
	leadingSince   time.Duration
	status         atomic.Pointer[Status]
	stopped        chan struct{}
	closeOnce      sync.Once
	maxDelay       atomic.Int64 // see TakeMaxDelay
	failure        error        // of the disk; ends Run
}

// pendingProposal is a proposal whose entry is not applied yet.
type pendingProposal[R any] struct {
	term quorum.Term
	ch   chan proposalResult[R]
}

// proposalResult is the outcome of a proposal.
type proposalResult[R any] struct {
	result R
	err    error
}

// Options configure a Replica.
type Options[R any] struct {
	Self            quorum.Node
	Disk            Disk
	State           quorum.State
	StateMachine    StateMachine[R]
	Send            func(quorum.Message) // must not block
	Notify          func(quorum.Index)   // called after entries are applied, with the last index; must not block
	ClockDrift      float64              // maximum relative clock error
	Seed            uint64
	ElectionTimeout time.Duration // minimum election timeout
}

// New returns a replica whose state machine is restored from the snapshot in opt.State. Run starts it.
func New[R any](opt Options[R]) (*Replica[R], error) {
	r := &Replica[R]{
		disk: opt.Disk, machine: opt.StateMachine, send: opt.Send, notify: opt.Notify, maxClockDrift: opt.ClockDrift,
		inbox:        make(chan func(time.Duration), inboxSize),
		proposals:    map[quorum.Index]pendingProposal[R]{},
		pendingReads: map[uint64]chan quorum.Index{},
		stopped:      make(chan struct{}),
	}
	if len(opt.State.Snapshot.Data) > 0 {
		if err := opt.StateMachine.Restore(opt.State.Snapshot.Data); err != nil {
			return nil, errors.Annotate(err, "restore snapshot")
		}
		opt.StateMachine.Publish()
	}
	r.appliedIndex = opt.State.Snapshot.Index
	r.options = quorum.Options{
		Self: opt.Self, ElectionTimeout: opt.ElectionTimeout, HeartbeatInterval: min(maxHeartbeatInterval, opt.ElectionTimeout/4),
		MaxBatchBytes: maxBatchBytes, Rand: rand.New(rand.NewPCG(opt.Seed, uint64(clock.SinceBoot()))),
	}
	r.core = quorum.New(clock.SinceBoot(), r.options, opt.State)
	r.empty.Store(r.core.LastIndex() == 0)
	r.publishStatus(clock.SinceBoot())
	return r, nil
}

// Run runs the replica until ctx ends or a disk operation fails. It closes the disk before it returns.
func (r *Replica[R]) Run(ctx context.Context) error {
	defer r.shutdown()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.inbox:
			f(clock.SinceBoot())
			r.drainInbox()
		case <-timer.C:
		}
		now := clock.SinceBoot()
		r.noteDelay(now - r.core.NextTick())
		r.core.Tick(now)
		if r.failure == nil {
			r.failure = r.processOutput()
		}
		if r.failure != nil {
			klog.ErrorS(r.failure, "Replica stopped after a disk error", "node", r.core.Self())
			return r.failure
		}
		r.publishStatus(clock.SinceBoot())
		timer.Reset(max(r.core.NextTick()-clock.SinceBoot(), minTickInterval))
	}
}

// noteDelay records how late the core's timers ran.
func (r *Replica[R]) noteDelay(d time.Duration) {
	if int64(d) > r.maxDelay.Load() {
		r.maxDelay.Store(int64(d))
	}
}

// TakeMaxDelay returns by how much the timers of the log were late at most since the last call. Beyond the election timeout the
// process gets too little processor time to take part in elections.
func (r *Replica[R]) TakeMaxDelay() time.Duration { return time.Duration(r.maxDelay.Swap(0)) }

// drainInbox handles the queued messages, so that one disk sync covers many of them.
func (r *Replica[R]) drainInbox() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f(clock.SinceBoot())
		default:
			return
		}
	}
}

// processOutput persists, sends and applies the core's output until there is none, then completes reads and compacts
// the log.
func (r *Replica[R]) processOutput() error {
	for {
		out := r.core.TakeOutput()
		if out.Empty() {
			break
		}
		if err := r.persist(out); err != nil {
			return err
		}
		r.core.MarkSynced(clock.SinceBoot())
		for _, m := range out.Messages {
			r.send(m)
		}
		r.applyCommitted()
	}
	r.completeReads()
	return r.compact()
}

// persist saves out to disk. It also restores the state machine from a snapshot that was installed.
func (r *Replica[R]) persist(out quorum.Output) error {
	if out.Snapshot != nil {
		rest := r.core.Entries(out.Snapshot.Index, r.core.LastIndex())
		if out.HardState != nil {
			if err := r.disk.Save(out.HardState, nil); err != nil {
				return err
			}
		}
		if err := r.disk.SaveSnapshot(*out.Snapshot, rest); err != nil {
			return err
		}
		if out.Snapshot.Index > r.appliedIndex {
			if err := r.machine.Restore(out.Snapshot.Data); err != nil {
				return errors.Annotate(err, "install snapshot")
			}
			r.machine.Publish()
			r.appliedIndex = out.Snapshot.Index
			r.notify(r.appliedIndex)
		}
		return nil
	}
	return r.disk.Save(out.HardState, out.NewEntries)
}

// applyCommitted applies the committed entries and returns their results to the proposers.
func (r *Replica[R]) applyCommitted() {
	list := r.core.Entries(r.appliedIndex, r.core.Commit())
	if len(list) == 0 {
		return
	}
	results := make([]R, len(list))
	for i, e := range list {
		results[i] = r.machine.Apply(e.Index, e.Data)
		r.appliedIndex = e.Index
	}
	r.machine.Publish()
	for i, e := range list {
		r.completeProposal(e, results[i])
	}
	r.notify(r.appliedIndex)
}

// completeProposal returns result to the proposer of e, or ErrOutcomeUnknown if the proposer's entry was replaced by e.
func (r *Replica[R]) completeProposal(e quorum.Entry, result R) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		p.ch <- proposalResult[R]{err: ErrOutcomeUnknown}
		return
	}
	p.ch <- proposalResult[R]{result: result}
}

// completeReads answers the confirmed reads whose index is applied. If this node is no longer leader, it fails the
// remaining reads and proposals.
func (r *Replica[R]) completeReads() {
	r.confirmedReads = append(r.confirmedReads, r.core.TakeConfirmedReads()...)
	var remaining []quorum.ConfirmedRead
	for _, read := range r.confirmedReads {
		if read.Index > r.appliedIndex {
			remaining = append(remaining, read)
			continue
		}
		if ch, ok := r.pendingReads[read.Token]; ok {
			ch <- read.Index
			delete(r.pendingReads, read.Token)
		}
	}
	r.confirmedReads = remaining
	if r.core.Role() == quorum.Leader {
		return
	}
	for token, ch := range r.pendingReads {
		close(ch)
		delete(r.pendingReads, token)
	}
	for i, p := range r.proposals { // another leader may commit or replace these entries
		p.ch <- proposalResult[R]{err: ErrOutcomeUnknown}
		delete(r.proposals, i)
	}
}

// compact replaces the applied entries by a snapshot of the state machine once the log is large enough.
func (r *Replica[R]) compact() error {
	first := r.core.FirstIndex()
	if r.appliedIndex < first+compactEntries && r.disk.Size() < compactLogBytes {
		return nil
	}
	if r.appliedIndex < first { // nothing was applied since the last snapshot
		return nil
	}
	i, data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	s := quorum.Snapshot{Index: i, Term: r.core.TermAt(i), Members: r.core.MembersAt(i), Data: data}
	if err := r.disk.SaveSnapshot(s, r.core.Entries(i, r.core.LastIndex())); err != nil {
		return err
	}
	r.core.Compact(s)
	return nil
}

// publishStatus updates the result of Status and Empty.
func (r *Replica[R]) publishStatus(now time.Duration) {
	s := r.statusAt(now)
	r.logChange(s)
	r.leadingSince = s.LeadingSince
	r.status.Store(s)
	r.empty.Store(r.core.LastIndex() == 0)
}

// statusAt returns the status at now.
func (r *Replica[R]) statusAt(now time.Duration) *Status {
	s := &Status{
		Self: r.core.Self(), Leader: r.core.Leader(), Leading: r.core.Role() == quorum.Leader, Answered: r.core.QuorumAck(now),
		Term: r.core.Term(), Commit: r.core.Commit(), Members: r.core.Members(), Role: r.core.Role(),
	}
	if !s.Leading {
		return s
	}
	s.LeadingSince = r.leadingSince
	end, valid := r.core.LeaseEnd(now, r.maxClockDrift)
	if !valid {
		return s
	}
	s.LeaseEnd = end
	if s.LeadingSince == 0 {
		s.LeadingSince = now
	}
	s.Peers = map[quorum.Node]quorum.Progress{}
	for _, list := range [][]quorum.Node{s.Members.Voters, s.Members.Learners} {
		for _, n := range list {
			if n != s.Self {
				s.Peers[n] = r.core.Progress(n)
			}
		}
	}
	return s
}

// logChange writes a line when the role of this node or the leader changes.
func (r *Replica[R]) logChange(s *Status) {
	if old := r.status.Load(); old == nil || old.Role != s.Role || old.Leader != s.Leader {
		klog.InfoS("Role in the log changed", "node", s.Self, "role", s.Role, "leader", s.Leader, "term", s.Term, "commit", s.Commit, "last", r.core.LastIndex())
	}
}

func (r *Replica[R]) shutdown() {
	r.closeOnce.Do(func() { close(r.stopped) })
	for _, p := range r.proposals {
		p.ch <- proposalResult[R]{err: ErrOutcomeUnknown}
	}
	if err := r.disk.Close(); err != nil {
		klog.ErrorS(err, "Failed to close the log", "node", r.core.Self())
	}
}

// Status returns the replica's view of its group. It takes no lock.
func (r *Replica[R]) Status() Status { return *r.status.Load() }

// enqueue queues f to run on the replica's goroutine.
func (r *Replica[R]) enqueue(ctx context.Context, f func(now time.Duration)) error {
	select {
	case r.inbox <- f:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Empty reports whether the log has no entry and no snapshot. It takes no lock.
func (r *Replica[R]) Empty() bool { return r.empty.Load() }

// Bootstrap initializes an empty log from s. It does nothing if the log is not empty.
func (r *Replica[R]) Bootstrap(ctx context.Context, s quorum.Snapshot) error {
	return r.call(ctx, func(now time.Duration) error {
		if r.core.LastIndex() > 0 {
			return nil
		}
		r.failure = r.restartFrom(now, s)
		return r.failure
	})
}

// call runs f on the replica's goroutine and returns its error.
func (r *Replica[R]) call(ctx context.Context, f func(now time.Duration) error) error {
	ch := make(chan error, 1)
	if err := r.enqueue(ctx, func(now time.Duration) { ch <- f(now) }); err != nil {
		return err
	}
	select {
	case err := <-ch:
		return err
	case <-r.stopped:
		return ErrStopped
	}
}

// restartFrom persists s and restarts the core from it in the current term.
func (r *Replica[R]) restartFrom(now time.Duration, s quorum.Snapshot) error {
	if err := r.processOutput(); err != nil {
		return err
	}
	if err := r.disk.SaveSnapshot(s, nil); err != nil {
		return err
	}
	if err := r.machine.Restore(s.Data); err != nil {
		return errors.Annotate(err, "bootstrap the log")
	}
	r.machine.Publish()
	r.appliedIndex = s.Index
	r.core = quorum.New(now, r.options, quorum.State{HardState: r.core.HardState(), Snapshot: s})
	return nil
}

// Step passes a message to the core. The message is dropped if the inbox is full, or if it is malformed.
func (r *Replica[R]) Step(m quorum.Message) {
	if m.Snapshot != nil {
		if err := r.machine.Check(m.Snapshot.Data); err != nil {
			klog.ErrorS(err, "Malformed snapshot dropped", "peer", m.From, "index", m.Snapshot.Index)
			return
		}
	}
	step := func(now time.Duration) {
		if err := r.core.Step(now, m); err != nil {
			klog.ErrorS(err, "Malformed log message dropped", "peer", m.From, "kind", m.Kind, "term", m.Term, "index", m.Index)
		}
	}
	select {
	case r.inbox <- step:
	default:
	}
}

// Propose appends data to the log and waits until it is applied. Errors other than ErrOutcomeUnknown mean that it was
// not appended.
func (r *Replica[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var zero R
	ch := make(chan proposalResult[R], 1)
	err := r.enqueue(ctx, func(now time.Duration) {
		i, err := r.core.Propose(now, data)
		if err != nil {
			ch <- proposalResult[R]{err: err}
			return
		}
		r.proposals[i] = pendingProposal[R]{term: r.core.Term(), ch: ch}
	})
	if err != nil {
		return zero, err
	}
	select {
	case outcome := <-ch:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return zero, ErrOutcomeUnknown
	case <-r.stopped:
		return zero, ErrOutcomeUnknown
	}
}

// ChangeMembers calls decide with the status of this leader, proposes the members that it returns, and waits until the change is applied. It
// reports whether there was a change. decide runs on the replica's goroutine, so that no other change can come between.
func (r *Replica[R]) ChangeMembers(ctx context.Context, decide func(s Status) (quorum.Members, bool)) (bool, error) {
	ch := make(chan proposalResult[R], 1)
	changed := true
	err := r.enqueue(ctx, func(now time.Duration) {
		s := r.statusAt(now)
		if !s.Leading {
			ch <- proposalResult[R]{err: quorum.ErrNotLeader}
			return
		}
		if s.LeaseEnd == 0 || !r.core.CanChangeMembers() {
			ch <- proposalResult[R]{err: quorum.ErrBusy}
			return
		}
		next, ok := decide(*s)
		if !ok {
			changed = false
			ch <- proposalResult[R]{}
			return
		}
		i, err := r.core.ProposeMembers(now, next)
		if err != nil {
			ch <- proposalResult[R]{err: err}
			return
		}
		r.proposals[i] = pendingProposal[R]{term: r.core.Term(), ch: ch}
	})
	if err != nil {
		return false, err
	}
	select {
	case outcome := <-ch:
		return changed && outcome.err == nil, outcome.err
	case <-ctx.Done():
		return false, ErrOutcomeUnknown
	case <-r.stopped:
		return false, ErrOutcomeUnknown
	}
}

// Read waits until all entries that were committed before the call are applied here, and returns the index of the last.
// Only the leader can serve it.
func (r *Replica[R]) Read(ctx context.Context) (quorum.Index, error) {
	ch := make(chan quorum.Index, 1)
	fail := make(chan error, 1)
	err := r.enqueue(ctx, func(now time.Duration) {
		r.lastToken++
		if err := r.core.Read(now, r.lastToken); err != nil {
			fail <- err
			return
		}
		r.pendingReads[r.lastToken] = ch
	})
	if err != nil {
		return 0, err
	}
	select {
	case i, ok := <-ch:
		if !ok {
			return 0, quorum.ErrNotLeader
		}
		return i, nil
	case err := <-fail:
		return 0, err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stopped:
		return 0, ErrStopped
	}
}

// Transfer starts a transfer of leadership to another voter, to one in avoid only if there is no choice, and reports whether it could be started.
func (r *Replica[R]) Transfer(ctx context.Context, avoid map[quorum.Node]bool) bool {
	ch := make(chan bool, 1)
	transfer := func(now time.Duration) { ch <- r.core.Transfer(now, r.core.TransferTarget(now, avoid)) }
	if err := r.enqueue(ctx, transfer); err != nil {
		return false
	}
	select {
	case ok := <-ch:
		return ok
	case <-r.stopped:
		return false
	}
}

// Package replica runs one voter or learner of the replicated log: it drives the quorum core, persists its output,
// sends its messages and applies committed entries to a state machine.
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
	mostBeat      = 250 * time.Millisecond // heartbeats are as frequent as a quarter of the election's timeout
	batchBytes    = 1 << 20
	inboxLength   = 4096
	compactAfter  = 20000 // entries
	compactBytes  = 16 << 20
	tickPrecision = 10 * time.Millisecond
)

// Machine is the state machine that the log drives. R is the result of applying an entry.
type Machine[R any] interface {
	Apply(i quorum.Index, data []byte) R
	Publish()
	Snapshot() (quorum.Index, []byte, error)
	Restore(data []byte) error
}

// Disk persists the log.
type Disk interface {
	Save(hard *quorum.Hard, entries []quorum.Entry) error
	SaveSnapshot(s quorum.Snapshot, rest []quorum.Entry) error
	Size() int64
	Close() error
}

// ErrLost says that a proposal may or may not have been committed.
var ErrLost = errors.New("the outcome of the proposal is not known")

// ErrStopped says that the replica has stopped.
var ErrStopped = errors.New("the replica has stopped")

// Status is what a replica knows of its group.
type Status struct {
	Self     quorum.Node
	Leader   quorum.Node
	Leading  bool
	Term     quorum.Term
	Commit   quorum.Index
	Members  quorum.Members
	LeaseEnd time.Duration // by clock.Boot; zero where this node has no lease as leader
	Since    time.Duration // when this node became leader and had committed an entry of its term
	Matches  map[quorum.Node]quorum.Index
}

// Replica is one running member of the log.
type Replica[R any] struct {
	core    *quorum.Core
	options quorum.Options
	empty   atomic.Bool
	disk    Disk
	machine Machine[R]
	send    func(quorum.Message)
	drift   float64
	applied quorum.Index
	notify  func(quorum.Index)

	inbox  chan func(now time.Duration)
	waits  map[quorum.Index]wait[R]
	reads  map[uint64]chan quorum.Index
	ready  []quorum.ReadyRead
	token  uint64
	since  time.Duration
	status atomic.Pointer[Status]
	done   chan struct{}
	once   sync.Once
}

type wait[R any] struct {
	term quorum.Term
	ch   chan outcome[R]
}

type outcome[R any] struct {
	result R
	err    error
}

// Options are what a replica starts from.
type Options[R any] struct {
	Self     quorum.Node
	Disk     Disk
	State    quorum.State
	Machine  Machine[R]
	Send     func(quorum.Message) // must not block
	Notify   func(quorum.Index)   // called after entries were applied; must not block
	Drift    float64              // largest relative clock error
	Seed     uint64
	Election time.Duration // least silence of a leader before an election
}

// New returns a replica that has applied the snapshot of its state. Run starts it.
func New[R any](opt Options[R]) (*Replica[R], error) {
	r := &Replica[R]{
		disk: opt.Disk, machine: opt.Machine, send: opt.Send, notify: opt.Notify, drift: opt.Drift,
		inbox: make(chan func(time.Duration), inboxLength),
		waits: map[quorum.Index]wait[R]{},
		reads: map[uint64]chan quorum.Index{},
		done:  make(chan struct{}),
	}
	if len(opt.State.Snapshot.Data) > 0 {
		if err := opt.Machine.Restore(opt.State.Snapshot.Data); err != nil {
			return nil, errors.Annotate(err, "restore snapshot")
		}
		opt.Machine.Publish()
	}
	r.applied = opt.State.Snapshot.Index
	r.options = quorum.Options{
		Self: opt.Self, Election: opt.Election, Heartbeat: min(mostBeat, opt.Election/4), Batch: batchBytes,
		Rand: rand.New(rand.NewPCG(opt.Seed, uint64(clock.Boot()))),
	}
	r.core = quorum.New(clock.Boot(), r.options, opt.State)
	r.empty.Store(r.core.Last() == 0)
	r.publish(clock.Boot())
	return r, nil
}

// Run drives the replica until ctx ends or the disk fails. It returns only after the disk is closed.
func (r *Replica[R]) Run(ctx context.Context) error {
	defer r.shutdown()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.inbox:
			f(clock.Boot())
			r.drain()
		case <-timer.C:
		}
		now := clock.Boot()
		r.core.Tick(now)
		if err := r.flush(); err != nil {
			klog.ErrorS(err, "Replica stopped: its disk failed", "node", r.core.Self())
			return err
		}
		r.publish(clock.Boot())
		timer.Reset(max(r.core.Deadline()-clock.Boot(), tickPrecision))
	}
}

// drain handles what has queued up, so that one sync serves many messages.
func (r *Replica[R]) drain() {
	for range inboxLength {
		select {
		case f := <-r.inbox:
			f(clock.Boot())
		default:
			return
		}
	}
}

// flush does what the core asks until it asks for nothing more.
func (r *Replica[R]) flush() error {
	for {
		out := r.core.Take()
		if out.Empty() {
			break
		}
		if err := r.persist(out); err != nil {
			return err
		}
		r.core.Synced(clock.Boot())
		for _, m := range out.Messages {
			r.send(m)
		}
		r.apply()
	}
	r.answerReads()
	return r.compact()
}

func (r *Replica[R]) persist(out quorum.Output) error {
	if out.Snapshot != nil {
		rest := r.core.Entries(out.Snapshot.Index, r.core.Last())
		if out.Hard != nil {
			if err := r.disk.Save(out.Hard, nil); err != nil {
				return err
			}
		}
		if err := r.disk.SaveSnapshot(*out.Snapshot, rest); err != nil {
			return err
		}
		if out.Snapshot.Index > r.applied {
			if err := r.machine.Restore(out.Snapshot.Data); err != nil {
				return errors.Annotate(err, "install snapshot")
			}
			r.machine.Publish()
			r.applied = out.Snapshot.Index
			r.notify(r.applied)
		}
		return nil
	}
	return r.disk.Save(out.Hard, out.Append)
}

// apply runs the committed entries and answers their proposers.
func (r *Replica[R]) apply() {
	list := r.core.Entries(r.applied, r.core.Commit())
	if len(list) == 0 {
		return
	}
	results := make([]R, len(list))
	for i, e := range list {
		results[i] = r.machine.Apply(e.Index, e.Data)
		r.applied = e.Index
	}
	r.machine.Publish()
	for i, e := range list {
		r.answer(e, results[i])
	}
	r.notify(r.applied)
}

func (r *Replica[R]) answer(e quorum.Entry, result R) {
	w, ok := r.waits[e.Index]
	if !ok {
		return
	}
	delete(r.waits, e.Index)
	if w.term != e.Term {
		w.ch <- outcome[R]{err: ErrLost}
		return
	}
	w.ch <- outcome[R]{result: result}
}

func (r *Replica[R]) answerReads() {
	r.ready = append(r.ready, r.core.TakeReads()...)
	var later []quorum.ReadyRead
	for _, read := range r.ready {
		if read.Index > r.applied {
			later = append(later, read)
			continue
		}
		if ch, ok := r.reads[read.Token]; ok {
			ch <- read.Index
			delete(r.reads, read.Token)
		}
	}
	r.ready = later
	if r.core.Role() == quorum.Leader {
		return
	}
	for token, ch := range r.reads {
		close(ch)
		delete(r.reads, token)
	}
	for i, w := range r.waits { // what another leader does with them is not seen here
		w.ch <- outcome[R]{err: ErrLost}
		delete(r.waits, i)
	}
}

// compact replaces old entries by a snapshot of the machine.
func (r *Replica[R]) compact() error {
	first := r.core.First()
	if r.applied < first+compactAfter && r.disk.Size() < compactBytes {
		return nil
	}
	if r.applied < first {
		return nil
	}
	i, data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	s := quorum.Snapshot{Index: i, Term: r.core.TermAt(i), Members: r.core.MembersAt(i), Data: data}
	if err := r.disk.SaveSnapshot(s, r.core.Entries(i, r.core.Last())); err != nil {
		return err
	}
	r.core.Compact(s)
	return nil
}

func (r *Replica[R]) publish(now time.Duration) {
	s := &Status{
		Self: r.core.Self(), Leader: r.core.Leader(), Leading: r.core.Role() == quorum.Leader,
		Term: r.core.Term(), Commit: r.core.Commit(), Members: r.core.Members(),
	}
	end, valid := r.core.LeaseEnd(now, r.drift)
	if valid {
		s.LeaseEnd = end
		if r.since == 0 {
			r.since = now
		}
		s.Matches = map[quorum.Node]quorum.Index{}
		for _, n := range append(append([]quorum.Node(nil), s.Members.Voters...), s.Members.Learners...) {
			if m, ok := r.core.Match(n); ok {
				s.Matches[n] = m
			}
		}
	}
	if !s.Leading {
		r.since = 0
	}
	s.Since = r.since
	r.status.Store(s)
	r.empty.Store(r.core.Last() == 0)
}

func (r *Replica[R]) shutdown() {
	r.once.Do(func() { close(r.done) })
	for _, w := range r.waits {
		w.ch <- outcome[R]{err: ErrLost}
	}
	if err := r.disk.Close(); err != nil {
		klog.ErrorS(err, "Log not closed", "node", r.core.Self())
	}
}

// Status returns what this replica knows of its group. It takes no lock.
func (r *Replica[R]) Status() Status { return *r.status.Load() }

// do runs f on the replica's thread.
func (r *Replica[R]) do(ctx context.Context, f func(now time.Duration)) error {
	select {
	case r.inbox <- f:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Empty reports whether the log holds nothing. It takes no lock.
func (r *Replica[R]) Empty() bool { return r.empty.Load() }

// Found makes s the start of an empty log. A log that holds something stays as it is.
func (r *Replica[R]) Found(ctx context.Context, s quorum.Snapshot) error {
	return r.ask(ctx, func(now time.Duration) error {
		if r.core.Last() > 0 {
			return nil
		}
		return r.begin(now, s)
	})
}

// ask has f done in the core's thread and returns its error.
func (r *Replica[R]) ask(ctx context.Context, f func(now time.Duration) error) error {
	ch := make(chan error, 1)
	if err := r.do(ctx, func(now time.Duration) { ch <- f(now) }); err != nil {
		return err
	}
	select {
	case err := <-ch:
		return err
	case <-r.done:
		return ErrStopped
	}
}

// begin persists s and restarts the core from it, in the term that the core has reached.
func (r *Replica[R]) begin(now time.Duration, s quorum.Snapshot) error {
	if err := r.flush(); err != nil {
		return err
	}
	if err := r.disk.SaveSnapshot(s, nil); err != nil {
		return err
	}
	if err := r.machine.Restore(s.Data); err != nil {
		return errors.Annotate(err, "found the log")
	}
	r.machine.Publish()
	r.applied = s.Index
	r.core = quorum.New(now, r.options, quorum.State{Hard: r.core.Hard(), Snapshot: s})
	return nil
}

// Step hands a message to the core; it is dropped where the inbox is full.
func (r *Replica[R]) Step(m quorum.Message) {
	select {
	case r.inbox <- func(now time.Duration) { r.core.Step(now, m) }:
	default:
	}
}

// Propose appends data and waits until it is applied. Errors other than ErrLost mean that it was not appended.
func (r *Replica[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var zero R
	ch := make(chan outcome[R], 1)
	err := r.do(ctx, func(now time.Duration) {
		i, err := r.core.Propose(now, data)
		if err != nil {
			ch <- outcome[R]{err: err}
			return
		}
		r.waits[i] = wait[R]{term: r.core.Term(), ch: ch}
	})
	if err != nil {
		return zero, err
	}
	select {
	case o := <-ch:
		return o.result, o.err
	case <-ctx.Done():
		return zero, ErrLost
	case <-r.done:
		return zero, ErrLost
	}
}

// ProposeMembers asks for a membership change without waiting for it.
func (r *Replica[R]) ProposeMembers(ctx context.Context, m quorum.Members) error {
	return r.ask(ctx, func(now time.Duration) error {
		_, err := r.core.ProposeMembers(now, m)
		return err
	})
}

// Read waits until everything that was committed before the call is applied here. Only a leader can answer.
func (r *Replica[R]) Read(ctx context.Context) (quorum.Index, error) {
	ch := make(chan quorum.Index, 1)
	fail := make(chan error, 1)
	err := r.do(ctx, func(now time.Duration) {
		r.token++
		if err := r.core.Read(now, r.token); err != nil {
			fail <- err
			return
		}
		r.reads[r.token] = ch
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
	case <-r.done:
		return 0, ErrStopped
	}
}

// Transfer hands leadership to another voter and reports whether one could be asked.
func (r *Replica[R]) Transfer(ctx context.Context) bool {
	ch := make(chan bool, 1)
	if err := r.do(ctx, func(now time.Duration) { ch <- r.core.Transfer(now, "") }); err != nil {
		return false
	}
	select {
	case ok := <-ch:
		return ok
	case <-r.done:
		return false
	}
}

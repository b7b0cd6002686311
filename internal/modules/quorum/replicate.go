package quorum

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrNotLeader says that this node cannot take proposals; Leader may name the one that can.
var ErrNotLeader = errors.New("not the leader")

// ErrBusy says that a membership change or a transfer of leadership is still in progress.
var ErrBusy = errors.New("a membership change or transfer is in progress")

// commitDelay is how long a new commit index waits for entries to travel with.
const commitDelay = 10 * time.Millisecond

// Propose appends data to the log and returns its index. It is committed once Commit reaches that index in the
// same term.
func (c *Core) Propose(now time.Duration, data ...[]byte) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.moving != "" {
		return 0, ErrBusy
	}
	for _, d := range data {
		c.append(Entry{Data: d})
	}
	c.broadcast(now)
	return c.log.last(), nil
}

// ProposeMembers changes the membership by at most one node.
func (c *Core) ProposeMembers(now time.Duration, m Members) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.moving != "" || c.log.changing() || c.log.term(c.log.commit) != c.hard.Term {
		return 0, ErrBusy
	}
	if differing(c.Members().Voters, m.Voters) > 1 || len(m.Voters) == 0 {
		return 0, errors.NotValidf("change of more than one voter")
	}
	c.append(Entry{Kind: Change, Members: &m})
	c.broadcast(now)
	return c.log.last(), nil
}

func differing(a, b []Node) int {
	n := 0
	for _, x := range a {
		if !contains(b, x) {
			n++
		}
	}
	for _, x := range b {
		if !contains(a, x) {
			n++
		}
	}
	return n
}

func (c *Core) append(e Entry) {
	e.Term, e.Index = c.hard.Term, c.log.last()+1
	c.log.append(e)
	c.out.Append = append(c.out.Append, e)
}

// broadcast sends the missing entries, or a heartbeat, to every other member.
func (c *Core) broadcast(now time.Duration) {
	c.beat = now + c.opt.Heartbeat
	m := c.Members()
	for _, n := range m.Voters {
		c.replicate(now, n)
	}
	for _, n := range m.Learners {
		c.replicate(now, n)
	}
}

func (c *Core) replicate(now time.Duration, n Node) {
	if n == c.opt.Self {
		return
	}
	p, ok := c.peers[n]
	if !ok {
		p = &progress{next: c.log.last() + 1}
		c.peers[n] = p
	}
	prev := p.next - 1
	if prev < c.log.snap.Index {
		s := c.log.snap
		c.send(Message{Kind: Install, To: n, Snapshot: &s, Sent: now})
		p.next = s.Index + 1
		return
	}
	entries := c.log.batch(p.next, c.opt.Batch)
	c.send(Message{
		Kind: Append, To: n, Index: prev, LogTerm: c.log.term(prev),
		Entries: entries, Commit: c.log.commit, Sent: now,
	})
	p.next += Index(len(entries))
}

func (c *Core) answerAppend(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.follow(now, m.Term, m.From)
	}
	c.contact = now
	c.resetDeadline(now)
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := min(c.log.last(), m.Index-1)
		c.send(Message{Kind: AppendAnswer, To: m.From, Reject: true, Index: max(hint, c.log.commit), Sent: m.Sent})
		return
	}
	if fresh := c.log.merge(m.Entries); len(fresh) > 0 {
		c.out.Append = replaceTail(c.out.Append, fresh)
	}
	match := m.Index + Index(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Kind: AppendAnswer, To: m.From, Index: match, Sent: m.Sent})
}

// replaceTail puts fresh behind the part of pending that precedes it.
func replaceTail(pending, fresh []Entry) []Entry {
	for len(pending) > 0 && pending[len(pending)-1].Index >= fresh[0].Index {
		pending = pending[:len(pending)-1]
	}
	return append(pending, fresh...)
}

func (c *Core) answerInstall(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.follow(now, m.Term, m.From)
	}
	c.contact = now
	c.resetDeadline(now)
	if m.Snapshot == nil {
		return
	}
	if s := *m.Snapshot; s.Index > c.log.commit {
		c.log.install(s)
		c.out.Snapshot, c.out.Append = &s, nil
		c.out.Commit = s.Index
	}
	c.send(Message{Kind: AppendAnswer, To: m.From, Index: max(m.Snapshot.Index, c.log.commit), Sent: m.Sent})
}

func (c *Core) countAppend(now time.Duration, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if !p.heard || m.Sent > p.acked {
		p.acked, p.heard = m.Sent, true
	}
	if m.Reject {
		p.next = max(p.match, min(m.Index, c.log.last())) + 1
		c.replicate(now, m.From)
	} else {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		c.advance(now)
		if p.next <= c.log.last() {
			c.replicate(now, m.From)
		}
		if c.moving == m.From && p.match == c.log.last() {
			c.send(Message{Kind: TimeoutNow, To: m.From})
		}
	}
	c.confirmReads(now)
}

// advance commits what a majority has stored, if it is of this term.
func (c *Core) advance(now time.Duration) {
	var stored []Index
	for _, n := range c.Members().Voters {
		switch p := c.peers[n]; {
		case n == c.opt.Self:
			stored = append(stored, c.log.synced)
		case p != nil:
			stored = append(stored, p.match)
		default:
			stored = append(stored, 0)
		}
	}
	if len(stored) == 0 {
		return
	}
	slices.Sort(stored)
	i := stored[len(stored)-c.majority()]
	if i <= c.log.commit || c.log.term(i) != c.hard.Term {
		return
	}
	c.commitTo(i)
	c.confirmReads(now)
	c.beat = min(c.beat, now+commitDelay) // the others apply it only once they hear of the commit
	if !c.Members().Voter(c.opt.Self) && !c.log.changing() {
		c.broadcast(now)
		c.follow(now, c.hard.Term, "")
	}
}

func (c *Core) commitTo(i Index) {
	if i > c.log.commit {
		c.log.commit = i
		c.out.Commit = i
	}
}

// quorumAck returns the latest time, by this leader's clock, such that a majority answered messages sent then or later.
func (c *Core) quorumAck(now time.Duration) time.Duration {
	var times []time.Duration
	for _, n := range c.Members().Voters {
		switch p := c.peers[n]; {
		case n == c.opt.Self:
			times = append(times, now)
		case p != nil && p.heard:
			times = append(times, p.acked)
		default:
			times = append(times, c.elected)
		}
	}
	if len(times) == 0 {
		return c.elected
	}
	slices.Sort(times)
	return times[len(times)-c.majority()]
}

// LeaseEnd returns until when no other node can have become leader, by this leader's clock less drift (a relative
// error). It returns false where this node is not a leader with a committed entry of its term.
func (c *Core) LeaseEnd(now time.Duration, drift float64) (time.Duration, bool) {
	if c.role != Leader || c.moving != "" || c.log.term(c.log.commit) != c.hard.Term {
		return 0, false
	}
	ack := c.quorumAck(now)
	if ack == c.elected && c.majority() > 1 {
		return 0, false
	}
	end := ack + c.opt.Election - time.Duration(float64(c.opt.Election)*drift)
	return end, now < end
}

// Read asks for the index that a linearizable read must wait for. TakeReads reports it under token once a majority
// has confirmed, after the call, that this node still leads.
func (c *Core) Read(now time.Duration, token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads = append(c.reads, read{token: token, at: now})
	c.broadcast(now)
	c.confirmReads(now)
	return nil
}

func (c *Core) confirmReads(now time.Duration) {
	if c.role != Leader || c.log.term(c.log.commit) != c.hard.Term {
		return
	}
	ack := c.quorumAck(now)
	for i := range c.reads {
		r := &c.reads[i]
		if !r.ready && ack >= r.at {
			r.ready, r.index = true, c.log.commit
		}
	}
}

// ReadyRead is a confirmed read: it may answer once Index is applied.
type ReadyRead struct {
	Token uint64
	Index Index
}

// TakeReads returns the confirmed reads.
func (c *Core) TakeReads() []ReadyRead {
	var ready []ReadyRead
	var waiting []read
	for _, r := range c.reads {
		if r.ready {
			ready = append(ready, ReadyRead{r.token, r.index})
		} else {
			waiting = append(waiting, r)
		}
	}
	c.reads = waiting
	return ready
}

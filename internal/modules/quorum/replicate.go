package quorum

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrNotLeader means that this node is not the leader and accepts no proposals; Leader may name the leader.
var ErrNotLeader = errors.New("not the leader")

// ErrBusy means that a membership change or leadership transfer is in progress, or that a new leader has not committed
// an entry of its term.
var ErrBusy = errors.New("a membership change or transfer is in progress")

// commitBroadcastDelay is the maximum time that a new commit index waits to be sent along with new entries.
const commitBroadcastDelay = 10 * time.Millisecond

// Propose appends one entry for each data and returns the index of the last. The entries are committed once Commit
// reaches that index in the same term.
func (c *Core) Propose(now time.Duration, data ...[]byte) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.transferTarget != "" {
		return 0, ErrBusy
	}
	for _, d := range data {
		c.append(Entry{Data: d})
	}
	c.broadcast(now)
	return c.log.lastIndex(), nil
}

// ProposeMembers appends a membership change. It may add or remove at most one voter.
func (c *Core) ProposeMembers(now time.Duration, m Members) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if !c.CanChangeMembers() {
		return 0, ErrBusy
	}
	if countDifferences(c.Members().Voters, m.Voters) > 1 || len(m.Voters) == 0 {
		return 0, errors.NotValidf("change of more than one voter")
	}
	c.append(Entry{Kind: MembersChange, Members: &m})
	c.broadcast(now)
	return c.log.lastIndex(), nil
}

// CanChangeMembers reports whether this node leads and no other membership change or transfer is in progress.
func (c *Core) CanChangeMembers() bool {
	return c.role == Leader && c.transferTarget == "" && !c.log.hasPendingChange() && c.log.term(c.log.commit) == c.hardState.Term
}

// countDifferences returns the number of nodes that are in only one of a and b.
func countDifferences(a, b []Node) int {
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

// append adds e to the log at the next index in the current term.
func (c *Core) append(e Entry) {
	e.Term, e.Index = c.hardState.Term, c.log.lastIndex()+1
	c.log.append(e)
	c.out.NewEntries = append(c.out.NewEntries, e)
}

// broadcast sends the missing entries, or a heartbeat if there are none, to every other member.
func (c *Core) broadcast(now time.Duration) {
	c.nextHeartbeat = now + c.opt.HeartbeatInterval
	m := c.Members()
	for _, n := range m.Voters {
		c.replicateTo(now, n)
	}
	for _, n := range m.Learners {
		c.replicateTo(now, n)
	}
}

// replicateTo sends n its missing entries, or a snapshot if they were compacted. While MaxBatchBytes of entries are under way to n, it
// sends a heartbeat instead.
func (c *Core) replicateTo(now time.Duration, n Node) {
	if n == c.opt.Self {
		return
	}
	p, ok := c.peers[n]
	if !ok {
		p = &progress{}
		p.reset(now, c.log.lastIndex())
		c.peers[n] = p
	}
	prev := p.next - 1
	if prev < c.log.snapshot.Index {
		s := c.log.snapshot
		c.send(Message{Kind: InstallSnapshot, To: n, Snapshot: &s, SentAt: now})
		p.reset(now, s.Index)
		p.entriesSentAt = now
		return
	}
	var entries []Entry
	if free := c.opt.MaxBatchBytes - c.log.bytes(p.acknowledged()+1, prev); free > 0 {
		entries = c.log.batch(p.next, free)
	} else {
		prev = p.acknowledged()
	}
	c.send(Message{
		Kind: AppendEntries, To: n, Index: prev, LogTerm: c.log.term(prev),
		Entries: entries, Commit: c.log.commit, SentAt: now,
	})
	if len(entries) > 0 {
		p.next += Index(len(entries))
		p.entriesSentAt = now
	}
}

func (c *Core) handleAppend(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := min(c.log.lastIndex(), m.Index-1) // the leader continues after the index in the response
		c.send(Message{Kind: AppendResponse, To: m.From, Reject: true, Index: max(hint, c.log.commit), SentAt: m.SentAt})
		return
	}
	if newEntries := c.log.merge(m.Entries); len(newEntries) > 0 {
		c.out.NewEntries = replaceTail(c.out.NewEntries, newEntries)
	}
	match := m.Index + Index(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Kind: AppendResponse, To: m.From, Index: match, SentAt: m.SentAt})
}

// replaceTail replaces the entries of pending at and after the first index of newEntries by newEntries.
func replaceTail(pending, newEntries []Entry) []Entry {
	for len(pending) > 0 && pending[len(pending)-1].Index >= newEntries[0].Index {
		pending = pending[:len(pending)-1]
	}
	return append(pending, newEntries...)
}

func (c *Core) handleInstall(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
	if m.Snapshot == nil {
		return
	}
	if s := *m.Snapshot; s.Index > c.log.commit {
		c.log.install(s)
		c.out.Snapshot, c.out.NewEntries = &s, nil
		c.out.Commit = s.Index
	}
	c.send(Message{Kind: AppendResponse, To: m.From, Index: max(m.Snapshot.Index, c.log.commit), SentAt: m.SentAt})
}

func (c *Core) handleAppendResponse(now time.Duration, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if !p.responded || m.SentAt > p.ackedSendTime {
		p.ackedSendTime, p.responded = m.SentAt, true
	}
	if m.Reject {
		if m.SentAt >= p.resetAt {
			p.reset(now, max(p.match, min(m.Index, c.log.lastIndex())))
			c.replicateTo(now, m.From)
		}
	} else {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		if m.SentAt > p.entriesSentAt && p.next > p.match+1 {
			p.reset(now, p.match) // what was sent before this answered message did not arrive
		}
		c.advanceCommit(now)
		if p.next <= c.log.lastIndex() {
			c.replicateTo(now, m.From)
		}
		if c.transferTarget == m.From && p.match == c.log.lastIndex() {
			c.send(Message{Kind: TimeoutNow, To: m.From})
		}
	}
	c.confirmReads(now)
}

// advanceCommit commits the entries that a majority has stored, if the last of them is of the current term.
func (c *Core) advanceCommit(now time.Duration) {
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
	i := stored[len(stored)-c.quorumSize()]
	if i <= c.log.commit || c.log.term(i) != c.hardState.Term {
		return
	}
	c.commitTo(i)
	c.confirmReads(now)
	// Followers apply the entries only after they receive the new commit index.
	c.nextHeartbeat = min(c.nextHeartbeat, now+commitBroadcastDelay)
	// A leader that is no longer a voter steps down after it has sent the others the commit index.
	if !c.Members().IsVoter(c.opt.Self) && !c.log.hasPendingChange() {
		c.broadcast(now)
		c.becomeFollower(now, c.hardState.Term, "")
	}
}

func (c *Core) commitTo(i Index) {
	if i > c.log.commit {
		c.log.commit = i
		c.out.Commit = i
	}
}

// QuorumAck returns the latest time, by this leader's clock, such that a majority has answered messages that were sent at or after it; zero on
// other nodes.
func (c *Core) QuorumAck(now time.Duration) time.Duration {
	if c.role != Leader {
		return 0
	}
	return c.quorumAckTime(now)
}

// quorumAckTime returns the latest time, by this leader's clock, such that a majority has answered messages that were
// sent at or after it.
func (c *Core) quorumAckTime(now time.Duration) time.Duration {
	var times []time.Duration
	for _, n := range c.Members().Voters {
		switch p := c.peers[n]; {
		case n == c.opt.Self:
			times = append(times, now)
		case p != nil && p.responded:
			times = append(times, p.ackedSendTime)
		default:
			times = append(times, c.electedAt)
		}
	}
	if len(times) == 0 {
		return c.electedAt
	}
	slices.Sort(times)
	return times[len(times)-c.quorumSize()]
}

// LeaseEnd returns the end of the leader's lease, by this leader's clock: no other node can become leader before it.
// drift is the maximum relative clock error, by which the lease is shortened. It returns false if the lease has ended
// or this node is not a leader with a committed entry of its term.
func (c *Core) LeaseEnd(now time.Duration, drift float64) (time.Duration, bool) {
	if c.role != Leader || c.transferTarget != "" || c.log.term(c.log.commit) != c.hardState.Term {
		return 0, false
	}
	ack := c.quorumAckTime(now)
	if ack == c.electedAt && c.quorumSize() > 1 {
		return 0, false
	}
	end := ack + c.opt.ElectionTimeout - time.Duration(float64(c.opt.ElectionTimeout)*drift)
	return end, now < end
}

// Read requests the index up to which entries must be applied before a linearizable read. TakeConfirmedReads returns
// it with token after a majority has answered messages sent at or after the call, which confirms that this node still
// leads.
func (c *Core) Read(now time.Duration, token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.pendingReads = append(c.pendingReads, pendingRead{token: token, requestedAt: now})
	c.broadcast(now)
	c.confirmReads(now)
	return nil
}

func (c *Core) confirmReads(now time.Duration) {
	if c.role != Leader || c.log.term(c.log.commit) != c.hardState.Term {
		return
	}
	ack := c.quorumAckTime(now)
	for i := range c.pendingReads {
		r := &c.pendingReads[i]
		if !r.confirmed && ack >= r.requestedAt {
			r.confirmed, r.index = true, c.log.commit
		}
	}
}

// ConfirmedRead is a confirmed linearizable read, which may be answered once Index is applied.
type ConfirmedRead struct {
	Token uint64
	Index Index
}

// TakeConfirmedReads returns the confirmed reads and removes them.
func (c *Core) TakeConfirmedReads() []ConfirmedRead {
	var confirmed []ConfirmedRead
	var waiting []pendingRead
	for _, r := range c.pendingReads {
		if r.confirmed {
			confirmed = append(confirmed, ConfirmedRead{r.token, r.index})
		} else {
			waiting = append(waiting, r)
		}
	}
	c.pendingReads = waiting
	return confirmed
}

package quorum

import (
	"math/rand/v2"
	"time"
)

// Role is the part a node plays in its term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Options are the constants of a core.
type Options struct {
	Self      Node
	Election  time.Duration // least silence of a leader before an election; the most is twice as long
	Heartbeat time.Duration
	Batch     int // most bytes of entries in one message
	Rand      *rand.Rand
}

// State is what a core starts from: the synced state of an earlier life, or Members alone for a new log.
type State struct {
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// progress is what a leader knows of another node.
type progress struct {
	match Index
	next  Index
	acked time.Duration // leader's clock when the last answered message was sent
	heard bool
}

// Core is the state of one node. It is not safe for concurrent use.
type Core struct {
	opt  Options
	role Role
	hard Hard
	log  journal

	leader    Node
	contact   time.Duration // last time a leader was heard
	deadline  time.Duration // when an election starts
	beat      time.Duration // when the next heartbeat is due
	elected   time.Duration
	votes     map[Node]bool
	peers     map[Node]*progress
	moving    Node          // target of a leadership transfer
	movingEnd time.Duration // when the transfer is given up
	reads     []read

	out Output
}

type read struct {
	token uint64
	at    time.Duration
	index Index
	ready bool
}

// New returns a core that starts at now. For an election timeout it grants no vote, because it may have
// acknowledged a leader just before it restarted.
func New(now time.Duration, opt Options, s State) *Core {
	c := &Core{opt: opt, hard: s.Hard, log: newJournal(s)}
	c.contact = now
	c.resetDeadline(now)
	return c
}

// Self returns the node that c is.
func (c *Core) Self() Node { return c.opt.Self }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.hard.Term }

// Hard returns the part of the state that must outlive a restart.
func (c *Core) Hard() Hard { return c.hard }

// Leader returns the leader of the term, empty where none is known.
func (c *Core) Leader() Node { return c.leader }

// Members returns the membership in force.
func (c *Core) Members() Members { return c.log.members() }

// Commit returns the highest committed index.
func (c *Core) Commit() Index { return c.log.commit }

// Last returns the highest index in the log.
func (c *Core) Last() Index { return c.log.last() }

// Entries returns the entries in (after, to] that are still in memory.
func (c *Core) Entries(after, to Index) []Entry { return c.log.slice(after+1, to) }

// First returns the lowest index that is still in memory.
func (c *Core) First() Index { return c.log.snap.Index + 1 }

// Match returns the highest index known to be stored by n; only a leader knows.
func (c *Core) Match(n Node) (Index, bool) {
	p, ok := c.peers[n]
	if !ok {
		return 0, false
	}
	return p.match, true
}

// Take returns what c asks of its owner and clears it.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Synced reports that everything Take returned is on disk.
func (c *Core) Synced(now time.Duration) {
	c.log.synced = c.log.last()
	if c.role == Leader {
		c.advance(now)
	}
}

// Compact drops the entries up to s.Index, which the owner has persisted as a snapshot.
func (c *Core) Compact(s Snapshot) { c.log.compact(s) }

// TermAt returns the term of the entry at i, zero where it is unknown.
func (c *Core) TermAt(i Index) Term { return c.log.term(i) }

// MembersAt returns the membership as of index i.
func (c *Core) MembersAt(i Index) Members { return c.log.membersAt(i) }

// Deadline returns when Tick is due next.
func (c *Core) Deadline() time.Duration {
	if c.role == Leader {
		return c.beat
	}
	return c.deadline
}

// Tick does what is due at now: elections, heartbeats and the leader's check of its quorum.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.deadline {
		c.campaign(now)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if now-c.quorumAck(now) > 2*c.opt.Election {
		c.follow(now, c.hard.Term, "")
		return
	}
	if c.moving != "" && now >= c.movingEnd {
		// The target may still act on a delayed TimeoutNow, so this term's lease must not be used again.
		c.follow(now, c.hard.Term, "")
		return
	}
	if now >= c.beat {
		c.broadcast(now)
	}
}

// Step handles one message.
func (c *Core) Step(now time.Duration, m Message) {
	if m.To != c.opt.Self {
		return
	}
	if m.Term > c.hard.Term && !c.acceptTerm(now, m) {
		return
	}
	if m.Term < c.hard.Term {
		c.stale(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		c.answerVote(now, m)
	case PreVoteAnswer, VoteAnswer:
		c.countVote(now, m)
	case Append:
		c.answerAppend(now, m)
	case Install:
		c.answerInstall(now, m)
	case AppendAnswer:
		c.countAppend(now, m)
	case TimeoutNow:
		c.startVote(now, true)
	}
}

// acceptTerm handles a message of a later term and reports whether to go on with it.
func (c *Core) acceptTerm(now time.Duration, m Message) bool {
	switch m.Kind {
	case PreVote:
		return c.answerPreVote(now, m)
	case PreVoteAnswer:
		if !m.Reject {
			c.countVote(now, m)
			return false
		}
	case Vote:
		if !m.Force && c.leaderAlive(now) {
			return false
		}
	case Append, Install:
		c.follow(now, m.Term, m.From)
		return true
	}
	c.follow(now, m.Term, "")
	return true
}

// stale tells the sender of an earlier term about the current one.
func (c *Core) stale(m Message) {
	switch m.Kind {
	case Append, Install:
		c.send(Message{Kind: AppendAnswer, To: m.From, Reject: true, Index: c.log.last(), Sent: m.Sent})
	case PreVote:
		c.send(Message{Kind: PreVoteAnswer, To: m.From, Reject: true})
	}
}

// leaderAlive reports whether a leader was heard less than an election timeout ago. Such a node grants no vote,
// which is what makes the leader's lease (LeaseEnd) hold.
func (c *Core) leaderAlive(now time.Duration) bool {
	return c.role == Leader || now-c.contact < c.opt.Election
}

func (c *Core) follow(now time.Duration, t Term, leader Node) {
	if t != c.hard.Term {
		c.setHard(Hard{Term: t})
	}
	wasLeader := c.role == Leader
	c.role, c.leader = Follower, leader
	c.peers, c.votes, c.reads, c.moving = nil, nil, nil, ""
	if wasLeader {
		c.contact = now
	}
	c.resetDeadline(now)
}

func (c *Core) setHard(h Hard) {
	c.hard = h
	c.out.Hard = &h
}

func (c *Core) resetDeadline(now time.Duration) {
	c.deadline = now + c.opt.Election + time.Duration(c.opt.Rand.Int64N(int64(c.opt.Election)))
}

func (c *Core) send(m Message) {
	m.From = c.opt.Self
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

func (c *Core) majority() int { return len(c.Members().Voters)/2 + 1 }

package quorum

import (
	"math/rand/v2"
	"time"
)

// Role is the Raft role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role as in log lines.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Options configure a Core.
type Options struct {
	Self              Node
	ElectionTimeout   time.Duration // minimum election timeout; the actual one is random, below twice this value
	HeartbeatInterval time.Duration
	MaxBatchBytes     int // maximum bytes of entry data in one message
	Rand              *rand.Rand
}

// State is the initial state of a Core: the state synced before a restart, or only Snapshot.Members for a new log.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is the leader's replication state for another node.
type progress struct {
	match         Index
	next          Index
	ackedSendTime time.Duration // leader's clock when it sent the latest message that was answered
	responded     bool          // ackedSendTime is set
	base          Index         // last entry before those that were sent since the latest reset
	resetAt       time.Duration // when next was last set back, or a snapshot was sent
	entriesSentAt time.Duration // when entries or a snapshot were last sent
}

// acknowledged returns the index from which on entries are under way.
func (p *progress) acknowledged() Index { return max(p.match, p.base) }

// reset makes the entries after i the next to be sent. Rejections of messages that were sent before say nothing about them.
func (p *progress) reset(now time.Duration, i Index) {
	p.next, p.base, p.resetAt = i+1, i, now
}

// Core is the Raft state machine of one node. It is not safe for concurrent use.
type Core struct {
	opt       Options
	role      Role
	hardState HardState
	log       raftLog

	leader            Node
	lastLeaderContact time.Duration // time of the last message from a leader
	electionDeadline  time.Duration // time at which an election starts
	nextHeartbeat     time.Duration // time at which the next heartbeat is due
	electedAt         time.Duration
	votes             map[Node]bool
	peers             map[Node]*progress
	transferTarget    Node          // target of a leadership transfer
	transferDeadline  time.Duration // time at which the transfer is abandoned
	pendingReads      []pendingRead

	out Output
}

// pendingRead is a linearizable read that waits for confirmation by a majority.
type pendingRead struct {
	token       uint64
	requestedAt time.Duration
	index       Index
	confirmed   bool
}

// New returns a core that starts at now. It grants no vote during the first election timeout, because the node may
// have acknowledged a leader just before it restarted.
func New(now time.Duration, opt Options, s State) *Core {
	c := &Core{opt: opt, hardState: s.HardState, log: newRaftLog(s)}
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
	return c
}

// Self returns the node that c runs as.
func (c *Core) Self() Node { return c.opt.Self }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.hardState.Term }

// HardState returns the part of the state that must survive a restart.
func (c *Core) HardState() HardState { return c.hardState }

// Leader returns the leader of the current term, or an empty name if it is unknown.
func (c *Core) Leader() Node { return c.leader }

// Members returns the current membership.
func (c *Core) Members() Members { return c.log.members() }

// Commit returns the highest committed index.
func (c *Core) Commit() Index { return c.log.commit }

// LastIndex returns the highest index in the log.
func (c *Core) LastIndex() Index { return c.log.lastIndex() }

// Entries returns the entries in (after, to] that are still in memory.
func (c *Core) Entries(after, to Index) []Entry { return c.log.slice(after+1, to) }

// FirstIndex returns the lowest index that is still in memory.
func (c *Core) FirstIndex() Index { return c.log.snapshot.Index + 1 }

// Progress is what a leader knows of another member.
type Progress struct {
	Match Index         // highest index that the member has acknowledged as stored
	Acked time.Duration // by the leader's clock, when the latest message was sent that the member has answered; zero if there is none
}

// Progress returns the progress of n. It is zero if this node is not the leader or n has not answered yet.
func (c *Core) Progress(n Node) Progress {
	p, ok := c.peers[n]
	if !ok {
		return Progress{}
	}
	return Progress{Match: p.match, Acked: p.ackedSendTime}
}

// TakeOutput returns the pending output and clears it.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// MarkSynced records that everything TakeOutput returned is on disk.
func (c *Core) MarkSynced(now time.Duration) {
	c.log.synced = c.log.lastIndex()
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// Compact drops the entries up to s.Index. The caller must have persisted s.
func (c *Core) Compact(s Snapshot) { c.log.compact(s) }

// TermAt returns the term of the entry at i, or zero if it is unknown.
func (c *Core) TermAt(i Index) Term { return c.log.term(i) }

// MembersAt returns the membership as of index i.
func (c *Core) MembersAt(i Index) Members { return c.log.membersAt(i) }

// NextTick returns the time at which Tick is due next.
func (c *Core) NextTick() time.Duration {
	if c.role == Leader {
		return c.nextHeartbeat
	}
	return c.electionDeadline
}

// Tick runs the timers that are due at now: elections, heartbeats and the leader's check that a majority still answers.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDeadline {
		c.startPreVote(now)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if now-c.quorumAckTime(now) > 2*c.opt.ElectionTimeout {
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if c.transferTarget != "" && now >= c.transferDeadline {
		// The target may still receive a delayed TimeoutNow and start an election, so the lease of this term must not
		// be used again.
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if now >= c.nextHeartbeat {
		c.broadcast(now)
	}
}

// Step handles one message from another node. It returns an error, and does nothing, if the message is malformed.
func (c *Core) Step(now time.Duration, m Message) error {
	if m.To != c.opt.Self {
		return nil
	}
	if err := c.check(now, m); err != nil {
		return err
	}
	c.step(now, m)
	return nil
}

func (c *Core) step(now time.Duration, m Message) {
	if m.Term > c.hardState.Term && !c.handleNewerTerm(now, m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.rejectOldTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		c.handleVote(now, m)
	case PreVoteResponse, VoteResponse:
		c.handleVoteResponse(now, m)
	case AppendEntries:
		c.handleAppend(now, m)
	case InstallSnapshot:
		c.handleInstall(now, m)
	case AppendResponse:
		c.handleAppendResponse(now, m)
	case TimeoutNow:
		c.startElection(now, true)
	}
}

// handleNewerTerm handles a message of a later term and reports whether Step should continue to process it.
func (c *Core) handleNewerTerm(now time.Duration, m Message) bool {
	switch m.Kind {
	case PreVote:
		return c.handlePreVote(now, m)
	case PreVoteResponse:
		if !m.Reject {
			c.handleVoteResponse(now, m)
			return false
		}
	case Vote:
		if !m.Force && c.leaderAlive(now) {
			return false
		}
	case AppendEntries, InstallSnapshot:
		c.becomeFollower(now, m.Term, m.From)
		return true
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

// rejectOldTerm answers an append, install or pre-vote message of an earlier term with a rejection that carries the
// current term.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case AppendEntries, InstallSnapshot:
		c.send(Message{Kind: AppendResponse, To: m.From, Reject: true, Index: c.log.lastIndex(), SentAt: m.SentAt})
	case PreVote:
		c.send(Message{Kind: PreVoteResponse, To: m.From, Reject: true})
	}
}

// leaderAlive reports whether this node leads or received a message from a leader within the last election timeout.
// Such a node grants no vote; the leader's lease (LeaseEnd) depends on it.
func (c *Core) leaderAlive(now time.Duration) bool {
	return c.role == Leader || now-c.lastLeaderContact < c.opt.ElectionTimeout
}

// becomeFollower makes this node a follower in term t. leader may be empty.
func (c *Core) becomeFollower(now time.Duration, t Term, leader Node) {
	if t != c.hardState.Term {
		c.setHardState(HardState{Term: t})
	}
	wasLeader := c.role == Leader
	c.role, c.leader = Follower, leader
	c.peers, c.votes, c.pendingReads, c.transferTarget = nil, nil, nil, ""
	if wasLeader {
		c.lastLeaderContact = now
	}
	c.resetElectionDeadline(now)
}

func (c *Core) setHardState(h HardState) {
	c.hardState = h
	c.out.HardState = &h
}

// resetElectionDeadline picks a random deadline between one and two election timeouts from now.
func (c *Core) resetElectionDeadline(now time.Duration) {
	c.electionDeadline = now + c.opt.ElectionTimeout + time.Duration(c.opt.Rand.Int64N(int64(c.opt.ElectionTimeout)))
}

func (c *Core) send(m Message) {
	m.From = c.opt.Self
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// quorumSize returns the number of voters that form a majority.
func (c *Core) quorumSize() int { return Majority(len(c.Members().Voters)) }

// Majority returns how many of n voters form a majority.
func Majority(n int) int { return n/2 + 1 }

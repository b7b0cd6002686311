// Package quorum is a replicated log: the Raft algorithm (Ongaro and Ousterhout 2014; Ongaro's thesis 2014 for
// pre-vote, check-quorum, leadership transfer and single-server membership changes) as a deterministic core.
//
// The core does no input or output and reads no clock. Its owner passes in the time and messages, persists what
// Take returns, reports that with Synced, and only then sends the messages.
package quorum

import "time"

// Node names one voter or learner: a VM together with the identity of its disk.
type Node string

// Term numbers the periods of leadership.
type Term uint64

// Index is a position in the log, from 1.
type Index uint64

// EntryKind distinguishes the entries of the log.
type EntryKind uint8

// The kinds of entry.
const (
	Normal EntryKind = iota
	Blank            // a new leader's first entry
	Change           // a membership change; Members is set
)

// Entry is one position of the log.
type Entry struct {
	Term    Term      `cbor:"1,keyasint"`
	Index   Index     `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Members is the membership of the log.
type Members struct {
	Voters   []Node `cbor:"1,keyasint"`
	Learners []Node `cbor:"2,keyasint,omitempty"`
}

// Voter reports whether n votes.
func (m Members) Voter(n Node) bool { return contains(m.Voters, n) }

// Learner reports whether n follows without a vote.
func (m Members) Learner(n Node) bool { return contains(m.Learners, n) }

// Has reports whether n is a member.
func (m Members) Has(n Node) bool { return m.Voter(n) || m.Learner(n) }

func contains(list []Node, n Node) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

func without(list []Node, n Node) []Node {
	var kept []Node
	for _, x := range list {
		if x != n {
			kept = append(kept, x)
		}
	}
	return kept
}

// With returns m with n as a voter or as a learner.
func (m Members) With(n Node, voter bool) Members {
	r := m.Without(n)
	if voter {
		r.Voters = append(r.Voters, n)
	} else {
		r.Learners = append(r.Learners, n)
	}
	return r
}

// Without returns m without n.
func (m Members) Without(n Node) Members {
	return Members{Voters: without(m.Voters, n), Learners: without(m.Learners, n)}
}

// Hard is the part of the state that must be synced before any answer.
type Hard struct {
	Term Term `cbor:"1,keyasint"`
	Vote Node `cbor:"2,keyasint,omitempty"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   Index   `cbor:"1,keyasint"`
	Term    Term    `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}

// MessageKind distinguishes the messages between nodes.
type MessageKind uint8

// The kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	Install
	TimeoutNow
)

// Message is one message between nodes.
type Message struct {
	Kind     MessageKind   `cbor:"1,keyasint"`
	From     Node          `cbor:"2,keyasint"`
	To       Node          `cbor:"3,keyasint"`
	Term     Term          `cbor:"4,keyasint"`
	Index    Index         `cbor:"5,keyasint,omitempty"` // last log index, previous index or match
	LogTerm  Term          `cbor:"6,keyasint,omitempty"` // term at Index
	Entries  []Entry       `cbor:"7,keyasint,omitempty"`
	Commit   Index         `cbor:"8,keyasint,omitempty"`
	Reject   bool          `cbor:"9,keyasint,omitempty"`
	Force    bool          `cbor:"10,keyasint,omitempty"` // a vote after a transfer of leadership
	Sent     time.Duration `cbor:"11,keyasint,omitempty"` // leader's clock at sending, echoed in the answer
	Snapshot *Snapshot     `cbor:"12,keyasint,omitempty"`
}

// Output is what a core asks of its owner, in this order: persist Hard, Snapshot and Append, call Synced, send
// Messages, apply up to Commit.
type Output struct {
	Hard     *Hard
	Snapshot *Snapshot
	Append   []Entry // replaces everything at and after the first index
	Messages []Message
	Commit   Index
}

// Empty reports whether o asks for nothing.
func (o Output) Empty() bool {
	return o.Hard == nil && o.Snapshot == nil && len(o.Append) == 0 && len(o.Messages) == 0 && o.Commit == 0
}

// Package quorum implements a replicated log as a deterministic Raft core (Ongaro and Ousterhout 2014; Ongaro's thesis
// 2014 for pre-vote, check-quorum, leadership transfer and single-server membership changes).
//
// The core does no I/O and reads no clock. The caller passes in the time and the messages, persists the result of
// TakeOutput, calls MarkSynced, and only then sends the messages.
package quorum

import "time"

// Node identifies a voter or learner: a VM together with the identity of its disk.
type Node string

// Term is a Raft term; each term has at most one leader.
type Term uint64

// Index is a position in the log, starting at 1.
type Index uint64

// EntryKind is the type of a log entry.
type EntryKind uint8

// The entry kinds.
const (
	Normal        EntryKind = iota
	NoOp                    // first entry of a new leader, without data
	MembersChange           // a membership change; Members is set
)

// Entry is one log entry.
type Entry struct {
	Term    Term      `cbor:"1,keyasint"`
	Index   Index     `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Members is the set of nodes that replicate the log.
type Members struct {
	Voters   []Node `cbor:"1,keyasint"`
	Learners []Node `cbor:"2,keyasint,omitempty"`
}

// IsVoter reports whether n is a voter.
func (m Members) IsVoter(n Node) bool { return contains(m.Voters, n) }

// IsLearner reports whether n is a learner, which replicates the log without a vote.
func (m Members) IsLearner(n Node) bool { return contains(m.Learners, n) }

// Contains reports whether n is a voter or a learner.
func (m Members) Contains(n Node) bool { return m.IsVoter(n) || m.IsLearner(n) }

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

// With returns a copy of m in which n is a voter or, if voter is false, a learner.
func (m Members) With(n Node, voter bool) Members {
	r := m.Without(n)
	if voter {
		r.Voters = append(r.Voters, n)
	} else {
		r.Learners = append(r.Learners, n)
	}
	return r
}

// Without returns a copy of m without n.
func (m Members) Without(n Node) Members {
	return Members{Voters: without(m.Voters, n), Learners: without(m.Learners, n)}
}

// HardState is the Raft hard state, which must be synced to disk before any message is answered.
type HardState struct {
	Term Term `cbor:"1,keyasint"`
	Vote Node `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state of the state machine at Index and replaces all entries up to it.
type Snapshot struct {
	Index   Index   `cbor:"1,keyasint"`
	Term    Term    `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}

// MessageKind is the type of a message between nodes.
type MessageKind uint8

// The message kinds.
const (
	PreVote MessageKind = iota + 1
	PreVoteResponse
	Vote
	VoteResponse
	AppendEntries
	AppendResponse
	InstallSnapshot
	TimeoutNow
)

// Message is a Raft message between two nodes.
type Message struct {
	Kind     MessageKind   `cbor:"1,keyasint"`
	From     Node          `cbor:"2,keyasint"`
	To       Node          `cbor:"3,keyasint"`
	Term     Term          `cbor:"4,keyasint"`
	Index    Index         `cbor:"5,keyasint,omitempty"` // last log index, previous index or match index, depending on Kind
	LogTerm  Term          `cbor:"6,keyasint,omitempty"` // term at Index
	Entries  []Entry       `cbor:"7,keyasint,omitempty"`
	Commit   Index         `cbor:"8,keyasint,omitempty"`
	Reject   bool          `cbor:"9,keyasint,omitempty"`
	Force    bool          `cbor:"10,keyasint,omitempty"` // vote after a leadership transfer, allowed despite a live leader
	SentAt   time.Duration `cbor:"11,keyasint,omitempty"` // leader's clock when the message was sent, echoed in the response
	Snapshot *Snapshot     `cbor:"12,keyasint,omitempty"`
}

// Output is the work that a core requests. The caller must, in this order, persist HardState, Snapshot and NewEntries,
// call MarkSynced, send Messages and apply the entries up to Commit.
type Output struct {
	HardState  *HardState
	Snapshot   *Snapshot
	NewEntries []Entry // replace all stored entries at and after the first index
	Messages   []Message
	Commit     Index
}

// Empty reports whether o contains no work.
func (o Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil && len(o.NewEntries) == 0 && len(o.Messages) == 0 && o.Commit == 0
}

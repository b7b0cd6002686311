// Package voter decides which members of the replicated log vote. It makes one change at a time, from what the leader knows of the members.
package voter

import (
	"slices"
	"time"

	"wagtaillift/internal/modules/quorum"
)

const (
	maxLag       = 200                    // entries by which a learner may lag when it gets a vote
	maxFresh     = 500 * time.Millisecond // silence up to which a member counts as answering
	freshParts   = 2                      // a member answers if it has been silent for less than Rules.Silence/freshParts
	unheardParts = 2                      // a voter that never answered this leader is silent after Rules.Silence/unheardParts
)

// Rules are the settings of the decision.
type Rules struct {
	Count   int           // voters that the log should have
	Silence time.Duration // silence after which a learner takes the place of a voter that has answered this leader
}

// View is what a decision is made on.
type View struct {
	Self    quorum.Node
	Members quorum.Members
	Commit  quorum.Index
	Peers   map[quorum.Node]quorum.Progress
	Watch   *Watch
	Leaving map[quorum.Node]bool        // members whose process is about to end as planned
	Former  map[quorum.Node]quorum.Node // of a learner on a new disk: the voter on the former disk of its VM
}

// Cause says why a change is due.
type Cause string

// The causes of changes.
const (
	Silent  Cause = "silent"  // the voter does not answer
	Leaving Cause = "leaving" // the process ends as planned
	NewDisk Cause = "disk"    // the VM of the voter has a new disk
	Vacant  Cause = "vacant"  // the log has fewer voters than it should
)

// Change is the next change of the members.
type Change struct {
	Members  quorum.Members
	Node     quorum.Node
	Promoted bool // Node gets a vote; else it is removed
	Cause    Cause
	Silence  time.Duration // of Node
}

// Next returns the next change; ok is false if none is due.
//
// A voter that does not answer is removed before its successor is promoted: in between the log bears as many losses as before, and a successor
// that fails right then is not needed. A voter that leaves as planned still answers, so its successor is promoted first, and no loss in
// between leaves the log without a majority.
func (r Rules) Next(v View) (Change, bool) {
	for _, n := range v.Members.Learners {
		if v.Leaving[n] {
			return v.remove(n, Leaving), true
		}
	}
	successor, ready := r.successor(v)
	missing := r.Count - len(v.Members.Voters)
	if old, ok := v.Former[successor]; ready && ok && r.spare(v, v.Members.Without(old).Voters) >= 0 {
		return v.remove(old, NewDisk), true
	}
	if missing > 0 {
		return v.promote(successor, Vacant), ready
	}
	if n, ok := r.findRemovable(v, r.isSilent); ok && (ready || missing < 0) {
		return v.remove(n, Silent), true
	}
	n, ok := r.findRemovable(v, isLeaving)
	if missing < 0 {
		return v.remove(n, Leaving), ok
	}
	return v.promote(successor, Leaving), ready && ok
}

func (v View) remove(n quorum.Node, c Cause) Change {
	return Change{Members: v.Members.Without(n), Node: n, Cause: c, Silence: v.Watch.Silence(n)}
}

func (v View) promote(n quorum.Node, c Cause) Change {
	return Change{Members: v.Members.With(n, true), Node: n, Promoted: true, Cause: c, Silence: v.Watch.Silence(n)}
}

// successor returns the learner that gets a vote next: one that answers and has caught up, before all others one on the new disk of a voter's VM.
func (r Rules) successor(v View) (quorum.Node, bool) {
	var list []quorum.Node
	for _, n := range v.Members.Learners {
		match := v.Peers[n].Match
		if match == 0 || match+maxLag < v.Commit || !r.answers(v, n) {
			continue
		}
		if _, ok := v.Former[n]; ok {
			return n, true
		}
		list = append(list, n)
	}
	if len(list) == 0 {
		return "", false
	}
	return list[0], true
}

// findRemovable returns the first voter that is due and without which a majority of the others answers.
func (r Rules) findRemovable(v View, due func(View, quorum.Node) bool) (quorum.Node, bool) {
	i := slices.IndexFunc(v.Members.Voters, func(n quorum.Node) bool {
		return n != v.Self && due(v, n) && r.spare(v, v.Members.Without(n).Voters) >= 0
	})
	if i < 0 {
		return "", false
	}
	return v.Members.Voters[i], true
}

// isSilent reports whether the voter n is taken for lost. One that this leader has never heard of is lost sooner: when leaders are lost one after the
// other, each of them begins to count anew.
func (r Rules) isSilent(v View, n quorum.Node) bool {
	if !v.Watch.Heard(n) {
		return v.Watch.Silence(n) > r.Silence/unheardParts
	}
	return v.Watch.Silence(n) > r.Silence
}

func isLeaving(v View, n quorum.Node) bool { return v.Leaving[n] }

// answers reports whether n is this leader or has answered it lately.
func (r Rules) answers(v View, n quorum.Node) bool {
	return n == v.Self || v.Watch.Heard(n) && r.isFresh(v, n)
}

// isFresh reports whether n answered lately or has not been watched for long.
func (r Rules) isFresh(v View, n quorum.Node) bool {
	return v.Watch.Silence(n) < min(maxFresh, r.Silence/freshParts)
}

// spare returns how many of the voters that answer are not needed for a majority; below zero there is none.
func (r Rules) spare(v View, voters []quorum.Node) int {
	n := 0
	for _, x := range voters {
		if r.answers(v, x) {
			n++
		}
	}
	return n - quorum.Majority(len(voters))
}

// Spare returns how many further voters the log can lose.
func (r Rules) Spare(v View) int { return max(0, r.spare(v, v.Members.Voters)) }

// MayRelease reports whether a voter that leaves may get a successor soon, or needs none: there are more voters than there should be, or a learner
// that answers or may do so, as a new leader has not heard of any.
func (r Rules) MayRelease(v View) bool {
	return len(v.Members.Voters) > r.Count || slices.ContainsFunc(v.Members.Learners, func(n quorum.Node) bool {
		return r.isFresh(v, n) && !v.Leaving[n]
	})
}

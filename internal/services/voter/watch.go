package voter

import (
	"time"

	"wagtaillift/internal/modules/quorum"
)

// maxStep is the most that one observation adds to a silence.
const maxStep = 400 * time.Millisecond

// Watch measures how long the other members have not answered the leader. Its time is that of the majority's latest answers: it stands still
// while the leader, its disk or all others do, so that the leader takes none of that for the silence of one member. The zero value is ready for use.
type Watch struct {
	term     quorum.Term
	majority time.Duration
	members  map[quorum.Node]answers
}

// answers is what a Watch knows of a member.
type answers struct {
	latest  time.Duration // send time of the latest message that was answered
	heard   bool          // it answered since it is watched
	silence time.Duration
}

// Observe takes in the answers to the leader of term. majority is the time, by the leader's clock, of messages that a majority has answered.
func (w *Watch) Observe(term quorum.Term, majority time.Duration, peers map[quorum.Node]quorum.Progress) {
	if w.term != term {
		*w = Watch{term: term, majority: majority}
	}
	step := min(max(0, majority-w.majority), maxStep)
	w.majority = max(w.majority, majority)
	next := make(map[quorum.Node]answers, len(peers))
	for n, p := range peers {
		m, ok := w.members[n]
		switch {
		case !ok:
			m = answers{latest: p.Acked}
		case p.Acked > m.latest:
			m = answers{latest: p.Acked, heard: true}
		default:
			m.silence += step
		}
		next[n] = m
	}
	w.members = next
}

// Silence returns how long n has not answered.
func (w *Watch) Silence(n quorum.Node) time.Duration { return w.members[n].silence }

// Heard reports whether n has answered since it is watched.
func (w *Watch) Heard(n quorum.Node) bool { return w.members[n].heard }

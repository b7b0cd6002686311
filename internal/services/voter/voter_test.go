package voter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/quorum"
)

const heartbeat = 100 * time.Millisecond

var threeVoters = Rules{Count: 3, Silence: time.Second}

// watched returns what a leader of members knows once the silent ones have not answered for the given times, and all others always have.
func watched(members quorum.Members, silent map[quorum.Node]time.Duration) View {
	const end = time.Minute
	v := View{
		Self: "a", Members: members, Commit: 100, Watch: &Watch{}, Peers: map[quorum.Node]quorum.Progress{},
		Leaving: map[quorum.Node]bool{}, Former: map[quorum.Node]quorum.Node{},
	}
	for now := end - 10*time.Second; now <= end; now += heartbeat {
		for _, list := range [][]quorum.Node{members.Voters, members.Learners} {
			for _, n := range list {
				if n != v.Self && now <= end-silent[n] {
					v.Peers[n] = quorum.Progress{Match: 100, Acked: now}
				}
			}
		}
		v.Watch.Observe(1, now, v.Peers)
	}
	return v
}

func members(voters, learners []quorum.Node) quorum.Members {
	return quorum.Members{Voters: voters, Learners: learners}
}

type nodes = []quorum.Node

func TestNext(t *testing.T) {
	const gone = 1100 * time.Millisecond
	for name, c := range map[string]struct {
		rules   Rules
		members quorum.Members
		silent  map[quorum.Node]time.Duration
		leaving nodes
		former  map[quorum.Node]quorum.Node
		change  func(*View)
		want    Change // without Members and Silence
	}{
		"nothing is due": {members: members(nodes{"a", "b", "c"}, nodes{"d"})},
		"a silent voter without a successor stays": {members: members(nodes{"a", "b", "c"}, nil), silent: map[quorum.Node]time.Duration{"b": gone}},
		"a silent voter is removed first":          {members: members(nodes{"a", "b", "c"}, nodes{"d"}), silent: map[quorum.Node]time.Duration{"b": gone}, want: Change{Node: "b", Cause: Silent}},
		"a voter that is silent for less":          {members: members(nodes{"a", "b", "c"}, nodes{"d"}), silent: map[quorum.Node]time.Duration{"b": 900 * time.Millisecond}},
		"a voter that never answered this leader is silent sooner": {members: members(nodes{"a", "b", "c"}, nodes{"d"}), change: func(v *View) {
			answers := v.Peers
			for now := time.Hour; now <= time.Hour+700*time.Millisecond; now += heartbeat {
				answers["c"], answers["d"] = quorum.Progress{Match: 100, Acked: now}, quorum.Progress{Match: 100, Acked: now}
				v.Watch.Observe(2, now, answers)
			}
		}, want: Change{Node: "b", Cause: Silent}},
		"a vacant vote":                 {members: members(nodes{"a", "c"}, nodes{"d"}), want: Change{Node: "d", Promoted: true, Cause: Vacant}},
		"a silent learner gets no vote": {members: members(nodes{"a", "c"}, nodes{"d", "e"}), silent: map[quorum.Node]time.Duration{"d": 600 * time.Millisecond}, want: Change{Node: "e", Promoted: true, Cause: Vacant}},
		"a learner that lags gets no vote": {members: members(nodes{"a", "c"}, nodes{"d"}), change: func(v *View) {
			v.Commit = 301
		}},
		"a learner that was never heard of gets no vote": {members: members(nodes{"a", "c"}, nodes{"d"}), change: func(v *View) {
			v.Watch.Observe(2, time.Hour, v.Peers)
		}},
		"a voter that leaves is replaced first":         {members: members(nodes{"a", "b", "c"}, nodes{"d"}), leaving: nodes{"b"}, want: Change{Node: "d", Promoted: true, Cause: Leaving}},
		"and then removed":                              {members: members(nodes{"a", "b", "c", "d"}, nil), leaving: nodes{"b"}, want: Change{Node: "b", Cause: Leaving}},
		"a voter that leaves without successor stays":   {members: members(nodes{"a", "b", "c"}, nil), leaving: nodes{"b"}},
		"the leader does not remove itself":             {members: members(nodes{"a", "b", "c"}, nodes{"d"}), leaving: nodes{"a"}},
		"a learner that leaves goes":                    {members: members(nodes{"a", "b", "c"}, nodes{"d"}), leaving: nodes{"b", "d"}, want: Change{Node: "d", Cause: Leaving}},
		"one voter too many":                            {members: members(nodes{"a", "b", "c", "d"}, nil), silent: map[quorum.Node]time.Duration{"c": gone}, want: Change{Node: "c", Cause: Silent}},
		"one voter too many, all of them well":          {members: members(nodes{"a", "b", "c", "d"}, nil)},
		"a new disk of a voter's VM":                    {members: members(nodes{"a", "b", "c"}, nodes{"d", "b2"}), silent: map[quorum.Node]time.Duration{"b": heartbeat}, former: map[quorum.Node]quorum.Node{"b2": "b"}, want: Change{Node: "b", Cause: NewDisk}},
		"no majority would be left":                     {rules: Rules{Count: 5, Silence: time.Second}, members: members(nodes{"a", "b", "c", "d", "e"}, nodes{"f"}), silent: map[quorum.Node]time.Duration{"b": gone, "c": gone, "d": 700 * time.Millisecond}},
		"two silent voters, the first of them":          {rules: Rules{Count: 5, Silence: time.Second}, members: members(nodes{"a", "b", "c", "d", "e"}, nodes{"f", "g"}), silent: map[quorum.Node]time.Duration{"b": gone, "c": gone}, want: Change{Node: "b", Cause: Silent}},
		"two silent voters, the vacant vote comes next": {rules: Rules{Count: 5, Silence: time.Second}, members: members(nodes{"a", "c", "d", "e"}, nodes{"f", "g"}), silent: map[quorum.Node]time.Duration{"c": gone}, want: Change{Node: "f", Promoted: true, Cause: Vacant}},
	} {
		t.Run(name, func(t *testing.T) {
			if c.rules.Count == 0 {
				c.rules = threeVoters
			}
			v := watched(c.members, c.silent)
			for _, n := range c.leaving {
				v.Leaving[n] = true
			}
			if c.former != nil {
				v.Former = c.former
			}
			if c.change != nil {
				c.change(&v)
			}
			got, ok := c.rules.Next(v)
			require.Equal(t, c.want.Node != "", ok)
			if !ok {
				return
			}
			require.Equal(t, c.want, Change{Node: got.Node, Promoted: got.Promoted, Cause: got.Cause})
			if got.Promoted {
				require.Equal(t, c.members.With(got.Node, true), got.Members)
			} else {
				require.Equal(t, c.members.Without(got.Node), got.Members)
			}
		})
	}
}

// The leader stood still, or its disk did: nobody answered it for seconds, and one of the others answers first when it goes on.
func TestLeaderThatStoodStillTakesNobodyForSilent(t *testing.T) {
	v := watched(members(nodes{"a", "b", "c"}, nodes{"d"}), nil)
	stood := time.Minute + 5*time.Second
	for range 20 { // its loop went on
		v.Watch.Observe(1, time.Minute, v.Peers)
	}
	v.Peers["b"], v.Peers["d"] = quorum.Progress{Match: 100, Acked: stood}, quorum.Progress{Match: 100, Acked: stood}
	v.Watch.Observe(1, stood, v.Peers)
	_, ok := threeVoters.Next(v)
	require.False(t, ok)
	require.LessOrEqual(t, v.Watch.Silence("c"), maxStep)
}

func TestSpare(t *testing.T) {
	for name, c := range map[string]struct {
		voters nodes
		silent map[quorum.Node]time.Duration
		want   int
	}{
		"all are well":    {nodes{"a", "b", "c"}, nil, 1},
		"one is silent":   {nodes{"a", "b", "c"}, map[quorum.Node]time.Duration{"b": time.Second}, 0},
		"two are silent":  {nodes{"a", "b", "c"}, map[quorum.Node]time.Duration{"b": time.Second, "c": time.Second}, 0},
		"five":            {nodes{"a", "b", "c", "d", "e"}, nil, 2},
		"an even number":  {nodes{"a", "b", "c", "d"}, nil, 1},
		"the leader only": {nodes{"a"}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, threeVoters.Spare(watched(members(c.voters, nil), c.silent)))
		})
	}
}

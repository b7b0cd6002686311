package quorum

import "time"

// campaign starts the pre-vote round.
func (c *Core) campaign(now time.Duration) {
	c.resetDeadline(now)
	c.leader = ""
	if !c.Members().Voter(c.opt.Self) {
		return
	}
	c.role = PreCandidate
	c.votes = map[Node]bool{c.opt.Self: true}
	if c.won() {
		c.startVote(now, false)
		return
	}
	c.askVotes(Message{Kind: PreVote, Term: c.hard.Term + 1})
}

// startVote starts an election in a new term.
func (c *Core) startVote(now time.Duration, force bool) {
	if !c.Members().Voter(c.opt.Self) || c.role == Leader {
		return
	}
	c.resetDeadline(now)
	c.setHard(Hard{Term: c.hard.Term + 1, Vote: c.opt.Self})
	c.role, c.leader = Candidate, ""
	c.votes = map[Node]bool{c.opt.Self: true}
	if c.won() {
		c.lead(now)
		return
	}
	c.askVotes(Message{Kind: Vote, Force: force})
}

func (c *Core) askVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.term(c.log.last())
	for _, n := range c.Members().Voters {
		if n != c.opt.Self {
			m.To = n
			c.send(m)
		}
	}
}

func (c *Core) won() bool {
	n := 0
	for _, v := range c.Members().Voters {
		if c.votes[v] {
			n++
		}
	}
	return n >= c.majority()
}

// upToDate reports whether a candidate's log is at least as complete as this node's.
func (c *Core) upToDate(m Message) bool {
	last := c.log.last()
	t := c.log.term(last)
	return m.LogTerm > t || m.LogTerm == t && m.Index >= last
}

// answerPreVote answers a pre-vote for a later term without taking that term.
func (c *Core) answerPreVote(now time.Duration, m Message) bool {
	reject := c.leaderAlive(now) || !c.upToDate(m)
	t := m.Term
	if reject {
		t = c.hard.Term
	}
	c.send(Message{Kind: PreVoteAnswer, To: m.From, Term: t, Reject: reject})
	return false
}

func (c *Core) answerVote(now time.Duration, m Message) {
	if m.Kind == PreVote {
		c.answerPreVote(now, m)
		return
	}
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	alive := c.leaderAlive(now) && !m.Force
	grant := free && !alive && c.role != Leader && c.upToDate(m)
	if grant && c.hard.Vote == "" {
		c.setHard(Hard{Term: c.hard.Term, Vote: m.From})
	}
	if grant {
		c.resetDeadline(now)
	}
	c.send(Message{Kind: VoteAnswer, To: m.From, Reject: !grant})
}

func (c *Core) countVote(now time.Duration, m Message) {
	if m.Reject {
		return
	}
	switch {
	case c.role == PreCandidate && m.Kind == PreVoteAnswer && m.Term == c.hard.Term+1:
		c.votes[m.From] = true
		if c.won() {
			c.startVote(now, false)
		}
	case c.role == Candidate && m.Kind == VoteAnswer && m.Term == c.hard.Term:
		c.votes[m.From] = true
		if c.won() {
			c.lead(now)
		}
	}
}

// lead makes this node the leader of its term.
func (c *Core) lead(now time.Duration) {
	c.role, c.leader = Leader, c.opt.Self
	c.elected, c.votes, c.moving, c.reads = now, nil, "", nil
	c.peers = map[Node]*progress{}
	c.append(Entry{Kind: Blank})
	c.broadcast(now)
}

// Transfer hands leadership to n, or to the most complete other voter where n is empty. Until it is done or given
// up the leader accepts no proposals and its lease counts as ended. It returns false where no target can take over.
func (c *Core) Transfer(now time.Duration, n Node) bool {
	if c.role != Leader {
		return false
	}
	if n == "" {
		n = c.successor(now)
	}
	p, ok := c.peers[n]
	if !ok || !c.Members().Voter(n) || n == c.opt.Self {
		return false
	}
	c.moving, c.movingEnd = n, now+2*c.opt.Election
	if p.match == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: n})
		return true
	}
	c.replicate(now, n)
	return true
}

// successor returns the voter that has the most of the log among those heard lately.
func (c *Core) successor(now time.Duration) Node {
	var best Node
	var most Index
	for _, n := range c.Members().Voters {
		p := c.peers[n]
		if n == c.opt.Self || p == nil || !p.heard || now-p.acked > c.opt.Election {
			continue
		}
		if best == "" || p.match > most {
			best, most = n, p.match
		}
	}
	return best
}

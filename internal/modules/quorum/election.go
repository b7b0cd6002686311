package quorum

import "time"

// startPreVote starts a pre-vote round. On a node that is not a voter it only resets the election deadline and clears
// the leader.
func (c *Core) startPreVote(now time.Duration) {
	c.resetElectionDeadline(now)
	c.leader = ""
	if !c.Members().IsVoter(c.opt.Self) {
		return
	}
	c.role = PreCandidate
	c.votes = map[Node]bool{c.opt.Self: true}
	if c.hasVoteMajority() {
		c.startElection(now, false)
		return
	}
	c.requestVotes(Message{Kind: PreVote, Term: c.hardState.Term + 1})
}

// startElection starts an election in a new term. force marks an election after a leadership transfer.
func (c *Core) startElection(now time.Duration, force bool) {
	if !c.Members().IsVoter(c.opt.Self) || c.role == Leader {
		return
	}
	c.resetElectionDeadline(now)
	c.setHardState(HardState{Term: c.hardState.Term + 1, Vote: c.opt.Self})
	c.role, c.leader = Candidate, ""
	c.votes = map[Node]bool{c.opt.Self: true}
	if c.hasVoteMajority() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(Message{Kind: Vote, Force: force})
}

// requestVotes sends m, a pre-vote or vote request, to every other voter.
func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.term(c.log.lastIndex())
	for _, n := range c.Members().Voters {
		if n != c.opt.Self {
			m.To = n
			c.send(m)
		}
	}
}

// hasVoteMajority reports whether a majority of the voters granted their vote.
func (c *Core) hasVoteMajority() bool {
	n := 0
	for _, v := range c.Members().Voters {
		if c.votes[v] {
			n++
		}
	}
	return n >= c.quorumSize()
}

// upToDate reports whether the candidate's log in m is at least as complete as this node's.
func (c *Core) upToDate(m Message) bool {
	lastIndex := c.log.lastIndex()
	t := c.log.term(lastIndex)
	return m.LogTerm > t || m.LogTerm == t && m.Index >= lastIndex
}

// handlePreVote answers a pre-vote without adopting its term. It always returns false: Step must not process the
// message further.
func (c *Core) handlePreVote(now time.Duration, m Message) bool {
	reject := c.leaderAlive(now) || !c.upToDate(m)
	t := m.Term
	if reject {
		t = c.hardState.Term
	}
	c.send(Message{Kind: PreVoteResponse, To: m.From, Term: t, Reject: reject})
	return false
}

func (c *Core) handleVote(now time.Duration, m Message) {
	if m.Kind == PreVote {
		c.handlePreVote(now, m)
		return
	}
	free := c.hardState.Vote == "" || c.hardState.Vote == m.From
	alive := c.leaderAlive(now) && !m.Force
	grant := free && !alive && c.role != Leader && c.upToDate(m)
	if grant && c.hardState.Vote == "" {
		c.setHardState(HardState{Term: c.hardState.Term, Vote: m.From})
	}
	if grant {
		c.resetElectionDeadline(now)
	}
	c.send(Message{Kind: VoteResponse, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteResponse(now time.Duration, m Message) {
	if m.Reject {
		return
	}
	switch {
	case c.role == PreCandidate && m.Kind == PreVoteResponse && m.Term == c.hardState.Term+1:
		c.votes[m.From] = true
		if c.hasVoteMajority() {
			c.startElection(now, false)
		}
	case c.role == Candidate && m.Kind == VoteResponse && m.Term == c.hardState.Term:
		c.votes[m.From] = true
		if c.hasVoteMajority() {
			c.becomeLeader(now)
		}
	}
}

// becomeLeader makes this node the leader of its term and appends a no-op entry.
func (c *Core) becomeLeader(now time.Duration) {
	c.role, c.leader = Leader, c.opt.Self
	c.electedAt, c.votes, c.transferTarget, c.pendingReads = now, nil, "", nil
	c.peers = map[Node]*progress{}
	c.append(Entry{Kind: NoOp})
	c.broadcast(now)
}

// Transfer transfers leadership to n, or to the voter with the most complete log if n is empty. Until the transfer
// completes or is abandoned, the leader accepts no proposals and has no lease. It returns false if this node is not the
// leader or no voter can take over.
func (c *Core) Transfer(now time.Duration, n Node) bool {
	if c.role != Leader {
		return false
	}
	if n == "" {
		n = c.TransferTarget(now, nil)
	}
	p, ok := c.peers[n]
	if !ok || !c.Members().IsVoter(n) || n == c.opt.Self {
		return false
	}
	c.transferTarget, c.transferDeadline = n, now+2*c.opt.ElectionTimeout
	if p.match == c.log.lastIndex() {
		c.send(Message{Kind: TimeoutNow, To: n})
		return true
	}
	c.replicateTo(now, n)
	return true
}

// TransferTarget returns the other voter with the highest match index among those that answered within the last election timeout, and that avoid
// does not hold if there is a choice.
func (c *Core) TransferTarget(now time.Duration, avoid map[Node]bool) Node {
	var best Node
	var bestMatch Index
	for _, n := range c.Members().Voters {
		p := c.peers[n]
		if n == c.opt.Self || p == nil || !p.responded || now-p.ackedSendTime > c.opt.ElectionTimeout {
			continue
		}
		if best == "" || avoid[best] && !avoid[n] || avoid[best] == avoid[n] && p.match > bestMatch {
			best, bestMatch = n, p.match
		}
	}
	return best
}

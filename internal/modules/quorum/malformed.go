package quorum

import (
	"time"

	"github.com/juju/errors"
)

// check returns an error for a message that no correct node sends. Such a message must not reach the log, from which it would be
// applied everywhere, or end the process.
func (c *Core) check(now time.Duration, m Message) error {
	if m.From == "" || m.From == c.opt.Self {
		return errors.NotValidf("sender %q", m.From)
	}
	switch m.Kind {
	case PreVote, PreVoteResponse, Vote, VoteResponse, TimeoutNow:
		return nil
	case AppendEntries:
		return c.checkEntries(m)
	case InstallSnapshot:
		if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term || len(m.Snapshot.Members.Voters) == 0 {
			return errors.NotValidf("snapshot")
		}
		return nil
	case AppendResponse:
		return c.checkResponse(now, m)
	}
	return errors.NotValidf("message kind %d", m.Kind)
}

// checkEntries checks that entries follow each other from the index of m on, and leave committed ones as they are.
func (c *Core) checkEntries(m Message) error {
	term := Term(0)
	for k, e := range m.Entries {
		switch {
		case e.Index != m.Index+1+Index(k):
			return errors.NotValidf("entry %d at place %d after %d", e.Index, k, m.Index)
		case e.Term < term || e.Term > m.Term:
			return errors.NotValidf("term %d of entry %d in term %d", e.Term, e.Index, m.Term)
		case e.Kind > MembersChange || e.Kind == MembersChange && (e.Members == nil || len(e.Members.Voters) == 0):
			return errors.NotValidf("entry %d of kind %d", e.Index, e.Kind)
		case e.Index > c.log.snapshot.Index && e.Index <= c.log.commit && c.log.term(e.Index) != e.Term:
			return errors.NotValidf("entry %d of term %d: term %d is committed there, so it", e.Index, e.Term, c.log.term(e.Index))
		}
		term = e.Term
	}
	return nil
}

// checkResponse checks that a response to this leader is one to a message that it has sent.
func (c *Core) checkResponse(now time.Duration, m Message) error {
	if c.role != Leader || m.Term != c.hardState.Term {
		return nil
	}
	if !m.Reject && m.Index > c.log.lastIndex() {
		return errors.NotValidf("acknowledgement of entry %d after the last, %d", m.Index, c.log.lastIndex())
	}
	if m.SentAt > now {
		return errors.NotValidf("answer to a message of %s, at %s", m.SentAt, now)
	}
	return nil
}

package inbound

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a connection that waits for its client.
type candidate struct {
	conn     *Conn
	unread   bool          // no request has been read, so that its client loses none
	kept     bool          // between two requests
	progress time.Duration // when the client last made progress
	bytes    int64         // that are free when it is closed
}

// candidate returns c as a candidate, if it waits for its client.
func (c *Conn) candidate() (candidate, bool) {
	p := phase(c.phase.Load())
	writing := c.writing.Load()
	return candidate{
		conn: c, unread: p != running && p != body && !writing, kept: p == kept && !writing, progress: time.Duration(c.progress.Load()),
		bytes: connBytes + max(c.told.Load(), c.received.Load()),
	}, p != running || writing
}

// Patience is how long a connection may be without progress before it may be closed in favour of others.
type Patience struct {
	Unread  time.Duration // while no request of it has been read
	Request time.Duration // while a body is received or an answer is written
}

// due returns when c may be closed.
func (p Patience) due(c candidate) time.Duration {
	if c.unread {
		return c.progress + p.Unread
	}
	return c.progress + p.Request
}

// chooseStalled returns which of list to close so that bytes are free: none before p allows it, those between two requests last, and of the
// others those that have waited longest first. Next is when there may be more of them.
func chooseStalled(now time.Duration, p Patience, list []candidate, bytes int64) (chosen []candidate, next time.Duration) {
	next = now + min(p.Unread, p.Request)
	stalled := list[:0:0]
	for _, c := range list {
		if due := p.due(c); due > now {
			next = min(next, due)
			continue
		}
		stalled = append(stalled, c)
	}
	slices.SortFunc(stalled, func(a, b candidate) int {
		if a.kept != b.kept {
			if a.kept {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.progress, b.progress)
	})
	for _, c := range stalled {
		if bytes <= 0 {
			return chosen, now
		}
		chosen = append(chosen, c)
		bytes -= c.bytes
	}
	return chosen, next
}

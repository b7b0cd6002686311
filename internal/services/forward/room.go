package forward

import (
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/services/quarantine"
)

// States of a call's body beside the number of the attempt that uses it.
const (
	bodyKept    = 0
	bodyDropped = -1
)

// beginAttempt must be called before c is sent. After the last attempt that may have run, the body is needed only if the upstream refuses c.
func (c *Call) beginAttempt(last bool) {
	c.attempt++
	c.lastAttempt = last
	c.bodyState.Store(c.attempt)
}

// endAttempt must be called when the upstream of the attempt has begun to answer, or failed.
func (c *Call) endAttempt() {
	c.lastAttempt = false
	c.bodyState.CompareAndSwap(c.attempt, bodyKept)
}

// bodyGone reports whether the body was given up, so that c cannot be sent again. It must not be called during an attempt.
func (c *Call) bodyGone() bool { return c.bodyState.Load() == bodyDropped }

// KeepBody keeps the room of the body while an attempt writes it. A large body is given up when it was written for what may be the last
// time and room is scarce: if the upstream refuses it, so does this VM.
func (c *Call) KeepBody() (done func(written bool)) {
	n, last := c.attempt, c.lastAttempt
	c.Room.Keep()
	return func(written bool) {
		if written && last && c.Room.Scarce() && c.bodyState.CompareAndSwap(n, bodyDropped) {
			c.Body = nil
			c.Room.Release()
		}
		c.Room.Release()
	}
}

// dropBody gives the body up.
func (c *Call) dropBody() {
	if !c.bodyGone() {
		c.bodyState.Store(bodyDropped)
		c.Body = nil
		c.Room.Release()
	}
}

// Release gives back the room that c has taken. C must not be sent afterwards.
func (c *Call) Release() {
	c.dropBody()
	c.answers.Release()
}

// print returns the fingerprint that identifies c among repeated requests. The request target takes the place of the
// service. Requests without a body share it if they have the same target; the first that completes clears all of them.
func (c *Call) print() quarantine.Fingerprint {
	if !c.printed || c.printedFor != c.customer.ID {
		c.fingerprint = quarantine.NewFingerprint(c.customer.ID, id.Service(c.Target), c.Body)
		c.printed, c.printedFor = true, c.customer.ID
	}
	return c.fingerprint
}

// readAnswer reads the body of an answer up to maxBufferedBytes, as far as there is room. Whole reports whether it was read to its end.
func (c *Call) readAnswer(a *Answer) (data []byte, whole bool, err error) {
	c.answers.Budget, c.answers.Use, c.answers.Customer = c.Room.Budget, memory.Answer, c.customer.ID
	return memory.ReadSome(&c.answers, a.Body, maxBufferedBytes)
}

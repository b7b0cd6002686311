package place

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// View is one engine at the moment of a decision.
type View struct {
	Reading id.Tokens     // prompt tokens sent to it and not read yet, from all VMs
	Running int           // requests at it, from all VMs
	Slots   int           // requests it runs at once
	Speed   float64       // prompt tokens it reads in a millisecond, as learnt
	Cached  id.Tokens     // leading tokens of the job that it keeps
	Fetch   id.Tokens     // further ones that it can copy from another engine
	Copy    time.Duration // how long that takes
	Remote  bool          // it is in another data centre
	Faults  float64       // part of its latest answers that failed
	Apart   bool          // it only reads prompts, and hands them on to an engine that generates
	Place   uint64        // rank of the engine for the job's leading part, equal on all VMs
}

// Job is what a decision is about.
type Job struct {
	Tokens    id.Tokens // of the prompt
	Bytes     int       // of the request
	Objective time.Duration
	Waited    time.Duration // since the caller's request arrived
	Lenient   float64       // how late, in objectives, an answer is still worth its engine time
	Begun     bool          // it was sent before: it goes on wherever it can, however late
}

const (
	firstToken = 15 * time.Millisecond // beyond reading: one step of a batch and the way
	// farByte is the delay of a first token that moving a byte of the request between data centres is worth.
	farByte = 10 * time.Microsecond
	// apartWeight and inPlaceWeight are how much a millisecond of reading, which all requests of an engine pay, counts
	// against one of waiting, which only this one pays. Reading in place also holds up the answers that the engine generates.
	apartWeight   = 1.0
	inPlaceWeight = 6.0
	// handOn is the time in which a read prompt moves to the engine that generates.
	handOn = 15 * time.Millisecond
	// copySetup is the time in which a copy from another engine begins, and copyWeight how much a millisecond of copying
	// counts: links are shared and their use is paid for.
	copySetup  = 8 * time.Millisecond
	copyWeight = 2.0
	faultDelay = 400 * time.Millisecond // an engine that fails every answer is avoided up to this wait
	fullDelay  = 300 * time.Millisecond // beyond its slots a request waits for another to end
)

// Rule names what decided.
type Rule string

// The rules of a decision.
const (
	Cached Rule = "cached" // the engine keeps leading parts of the prompt
	Copied Rule = "copied" // the engine copies leading parts from another one
	Least  Rule = "least"  // no engine keeps any; the soonest takes it
	Late   Rule = "late"   // no engine can answer in time
	None   Rule = "none"   // there is no engine
)

// Choice is a decision with its inputs.
type Choice struct {
	Index  int // in the views; -1 where none takes the job
	Rule   Rule
	Wait   time.Duration // predicted time to the first token
	Queue  time.Duration // of it, before this prompt is read
	Unread id.Tokens
}

// reading returns how long v takes to read n tokens.
func (v *View) reading(n id.Tokens) time.Duration {
	return time.Duration(float64(n) / v.Speed * float64(time.Millisecond))
}

// queue returns how long v is busy before it reads another prompt.
func (v *View) queue() time.Duration {
	q := v.reading(v.Reading)
	if v.Slots > 0 && v.Running >= v.Slots {
		q += fullDelay
	}
	return q
}

// copies reports whether v copies leading parts of j from another engine in place of reading them.
func (v *View) copies() bool {
	return v.Fetch > 0 && copySetup+time.Duration(copyWeight*float64(v.Copy)) < time.Duration((1+v.weight())*float64(v.reading(v.Fetch)))
}

func (v *View) weight() float64 {
	if v.Apart {
		return apartWeight
	}
	return inPlaceWeight
}

// unread returns the tokens of j that v has to read.
func (v *View) unread(j *Job) id.Tokens {
	n := j.Tokens - v.Cached
	if v.copies() {
		n -= v.Fetch
	}
	return max(0, n)
}

// cost is what a choice of v costs the job and the requests after it.
func (v *View) cost(j *Job) time.Duration {
	read := v.reading(v.unread(j))
	c := v.queue() + read + time.Duration(v.weight()*float64(read))
	if v.Apart {
		c += handOn
	}
	if v.copies() {
		c += copySetup + time.Duration(copyWeight*float64(v.Copy))
	}
	if v.Remote {
		c += time.Duration(j.Bytes) * farByte
	}
	return c + time.Duration(v.Faults*float64(faultDelay))
}

// Choose returns the engine at which j costs least. It answers bursts of prompts with shared leading parts: those meet
// the engine that keeps the part until its queue costs more than reading the part again elsewhere. Where even that
// engine's first token would come too late to be worth its engine time, none takes the job: it is turned away at once.
func Choose(views []View, j *Job) Choice {
	best := -1
	var least time.Duration
	for i := range views {
		c := views[i].cost(j)
		if best < 0 || c < least || c == least && views[i].Place > views[best].Place {
			best, least = i, c
		}
	}
	if best < 0 {
		return Choice{Index: -1, Rule: None}
	}
	v := &views[best]
	unread := v.unread(j)
	out := Choice{Index: best, Rule: Least, Unread: unread, Queue: v.queue(), Wait: v.queue() + v.reading(unread) + firstToken}
	switch {
	case v.copies():
		out.Rule = Copied
		out.Wait += copySetup + v.Copy
	case v.Cached > 0:
		out.Rule = Cached
	}
	if !j.Begun && late(&out, v.reading(unread), j) {
		out.Index, out.Rule = -1, Late
	}
	return out
}

// late reports whether the first token comes too late. A prompt's own reading counts as at most half of the objective,
// so that large prompts are not turned away for their size.
func late(c *Choice, read time.Duration, j *Job) bool {
	own := min(read, j.Objective/2)
	limit := time.Duration(j.Lenient * float64(j.Objective))
	return j.Waited+c.Queue+own > limit
}

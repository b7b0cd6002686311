// Package place selects the engine that serves a model request, or rejects the request if no engine can answer in time.
// Its functions are pure and work on a snapshot of the engines.
package place

import (
	"time"

	"wagtaillift/internal/modules/id"
)

// View is the state of one engine at the time of a decision.
type View struct {
	QueuedTokens   id.Tokens     // prompt tokens that all VMs have sent to it and that it has not processed
	Running        int           // requests in flight from all VMs
	Slots          int           // requests that it runs concurrently
	PrefillSpeed   float64       // prompt tokens that it processes per millisecond, measured
	Cached         id.Tokens     // length of the prompt prefix in its cache
	CopyableTokens id.Tokens     // prefix tokens beyond Cached that it can copy from another engine
	CopyTime       time.Duration // duration of that copy
	Remote         bool          // in another data centre
	FailureRate    float64       // share of its recent answers that failed
	PrefillOnly    bool          // only processes prompts, and transfers the result to an engine that generates
	Rank           uint64        // hash of the engine and the prompt's prefix, equal on all VMs; the highest wins a tie
}

// Job is the request to place.
type Job struct {
	Tokens         id.Tokens // of the prompt
	RequestBytes   int       // size of the request
	Objective      time.Duration
	Waited         time.Duration // since the request arrived
	LatenessFactor float64       // multiple of Objective up to which a late answer is still worth the engine time
	Retried        bool          // sent to an engine before: never rejected as late
}

const (
	firstTokenOverhead = 15 * time.Millisecond // beyond prompt processing: one batch step and the network
	// remoteDelayPerByte is the first-token delay accepted to avoid moving one byte of the request between data centres.
	remoteDelayPerByte = 10 * time.Microsecond
	// prefillOnlyWeight and mixedWeight weigh prompt processing time, which delays all requests of an engine,
	// against queueing time, which delays only this one. On an engine that also generates, prompt processing delays the
	// answers being generated as well.
	prefillOnlyWeight = 1.0
	mixedWeight       = 6.0
	// kvTransferTime is the time to transfer a processed prompt to the engine that generates.
	kvTransferTime = 15 * time.Millisecond
	// copySetupTime is the latency before a copy from another engine starts. copyWeight weighs the copy time, because
	// links are shared and their traffic is billed.
	copySetupTime  = 8 * time.Millisecond
	copyWeight     = 2.0
	failurePenalty = 400 * time.Millisecond // delay accepted to avoid an engine all of whose answers fail
	fullPenalty    = 300 * time.Millisecond // wait for a free slot if all slots are in use
)

// Rule is the reason for a decision.
type Rule string

// The rules of a decision.
const (
	Cached Rule = "cached" // the engine has a prefix of the prompt cached
	Copied Rule = "copied" // the engine copies a prefix of the prompt from another engine
	Least  Rule = "least"  // no prefix is cached on the selected engine; it has the lowest cost
	Late   Rule = "late"   // no engine can answer in time
	None   Rule = "none"   // there is no engine
)

// Choice is a decision and the estimates behind it.
type Choice struct {
	Index           int // into the views; -1 if the job is rejected
	Rule            Rule
	FirstTokenDelay time.Duration // estimated
	QueueDelay      time.Duration // part of FirstTokenDelay before the prompt is processed
	TokensToPrefill id.Tokens     // prompt tokens that the engine has to process
}

// prefillTime returns how long v takes to process n prompt tokens.
func (v *View) prefillTime(n id.Tokens) time.Duration {
	return time.Duration(float64(n) / v.PrefillSpeed * float64(time.Millisecond))
}

// queueDelay returns how long v is busy before it starts on another prompt.
func (v *View) queueDelay() time.Duration {
	q := v.prefillTime(v.QueuedTokens)
	if v.Slots > 0 && v.Running >= v.Slots {
		q += fullPenalty
	}
	return q
}

// shouldCopy reports whether copying a prefix from another engine costs v less than processing it.
func (v *View) shouldCopy() bool {
	return v.CopyableTokens > 0 && copySetupTime+time.Duration(copyWeight*float64(v.CopyTime)) < time.Duration((1+v.prefillWeight())*float64(v.prefillTime(v.CopyableTokens)))
}

func (v *View) prefillWeight() float64 {
	if v.PrefillOnly {
		return prefillOnlyWeight
	}
	return mixedWeight
}

// tokensToPrefill returns the prompt tokens of j that v has to process.
func (v *View) tokensToPrefill(j *Job) id.Tokens {
	n := j.Tokens - v.Cached
	if v.shouldCopy() {
		n -= v.CopyableTokens
	}
	return max(0, n)
}

// cost returns the delay, weighted, that placing j on v causes to j and to later requests.
func (v *View) cost(j *Job) time.Duration {
	prefill := v.prefillTime(v.tokensToPrefill(j))
	c := v.queueDelay() + prefill + time.Duration(v.prefillWeight()*float64(prefill))
	if v.PrefillOnly {
		c += kvTransferTime
	}
	if v.shouldCopy() {
		c += copySetupTime + time.Duration(copyWeight*float64(v.CopyTime))
	}
	if v.Remote {
		c += time.Duration(j.RequestBytes) * remoteDelayPerByte
	}
	return c + time.Duration(v.FailureRate*float64(failurePenalty))
}

// Choose returns the engine with the lowest cost for j. In a burst of prompts with a shared prefix, the requests go to
// the engine that has the prefix cached until its queue costs more than processing the prefix again on another engine.
// If even that engine would answer too late to be worth its engine time, the job is rejected at once.
func Choose(views []View, j *Job) Choice {
	best := -1
	var least time.Duration
	for i := range views {
		c := views[i].cost(j)
		if best < 0 || c < least || c == least && views[i].Rank > views[best].Rank {
			best, least = i, c
		}
	}
	if best < 0 {
		return Choice{Index: -1, Rule: None}
	}
	v := &views[best]
	tokensToPrefill := v.tokensToPrefill(j)
	out := Choice{Index: best, Rule: Least, TokensToPrefill: tokensToPrefill, QueueDelay: v.queueDelay(), FirstTokenDelay: v.queueDelay() + v.prefillTime(tokensToPrefill) + firstTokenOverhead}
	switch {
	case v.shouldCopy():
		out.Rule = Copied
		out.FirstTokenDelay += copySetupTime + v.CopyTime
	case v.Cached > 0:
		out.Rule = Cached
	}
	if !j.Retried && tooLate(&out, v.prefillTime(tokensToPrefill), j) {
		out.Index, out.Rule = -1, Late
	}
	return out
}

// tooLate reports whether the first token comes too late. The prompt's own processing time counts as at most half of
// the objective, so that large prompts are not rejected for their size.
func tooLate(c *Choice, prefill time.Duration, j *Job) bool {
	own := min(prefill, j.Objective/2)
	limit := time.Duration(j.LatenessFactor * float64(j.Objective))
	return j.Waited+c.QueueDelay+own > limit
}

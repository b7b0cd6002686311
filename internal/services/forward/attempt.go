package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/route"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/shutdown"
)

const (
	maxUnsentRetries        = 4                       // retries on other upstreams after attempts that sent no byte
	maxNotRunRetries        = 1                       // retries after an upstream refused the request without running it
	firstEventTimeoutFactor = 3.0                     // maximum silence before the first event of a resumable stream, as a multiple of the objective
	minSilenceTimeout       = 1500 * time.Millisecond // lower bound of the maximum silence, both before and between events
	gapTimeoutFactor        = 4.0                     // maximum silence within a resumable stream, as a multiple of the route's event gap
	safeTimeoutFactor       = 1.5                     // minimum time for an attempt at a safe call, as a multiple of the objective; half of the remaining time if that is longer
	drainTimeout            = 50 * time.Millisecond   // for the body of a refusal, whose only use is that the connection can be kept
	minRetryTime            = 20 * time.Millisecond   // time left below which a request that may have run is not retried
	deadlineMargin          = 30 * time.Millisecond   // between the last moment for an attempt and the caller's deadline
)

// errConfigChanged means that the request was not sent because the decision made for it no longer holds.
const errConfigChanged = errors.ConstError("the decision for the request changed before it was sent")

// errSilent ends an attempt at a silent upstream so that another one can be tried.
const errSilent = errors.ConstError("the upstream fell silent")

// progress is the state of a call across its attempts.
type progress struct {
	unsentCount     int             // attempts that sent no byte
	notRunCount     int             // attempts that the upstream refused without running the request
	possibleRuns    int             // attempts that the upstream may have run
	answerBegun     bool            // part of the answer was sent to the caller
	skipPrefillOnly bool            // a prefill-only engine refused or lost the prompt
	failedAnswer    *bufferedAnswer // an upstream's 5xx answer, passed on if no later attempt succeeds
	tried           map[id.Upstream]bool
	retryAfter      time.Duration // minimum Retry-After of the refusal if no upstream took the call; never set
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	Answer
	body []byte
}

// run makes attempts until the call is answered or no further attempt is allowed.
func (f *Forwarder) run(parent context.Context, c *Call, p *progress, out Sink) error {
	ctx, cancel := context.WithDeadline(parent, c.deadline.Add(-deadlineMargin))
	defer cancel()
	if len(c.attempts) == 0 {
		f.retryBudget(c).Earn(f.Retries.Ratio)
	}
	for {
		sel, err := f.choose(ctx, c, p)
		if err != nil {
			return f.finish(parent, ctx, c, p, err, out)
		}
		if sel.prefill {
			err = f.prefill(ctx, c, sel, p, out)
		} else {
			err = f.attempt(ctx, c, sel, "", p, out)
		}
		sel.release()
		f.recordAttempt(c, sel, err)
		if err == nil {
			return nil
		}
		if !f.shouldRetry(ctx, c, p, err) {
			return f.finish(parent, ctx, c, p, err, out)
		}
	}
}

// recordAttempt adds an attempt to the log line of the request.
func (f *Forwarder) recordAttempt(c *Call, sel *selection, err error) {
	a := call.Attempt{Upstream: sel.u.Name, Version: sel.u.Version, Rule: sel.rule, Load: float64(sel.firstEventDelay.Milliseconds())}
	if err != nil {
		a.Error = err.Error()
	}
	c.attempts = append(c.attempts, a)
}

// attemptError is the reason why an attempt did not answer the call.
type attemptError struct {
	err    error
	sent   bool // at least one byte of the request was sent
	notRun bool // the upstream reported that it did not run the request
}

// Error returns the cause.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// shouldRetry reports whether another attempt is safe, within the budget and likely to finish in time.
func (f *Forwarder) shouldRetry(ctx context.Context, c *Call, p *progress, err error) bool {
	var ae *attemptError
	if ctx.Err() != nil || c.bodyGone() || !errors.As(err, &ae) || errors.Is(err, upstream.ErrNotAllowed) {
		return false
	}
	switch {
	case !ae.sent:
		p.unsentCount++
		return p.unsentCount <= maxUnsentRetries
	case ae.notRun:
		p.notRunCount++
		return p.notRunCount <= maxNotRunRetries && f.spendRetry(c)
	}
	if p.answerBegun && c.route.Kind != route.Stream {
		return false // a second run would be a second answer
	}
	if !c.repeatable() || p.possibleRuns >= c.route.MaxAttempts || time.Until(c.deadline) < minRetryTime {
		return false
	}
	return f.spendRetry(c)
}

// finish ends a call after its last attempt: it returns the error for the caller, or delivers the failed answer that was
// kept.
func (f *Forwarder) finish(parent, ctx context.Context, c *Call, p *progress, err error, out Sink) error {
	var ae *attemptError
	sent := c.sent
	switch {
	case errors.Is(err, upstream.ErrNotAllowed):
		return errConfigChanged
	case parent.Err() != nil && !errors.Is(context.Cause(parent), shutdown.ErrEnded):
		return ErrCallerGone
	case p.answerBegun:
		return ErrTruncated
	case p.failedAnswer != nil:
		return f.deliver(out, p.failedAnswer)
	case parent.Err() != nil && !sent:
		return refuseStopping()
	case parent.Err() != nil:
		return failedRefusal(http.StatusGatewayTimeout, call.Stopping, true, "this VM stops before the answer", err)
	case ctx.Err() != nil:
		return failedRefusal(http.StatusGatewayTimeout, call.Deadline, sent, "the time is over", err)
	}
	var r *call.Refusal
	if errors.As(err, &r) {
		if sent {
			return failedRefusal(http.StatusBadGateway, call.UpstreamFailed, true, "no upstream is left", err)
		}
		return r
	}
	if errors.As(err, &ae) && !sent {
		retryAfter := max(p.retryAfter, shortRetryAfter)
		return refuse(http.StatusServiceUnavailable, call.Busy, "no upstream took the request: "+err.Error()).WithRetryAfter(AddJitter(retryAfter, c.ID))
	}
	return failedRefusal(http.StatusBadGateway, call.UpstreamFailed, sent, "the upstream failed", err)
}

func failedRefusal(status int, code call.Code, sent bool, reason string, err error) error {
	return &call.Refusal{Status: status, Code: code, Run: call.RunIfSent(sent), Step: step, Reason: reason, Err: err}
}

// prefill processes the prompt on sel and generates the answer on another engine.
func (f *Forwarder) prefill(ctx context.Context, c *Call, sel *selection, p *progress, out Sink) error {
	start := time.Now()
	result, sent, err := f.UpstreamClient.Read(ctx, f.newTarget(c, sel), c)
	if err == nil {
		f.observe(sel, result.Signals, !result.NotRun)
		if result.NotRun {
			err = errors.New("the prompt was refused")
		}
	}
	if err != nil {
		p.skipPrefillOnly = true
		p.tried[sel.u.Name] = true
		before := c.sent
		err = f.attemptFailed(ctx, c, sel, p, sent, err)
		c.sent = before // processing a prompt does not run the request
		var ae *attemptError
		if errors.As(err, &ae) && sent {
			p.possibleRuns--
			ae.notRun = true
		}
		return err
	}
	sel.finishPrefill()
	took := time.Since(start)
	if sel.tokensToPrefill >= minSpeedSampleTokens && sel.queuedTokens < sel.tokensToPrefill {
		sel.u.Stats.Read(true, sel.tokensToPrefill+sel.queuedTokens, took)
	}
	next, err := f.chooseDecoder(ctx, c, p, sel.u)
	if err != nil {
		return err
	}
	sel.release()
	defer next.release()
	f.caches.add(next.u, c, cacheMemoryRatio)
	err = f.attempt(ctx, c, next, result.Source, p, out)
	if err != nil {
		p.skipPrefillOnly = true // the engine hands out a processed prompt only once
	}
	f.recordAttempt(c, next, err)
	return err
}

// attempt sends c to one upstream and passes the answer on.
func (f *Forwarder) attempt(ctx context.Context, c *Call, sel *selection, source string, p *progress, out Sink) error {
	p.tried[sel.u.Name] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := f.silenceTimer(ctx, c, sel, p, cancel)
	defer silence.stop()
	start := time.Now()
	t := f.newTarget(c, sel)
	t.PromptSource = source
	if f.mustConfirm(clock.SinceBoot(), c) {
		t.Incarnation = sel.u.Incarnation
	}
	last := !c.repeatable() || p.possibleRuns+1 >= c.route.MaxAttempts
	c.beginAttempt(last)
	a, sent, err := f.UpstreamClient.Send(ctx, t, c)
	c.endAttempt()
	if err != nil {
		return f.attemptFailed(ctx, c, sel, p, sent, err)
	}
	f.observe(sel, a.Signals, a.Status/100 == 2)
	if a.NotRun {
		drain(a)
		sel.u.Stats.RecordOutcome(clock.SinceBoot(), false)
		return &attemptError{err: errors.Errorf("status %d, not run", a.Status), sent: true, notRun: true}
	}
	if last {
		c.dropBody()
	}
	switch {
	case a.Stream && a.Status/100 == 2:
		err = f.forwardStream(c, sel, p, a, out, silence, start)
	case p.answerBegun:
		a.Release(false)
		err = errors.Errorf("status %d in place of the rest of a stream", a.Status)
	case a.Status/100 == 2 && c.wantsStream():
		a.Release(false)
		f.countUsage(c)
		err = errors.Errorf("status %d without a stream", a.Status)
	default:
		err = f.forwardPlain(c, sel, p, a, out)
	}
	if err == nil || errors.Is(err, ErrCallerGone) || errors.Is(err, errFailureKept) {
		sel.u.Stats.RecordOutcome(clock.SinceBoot(), a.Status/100 == 5)
		if err == nil && a.Status/100 == 2 {
			f.recordAnswer(c, sel, a)
		}
		return err
	}
	return f.attemptFailed(ctx, c, sel, p, true, err)
}

// observe records what the upstream of sel said of itself in its answer. Only a success shows that it names no rate any more.
func (f *Forwarder) observe(sel *selection, s Signals, success bool) {
	now := clock.SinceBoot()
	if success || s.Rate > 0 {
		f.Pace.Observe(now, sel.u, s.Rate, sel.sentAt)
	}
	if s.Leaving {
		f.Roster.NoteLeaving(now, sel.u.Name, sel.u.Incarnation)
	}
	if s.Hold > 0 {
		sel.u.Hold(now, s.Hold)
		klog.V(1).InfoS("Upstream held", "upstream", sel.u.Name, "for", s.Hold)
	}
}

// recordAnswer records that sel completed c. The end of an answer without a frame may also be a crash.
func (f *Forwarder) recordAnswer(c *Call, sel *selection, a *Answer) {
	if a.Framed {
		f.Detector.Completed(clock.SinceBoot(), sel.u, c.runAt(sel))
		return
	}
	klog.InfoS("Answer ended with its connection", "request", c.ID, "upstream", sel.u.Name, "events", c.events, "parts", quarantine.JoinPrints(c.SharedParts))
	f.Detector.Answered(clock.SinceBoot(), sel.u, c.runAt(sel))
}

// drain reads the rest of a small body so that its connection can be reused, and closes the connection if the body is long
// or slow.
func drain(a *Answer) {
	timeout := time.AfterFunc(drainTimeout, func() { a.Release(false) })
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, copyBufferBytes))
	if timeout.Stop() {
		a.Release(err == nil && n < copyBufferBytes)
	}
}

// newTarget returns the destination and options for sending c to the upstream of sel.
func (f *Forwarder) newTarget(c *Call, sel *selection) Target {
	t := Target{
		Upstream: sel.u.Name, Address: sel.u.Address, CopyFrom: sel.copyFrom, Customer: c.customer.ID, TimeLeft: time.Until(c.deadline), Rank: c.rank, LastEventID: c.LastEventID,
		Allow: func() bool { return f.stillAllowed(c) && takesRequests(sel.u) && time.Until(c.deadline) > 0 },
	}
	if c.lastEventID != "" {
		t.LastEventID = c.lastEventID
	}
	if n := c.service.MaxConnections; n > 0 {
		t.MaxConnections = max(1, n/(f.Members()+spareVMs))
	}
	return t
}

// takesRequests reports whether u, which was chosen earlier, still takes requests of this VM.
func takesRequests(u *roster.Upstream) bool { return u.Held(clock.SinceBoot()) == 0 && !u.Leaves() }

// attemptFailed records a failed attempt against its upstream, unless the failure is not the upstream's fault.
func (f *Forwarder) attemptFailed(ctx context.Context, c *Call, sel *selection, p *progress, sent bool, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.WithType(err, causeOf(cause))
	}
	c.sent = c.sent || sent
	if sent {
		p.possibleRuns++
		f.Detector.Ended(clock.SinceBoot(), sel.u, c.runAt(sel))
	}
	// Neither the caller nor the deadline ended the attempt.
	stillWanted := ctx.Err() == nil || errors.Is(err, errSilent)
	switch {
	case sent && !stillWanted && !p.answerBegun && f.hung(c, sel):
		sel.u.Stats.RecordOutcome(clock.SinceBoot(), true)
	case errors.Is(err, upstream.ErrNotAllowed) || errors.Is(err, upstream.ErrTooManyConns) || !stillWanted:
	case !sent:
		sel.u.Stats.RecordOutcome(clock.SinceBoot(), true)
		sel.u.Stats.OpenCircuit(clock.SinceBoot())
	default:
		sel.u.Stats.RecordOutcome(clock.SinceBoot(), true)
		f.checkCrash(ctx, c, sel)
	}
	klog.InfoS("Attempt failed", "request", c.ID, "fingerprint", c.print(), "parts", quarantine.JoinPrints(c.SharedParts), "upstream", sel.u.Name, "version", sel.u.Version, "address", sel.u.Address, "sent", sent, "events", c.events, "err", err)
	return &attemptError{err: err, sent: sent}
}

// hung reports whether c waited at the upstream of sel for so long without an answer that the upstream, not the caller or the deadline, is
// the reason for its end.
func (f *Forwarder) hung(c *Call, sel *selection) bool {
	return c.route.Objective > 0 && clock.SinceBoot()-sel.sentAt >= scaleDuration(c.route.Objective, firstEventTimeoutFactor)
}

// causeOf returns the cause of a context's cancellation as a constant error.
func causeOf(cause error) errors.ConstError {
	if errors.Is(cause, errSilent) {
		return errSilent
	}
	return errors.ConstError(cause.Error())
}

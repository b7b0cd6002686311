package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/burn"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
	"wagtaillift/internal/services/route"
	"wagtaillift/internal/services/shutdown"
)

// progress is the state of a response over all attempts of a call.
type progress struct {
	attempts int          // including the current one
	repeats  int          // retries of an upstream already tried
	tokens   id.Tokens    // delivered to the caller
	version  string       // software version of the engine that generated the first token
	chunks   bytes.Buffer // JSON chunks delivered to the caller, one per line
	sent     bool         // an attempt sent bytes to an upstream
	now      bool         // the current attempt sent bytes to its upstream
	final    *final
	sentAt   time.Duration // clock.SinceBoot at the start of the current attempt
}

// RunModel runs a chat or completion call and resumes it on other engines until the end event arrives. It writes the response
// to out, which must report errors that occur after the first chunk.
func (d *Dispatcher) RunModel(ctx context.Context, c *call.Call, out Sink) error {
	p := quarantine.NewFingerprint(c.Customer, c.Service.ID, c.Body)
	if err := d.checkQuarantine(c, p); err != nil {
		return err
	}
	d.budgets.Get(budgetOf(c)).Earn(c.Config.Resolve(policy.RetryRatio, c.Customer, c.Service.ID).Value)
	var pr progress
	tried := map[id.Upstream]bool{}
	for attempt := 0; attempt < maxAttempts; attempt++ {
		err := d.attemptModel(ctx, c, out, &pr, p, tried)
		if err == nil {
			return nil
		}
		if errors.Is(err, errReservedForOther) && ctx.Err() == nil {
			attempt-- // no upstream was tried
			pause.For(ctx, isolationRetryDelay)
			continue
		}
		if final := d.finalError(ctx, c, &pr, attempt, err); final != nil {
			return final
		}
	}
	return failureRefusal(&pr, errors.New("no attempt is left"))
}

// finalError returns the error for the caller if no attempt may follow err, otherwise nil.
func (d *Dispatcher) finalError(ctx context.Context, c *call.Call, pr *progress, attempt int, err error) error {
	var writeErr callerError
	if errors.As(err, &writeErr) {
		return &call.Refusal{Status: statusClientClosedRequest, Code: call.UpstreamFailed, Run: call.RunYes, Step: step, Reason: "the caller has gone", Err: err}
	}
	var r *call.Refusal
	if errors.As(err, &r) {
		if pr.sent && r.Run == call.RunNo {
			r.Run = call.RunUnknown
		}
		return r
	}
	if ctx.Err() != nil {
		return contextRefusal(c, pr)
	}
	if attempt+1 == maxAttempts || !d.allowRetry(c) {
		return failureRefusal(pr, err)
	}
	return nil
}

// contextRefusal returns the refusal for a call whose caller disconnected or whose deadline passed.
func contextRefusal(c *call.Call, pr *progress) error {
	run := call.RunIfSent(pr.sent)
	switch ended := errors.Is(context.Cause(c.R.Context()), shutdown.ErrEnded); {
	case ended && !pr.sent:
		return refuseStopping()
	case ended:
		return &call.Refusal{Status: http.StatusGatewayTimeout, Code: call.Stopping, Run: run, Step: step, Reason: "this VM stops before the answer"}
	case c.R.Context().Err() != nil:
		return &call.Refusal{Status: statusClientClosedRequest, Code: call.UpstreamFailed, Run: run, Step: step, Reason: "the caller has gone"}
	}
	return &call.Refusal{
		Status: http.StatusGatewayTimeout, Code: call.Deadline, Run: run, Step: step, Reason: "the deadline has passed",
	}
}

// statusClientClosedRequest is nginx's non-standard status for a caller that closed its connection.
const statusClientClosedRequest = 499

// failureRefusal returns the refusal for a call whose last attempt failed with err.
func failureRefusal(pr *progress, err error) error {
	return &call.Refusal{
		Status: http.StatusBadGateway, Code: call.UpstreamFailed, Run: call.RunIfSent(pr.sent), RetryAfter: retryAfter, Step: step,
		Reason: "the upstreams failed", Err: err,
	}
}

// attemptModel makes one attempt of a model call.
func (d *Dispatcher) attemptModel(
	ctx context.Context, c *call.Call, out Sink, pr *progress, p quarantine.Fingerprint, tried map[id.Upstream]bool,
) error {
	kvBlocks := requiredKVBlocks(c)
	list := func() []*roster.Upstream { return d.Roster.Snapshot().Models[c.Service.Model] }
	retrying := len(tried) > 0
	q := d.newQuery(c, kvBlocks, p, tried)
	pr.keepVersion(q)
	ch, release, err := d.pick(ctx, c, list, q, retrying)
	if err != nil {
		return err
	}
	defer release()
	u := ch.Upstream
	pr.now = false
	unreserve, ok := d.isolateSuspect(u.Name, p)
	if !ok {
		return errReservedForOther
	}
	defer unreserve()
	pr.waitBeforeRetry(ctx, tried[u.Name])
	if err := d.checkQuarantine(c, p); err != nil {
		return err
	}
	if err := d.checkStopping(c, pr); err != nil {
		return err
	}
	tried[u.Name], pr.sentAt = true, clock.SinceBoot()
	pr.attempts++
	err = d.stream(ctx, c, u, out, pr, tried)
	recordAttempt(c, ch, err)
	if err == nil {
		u.Stats.RecordSuccess()
		d.Detector.Completed(clock.SinceBoot(), u, quarantine.Run{Request: newSuspect(c, p), SentAt: pr.sentAt})
		return nil
	}
	d.recordEnd(c, u, pr, p)
	var writeErr callerError
	if ctx.Err() != nil || errors.As(err, &writeErr) {
		return err
	}
	u.Stats.RecordFailure(clock.SinceBoot())
	return d.checkCrash(c, u, pr, p, err)
}

// checkCrash checks whether u crashed during the attempt that failed with err. If the crash quarantines the request, it
// returns the refusal, otherwise err.
func (d *Dispatcher) checkCrash(c *call.Call, u *roster.Upstream, pr *progress, p quarantine.Fingerprint, err error) error {
	if !pr.now || errors.Is(err, errRefusedByEngine) || d.Roster.Leaving(u.Name, u.Incarnation) || !d.crashed(u) {
		return err
	}
	now := clock.SinceBoot()
	d.Roster.MarkCrashed(now, u.Name, u.Incarnation)
	duration := d.hold(c)
	d.Detector.Confirm(u.Name, u.Incarnation)
	if _, refused := d.quarantined(c, p); !refused {
		return err
	}
	return &call.Refusal{
		Status: http.StatusUnprocessableEntity, Code: call.Quarantined, Run: call.RunYes, RetryAfter: duration, Step: step,
		Peer: string(u.Name), Reason: "this request crashed the engines that ran it", Err: err,
	}
}

// stream sends c to u and relays tokens until the end event.
func (d *Dispatcher) stream(ctx context.Context, c *call.Call, u *roster.Upstream, out Sink, pr *progress, tried map[id.Upstream]bool) error {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := c.Model.Encode(c.OutputTokens, pr.resume())
	if err != nil {
		return err
	}
	path := "/v1/completions"
	if c.Kind == call.Chat {
		path = "/v1/chat/completions"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "build request to %s", u.Address)
	}
	r.GetBody = nil // keeps the transport from retrying on its own
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(headerRequest, string(c.ID))
	r.Header.Set(headerDeadline, time.Until(c.Deadline).Round(time.Millisecond).String())
	silence := newSilenceTimer(d.leaveSilent(ctx, c, u, pr, tried, cancel))
	defer silence.stop()
	resp, sent, err := d.Client.Do(r)
	pr.sent, pr.now = pr.sent || sent, sent
	if err != nil {
		return errors.Annotatef(err, "send to upstream %s", u.Address)
	}
	defer resp.Body.Close()
	if namesOther(resp, c.ID) {
		return errors.Annotatef(errWrongRequest, "answer of upstream %s", u.Address)
	}
	d.observeAnswer(u, resp, pr.sentAt)
	if pr.tokens == 0 {
		pr.version = u.Version
	}
	if err := checkStream(resp, c.ID); err != nil {
		return errors.Annotatef(err, "answer of upstream %s", u.Address)
	}
	p := latencyTracker{stats: u.Stats, start: start, resumedFrom: pr.tokens}
	if err = relay(resp.Body, c.ID, out, pr, &p, silence); err == nil {
		p.checkTokenGap(pr.tokens)
	}
	return errors.Annotatef(err, "stream from upstream %s", u.Address)
}

// keepVersion excludes engines of other software versions once a token was delivered, because engines of different versions do not
// continue each other's answers.
func (pr *progress) keepVersion(q *route.Query) {
	if pr.tokens == 0 {
		return
	}
	exclude := func(other func(*roster.Upstream) bool) func(*roster.Upstream) bool {
		return func(u *roster.Upstream) bool { return u.Version != pr.version || other(u) }
	}
	q.Exclude = exclude(q.Exclude)
	if q.FallbackExclude != nil {
		q.FallbackExclude = exclude(q.FallbackExclude)
	}
}

// resume returns the state from which the next engine continues, or nil if no token was delivered.
func (pr *progress) resume() *call.Resume {
	if pr.tokens == 0 {
		return nil
	}
	return &call.Resume{Tokens: pr.tokens, Text: chunksText(pr.chunks.Bytes())}
}

// latencyTracker measures the token latency of one attempt. It adapts the engine's concurrency limit to whether the service
// level is met: at the first token, after the first few tokens, and at the end.
type latencyTracker struct {
	stats        *roster.Stats
	start        time.Time
	firstTokenAt time.Time
	resumedFrom  id.Tokens // tokens delivered by earlier attempts
}

// A response counts as slow for the engine's concurrency limit above these percentages of the service-level limits. The token
// gap is first checked after firstGapCheck tokens.
const (
	firstTokenPercent = 50
	tokenGapPercent   = 75
	firstGapCheck     = 8
)

// recordToken records the arrival of one token; tokens is the number delivered so far, including earlier attempts.
func (p *latencyTracker) recordToken(tokens id.Tokens) {
	switch {
	case p.firstTokenAt.IsZero():
		p.firstTokenAt = time.Now()
		p.report(p.firstTokenAt.Sub(p.start) <= burn.FirstTokenLimit*firstTokenPercent/100)
	case tokens-p.resumedFrom == firstGapCheck:
		p.checkTokenGap(tokens)
	}
}

// checkTokenGap checks the mean time between tokens against the service level.
func (p *latencyTracker) checkTokenGap(tokens id.Tokens) {
	if n := tokens - p.resumedFrom; n > 1 {
		p.report(time.Since(p.firstTokenAt)/time.Duration(n-1) <= burn.TokenGapLimit*tokenGapPercent/100)
	}
}

// report adapts the engine's concurrency limit; good means that the service level was met.
func (p *latencyTracker) report(good bool) {
	if p.stats != nil {
		p.stats.AdaptLimit(clock.SinceBoot(), good)
	}
}

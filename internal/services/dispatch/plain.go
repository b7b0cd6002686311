package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/memory"
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

// maxBufferedAnswer is how many bytes of a response are buffered before its first byte goes to the caller.
const maxBufferedAnswer = 1 << 20

// The headers that are passed between callers and applications. All others are dropped, above all the caller's API key.
var (
	requestHeaders = []string{
		"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match",
		"If-Modified-Since", "If-Unmodified-Since", "If-Range", "Range", "User-Agent",
	}
	answerHeaders = []string{
		"Content-Type", "Content-Language", "Content-Disposition", "Content-Range", "Accept-Ranges", "Cache-Control",
		"ETag", "Expires", "Last-Modified", "Location", "Vary", "Allow", "Retry-After",
	}
)

// Answer is the response of an application. Rest is the stream that follows Body, nil if Body is complete.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	Length int64 // declared length in bytes, -1 if unknown
	Whole  bool  // Body is the whole body, and its end was marked
}

// ToClaim returns the form that is stored for replaying; ok is false if the response was too large to buffer.
func (a *Answer) ToClaim() (*claim.Answer, bool) {
	if a.Rest != nil {
		return nil, false
	}
	return &claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body}, true
}

// RunPlain runs a call to an application. A non-idempotent call is retried only if no byte of it was sent.
func (d *Dispatcher) RunPlain(ctx context.Context, c *call.Call) (*Answer, error) {
	p := quarantine.NewFingerprint(c.Customer, c.Service.ID, append([]byte(c.R.Method+c.Path+"\n"), c.Body...))
	if err := d.checkQuarantine(c, p); err != nil {
		return nil, err
	}
	d.budgets.Get(budgetOf(c)).Earn(c.Config.Resolve(policy.RetryRatio, c.Customer, c.Service.ID).Value)
	var pr progress
	tried := map[id.Upstream]bool{}
	for attempt := 0; attempt < maxAttempts; attempt++ {
		a, retryable, err := d.attemptPlain(ctx, c, &pr, p, tried)
		if err == nil {
			return a, nil
		}
		if errors.Is(err, errReservedForOther) && ctx.Err() == nil {
			attempt-- // no upstream was tried
			pause.For(ctx, isolationRetryDelay)
			continue
		}
		if !retryable {
			attempt = maxAttempts - 1
		}
		if final := d.finalError(ctx, c, &pr, attempt, err); final != nil {
			return nil, final
		}
	}
	return nil, failureRefusal(&pr, errors.New("no attempt is left"))
}

// attemptPlain makes one attempt of a plain call; retryable reports whether another one is safe.
func (d *Dispatcher) attemptPlain(
	ctx context.Context, c *call.Call, pr *progress, p quarantine.Fingerprint, tried map[id.Upstream]bool,
) (a *Answer, retryable bool, err error) {
	list := func() []*roster.Upstream { return d.Roster.Snapshot().Services[c.Service.ID] }
	ch, release, err := d.pick(ctx, c, list, d.newQuery(c, 1, p, tried), len(tried) > 0)
	if err != nil {
		return nil, false, err
	}
	defer release()
	u := ch.Upstream
	unreserve, ok := d.isolateSuspect(u.Name, p)
	if !ok {
		return nil, true, errReservedForOther
	}
	defer unreserve()
	pr.waitBeforeRetry(ctx, tried[u.Name])
	if err := d.checkQuarantine(c, p); err != nil {
		return nil, false, err
	}
	if err := d.checkStopping(c, pr); err != nil {
		return nil, false, err
	}
	tried[u.Name], pr.sentAt = true, clock.SinceBoot()
	a, sent, err := d.roundTrip(ctx, c, u, pr)
	pr.sent, pr.now = pr.sent || sent, sent
	recordAttempt(c, ch, err)
	if err == nil {
		u.Stats.RecordSuccess()
		if a.Status/100 == 2 {
			d.recordAnswer(c, u, pr, p, a)
		}
		return a, false, nil
	}
	d.recordEnd(c, u, pr, p)
	if ctx.Err() == nil {
		u.Stats.RecordFailure(clock.SinceBoot())
		err = d.checkCrash(c, u, pr, p, err)
	}
	replayable := c.Body != nil || c.R.Body == nil || c.R.Body == http.NoBody
	return nil, replayable && (c.Idempotent || !sent), err
}

// recordAnswer records that u completed c. The end of an answer without a frame may also be a crash.
func (d *Dispatcher) recordAnswer(c *call.Call, u *roster.Upstream, pr *progress, p quarantine.Fingerprint, a *Answer) {
	run := quarantine.Run{Request: newSuspect(c, p), SentAt: pr.sentAt}
	if a.Whole {
		d.Detector.Completed(clock.SinceBoot(), u, run)
		return
	}
	d.Detector.Answered(clock.SinceBoot(), u, run)
}

// roundTrip sends c to u and reads the start of the response. It also reports whether any byte was sent.
func (d *Dispatcher) roundTrip(ctx context.Context, c *call.Call, u *roster.Upstream, pr *progress) (*Answer, bool, error) {
	target := "http://" + u.Address + c.Path
	if q := c.R.URL.RawQuery; q != "" {
		target += "?" + q
	}
	body := io.Reader(c.R.Body)
	if c.Body != nil {
		body = bytes.NewReader(c.Body)
	}
	r, err := http.NewRequestWithContext(ctx, c.R.Method, target, body)
	if err != nil {
		return nil, false, errors.Annotatef(err, "build request to %s", u.Address)
	}
	r.GetBody = nil // keeps the transport from retrying on its own
	if c.Body == nil {
		r.ContentLength = c.R.ContentLength
	}
	copyHeaders(r.Header, c.R.Header, requestHeaders)
	r.Header.Set(headerRequest, string(c.ID))
	r.Header.Set(headerDeadline, time.Until(c.Deadline).Round(time.Millisecond).String())
	resp, sent, err := d.Client.Do(r)
	if err != nil {
		return nil, sent, errors.Annotatef(err, "send to upstream %s", u.Address)
	}
	if namesOther(resp, c.ID) {
		resp.Body.Close()
		return nil, true, errors.Annotatef(errWrongRequest, "answer of upstream %s", u.Address)
	}
	d.observeAnswer(u, resp, pr.sentAt)
	a, err := readAnswer(resp, c)
	return a, true, errors.Annotatef(err, "answer of upstream %s", u.Address)
}

// copyHeaders copies the headers in names.
func copyHeaders(to, from http.Header, names []string) {
	for _, n := range names {
		if v := from.Values(n); len(v) > 0 {
			to[http.CanonicalHeaderKey(n)] = v
		}
	}
}

// readAnswer checks that the response belongs to c and reads up to maxBufferedAnswer bytes of it, as far as there is room. It closes the body of a
// response to another request unread, so that the connection is not reused.
func readAnswer(resp *http.Response, c *call.Call) (*Answer, error) {
	if got := resp.Header.Get(headerRequest); got != string(c.ID) {
		resp.Body.Close()
		return nil, errWrongRequest
	}
	a := &Answer{Status: resp.StatusCode, Header: http.Header{}, Length: resp.ContentLength}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	copyHeaders(a.Header, resp.Header, answerHeaders)
	c.Answer.Give(c.Answer.Held()) // of an earlier attempt
	data, whole, err := memory.ReadSome(&c.Answer, resp.Body, maxBufferedAnswer)
	if err != nil {
		resp.Body.Close()
		return nil, errors.Annotate(err, "read answer")
	}
	a.Body = data
	if whole {
		resp.Body.Close()
		a.Whole = framed
		return a, nil
	}
	a.Rest = resp.Body
	return a, nil
}

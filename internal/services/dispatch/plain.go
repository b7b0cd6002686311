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
	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

// bufferedAnswer is the largest answer that is held whole before its first byte goes to the caller.
const bufferedAnswer = 1 << 20

// The headers that pass between callers and applications. All others stay behind, the caller's key first of all.
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

// Answer is an application's answer. Rest is what follows Body, nil where Body is all of it.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	Length int64 // declared length, -1 where unknown
}

// Claimed returns the form kept for a resend; ok is false where the answer is too large to keep.
func (a *Answer) Claimed() (*claim.Answer, bool) {
	if a.Rest != nil {
		return nil, false
	}
	return &claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body}, true
}

// Plain runs a call of an application. A non-idempotent call is sent again only where no byte of it was sent.
func (d *Dispatcher) Plain(ctx context.Context, c *call.Call) (*Answer, error) {
	p := quarantine.Fingerprint(c.Customer, c.Service.ID, append([]byte(c.R.Method+c.Path+"\n"), c.Body...))
	if wait, refused := d.Quarantine.Refused(clock.Boot(), p); refused {
		return nil, call.Refuse(http.StatusUnprocessableEntity, call.Quarantined, step,
			"this request crashed the upstreams that ran it").After(wait)
	}
	d.budgets.Get(budgetOf(c)).Earn(c.Config.Resolve(policy.Retries, c.Customer, c.Service.ID).Value)
	var pr progress
	tried := map[id.Upstream]bool{}
	for attempt := 0; attempt < maxAttempts; attempt++ {
		a, repeat, err := d.plainOnce(ctx, c, &pr, p, tried)
		if err == nil {
			return a, nil
		}
		if errors.Is(err, errSuspect) && ctx.Err() == nil {
			attempt-- // nothing was tried
			pause.For(ctx, suspectPause)
			continue
		}
		if !repeat {
			attempt = maxAttempts - 1
		}
		if stop := d.giveUp(ctx, c, &pr, attempt, err); stop != nil {
			return nil, stop
		}
	}
	return nil, failed(&pr, errors.New("no attempt is left"))
}

// plainOnce makes one attempt; repeat says whether another one is safe.
func (d *Dispatcher) plainOnce(
	ctx context.Context, c *call.Call, pr *progress, p quarantine.Print, tried map[id.Upstream]bool,
) (a *Answer, repeat bool, err error) {
	list := func() []*roster.Upstream { return d.Roster.Snapshot().Services[c.Service.ID] }
	ch, leave, err := d.pick(ctx, c, list, d.query(c, 1, p, tried), len(tried) > 0)
	if err != nil {
		return nil, false, err
	}
	defer leave()
	u := ch.Upstream
	free, ok := d.isolate(u.Name, p)
	if !ok {
		return nil, true, errSuspect
	}
	defer free()
	pr.waitAgain(ctx, tried[u.Name])
	tried[u.Name] = true
	a, sent, err := d.exchange(ctx, c, u)
	pr.sent, pr.now = pr.sent || sent, sent
	note(c, ch, err)
	if err == nil {
		u.Work.Succeed()
		return a, false, nil
	}
	if ctx.Err() == nil {
		u.Work.Fail(clock.Boot())
		err = d.blame(c, u, pr, p, err)
	}
	replayable := c.Body != nil || c.R.Body == nil || c.R.Body == http.NoBody
	return nil, replayable && (c.Idempotent || !sent), err
}

// exchange sends c to u and reads the start of the answer.
func (d *Dispatcher) exchange(ctx context.Context, c *call.Call, u *roster.Upstream) (*Answer, bool, error) {
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
	r.GetBody = nil // the transport must not send it again by itself
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
	takeLoad(u, resp.Header)
	a, err := readAnswer(resp, c.ID)
	return a, true, errors.Annotatef(err, "answer of upstream %s", u.Address)
}

func copyHeaders(to, from http.Header, names []string) {
	for _, n := range names {
		if v := from.Values(n); len(v) > 0 {
			to[http.CanonicalHeaderKey(n)] = v
		}
	}
}

// readAnswer reads up to bufferedAnswer bytes and checks that the answer belongs to the request. A foreign answer is
// dropped with its connection.
func readAnswer(resp *http.Response, want id.Request) (*Answer, error) {
	if got := resp.Header.Get(headerRequest); got != string(want) {
		resp.Body.Close()
		return nil, errForeign
	}
	a := &Answer{Status: resp.StatusCode, Header: http.Header{}, Length: resp.ContentLength}
	copyHeaders(a.Header, resp.Header, answerHeaders)
	data, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer))
	if err != nil {
		resp.Body.Close()
		return nil, errors.Annotate(err, "read answer")
	}
	a.Body = data
	if len(data) < bufferedAnswer {
		resp.Body.Close()
		return a, nil
	}
	a.Rest = resp.Body
	return a, nil
}

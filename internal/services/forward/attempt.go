package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
)

const (
	mostUnsent   = 4       // upstreams that are tried where no byte reaches the one before
	mostNotRun   = 1       // times that a request is sent again after an upstream refused it
	wholeBytes   = 1 << 20 // an answer up to this size is read whole before its first byte goes to the caller
	copyBytes    = 16 << 10
	firstQuiet   = 3.0 // silence before the first event of a resumable stream, in objectives, after which it moves on
	leastQuiet   = 1500 * time.Millisecond
	gapQuiet     = 4.0 // silence inside a resumable stream, in the longest gaps that are on time
	quickRepeat  = 1.5 // time for a first attempt of a call that may run again, in objectives
	leastLeft    = 20 * time.Millisecond
	answerMargin = 30 * time.Millisecond // before the caller's time is over
)

// errChanged says that the request was held back because what was decided for it no longer holds.
const errChanged = errors.ConstError("the configuration changed before the request was sent")

// errQuiet says that a stream moves on to another upstream after a silence.
const errQuiet = errors.ConstError("the upstream fell silent")

// progress is what one call has been through.
type progress struct {
	unsent  int
	refused int
	ran     int    // attempts that may have run
	begun   bool   // part of the answer is with the caller
	inPlace bool   // an engine that only reads has refused or lost the prompt
	kept    *whole // an upstream's failure, to be passed on where nothing better comes
	tried   map[id.Upstream]bool
	back    time.Duration // when an upstream that refused the call is asked again
}

// whole is an answer that was read to its end.
type whole struct {
	Answer
	body []byte
}

// run makes attempts until the call is answered or given up.
func (f *Forwarder) run(parent context.Context, c *Call, p *progress, out Sink) error {
	ctx, cancel := context.WithDeadline(parent, c.deadline.Add(-answerMargin))
	defer cancel()
	if len(c.trail) == 0 {
		f.budgets.Get(c.service.ID).Earn(f.Retries.Part)
	}
	for {
		h, err := f.choose(c, p)
		if err != nil {
			return f.end(parent, ctx, c, p, err, out)
		}
		if h.apart {
			err = f.apart(ctx, c, h, p, out)
		} else {
			err = f.attempt(ctx, c, h, "", p, out)
		}
		h.leave()
		f.note(c, h, err)
		if err == nil {
			return nil
		}
		if !f.goOn(ctx, c, p, err) {
			return f.end(parent, ctx, c, p, err, out)
		}
	}
}

// note records an attempt for the log line of the request.
func (f *Forwarder) note(c *Call, h *chosen, err error) {
	a := call.Attempt{Upstream: h.u.Name, Rule: h.rule, Load: float64(h.wait.Milliseconds())}
	if err != nil {
		a.Error = err.Error()
	}
	c.trail = append(c.trail, a)
}

// failure is why an attempt did not answer the call.
type failure struct {
	err    error
	sent   bool // a byte of the request left
	notRun bool // the upstream says that it did not run it
}

// Error returns the cause.
func (e *failure) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *failure) Unwrap() error { return e.err }

// goOn reports whether another attempt is safe, allowed and of use.
func (f *Forwarder) goOn(ctx context.Context, c *Call, p *progress, err error) bool {
	var x *failure
	if ctx.Err() != nil || !errors.As(err, &x) || errors.Is(err, upstream.ErrBarred) {
		return false
	}
	switch {
	case !x.sent:
		p.unsent++
		return p.unsent <= mostUnsent
	case x.notRun:
		p.refused++
		return p.refused <= mostNotRun && f.again(c)
	}
	if !c.repeatable() || p.ran >= c.route.Attempts || time.Until(c.deadline) < leastLeft {
		return false
	}
	return f.again(c)
}

// end answers a call that no further attempt is made for.
func (f *Forwarder) end(parent, ctx context.Context, c *Call, p *progress, err error, out Sink) error {
	var x *failure
	sent := c.sent
	switch {
	case errors.Is(err, upstream.ErrBarred):
		return errChanged
	case parent.Err() != nil:
		return ErrGone
	case p.begun:
		return ErrCut
	case p.kept != nil:
		return f.deliver(out, p.kept)
	case ctx.Err() != nil:
		return failed(http.StatusGatewayTimeout, call.Deadline, sent, "the time is over", err)
	}
	var r *call.Refusal
	if errors.As(err, &r) {
		if sent {
			return failed(http.StatusBadGateway, call.Failed, true, "no upstream is left", err)
		}
		return r
	}
	if errors.As(err, &x) && !sent {
		back := max(p.back, soon)
		return refuse(http.StatusServiceUnavailable, call.Busy, "no upstream took the request: "+err.Error()).After(spread(back, c.ID))
	}
	return failed(http.StatusBadGateway, call.Failed, sent, "the upstream failed", err)
}

func failed(status int, code call.Code, sent bool, reason string, err error) error {
	return &call.Refusal{Status: status, Code: code, Run: call.RunIf(sent), Step: step, Reason: reason, Err: err}
}

// apart has h read the prompt and another engine generate from it.
func (f *Forwarder) apart(ctx context.Context, c *Call, h *chosen, p *progress, out Sink) error {
	at := time.Now()
	read, sent, err := f.Upstreams.Read(ctx, f.target(c, h), c)
	if err == nil && read.NotRun {
		err = errors.New("the prompt was refused")
	}
	if err != nil {
		p.inPlace = true
		p.tried[h.u.Name] = true
		was := c.sent
		err = f.broken(ctx, c, h, p, sent, err)
		c.sent = was // reading a prompt is no run
		var x *failure
		if errors.As(err, &x) && sent {
			p.ran--
			x.notRun = true
		}
		return err
	}
	h.readOff()
	took := time.Since(at)
	if h.unread >= leastRead && h.ahead < h.unread {
		h.u.Work.Read(true, h.unread+h.ahead, took)
	}
	next, err := f.chooseNext(c, p, h.u)
	if err != nil {
		return err
	}
	h.leave()
	defer next.leave()
	f.known.keep(next.u, c, memoryPart)
	err = f.attempt(ctx, c, next, read.Source, p, out)
	if err != nil {
		p.inPlace = true // the prompt can be taken once
	}
	f.note(c, next, err)
	return err
}

// attempt sends c to one upstream and passes the answer on.
func (f *Forwarder) attempt(ctx context.Context, c *Call, h *chosen, source string, p *progress, out Sink) error {
	p.tried[h.u.Name] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := f.watch(c, p, cancel)
	defer quiet.stop()
	at := time.Now()
	t := f.target(c, h)
	t.Source = source
	a, sent, err := f.Upstreams.Send(ctx, t, c)
	if err != nil {
		return f.broken(ctx, c, h, p, sent, err)
	}
	if a.NotRun {
		a.End(drain(a.Body))
		h.u.Work.Judge(false)
		return &failure{err: errors.Errorf("status %d, not run", a.Status), sent: true, notRun: true}
	}
	switch {
	case a.Stream && a.Status/100 == 2:
		err = f.stream(c, h, p, a, out, quiet, at)
	case p.begun:
		a.End(false)
		err = errors.Errorf("status %d in place of the rest of a stream", a.Status)
	default:
		err = f.plain(c, h, p, a, out)
	}
	if err == nil || errors.Is(err, ErrGone) || errors.Is(err, errAnswered) {
		h.u.Work.Judge(false)
		return err
	}
	return f.broken(ctx, c, h, p, true, err)
}

// drain reads the rest of a small body and reports whether it was whole.
func drain(r io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, copyBytes))
	return err == nil && n < copyBytes
}

// target says where and how c goes to h.
func (f *Forwarder) target(c *Call, h *chosen) Target {
	t := Target{
		Upstream: h.u.Name, Address: h.u.Address, Fetch: h.source, Customer: c.customer.ID, Left: time.Until(c.deadline), Rank: c.rank, Seen: c.Seen,
		Allow: func() bool { return f.allowed(c) && time.Until(c.deadline) > 0 },
	}
	if c.last != "" {
		t.Seen = c.last
	}
	if n := c.service.Connections; n > 0 {
		t.Connections = max(1, n/(f.Members()+connSpare))
	}
	return t
}

// broken judges an upstream that did not answer, or broke its answer off.
func (f *Forwarder) broken(ctx context.Context, c *Call, h *chosen, p *progress, sent bool, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.WithType(err, causeOf(cause))
	}
	c.sent = c.sent || sent
	if sent {
		p.ran++
	}
	mine := ctx.Err() == nil || errors.Is(err, errQuiet)
	switch {
	case errors.Is(err, upstream.ErrBarred) || errors.Is(err, upstream.ErrBusy) || !mine:
	case !sent:
		h.u.Work.Judge(true)
		h.u.Work.Trip(clock.Boot())
	default:
		h.u.Work.Judge(true)
		go f.blame(c, h)
	}
	klog.InfoS("Attempt failed", "request", c.ID, "upstream", h.u.Name, "address", h.u.Address, "sent", sent, "events", c.events, "err", err)
	return &failure{err: err, sent: sent}
}

// causeOf returns the cause of a context's end as a constant error.
func causeOf(cause error) errors.ConstError {
	if errors.Is(cause, errQuiet) {
		return errQuiet
	}
	return errors.ConstError(cause.Error())
}

// errAnswered says that the upstream's own failure was kept and another upstream may be asked.
const errAnswered = errors.ConstError("the upstream answered with a failure")

// plain passes an answer without events on. A failure of a call that may run again is kept while another upstream is
// asked.
func (f *Forwarder) plain(c *Call, h *chosen, p *progress, a *Answer, out Sink) error {
	h.readOff()
	f.began(c)
	data, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	if err != nil {
		a.End(false)
		return err
	}
	c.sent = true
	if len(data) == wholeBytes {
		p.begun = true
		return f.long(a, data, out)
	}
	a.End(true)
	w := &whole{Answer: *a, body: data}
	if a.Status/100 == 5 && c.repeatable() {
		p.kept = w
		p.ran++
		return &failure{err: errAnswered, sent: true}
	}
	return f.deliver(out, w)
}

func (f *Forwarder) deliver(out Sink, w *whole) error {
	if err := out.Begin(&w.Answer); err != nil {
		return ErrGone
	}
	if err := out.Write(w.body); err != nil {
		return ErrGone
	}
	return nil
}

// long passes an answer on that is too large to be read whole first.
func (f *Forwarder) long(a *Answer, head []byte, out Sink) error {
	if err := out.Begin(a); err != nil {
		a.End(false)
		return ErrGone
	}
	body := io.MultiReader(bytes.NewReader(head), a.Body)
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && out.Write(buf[:n]) != nil {
			a.End(false)
			return ErrGone
		}
		if errors.Is(err, io.EOF) {
			a.End(true)
			return nil
		}
		if err != nil {
			a.End(false)
			return ErrCut
		}
	}
}

// stream passes whole events on until the stream's end.
func (f *Forwarder) stream(c *Call, h *chosen, p *progress, a *Answer, out Sink, quiet *watch, at time.Time) error {
	ev := events{r: a.Body}
	first := true
	for {
		data, err := ev.next()
		if errors.Is(err, io.EOF) {
			a.End(true)
			if !p.begun {
				return f.begin(p, a, out)
			}
			return nil
		}
		if err != nil {
			a.End(false)
			return err
		}
		if first {
			first = false
			f.firstEvent(c, h, at)
		}
		if !p.begun {
			if err := f.begin(p, a, out); err != nil {
				a.End(false)
				return err
			}
		}
		if out.Write(data) != nil {
			a.End(false)
			return ErrGone
		}
		quiet.heard()
		last, n := lastID(data)
		c.events += n
		if last != "" {
			c.last = last
		}
	}
}

func (f *Forwarder) begin(p *progress, a *Answer, out Sink) error {
	p.begun = true
	if err := out.Begin(a); err != nil {
		return ErrGone
	}
	return nil
}

// leastRead is the unread prompt, in tokens, from which on the time to the first event tells an engine's speed.
const leastRead = 1000

// firstEvent counts the call and learns from how long its prompt took to read.
func (f *Forwarder) firstEvent(c *Call, h *chosen, at time.Time) {
	h.readOff()
	f.began(c)
	c.first = time.Since(c.Start)
	took := time.Since(at)
	if h.unread >= leastRead && h.ahead < h.unread {
		h.u.Work.Read(false, h.unread+h.ahead, took)
	}
}

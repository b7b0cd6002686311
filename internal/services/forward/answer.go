package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/route"
)

const (
	maxBufferedBytes = 64 << 10 // answers up to this size are buffered before their first byte goes to the caller
	copyBufferBytes  = 16 << 10
)

// errFailureKept means that a 5xx answer was kept and another upstream may be tried.
const errFailureKept = errors.ConstError("the upstream answered with a failure")

// forwardPlain passes on an answer that is not an event stream. If the call is repeatable, a 5xx answer is kept while
// another upstream is tried.
func (f *Forwarder) forwardPlain(c *Call, sel *selection, p *progress, a *Answer, out Sink) error {
	sel.finishPrefill()
	f.countUsage(c)
	data, whole, err := c.readAnswer(a)
	if err != nil {
		a.Release(false)
		return err
	}
	c.sent = true
	if !whole {
		p.answerBegun = true
		return f.forwardLarge(a, data, out)
	}
	a.Release(true)
	w := &bufferedAnswer{Answer: *a, body: data}
	if a.Status/100 == 5 && c.repeatable() {
		p.failedAnswer = w
		p.possibleRuns++
		return &attemptError{err: errFailureKept, sent: true}
	}
	return f.deliver(out, w)
}

func (f *Forwarder) deliver(out Sink, w *bufferedAnswer) error {
	if err := out.Begin(&w.Answer); err != nil {
		return ErrCallerGone
	}
	if err := out.Write(w.body); err != nil {
		return ErrCallerGone
	}
	return nil
}

// forwardLarge passes on an answer that is too large to be buffered.
func (f *Forwarder) forwardLarge(a *Answer, head []byte, out Sink) error {
	if err := out.Begin(a); err != nil {
		a.Release(false)
		return ErrCallerGone
	}
	body := io.MultiReader(bytes.NewReader(head), a.Body)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && out.Write(buf[:n]) != nil {
			a.Release(false)
			return ErrCallerGone
		}
		if errors.Is(err, io.EOF) {
			a.Release(true)
			return nil
		}
		if err != nil {
			a.Release(false)
			return ErrTruncated
		}
	}
}

// forwardStream passes on the valid blocks of a stream until its end. An invalid block is a failure of the upstream.
func (f *Forwarder) forwardStream(c *Call, sel *selection, p *progress, a *Answer, out Sink, silence *silenceTimer, start time.Time) error {
	first, joined := true, p.answerBegun
	ev := events{r: a.Body, check: f.eventCheck(c, joined)}
	for {
		b, err := ev.next()
		if errors.Is(err, io.EOF) {
			err = c.checkEnd(a, b.data, joined, first)
			a.Release(err == nil)
			f.countUsage(c)
			if err != nil || joined {
				return err
			}
			return f.endStream(c, sel, p, a, out, b.data)
		}
		if err != nil {
			a.Release(false)
			if ev.invalid != nil {
				f.countUsage(c)
				logInvalid(c, sel, a, joined, &ev)
			}
			return err
		}
		if first && b.fields {
			first = false
			f.recordFirstEvent(c, sel, start)
		}
		if !p.answerBegun {
			if err := f.beginAnswer(c, sel, p, a, out); err != nil {
				a.Release(false)
				return err
			}
		}
		if out.Write(b.data) != nil {
			a.Release(false)
			return ErrCallerGone
		}
		if b.fields {
			silence.reset()
		}
		c.events += b.events
		if b.lastID != "" {
			c.lastEventID = b.lastID
		}
	}
}

// eventCheck returns the check of the answer to the next attempt of c. The bodies of other routes than those for streams are the service's
// own, even if they are event streams.
func (f *Forwarder) eventCheck(c *Call, joined bool) eventCheck {
	if c.route.Kind != route.Stream {
		return eventCheck{}
	}
	return newEventCheck(f.EventFormat, c.resumesAfter(), joined)
}

// resumesAfter returns the ID of the last event that the caller has of the stream, or an empty string if it begins with the next answer.
func (c *Call) resumesAfter() string {
	if c.lastEventID != "" {
		return c.lastEventID
	}
	return c.LastEventID
}

// checkEnd returns an error if the end of a stream, with blocks that are neither events nor comments before it, may be that of an upstream
// that broke off. Only what goes on after an event may have none, if its end is marked.
func (c *Call) checkEnd(a *Answer, rest []byte, joined, empty bool) error {
	switch {
	case hasText(rest) && (joined || !a.Framed):
		return errTextAtEnd
	case c.wantsStream() && empty && (c.resumesAfter() == "" || !a.Framed):
		return errNoEvent
	}
	return nil
}

// endStream passes on what is left of a complete stream.
func (f *Forwarder) endStream(c *Call, sel *selection, p *progress, a *Answer, out Sink, rest []byte) error {
	if !p.answerBegun {
		if err := f.beginAnswer(c, sel, p, a, out); err != nil {
			return err
		}
	}
	if len(rest) > 0 && out.Write(rest) != nil {
		return ErrCallerGone
	}
	return nil
}

// wantsStream reports whether a success must be an event stream.
func (c *Call) wantsStream() bool {
	return c.route.Kind == route.Stream && (c.Method == http.MethodPost || c.Method == http.MethodGet)
}

// logInvalid logs and counts a stream with an invalid block. What the block holds may be a customer's.
func logInvalid(c *Call, sel *selection, a *Answer, joined bool, ev *events) {
	metrics.GetOrCreateCounter(`wagtaillift_invalid_streams_total{reason="` + ev.invalid.Error() + `"}`).Inc()
	klog.InfoS("Stream of an upstream is invalid", "request", c.ID, "upstream", sel.u.Name, "address", sel.u.Address, "connection", a.Connection, "framed", a.Framed, "joined", joined, "last", c.resumesAfter(), "err", ev.invalid)
	klog.V(1).InfoS("Invalid block", "request", c.ID, "begin", string(ev.excerpt()))
}

func (f *Forwarder) beginAnswer(c *Call, sel *selection, p *progress, a *Answer, out Sink) error {
	p.answerBegun = true
	f.recordOrigin(c, sel)
	if err := out.Begin(a); err != nil {
		return ErrCallerGone
	}
	return nil
}

// minSpeedSampleTokens is the minimum uncached prompt for which the time to the first event indicates the engine's
// prompt processing speed.
const minSpeedSampleTokens = 1000

// recordFirstEvent counts the call and updates the engine's measured prompt processing speed.
func (f *Forwarder) recordFirstEvent(c *Call, sel *selection, start time.Time) {
	sel.finishPrefill()
	f.countUsage(c)
	c.firstEventDelay = time.Since(c.Start)
	took := time.Since(start)
	if sel.tokensToPrefill >= minSpeedSampleTokens && sel.queuedTokens < sel.tokensToPrefill {
		sel.u.Stats.Read(false, sel.tokensToPrefill+sel.queuedTokens, took)
	}
}

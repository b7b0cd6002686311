package forward

import (
	"bytes"
	"io"
	"time"

	"github.com/juju/errors"
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
	var buf bytes.Buffer // doubles its size, unlike io.ReadAll
	_, err := buf.ReadFrom(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		a.Release(false)
		return err
	}
	data := buf.Bytes()
	c.sent = true
	if len(data) == maxBufferedBytes {
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

// forwardStream passes on complete events until the end of the stream. Text that is no event may be the error of an upstream that broke
// off: where the stream goes on at another upstream it is not passed on, and neither there nor without a marked end does it end the stream.
func (f *Forwarder) forwardStream(c *Call, sel *selection, p *progress, a *Answer, out Sink, silence *silenceTimer, start time.Time) error {
	ev := events{r: a.Body}
	first, joined := true, p.answerBegun
	var held []byte // blocks that are no event, passed on only if another event or the end of the stream follows
	watch := f.newWatch(c, joined)
	for {
		data, block, err := ev.next()
		if err := watch.note(data); err != nil {
			logUnsound(c, sel, a, joined, watch.last, err)
		}
		if errors.Is(err, io.EOF) && hasText(held) && (joined || !a.Framed) {
			err = errTextAtEnd
		}
		if errors.Is(err, io.EOF) {
			a.Release(true)
			if joined {
				held = nil
			}
			return f.endStream(c, sel, p, a, out, held)
		}
		if err != nil {
			a.Release(false)
			return err
		}
		if block.end == 0 {
			held = append(held, data...)
			continue
		}
		data, rest := data[:block.end], data[block.end:]
		if joined {
			data, held = withoutText(data), nil
		}
		if first {
			first = false
			f.recordFirstEvent(c, sel, start)
		}
		if !p.answerBegun {
			if err := f.beginAnswer(c, sel, p, a, out); err != nil {
				a.Release(false)
				return err
			}
		}
		if len(held) > 0 {
			data = append(held, data...)
		}
		held = append([]byte(nil), rest...)
		if out.Write(data) != nil {
			a.Release(false)
			return ErrCallerGone
		}
		if block.fields {
			silence.reset()
		}
		c.events += block.ids
		if block.lastID != "" {
			c.lastEventID = block.lastID
		}
	}
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

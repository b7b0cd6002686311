package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

const (
	headerDeadline = "Wagtaillift-Deadline"
	lineBytes      = 64 << 10
	maxAnswer      = 16 << 20 // bytes of one model answer kept for resuming it
	eventEnd       = "end"
)

const (
	errCut             = errors.ConstError("the stream ended without its end mark")
	errForeign         = errors.ConstError("the answer belongs to another request")
	errOrder           = errors.ConstError("a token is missing or out of order")
	errSuspect         = errors.ConstError("the upstream runs another suspect")
	errRefusedByEngine = errors.ConstError("the engine refused the request")
)

// Sink takes an answer for the caller.
type Sink interface {
	// Chunk takes one JSON chunk, valid until the call returns.
	Chunk(data []byte) error
	// End takes the last event's figures.
	End(f Final) error
}

// Final is what an engine says at the end of a stream.
type Final struct {
	Prompt id.Tokens `json:"prompt_tokens"`
	Output id.Tokens `json:"completion_tokens"`
	Reason string    `json:"finish_reason"`
}

type final = Final

// event is the server-sent event being read.
type event struct {
	name bool // is the end mark
	seq  id.Tokens
	data []byte
}

// checkStream refuses an answer that is not a stream for this request.
func checkStream(resp *http.Response, want id.Request) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return &call.Refusal{
			Status: resp.StatusCode, Code: call.BadRequest, Run: call.Unknown, Step: step, Reason: "the engine refused the request",
		}
	default:
		return errors.WithType(errors.Errorf("status %d", resp.StatusCode), errRefusedByEngine)
	}
	if got := resp.Header.Get(headerRequest); got != string(want) {
		return errForeign
	}
	if ct := resp.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		return errors.Errorf("content type %q", ct)
	}
	return nil
}

// buffer is what one running stream reads through.
type buffer struct {
	reader *bufio.Reader
	data   []byte
}

var buffers = sync.Pool{New: func() any {
	return &buffer{reader: bufio.NewReaderSize(nil, lineBytes), data: make([]byte, 0, lineBytes)}
}}

// relay passes the events of body on until the end mark. Every event names the request and the number of tokens up
// to it; events for another request or out of order end the stream. Silence of tokenTimeout cancels it.
func relay(body io.Reader, want id.Request, out Sink, pr *progress, p *pace, cancel context.CancelFunc) error {
	watch := time.AfterFunc(tokenTimeout, cancel)
	defer watch.Stop()
	buf := buffers.Get().(*buffer)
	defer buffers.Put(buf)
	r := buf.reader
	r.Reset(body)
	defer r.Reset(nil)
	prefix := append([]byte(want), '/')
	var ev event
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			if err := ev.field(line, prefix, buf.data[:0]); err != nil {
				return err
			}
			continue
		}
		watch.Reset(tokenTimeout)
		done, err := ev.deliver(out, pr)
		if done || err != nil {
			return err
		}
		p.token(pr.tokens)
		ev = event{}
	}
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errCut
	}
	return err
}

// field takes one line of an event (WHATWG HTML, server-sent events).
func (ev *event) field(line, prefix, buf []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		ev.data = append(buf, value...)
	case "event":
		ev.name = string(value) == eventEnd
	case "id":
		if !bytes.HasPrefix(value, prefix) {
			return errForeign
		}
		n, err := strconv.ParseInt(string(value[len(prefix):]), 10, 64)
		if err != nil {
			return errForeign
		}
		ev.seq = id.Tokens(n)
	}
	return nil
}

// deliver hands a whole event to the sink.
func (ev *event) deliver(out Sink, pr *progress) (done bool, err error) {
	if ev.data == nil {
		return false, nil
	}
	if ev.name {
		var f Final
		if err := json.Unmarshal(ev.data, &f); err != nil {
			return false, errors.Annotate(err, "decode end mark")
		}
		if ev.seq != pr.tokens || f.Output != pr.tokens {
			return false, errOrder
		}
		pr.final = &f
		return true, callerError{out.End(f)}.or()
	}
	if ev.seq <= pr.tokens {
		return false, nil // delivered before
	}
	if ev.seq != pr.tokens+1 || pr.chunks.Len() > maxAnswer {
		return false, errOrder
	}
	if err := out.Chunk(ev.data); err != nil {
		return false, callerError{err}
	}
	pr.tokens = ev.seq
	pr.chunks.Write(ev.data)
	pr.chunks.WriteByte('\n')
	return false, nil
}

// callerError is a failure to write to the caller.
type callerError struct{ err error }

// Error returns the cause.
func (e callerError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e callerError) Unwrap() error { return e.err }

func (e callerError) or() error {
	if e.err == nil {
		return nil
	}
	return e
}

// chunk is the part of an OpenAI-style chunk that carries text.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// chunksText joins the text of chunks, a line each.
func chunksText(lines []byte) string {
	var sb strings.Builder
	for line := range bytes.Lines(lines) {
		sb.WriteString(ChunkText(line))
	}
	return sb.String()
}

// ChunkText returns the text that one JSON chunk carries.
func ChunkText(data []byte) string {
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

// takeLoad takes the load that came back on an answer.
func takeLoad(u *roster.Upstream, h http.Header) {
	v := h.Get(headerLoad)
	if v == "" {
		return
	}
	var l engine.Load
	if json.Unmarshal([]byte(v), &l) == nil {
		u.Work.Report(clock.Boot(), l)
	}
}

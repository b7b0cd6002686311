package dispatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

const (
	headerDeadline    = "Wagtaillift-Deadline"
	maxLineBytes      = 64 << 10  // longest line of an event stream
	maxNoiseBytes     = 256 << 10 // bytes of a stream without a new token, such as comments
	maxResumableBytes = 16 << 20  // bytes of one response kept for resuming it
	eventEnd          = "end"
)

const (
	errTruncated        = errors.ConstError("the stream ended without its end mark")
	errWrongRequest     = errors.ConstError("the answer belongs to another request")
	errTokenOrder       = errors.ConstError("a token is missing or out of order")
	errReservedForOther = errors.ConstError("the upstream runs another suspect")
	errRefusedByEngine  = errors.ConstError("the engine refused the request")
)

// Sink receives a model response for the caller.
type Sink interface {
	// Chunk receives one JSON chunk; data is valid until Chunk returns.
	Chunk(data []byte) error
	// End receives the content of the end event.
	End(f StreamEnd) error
}

// StreamEnd is the content of the end event of an engine's stream.
type StreamEnd struct {
	PromptTokens id.Tokens `json:"prompt_tokens"`
	OutputTokens id.Tokens `json:"completion_tokens"`
	Reason       string    `json:"finish_reason"`
}

type final = StreamEnd

// event is the server-sent event that is being read.
type event struct {
	name bool      // whether the event's name is eventEnd
	seq  id.Tokens // number of tokens up to this event
	data []byte
}

// checkStream returns an error if the response is not an event stream for this request.
func checkStream(resp *http.Response, want id.Request) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return &call.Refusal{
			Status: resp.StatusCode, Code: call.BadRequest, Run: call.RunUnknown, Step: step, Reason: "the engine refused the request",
		}
	default:
		return errors.WithType(errors.Errorf("status %d", resp.StatusCode), errRefusedByEngine)
	}
	if got := resp.Header.Get(headerRequest); got != string(want) {
		return errWrongRequest
	}
	if ct := resp.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		return errors.Errorf("content type %q", ct)
	}
	return nil
}

// streamBuffer holds the read buffers of one stream.
type streamBuffer struct {
	reader *bufio.Reader
	data   []byte
}

var streamBuffers = sync.Pool{New: func() any {
	return &streamBuffer{reader: bufio.NewReaderSize(nil, maxLineBytes), data: make([]byte, 0, maxLineBytes)}
}}

// relay passes the events of body to out until the end event. The id of an event holds the request and the number of tokens
// up to it; an event of another request or out of order ends the stream.
func relay(body io.Reader, want id.Request, out Sink, pr *progress, p *latencyTracker, silence *silenceTimer) error {
	buf := streamBuffers.Get().(*streamBuffer)
	defer streamBuffers.Put(buf)
	r := buf.reader
	r.Reset(body)
	defer r.Reset(nil)
	prefix := append([]byte(want), '/')
	var ev event
	noise := 0 // bytes since the last token
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		if noise += len(line); noise > maxNoiseBytes {
			return errors.Errorf("more than %d bytes without a token", maxNoiseBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			if err := ev.parseLine(line, prefix, buf.data[:0]); err != nil {
				return err
			}
			continue
		}
		before := pr.tokens
		done, err := ev.deliver(out, pr)
		if done || err != nil {
			return err
		}
		if pr.tokens > before {
			noise = 0
		}
		silence.received(pr.tokens > before)
		p.recordToken(pr.tokens)
		ev = event{}
	}
}

// streamError returns errTruncated if the body ended before the end event, otherwise err.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errTruncated
	}
	return err
}

// parseLine parses one line of an event (WHATWG HTML, server-sent events). The event ID must start with prefix,
// the ID of the request and a slash. The data is stored in buf.
func (ev *event) parseLine(line, prefix, buf []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		ev.data = append(buf, value...)
	case "event":
		ev.name = string(value) == eventEnd
	case "id":
		if !bytes.HasPrefix(value, prefix) {
			return errWrongRequest
		}
		n, err := strconv.ParseInt(string(value[len(prefix):]), 10, 64)
		if err != nil {
			return errWrongRequest
		}
		ev.seq = id.Tokens(n)
	}
	return nil
}

// deliver passes a complete event to out; done is true after the end event.
func (ev *event) deliver(out Sink, pr *progress) (done bool, err error) {
	if ev.data == nil {
		return false, nil
	}
	if ev.name {
		var f StreamEnd
		if err := json.Unmarshal(ev.data, &f); err != nil {
			return false, errors.Annotate(err, "decode end mark")
		}
		if ev.seq != pr.tokens || f.OutputTokens != pr.tokens {
			return false, errTokenOrder
		}
		pr.final = &f
		return true, callerError{out.End(f)}.orNil()
	}
	if ev.seq <= pr.tokens {
		return false, nil // already delivered
	}
	if ev.seq != pr.tokens+1 || pr.chunks.Len() > maxResumableBytes {
		return false, errTokenOrder
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

// Error implements error.
func (e callerError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e callerError) Unwrap() error { return e.err }

// orNil returns e, or nil if there was no failure.
func (e callerError) orNil() error {
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

// chunksText joins the text of JSON chunks, one per line.
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

// recordLoad records the load that the upstream reported in the response headers.
func recordLoad(u *roster.Upstream, h http.Header) {
	v := h.Get(headerLoad)
	if v == "" {
		return
	}
	var l engine.Load
	if json.Unmarshal([]byte(v), &l) == nil {
		u.Stats.Report(clock.SinceBoot(), l)
	}
}

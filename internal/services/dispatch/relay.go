package dispatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/jsonfields"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/roster"
)

const (
	headerDeadline    = "Wagtaillift-Deadline"
	maxLineBytes      = 64 << 10  // longest line of an event stream
	maxNoiseBytes     = 256 << 10 // bytes of a stream without a new token, such as comments
	maxResumableBytes = 16 << 20  // bytes of one response kept for resuming it
)

const (
	errTruncated        = errors.ConstError("the stream ended without its end mark")
	errWrongRequest     = errors.ConstError("the answer belongs to another request")
	errTooLong          = errors.ConstError("more tokens than are kept for resuming the answer")
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

// namesOther reports whether the response names another request than want. Refusals may name none.
func namesOther(resp *http.Response, want id.Request) bool {
	got := resp.Header.Get(headerRequest)
	return got != "" && got != string(want)
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

// relay passes the events of body to out until the end event. An event goes to out once its blank line has arrived and it is valid; one
// that is invalid ends the stream.
func relay(body io.Reader, want id.Request, out Sink, pr *progress, p *latencyTracker, silence *silenceTimer) error {
	buf := streamBuffers.Get().(*streamBuffer)
	defer streamBuffers.Put(buf)
	r := buf.reader
	r.Reset(body)
	defer r.Reset(nil)
	ev := event{prefix: append([]byte(want), '/'), buf: buf.data[:0], atStart: true}
	noise := 0 // bytes since the last token
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		if noise += len(line); noise > maxNoiseBytes {
			return errors.Errorf("more than %d bytes without a token", maxNoiseBytes)
		}
		done, err := ev.addLine(line)
		if err != nil {
			return pr.invalid(err, line)
		}
		if !done {
			continue
		}
		before := pr.tokens
		done, err = ev.deliver(out, pr)
		if done || err != nil {
			return err
		}
		silence.received(pr.tokens > before)
		if pr.tokens > before {
			noise = 0
			p.recordToken(pr.tokens)
		}
		ev.reset()
	}
}

// streamError returns errTruncated if the body ended before the end event, otherwise err.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errTruncated
	}
	return err
}

const maxLoggedBytes = 96 // of text of an upstream that cannot be read

// invalid counts a stream that is invalid after the tokens delivered so far, and annotates its reason. What was found is logged only: it may
// be a customer's.
func (pr *progress) invalid(reason error, found []byte) error {
	metrics.GetOrCreateCounter(`wagtaillift_invalid_streams_total{reason="` + errors.Cause(reason).Error() + `"}`).Inc()
	klog.V(1).InfoS("Invalid event", "begin", string(found[:min(len(found), maxLoggedBytes)]), "err", reason)
	return errors.Annotatef(reason, "after token %d", pr.tokens)
}

// deliver passes a complete event to out if it is valid; done is true after the end event.
func (ev *event) deliver(out Sink, pr *progress) (done bool, err error) {
	if ev.empty() {
		return false, nil
	}
	if err := ev.check(pr.tokens); err != nil {
		return false, pr.invalid(err, ev.data)
	}
	if ev.isEnd {
		return true, ev.deliverEnd(out, pr)
	}
	if pr.chunks.Len() > maxResumableBytes {
		return false, errTooLong
	}
	if err := out.Chunk(ev.data); err != nil {
		return false, callerError{err}
	}
	pr.tokens = ev.seq
	pr.chunks.Write(ev.data)
	pr.chunks.WriteByte('\n')
	return false, nil
}

func (ev *event) deliverEnd(out Sink, pr *progress) error {
	end, err := parseEnd(ev.data, pr.tokens)
	if err != nil {
		return pr.invalid(err, ev.data)
	}
	pr.final = &end
	return callerError{out.End(end)}.orNil()
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
	l := engine.Load{KVBlocks: -1} // the field must be there
	err := jsonfields.Decode(strings.NewReader(v), &l)
	if err == nil {
		err = l.Check()
	}
	if err != nil {
		klog.V(1).InfoS("Load of an upstream cannot be read", "upstream", u.Name, "text", v[:min(len(v), maxLoggedBytes)], "err", err)
		return
	}
	u.Stats.Report(clock.SinceBoot(), l)
}

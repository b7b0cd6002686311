package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/dispatch"
)

// modelResponse writes the answer of a model call, as a stream of server-sent events or as one JSON body.
type modelResponse struct {
	h            *Handler
	c            *call.Call
	headerSent   bool
	settled      bool
	tokens       id.Tokens
	firstTokenAt time.Time
	text         strings.Builder
}

var (
	dataField = []byte("data: ")
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]\n\n")
)

// Chunk sends one chunk to the caller of a streaming call. Otherwise it collects the chunk's text.
func (m *modelResponse) Chunk(data []byte) error {
	if m.tokens == 0 {
		m.firstTokenAt = time.Now()
	}
	if !m.c.Stream {
		m.tokens++
		m.text.WriteString(dispatch.ChunkText(data))
		return nil
	}
	m.startStream()
	if err := m.writeEvent(data); err != nil {
		return err
	}
	m.tokens++
	return nil
}

// startStream sends the response header of a stream once.
func (m *modelResponse) startStream() {
	if m.headerSent {
		return
	}
	m.headerSent = true
	h := m.c.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRun, string(call.RunYes))
	m.c.W.WriteHeader(http.StatusOK)
}

// writeEvent writes one server-sent event and flushes it.
func (m *modelResponse) writeEvent(data []byte) error {
	w := m.c.W
	if _, err := w.Write(dataField); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	if _, err := w.Write(eventEnd); err != nil {
		return err
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// usageBody is the usage object of an OpenAI-style response.
type usageBody struct {
	PromptTokens id.Tokens `json:"prompt_tokens"`
	OutputTokens id.Tokens `json:"completion_tokens"`
	Total        id.Tokens `json:"total_tokens"`
}

type choiceBody struct {
	Index   int          `json:"index"`
	Message *messageBody `json:"message,omitempty"`
	Delta   *struct{}    `json:"delta,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  string       `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type responseBody struct {
	ID      id.Request   `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   id.Service   `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   usageBody    `json:"usage"`
}

// End records the usage, waits for its copy on another VM and then writes the end of the response.
func (m *modelResponse) End(final dispatch.StreamEnd) error {
	m.c.Used = call.Used{PromptTokens: final.PromptTokens, OutputTokens: final.OutputTokens, Done: true}
	m.settleUsage()
	m.h.Meter.WaitReplicated(m.c.R.Context())
	body := responseBody{
		ID: m.c.ID, Created: m.c.Start.Unix(), Model: m.c.Service.ID,
		Usage: usageBody{PromptTokens: final.PromptTokens, OutputTokens: final.OutputTokens, Total: final.PromptTokens + final.OutputTokens},
	}
	if m.c.Stream {
		return m.endStream(body, final)
	}
	return m.writeWhole(body, final)
}

// endStream writes the last chunk of a stream and [DONE].
func (m *modelResponse) endStream(body responseBody, final dispatch.StreamEnd) error {
	m.startStream()
	body.Object = "text_completion"
	choice := choiceBody{Finish: final.Reason}
	if m.c.Kind == call.Chat {
		body.Object = "chat.completion.chunk"
		choice.Delta = &struct{}{}
	} else {
		choice.Text = new(string)
	}
	body.Choices = []choiceBody{choice}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if err := m.writeEvent(data); err != nil {
		return err
	}
	_, err = m.c.W.Write(doneEvent)
	return err
}

// writeWhole writes the response of a call that doesn't stream.
func (m *modelResponse) writeWhole(body responseBody, final dispatch.StreamEnd) error {
	m.headerSent = true
	text := m.text.String()
	choice := choiceBody{Finish: final.Reason}
	if m.c.Kind == call.Chat {
		body.Object = "chat.completion"
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		body.Object = "text_completion"
		choice.Text = &text
	}
	body.Choices = []choiceBody{choice}
	m.c.W.Header().Set("Content-Type", "application/json")
	m.c.W.Header().Set(headerRun, string(call.RunYes))
	return json.NewEncoder(m.c.W).Encode(body)
}

// settleUsage records the delivered tokens as usage and returns the unused part of the reservation. It takes effect once.
func (m *modelResponse) settleUsage() {
	if m.settled {
		return
	}
	m.settled = true
	c := m.c
	if !c.Used.Done && c.Stream && m.tokens > 0 {
		c.Used = call.Used{PromptTokens: c.PromptTokens, OutputTokens: m.tokens}
	}
	if c.Kind != call.Plain && c.Used.PromptTokens+c.Used.OutputTokens > 0 {
		m.h.Meter.Add(c.Customer, c.Service.ID, usage.Count{
			Requests: 1, PromptTokens: uint64(c.Used.PromptTokens), OutputTokens: uint64(c.Used.OutputTokens),
		})
	}
	if c.ReservedTokens > 0 {
		m.h.Limiter.ReturnUnused(clock.SinceBoot(), c)
	}
}

// writeError ends the response with r. A call that hasn't sent its header gets a refusal, a running stream gets an error event,
// and any other response is aborted.
func (m *modelResponse) writeError(r *call.Refusal) {
	if !m.headerSent {
		writeRefusal(m.c.W, m.c.ID, r)
		return
	}
	if !m.c.Stream {
		panic(http.ErrAbortHandler)
	}
	w := m.c.W
	w.Write([]byte("event: error\n"))
	m.writeEvent(errorJSON(m.c.ID, r))
}

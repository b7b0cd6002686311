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

// answer writes a model's answer, as a stream or whole.
type answer struct {
	h       *Handler
	c       *call.Call
	started bool
	counted bool
	tokens  id.Tokens
	first   time.Time
	text    strings.Builder
}

var (
	dataField = []byte("data: ")
	eventGap  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]\n\n")
)

// Chunk passes one chunk on, or keeps its text for a whole answer.
func (a *answer) Chunk(data []byte) error {
	if a.tokens == 0 {
		a.first = time.Now()
	}
	if !a.c.Stream {
		a.tokens++
		a.text.WriteString(dispatch.ChunkText(data))
		return nil
	}
	a.start()
	if err := a.event(data); err != nil {
		return err
	}
	a.tokens++
	return nil
}

func (a *answer) start() {
	if a.started {
		return
	}
	a.started = true
	h := a.c.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRun, string(call.Yes))
	a.c.W.WriteHeader(http.StatusOK)
}

// event writes one server-sent event and flushes it.
func (a *answer) event(data []byte) error {
	w := a.c.W
	if _, err := w.Write(dataField); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	if _, err := w.Write(eventGap); err != nil {
		return err
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// usageBody is the usage part of an OpenAI-style answer.
type usageBody struct {
	Prompt id.Tokens `json:"prompt_tokens"`
	Output id.Tokens `json:"completion_tokens"`
	Total  id.Tokens `json:"total_tokens"`
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

type body struct {
	ID      id.Request   `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   id.Service   `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   usageBody    `json:"usage"`
}

// End counts the usage, has it copied to another VM and then writes the end of the answer.
func (a *answer) End(f dispatch.Final) error {
	a.c.Used = call.Used{Prompt: f.Prompt, Output: f.Output, Done: true}
	a.settle()
	a.h.Meter.Secure(a.c.R.Context())
	b := body{
		ID: a.c.ID, Created: a.c.Start.Unix(), Model: a.c.Service.ID,
		Usage: usageBody{Prompt: f.Prompt, Output: f.Output, Total: f.Prompt + f.Output},
	}
	if a.c.Stream {
		return a.endStream(b, f)
	}
	return a.whole(b, f)
}

func (a *answer) endStream(b body, f dispatch.Final) error {
	a.start()
	b.Object = "text_completion"
	choice := choiceBody{Finish: f.Reason}
	if a.c.Kind == call.Chat {
		b.Object = "chat.completion.chunk"
		choice.Delta = &struct{}{}
	} else {
		choice.Text = new(string)
	}
	b.Choices = []choiceBody{choice}
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	if err := a.event(data); err != nil {
		return err
	}
	_, err = a.c.W.Write(doneEvent)
	return err
}

func (a *answer) whole(b body, f dispatch.Final) error {
	a.started = true
	text := a.text.String()
	choice := choiceBody{Finish: f.Reason}
	if a.c.Kind == call.Chat {
		b.Object = "chat.completion"
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		b.Object = "text_completion"
		choice.Text = &text
	}
	b.Choices = []choiceBody{choice}
	a.c.W.Header().Set("Content-Type", "application/json")
	a.c.W.Header().Set(headerRun, string(call.Yes))
	return json.NewEncoder(a.c.W).Encode(b)
}

// settle counts what was delivered and returns the rest of the reservation, once.
func (a *answer) settle() {
	if a.counted {
		return
	}
	a.counted = true
	c := a.c
	if !c.Used.Done && c.Stream && a.tokens > 0 {
		c.Used = call.Used{Prompt: c.Prompt, Output: a.tokens}
	}
	if c.Kind != call.Plain && c.Used.Prompt+c.Used.Output > 0 {
		a.h.Meter.Add(c.Customer, c.Service.ID, usage.Count{
			Requests: 1, Prompt: uint64(c.Used.Prompt), Output: uint64(c.Used.Output),
		})
	}
	if c.Reserved > 0 {
		a.h.Limiter.Return(clock.Boot(), c)
	}
}

// fail ends the answer with r: as a whole refusal, or as an error event where the stream has begun.
func (a *answer) fail(r *call.Refusal) {
	if !a.started {
		writeRefusal(a.c.W, a.c.ID, r)
		return
	}
	if !a.c.Stream {
		panic(http.ErrAbortHandler)
	}
	w := a.c.W
	w.Write([]byte("event: error\n"))
	a.event(problemOf(a.c.ID, r))
}

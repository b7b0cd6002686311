package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
)

// Options are where and how a plan is run.
type Options struct {
	Targets   []string // base URLs of callers' listeners
	Model     string
	App       string
	Customers []Customer
	Deadline  time.Duration
	First     time.Duration // objective: first token within
	Gap       time.Duration // objective: mean time between tokens within
	Surge     string        // customer that sends more than its rate; it does not count as worst served
	Direct    bool          // the targets are engines, without a VM between
	Resend    int           // how often a booking is sent again after an unclear or "not run" answer
}

// Outcome is what happened to one arrival.
type Outcome struct {
	Arrival
	Status  int           `json:"status"`
	Code    string        `json:"code,omitempty"`
	Run     string        `json:"run,omitempty"`
	First   time.Duration `json:"first"`
	Total   time.Duration `json:"total"`
	Tokens  int           `json:"tokens"`
	Whole   bool          `json:"whole"` // complete and right
	Wrong   bool          `json:"wrong"` // complete by its looks, and not right
	Cut     bool          `json:"cut"`   // ended without an end and without an error
	Error   string        `json:"error,omitempty"`
	Request string        `json:"request,omitempty"`
	Sends   int           `json:"sends,omitempty"`
}

// Good reports whether o met the objectives.
func (o *Outcome) Good(opt *Options) bool {
	if !o.Whole {
		return false
	}
	if o.Booking || !o.Stream {
		return true
	}
	if o.First > opt.First {
		return false
	}
	return o.Tokens < 2 || (o.Total-o.First)/time.Duration(o.Tokens-1) <= opt.Gap
}

type runner struct {
	opt    Options
	client *http.Client
	keys   map[string]string
	next   atomic.Uint64
}

const connsPerHost = 4096

func newRunner(opt Options) *runner {
	r := &runner{
		opt: opt, keys: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connsPerHost, DisableCompression: true}},
	}
	for _, c := range opt.Customers {
		r.keys[c.Name] = c.Key
	}
	return r
}

// Run sends list at its times, whatever the answers do, and returns what happened.
func Run(ctx context.Context, opt Options, list []Arrival) []Outcome {
	r := newRunner(opt)
	out := make([]Outcome, len(list))
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range list {
		if !sleepUntil(ctx, start.Add(a.At)) {
			out = out[:i]
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = r.send(ctx, a)
		}()
	}
	wg.Wait()
	return out
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *runner) send(ctx context.Context, a Arrival) Outcome {
	if a.Booking {
		return r.book(ctx, a)
	}
	return r.generate(ctx, a)
}

func (r *runner) target() string {
	return r.opt.Targets[r.next.Add(1)%uint64(len(r.opt.Targets))]
}

func (r *runner) request(ctx context.Context, a Arrival, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.target()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.keys[a.Customer])
	req.Header.Set("Wagtaillift-Deadline", r.opt.Deadline.String())
	if r.opt.Direct {
		req.Header.Set("Wagtaillift-Request", fmt.Sprint("direct-", a.Serial))
	}
	return req, nil
}

func (r *runner) generate(ctx context.Context, a Arrival) Outcome {
	o := Outcome{Arrival: a}
	content := a.Text()
	body, _ := json.Marshal(map[string]any{
		"model": r.opt.Model, "max_tokens": a.Output, "stream": a.Stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	start := time.Now()
	defer func() { o.Total = time.Since(start) }()
	req, err := r.request(ctx, a, "/v1/chat/completions", body)
	if err != nil {
		o.Error = err.Error()
		return o
	}
	resp, err := r.client.Do(req)
	if err != nil {
		o.Error, o.Cut = err.Error(), true
		return o
	}
	defer resp.Body.Close()
	o.note(resp)
	if resp.StatusCode != http.StatusOK {
		o.refused(resp.Body)
		return o
	}
	raw, _ := json.Marshal(content)
	b := call.ModelBody{Messages: []call.Message{{Role: "user", Content: raw}}}
	want := emulate.Answer(b.Text(), a.Output)
	if a.Stream {
		o.readStream(resp.Body, start, want)
	} else {
		o.readWhole(resp.Body, want)
	}
	o.Total = time.Since(start)
	return o
}

func (o *Outcome) note(resp *http.Response) {
	o.Status = resp.StatusCode
	o.Run = resp.Header.Get("Wagtaillift-Run")
	o.Request = resp.Header.Get("Wagtaillift-Request")
}

func (o *Outcome) refused(body io.Reader) {
	var p struct {
		Error struct{ Code, Message, Run string }
	}
	json.NewDecoder(body).Decode(&p)
	o.Code, o.Error = p.Error.Code, p.Error.Message
}

// readStream reads server-sent events up to [DONE] or an error event.
func (o *Outcome) readStream(body io.Reader, start time.Time, want string) {
	sc := bufio.NewScanner(body)
	var text strings.Builder
	failed, done := false, false
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "event: error":
			failed = true
		case line == "data: [DONE]", line == "event: end":
			done = true
		case failed && strings.HasPrefix(line, "data: "):
			o.refused(strings.NewReader(line[len("data: "):]))
		case strings.HasPrefix(line, "data: "):
			if t := chunkText(line[len("data: "):]); t != "" {
				if o.Tokens == 0 {
					o.First = time.Since(start)
				}
				o.Tokens++
				text.WriteString(t)
			}
		}
	}
	o.Whole = done && text.String() == want
	o.Wrong = done && !o.Whole
	o.Cut = !done && !failed
}

func chunkText(data string) string {
	var c struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

func (o *Outcome) readWhole(body io.Reader, want string) {
	var b struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.NewDecoder(body).Decode(&b); err != nil || len(b.Choices) == 0 {
		o.Cut = true
		return
	}
	o.Tokens = b.Usage.Completion
	o.Whole = b.Choices[0].Message.Content == want
	o.Wrong = !o.Whole
}

// book sends a non-idempotent call with an Idempotency-Key, and again at another VM where the outcome is unclear.
func (r *runner) book(ctx context.Context, a Arrival) Outcome {
	o := Outcome{Arrival: a}
	body := []byte(fmt.Sprintf(`{"booking":"%s-%d"}`, a.Customer, a.Serial))
	start := time.Now()
	defer func() { o.Total = time.Since(start) }()
	for try := 0; try <= r.opt.Resend; try++ {
		o.Sends++
		again, wait := r.bookOnce(ctx, a, &o, body)
		if !again || ctx.Err() != nil {
			break
		}
		time.Sleep(wait)
	}
	o.Total = time.Since(start)
	return o
}

const resendPause = 300 * time.Millisecond

func (r *runner) bookOnce(ctx context.Context, a Arrival, o *Outcome, body []byte) (again bool, wait time.Duration) {
	req, err := r.request(ctx, a, "/s/"+r.opt.App+"/book", body)
	if err != nil {
		o.Error = err.Error()
		return false, 0
	}
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", a.Customer, a.Serial))
	req.GetBody = nil
	resp, err := r.client.Do(req)
	if err != nil {
		o.Error = err.Error()
		return true, resendPause
	}
	defer resp.Body.Close()
	o.note(resp)
	if resp.StatusCode != http.StatusOK {
		o.refused(resp.Body)
		return o.Code != "outcome_unknown", resendPause
	}
	o.Code, o.Error = "", ""
	var e emulate.EchoAnswer
	err = json.NewDecoder(resp.Body).Decode(&e)
	o.Whole = err == nil && e.Run == 1
	o.Wrong = err == nil && e.Run != 1
	o.Cut = err != nil
	return o.Cut, resendPause
}

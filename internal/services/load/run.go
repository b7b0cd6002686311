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

// Options configures a run.
type Options struct {
	Targets    []string // base URLs of the VMs' caller listeners, used in rotation
	Model      string
	App        string
	Customers  []Customer
	Deadline   time.Duration
	FirstToken time.Duration // objective for the time to first token
	TokenGap   time.Duration // objective for the mean time between tokens
	Surge      string        // customer that exceeds its rate, which is excluded from worst_customer
	Direct     bool          // the targets are engines, called without a VM in between
	MaxResends int           // most times that a booking is sent again
}

// Outcome is the result of one arrival.
type Outcome struct {
	Arrival
	Status     int           `json:"status"`
	Code       string        `json:"code,omitempty"`
	Run        string        `json:"run,omitempty"`
	FirstToken time.Duration `json:"first"`
	Total      time.Duration `json:"total"`
	Tokens     int           `json:"tokens"`
	Correct    bool          `json:"whole"` // the answer is complete and correct
	Wrong      bool          `json:"wrong"` // the answer looks complete but is incorrect
	Truncated  bool          `json:"cut"`   // the connection failed, or the answer ended without an end marker or an error
	Error      string        `json:"error,omitempty"`
	Request    string        `json:"request,omitempty"`
	Sends      int           `json:"sends,omitempty"`
}

// Good reports whether o is correct and met the latency objectives, which apply to streams only.
func (o *Outcome) Good(opt *Options) bool {
	if !o.Correct {
		return false
	}
	if o.Booking || !o.Stream {
		return true
	}
	if o.FirstToken > opt.FirstToken {
		return false
	}
	return o.Tokens < 2 || (o.Total-o.FirstToken)/time.Duration(o.Tokens-1) <= opt.TokenGap
}

// runner sends the requests of a run.
type runner struct {
	opt           Options
	client        *http.Client
	keys          map[string]string
	targetCounter atomic.Uint64
}

const maxIdlePerHost = 4096

func newRunner(opt Options) *runner {
	r := &runner{
		opt: opt, keys: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}},
	}
	for _, c := range opt.Customers {
		r.keys[c.Name] = c.Key
	}
	return r
}

// Run sends each request of list at its planned time, whether or not earlier ones have been answered, and returns the
// outcomes. If ctx ends, the remaining requests are not sent.
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

// sleepUntil waits until at and returns true, or returns false if ctx ends first.
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

// send sends the request of a and returns its outcome.
func (r *runner) send(ctx context.Context, a Arrival) Outcome {
	if a.Booking {
		return r.book(ctx, a)
	}
	return r.generate(ctx, a)
}

// nextTarget returns the targets in rotation.
func (r *runner) nextTarget() string {
	return r.opt.Targets[r.targetCounter.Add(1)%uint64(len(r.opt.Targets))]
}

// request returns a POST request to the next target with the customer's key and the deadline.
func (r *runner) request(ctx context.Context, a Arrival, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.nextTarget()+path, bytes.NewReader(body))
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

// generate sends a model call and compares the answer with the text that an emulated engine generates for its prompt.
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
		o.Error, o.Truncated = err.Error(), true
		return o
	}
	defer resp.Body.Close()
	o.recordHeaders(resp)
	if resp.StatusCode != http.StatusOK {
		o.recordError(resp.Body)
		return o
	}
	raw, _ := json.Marshal(content)
	b := call.ModelBody{Messages: []call.Message{{Role: "user", Content: raw}}}
	want := emulate.AnswerText(b.Text(), a.Output)
	if a.Stream {
		o.readStream(resp.Body, start, want)
	} else {
		o.readBody(resp.Body, want)
	}
	o.Total = time.Since(start)
	return o
}

// recordHeaders records status and headers of a response.
func (o *Outcome) recordHeaders(resp *http.Response) {
	o.Status = resp.StatusCode
	o.Run = resp.Header.Get("Wagtaillift-Run")
	o.Request = resp.Header.Get("Wagtaillift-Request")
}

// recordError records code and message of an error body.
func (o *Outcome) recordError(body io.Reader) {
	var p struct {
		Error struct{ Code, Message, Run string }
	}
	json.NewDecoder(body).Decode(&p)
	o.Code, o.Error = p.Error.Code, p.Error.Message
}

// readStream reads the server-sent events of an answer and compares its text with want. All chunks must come from one software version. An answer ends with [DONE] or an
// end or error event.
func (o *Outcome) readStream(body io.Reader, start time.Time, want string) {
	sc := bufio.NewScanner(body)
	var text strings.Builder
	var fingerprint string // of the first chunk
	failed, done, mixed := false, false, false
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "event: error":
			failed = true
		case line == "data: [DONE]", line == "event: end":
			done = true
		case failed && strings.HasPrefix(line, "data: "):
			o.recordError(strings.NewReader(line[len("data: "):]))
		case strings.HasPrefix(line, "data: "):
			t, version := parseChunk(line[len("data: "):])
			if t == "" {
				continue
			}
			if o.Tokens == 0 {
				o.FirstToken, fingerprint = time.Since(start), version
			}
			o.Tokens++
			mixed = mixed || version != fingerprint
			text.WriteString(t)
		}
	}
	o.Correct = done && !mixed && text.String() == want
	o.Wrong = done && !o.Correct
	o.Truncated = !done && !failed
}

// parseChunk returns the text in the data of a chat completion chunk and the software version that generated it.
func parseChunk(data string) (text, version string) {
	var c struct {
		Fingerprint string `json:"system_fingerprint"`
		Choices     []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return "", ""
	}
	return c.Choices[0].Delta.Content, c.Fingerprint
}

// readBody reads an answer that is not streamed and compares its text with want.
func (o *Outcome) readBody(body io.Reader, want string) {
	var b struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.NewDecoder(body).Decode(&b); err != nil || len(b.Choices) == 0 {
		o.Truncated = true
		return
	}
	o.Tokens = b.Usage.Completion
	o.Correct = b.Choices[0].Message.Content == want
	o.Wrong = !o.Correct
}

// book sends a non-idempotent call with an Idempotency-Key. It sends the call again, to the next target, after a
// connection failure, an unreadable answer, or an error other than outcome_unknown.
func (r *runner) book(ctx context.Context, a Arrival) Outcome {
	o := Outcome{Arrival: a}
	body := []byte(fmt.Sprintf(`{"booking":"%s-%d"}`, a.Customer, a.Serial))
	start := time.Now()
	defer func() { o.Total = time.Since(start) }()
	for try := 0; try <= r.opt.MaxResends; try++ {
		o.Sends++
		resend, wait := r.bookOnce(ctx, a, &o, body)
		if !resend || ctx.Err() != nil {
			break
		}
		time.Sleep(wait)
	}
	o.Total = time.Since(start)
	return o
}

const resendDelay = 300 * time.Millisecond

// bookOnce makes one attempt of book and records it in o. It returns whether to send the call again, and after which delay.
func (r *runner) bookOnce(ctx context.Context, a Arrival, o *Outcome, body []byte) (resend bool, wait time.Duration) {
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
		return true, resendDelay
	}
	defer resp.Body.Close()
	o.recordHeaders(resp)
	if resp.StatusCode != http.StatusOK {
		o.recordError(resp.Body)
		return o.Code != "outcome_unknown", resendDelay
	}
	o.Code, o.Error = "", ""
	var e emulate.EchoAnswer
	err = json.NewDecoder(resp.Body).Decode(&e)
	o.Correct = err == nil && e.Run == 1
	o.Wrong = err == nil && e.Run != 1
	o.Truncated = err != nil
	return o.Truncated, resendDelay
}

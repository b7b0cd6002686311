package vm

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
	"wagtaillift/internal/services/load"
)

// answers is the number of answers that TestAnswersAreWholeAndTheirOwn checks; -answers 10000 is the long run.
var answers = flag.Int("answers", 1500, "answers that TestAnswersAreWholeAndTheirOwn checks")

// TestAnswersAreWholeAndTheirOwn sends 64 concurrent callers through 3 VMs to engines that answer late, crossed, cut
// and reset.
func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 6 {
		f.engine(i, emulate.Faults{Cut: 0.1, Late: 0.02, Cross: 0.05, Reset: 0.05})
	}
	f.ready(6)
	opt := load.Options{
		Targets: f.targets(), Model: testModel, App: testApp, Deadline: waitLimit, First: waitLimit, Gap: waitLimit,
		Customers: []load.Customer{{Name: "one", Key: f.secrets["one"]}, {Name: "two", Key: f.secrets["two"]}},
	}
	list := load.Burst(context.Background(), opt, 64, *answers, 1)
	whole, failed := 0, 0
	for _, o := range list {
		require.False(t, o.Wrong, "request %s: a wrong answer looks complete", o.Request)
		require.False(t, o.Cut, "request %s ended without an end or an error: %s", o.Request, o.Error)
		if o.Whole {
			whole++
		} else {
			require.NotEmpty(t, o.Code, "request %s neither whole nor refused", o.Request)
			failed++
		}
	}
	t.Logf("%d whole, %d ended by an error, 0 wrong", whole, failed)
	require.Greater(t, whole, *answers*95/100)
}

func TestKeys(t *testing.T) {
	f := newFleet(t, 1)
	f.engine(0, emulate.Faults{})
	a := f.app("app1", testApp)
	f.app("app2", "open")
	f.app("app3", "private")
	f.ready(4)
	v := f.vms[0]
	t.Run("a key works only for its customer's services", func(t *testing.T) {
		resp, body := f.do(v, "GET", "/s/private/x", f.secrets["one"], "")
		requireRefusal(t, resp, body, http.StatusForbidden, call.Forbidden, call.No)
		resp, _ = f.do(v, "GET", "/s/private/x", f.secrets["two"], "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
	t.Run("an open route works without a key", func(t *testing.T) {
		resp, _ := f.do(v, "GET", "/s/open/x", "", "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
	t.Run("others do not", func(t *testing.T) {
		resp, body := f.do(v, "GET", "/s/booking/x", "", "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.NoKey, call.No)
		resp, body = f.do(v, "GET", "/s/booking/x", f.secrets["one"]+"x", "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.BadKey, call.No)
		resp, body = f.do(v, "GET", "/s/booking/x", f.secrets["admin"], "")
		requireRefusal(t, resp, body, http.StatusForbidden, call.Forbidden, call.No)
	})
	t.Run("no upstream sees the key or hop-by-hop headers", func(t *testing.T) {
		f.do(v, "POST", "/s/booking/y", f.secrets["one"], "body", "Connection", "X-Secret", "X-Secret", "1",
			"Proxy-Authorization", "Basic abc", "Cookie", "c=1", "X-Api-Key", f.secrets["one"], "Te", "trailers")
		for _, h := range a.Heads() {
			for name, values := range h {
				require.NotContains(t, strings.Join(values, " "), f.secrets["one"], name)
			}
			for _, name := range []string{"Authorization", "Cookie", "Proxy-Authorization", "X-Secret", "X-Api-Key", "Te", "Connection"} {
				require.Empty(t, h.Values(name), name)
			}
		}
	})
	t.Run("a withdrawn key stops", func(t *testing.T) {
		r, err := http.NewRequest("DELETE", v.OperatorURL()+"/api/v1/keys/one", nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+f.secrets["admin"])
		r.Header.Set("If-Match", "*")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		resp, body := f.do(v, "GET", "/s/booking/x", f.secrets["one"], "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.BadKey, call.No)
	})
}

func TestBadRequests(t *testing.T) {
	f := newFleet(t, 1)
	f.engine(0, emulate.Faults{})
	f.ready(1)
	v := f.vms[0]
	for name, c := range map[string]struct {
		body   string
		status int
		code   call.Code
	}{
		"not JSON":        {"{", 400, call.BadRequest},
		"an array":        {"[]", 400, call.BadRequest},
		"no model":        {"{}", 400, call.BadRequest},
		"unknown model":   {`{"model":"x","messages":[{"role":"user","content":"a"}]}`, 404, call.NoService},
		"no messages":     {`{"model":"verdict","messages":[]}`, 400, call.BadRequest},
		"negative limit":  {`{"model":"verdict","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, 400, call.BadRequest},
		"two choices":     {`{"model":"verdict","n":2,"messages":[{"role":"user","content":"a"}]}`, 400, call.BadRequest},
		"larger than max": {`{"model":"` + strings.Repeat("x", 9<<20) + `"}`, 413, call.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := f.do(v, "POST", "/v1/chat/completions", f.secrets["one"], c.body)
			requireRefusal(t, resp, body, c.status, c.code, call.No)
		})
	}
}

// TestSlowAndTruncatedBodies sends a part of the declared body and then nothing, or closes.
func TestSlowAndTruncatedBodies(t *testing.T) {
	f := (&fleetOptions{slow: time.Second}).start(t, 1)
	f.engine(0, emulate.Faults{})
	f.ready(1)
	send := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.vms[0].CallerURL(), "http://"))
		require.NoError(t, err)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", f.secrets["one"])
		return c
	}
	t.Run("slow", func(t *testing.T) {
		c := send()
		defer c.Close()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		requireRefusal(t, resp, string(body), http.StatusRequestTimeout, call.Slow, call.No)
	})
	t.Run("truncated", func(t *testing.T) {
		c := send().(*net.TCPConn)
		defer c.Close()
		require.NoError(t, c.CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		requireRefusal(t, resp, string(body), http.StatusBadRequest, call.Truncated, call.No)
	})
	require.Zero(t, f.engines[0].Stats().Requests)
}

// TestStopEndsAtItsLimit stops a VM whose stream outlasts the limit, and refuses new requests as not run meanwhile.
func TestStopEndsAtItsLimit(t *testing.T) {
	f := (&fleetOptions{limit: time.Second}).start(t, 1)
	e := f.engine(0, emulate.Faults{})
	f.ready(1)
	v := f.vms[0]
	go http.Post(v.CallerURL()+"/s/open/x", "text/plain", nil)
	r, err := http.NewRequest("POST", v.CallerURL()+"/v1/chat/completions", strings.NewReader(chat("x", 90000, true)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.secrets["one"])
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	done := make(chan struct{})
	go func() {
		f.stops[0]()
		close(done)
	}()
	f.until("the health check fails", func() bool {
		h, err := http.Get(v.CallerURL() + "/health")
		if err != nil {
			return false
		}
		h.Body.Close()
		return h.StatusCode == http.StatusServiceUnavailable
	})
	f.until("new requests are refused", v.stopping.Load)
	refused, body := f.do(v, "POST", "/v1/chat/completions", f.secrets["one"], chat("y", 5, false))
	requireRefusal(t, refused, body, http.StatusServiceUnavailable, call.Stopping, call.No)
	<-done
	require.EqualValues(t, 1, e.Stats().Requests, "a request refused as not run reached the engine")
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	f := newFleet(t, 1)
	f.app("app1", testApp)
	f.ready(1)
	v := f.vms[0]
	t.Run("up", func(t *testing.T) {
		big := bytes.Repeat([]byte("x"), 5<<20)
		resp, body := f.do(v, "POST", "/s/booking/up", f.secrets["one"], string(big))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		require.Contains(t, body, fmt.Sprint(`"bytes":`, 5<<20))
	})
	t.Run("down", func(t *testing.T) {
		resp, body := f.do(v, "GET", "/s/booking/bytes/5000000", f.secrets["one"], "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Len(t, body, 5000000)
	})
}

// TestBookingRunsOnce resends claimed calls at another VM.
func TestBookingRunsOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.app("app1", testApp)
	f.app("app2", testApp)
	f.ready(2)
	resp, first := f.do(f.vms[0], "POST", "/s/booking/book", f.secrets["one"], "part 7", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode, first)
	resp, again := f.do(f.vms[1], "POST", "/s/booking/book", f.secrets["one"], "part 7", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode, again)
	require.Equal(t, first, again)
	require.Equal(t, "true", resp.Header.Get("Idempotent-Replayed"))
	require.Equal(t, 1, f.ledger.Runs("part 7"))
	resp, body := f.do(f.vms[1], "POST", "/s/booking/book", f.secrets["one"], "part 8", "Idempotency-Key", "k1")
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.KeyReused, call.No)
	require.Zero(t, f.ledger.Runs("part 8"))
	resp, _ = f.do(f.vms[1], "POST", "/s/booking/book", f.secrets["two"], "part 9", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 1, f.ledger.Runs("part 9"))
}

// TestCrashingRequestIsStopped holds that a request which crashes its engine is refused after the second crash and
// that its neighbours finish.
func TestCrashingRequestIsStopped(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 4 {
		f.engine(i, emulate.Faults{Crash: "poison"})
	}
	f.ready(4)
	var wg sync.WaitGroup
	bodies := make([]string, 16)
	for i := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, bodies[i] = f.do(f.vms[i%2], "POST", "/v1/chat/completions", f.secrets["one"], chat(fmt.Sprint("neighbour ", i), 300, false))
		}()
	}
	time.Sleep(50 * time.Millisecond)
	resp, body := f.do(f.vms[0], "POST", "/v1/chat/completions", f.secrets["two"], chat("poison", 50, false))
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.Quarantined, call.Yes)
	wg.Wait()
	for i, b := range bodies {
		var got struct {
			Choices []struct{ Message struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(b), &got))
		require.NotEmpty(t, got.Choices, b)
		require.Equal(t, expected(fmt.Sprint("neighbour ", i), 300), got.Choices[0].Message.Content)
	}
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.EqualValues(t, 2, crashes)
	t.Run("also at another VM", func(t *testing.T) {
		f.until("refused elsewhere", func() bool {
			resp, _ := f.do(f.vms[1], "POST", "/v1/chat/completions", f.secrets["two"], chat("poison", 50, false))
			return resp.StatusCode == http.StatusUnprocessableEntity
		})
	})
}

// TestStopCutsNothing stops a VM and an engine gracefully under load.
func TestStopCutsNothing(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 3 {
		f.engine(i, emulate.Faults{})
	}
	f.ready(3)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := fmt.Sprint("long ", i)
			resp, body := f.do(f.vms[1], "POST", "/v1/chat/completions", f.secrets["one"], chat(text, 800, true))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "request %d was cut", i)
		}()
	}
	f.until("streams run", func() bool { return f.vms[1].caller.Running.Load() == 24 })
	go f.engines[0].Leave(f.ctx)
	f.until("the engine is known to leave", func() bool { return len(f.vms[1].roster.Snapshot().All) == 2 })
	f.stops[1]()
	wg.Wait()
	_, left := f.vms[0].authority.State().Members()["vm2"]
	require.False(t, left)
}

// TestReclaimLosesNothing takes all cheap engines away at short notice under load.
func TestReclaimLosesNothing(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 4 {
		f.priced(i, emulate.Faults{}, i > 0)
	}
	f.ready(4)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, body := f.do(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chat(fmt.Sprint("kept ", i), 600, true))
			require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "request %d was lost", i)
		}()
	}
	f.until("streams run", func() bool {
		n := int64(0)
		for _, e := range f.engines {
			n += e.Stats().Requests
		}
		return n == 16
	})
	before := int64(0)
	for _, e := range f.engines[1:] {
		before += e.Stats().Requests
		require.True(t, e.Reclaim(100*time.Millisecond, 0))
	}
	wg.Wait()
	require.Positive(t, before, "nothing ran on cheap engines")
}

// TestDisconnectIsCarriedToTheEngine closes a caller's connection in the middle of a stream.
func TestDisconnectIsCarriedToTheEngine(t *testing.T) {
	f := newFleet(t, 1)
	e := f.engine(0, emulate.Faults{})
	f.ready(1)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", f.vms[0].CallerURL()+"/v1/chat/completions", strings.NewReader(chat("x", 90000, true)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.secrets["one"])
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 100))
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	f.until("the engine has cancelled", func() bool { return e.Stats().Cancelled == 1 })
	f.until("the VM has forgotten it", func() bool { return f.vms[0].caller.Running.Load() == 0 })
}

// TestDeadline holds that a request ends at its deadline, with what became of it.
func TestDeadline(t *testing.T) {
	f := newFleet(t, 1)
	f.engine(0, emulate.Faults{})
	f.ready(1)
	resp, body := f.do(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chat("x", 90000, false), "Wagtaillift-Deadline", "200ms")
	requireRefusal(t, resp, body, http.StatusGatewayTimeout, call.Deadline, call.Unknown)
	resp, body = f.do(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chat("x", 9, false), "Wagtaillift-Deadline", "soon")
	requireRefusal(t, resp, body, http.StatusBadRequest, call.BadRequest, call.No)
}

// TestSilentUpstreamGetsNoNewWork kills an application; within the limit no VM sends it anything.
func TestSilentUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2)
	f.app("app1", testApp)
	a := f.app("app2", testApp)
	f.ready(2)
	a.Silence()
	start := time.Now()
	f.ready(1)
	require.Less(t, time.Since(start), 3*time.Second)
}

// BenchmarkFirstToken measures what a VM adds to the first token, at 50 requests a second with streams of 200 tokens,
// against the same client straight at the same engines.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet(b, 1)
	for i := range 4 {
		f.engine(i, emulate.Faults{})
	}
	f.ready(4)
	var direct []string
	for _, e := range f.engines {
		direct = append(direct, "http://"+e.Address())
	}
	phase := load.Phase{Name: "steady", Long: 8 * time.Second, Rate: 50, Mix: load.Mix{Prompt: 200, Output: 200}}
	plan := load.Plan(1, []load.Phase{phase}, []load.Customer{{Name: "one", Weight: 1}}, 0)
	opt := load.Options{
		Targets: direct, Direct: true, Model: testModel, Deadline: waitLimit, First: waitLimit, Gap: waitLimit,
		Customers: []load.Customer{{Name: "one", Key: f.secrets["one"]}},
	}
	for b.Loop() {
		straight := load.Sum(&opt, load.Run(context.Background(), opt, plan), phase.Long)
		through := opt
		through.Targets, through.Direct = f.targets(), false
		routed := load.Sum(&through, load.Run(context.Background(), through, plan), phase.Long)
		for _, n := range []string{"first_token_p50", "first_token_p95", "first_token_p99"} {
			b.ReportMetric(straight.Value(n), "ms-straight-"+n)
			b.ReportMetric(routed.Value(n), "ms-through-"+n)
		}
	}
}

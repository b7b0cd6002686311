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

// answers is the number of requests that TestAnswersUnderEngineFaults sends; -answers 10000 is the long run.
var answers = flag.Int("answers", 1500, "requests that TestAnswersUnderEngineFaults sends")

// TestAnswersUnderEngineFaults sends requests of 64 concurrent callers through 3 VMs to engines that answer late, name another
// request in the answer, truncate answers and reset connections. Every answer must be complete and belong to its request, or end
// with an error, and more than 95% must be complete.
func TestAnswersUnderEngineFaults(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 6 {
		f.startEngine(i, emulate.Faults{Truncated: 0.1, Late: 0.02, WrongID: 0.05, Reset: 0.05, Again: 0.1, Fail: 0.02})
	}
	f.waitForUpstreams(6)
	opt := load.Options{
		Targets: f.callerURLs(), Model: testModel, App: testApp, Deadline: waitTimeout, FirstToken: waitTimeout, TokenGap: waitTimeout,
		Customers: []load.Customer{{Name: "one", Key: f.secrets["one"]}, {Name: "two", Key: f.secrets["two"]}},
	}
	list := load.Burst(context.Background(), opt, 64, *answers, 1)
	complete, failed := 0, 0
	for _, o := range list {
		require.False(t, o.Wrong, "request %s: a wrong answer was delivered as complete", o.Request)
		require.False(t, o.Truncated, "request %s: the answer stopped without an end mark or an error: %s", o.Request, o.Error)
		if o.Correct {
			complete++
		} else {
			require.NotEmpty(t, o.Code, "request %s: neither a complete answer nor a refusal", o.Request)
			failed++
		}
	}
	t.Logf("%d complete, %d ended with an error, 0 wrong", complete, failed)
	require.Greater(t, complete, *answers*95/100)
}

func TestAPIKeys(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine(0, emulate.Faults{})
	a := f.startApp("app1", testApp)
	f.startApp("app2", "open")
	f.startApp("app3", "private")
	f.waitForUpstreams(4)
	v := f.vms[0]
	t.Run("a key works only for its customer's services", func(t *testing.T) {
		resp, body := f.callVM(v, "GET", "/s/private/x", f.secrets["one"], "")
		requireRefusal(t, resp, body, http.StatusForbidden, call.Forbidden, call.RunNo)
		resp, _ = f.callVM(v, "GET", "/s/private/x", f.secrets["two"], "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
	t.Run("a service that allows anonymous calls works without a key", func(t *testing.T) {
		resp, _ := f.callVM(v, "GET", "/s/open/x", "", "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
	t.Run("other services refuse a missing, wrong or operator key", func(t *testing.T) {
		resp, body := f.callVM(v, "GET", "/s/booking/x", "", "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.NoKey, call.RunNo)
		resp, body = f.callVM(v, "GET", "/s/booking/x", f.secrets["one"]+"x", "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.BadKey, call.RunNo)
		resp, body = f.callVM(v, "GET", "/s/booking/x", f.secrets["admin"], "")
		requireRefusal(t, resp, body, http.StatusForbidden, call.Forbidden, call.RunNo)
	})
	t.Run("credentials and hop-by-hop headers are not forwarded", func(t *testing.T) {
		f.callVM(v, "POST", "/s/booking/y", f.secrets["one"], "body", "Connection", "X-Secret", "X-Secret", "1",
			"Proxy-Authorization", "Basic abc", "Cookie", "c=1", "X-Api-Key", f.secrets["one"], "Te", "trailers")
		for _, h := range a.RequestHeaders() {
			for name, values := range h {
				require.NotContains(t, strings.Join(values, " "), f.secrets["one"], name)
			}
			for _, name := range []string{"Authorization", "Cookie", "Proxy-Authorization", "X-Secret", "X-Api-Key", "Te", "Connection"} {
				require.Empty(t, h.Values(name), name)
			}
		}
	})
	t.Run("a withdrawn key is refused", func(t *testing.T) {
		r, err := http.NewRequest("DELETE", v.OperatorURL()+"/api/v1/keys/one", nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+f.secrets["admin"])
		r.Header.Set("If-Match", "*")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		resp, body := f.callVM(v, "GET", "/s/booking/x", f.secrets["one"], "")
		requireRefusal(t, resp, body, http.StatusUnauthorized, call.BadKey, call.RunNo)
	})
}

func TestBadRequests(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	v := f.vms[0]
	for name, c := range map[string]struct {
		body   string
		status int
		code   call.Code
	}{
		"not JSON":       {"{", 400, call.BadRequest},
		"an array":       {"[]", 400, call.BadRequest},
		"no model":       {"{}", 400, call.BadRequest},
		"unknown model":  {`{"model":"x","messages":[{"role":"user","content":"a"}]}`, 404, call.NoService},
		"no messages":    {`{"model":"verdict","messages":[]}`, 400, call.BadRequest},
		"negative limit": {`{"model":"verdict","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, 400, call.BadRequest},
		"two choices":    {`{"model":"verdict","n":2,"messages":[{"role":"user","content":"a"}]}`, 400, call.BadRequest},
		"body too large": {`{"model":"` + strings.Repeat("x", 9<<20) + `"}`, 413, call.BodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := f.callVM(v, "POST", "/v1/chat/completions", f.secrets["one"], c.body)
			requireRefusal(t, resp, body, c.status, c.code, call.RunNo)
		})
	}
}

// TestSlowAndTruncatedBodies sends part of the declared body and then stalls, or closes the connection for writing. The request
// must be refused before it reaches an engine.
func TestSlowAndTruncatedBodies(t *testing.T) {
	f := (&fleetOptions{bodyTimeout: time.Second}).start(t, 1)
	f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
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
		requireRefusal(t, resp, string(body), http.StatusRequestTimeout, call.BodyTimeout, call.RunNo)
	})
	t.Run("truncated", func(t *testing.T) {
		c := send().(*net.TCPConn)
		defer c.Close()
		require.NoError(t, c.CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		requireRefusal(t, resp, string(body), http.StatusBadRequest, call.BodyTruncated, call.RunNo)
	})
	require.Zero(t, f.engines[0].Stats().Requests)
}

// TestStopRespectsDrainLimit stops a VM while a stream runs for longer than the stop limit. New requests must be refused as not
// run in the meantime, and the VM must still stop.
func TestStopRespectsDrainLimit(t *testing.T) {
	f := (&fleetOptions{stopLimit: time.Second}).start(t, 1)
	e := f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	v := f.vms[0]
	go http.Post(v.CallerURL()+"/s/open/x", "text/plain", nil)
	r, err := http.NewRequest("POST", v.CallerURL()+"/v1/chat/completions", strings.NewReader(chatBody("x", 90000, true)))
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
	f.waitUntil("the health check fails", func() bool {
		h, err := http.Get(v.CallerURL() + "/health")
		if err != nil {
			return false
		}
		h.Body.Close()
		return h.StatusCode == http.StatusServiceUnavailable
	})
	f.waitUntil("new requests are refused", v.stopping.Load)
	refused, body := f.callVM(v, "POST", "/v1/chat/completions", f.secrets["one"], chatBody("y", 5, false))
	requireRefusal(t, refused, body, http.StatusServiceUnavailable, call.Stopping, call.RunNo)
	<-done
	require.EqualValues(t, 1, e.Stats().Requests, "a request that was refused as not run reached the engine")
}

// TestLargeBodiesAreStreamed sends and receives about 5 MB through a plain service.
func TestLargeBodiesAreStreamed(t *testing.T) {
	f := newFleet(t, 1)
	f.startApp("app1", testApp)
	f.waitForUpstreams(1)
	v := f.vms[0]
	t.Run("request body", func(t *testing.T) {
		data := bytes.Repeat([]byte("x"), 5<<20)
		resp, body := f.callVM(v, "POST", "/s/booking/up", f.secrets["one"], string(data))
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		require.Contains(t, body, fmt.Sprint(`"bytes":`, 5<<20))
	})
	t.Run("response body", func(t *testing.T) {
		resp, body := f.callVM(v, "GET", "/s/booking/bytes/5000000", f.secrets["one"], "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Len(t, body, 5000000)
	})
}

// TestIdempotentCallRunsOnce repeats a call with the same idempotency key at another VM, which must replay the first answer.
// Another body under the same key is refused, and another customer may use the key.
func TestIdempotentCallRunsOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.startApp("app1", testApp)
	f.startApp("app2", testApp)
	f.waitForUpstreams(2)
	resp, first := f.callVM(f.vms[0], "POST", "/s/booking/book", f.secrets["one"], "part 7", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode, first)
	resp, again := f.callVM(f.vms[1], "POST", "/s/booking/book", f.secrets["one"], "part 7", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode, again)
	require.Equal(t, first, again)
	require.Equal(t, "true", resp.Header.Get("Idempotent-Replayed"))
	require.Equal(t, 1, f.runCounter.Runs("part 7"))
	resp, body := f.callVM(f.vms[1], "POST", "/s/booking/book", f.secrets["one"], "part 8", "Idempotency-Key", "k1")
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.IdempotencyKeyReused, call.RunNo)
	require.Zero(t, f.runCounter.Runs("part 8"))
	resp, _ = f.callVM(f.vms[1], "POST", "/s/booking/book", f.secrets["two"], "part 9", "Idempotency-Key", "k1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 1, f.runCounter.Runs("part 9"))
}

// TestCrashingRequestIsQuarantined sends a request that crashes every engine that runs it. It must be refused after the second
// crash, and all other requests must finish.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 4 {
		f.startEngine(i, emulate.Faults{Crash: "poison"})
	}
	f.waitForUpstreams(4)
	var wg sync.WaitGroup
	bodies := make([]string, 16)
	for i := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, bodies[i] = f.callVM(f.vms[i%2], "POST", "/v1/chat/completions", f.secrets["one"], chatBody(fmt.Sprint("neighbour ", i), 300, false))
		}()
	}
	time.Sleep(50 * time.Millisecond)
	resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["two"], chatBody("poison", 50, false))
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.Quarantined, call.RunYes)
	wg.Wait()
	for i, b := range bodies {
		var got struct {
			Choices []struct{ Message struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(b), &got))
		require.NotEmpty(t, got.Choices, b)
		require.Equal(t, expectedAnswer(fmt.Sprint("neighbour ", i), 300), got.Choices[0].Message.Content)
	}
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.EqualValues(t, 2, crashes)
	t.Run("other VMs refuse it too", func(t *testing.T) {
		f.waitUntil("the other VM refuses the request", func() bool {
			resp, _ := f.callVM(f.vms[1], "POST", "/v1/chat/completions", f.secrets["two"], chatBody("poison", 50, false))
			return resp.StatusCode == http.StatusUnprocessableEntity
		})
	})
}

// TestCrashingPlainRequestIsQuarantined sends requests of each kind that crash every application that runs them, again and again
// to both VMs.
func TestCrashingPlainRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 4 {
		f.startCrashingApp(fmt.Sprint("app", i), testApp, "poison")
	}
	f.waitForUpstreams(4)
	crashes := func() (n int) {
		for _, a := range f.apps {
			n += a.Crashes()
		}
		return n
	}
	for name, c := range map[string]struct {
		method, path, body string
		keyed              bool
	}{
		"GET": {"GET", "/s/booking/poison-get", "", false}, "PUT": {"PUT", "/s/booking/put", "poison put", false},
		"POST": {"POST", "/s/booking/post", "poison post", false}, "POST without a body": {"POST", "/s/booking/poison-empty", "", false},
		"POST with keys": {"POST", "/s/booking/keyed", "poison keyed", true},
	} {
		t.Run(name, func(t *testing.T) {
			before, refused := crashes(), 0
			for i := 0; refused < 4; i++ {
				require.Less(t, i, 400, "still sent")
				var head []string
				if c.keyed {
					head = []string{"Idempotency-Key", fmt.Sprint(name, i)}
				}
				resp, body := f.callVM(f.vms[i%2], c.method, c.path, f.secrets["one"], c.body, head...)
				if strings.Contains(body, string(call.Quarantined)) && resp.StatusCode == http.StatusUnprocessableEntity {
					refused++
				}
				time.Sleep(pollInterval)
			}
			require.LessOrEqual(t, crashes()-before, 3)
		})
	}
}

// A VM that joins after the crashes must not send the request once more.
func TestQuarantineReachesNewVM(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 4 {
		f.startEngine(i, emulate.Faults{Crash: "poison"})
	}
	f.waitForUpstreams(4)
	resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["two"], chatBody("poison", 50, false))
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.Quarantined, call.RunYes)
	v := f.addVM(2)
	f.waitUntil("the new VM serves", func() bool {
		resp, _ := f.callVM(v, "POST", "/v1/chat/completions", f.secrets["one"], chatBody("neighbour", 5, false))
		return resp.StatusCode == http.StatusOK
	})
	resp, body = f.callVM(v, "POST", "/v1/chat/completions", f.secrets["two"], chatBody("poison", 50, false))
	requireRefusal(t, resp, body, http.StatusUnprocessableEntity, call.Quarantined, call.RunNo)
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.EqualValues(t, 2, crashes)
}

// TestStopFinishesRunningStreams stops a VM and an engine gracefully under load: no stream may be truncated.
func TestStopFinishesRunningStreams(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 3 {
		f.startEngine(i, emulate.Faults{})
	}
	f.waitForUpstreams(3)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := fmt.Sprint("long ", i)
			resp, body := f.callVM(f.vms[1], "POST", "/v1/chat/completions", f.secrets["one"], chatBody(text, 800, true))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "the stream of request %d was truncated", i)
		}()
	}
	f.waitUntil("streams run", func() bool { return f.vms[1].caller.RunningRequests.Load() == 24 })
	go f.engines[0].Leave(f.ctx)
	f.waitUntil("the leaving engine is out of the roster", func() bool { return len(f.vms[1].roster.Snapshot().All) == 2 })
	f.stops[1]()
	wg.Wait()
	_, member := f.vms[0].authority.State().Members()["vm2"]
	require.False(t, member)
}

// TestReclaimKeepsRunningRequests reclaims all cheap engines at 100 ms notice under load: their requests must finish on the
// remaining engine.
func TestReclaimKeepsRunningRequests(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 4 {
		f.startPricedEngine(i, emulate.Faults{}, i > 0)
	}
	f.waitForUpstreams(4)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody(fmt.Sprint("kept ", i), 600, true))
			require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "the stream of request %d was truncated", i)
		}()
	}
	f.waitUntil("streams run", func() bool {
		n := int64(0)
		for _, e := range f.engines {
			n += e.Stats().Requests
		}
		return n == 16
	})
	cheapRequests := int64(0)
	for _, e := range f.engines[1:] {
		cheapRequests += e.Stats().Requests
		require.True(t, e.Reclaim(100*time.Millisecond, 0))
	}
	wg.Wait()
	require.Positive(t, cheapRequests, "no request ran on a cheap engine")
}

// TestCallerDisconnectCancelsEngineRequest closes a caller's connection in the middle of a stream. The engine must cancel the
// request and the VM must no longer count it as running.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := newFleet(t, 1)
	e := f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", f.vms[0].CallerURL()+"/v1/chat/completions", strings.NewReader(chatBody("x", 90000, true)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.secrets["one"])
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 100))
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	f.waitUntil("the engine has cancelled the request", func() bool { return e.Stats().Cancelled == 1 })
	f.waitUntil("no request runs on the VM", func() bool { return f.vms[0].caller.RunningRequests.Load() == 0 })
}

// TestDeadline checks that a request ends at its deadline with an error that states whether it ran, and that an invalid deadline
// is refused.
func TestDeadline(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	resp, body := f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody("x", 90000, false), "Wagtaillift-Deadline", "200ms")
	requireRefusal(t, resp, body, http.StatusGatewayTimeout, call.Deadline, call.RunUnknown)
	resp, body = f.callVM(f.vms[0], "POST", "/v1/chat/completions", f.secrets["one"], chatBody("x", 9, false), "Wagtaillift-Deadline", "soon")
	requireRefusal(t, resp, body, http.StatusBadRequest, call.BadRequest, call.RunNo)
}

// TestSilentUpstreamIsRemoved stops the heartbeats of an application: within 3 seconds no VM may have it in its roster.
func TestSilentUpstreamIsRemoved(t *testing.T) {
	f := newFleet(t, 2)
	f.startApp("app1", testApp)
	a := f.startApp("app2", testApp)
	f.waitForUpstreams(2)
	a.StopAnnouncing()
	start := time.Now()
	f.waitForUpstreams(1)
	require.Less(t, time.Since(start), 3*time.Second)
}

// BenchmarkFirstToken measures the time to the first token through a VM and, for comparison, directly at the same engines, at
// 50 requests per second with streams of 200 tokens.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet(b, 1)
	for i := range 4 {
		f.startEngine(i, emulate.Faults{})
	}
	f.waitForUpstreams(4)
	var engineURLs []string
	for _, e := range f.engines {
		engineURLs = append(engineURLs, "http://"+e.Address())
	}
	phase := load.Phase{Name: "steady", Duration: 8 * time.Second, Rate: 50, Mix: load.Mix{Prompt: 200, Output: 200}}
	plan := load.Plan(1, []load.Phase{phase}, []load.Customer{{Name: "one", Weight: 1}}, 0)
	directOptions := load.Options{
		Targets: engineURLs, Direct: true, Model: testModel, Deadline: waitTimeout, FirstToken: waitTimeout, TokenGap: waitTimeout,
		Customers: []load.Customer{{Name: "one", Key: f.secrets["one"]}},
	}
	for b.Loop() {
		direct := load.Summarize(&directOptions, load.Run(context.Background(), directOptions, plan), phase.Duration)
		routedOptions := directOptions
		routedOptions.Targets, routedOptions.Direct = f.callerURLs(), false
		routed := load.Summarize(&routedOptions, load.Run(context.Background(), routedOptions, plan), phase.Duration)
		for _, n := range []string{"first_token_p50", "first_token_p95", "first_token_p99"} {
			b.ReportMetric(direct.Value(n), "ms-straight-"+n)
			b.ReportMetric(routed.Value(n), "ms-through-"+n)
		}
	}
}

package vm

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/setting"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/emulate"
)

// A planned stop closes no connection on which a caller may just be sending: what comes while the VM is still in rotation is answered, and the
// answer says that the connection ends.
func TestStopAnswersOnIdleConnections(t *testing.T) {
	f := newFleet(t, 1)
	v := f.vms[0]
	v.cfg.Shutdown.RefuseDelay = 300 * time.Millisecond
	conn, err := net.Dial("tcp", v.listeners[endpointCaller].Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	r := bufio.NewReader(conn)
	ask := func() *http.Response {
		_, err := io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.False(t, ask().Close)
	go f.stops[0]()
	f.waitUntil("the VM stops", v.unhealthy.Load)
	time.Sleep(20 * time.Millisecond)
	resp := ask()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.True(t, resp.Close)
}

// lateOutcome is what a caller saw of a request that it completed while a VM was stopping.
type lateOutcome struct {
	body   string
	status int // zero without an answer
	text   string
}

// sendLate sends a request that must not be repeated to service svc of v, the last byte of its body after delay.
func (f *fleet) sendLate(v *VM, svc, body string, delay time.Duration, out chan<- lateOutcome) {
	o := lateOutcome{body: body}
	defer func() { out <- o }()
	conn, err := net.Dial("tcp", v.listeners[endpointCaller].Addr().String())
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	last := len(body) - 1
	fmt.Fprintf(conn, "POST /s/%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", svc, f.secrets["one"], len(body), body[:last])
	time.Sleep(delay)
	if _, err := io.WriteString(conn, body[last:]); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		o.status, o.text = resp.StatusCode, string(data)
	}
}

// Calls whose bodies came late in a planned stop were passed on, and cut at its end.
func TestStopAnswersLateBodies(t *testing.T) {
	f := newFleet(t, 1)
	v := f.vms[0]
	v.cfg.Shutdown = setting.Shutdown{RefuseDelay: 100 * time.Millisecond, DrainTimeout: time.Minute, Leave: 200 * time.Millisecond, Grace: 2 * time.Second}
	f.startApp("quick", testApp).Delay = 500 * time.Millisecond
	f.startApp("slow", "open").Delay = 5 * time.Second
	f.waitForUpstreams(2)
	const late, running = 12, 5
	out := make(chan lateOutcome, late+2*running+1)
	for i := range late {
		go f.sendLate(v, testApp, fmt.Sprint("late ", i), time.Duration(i+1)*300*time.Millisecond, out)
	}
	for i := range running {
		go f.sendLate(v, testApp, fmt.Sprint("quick ", i), 0, out)
		go f.sendLate(v, "open", fmt.Sprint("slow ", i), 0, out)
	}
	f.waitUntil("requests run", func() bool { return v.caller.RunningRequests.Load() == late+2*running })
	time.Sleep(100 * time.Millisecond)
	f.stops[0]()
	counts := map[string]int{}
	for range late + 2*running {
		o := <-out
		kind, _, _ := strings.Cut(o.body, " ")
		counts[fmt.Sprint(kind, " ", o.status)]++
		switch o.status {
		case http.StatusServiceUnavailable:
			require.Zero(t, f.runCounter.Runs(o.body), o.body)
			require.Contains(t, o.text, `"run":"no"`)
		case http.StatusGatewayTimeout:
			require.Contains(t, o.text, `"run":"unknown"`)
		default:
			require.Equal(t, http.StatusOK, o.status, o.body)
		}
	}
	t.Log(counts)
	require.Equal(t, running, counts["quick 200"])
	require.Equal(t, running, counts["slow 504"])
	require.NotZero(t, counts["late 503"])
	require.Zero(t, counts["late 504"], "calls that must not be repeated were begun too late")
}

// A stream that still runs at the end of a planned stop ends with an error, and not as if it were complete.
func TestStopEndsStreamsWithAnError(t *testing.T) {
	f := newFleet(t, 1)
	v := f.vms[0]
	v.cfg.Shutdown = setting.Shutdown{RefuseDelay: 10 * time.Millisecond, DrainTimeout: time.Second, Leave: time.Second}
	f.startEngine(0, emulate.Faults{})
	f.waitForUpstreams(1)
	done := make(chan string, 1)
	go func() {
		defer close(done)
		_, body := f.callVM(v, "POST", "/v1/chat/completions", f.secrets["one"], chatBody("x", 90000, true))
		done <- body
	}()
	f.waitUntil("the stream runs", func() bool { return f.engines[0].Stats().Requests == 1 })
	go f.stops[0]()
	body := <-done
	require.NotContains(t, body, "[DONE]")
	require.Contains(t, body, "event: error")
	require.Contains(t, body, string(call.Stopping))
}

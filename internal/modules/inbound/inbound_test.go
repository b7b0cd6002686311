package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/memory"
)

func TestChooseStalled(t *testing.T) {
	const now, timeout, unreadTimeout = 10 * time.Second, 3 * time.Second, time.Second
	c := func(kept bool, progress time.Duration, bytes int64) candidate {
		return candidate{kept: kept, progress: progress, bytes: bytes}
	}
	for name, x := range map[string]struct {
		list   []candidate
		bytes  int64
		chosen []candidate
		next   time.Duration
	}{
		"none":                           {nil, 1, nil, now + unreadTimeout},
		"progress within the timeout":    {[]candidate{c(false, 8*time.Second, 9), c(false, 9*time.Second, 9)}, 1, nil, 11 * time.Second},
		"longest first":                  {[]candidate{c(false, 5*time.Second, 9), c(false, time.Second, 9)}, 1, []candidate{c(false, time.Second, 9)}, now},
		"between two requests last":      {[]candidate{c(true, time.Second, 9), c(false, 6*time.Second, 9)}, 1, []candidate{c(false, 6*time.Second, 9)}, now},
		"as many as needed":              {[]candidate{c(false, 1, 4), c(false, 2, 4), c(false, 3, 4)}, 8, []candidate{c(false, 1, 4), c(false, 2, 4)}, now},
		"all if they are not enough":     {[]candidate{c(true, 1, 4), c(false, 2, 4)}, 100, []candidate{c(false, 2, 4), c(true, 1, 4)}, now + unreadTimeout},
		"a slow one keeps its place":     {[]candidate{c(false, now-timeout+1, 100), c(false, 1, 1)}, 50, []candidate{c(false, 1, 1)}, now + 1},
		"no request read":                {[]candidate{{unread: true, progress: now - unreadTimeout, bytes: 1}, c(false, now-2*unreadTimeout, 1)}, 2, []candidate{{unread: true, progress: now - unreadTimeout, bytes: 1}}, now + unreadTimeout},
		"exactly at the end of its time": {[]candidate{c(false, now-timeout, 1)}, 1, []candidate{c(false, now-timeout, 1)}, now + unreadTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, next := chooseStalled(now, Patience{Unread: unreadTimeout, Request: timeout}, x.list, x.bytes)
			require.Equal(t, x.chosen, chosen)
			require.Equal(t, x.next, next)
		})
	}
}

// serve serves h with the table's limits and returns the listener.
func serve(t *testing.T, table *Table, limit int, idle time.Duration, h http.HandlerFunc) *Listener {
	l, err := table.Listen("clients", "127.0.0.1:0", limit, func() time.Duration { return idle })
	require.NoError(t, err)
	srv := &http.Server{Handler: l.Handler(h), ConnContext: ConnContext}
	go srv.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	go table.Run(ctx)
	t.Cleanup(func() {
		cancel()
		srv.Close()
	})
	return l
}

// newTable returns a table with short timeouts and so much memory.
func newTable(bytes int64) *Table {
	table := &Table{Memory: &memory.Budget{}, Patience: Patience{Unread: 50 * time.Millisecond, Request: 100 * time.Millisecond}, BodyTimeout: time.Minute, WriteTimeout: 100 * time.Millisecond}
	table.Memory.Reclaim = table.Reclaim
	table.Memory.SetLimit(bytes)
	return table
}

func dial(t *testing.T, l *Listener, text string) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.Copy(io.Discard, c)
	if err != nil {
		require.NotErrorIs(t, err, context.DeadlineExceeded)
		require.NotContains(t, err.Error(), "timeout")
	}
}

// requireServed requires that a request over a new connection is answered, also if the first tries are refused.
func requireServed(t *testing.T, l *Listener) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		resp, err := client.Get("http://" + l.Addr().String())
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond)
}

func nothing(http.ResponseWriter, *http.Request) {}

func TestStalledConnectionsAreClosedInFavourOfNewOnes(t *testing.T) {
	const limit = 16
	for name, text := range map[string]string{
		"silent": "", "in a header": "GET / HTTP/1.1\r\nHost: h\r\n", "in a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", "kept": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := serve(t, newTable(100<<20), limit, 0, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
			for range 2 * limit {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { c.Close() })
				io.WriteString(c, text) // may be refused
			}
			requireServed(t, l)
			require.LessOrEqual(t, l.open.Load(), int64(limit))
			require.Positive(t, l.stalled.Load())
		})
	}
}

func TestRunningRequestsAreNotClosed(t *testing.T) {
	const limit = 8
	release := make(chan struct{})
	l := serve(t, newTable(100<<20), limit, 0, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		io.WriteString(w, "answer")
	})
	running := dial(t, l, "GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	for range 2 * limit {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	requireServed(t, l)
	close(release)
	data, err := io.ReadAll(running)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(data), "answer"), "%q", data)
}

func TestMemoryBoundsConnectionsAndHeaders(t *testing.T) {
	const connections = 20
	l := serve(t, newTable(2*connections*connBytes), 0, 0, nothing)
	for i := range 4 * connections {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\nX: %s", i, strings.Repeat("x", 8<<10)) // may be refused
		require.LessOrEqual(t, l.open.Load(), int64(connections))
	}
	requireServed(t, l)
	require.LessOrEqual(t, l.table.Memory.Held(memory.Connection), int64(connections*connBytes))
}

func TestRoomOfHeadersIsGivenBack(t *testing.T) {
	l := serve(t, newTable(100<<20), 0, 0, nothing)
	c := dial(t, l, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 100<<10)+"\r\n\r\n")
	require.Eventually(t, func() bool { return l.table.Memory.Held(memory.Connection) == connBytes }, 5*time.Second, time.Millisecond)
	c.Close()
	require.Eventually(t, func() bool { return l.table.Memory.Held(memory.Connection) == 0 && l.open.Load() == 0 }, 5*time.Second, time.Millisecond)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	l := serve(t, newTable(0), 0, 50*time.Millisecond, nothing)
	requireClosed(t, dial(t, l, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.EqualValues(t, 1, l.idled.Load())
}

func TestConnectionsWithUnreadAnswersAreClosed(t *testing.T) {
	ended := make(chan error, 1)
	l := serve(t, newTable(0), 0, 0, func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for {
			if _, err := w.Write(block); err != nil {
				ended <- err
				return
			}
		}
	})
	dial(t, l, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the answer is still written")
	}
	require.EqualValues(t, 1, l.unread.Load())
}

func TestBodiesHaveATime(t *testing.T) {
	table := newTable(0)
	table.BodyTimeout = 100 * time.Millisecond
	for name, h := range map[string]http.HandlerFunc{
		"not read": nothing,
		"read":     func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) },
	} {
		t.Run(name, func(t *testing.T) {
			l := serve(t, table, 0, 0, h)
			requireClosed(t, dial(t, l, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"))
		})
	}
	t.Run("the deadline ends with the body", func(t *testing.T) {
		l := serve(t, table, 0, 0, func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(3 * table.BodyTimeout)
			if r.Context().Err() == nil {
				io.WriteString(w, "answer")
			}
		})
		c := dial(t, l, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
		data, err := io.ReadAll(c)
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(string(data), "answer"), "%q", data)
	})
}

// The connection was reset under the answer, as net/http did not find its own body in the request.
func TestAnswerBeforeTheEndOfTheBodyArrives(t *testing.T) {
	l := serve(t, newTable(0), 0, 0, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for range 20 {
		resp, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", 8<<20)))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	}
}

func TestMetrics(t *testing.T) {
	l := serve(t, newTable(0), 7, 0, nothing)
	requireServed(t, l)
	var sb strings.Builder
	l.table.WriteMetrics(&sb)
	require.Contains(t, sb.String(), `wagtaillift_connections_limit{address="clients"} 7`)
	require.Contains(t, sb.String(), `wagtaillift_connections_closed_total{address="clients",reason="stalled"} 0`)
}

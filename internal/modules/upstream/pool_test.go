package upstream

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testUpstream is a TCP server that runs a handler for each connection and records the requests it reads.
type testUpstream struct {
	t         *testing.T
	listener  net.Listener
	connCount atomic.Int64
	mu        sync.Mutex
	requests  []string
}

// startUpstream starts a server that calls f for each connection, with the number of the connection from 1.
func startUpstream(t *testing.T, f func(s *testUpstream, n int64, c net.Conn, r *bufio.Reader)) *testUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testUpstream{t: t, listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(s, s.connCount.Add(1), c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *testUpstream) address() string { return s.listener.Addr().String() }

// readRequest reads and records one request and returns its body.
func (s *testUpstream) readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return "", false
	}
	s.mu.Lock()
	s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
	s.mu.Unlock()
	return string(body), true
}

// requestLines returns method, target and body of each request read so far.
func (s *testUpstream) requestLines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// answer returns an HTTP response to request id.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// message returns a request that accepts only answers with its own id.
func message(id, body string) *Message {
	return &Message{
		Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(body), HasBody: true,
		IsOwnAnswer: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// exchange sends m and returns the body of the answer and whether the request was sent.
func exchange(t *testing.T, p *Pool, address string, m *Message) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, sent, err := p.Do(ctx, address, 2, m)
	if err != nil {
		return "", sent, err
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		r.Close()
		return "", sent, err
	}
	r.Finish()
	return string(data), sent, nil
}

func TestPoolReusesConnection(t *testing.T) {
	s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := s.readRequest(r); !ok {
				return
			}
			io.WriteString(c, answer("1", "ok"))
		}
	})
	var p Pool
	for range 3 {
		got, _, err := exchange(t, &p, s.address(), message("1", "x"))
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.EqualValues(t, 1, s.connCount.Load())
	require.Equal(t, "POST /a?b x", s.requestLines()[0])
}

func TestPoolClosesUnusableConnections(t *testing.T) {
	for name, tail := range map[string]string{
		"extra answer":  answer("1", "again"),
		"invalid bytes": "\x00\x01",
		"closed":        "",
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan struct{}, 8)
			s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
				if _, ok := s.readRequest(r); !ok {
					return
				}
				io.WriteString(c, answer("1", "ok"))
				if tail != "" {
					io.WriteString(c, tail)
					served <- struct{}{}
					s.readRequest(r)
					return
				}
				c.Close()
				served <- struct{}{}
			})
			var p Pool
			for range 2 {
				got, _, err := exchange(t, &p, s.address(), message("1", "x"))
				require.NoError(t, err)
				require.Equal(t, "ok", got)
				<-served
			}
			require.Len(t, s.requestLines(), 2, "each request must be sent once")
			require.EqualValues(t, 2, s.connCount.Load())
		})
	}
}

// TestPoolSkipsLateAnswers checks that a late answer to an earlier request is skipped and that its connection is not
// reused.
func TestPoolSkipsLateAnswers(t *testing.T) {
	s := startUpstream(t, func(s *testUpstream, n int64, c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := s.readRequest(r); !ok {
				return
			}
			if n == 1 {
				io.WriteString(c, answer("0", "late"))
			}
			io.WriteString(c, answer("1", "own"))
		}
	})
	var p Pool
	for range 2 {
		got, _, err := exchange(t, &p, s.address(), message("1", "x"))
		require.NoError(t, err)
		require.Equal(t, "own", got)
	}
	require.EqualValues(t, 2, s.connCount.Load())
}

func TestPoolReportsWhetherSent(t *testing.T) {
	t.Run("refused connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
		_, sent, err := exchange(t, &Pool{}, l.Addr().String(), message("1", "x"))
		require.Error(t, err)
		require.False(t, sent)
	})
	t.Run("not allowed", func(t *testing.T) {
		s := startUpstream(t, func(s *testUpstream, _ int64, _ net.Conn, r *bufio.Reader) { s.readRequest(r) })
		m := message("1", "x")
		m.Allow = func() bool { return false }
		_, sent, err := exchange(t, &Pool{}, s.address(), m)
		require.ErrorIs(t, err, ErrNotAllowed)
		require.False(t, sent)
		require.Empty(t, s.requestLines())
	})
	t.Run("closed without an answer", func(t *testing.T) {
		s := startUpstream(t, func(s *testUpstream, _ int64, _ net.Conn, r *bufio.Reader) { s.readRequest(r) })
		_, sent, err := exchange(t, &Pool{}, s.address(), message("1", "x"))
		require.Error(t, err)
		require.True(t, sent)
		require.Len(t, s.requestLines(), 1, "the request must not be sent again")
	})
	t.Run("too many connections", func(t *testing.T) {
		var p Pool
		s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
			s.readRequest(r)
			io.WriteString(c, answer("1", "ok"))
			s.readRequest(r)
		})
		var open []*Reply
		for range 2 {
			r, _, err := p.Do(context.Background(), s.address(), 2, message("1", "x"))
			require.NoError(t, err)
			open = append(open, r)
		}
		_, sent, err := p.Do(context.Background(), s.address(), 2, message("1", "x"))
		require.ErrorIs(t, err, ErrTooManyConns)
		require.False(t, sent)
		for _, r := range open {
			r.Close()
		}
	})
}

// An upstream may answer before it has read a long request. The connection must then be closed, because the rest of that
// request would be read as the next one.
func TestPoolClosesConnectionAnsweredBeforeWholeRequest(t *testing.T) {
	release := make(chan struct{})
	s := startUpstream(t, func(s *testUpstream, n int64, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			io.WriteString(c, answer("1", "early"))
			<-release
			return
		}
		s.readRequest(r)
		io.WriteString(c, answer("1", "whole"))
	})
	defer close(release)
	var p Pool
	got, _, err := exchange(t, &p, s.address(), message("1", strings.Repeat("x", 32<<20)))
	require.NoError(t, err)
	require.Equal(t, "early", got)
	got, _, err = exchange(t, &p, s.address(), message("1", "y"))
	require.NoError(t, err)
	require.Equal(t, "whole", got)
	require.EqualValues(t, 2, s.connCount.Load())
}

// A body was copied for the write, so that it was held twice.
func TestPoolWritesLongBodyFromWhereItLies(t *testing.T) {
	s := startUpstream(t, func(_ *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			h := fnv.New64()
			io.Copy(h, req.Body)
			io.WriteString(c, answer("1", strconv.FormatUint(h.Sum64(), 16)))
		}
	})
	for _, size := range []int{0, 1, maxInlineWrite - 200, maxInlineWrite, maxInlineWrite + 1, 64 << 10, 16 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			var p Pool
			body := strings.Repeat("0123456789", size/10+1)[:size]
			m := message("1", body)
			h := fnv.New64()
			io.WriteString(h, body)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, _, err := exchange(t, &p, s.address(), m)
			runtime.ReadMemStats(&after)
			require.NoError(t, err)
			require.Equal(t, strconv.FormatUint(h.Sum64(), 16), got)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
		})
	}
}

func TestPoolDoReturnsWhenContextEnds(t *testing.T) {
	closed := make(chan struct{})
	s := startUpstream(t, func(s *testUpstream, _ int64, _ net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		r.ReadByte() // returns when the client closes the connection
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.connCount.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _, err := (&Pool{}).Do(ctx, s.address(), 2, message("1", "x"))
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

func TestKeepAliveTimeout(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"":                  poolIdleTimeout,
		"timeout=5":         4 * time.Second,
		"timeout=5, max=10": 4 * time.Second,
		"timeout=1":         time.Nanosecond, // effectively never reused
		"timeout=900":       poolIdleTimeout,
		"max=3":             poolIdleTimeout,
	} {
		require.Equal(t, want, keepAliveTimeout(http.Header{"Keep-Alive": {v}}), "%q", v)
	}
}

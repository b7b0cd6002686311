package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// script is an upstream that answers each request on a connection with the next text.
type script struct {
	t        *testing.T
	l        net.Listener
	conns    atomic.Int64
	mu       sync.Mutex
	requests []string
}

// serve runs f for every connection.
func serve(t *testing.T, f func(s *script, n int64, c net.Conn, r *bufio.Reader)) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{t: t, l: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(s, s.conns.Add(1), c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *script) address() string { return s.l.Addr().String() }

// read takes one request and returns its body.
func (s *script) read(r *bufio.Reader) (string, bool) {
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

// seen returns the requests so far.
func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func message(id, body string) *Message {
	return &Message{
		Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(body), Framed: true,
		Own: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// exchange sends one request and returns the whole answer.
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

func TestPoolKeepsConnections(t *testing.T) {
	s := serve(t, func(s *script, _ int64, c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := s.read(r); !ok {
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
	require.EqualValues(t, 1, s.conns.Load())
	require.Equal(t, "POST /a?b x", s.seen()[0])
}

func TestPoolDropsWhatCannotBeReused(t *testing.T) {
	for name, tail := range map[string]string{
		"a second answer": answer("1", "again"),
		"spoiled bytes":   "\x00\x01",
		"the end":         "",
	} {
		t.Run(name, func(t *testing.T) {
			wrote := make(chan struct{}, 8)
			s := serve(t, func(s *script, _ int64, c net.Conn, r *bufio.Reader) {
				if _, ok := s.read(r); !ok {
					return
				}
				io.WriteString(c, answer("1", "ok"))
				if tail != "" {
					io.WriteString(c, tail)
					wrote <- struct{}{}
					s.read(r)
					return
				}
				c.Close()
				wrote <- struct{}{}
			})
			var p Pool
			for range 2 {
				got, _, err := exchange(t, &p, s.address(), message("1", "x"))
				require.NoError(t, err)
				require.Equal(t, "ok", got)
				<-wrote
			}
			require.Len(t, s.seen(), 2, "no request was sent twice")
			require.EqualValues(t, 2, s.conns.Load())
		})
	}
}

// A late answer to an earlier request is skipped, and its connection not used again.
func TestPoolSkipsForeignAnswers(t *testing.T) {
	s := serve(t, func(s *script, n int64, c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := s.read(r); !ok {
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
	require.EqualValues(t, 2, s.conns.Load())
}

func TestPoolTellsWhatWasSent(t *testing.T) {
	t.Run("refused connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
		_, sent, err := exchange(t, &Pool{}, l.Addr().String(), message("1", "x"))
		require.Error(t, err)
		require.False(t, sent)
	})
	t.Run("held back", func(t *testing.T) {
		s := serve(t, func(s *script, _ int64, _ net.Conn, r *bufio.Reader) { s.read(r) })
		m := message("1", "x")
		m.Allow = func() bool { return false }
		_, sent, err := exchange(t, &Pool{}, s.address(), m)
		require.ErrorIs(t, err, ErrBarred)
		require.False(t, sent)
		require.Empty(t, s.seen())
	})
	t.Run("closed without an answer", func(t *testing.T) {
		s := serve(t, func(s *script, _ int64, _ net.Conn, r *bufio.Reader) { s.read(r) })
		_, sent, err := exchange(t, &Pool{}, s.address(), message("1", "x"))
		require.Error(t, err)
		require.True(t, sent)
		require.Len(t, s.seen(), 1, "it was not sent again")
	})
	t.Run("too many connections", func(t *testing.T) {
		var p Pool
		s := serve(t, func(s *script, _ int64, c net.Conn, r *bufio.Reader) {
			s.read(r)
			io.WriteString(c, answer("1", "ok"))
			s.read(r)
		})
		var open []*Reply
		for range 2 {
			r, _, err := p.Do(context.Background(), s.address(), 2, message("1", "x"))
			require.NoError(t, err)
			open = append(open, r)
		}
		_, sent, err := p.Do(context.Background(), s.address(), 2, message("1", "x"))
		require.ErrorIs(t, err, ErrBusy)
		require.False(t, sent)
		for _, r := range open {
			r.Close()
		}
	})
}

// An upstream may answer before it has read a long request; the rest of it must meet no other request.
func TestPoolAbandonsLongRequestsThatWereAnsweredEarly(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(s *script, n int64, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			io.WriteString(c, answer("1", "early"))
			<-release
			return
		}
		s.read(r)
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
	require.EqualValues(t, 2, s.conns.Load())
}

func TestPoolEndsWithItsContext(t *testing.T) {
	gone := make(chan struct{})
	s := serve(t, func(s *script, _ int64, _ net.Conn, r *bufio.Reader) {
		s.read(r)
		r.ReadByte() // returns when the caller closes the connection
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.conns.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _, err := (&Pool{}).Do(ctx, s.address(), 2, message("1", "x"))
	require.ErrorIs(t, err, context.Canceled)
	<-gone
}

func TestIdleLife(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"":                  poolIdle,
		"timeout=5":         4 * time.Second,
		"timeout=5, max=10": 4 * time.Second,
		"timeout=1":         time.Nanosecond, // never used again
		"timeout=900":       poolIdle,
		"max=3":             poolIdle,
	} {
		require.Equal(t, want, idleLife(http.Header{"Keep-Alive": {v}}), "%q", v)
	}
}

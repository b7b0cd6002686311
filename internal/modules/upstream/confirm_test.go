package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// lives is an upstream whose connections belong to successive processes: the first ones to process 1, the others to process 2. A process
// answers the question "/who" with its number, and counts what else it gets.
type lives struct {
	firstConns   int32 // of process 1
	endsOnAnswer bool  // process 1 ends when it has answered the question
	conns        atomic.Int32
	asked        atomic.Int32
	requests     [3]atomic.Int32 // by process
}

func (l *lives) listen(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			process := 2
			if l.conns.Add(1) <= l.firstConns {
				process = 1
			}
			go l.serve(c, process)
		}
	}()
	return listener.Addr().String()
}

func (l *lives) serve(c net.Conn, process int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text := "done"
		if req.URL.Path == "/who" {
			l.asked.Add(1)
			text = strconv.Itoa(process)
		} else {
			l.requests[process].Add(1)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if req.URL.Path == "/who" && process == 1 && l.endsOnAnswer {
			return
		}
	}
}

// confirmed returns a request that only process 1 may take.
func confirmed() *Message {
	return &Message{Method: http.MethodPost, Target: "/run", Host: "h", Confirm: &Confirmation{
		Process: 1, Question: Message{Method: http.MethodGet, Target: "/who", Host: "h"},
		Parse: func(_ int, body []byte) (uint64, error) { return strconv.ParseUint(string(body), 10, 64) },
	}}
}

func do(t *testing.T, p *Pool, address string, m *Message) (sent bool, err error) {
	r, sent, err := p.Do(t.Context(), address, 0, m)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		r.Finish()
	}
	return sent, err
}

// An upstream that started again between the question of its process and the request got a request that was meant for its predecessor.
func TestRequestGoesToTheProcessThatConfirmed(t *testing.T) {
	t.Run("a connection is asked once", func(t *testing.T) {
		l := &lives{firstConns: 9}
		address, p := l.listen(t), &Pool{Dialer: &Dialer{}}
		for range 3 {
			_, err := do(t, p, address, confirmed())
			require.NoError(t, err)
		}
		require.EqualValues(t, 1, l.asked.Load())
		require.EqualValues(t, 3, l.requests[1].Load())
	})
	t.Run("another process", func(t *testing.T) {
		l := &lives{}
		address, p := l.listen(t), &Pool{Dialer: &Dialer{}}
		sent, err := do(t, p, address, confirmed())
		require.ErrorIs(t, err, ErrOtherProcess)
		require.False(t, sent)
		require.Zero(t, l.requests[2].Load())
		_, err = do(t, p, address, &Message{Method: http.MethodPost, Target: "/run", Host: "h"})
		require.NoError(t, err)
		require.EqualValues(t, 1, l.conns.Load(), "the connection serves what any process may take")
	})
	t.Run("it ends after its answer", func(t *testing.T) {
		l := &lives{firstConns: 1, endsOnAnswer: true}
		_, err := do(t, &Pool{Dialer: &Dialer{}}, l.listen(t), confirmed())
		require.Error(t, err)
		require.Zero(t, l.requests[2].Load())
	})
	t.Run("a kept connection that was closed is passed over", func(t *testing.T) {
		l := &lives{firstConns: 9}
		address, p := l.listen(t), &Pool{Dialer: &Dialer{}}
		_, err := do(t, p, address, &Message{Method: http.MethodPost, Target: "/run", Host: "h"})
		require.NoError(t, err)
		p.mu.Lock()
		p.hosts[address].idle[0].conn.(*net.TCPConn).CloseWrite()
		p.mu.Unlock()
		_, err = do(t, p, address, confirmed())
		require.NoError(t, err)
		require.EqualValues(t, 2, l.requests[1].Load())
	})
}

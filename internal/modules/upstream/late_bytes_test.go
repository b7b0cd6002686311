package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateBytes are what an upstream in trouble writes on a connection that has carried request 1, where the answer to request 2 is due.
func lateBytes() map[string]string {
	list := map[string]string{
		"event":                           "id: 3\ndata: late\n\n",
		"text":                            "out of memory\n",
		"blank lines":                     "\r\n\r\n",
		"bytes":                           "\x00\xff\xfe",
		"second copy":                     answer("1", "late"),
		"answer to another":               answer("0", "late"),
		"answer that names none":          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
		"empty answer that names none":    "HTTP/1.1 204 No Content\r\n\r\n",
		"answer without a length":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nlate",
		"answer in chunks":                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
		"half an answer":                  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nlate",
		"half an answer in chunks":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nlate",
		"answer longer than its length":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nlate",
		"interim answer":                  "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n",
		"three answers":                   answer("1", "late") + answer("1", "late") + answer("1", "late"),
		"last chunk of an earlier answer": "0\r\n\r\n",
	}
	head := "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\nX-Late:late\r\nX-Id: 1\r\n"
	for n := range head {
		list[fmt.Sprintf("head, cut after %d bytes", n)] = head[:n]
	}
	return list
}

// own is the answer to request 2. It is no success.
const own = "HTTP/1.1 503 Busy\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nown"

// Bytes that arrive late on a kept connection are not a part of the next answer, whether they come before the next request is written or
// after it.
func TestLateBytesOnAKeptConnection(t *testing.T) {
	for name, late := range lateBytes() {
		for _, before := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", before", false: ", after"}[before], func(t *testing.T) {
				arrived := make(chan struct{}, 4)
				s := startUpstream(t, func(s *testUpstream, n int64, c net.Conn, r *bufio.Reader) {
					if n == 1 {
						s.readRequest(r)
						io.WriteString(c, answer("1", "first"))
						if before {
							time.Sleep(time.Millisecond)
							io.WriteString(c, late)
							arrived <- struct{}{}
						}
					}
					if _, ok := s.readRequest(r); !ok {
						return
					}
					if n == 1 && !before {
						io.WriteString(c, late)
					}
					io.WriteString(c, own)
				})
				p := &Pool{Dialer: &Dialer{}}
				got, _, err := exchange(t, p, s.address(), withID("1"))
				require.NoError(t, err)
				require.Equal(t, "first", got)
				if before {
					<-arrived
					time.Sleep(time.Millisecond)
				}
				status, body, err := statusOf(p, s.address(), withID("2"))
				if before && late != "" {
					require.NoError(t, err, "bytes that were there were not seen before the write")
				}
				if err == nil {
					require.Equal(t, http.StatusServiceUnavailable, status, "the status of late bytes")
					require.Equal(t, "own", body)
				}
			})
		}
	}
}

// The same for a client of the other kind, which reads the answer to each request with net/http.
func TestLateHeadAtAClient(t *testing.T) {
	for name, late := range lateBytes() {
		t.Run(name, func(t *testing.T) {
			s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
				if _, ok := s.readRequest(r); ok {
					io.WriteString(c, late+own)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(), nil)
			require.NoError(t, err)
			c := New(&Dialer{})
			defer c.CloseIdle()
			resp, sent, err := c.Do(r)
			if err != nil {
				require.True(t, sent)
				return
			}
			defer resp.Body.Close()
			if resp.Header.Get("X-Id") == "2" {
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the status of late bytes")
			}
		})
	}
}

func TestStatusLineInAHead(t *testing.T) {
	for v, want := range map[string]bool{
		"": false, "1.1 proxy": false, "HTTP/1.1 proxy": false, "HTTP/1.1": false, "HTTP/1.1 20": false, "HTTP/1.x 200 OK": false, "http/1.1 200 OK": false,
		"HTTP/1.1 200 OK": true, "laHTTP/1.0 503": true, "HTTP/1.1 x, HTTP/1.1 404 Not Found": true,
	} {
		require.Equal(t, want, hasStatusLine(v), v)
	}
}

func withID(id string) *Message {
	m := message(id, "x")
	m.ID = id
	return m
}

func statusOf(p *Pool, address string, m *Message) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, _, err := p.Do(ctx, address, 2, m)
	if err != nil {
		return 0, "", err
	}
	defer r.Close()
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), err
}

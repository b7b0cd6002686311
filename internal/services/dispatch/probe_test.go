package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/upstream"
)

// Guards against taking an answer that tells nothing of the process for one of another process: its requests would be held as ones that crash
// upstreams.
func TestProbeThatNamesNoProcess(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer  string
		crashed bool
	}{
		"the process":               {ok + headerIncarnation + ": 7\r\nContent-Length: 0\r\n\r\n", false},
		"another process":           {ok + headerIncarnation + ": 8\r\nContent-Length: 0\r\n\r\n", true},
		"none":                      {ok + "Content-Length: 0\r\n\r\n", false},
		"a failure":                 {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 13\r\n\r\nout of memory", false},
		"an empty one":              {ok + headerIncarnation + ":\r\nContent-Length: 0\r\n\r\n", false},
		"a word":                    {ok + headerIncarnation + ": x\r\nContent-Length: 0\r\n\r\n", false},
		"a negative number":         {ok + headerIncarnation + ": -7\r\nContent-Length: 0\r\n\r\n", false},
		"two":                       {ok + headerIncarnation + ": 8\r\n" + headerIncarnation + ": 7\r\nContent-Length: 0\r\n\r\n", false},
		"an answer of its own kind": {"out of memory\r\n\r\n", false},
		"half a head":               {ok + "Wagtaillift-Inc", false},
		"another head in its head":  {ok + headerIncarnation + ": HTTP/1.1 200 OK\r\n" + headerIncarnation + ": 8\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						io.WriteString(conn, c.answer)
					}
					conn.Close()
				}
			}()
			d := &Dispatcher{Client: upstream.New(nil)}
			require.Equal(t, c.crashed, d.crashed(announced(t, l.Addr().String())))
		})
	}
}

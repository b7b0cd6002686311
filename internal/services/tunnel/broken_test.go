package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/upstream"
)

// halfAnswers are answers whose end the upstream has not written, in each framing.
var halfAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid: 1\ndata: a\n\n",
	"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
	"unframed": "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n",
}

// breaks are the ways in which a relayed connection ends in the middle of an answer.
var breaks = map[string]func(g *group, c *net.TCPConn){
	"upstream resets": func(_ *group, c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	},
	"relaying VM ends": func(g *group, _ *net.TCPConn) { g.services[1].Transport.Close() },
}

// A relayed answer that breaks off in its middle is an error in each framing; only the upstream's own close may be an end.
func TestBrokenRelayedAnswerDoesNotLookComplete(t *testing.T) {
	for framing, half := range halfAnswers {
		for way, breakOff := range breaks {
			t.Run(framing+", "+way, func(t *testing.T) {
				t.Parallel()
				body, err := relayHalf(t, half, breakOff)
				require.Equal(t, "id: 1\ndata: a\n\n", body)
				require.Error(t, err, "the answer looks complete")
			})
		}
		t.Run(framing+", upstream closes", func(t *testing.T) {
			t.Parallel()
			_, err := relayHalf(t, half, func(_ *group, c *net.TCPConn) { c.Close() })
			require.Equal(t, framing != "unframed", err != nil)
		})
	}
}

// relayHalf has an upstream send half of an answer through another VM, breaks the connection off once that has arrived, and returns the body.
func relayHalf(t *testing.T, half string, breakOff func(*group, *net.TCPConn)) (string, error) {
	g := newGroup(t, hang, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	conns := make(chan *net.TCPConn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, half)
			conns <- c.(*net.TCPConn)
		}
	}()
	p := &upstream.Pool{Dialer: &upstream.Dialer{Direct: hang, Relay: g.services[0].Open}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, _, err := p.Do(ctx, l.Addr().String(), 1, &upstream.Message{Method: http.MethodGet, Target: "/", Host: "h"})
	require.NoError(t, err)
	defer r.Close()
	got := make([]byte, len("id: 1\ndata: a\n\n"))
	_, err = io.ReadFull(r.Body, got)
	require.NoError(t, err)
	breakOff(g, <-conns)
	rest, err := io.ReadAll(r.Body)
	require.NoError(t, ctx.Err())
	return string(got) + string(rest), err
}

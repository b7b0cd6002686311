package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/service"
	"wagtaillift/internal/services/call"
)

func TestAgainPause(t *testing.T) {
	sum := time.Duration(0)
	for n := range maxAttempts - 1 {
		sum += againPause(n)
	}
	require.Equal(t, 750*time.Millisecond, sum)
}

// The load pattern: the only upstream that is left crashed a moment ago and listens again soon.
func TestUpstreamThatComesBackIsAskedAgain(t *testing.T) {
	b := newBench(t, []fault{closed})
	defer b.close()
	address := b.fakes[0].l.Addr().String()
	back := &fake{bytes: map[string]int{}, whole: map[string]int{}, fault: answersWell}
	ready := make(chan error, 1)
	go func() {
		time.Sleep(2 * againFirst)
		l, err := net.Listen("tcp", address)
		ready <- err
		for err == nil {
			var c net.Conn
			if c, err = l.Accept(); err == nil {
				go back.serve(c.(*net.TCPConn))
			}
		}
	}()
	body := "name=1;end"
	c := &call.Call{
		ID: "r-1", R: httptest.NewRequest(http.MethodPut, "/x", io.NopCloser(strings.NewReader(body))), Config: b.cfg, Path: "/x",
		Service: service.Service{ID: "s"}, Idempotent: true, Start: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(body),
	}
	_, err := b.d.Plain(context.Background(), c)
	require.NoError(t, <-ready)
	require.NoError(t, err)
}

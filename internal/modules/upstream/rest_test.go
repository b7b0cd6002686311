package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server forgets idle connections sooner than it says, and resets what is sent next on them. A request that may run once only is lost by
// it, so connections are used no longer after such a rest.
func TestForgottenIdleConnections(t *testing.T) {
	const forgets, requests, rest = 400 * time.Millisecond, 8, 500 * time.Millisecond
	s := startUpstream(t, func(s *testUpstream, _ int64, c net.Conn, r *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			if _, ok := s.readRequest(r); !ok {
				return
			}
			if time.Since(last) > forgets {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			c.Write([]byte(answer("1", "x")))
		}
	})
	p, lost := &Pool{Dialer: &Dialer{}}, 0
	for range requests {
		if _, _, err := exchange(t, p, s.address(), message("1", "q")); err != nil {
			lost++
		}
		time.Sleep(rest)
	}
	require.LessOrEqual(t, lost, restStrikes)
}

func TestRestLimit(t *testing.T) {
	const second = time.Second
	var l restLimit
	require.Zero(t, l.limit(second, restStrikes))
	for range 5 { // a crash resets all connections of an upstream at once
		l.reset(second, 300*time.Millisecond)
	}
	require.Zero(t, l.limit(second, restStrikes))
	l.reset(2*second, 200*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, l.limit(2*second, restStrikes))
	require.Zero(t, l.limit(2*second+restRetention, restStrikes), "it is tried again")
	l = restLimit{}
	l.reset(0, minRest/2)
	l.reset(second, minRest/2)
	require.Zero(t, l.limit(second, restStrikes), "a connection that hardly rested was reset for another reason")
}

func TestCommonRest(t *testing.T) {
	var one, many commonRest
	for i := range commonStrikes {
		now := time.Duration(i+1) * time.Second
		one.resetBy(now, time.Second, "a")
		many.resetBy(now, time.Second, string(rune('a'+i)))
	}
	end := commonStrikes * time.Second
	require.Zero(t, one.limit(end, commonStrikes), "one upstream shows nothing of others")
	require.Equal(t, time.Second/2, many.limit(end, commonStrikes))
	require.Equal(t, time.Second, shorter(0, time.Second))
	require.Equal(t, time.Second, shorter(time.Second, time.Minute))
}

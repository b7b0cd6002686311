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

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
)

func TestAgainPause(t *testing.T) {
	sum := time.Duration(0)
	for n := range maxAttempts - 1 {
		sum += againPause(n)
	}
	require.Equal(t, 750*time.Millisecond, sum)
}

// listen serves b's first upstream, which was closed, after d. The channel gets the error of listening.
func (b *bench) listen(d time.Duration) chan error {
	back := &fake{bytes: map[string]int{}, whole: map[string]int{}, fault: answersWell}
	ready := make(chan error, 1)
	go func() {
		time.Sleep(d)
		l, err := net.Listen("tcp", b.fakes[0].l.Addr().String())
		ready <- err
		for err == nil {
			var c net.Conn
			if c, err = l.Accept(); err == nil {
				go back.serve(c.(*net.TCPConn))
			}
		}
	}()
	return ready
}

const againBody = "name=1;end"

func (b *bench) patient() *call.Call {
	return &call.Call{
		ID: "r-1", R: httptest.NewRequest(http.MethodPut, "/x", io.NopCloser(strings.NewReader(againBody))), Config: b.cfg, Path: "/x",
		Service: service.Service{ID: "s"}, Idempotent: true, Start: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(againBody),
	}
}

// The load pattern: the only upstream that is left crashed a moment ago and listens again soon.
func TestUpstreamThatComesBackIsAskedAgain(t *testing.T) {
	b := newBench(t, []fault{closed})
	defer b.close()
	ready := b.listen(2 * againFirst)
	_, err := b.d.Plain(context.Background(), b.patient())
	require.NoError(t, <-ready)
	require.NoError(t, err)
}

// The load pattern: several requests were on an engine that crashed, and each engine is given to one of them at a time.
func TestCallThatHasBegunWaitsForIsolation(t *testing.T) {
	b := newBench(t, []fault{closed})
	defer b.close()
	b.cfg.Defaults[policy.Queue] = 0
	own := quarantine.Fingerprint("", "s", []byte(http.MethodPut+"/x\n"+againBody))
	other := quarantine.Fingerprint("", "s", []byte("other"))
	for _, p := range []quarantine.Print{own, other} {
		b.d.Quarantine.Crash(clock.Boot(), p, time.Minute)
	}
	asked := 0
	b.d.Reserve = func(_ id.Upstream, _ quarantine.Print, on bool) bool {
		if !on {
			return true
		}
		asked++
		if asked != 2 {
			return true
		}
		time.AfterFunc(suspectPause/4, func() { b.d.Quarantine.Enter(clock.Boot(), "app0", other) })
		time.AfterFunc(4*suspectPause, func() { b.d.Quarantine.Leave("app0", other) })
		return false
	}
	ready := b.listen(againFirst)
	_, err := b.d.Plain(context.Background(), b.patient())
	require.NoError(t, <-ready)
	require.NoError(t, err)
}

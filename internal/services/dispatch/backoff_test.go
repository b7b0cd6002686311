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

func TestBackoffSum(t *testing.T) {
	sum := time.Duration(0)
	for n := range maxAttempts - 1 {
		sum += backoff(n)
	}
	require.Equal(t, 750*time.Millisecond, sum)
}

// listenAfter starts b's first upstream, which is closed, after d. The returned channel receives the listen error.
func (b *testFleet) listenAfter(d time.Duration) chan error {
	app := &fakeApp{receivedAny: map[string]int{}, complete: map[string]int{}, fault: healthy}
	ready := make(chan error, 1)
	go func() {
		time.Sleep(d)
		l, err := net.Listen("tcp", b.apps[0].l.Addr().String())
		ready <- err
		for err == nil {
			var c net.Conn
			if c, err = l.Accept(); err == nil {
				go app.serve(c.(*net.TCPConn))
			}
		}
	}()
	return ready
}

const retryBody = "name=1;end"

func (b *testFleet) newRetryableCall() *call.Call {
	return &call.Call{
		ID: "r-1", R: httptest.NewRequest(http.MethodPut, "/x", io.NopCloser(strings.NewReader(retryBody))), Config: b.cfg, Path: "/x",
		Service: service.Service{ID: "s"}, Idempotent: true, Start: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(retryBody),
	}
}

// Guards against failing a call whose only remaining upstream has just crashed and restarts within the backoff.
func TestRestartedUpstreamIsRetried(t *testing.T) {
	b := newTestFleet(t, []fault{closed})
	defer b.close()
	ready := b.listenAfter(2 * initialBackoff)
	_, err := b.d.RunPlain(context.Background(), b.newRetryableCall())
	require.NoError(t, <-ready)
	require.NoError(t, err)
}

// Guards against queueing a retried call like a first attempt and refusing it with 503 while its upstream is reserved for
// another suspect: after a crash each engine runs one of the suspects at a time.
func TestStartedCallWaitsForReservation(t *testing.T) {
	b := newTestFleet(t, []fault{closed})
	defer b.close()
	b.cfg.Defaults[policy.QueueWait] = 0
	own := quarantine.NewFingerprint("", "s", []byte(http.MethodPut+"/x\n"+retryBody))
	other := quarantine.NewFingerprint("", "s", []byte("other"))
	for _, p := range []quarantine.Fingerprint{own, other} {
		b.recordCrash("app1", p)
	}
	// The peers refuse the second reservation, that of the retry. Shortly after, another suspect holds the upstream for a while.
	calls := 0
	b.d.ReserveOnPeers = func(_ id.Upstream, _ quarantine.Fingerprint, reserve bool) bool {
		if !reserve {
			return true
		}
		calls++
		if calls != 2 {
			return true
		}
		time.AfterFunc(isolationRetryDelay/4, func() { b.d.Quarantine.Reserve(clock.SinceBoot(), "app0", other) })
		time.AfterFunc(4*isolationRetryDelay, func() { b.d.Quarantine.Release("app0", other) })
		return false
	}
	ready := b.listenAfter(initialBackoff)
	_, err := b.d.RunPlain(context.Background(), b.newRetryableCall())
	require.NoError(t, <-ready)
	require.NoError(t, err)
}

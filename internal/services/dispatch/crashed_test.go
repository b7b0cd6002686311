package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

func incarnationOf(a engine.Announcement) string { return strconv.FormatUint(a.Incarnation, 10) }

// announced returns the roster entry of an upstream announced at address.
func announced(t *testing.T, address string) *roster.Upstream {
	r := roster.New("vm1", "a", 1, func() {})
	a := engine.Announcement{Name: "u", Zone: "a", Address: address, State: engine.Ready, Service: "s", Incarnation: 7}
	require.NoError(t, r.Announce(clock.SinceBoot(), a))
	u, ok := r.Snapshot().Find(id.Upstream("u"))
	require.True(t, ok)
	return u
}

// Guards against missing a crash: an exiting process closes its streams, accepts one more connection and resets it, and
// only then closes its port.
func TestCrashDetectedDuringProcessExit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err == nil {
			c.Read(make([]byte, 1))
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		l.Close()
	}()
	d := &Dispatcher{Client: upstream.New(nil)}
	require.True(t, d.crashed(announced(t, l.Addr().String())))
}

func TestRespondingUpstreamHasNotCrashed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := announced(t, l.Addr().String())
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, incarnationOf(u.Announcement))
	})}
	go srv.Serve(l)
	defer srv.Close()
	d := &Dispatcher{Client: upstream.New(nil)}
	defer d.Client.CloseIdle()
	require.False(t, d.crashed(u))
}

// An upstream that sends an answer a second time, where the answer to the probe is due, has not crashed.
func TestSecondAnswerIsNoCrash(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := announced(t, l.Addr().String())
	var again atomic.Int32
	srv := &http.Server{
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connection{}, new(atomic.Int32))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Context().Value(connection{}).(*atomic.Int32).Add(1) > 1 {
				again.Add(1) // the first answer of this connection once more
			} else if r.Method == http.MethodGet {
				w.Header().Set(headerIncarnation, incarnationOf(u.Announcement))
			}
			io.WriteString(w, "answer")
		}),
	}
	go srv.Serve(l)
	defer srv.Close()
	d := &Dispatcher{Client: upstream.New(nil)}
	defer d.Client.CloseIdle()
	call := func() {
		r, err := http.NewRequest(http.MethodPost, "http://"+u.Address, nil)
		require.NoError(t, err)
		resp, _, err := d.Client.Do(r)
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	call()
	require.False(t, d.crashed(u))
	call()
	require.Positive(t, again.Load(), "the connection was not used again")
}

// connection is the context key of the number of requests on a connection.
type connection struct{}

// recordCrash records that p crashed the upstream with this name.
func (b *testFleet) recordCrash(name id.Upstream, p quarantine.Fingerprint) {
	now := clock.SinceBoot()
	b.d.Quarantine.RecordCrash(now, name, 1, []quarantine.Run{{Request: quarantine.Request{Print: p}, SentAt: now}})
}

// Guards against sending a call that became refused while it waited for its upstream.
func TestQuarantinedCallIsNotSent(t *testing.T) {
	b := newTestFleet(t, []fault{healthy})
	defer b.close()
	own := quarantine.NewFingerprint("", "s", []byte(http.MethodPut+"/x\n"+retryBody))
	b.recordCrash("app1", own)
	b.d.ReserveOnPeers = func(_ id.Upstream, _ quarantine.Fingerprint, reserve bool) bool {
		if reserve {
			b.recordCrash("app2", own)
		}
		return true
	}
	_, err := b.d.RunPlain(context.Background(), b.newRetryableCall())
	var r *call.Refusal
	require.True(t, errors.As(err, &r))
	require.Equal(t, call.Quarantined, r.Code)
	require.Equal(t, call.RunNo, r.Run)
	total, _ := b.received("name=1")
	require.Zero(t, total)
}

// A crash may look like the end of an answer without a length, so such an answer does not clear a suspect at once.
func TestUnframedAnswerIsNoCompletion(t *testing.T) {
	for f, cleared := range map[fault]bool{healthy: true, unframed: false} {
		t.Run(string(f), func(t *testing.T) {
			b := newTestFleet(t, []fault{f})
			defer b.close()
			own := quarantine.NewFingerprint("", "s", []byte(http.MethodPut+"/x\n"+retryBody))
			b.recordCrash("app1", own)
			a, err := b.d.RunPlain(context.Background(), b.newRetryableCall())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, a.Status)
			require.Equal(t, !cleared, b.d.Quarantine.IsSuspect(own))
		})
	}
}

package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newCrashedFixture returns a fixture whose upstreams refuse connections, as after a crash.
func newCrashedFixture(t *testing.T, steps ...sendResult) *fixture {
	s := newFixture(t, steps...)
	s.Roster = roster.NewMultiZone("vm1", 1, time.Minute, func() {})
	s.Detector.Roster = s.Roster
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		a := newAnnouncement(name, app, "")
		a.Address = refusingAddress(t)
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), a))
	}
	return s
}

// crashResult is the result of a send to an upstream that crashes while it runs the request.
var crashResult = sendResult{fail: true, sent: true}

// requireRefusedAfterCrashes sends the call until it is refused as quarantined.
func (s *fixture) requireRefusedAfterCrashes(t *testing.T, newCall func() *Call) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.up.steps = []sendResult{crashResult}
		r := requireRefusal(t, s.Serve(context.Background(), newCall(), &fakeSink{}))
		return r.Code == call.Quarantined
	}, 5*time.Second, 20*time.Millisecond)
}

func TestCrashingRequestIsRefused(t *testing.T) {
	for name, body := range map[string]string{"with a body": "crashing", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			s := newCrashedFixture(t)
			s.requireRefusedAfterCrashes(t, func() *Call {
				c := newCall("/unsafe/")
				c.Body = []byte(body)
				return c
			})
		})
	}
}

// A request that waits, or is between two attempts, while another VM reports its crashes.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	t.Run("before its first send", func(t *testing.T) {
		c := newCall("/safe/")
		var s *fixture
		s = newFixture(t, sendResult{status: 200, beforeWrite: func() { s.quarantineCall(c) }})
		c.Body = []byte("crashing")
		r := requireRefusal(t, s.Serve(context.Background(), c, &fakeSink{}))
		require.Equal(t, call.Quarantined, r.Code)
		require.Equal(t, call.RunNo, r.Run)
	})
	t.Run("between two attempts", func(t *testing.T) {
		c := newCall("/safe/")
		var s *fixture
		s = newFixture(t, crashResult, sendResult{status: 200, beforeWrite: func() { s.quarantineCall(c) }})
		c.Body = []byte("crashing")
		r := requireRefusal(t, s.Serve(context.Background(), c, &fakeSink{}))
		require.Equal(t, http.StatusBadGateway, r.Status)
		require.NotEqual(t, call.RunNo, r.Run)
	})
}

// Many callers send the same request without a body. Upstreams that end for another reason must not stop all of them.
func TestCompletionClearsFrequentRequest(t *testing.T) {
	s := newCrashedFixture(t)
	for range 4 {
		time.Sleep(2 * time.Millisecond) // crashes and completions are ordered by milliseconds
		s.up.steps = []sendResult{crashResult}
		requireRefusal(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		require.Eventually(t, func() bool { return len(s.Quarantine.Crashes(s.authenticated("/unsafe/").print())) > 0 }, 5*time.Second, time.Millisecond)
		s.up.steps = []sendResult{okResult("a")}
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
	}
}

// authenticated returns a call with the customer of the sample configuration.
func (s *fixture) authenticated(path string) *Call {
	c := newCall(path)
	c.customer.ID = "c"
	return c
}

// The engine crashes at the moment at which the caller leaves or the time is over: no attempt follows that would show it.
func TestCrashWhenTheCallerLeaves(t *testing.T) {
	s := newCrashedFixture(t, sendResult{hangs: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	require.ErrorIs(t, s.Serve(ctx, newCall("/unsafe/"), &fakeSink{}), ErrCallerGone)
	for _, u := range s.Roster.Snapshot().All {
		s.Detector.Confirm(u.Name, u.Incarnation)
	}
	require.True(t, s.Quarantine.IsSuspect(s.authenticated("/unsafe/").print()))
}

// A call that may be repeated does not take one upstream after the other with it.
func TestRetryWaitsForCrashCheck(t *testing.T) {
	s := newCrashedFixture(t, crashResult, crashResult, crashResult, crashResult)
	d := sampleDocument(2)
	d.Routes[0].MaxAttempts = 4
	s.replace(t, d)
	r := requireRefusal(t, s.Serve(context.Background(), newCall("/safe/"), &fakeSink{}))
	require.Equal(t, http.StatusBadGateway, r.Status)
	require.Equal(t, 2, s.up.written)
}

// Prompt parts of the tests.
var (
	firstPart    = quarantine.NewPartFingerprint("first")
	soundPart    = quarantine.NewPartFingerprint("sound")
	crashingPart = quarantine.NewPartFingerprint("crashing")
)

// Requests that share only a part of their prompt crash one upstream after the other.
func TestCrashingPartIsRefused(t *testing.T) {
	s := newCrashedFixture(t)
	n := 0
	request := func(parts ...quarantine.Fingerprint) *Call {
		n++
		c := newCall("/unsafe/")
		c.Body, c.SharedParts = fmt.Append(nil, "request ", n), parts
		return c
	}
	s.requireRefusedAfterCrashes(t, func() *Call {
		s.up.steps = []sendResult{okResult("a")}
		require.NoError(t, s.Serve(context.Background(), request(firstPart, soundPart), &fakeSink{}))
		time.Sleep(2 * time.Millisecond) // crashes and completions are ordered by milliseconds
		s.up.steps = []sendResult{crashResult}
		return request(firstPart, crashingPart)
	})
	s.up.steps = []sendResult{okResult("a")}
	require.NoError(t, s.Serve(context.Background(), request(firstPart, soundPart), &fakeSink{}))
	r := requireRefusal(t, s.Serve(context.Background(), request(crashingPart), &fakeSink{}))
	require.Equal(t, call.Quarantined, r.Code)
	require.Equal(t, call.RunNo, r.Run)
}

// A crash may look like the end of an answer without a length, so such an answer does not clear a suspect at once.
func TestUnframedAnswerIsNoCompletion(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/stream/"} {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprint(path, unframed), func(t *testing.T) {
				s := newFixture(t, sendResult{status: 200, body: "id: 1\ndata: x\n\n", stream: path == "/stream/", unframed: unframed})
				q := s.authenticated(path).suspect()
				s.Quarantine.RecordCrash(clock.SinceBoot(), "gone", 1, []quarantine.Run{{Request: q}})
				time.Sleep(2 * time.Millisecond) // crashes and completions are ordered by milliseconds
				require.NoError(t, s.Serve(context.Background(), newCall(path), &fakeSink{}))
				require.Equal(t, unframed, s.Quarantine.IsSuspect(q.Print))
			})
		}
	}
}

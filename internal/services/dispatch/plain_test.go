package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

func TestMain(m *testing.M) { testseed.Main(m, 12) }

// fault is the behaviour of a fake application on its connections.
type fault string

const (
	healthy        fault = "answers"
	closed         fault = "closed"           // refuses connections
	resetAccept    fault = "reset accept"     // resets a connection after accepting it
	resetHeader    fault = "reset header"     // resets after the first bytes of the request
	resetBody      fault = "reset body"       // resets after the complete request
	resetAnswer    fault = "reset answer"     // resets within the response
	wrongRequestID fault = "wrong request ID" // responds with another request's ID
	silent         fault = "silent"           // reads the request and never responds
	closesIdle     fault = "closes idle"      // responds, then closes the connection that the client keeps idle
	shortAnswer    fault = "short answers"    // closes before the declared length
	unframed       fault = "unframed"         // declares no length and closes after the response
)

var faults = []fault{
	healthy, closed, resetAccept, resetHeader, resetBody, resetAnswer, wrongRequestID, silent, closesIdle, shortAnswer,
}

// fakeApp is an application on a raw socket that counts the requests that reached it, in part or completely.
type fakeApp struct {
	l           net.Listener
	mu          sync.Mutex
	receivedAny map[string]int // requests of which any byte arrived, by body text
	complete    map[string]int // requests that arrived completely, by body text
	fault       fault
	answers     string // in place of those of fault
	keeps       bool   // keeps the connection open after such an answer
}

// setAnswers sets what x answers.
func (x *fakeApp) setAnswers(answers string, keeps bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answers, x.keeps = answers, keeps
}

func newFakeApp(t require.TestingT, f fault) *fakeApp {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	x := &fakeApp{l: l, receivedAny: map[string]int{}, complete: map[string]int{}, fault: f}
	if f == closed {
		l.Close()
		return x
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c.(*net.TCPConn))
		}
	}()
	return x
}

func (x *fakeApp) serve(c *net.TCPConn) {
	defer c.Close()
	reset := func() { c.SetLinger(0) }
	if x.fault == resetAccept {
		reset()
		return
	}
	for {
		text, rid, complete := x.read(c)
		if text == "" {
			return
		}
		x.mu.Lock()
		x.receivedAny[text]++
		if complete {
			x.complete[text]++
		}
		x.mu.Unlock()
		if !x.answer(c, rid, reset) {
			return
		}
	}
}

// read reads one request and returns the name in its body; with resetHeader it stops as soon as it has the name.
func (x *fakeApp) read(c net.Conn) (text, rid string, complete bool) {
	var got strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		got.Write(buf[:n])
		s := got.String()
		if _, after, ok := strings.Cut(s, "name="); ok {
			if number, _, ok := strings.Cut(after, ";"); ok {
				text = "name=" + number
			}
		}
		if i := strings.Index(s, headerRequest+": "); i >= 0 {
			rid, _, _ = strings.Cut(s[i+len(headerRequest)+2:], "\r\n")
		}
		if x.fault == resetHeader && text != "" {
			return text, rid, false
		}
		if strings.HasSuffix(s, ";end") {
			return text, rid, true
		}
		if err != nil {
			return text, rid, false
		}
	}
}

// answer writes the response and reports whether the connection stays open.
func (x *fakeApp) answer(c net.Conn, rid string, reset func()) bool {
	x.mu.Lock()
	answers, keeps := x.answers, x.keeps
	x.mu.Unlock()
	if answers != "" {
		io.WriteString(c, answers)
		return keeps
	}
	switch x.fault {
	case resetHeader, resetBody:
		reset()
		return false
	case silent:
		time.Sleep(2 * time.Second)
		return false
	case wrongRequestID:
		rid = "another"
	}
	body := "done " + rid
	if x.fault == unframed {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", headerRequest, rid, body)
		return false
	}
	length := len(body)
	if x.fault == shortAnswer || x.fault == resetAnswer {
		length += 10
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequest, rid, length, body)
	if x.fault == resetAnswer {
		reset()
	}
	return x.fault == healthy || x.fault == wrongRequestID
}

// testFleet is a dispatcher with a few fake applications as upstreams.
type testFleet struct {
	d    *Dispatcher
	apps []*fakeApp
	cfg  *state.Config
}

func newTestFleet(t require.TestingT, list []fault) *testFleet {
	b := &testFleet{cfg: &state.Config{Defaults: policy.Defaults{policy.RetryRatio: 1, policy.Wait: 0}}}
	r := roster.New("vm1", "a", 1, func() {})
	for i, f := range list {
		x := newFakeApp(t, f)
		b.apps = append(b.apps, x)
		require.NoError(t, r.Announce(clock.SinceBoot(), engine.Announcement{
			Name: id.Upstream(fmt.Sprint("app", i)), Zone: "a", Address: x.l.Addr().String(), State: engine.Ready, Service: "s",
		}))
	}
	suspects := &quarantine.List{}
	b.d = &Dispatcher{Roster: r, Client: upstream.New(nil), Quarantine: suspects, Detector: &quarantine.Detector{Roster: r, List: suspects}, Pace: &pace.Table{}}
	return b
}

func (b *testFleet) close() {
	for _, x := range b.apps {
		x.l.Close()
	}
	b.d.Client.CloseIdle()
}

// requestID returns the request ID of the call with the given body text.
func requestID(text string) id.Request { return id.Request("r-" + strings.TrimPrefix(text, "name=")) }

// send dispatches one call with the given body text.
func (b *testFleet) send(method, text string, streamed bool) (*Answer, error) {
	body := text + ";end"
	r := httptest.NewRequest(method, "/x", io.NopCloser(strings.NewReader(body)))
	r.ContentLength = int64(len(body))
	c := &call.Call{
		ID: requestID(text), R: r, Config: b.cfg, Path: "/x", Service: service.Service{ID: "s"},
		Idempotent: method == http.MethodPut, Start: time.Now(), Deadline: time.Now().Add(time.Second),
	}
	if !streamed {
		c.Body = []byte(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	return b.d.RunPlain(ctx, c)
}

// received counts the calls with the given body text that reached an application, in total and completely.
func (b *testFleet) received(text string) (total, complete int) {
	for _, x := range b.apps {
		x.mu.Lock()
		total += x.receivedAny[text]
		complete += x.complete[text]
		x.mu.Unlock()
	}
	return total, complete
}

// TestPlainWithRandomFaults checks that a call refused as not run reached no application, that a non-idempotent call reached
// at most one, and that a response belongs to its call.
func TestPlainWithRandomFaults(t *testing.T) {
	notRun, done := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var list []fault
		for range 1 + rnd.IntN(4) {
			list = append(list, faults[rnd.IntN(len(faults))])
		}
		b := newTestFleet(t, list)
		defer b.close()
		for k := range 6 {
			text := fmt.Sprint("name=", k)
			method := []string{http.MethodPost, http.MethodPut}[rnd.IntN(2)]
			a, err := b.send(method, text, rnd.IntN(2) == 0)
			time.Sleep(2 * time.Millisecond)
			total, complete := b.received(text)
			if method == http.MethodPost {
				require.LessOrEqual(t, total, 1, "a non-idempotent call was sent %d times (%v)", total, list)
			}
			if err == nil {
				done++
				require.Equal(t, "done "+string(requestID(text)), string(a.Body))
				require.Positive(t, complete, "%s %s (%v)", method, text, list)
				continue
			}
			var r *call.Refusal
			require.True(t, errors.As(err, &r))
			if r.Run == call.RunNo {
				notRun++
				require.Zero(t, total, "a call refused as not run reached an application (%v)", list)
			}
		}
	})
	require.Positive(t, notRun)
	require.Positive(t, done)
	t.Logf("%d responses, %d refused as not run", done, notRun)
}

// TestFullUpstreamsAreNotSentCalls checks that calls are refused as busy and not run, without sending a byte, while every
// application is full.
func TestFullUpstreamsAreNotSentCalls(t *testing.T) {
	b := newTestFleet(t, []fault{healthy, healthy})
	defer b.close()
	for _, u := range b.d.Roster.Snapshot().All {
		u.Stats.KVBlocks.Store(1000)
	}
	for k := range 8 {
		text := fmt.Sprint("name=", k)
		_, err := b.send(http.MethodPost, text, false)
		var r *call.Refusal
		require.True(t, errors.As(err, &r))
		require.Equal(t, call.Busy, r.Code)
		require.Equal(t, call.RunNo, r.Run)
		require.Positive(t, r.RetryAfter)
		total, _ := b.received(text)
		require.Zero(t, total)
	}
}

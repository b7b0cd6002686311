package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/upstream"
	"wagtaillift/internal/services/call"
	"wagtaillift/internal/services/limit"
	"wagtaillift/internal/services/origin"
	"wagtaillift/internal/services/pace"
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

// IDs and the key of the sample configuration.
const (
	app, model = "app", "model"
	secret     = "secret"
)

func sampleDocument(v document.Version) *document.Document {
	r := func(name string, kind route.Kind, s id.Service, attempts int, resumable bool) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, Objective: 500 * time.Millisecond,
			GapObjective: 250 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable, WeightedServices: []route.WeightedService{{Service: s, Weight: 1}},
		}
	}
	return &document.Document{
		Version: v, Source: []byte{byte(v)},
		Services: []service.Service{
			{ID: app, Kind: service.Plain},
			{ID: model, Kind: service.Model, Model: "m", Engine: &service.Engine{Slots: 8, KVCapacityTokens: 100000, KVBytesPerToken: 1000, LinkSpeed: 1e9}},
		},
		Routes: []route.Route{
			r("safe", route.Safe, app, 2, false), r("unsafe", route.Unsafe, app, 2, false),
			r("stream", route.Stream, model, 2, false), r("resumable", route.Stream, model, 2, true),
		},
		Customers: []document.Customer{{ID: "c", Hashes: []string{key.Hash(secret)}}},
	}
}

// guard has a lease until it expires.
type guard struct {
	mu    sync.Mutex
	ended bool
}

func (g *guard) Leased(time.Duration, time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.ended
}

func (g *guard) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

func (g *guard) Withdrawn(id.Key) bool { return false }

// meter counts the requests that began to run.
type meter struct{ n int }

func (m *meter) AddInWindow(_ id.Window, _ id.Customer, _ id.Service, n usage.Count) {
	m.n += int(n.Requests)
}

// sendResult is the scripted result of one send.
type sendResult struct {
	status      int
	body        string
	stream      bool
	truncated   bool // the body ends with an error
	notRun      bool
	sent        bool          // with fail: a byte was sent
	fail        bool          // no answer: the send returns an error
	beforeWrite func()        // called before Target.Allow
	hangs       bool          // no answer until the context ends
	pause       time.Duration // before the answer, unless the context ends
	unframed    bool          // the body ends with the connection
	Signals
}

// fakeUpstreams returns the results in steps in order, regardless of the upstream.
type fakeUpstreams struct {
	t       *testing.T
	steps   []sendResult
	targets []Target
	reads   []Target
	written int // sends that Target.Allow permitted
	read    sendResult

	incarnations map[id.Upstream]uint64 // that engines report; zero for none
	roster       *roster.Roster         // whose incarnations the others have
}

func (u *fakeUpstreams) Send(ctx context.Context, t Target, c *Call) (*Answer, bool, error) {
	if !u.confirms(t) {
		return nil, false, upstream.ErrOtherProcess
	}
	u.targets = append(u.targets, t)
	require.NotEmpty(u.t, u.steps, "unexpected send")
	s := u.steps[0]
	u.steps = u.steps[1:]
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	if !t.Allow() {
		return nil, false, upstream.ErrNotAllowed
	}
	u.written++
	if s.hangs {
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	select {
	case <-time.After(s.pause):
	case <-ctx.Done():
		return nil, true, ctx.Err()
	}
	if s.fail {
		return nil, s.sent, errors.New("the connection failed")
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.truncated {
		body = io.MultiReader(body, brokenBody{})
	}
	a := &Answer{Status: s.status, Header: http.Header{"From": {string(t.Upstream)}}, NotRun: s.notRun, Stream: s.stream, Length: -1, Framed: !s.unframed, Signals: s.Signals, Body: body}
	a.Release = func(bool) {}
	return a, true, nil
}

// confirms reports whether the engine of t is the process that t names.
func (u *fakeUpstreams) confirms(t Target) bool {
	if t.Incarnation == 0 {
		return true
	}
	if n, ok := u.incarnations[t.Upstream]; ok {
		return n == t.Incarnation
	}
	announced, _ := u.roster.Snapshot().Find(t.Upstream)
	return announced.Incarnation == t.Incarnation
}

func (u *fakeUpstreams) Read(_ context.Context, t Target, _ *Call) (*PrefillResult, bool, error) {
	u.reads = append(u.reads, t)
	if u.read.fail {
		return nil, u.read.sent, errors.New("the connection failed")
	}
	return &PrefillResult{Source: "from:" + string(t.Upstream), NotRun: u.read.notRun}, true, nil
}

// brokenBody is a body whose connection breaks.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakeSink records the answer.
type fakeSink struct {
	status int
	header http.Header
	body   strings.Builder
	begun  int
	gone   bool
}

func (s *fakeSink) Begin(a *Answer) error {
	s.begun++
	s.status, s.header = a.Status, a.Header
	return nil
}

func (s *fakeSink) Write(p []byte) error {
	if s.gone {
		return errors.New("gone")
	}
	s.body.Write(p)
	return nil
}

// fixture is a forwarder with fake dependencies.
type fixture struct {
	*Forwarder
	machine *state.Machine
	up      *fakeUpstreams
	guard   *guard
	meter   *meter
	orders  map[id.Upstream]order.Order
}

func newAnnouncement(name string, s id.Service, r engine.Role) engine.Announcement {
	return engine.Announcement{
		Name: id.Upstream(name), Zone: "z", Address: name + ":80", Incarnation: 1, State: engine.Ready, Service: s, Role: r,
	}
}

func newFixture(t *testing.T, steps ...sendResult) *fixture {
	s := &fixture{machine: state.New(), up: &fakeUpstreams{t: t, steps: steps}, guard: &guard{}, meter: &meter{}, orders: map[id.Upstream]order.Order{}}
	s.replace(t, sampleDocument(1))
	r := roster.NewMultiZone("vm1", 1, time.Minute, func() {})
	for _, a := range []engine.Announcement{
		newAnnouncement("a1", app, ""), newAnnouncement("a2", app, ""), newAnnouncement("a3", app, ""),
		newAnnouncement("e1", model, engine.Decode), newAnnouncement("e2", model, engine.Decode),
	} {
		require.NoError(t, r.Announce(clock.SinceBoot(), a))
	}
	s.up.roster = r
	list := &quarantine.List{}
	s.Forwarder = &Forwarder{
		Config: s.machine.Config, Guard: s.guard, Limiter: &limit.Limiter{}, Roster: r, UpstreamClient: s.up, Meter: s.meter,
		Quarantine: list, Detector: &quarantine.Detector{Roster: r, List: list}, Pace: &pace.Table{}, Origins: &origin.Exchange{}, Zone: "z", Window: func(time.Duration) id.Window { return 1 },
		Members: func() int { return 1 }, Retries: Retries{Ratio: 0.2, Burst: 100},
		Orders: func() map[id.Upstream]order.Order { return s.orders },
	}
	return s
}

// replace applies a new configuration document.
func (s *fixture) replace(t *testing.T, d *document.Document) {
	data, err := state.Command{Change: &state.Change{AnyBase: true, Request: id.Request(d.Source), Replace: d}}.Encode()
	require.NoError(t, err)
	require.Equal(t, state.OK, s.machine.Apply(s.machine.Index()+1, data).Code)
	s.machine.Publish()
}

func newCall(path string) *Call {
	c := &Call{
		ID: "q1", Method: http.MethodPost, Target: path, Host: "h", Path: path, Header: http.Header{}, Secret: secret, Start: time.Now(),
		StartSinceBoot: clock.SinceBoot(), CallerTimeout: 3 * time.Second,
	}
	if !strings.Contains(path, "safe") {
		c.TokensDeclared, c.PromptTokens, c.OutputTokens = true, 1000, 10
		c.PromptParts = []place.Part{{Chain: 1, Tokens: 800}, {Chain: 2, Tokens: 200}}
	}
	return c
}

// requireRefusal requires that err is a refusal and returns it.
func requireRefusal(t *testing.T, err error) *call.Refusal {
	t.Helper()
	var r *call.Refusal
	require.True(t, errors.As(err, &r), "%v", err)
	return r
}

func okResult(body string) sendResult { return sendResult{status: http.StatusOK, body: body} }

func sampleEvents(from, to int) string {
	var sb strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&sb, "id: %d\ndata: x\n\n", i)
	}
	return sb.String()
}

func TestPlainAnswers(t *testing.T) {
	failed := sendResult{status: http.StatusInternalServerError, body: "own failure"}
	lost := sendResult{fail: true, sent: true}
	unsent := sendResult{fail: true}
	busy := sendResult{status: http.StatusServiceUnavailable, notRun: true}
	for name, c := range map[string]struct {
		path   string
		steps  []sendResult
		status int    // of the answer or of the refusal
		body   string // of the answer
		run    call.Run
		began  int // requests counted by the meter
	}{
		"answered":                      {"/unsafe/", []sendResult{okResult("a")}, 200, "a", "", 1},
		"an unsafe call is not retried": {"/unsafe/", []sendResult{lost}, 502, "", call.RunUnknown, 0},
		"a truncated answer to an unsafe call is discarded":   {"/unsafe/", []sendResult{{status: 200, body: "a", truncated: true}}, 502, "", call.RunUnknown, 1},
		"a failed answer to an unsafe call is passed on":      {"/unsafe/", []sendResult{failed}, 500, "own failure", "", 1},
		"an unsent request goes to another upstream":          {"/unsafe/", []sendResult{unsent, okResult("a")}, 200, "a", "", 1},
		"a request not run goes to another upstream":          {"/unsafe/", []sendResult{busy, okResult("a")}, 200, "a", "", 1},
		"a request not run anywhere is refused as not run":    {"/unsafe/", []sendResult{busy, busy}, 503, "", call.RunNo, 0},
		"not run, then a lost connection":                     {"/unsafe/", []sendResult{busy, lost}, 502, "", call.RunUnknown, 0},
		"a safe call is retried":                              {"/safe/", []sendResult{lost, okResult("a")}, 200, "a", "", 1},
		"a safe call is retried after a failed answer":        {"/safe/", []sendResult{failed, okResult("a")}, 200, "a", "", 1},
		"the failed answer is passed on if the retry is lost": {"/safe/", []sendResult{failed, lost}, 500, "own failure", "", 1},
		"the route limits the attempts":                       {"/safe/", []sendResult{lost, lost}, 502, "", call.RunUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, c.steps...)
			out := &fakeSink{}
			err := s.Serve(context.Background(), newCall(c.path), out)
			require.Empty(t, s.up.steps, "not all scripted sends were made")
			require.Equal(t, c.began, s.meter.n)
			if c.run != "" {
				r := requireRefusal(t, err)
				require.Equal(t, c.status, r.Status)
				require.Equal(t, c.run, r.Run)
				require.Zero(t, out.begun)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, out.status)
			require.Equal(t, c.body, out.body.String())
			require.Equal(t, 1, out.begun)
		})
	}
}

func TestStreams(t *testing.T) {
	whole := sendResult{status: 200, stream: true, body: sampleEvents(1, 4)}
	for name, c := range map[string]struct {
		path  string
		steps []sendResult
		body  string
		err   error
		seen  string // last event ID sent to the last upstream
	}{
		"complete":               {"/stream/", []sendResult{whole}, sampleEvents(1, 4), nil, ""},
		"a broken stream is cut": {"/stream/", []sendResult{{status: 200, stream: true, body: sampleEvents(1, 2) + "id: 3\nda", truncated: true}}, sampleEvents(1, 2), ErrTruncated, ""},
		"a stream that ends inside an event is cut":           {"/stream/", []sendResult{{status: 200, stream: true, body: sampleEvents(1, 2) + "id: 3\nda"}}, sampleEvents(1, 2), ErrTruncated, ""},
		"a resumable stream continues on another upstream":    {"/resumable/", []sendResult{{status: 200, stream: true, body: sampleEvents(1, 2) + "id: 3\nda", truncated: true}, {status: 200, stream: true, body: sampleEvents(3, 4)}}, sampleEvents(1, 4), nil, "2"},
		"the route limits the attempts":                       {"/resumable/", []sendResult{{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}, {status: 200, stream: true, body: sampleEvents(3, 3), truncated: true}}, sampleEvents(1, 3), ErrTruncated, "2"},
		"a failed answer does not continue a stream":          {"/resumable/", []sendResult{{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}, {status: 500, body: "no"}}, sampleEvents(1, 2), ErrTruncated, "2"},
		"a resumable stream without a first event is retried": {"/resumable/", []sendResult{{fail: true, sent: true}, whole}, sampleEvents(1, 4), nil, ""},
		"a stream that cannot be resumed is not retried":      {"/stream/", []sendResult{{fail: true, sent: true}}, "", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, c.steps...)
			out := &fakeSink{}
			err := s.Serve(context.Background(), newCall(c.path), out)
			require.Empty(t, s.up.steps)
			require.Equal(t, c.body, out.body.String())
			require.LessOrEqual(t, out.begun, 1)
			switch {
			case c.err != nil:
				require.ErrorIs(t, err, c.err)
			case c.body == "":
				require.Equal(t, call.RunUnknown, requireRefusal(t, err).Run)
			default:
				require.NoError(t, err)
				require.Equal(t, 1, s.meter.n, "a request is counted once")
			}
			require.Equal(t, c.seen, s.up.targets[len(s.up.targets)-1].LastEventID)
		})
	}
}

func TestRefusalsBeforeSending(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fixture, *Call)
		status int
	}{
		"unknown route":                     {func(_ *fixture, c *Call) { c.Path = "/none/" }, 404},
		"unknown host":                      {func(_ *fixture, c *Call) { c.Host = "x" }, 404},
		"unknown key":                       {func(_ *fixture, c *Call) { c.Secret = "other" }, 401},
		"no key":                            {func(_ *fixture, c *Call) { c.Secret = "" }, 401},
		"no lease":                          {func(s *fixture, _ *Call) { s.guard.expire() }, 503},
		"no lease, unknown key":             {func(s *fixture, c *Call) { s.guard.expire(); c.Secret = "new" }, 503},
		"no lease, unknown route":           {func(s *fixture, c *Call) { s.guard.expire(); c.Path = "/new/" }, 503},
		"no configuration":                  {func(s *fixture, _ *Call) { s.Config = state.New().Config }, 503},
		"no upstream":                       {func(s *fixture, _ *Call) { s.Roster = roster.NewMultiZone("vm1", 1, time.Minute, func() {}) }, 503},
		"request crashed upstreams before":  {func(s *fixture, c *Call) { s.quarantineCall(c) }, 503},
		"every engine is changing its role": {func(s *fixture, c *Call) { c.Path, c.Target = "/stream/", "/stream/"; s.change() }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			q := newCall("/unsafe/")
			q.PromptParts = []place.Part{{Chain: 1, Tokens: 10}}
			c.change(s, q)
			r := requireRefusal(t, s.Serve(context.Background(), q, &fakeSink{}))
			require.Equal(t, c.status, r.Status)
			require.Equal(t, call.RunNo, r.Run)
			if c.status == http.StatusServiceUnavailable {
				require.Positive(t, r.RetryAfter, "RetryAfter is not set")
			}
		})
	}
}

// quarantineCall makes c a request that crashed two upstreams.
func (s *fixture) quarantineCall(c *Call) {
	c.Body = []byte("crashing")
	p := quarantine.NewFingerprint("c", id.Service(c.Target), c.Body)
	now := clock.SinceBoot()
	q := quarantine.Request{Print: p}
	s.Quarantine.RecordCrash(now-time.Second, "a1", 1, []quarantine.Run{{Request: q, SentAt: now - 2*time.Second}})
	s.Quarantine.RecordCrash(now, "a2", 1, []quarantine.Run{{Request: q, SentAt: now - time.Second/2}})
}

// change adds an order for every engine to become prefill-only.
func (s *fixture) change() {
	for _, n := range []id.Upstream{"e1", "e2"} {
		s.orders[n] = order.Order{Upstream: n, Kind: order.SetRole, Value: string(engine.Prefill), UpstreamIncarnation: 1, State: order.Pending}
	}
}

// The decision is checked again right before the write, because the process may have been suspended since.
func TestDecisionIsRecheckedBeforeWrite(t *testing.T) {
	t.Run("lease ended", func(t *testing.T) {
		var s *fixture
		s = newFixture(t, sendResult{status: 200, beforeWrite: func() { s.guard.expire() }})
		r := requireRefusal(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		require.Equal(t, call.RunNo, r.Run)
	})
	t.Run("key withdrawn", func(t *testing.T) {
		var s *fixture
		d := sampleDocument(2)
		d.Customers[0].Hashes = nil
		s = newFixture(t, sendResult{status: 200, beforeWrite: func() { s.replace(t, d) }})
		r := requireRefusal(t, s.Serve(context.Background(), newCall("/unsafe/"), &fakeSink{}))
		require.Equal(t, http.StatusUnauthorized, r.Status)
	})
	t.Run("route moved to another service", func(t *testing.T) {
		var s *fixture
		d := sampleDocument(2)
		d.Services = append(d.Services, service.Service{ID: "new", Kind: service.Plain})
		d.Routes[1].WeightedServices[0].Service = "new"
		s = newFixture(t, sendResult{status: 200, beforeWrite: func() { s.replace(t, d) }}, okResult("a"))
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), newAnnouncement("n1", "new", "")))
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), newCall("/unsafe/"), out))
		require.EqualValues(t, "n1", s.up.targets[1].Upstream)
	})
}

// The configuration changes after an upstream may have run the request: the caller must not be told that it did not run.
func TestConfigChangeBetweenAttempts(t *testing.T) {
	withoutKey, moved := sampleDocument(2), sampleDocument(2)
	withoutKey.Customers[0].Hashes = nil
	moved.Services = append(moved.Services, service.Service{ID: "new", Kind: service.Plain})
	for i := range moved.Routes {
		moved.Routes[i].WeightedServices[0].Service = "new"
	}
	truncated := sendResult{status: 200, stream: true, body: sampleEvents(1, 2), truncated: true}
	for name, d := range map[string]*document.Document{"key withdrawn": withoutKey, "route moved to another service": moved} {
		t.Run(name+" after the first events", func(t *testing.T) {
			var s *fixture
			s = newFixture(t, truncated, sendResult{status: 200, stream: true, body: sampleEvents(3, 4), beforeWrite: func() { s.replace(t, d) }})
			out := &fakeSink{}
			require.ErrorIs(t, s.Serve(context.Background(), newCall("/resumable/"), out), ErrTruncated)
			require.Equal(t, sampleEvents(1, 2), out.body.String())
			require.Equal(t, 1, out.begun)
		})
	}
	t.Run("key withdrawn after a first attempt without an answer", func(t *testing.T) {
		var s *fixture
		s = newFixture(t, sendResult{fail: true, sent: true}, sendResult{status: 200, beforeWrite: func() { s.replace(t, withoutKey) }})
		r := requireRefusal(t, s.Serve(context.Background(), newCall("/resumable/"), &fakeSink{}))
		require.Equal(t, call.RunUnknown, r.Run, "the request may have run")
	})
}

func TestDeadline(t *testing.T) {
	s := newFixture(t, sendResult{hangs: true})
	q := newCall("/unsafe/")
	q.CallerTimeout = 100 * time.Millisecond
	r := requireRefusal(t, s.Serve(context.Background(), q, &fakeSink{}))
	require.Equal(t, http.StatusGatewayTimeout, r.Status)
	require.Equal(t, call.RunUnknown, r.Run)
	require.LessOrEqual(t, s.up.targets[0].TimeLeft, q.CallerTimeout)
}

func TestCallerGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newFixture(t, sendResult{hangs: true, beforeWrite: cancel})
	require.ErrorIs(t, s.Serve(ctx, newCall("/safe/"), &fakeSink{}), ErrCallerGone)
}

func TestRetryBudget(t *testing.T) {
	var steps []sendResult
	for range 8 {
		steps = append(steps, sendResult{fail: true, sent: true})
	}
	s := newFixture(t, steps...)
	s.Retries = Retries{Ratio: 0, Burst: 3}
	for range 5 {
		require.Error(t, s.Serve(context.Background(), newCall("/safe/"), &fakeSink{}))
	}
	require.Len(t, s.up.targets, 8, "five first attempts and three retries")
}

func TestPrefillOnlyEngine(t *testing.T) {
	addPrefillEngine := func(t *testing.T, s *fixture) {
		require.NoError(t, s.Roster.Announce(clock.SinceBoot(), newAnnouncement("p1", model, engine.Prefill)))
	}
	longCall := func() *Call {
		c := newCall("/stream/")
		c.PromptTokens, c.PromptParts[0].Tokens = 20000, 19800
		return c
	}
	t.Run("prompt transferred to another engine", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(1, 2)})
		addPrefillEngine(t, s)
		out := &fakeSink{}
		require.NoError(t, s.Serve(context.Background(), longCall(), out))
		require.Equal(t, "from:p1", s.up.targets[0].PromptSource)
		require.NotEqualValues(t, "p1", s.up.targets[0].Upstream)
		require.Equal(t, sampleEvents(1, 2), out.body.String())
	})
	t.Run("prompt refused: processed on the generating engine", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(1, 2)})
		addPrefillEngine(t, s)
		s.up.read.notRun = true
		require.NoError(t, s.Serve(context.Background(), longCall(), &fakeSink{}))
		require.Len(t, s.up.reads, 1)
		require.Empty(t, s.up.targets[0].PromptSource)
	})
	t.Run("prompt lost in transfer: retried on the generating engine", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 503, notRun: true}, sendResult{status: 200, stream: true, body: sampleEvents(1, 2)})
		addPrefillEngine(t, s)
		require.NoError(t, s.Serve(context.Background(), longCall(), &fakeSink{}))
		require.Equal(t, "from:p1", s.up.targets[0].PromptSource)
		require.Empty(t, s.up.targets[1].PromptSource)
	})
	t.Run("no retry budget after a refused prompt", func(t *testing.T) {
		s := newFixture(t)
		addPrefillEngine(t, s)
		s.up.read.notRun = true
		s.Retries = Retries{}
		r := requireRefusal(t, s.Serve(context.Background(), longCall(), &fakeSink{}))
		require.Equal(t, call.RunNo, r.Run, "processing a prompt does not run the request")
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
	})
	t.Run("load counters return to zero", func(t *testing.T) {
		s := newFixture(t, sendResult{status: 200, stream: true, body: sampleEvents(1, 2)})
		addPrefillEngine(t, s)
		require.NoError(t, s.Serve(context.Background(), longCall(), &fakeSink{}))
		for _, u := range s.Roster.Snapshot().All {
			require.Zero(t, u.Stats.Requests.Load())
			require.Zero(t, u.Stats.PendingPrefill.Load())
		}
	})
}

// Blocks that are no event are no part of an answer on a route for streams: what an engine writes beside its events is not passed on.
func TestBlocksWithoutFields(t *testing.T) {
	noise := "noise\n\n"
	for name, c := range map[string]struct {
		body      string
		truncated bool // by the connection
		want      string
		whole     bool
	}{
		"before an event":    {noise + sampleEvents(1, 2), false, "", false},
		"between events":     {sampleEvents(1, 1) + noise + sampleEvents(2, 2), false, sampleEvents(1, 1), false},
		"at the end":         {sampleEvents(1, 1) + noise, false, sampleEvents(1, 1), false},
		"nothing else":       {noise, false, "", false},
		"before a failure":   {noise, true, "", false},
		"comments go ahead":  {":\n\n", true, ":\n\n", false},
		"event, then failed": {sampleEvents(1, 1), true, sampleEvents(1, 1), false},
		"comments and lines": {":\n\n\n" + sampleEvents(1, 2) + "\n", false, ":\n\n\n" + sampleEvents(1, 2) + "\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, sendResult{status: 200, stream: true, body: c.body, truncated: c.truncated})
			out := &fakeSink{}
			err := s.Serve(context.Background(), newCall("/stream/"), out)
			require.Equal(t, c.whole, err == nil)
			require.Equal(t, c.want, out.body.String())
		})
	}
}

// Event streams on other routes are a service's own body: blocks that are no event are passed on unchanged, but not before a failure.
func TestBlocksOfOtherEventStreams(t *testing.T) {
	noise := "noise\n\n"
	for name, c := range map[string]struct {
		body      string
		truncated bool
		want      string
	}{
		"before an event":      {noise + sampleEvents(1, 2), false, noise + sampleEvents(1, 2)},
		"between events":       {sampleEvents(1, 1) + noise + sampleEvents(2, 2), false, sampleEvents(1, 1) + noise + sampleEvents(2, 2)},
		"at the end":           {sampleEvents(1, 1) + noise, false, sampleEvents(1, 1) + noise},
		"nothing else":         {noise, false, noise},
		"events without an ID": {"data: x\n\nevent: y\ndata: z\n\n", false, "data: x\n\nevent: y\ndata: z\n\n"},
		"no event":             {"", false, ""},
		"before a failure":     {noise, true, ""},
		"comments go ahead":    {":\n\n", true, ":\n\n"},
		"event, then failed":   {sampleEvents(1, 1), true, sampleEvents(1, 1)},
	} {
		for _, path := range []string{"/unsafe/", "/safe/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				step := sendResult{status: 200, stream: true, body: c.body, truncated: c.truncated}
				s := newFixture(t, step, step)
				out := &fakeSink{}
				err := s.Serve(context.Background(), newCall(path), out)
				require.Equal(t, c.truncated, err != nil)
				require.Equal(t, c.want, out.body.String())
			})
		}
	}
}

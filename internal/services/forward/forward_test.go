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
	"wagtaillift/internal/services/place"
	"wagtaillift/internal/services/quarantine"
	"wagtaillift/internal/services/roster"
)

// The names of the sample configuration.
const (
	app, model = "app", "model"
	secret     = "secret"
)

func sampleDocument(v document.Version) *document.Document {
	r := func(name string, kind route.Kind, s id.Service, attempts int, resumable bool) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, Objective: 500 * time.Millisecond,
			Gap: 250 * time.Millisecond, Attempts: attempts, Resumable: resumable, Parts: []route.Part{{Service: s, Weight: 1}},
		}
	}
	return &document.Document{
		Version: v, Source: []byte{byte(v)},
		Services: []service.Service{
			{ID: app, Kind: service.Plain},
			{ID: model, Kind: service.Model, Model: "m", Engine: &service.Engine{Slots: 8, Memory: 100000, Bytes: 1000, Link: 1e9}},
		},
		Routes: []route.Route{
			r("safe", route.Safe, app, 2, false), r("unsafe", route.Unsafe, app, 2, false),
			r("stream", route.Stream, model, 2, false), r("resumable", route.Stream, model, 2, true),
		},
		Customers: []document.Customer{{ID: "c", Hashes: []string{key.Hash(secret)}}},
	}
}

// guard is the lease of the VM.
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

// meter counts what began.
type meter struct{ n int }

func (m *meter) AddIn(_ id.Window, _ id.Customer, _ id.Service, n usage.Count) {
	m.n += int(n.Requests)
}

// end is how one send ends. The zero value answers with "ok".
type end struct {
	status  int
	body    string
	stream  bool
	cut     bool // the body ends with an error
	notRun  bool
	sent    bool // with fail: a byte left
	fail    bool
	before  func() // runs before the check right before the write
	tooLate bool   // the answer does not come in time
}

// upstreams plays steps in turn, whichever upstream is asked.
type upstreams struct {
	t       *testing.T
	steps   []end
	targets []Target
	reads   []Target
	read    end
}

func (u *upstreams) Send(ctx context.Context, t Target, c *Call) (*Answer, bool, error) {
	u.targets = append(u.targets, t)
	require.NotEmpty(u.t, u.steps, "one send too many")
	s := u.steps[0]
	u.steps = u.steps[1:]
	if s.before != nil {
		s.before()
	}
	if !t.Allow() {
		return nil, false, upstream.ErrBarred
	}
	if s.tooLate {
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
	if s.fail {
		return nil, s.sent, errors.New("the connection failed")
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.cut {
		body = io.MultiReader(body, broken{})
	}
	a := &Answer{Status: s.status, Header: http.Header{"From": {string(t.Upstream)}}, NotRun: s.notRun, Stream: s.stream, Length: -1, Body: body}
	a.End = func(bool) {}
	return a, true, nil
}

func (u *upstreams) Read(_ context.Context, t Target, _ *Call) (*Prepared, bool, error) {
	u.reads = append(u.reads, t)
	if u.read.fail {
		return nil, u.read.sent, errors.New("the connection failed")
	}
	return &Prepared{Source: "from:" + string(t.Upstream), NotRun: u.read.notRun}, true, nil
}

// broken is a body that breaks off.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// caller collects the answer.
type caller struct {
	status int
	header http.Header
	body   strings.Builder
	begun  int
	gone   bool
}

func (s *caller) Begin(a *Answer) error {
	s.begun++
	s.status, s.header = a.Status, a.Header
	return nil
}

func (s *caller) Write(p []byte) error {
	if s.gone {
		return errors.New("gone")
	}
	s.body.Write(p)
	return nil
}

// scene is a forwarder with everything around it.
type scene struct {
	*Forwarder
	machine *state.Machine
	up      *upstreams
	guard   *guard
	meter   *meter
	orders  map[id.Upstream]order.Order
}

func announce(name string, s id.Service, r engine.Role) engine.Announcement {
	return engine.Announcement{
		Name: id.Upstream(name), Zone: "z", Address: "127.0.0.1:1" + name, Incarnation: 1, State: engine.Ready, Service: s, Role: r,
	}
}

func newScene(t *testing.T, steps ...end) *scene {
	s := &scene{machine: state.New(), up: &upstreams{t: t, steps: steps}, guard: &guard{}, meter: &meter{}, orders: map[id.Upstream]order.Order{}}
	s.replace(t, sampleDocument(1))
	r := roster.NewWide("vm1", 1, time.Minute, func() {})
	for _, a := range []engine.Announcement{
		announce("a1", app, ""), announce("a2", app, ""), announce("a3", app, ""),
		announce("e1", model, engine.Decode), announce("e2", model, engine.Decode),
	} {
		require.NoError(t, r.Announce(clock.Boot(), a))
	}
	s.Forwarder = &Forwarder{
		Config: s.machine.Config, Guard: s.guard, Limiter: &limit.Limiter{}, Roster: r, Upstreams: s.up, Meter: s.meter,
		Quarantine: &quarantine.List{}, Zone: "z", Window: func(time.Duration) id.Window { return 1 },
		Members: func() int { return 1 }, Retries: Retries{Part: 0.2, Burst: 100},
		Orders: func() map[id.Upstream]order.Order { return s.orders },
	}
	return s
}

// replace puts a document in force.
func (s *scene) replace(t *testing.T, d *document.Document) {
	data, err := state.Command{Change: &state.Change{Any: true, Request: id.Request(d.Source), Replace: d}}.Encode()
	require.NoError(t, err)
	require.Equal(t, state.OK, s.machine.Apply(s.machine.Index()+1, data).Code)
	s.machine.Publish()
}

func request(path string) *Call {
	c := &Call{
		ID: "q1", Method: http.MethodPost, Target: path, Host: "h", Path: path, Header: http.Header{}, Secret: secret, Start: time.Now(),
		Booted: clock.Boot(), Patience: 3 * time.Second,
	}
	if !strings.Contains(path, "safe") {
		c.Declared, c.Prompt, c.Output = true, 1000, 10
		c.Parts = []place.Part{{Chain: 1, Tokens: 800}, {Chain: 2, Tokens: 200}}
	}
	return c
}

// refusal returns the refusal that err is.
func refusal(t *testing.T, err error) *call.Refusal {
	t.Helper()
	var r *call.Refusal
	require.True(t, errors.As(err, &r), "%v", err)
	return r
}

func ok(body string) end { return end{status: http.StatusOK, body: body} }

func eventsText(from, to int) string {
	var sb strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&sb, "id: %d\ndata: x\n\n", i)
	}
	return sb.String()
}

func TestAnswers(t *testing.T) {
	failed := end{status: http.StatusInternalServerError, body: "own failure"}
	lost := end{fail: true, sent: true}
	unsent := end{fail: true}
	full := end{status: http.StatusServiceUnavailable, notRun: true}
	for name, c := range map[string]struct {
		path   string
		steps  []end
		status int    // of the answer, or of the refusal
		body   string // of the answer
		run    call.Run
		began  int
	}{
		"answered":                                {"/unsafe/", []end{ok("a")}, 200, "a", "", 1},
		"an unsafe call is not repeated":          {"/unsafe/", []end{lost}, 502, "", call.Unknown, 0},
		"a cut answer of one is no answer":        {"/unsafe/", []end{{status: 200, body: "a", cut: true}}, 502, "", call.Unknown, 1},
		"an unsafe failure is passed on":          {"/unsafe/", []end{failed}, 500, "own failure", "", 1},
		"what was not sent goes elsewhere":        {"/unsafe/", []end{unsent, ok("a")}, 200, "a", "", 1},
		"what was not run goes elsewhere":         {"/unsafe/", []end{full, ok("a")}, 200, "a", "", 1},
		"not run anywhere is a true refusal":      {"/unsafe/", []end{full, full}, 503, "", call.No, 0},
		"not run, then lost":                      {"/unsafe/", []end{full, lost}, 502, "", call.Unknown, 0},
		"a safe call is repeated":                 {"/safe/", []end{lost, ok("a")}, 200, "a", "", 1},
		"a safe failure is repeated":              {"/safe/", []end{failed, ok("a")}, 200, "a", "", 1},
		"the kept failure is better than nothing": {"/safe/", []end{failed, lost}, 500, "own failure", "", 1},
		"as many upstreams as the route says":     {"/safe/", []end{lost, lost}, 502, "", call.Unknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, c.steps...)
			out := &caller{}
			err := s.Serve(context.Background(), request(c.path), out)
			require.Empty(t, s.up.steps, "a send is missing")
			require.Equal(t, c.began, s.meter.n)
			if c.run != "" {
				r := refusal(t, err)
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
	whole := end{status: 200, stream: true, body: eventsText(1, 4)}
	for name, c := range map[string]struct {
		path  string
		steps []end
		body  string
		err   error
		seen  string // last event named to the last upstream
	}{
		"whole":                                   {"/stream/", []end{whole}, eventsText(1, 4), nil, ""},
		"a broken one is cut":                     {"/stream/", []end{{status: 200, stream: true, body: eventsText(1, 2) + "id: 3\nda", cut: true}}, eventsText(1, 2), ErrCut, ""},
		"one that ends inside an event":           {"/stream/", []end{{status: 200, stream: true, body: eventsText(1, 2) + "id: 3\nda"}}, eventsText(1, 2), ErrCut, ""},
		"a resumable one goes on elsewhere":       {"/resumable/", []end{{status: 200, stream: true, body: eventsText(1, 2) + "id: 3\nda", cut: true}, {status: 200, stream: true, body: eventsText(3, 4)}}, eventsText(1, 4), nil, "2"},
		"no more often than the route says":       {"/resumable/", []end{{status: 200, stream: true, body: eventsText(1, 2), cut: true}, {status: 200, stream: true, body: eventsText(3, 3), cut: true}}, eventsText(1, 3), ErrCut, "2"},
		"a failure is no rest of a stream":        {"/resumable/", []end{{status: 200, stream: true, body: eventsText(1, 2), cut: true}, {status: 500, body: "no"}}, eventsText(1, 2), ErrCut, "2"},
		"one that broke before its first event":   {"/resumable/", []end{{fail: true, sent: true}, whole}, eventsText(1, 4), nil, ""},
		"one that cannot be resumed is not rerun": {"/stream/", []end{{fail: true, sent: true}}, "", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, c.steps...)
			out := &caller{}
			err := s.Serve(context.Background(), request(c.path), out)
			require.Empty(t, s.up.steps)
			require.Equal(t, c.body, out.body.String())
			require.LessOrEqual(t, out.begun, 1)
			switch {
			case c.err != nil:
				require.ErrorIs(t, err, c.err)
			case c.body == "":
				require.Equal(t, call.Unknown, refusal(t, err).Run)
			default:
				require.NoError(t, err)
				require.Equal(t, 1, s.meter.n, "a request counts once")
			}
			require.Equal(t, c.seen, s.up.targets[len(s.up.targets)-1].Seen)
		})
	}
}

func TestDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*scene, *Call)
		status int
	}{
		"unknown route":             {func(_ *scene, c *Call) { c.Path = "/none/" }, 404},
		"unknown host":              {func(_ *scene, c *Call) { c.Host = "x" }, 404},
		"unknown key":               {func(_ *scene, c *Call) { c.Secret = "other" }, 401},
		"no key":                    {func(_ *scene, c *Call) { c.Secret = "" }, 401},
		"cut off":                   {func(s *scene, _ *Call) { s.guard.expire() }, 503},
		"cut off, unknown key":      {func(s *scene, c *Call) { s.guard.expire(); c.Secret = "new" }, 503},
		"cut off, unknown route":    {func(s *scene, c *Call) { s.guard.expire(); c.Path = "/new/" }, 503},
		"no configuration":          {func(s *scene, _ *Call) { s.Config = state.New().Config }, 503},
		"no upstream":               {func(s *scene, _ *Call) { s.Roster = roster.NewWide("vm1", 1, time.Minute, func() {}) }, 503},
		"crashed upstreams before":  {func(s *scene, c *Call) { s.suspect(c) }, 503},
		"every engine changes role": {func(s *scene, c *Call) { c.Path, c.Target = "/stream/", "/stream/"; s.change() }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t)
			q := request("/unsafe/")
			q.Parts = []place.Part{{Chain: 1, Tokens: 10}}
			c.change(s, q)
			r := refusal(t, s.Serve(context.Background(), q, &caller{}))
			require.Equal(t, c.status, r.Status)
			require.Equal(t, call.No, r.Run)
			if c.status == http.StatusServiceUnavailable {
				require.Positive(t, r.Retry, "the time to come back is missing")
			}
		})
	}
}

// suspect makes c a request that crashed two upstreams.
func (s *scene) suspect(c *Call) {
	c.Body = []byte("crashing")
	p := quarantine.Fingerprint("c", id.Service(c.Target), c.Body)
	s.Quarantine.Crash(clock.Boot(), p, time.Minute)
	s.Quarantine.Crash(clock.Boot(), p, time.Minute)
}

// change orders every engine to read only.
func (s *scene) change() {
	for _, n := range []id.Upstream{"e1", "e2"} {
		s.orders[n] = order.Order{Upstream: n, Kind: order.SetRole, Value: string(engine.Prefill), Life: 1, State: order.Pending}
	}
}

// What was decided is looked at again right before the write: the VM may have stood still in between.
func TestDecisionIsCheckedBeforeTheWrite(t *testing.T) {
	t.Run("lease ended", func(t *testing.T) {
		var s *scene
		s = newScene(t, end{status: 200, before: func() { s.guard.expire() }})
		r := refusal(t, s.Serve(context.Background(), request("/unsafe/"), &caller{}))
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
		require.Equal(t, call.No, r.Run)
	})
	t.Run("key withdrawn", func(t *testing.T) {
		var s *scene
		d := sampleDocument(2)
		d.Customers[0].Hashes = nil
		s = newScene(t, end{status: 200, before: func() { s.replace(t, d) }})
		r := refusal(t, s.Serve(context.Background(), request("/unsafe/"), &caller{}))
		require.Equal(t, http.StatusUnauthorized, r.Status)
	})
	t.Run("route moved to another service", func(t *testing.T) {
		var s *scene
		d := sampleDocument(2)
		d.Services = append(d.Services, service.Service{ID: "new", Kind: service.Plain})
		d.Routes[1].Parts[0].Service = "new"
		s = newScene(t, end{status: 200, before: func() { s.replace(t, d) }}, ok("a"))
		require.NoError(t, s.Roster.Announce(clock.Boot(), announce("n1", "new", "")))
		out := &caller{}
		require.NoError(t, s.Serve(context.Background(), request("/unsafe/"), out))
		require.EqualValues(t, "n1", s.up.targets[1].Upstream)
	})
}

// The same, where an upstream has had the request already: what the caller is told must stay true.
func TestChangeBetweenAttempts(t *testing.T) {
	without, moved := sampleDocument(2), sampleDocument(2)
	without.Customers[0].Hashes = nil
	moved.Services = append(moved.Services, service.Service{ID: "new", Kind: service.Plain})
	for i := range moved.Routes {
		moved.Routes[i].Parts[0].Service = "new"
	}
	cut := end{status: 200, stream: true, body: eventsText(1, 2), cut: true}
	for name, d := range map[string]*document.Document{"key withdrawn": without, "route moved to another service": moved} {
		t.Run(name+" after the first events", func(t *testing.T) {
			var s *scene
			s = newScene(t, cut, end{status: 200, stream: true, body: eventsText(3, 4), before: func() { s.replace(t, d) }})
			out := &caller{}
			require.ErrorIs(t, s.Serve(context.Background(), request("/resumable/"), out), ErrCut)
			require.Equal(t, eventsText(1, 2), out.body.String())
			require.Equal(t, 1, out.begun)
		})
	}
	t.Run("key withdrawn after a first attempt without an answer", func(t *testing.T) {
		var s *scene
		s = newScene(t, end{fail: true, sent: true}, end{status: 200, before: func() { s.replace(t, without) }})
		r := refusal(t, s.Serve(context.Background(), request("/resumable/"), &caller{}))
		require.Equal(t, call.Unknown, r.Run, "it may have run")
	})
}

func TestDeadline(t *testing.T) {
	s := newScene(t, end{tooLate: true})
	q := request("/unsafe/")
	q.Patience = 100 * time.Millisecond
	r := refusal(t, s.Serve(context.Background(), q, &caller{}))
	require.Equal(t, http.StatusGatewayTimeout, r.Status)
	require.Equal(t, call.Unknown, r.Run)
	require.LessOrEqual(t, s.up.targets[0].Left, q.Patience)
}

func TestCallerGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newScene(t, end{tooLate: true, before: cancel})
	require.ErrorIs(t, s.Serve(ctx, request("/safe/"), &caller{}), ErrGone)
}

func TestRetriesKeepTheirBudget(t *testing.T) {
	var steps []end
	for range 8 {
		steps = append(steps, end{fail: true, sent: true})
	}
	s := newScene(t, steps...)
	s.Retries = Retries{Part: 0, Burst: 3}
	for range 5 {
		require.Error(t, s.Serve(context.Background(), request("/safe/"), &caller{}))
	}
	require.Len(t, s.up.targets, 8, "five first attempts and three repeated ones")
}

func TestReadApart(t *testing.T) {
	reader := func(t *testing.T, s *scene) {
		require.NoError(t, s.Roster.Announce(clock.Boot(), announce("p1", model, engine.Prefill)))
	}
	long := func() *Call {
		c := request("/stream/")
		c.Prompt, c.Parts[0].Tokens = 20000, 19800
		return c
	}
	t.Run("handed on", func(t *testing.T) {
		s := newScene(t, end{status: 200, stream: true, body: eventsText(1, 2)})
		reader(t, s)
		out := &caller{}
		require.NoError(t, s.Serve(context.Background(), long(), out))
		require.Equal(t, "from:p1", s.up.targets[0].Source)
		require.NotEqualValues(t, "p1", s.up.targets[0].Upstream)
		require.Equal(t, eventsText(1, 2), out.body.String())
	})
	t.Run("refused: read in place", func(t *testing.T) {
		s := newScene(t, end{status: 200, stream: true, body: eventsText(1, 2)})
		reader(t, s)
		s.up.read.notRun = true
		require.NoError(t, s.Serve(context.Background(), long(), &caller{}))
		require.Len(t, s.up.reads, 1)
		require.Empty(t, s.up.targets[0].Source)
	})
	t.Run("lost on the way: read in place, as a repeated request", func(t *testing.T) {
		s := newScene(t, end{status: 503, notRun: true}, end{status: 200, stream: true, body: eventsText(1, 2)})
		reader(t, s)
		require.NoError(t, s.Serve(context.Background(), long(), &caller{}))
		require.Equal(t, "from:p1", s.up.targets[0].Source)
		require.Empty(t, s.up.targets[1].Source)
	})
	t.Run("no budget for reading again", func(t *testing.T) {
		s := newScene(t)
		reader(t, s)
		s.up.read.notRun = true
		s.Retries = Retries{}
		r := refusal(t, s.Serve(context.Background(), long(), &caller{}))
		require.Equal(t, call.No, r.Run, "reading a prompt is no run")
		require.Equal(t, http.StatusServiceUnavailable, r.Status)
	})
	t.Run("work is taken back", func(t *testing.T) {
		s := newScene(t, end{status: 200, stream: true, body: eventsText(1, 2)})
		reader(t, s)
		require.NoError(t, s.Serve(context.Background(), long(), &caller{}))
		for _, u := range s.Roster.Snapshot().All {
			require.Zero(t, u.Work.Requests.Load())
			require.Zero(t, u.Work.Reading.Load())
		}
	})
}

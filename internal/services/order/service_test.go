package order

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/roster"
)

const waitLimit = 20 * time.Second

// log is one shared log that applies at once.
type log struct {
	mu sync.Mutex
	m  *state.Machine
	i  id.Index
}

func (l *log) propose(c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.i++
	return l.m.Apply(l.i, data), nil
}

// vm is a fake Authority; pause delays the answers to its intents.
type vm struct {
	name  id.VM
	log   *log
	pause time.Duration
}

func (v *vm) VM() id.VM                                { return v.name }
func (v *vm) Zone() id.Zone                            { return "a" }
func (v *vm) Incarnation() id.Incarnation              { return 1 }
func (v *vm) State() *state.Machine                    { return v.log.m }
func (v *vm) Control() bool                            { return true }
func (v *vm) Leased(time.Duration, time.Duration) bool { return true }

func (v *vm) Propose(_ context.Context, c state.Command) (state.Result, error) {
	r, err := v.log.propose(c)
	if c.Intent != nil {
		time.Sleep(v.pause)
	}
	return r, err
}

// fakeEngine ignores fencing numbers and records the orders that reach it.
type fakeEngine struct {
	mu     sync.Mutex
	orders []message
	lose   atomic.Bool // takes orders and loses the answers
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/state" {
		st := engineState{}
		if n := len(e.orders); n > 0 {
			st.Order = e.orders[n-1].ID
		}
		json.NewEncoder(w).Encode(st)
		return
	}
	var m message
	json.NewDecoder(r.Body).Decode(&m)
	e.orders = append(e.orders, m)
	if e.lose.Load() {
		panic(http.ErrAbortHandler)
	}
}

func (e *fakeEngine) got() []message {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]message(nil), e.orders...)
}

// scene is one engine and the services of two VMs.
type scene struct {
	t    *testing.T
	log  *log
	e    *fakeEngine
	vms  []*vm
	list []*Service
}

func newScene(t *testing.T) *scene {
	s := &scene{t: t, log: &log{m: state.New()}, e: &fakeEngine{}}
	srv := httptest.NewServer(s.e)
	t.Cleanup(srv.Close)
	for _, name := range []id.VM{"vm1", "vm2"} {
		r := roster.New(name, "a", 1, func() {})
		require.NoError(t, r.Announce(clock.Boot(), engine.Announcement{
			Name: "e1", Zone: "a", Address: strings.TrimPrefix(srv.URL, "http://"), State: engine.Ready, Model: "m",
			Role: engine.Both, Pieces: 1,
		}))
		v := &vm{name: name, log: s.log}
		s.vms = append(s.vms, v)
		s.list = append(s.list, New(Options{Authority: v, Roster: r, Window: time.Second}))
	}
	return s
}

// expire frees the engines' lease as a leader does once it has surely ended.
func (s *scene) expire() {
	l, ok := s.log.m.Lease(lease.Engines("a"))
	require.True(s.t, ok)
	_, err := s.log.propose(state.Command{Expire: &state.Expire{Name: l.Name, Fence: l.Fence, Renewal: l.Renewal}})
	require.NoError(s.t, err)
}

func (s *scene) hold(i int) Hold {
	h, ok := s.list[i].keep(context.Background(), lease.Engines("a"))
	require.True(s.t, ok)
	return h
}

func TestOrderIsCommittedAroundTheSending(t *testing.T) {
	s := newScene(t)
	h := s.hold(0)
	require.NoError(t, s.list[0].Order(context.Background(), "e1", order.SetRole, "decode", "test"))
	require.Len(t, s.e.got(), 1)
	require.Equal(t, h.Fence, s.e.got()[0].Fence)
	o, ok := s.log.m.Order("e1")
	require.True(t, ok)
	require.Equal(t, order.Done, o.State)
	t.Run("only the holder gives orders", func(t *testing.T) {
		require.ErrorIs(t, s.list[1].Order(context.Background(), "e1", order.SetRole, "prefill", "test"), ErrNotHeld)
		require.Len(t, s.e.got(), 1)
	})
}

// TestPausedHolderSendsNothing stops the holder between the commit of its intent and the sending, for longer than its
// lease: nothing may reach an engine that ignores fencing numbers.
func TestPausedHolderSendsNothing(t *testing.T) {
	s := newScene(t)
	s.hold(0)
	s.vms[0].pause = leaseLength + time.Second
	done := make(chan error, 1)
	go func() { done <- s.list[0].Order(context.Background(), "e1", order.SetRole, "decode", "late") }()
	time.Sleep(leaseLength + 100*time.Millisecond)
	s.expire()
	s.hold(1)
	require.Error(t, <-done)
	require.Empty(t, s.e.got())
	require.NoError(t, s.list[1].Order(context.Background(), "e1", order.SetRole, "prefill", "new"), "the old one gave its intent up")
	require.Len(t, s.e.got(), 1)
}

// TestSuccessorReadsBack loses the answer of an order and its sender: the successor waits, reads the engine's state and
// only then gives the next order.
func TestSuccessorReadsBack(t *testing.T) {
	s := newScene(t)
	s.hold(0)
	s.e.lose.Store(true)
	require.Error(t, s.list[0].Order(context.Background(), "e1", order.SetRole, "decode", "lost"))
	s.e.lose.Store(false)
	o, _ := s.log.m.Order("e1")
	require.Equal(t, order.Pending, o.State)
	s.expire()
	h := s.hold(1)
	require.Error(t, s.list[1].Order(context.Background(), "e1", order.SetRole, "prefill", "too early"))
	s.list[1].finishPending(context.Background(), h)
	o, _ = s.log.m.Order("e1")
	require.Equal(t, order.Pending, o.State, "settled before nothing could arrive any more")
	end := time.Now().Add(waitLimit)
	for o.State == order.Pending {
		require.True(t, time.Now().Before(end))
		time.Sleep(50 * time.Millisecond)
		h = s.hold(1)
		s.list[1].finishPending(context.Background(), h)
		o, _ = s.log.m.Order("e1")
	}
	require.Equal(t, order.Done, o.State)
	require.NoError(t, s.list[1].Order(context.Background(), "e1", order.SetRole, "prefill", "next"))
	require.Len(t, s.e.got(), 2)
}

// fakePlatform refuses some reports after it has taken them, so that they are sent again.
type fakePlatform struct {
	mu      sync.Mutex
	figures map[id.Window]string
	lose    int
	sent    int
	wrong   int
}

func (p *fakePlatform) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var q report
	json.NewDecoder(r.Body).Decode(&q)
	figure, _ := json.Marshal(q.Lines)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if old, ok := p.figures[q.Window]; ok && old != string(figure) {
		p.wrong++
	}
	p.figures[q.Window] = string(figure)
	if p.lose > 0 {
		p.lose--
		panic(http.ErrAbortHandler)
	}
}

// TestReportsAreResentUnchanged loses answers and changes the holder while usage goes on.
func TestReportsAreResentUnchanged(t *testing.T) {
	s := newScene(t)
	p := &fakePlatform{figures: map[id.Window]string{}, lose: 3}
	srv := httptest.NewServer(p)
	defer srv.Close()
	total := uint64(0)
	for round := range 8 {
		i := round / 4 // the second half is the other VM's
		if round == 4 {
			l, _ := s.log.m.Lease(lease.Platform)
			s.log.propose(state.Command{Release: &state.Release{Name: l.Name, Fence: l.Fence}})
		}
		x := s.list[i]
		x.opt.Port = &web{sender: x.sender, url: srv.URL}
		h, ok := x.keep(context.Background(), lease.Platform)
		require.True(t, ok)
		total += 10
		s.log.propose(state.Command{Usage: &state.Usage{Readings: []usage.Reading{{
			Source: usage.Source{VM: "vm1", Customer: "c", Service: "s"}, Count: usage.Count{Requests: total},
		}}}})
		_, err := s.log.propose(state.Command{Seal: &state.Seal{Window: id.Window(round + 1), Fence: h.Fence}})
		require.NoError(t, err)
		x.reportWindows(context.Background(), h)
	}
	s.list[1].reportWindows(context.Background(), s.mustHold(1, lease.Platform))
	require.Zero(t, p.wrong, "one window had two figures")
	require.Len(t, p.figures, 8)
	require.Equal(t, 8+3, p.sent)
	sum := uint64(0)
	for _, r := range s.log.m.Reports() {
		require.True(t, r.Acknowledged)
		sum += r.Lines[0].Count.Requests
	}
	require.Equal(t, total, sum)
}

func (s *scene) mustHold(i int, n lease.Name) Hold {
	h, ok := s.list[i].keep(context.Background(), n)
	require.True(s.t, ok)
	return h
}

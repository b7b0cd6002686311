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

// sharedLog is an in-memory log that applies commands immediately.
type sharedLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   id.Index
}

func (l *sharedLog) propose(c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, data), nil
}

// fakeControlPlane implements ControlPlane on a sharedLog. Proposals of intents return after intentDelay.
type fakeControlPlane struct {
	name        id.VM
	sharedLog   *sharedLog
	intentDelay time.Duration
}

func (v *fakeControlPlane) VM() id.VM                                { return v.name }
func (v *fakeControlPlane) Zone() id.Zone                            { return "a" }
func (v *fakeControlPlane) Incarnation() id.Incarnation              { return 1 }
func (v *fakeControlPlane) State() *state.Machine                    { return v.sharedLog.machine }
func (v *fakeControlPlane) IsControlVM() bool                        { return true }
func (v *fakeControlPlane) Leased(time.Duration, time.Duration) bool { return true }

func (v *fakeControlPlane) Propose(_ context.Context, c state.Command) (state.Result, error) {
	r, err := v.sharedLog.propose(c)
	if c.Intent != nil {
		time.Sleep(v.intentDelay)
	}
	return r, err
}

// fakeEngine records the orders that it receives and does not check fencing numbers.
type fakeEngine struct {
	mu          sync.Mutex
	orders      []orderMessage
	dropAnswers atomic.Bool // accept orders but abort the connection instead of answering
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
	var m orderMessage
	json.NewDecoder(r.Body).Decode(&m)
	e.orders = append(e.orders, m)
	if e.dropAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
}

func (e *fakeEngine) received() []orderMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]orderMessage(nil), e.orders...)
}

// fixture has one engine and the services of two VMs.
type fixture struct {
	t         *testing.T
	sharedLog *sharedLog
	target    *fakeEngine
	vms       []*fakeControlPlane
	services  []*Service
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{t: t, sharedLog: &sharedLog{machine: state.New()}, target: &fakeEngine{}}
	srv := httptest.NewServer(s.target)
	t.Cleanup(srv.Close)
	for _, name := range []id.VM{"vm1", "vm2"} {
		r := roster.New(name, "a", 1, func() {})
		require.NoError(t, r.Announce(clock.SinceBoot(), engine.Announcement{
			Name: "e1", Zone: "a", Address: strings.TrimPrefix(srv.URL, "http://"), State: engine.Ready, Model: "m",
			Role: engine.Both, KVBlocks: 1,
		}))
		v := &fakeControlPlane{name: name, sharedLog: s.sharedLog}
		s.vms = append(s.vms, v)
		s.services = append(s.services, New(Options{ControlPlane: v, Roster: r, Window: time.Second}))
	}
	return s
}

// expireEnginesLease expires the engines lease in the log, as the leader does after its end.
func (s *fixture) expireEnginesLease() {
	l, ok := s.sharedLog.machine.Lease(lease.Engines("a"))
	require.True(s.t, ok)
	_, err := s.sharedLog.propose(state.Command{Expire: &state.Expire{Name: l.Name, Fence: l.Fence, Renewal: l.Renewal}})
	require.NoError(s.t, err)
}

func (s *fixture) acquireEngines(i int) HeldLease {
	h, ok := s.services[i].ensureLease(context.Background(), lease.Engines("a"))
	require.True(s.t, ok)
	return h
}

// acquireSettled acquires the engines lease for a VM whose takeoverDelay has passed.
func (s *fixture) acquireSettled(i int) HeldLease {
	h := s.acquireEngines(i)
	h.acquired -= takeoverDelay
	s.services[i].mu.Lock()
	defer s.services[i].mu.Unlock()
	s.services[i].held[h.Name] = h
	return h
}

func TestOrderCommitsIntentAndOutcome(t *testing.T) {
	s := newFixture(t)
	h := s.acquireSettled(0)
	require.NoError(t, s.services[0].Order(context.Background(), "e1", order.SetRole, "decode", "test"))
	require.Len(t, s.target.received(), 1)
	require.Equal(t, h.Fence, s.target.received()[0].Fence)
	o, ok := s.sharedLog.machine.Order("e1")
	require.True(t, ok)
	require.Equal(t, order.Done, o.State)
	t.Run("only the holder sends orders", func(t *testing.T) {
		require.ErrorIs(t, s.services[1].Order(context.Background(), "e1", order.SetRole, "prefill", "test"), ErrNotHeld)
		require.Len(t, s.target.received(), 1)
	})
}

// TestPausedHolderSendsNothing pauses the holder between committing its intent and sending the order, for longer than
// its lease. The order must not reach the engine, even if the engine does not check fencing numbers.
func TestPausedHolderSendsNothing(t *testing.T) {
	s := newFixture(t)
	s.acquireSettled(0)
	s.vms[0].intentDelay = leaseDuration + time.Second
	done := make(chan error, 1)
	go func() { done <- s.services[0].Order(context.Background(), "e1", order.SetRole, "decode", "late") }()
	time.Sleep(leaseDuration + 100*time.Millisecond)
	s.expireEnginesLease()
	s.acquireSettled(1)
	require.Error(t, <-done)
	require.Empty(t, s.target.received())
	require.NoError(t, s.services[1].Order(context.Background(), "e1", order.SetRole, "prefill", "new"), "the old holder's intent must not block the new holder's order")
	require.Len(t, s.target.received(), 1)
}

// TestNewHolderResolvesPendingOrder loses the answer to an order, and then its sender loses the lease. The new holder
// must wait, read the engine's state and only then send the next order.
func TestNewHolderResolvesPendingOrder(t *testing.T) {
	s := newFixture(t)
	s.acquireSettled(0)
	s.target.dropAnswers.Store(true)
	require.Error(t, s.services[0].Order(context.Background(), "e1", order.SetRole, "decode", "lost"))
	s.target.dropAnswers.Store(false)
	o, _ := s.sharedLog.machine.Order("e1")
	require.Equal(t, order.Pending, o.State)
	s.expireEnginesLease()
	h := s.acquireEngines(1)
	require.Error(t, s.services[1].Order(context.Background(), "e1", order.SetRole, "prefill", "too early"))
	s.services[1].resolvePending(context.Background(), h)
	o, _ = s.sharedLog.machine.Order("e1")
	require.Equal(t, order.Pending, o.State, "resolved while bytes of the old holder could still arrive")
	end := time.Now().Add(waitLimit)
	for o.State == order.Pending {
		require.True(t, time.Now().Before(end))
		time.Sleep(50 * time.Millisecond)
		h = s.acquireEngines(1)
		s.services[1].resolvePending(context.Background(), h)
		o, _ = s.sharedLog.machine.Order("e1")
	}
	require.Equal(t, order.Done, o.State)
	require.NoError(t, s.services[1].Order(context.Background(), "e1", order.SetRole, "prefill", "next"))
	require.Len(t, s.target.received(), 2)
}

// fakePlatform drops the answers to its first reports after recording them, so that they are sent again.
type fakePlatform struct {
	mu            sync.Mutex
	reports       map[id.Window]string
	answersToDrop int
	requests      int
	mismatches    int
}

func (p *fakePlatform) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var q usageReport
	json.NewDecoder(r.Body).Decode(&q)
	lines, _ := json.Marshal(q.Lines)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if old, ok := p.reports[q.Window]; ok && old != string(lines) {
		p.mismatches++
	}
	p.reports[q.Window] = string(lines)
	if p.answersToDrop > 0 {
		p.answersToDrop--
		panic(http.ErrAbortHandler)
	}
}

// TestUsageReportsAreResentUnchanged loses answers and changes the holder while usage increases. A window must never be
// reported with two different contents.
func TestUsageReportsAreResentUnchanged(t *testing.T) {
	s := newFixture(t)
	p := &fakePlatform{reports: map[id.Window]string{}, answersToDrop: 3}
	srv := httptest.NewServer(p)
	defer srv.Close()
	total := uint64(0)
	for round := range 8 {
		i := round / 4 // the other VM holds the lease in the second half
		if round == 4 {
			l, _ := s.sharedLog.machine.Lease(lease.Platform)
			s.sharedLog.propose(state.Command{Release: &state.Release{Name: l.Name, Fence: l.Fence}})
		}
		x := s.services[i]
		x.opt.PlatformClient = &nativeClient{sender: x.sender, url: srv.URL}
		h, ok := x.ensureLease(context.Background(), lease.Platform)
		require.True(t, ok)
		total += 10
		s.sharedLog.propose(state.Command{Usage: &state.Usage{Readings: []usage.Reading{{
			Source: usage.Source{VM: "vm1", Customer: "c", Service: "s"}, Count: usage.Count{Requests: total},
		}}}})
		_, err := s.sharedLog.propose(state.Command{Seal: &state.Seal{Window: id.Window(round + 1), Fence: h.Fence}})
		require.NoError(t, err)
		x.reportWindows(context.Background(), h)
	}
	s.services[1].reportWindows(context.Background(), s.acquire(1, lease.Platform))
	require.Zero(t, p.mismatches, "a window was reported with two different contents")
	require.Len(t, p.reports, 8)
	require.Equal(t, 8+3, p.requests)
	sum := uint64(0)
	for _, r := range s.sharedLog.machine.UsageReports() {
		require.True(t, r.Acknowledged)
		sum += r.Lines[0].Count.Requests
	}
	require.Equal(t, total, sum)
}

func (s *fixture) acquire(i int, n lease.Name) HeldLease {
	h, ok := s.services[i].ensureLease(context.Background(), n)
	require.True(s.t, ok)
	return h
}

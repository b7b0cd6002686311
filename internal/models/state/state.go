// Package state is the deterministic state machine that the replicated log drives: configuration, members,
// leases, claims, orders and usage.
package state

import (
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/rcu"
)

// answersKept is the number of change answers kept for resends.
const answersKept = 10000

// reportsKept is the number of acknowledged usage reports kept.
const reportsKept = 10000

// windowsKept is how many windows before the sealed one keep their counters apart. It covers the longest time for which
// a VM repeats a reading.
const windowsKept = 60

// tables is everything a snapshot carries.
type tables struct {
	Index    id.Index                     `json:"index"`
	Config   Config                       `json:"config"`
	Members  map[id.VM]Member             `json:"members"`
	Leases   map[lease.Name]lease.Lease   `json:"leases"`
	Claims   map[claim.ID]claim.Claim     `json:"claims"`
	Opened   []claim.ID                   `json:"opened"` // keys of Claims, oldest first
	Orders   map[id.Upstream]order.Order  `json:"orders"`
	Counts   map[usage.Source]usage.Count `json:"counts"`
	Settled  map[pair]usage.Count         `json:"settled,omitempty"` // sum of counters that are no longer kept apart
	Reported map[pair]usage.Count         `json:"reported"`
	Reports  []usage.Report               `json:"reports"`
	Answers  map[id.Request]Result        `json:"answers"`
	Asked    []id.Request                 `json:"asked"` // keys of Answers, oldest first
}

// pair is a customer with a service.
type pair struct {
	Customer id.Customer `json:"customer"`
	Service  id.Service  `json:"service"`
}

// Machine applies commands in log order. Its methods may be called from several threads.
type Machine struct {
	mu      sync.Mutex
	t       tables
	dirty   bool
	config  rcu.Value[*Config]
	members rcu.Value[map[id.VM]Member]
	latest  rcu.Value[map[id.Upstream]order.Order]
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.t = tables{
		Config:   newConfig(),
		Members:  map[id.VM]Member{},
		Leases:   map[lease.Name]lease.Lease{},
		Claims:   map[claim.ID]claim.Claim{},
		Orders:   map[id.Upstream]order.Order{},
		Counts:   map[usage.Source]usage.Count{},
		Settled:  map[pair]usage.Count{},
		Reported: map[pair]usage.Count{},
		Answers:  map[id.Request]Result{},
	}
	m.dirty = true
	m.Publish()
	return m
}

// Config returns the published configuration. It takes no lock.
func (m *Machine) Config() *Config { return m.config.Load() }

// Members returns the published members. It takes no lock.
func (m *Machine) Members() map[id.VM]Member { return m.members.Load() }

// Index returns the last applied log index.
func (m *Machine) Index() id.Index {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Index
}

// Lease returns the grant of n.
func (m *Machine) Lease(n lease.Name) (lease.Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.t.Leases[n]
	return l, ok
}

// Leases returns all grants.
func (m *Machine) Leases() []lease.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]lease.Lease, 0, len(m.t.Leases))
	for _, l := range m.t.Leases {
		list = append(list, l)
	}
	return list
}

// Order returns the last order of u.
func (m *Machine) Order(u id.Upstream) (order.Order, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.t.Orders[u]
	return o, ok
}

// Latest returns the published last order of every upstream. It takes no lock.
func (m *Machine) Latest() map[id.Upstream]order.Order { return m.latest.Load() }

// Orders returns the last order of every upstream.
func (m *Machine) Orders() []order.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]order.Order, 0, len(m.t.Orders))
	for _, o := range m.t.Orders {
		list = append(list, o)
	}
	return list
}

// Reports returns the sealed usage reports, oldest first.
func (m *Machine) Reports() []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]usage.Report(nil), m.t.Reports...)
}

// Count returns the committed counter of src.
func (m *Machine) Count(src usage.Source) usage.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Counts[src]
}

// Publish makes the applied changes visible to Config and Members.
func (m *Machine) Publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dirty {
		return
	}
	m.dirty = false
	m.config.Store(m.t.Config.clone())
	members := make(map[id.VM]Member, len(m.t.Members))
	for k, v := range m.t.Members {
		members[k] = v
	}
	m.members.Store(members)
	m.latest.Store(maps.Clone(m.t.Orders))
}

// Apply executes the command at index i. An index that was applied before is skipped.
func (m *Machine) Apply(i id.Index, data []byte) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i <= m.t.Index {
		return Result{Code: Invalid, Message: "index was applied before", Index: i}
	}
	m.t.Index = i
	if len(data) == 0 {
		return Result{Code: OK, Index: i}
	}
	c, err := decode(data)
	if err != nil {
		return Result{Code: Invalid, Message: err.Error(), Index: i}
	}
	r := m.run(i, c)
	r.Index = i
	r.Revision = m.t.Config.Revision
	if c.Change != nil {
		r = m.remember(c.Change.Request, r)
	}
	return r
}

func (m *Machine) run(i id.Index, c Command) Result {
	switch {
	case c.Change != nil:
		return m.change(c.Change)
	case c.Join != nil:
		return m.join(*c.Join)
	case c.Leave != nil:
		return m.leave(*c.Leave)
	case c.Acquire != nil:
		return m.acquire(i, *c.Acquire)
	case c.Release != nil:
		return m.release(*c.Release)
	case c.Expire != nil:
		return m.expire(*c.Expire)
	case c.Claim != nil:
		return m.claim(*c.Claim)
	case c.Settle != nil:
		return m.settle(*c.Settle)
	case c.Usage != nil:
		return m.merge(*c.Usage)
	case c.Seal != nil:
		return m.seal(*c.Seal)
	case c.Ack != nil:
		return m.ack(*c.Ack)
	case c.Intent != nil:
		return m.intent(i, *c.Intent)
	case c.Outcome != nil:
		return m.outcome(*c.Outcome)
	}
	return Result{Code: Invalid, Message: "empty command"}
}

func ok() Result { return Result{Code: OK} }

func fail(code Code, message string) Result { return Result{Code: code, Message: message} }

// failure maps an error to the code that names it.
func failure(err error) Result {
	switch {
	case errors.Is(err, errors.NotFound):
		return fail(Missing, err.Error())
	case errors.Is(err, errors.AlreadyExists):
		return fail(Conflict, err.Error())
	}
	return fail(Invalid, err.Error())
}

// change applies a configuration change once. A resent request gets its first answer.
func (m *Machine) change(ch *Change) Result {
	if first, ok := m.t.Answers[ch.Request]; ok {
		return first
	}
	cfg := &m.t.Config
	if ch.Replace != nil && ch.Replace.Version <= cfg.Version {
		return ok() // a later document, or this one, is in force
	}
	if !ch.Any && ch.Base != cfg.Revision {
		return fail(Conflict, "the base revision is not the current one")
	}
	what, err := cfg.apply(ch)
	if err != nil {
		return failure(err)
	}
	cfg.Revision++
	e := Entry{Revision: cfg.Revision, Request: ch.Request, Actor: ch.Actor, At: ch.At, What: what, Reason: ch.Reason}
	cfg.History = append(cfg.History, e)
	if n := len(cfg.History); n > 2*historyLength {
		cfg.History = append([]Entry(nil), cfg.History[n-historyLength:]...)
	}
	m.dirty = true
	return ok()
}

// remember keeps the first answer to request and returns it.
func (m *Machine) remember(request id.Request, r Result) Result {
	if first, ok := m.t.Answers[request]; ok {
		return first
	}
	if r.Code != OK {
		return r
	}
	m.t.Answers[request] = r
	m.t.Asked = append(m.t.Asked, request)
	if len(m.t.Asked) > answersKept {
		delete(m.t.Answers, m.t.Asked[0])
		m.t.Asked = m.t.Asked[1:]
	}
	return r
}

func (m *Machine) join(n Member) Result {
	if old, ok := m.t.Members[n.VM]; ok && old.Incarnation > n.Incarnation {
		return fail(Conflict, "a later incarnation of this VM has joined")
	}
	m.t.Members[n.VM] = n
	m.dirty = true
	return ok()
}

func (m *Machine) leave(n Leave) Result {
	old, found := m.t.Members[n.VM]
	if !found || old.Incarnation != n.Incarnation {
		return fail(Missing, "no such member")
	}
	delete(m.t.Members, n.VM)
	m.orphan(n.VM, n.Incarnation)
	m.dirty = true
	return ok()
}

// orphan marks the running claims of an ended VM: whether they ran is not known.
func (m *Machine) orphan(vm id.VM, inc id.Incarnation) {
	for k, c := range m.t.Claims {
		if c.Owner == vm && c.Incarnation <= inc && c.State == claim.Running {
			c.State = claim.Unknown
			m.t.Claims[k] = c
		}
	}
}

// claim opens a claim, or answers with the one that stands.
func (m *Machine) claim(c Claim) Result {
	m.sweep(c.At)
	if old, ok := m.t.Claims[c.Claim.ID]; ok && old.State != claim.NotRun {
		return Result{Code: OK, Claim: &old}
	}
	n := c.Claim
	n.State = claim.Running
	if _, known := m.t.Claims[n.ID]; !known {
		m.t.Opened = append(m.t.Opened, n.ID)
	}
	m.t.Claims[n.ID] = n
	return Result{Code: OK, Claim: &n, Fresh: true}
}

// sweep removes expired claims from the front of the queue; a running one goes to its end. It looks at a bounded
// number of claims, in the order of the log, so that every replica does the same.
func (m *Machine) sweep(now time.Time) {
	const most = 8
	for range most {
		if len(m.t.Opened) == 0 {
			return
		}
		k := m.t.Opened[0]
		c := m.t.Claims[k]
		if !now.After(c.Expires) {
			return
		}
		m.t.Opened = m.t.Opened[1:]
		if c.State == claim.Running {
			m.t.Opened = append(m.t.Opened, k)
			continue
		}
		delete(m.t.Claims, k)
	}
}

func (m *Machine) settle(s Settle) Result {
	c, found := m.t.Claims[s.ID]
	if !found || c.Request != s.Request {
		return fail(Missing, "no such claim")
	}
	if c.State != claim.Running && c.State != claim.Unknown {
		return Result{Code: OK, Claim: &c}
	}
	c.State, c.Answer = s.State, s.Answer
	m.t.Claims[s.ID] = c
	return Result{Code: OK, Claim: &c}
}

// Snapshot returns the encoded tables and the index they stand at.
func (m *Machine) Snapshot() (id.Index, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := cbor.Marshal(m.t)
	return m.t.Index, data, errors.Annotate(err, "encode snapshot")
}

// FollowerSnapshot returns the encoded tables without what only control VMs keep.
func (m *Machine) FollowerSnapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.t
	t.Claims, t.Opened = nil, nil
	t.Counts, t.Settled, t.Reported, t.Reports = nil, nil, nil, nil
	t.Answers, t.Asked = nil, nil
	data, err := cbor.Marshal(t)
	return data, errors.Annotate(err, "encode snapshot")
}

// Skip moves the applied index forward over entries that this VM does not follow.
func (m *Machine) Skip(to id.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.Index = max(m.t.Index, to)
}

// Restore replaces the tables by a snapshot.
func (m *Machine) Restore(data []byte) error {
	n := New()
	if err := cbor.Unmarshal(data, &n.t); err != nil {
		return errors.Annotate(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.t.Index < m.t.Index {
		return errors.NotValidf("snapshot at index %d below the applied %d, so it", n.t.Index, m.t.Index)
	}
	m.t = n.t
	m.t.fill()
	m.dirty = true
	return nil
}

// fill makes the maps that a snapshot for followers leaves out.
func (t *tables) fill() {
	empty := New().t
	if t.Claims == nil {
		t.Claims = empty.Claims
	}
	if t.Counts == nil {
		t.Counts, t.Reported = empty.Counts, empty.Reported
	}
	if t.Settled == nil {
		t.Settled = empty.Settled
	}
	if t.Answers == nil {
		t.Answers = empty.Answers
	}
}

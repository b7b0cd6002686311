// Package state implements the deterministic state machine that applies the replicated log. It holds the configuration,
// members, leases, claims, orders, usage and requests that crashed upstreams.
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
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/rcu"
)

// maxAnswers is the number of results of configuration changes that are kept to answer repeated requests.
const maxAnswers = 10000

// maxReports is the number of usage reports above which acknowledged ones are removed.
const maxReports = 10000

// countWindowsKept is the number of windows before the last sealed one whose counters are stored separately. It
// covers the longest time during which a VM resends a reading.
const countWindowsKept = 60

// tables holds the complete replicated state. A snapshot is its encoding.
type tables struct {
	Index           id.Index                        `json:"index"`
	Config          Config                          `json:"config"`
	Members         map[id.VM]Member                `json:"members"`
	Leases          map[lease.Name]lease.Lease      `json:"leases"`
	Claims          map[claim.ID]claim.Claim        `json:"claims"`
	ClaimQueue      []claim.ID                      `json:"opened"` // keys of Claims, oldest first; see removeExpiredClaims
	Orders          map[id.Upstream]order.Order     `json:"orders"`
	Counts          map[usage.Source]usage.Count    `json:"counts"`
	CompactedCounts map[customerService]usage.Count `json:"settled,omitempty"` // sums of the counters that were removed from Counts
	ReportedTotals  map[customerService]usage.Count `json:"reported"`          // totals over all sealed windows
	UsageReports    []usage.Report                  `json:"reports"`
	Suspects        suspect.Table                   `json:"suspects,omitempty"`
	Answers         map[id.Request]Result           `json:"answers"` // results of configuration changes
	AnswerQueue     []id.Request                    `json:"asked"`   // keys of Answers, oldest first
}

// customerService is the key of usage totals per customer and service.
type customerService struct {
	Customer id.Customer `json:"customer"`
	Service  id.Service  `json:"service"`
}

// Machine applies commands in log order. It is safe for concurrent use.
type Machine struct {
	mu           sync.Mutex
	t            tables
	unpublished  bool // changes were applied after the last Publish
	newSuspects  bool // the same for suspects
	config       rcu.Value[*Config]
	members      rcu.Value[map[id.VM]Member]
	latestOrders rcu.Value[map[id.Upstream]order.Order]
	suspects     rcu.Value[suspect.Table]
	culprits     rcu.Value[suspect.Culprits]
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.t = tables{
		Config:          newConfig(),
		Members:         map[id.VM]Member{},
		Leases:          map[lease.Name]lease.Lease{},
		Claims:          map[claim.ID]claim.Claim{},
		Orders:          map[id.Upstream]order.Order{},
		Counts:          map[usage.Source]usage.Count{},
		CompactedCounts: map[customerService]usage.Count{},
		ReportedTotals:  map[customerService]usage.Count{},
		Suspects:        suspect.Table{},
		Answers:         map[id.Request]Result{},
	}
	m.unpublished, m.newSuspects = true, true
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

// Lease returns the lease named n, if it is held.
func (m *Machine) Lease(n lease.Name) (lease.Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.t.Leases[n]
	return l, ok
}

// Leases returns all held leases.
func (m *Machine) Leases() []lease.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]lease.Lease, 0, len(m.t.Leases))
	for _, l := range m.t.Leases {
		list = append(list, l)
	}
	return list
}

// Order returns the last order to upstream u.
func (m *Machine) Order(u id.Upstream) (order.Order, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.t.Orders[u]
	return o, ok
}

// LatestOrders returns the published map of the last order to each upstream. It takes no lock.
func (m *Machine) LatestOrders() map[id.Upstream]order.Order { return m.latestOrders.Load() }

// Suspects returns the published requests that ran on upstreams that crashed. It takes no lock.
func (m *Machine) Suspects() suspect.Table { return m.suspects.Load() }

// Culprits returns the parts of prompts that crash upstreams, by the published suspects. It takes no lock.
func (m *Machine) Culprits() suspect.Culprits { return m.culprits.Load() }

// Orders returns the last order to each upstream.
func (m *Machine) Orders() []order.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]order.Order, 0, len(m.t.Orders))
	for _, o := range m.t.Orders {
		list = append(list, o)
	}
	return list
}

// UsageReports returns the sealed usage reports, oldest first.
func (m *Machine) UsageReports() []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]usage.Report(nil), m.t.UsageReports...)
}

// Count returns the committed value of the counter src.
func (m *Machine) Count(src usage.Source) usage.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Counts[src]
}

// Publish makes the applied changes visible to Config, Members, LatestOrders, Suspects and Culprits.
func (m *Machine) Publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newSuspects {
		m.newSuspects = false
		m.suspects.Store(maps.Clone(m.t.Suspects))
		m.culprits.Store(m.t.Suspects.Culprits())
	}
	if !m.unpublished {
		return
	}
	m.unpublished = false
	m.config.Store(m.t.Config.clone())
	members := make(map[id.VM]Member, len(m.t.Members))
	for k, v := range m.t.Members {
		members[k] = v
	}
	m.members.Store(members)
	m.latestOrders.Store(maps.Clone(m.t.Orders))
}

// Apply executes the command at log index i. If i was applied before, the state does not change and the result is
// Invalid.
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
	r := m.execute(i, c)
	r.Index = i
	r.Revision = m.t.Config.Revision
	if c.Change != nil {
		r = m.recordAnswer(c.Change.Request, r)
	}
	return r
}

func (m *Machine) execute(i id.Index, c Command) Result {
	switch {
	case c.Change != nil:
		return m.applyChange(c.Change)
	case c.Join != nil:
		return m.addMember(*c.Join)
	case c.Leave != nil:
		return m.removeMember(*c.Leave)
	case c.Acquire != nil:
		return m.acquireLease(i, *c.Acquire)
	case c.Release != nil:
		return m.releaseLease(*c.Release)
	case c.Expire != nil:
		return m.expireLease(*c.Expire)
	case c.Claim != nil:
		return m.claim(*c.Claim)
	case c.Settle != nil:
		return m.settleClaim(*c.Settle)
	case c.Usage != nil:
		return m.mergeUsage(*c.Usage)
	case c.Seal != nil:
		return m.sealWindow(*c.Seal)
	case c.Ack != nil:
		return m.acknowledgeReport(*c.Ack)
	case c.Intent != nil:
		return m.commitOrder(i, *c.Intent)
	case c.Outcome != nil:
		return m.finishOrder(*c.Outcome)
	case c.Report != nil:
		m.newSuspects = m.t.Suspects.Apply(*c.Report) || m.newSuspects
		return ok()
	}
	return Result{Code: Invalid, Message: "empty command"}
}

func ok() Result { return Result{Code: OK} }

func fail(code Code, message string) Result { return Result{Code: code, Message: message} }

// failWithError returns a failed result whose code matches the type of err.
func failWithError(err error) Result {
	switch {
	case errors.Is(err, errors.NotFound):
		return fail(NotFound, err.Error())
	case errors.Is(err, errors.AlreadyExists):
		return fail(Conflict, err.Error())
	}
	return fail(Invalid, err.Error())
}

// applyChange applies a configuration change. A repeated request ID gets the result of its first application.
func (m *Machine) applyChange(ch *Change) Result {
	if first, ok := m.t.Answers[ch.Request]; ok {
		return first
	}
	cfg := &m.t.Config
	if ch.Replace != nil && ch.Replace.Version <= cfg.Version {
		return ok() // this version or a later one is already in force
	}
	if !ch.AnyBase && ch.Base != cfg.Revision {
		return fail(Conflict, "the base revision is not the current one")
	}
	summary, err := cfg.apply(ch)
	if err != nil {
		return failWithError(err)
	}
	cfg.Revision++
	e := HistoryEntry{Revision: cfg.Revision, Request: ch.Request, Actor: ch.Actor, At: ch.At, Summary: summary, Reason: ch.Reason}
	cfg.History = append(cfg.History, e)
	if n := len(cfg.History); n > 2*minHistory {
		cfg.History = append([]HistoryEntry(nil), cfg.History[n-minHistory:]...)
	}
	m.unpublished = true
	return ok()
}

// recordAnswer stores the first successful result of request. It returns the stored result, or r if there is none.
func (m *Machine) recordAnswer(request id.Request, r Result) Result {
	if first, ok := m.t.Answers[request]; ok {
		return first
	}
	if r.Code != OK {
		return r
	}
	m.t.Answers[request] = r
	m.t.AnswerQueue = append(m.t.AnswerQueue, request)
	if len(m.t.AnswerQueue) > maxAnswers {
		delete(m.t.Answers, m.t.AnswerQueue[0])
		m.t.AnswerQueue = m.t.AnswerQueue[1:]
	}
	return r
}

func (m *Machine) addMember(member Member) Result {
	if old, ok := m.t.Members[member.VM]; ok && old.Incarnation > member.Incarnation {
		return fail(Conflict, "a later incarnation of this VM has joined")
	}
	m.t.Members[member.VM] = member
	m.unpublished = true
	return ok()
}

func (m *Machine) removeMember(leave Leave) Result {
	old, found := m.t.Members[leave.VM]
	if !found || old.Incarnation != leave.Incarnation {
		return fail(NotFound, "no such member")
	}
	delete(m.t.Members, leave.VM)
	m.markClaimsUnknown(leave.VM, leave.Incarnation)
	m.unpublished = true
	return ok()
}

// markClaimsUnknown sets the running claims of a removed VM to Unknown, since their requests may or may not have run.
func (m *Machine) markClaimsUnknown(vm id.VM, inc id.Incarnation) {
	for k, c := range m.t.Claims {
		if c.Owner == vm && c.Incarnation <= inc && c.State == claim.Running {
			c.State = claim.Unknown
			m.t.Claims[k] = c
		}
	}
}

// claim opens a claim, or returns the existing one. A claim in state NotRun is opened again.
func (m *Machine) claim(c Claim) Result {
	m.removeExpiredClaims(c.At)
	if old, ok := m.t.Claims[c.Claim.ID]; ok && old.State != claim.NotRun {
		return Result{Code: OK, Claim: &old}
	}
	n := c.Claim
	n.State = claim.Running
	if _, exists := m.t.Claims[n.ID]; !exists {
		m.t.ClaimQueue = append(m.t.ClaimQueue, n.ID)
	}
	m.t.Claims[n.ID] = n
	return Result{Code: OK, Claim: &n, ClaimOpened: true}
}

// removeExpiredClaims removes expired claims from the front of the queue and moves running ones to its end. It checks a
// bounded number of claims per call, in log order, so that every replica removes the same claims.
func (m *Machine) removeExpiredClaims(now time.Time) {
	const maxClaimsPerCall = 8
	for range maxClaimsPerCall {
		if len(m.t.ClaimQueue) == 0 {
			return
		}
		k := m.t.ClaimQueue[0]
		c := m.t.Claims[k]
		if !now.After(c.Expires) {
			return
		}
		m.t.ClaimQueue = m.t.ClaimQueue[1:]
		if c.State == claim.Running {
			m.t.ClaimQueue = append(m.t.ClaimQueue, k)
			continue
		}
		delete(m.t.Claims, k)
	}
}

func (m *Machine) settleClaim(s Settle) Result {
	c, found := m.t.Claims[s.ID]
	if !found || c.Request != s.Request {
		return fail(NotFound, "no such claim")
	}
	if c.State != claim.Running && c.State != claim.Unknown {
		return Result{Code: OK, Claim: &c}
	}
	c.State, c.Answer = s.State, s.Answer
	m.t.Claims[s.ID] = c
	return Result{Code: OK, Claim: &c}
}

// Snapshot returns the encoded tables and the last applied index.
func (m *Machine) Snapshot() (id.Index, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := cbor.Marshal(m.t)
	return m.t.Index, data, errors.Annotate(err, "encode snapshot")
}

// FollowerSnapshot returns the encoded tables without those that only control VMs use, and the last applied index.
func (m *Machine) FollowerSnapshot() (id.Index, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.t
	t.Claims, t.ClaimQueue = nil, nil
	t.Counts, t.CompactedCounts, t.ReportedTotals, t.UsageReports = nil, nil, nil, nil
	t.Answers, t.AnswerQueue = nil, nil
	data, err := cbor.Marshal(t)
	return t.Index, data, errors.Annotate(err, "encode snapshot")
}

// SkipTo advances the applied index to the given one, past entries that followers do not apply.
func (m *Machine) SkipTo(to id.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.Index = max(m.t.Index, to)
}

// Restore replaces the tables with those of a snapshot. It rejects a snapshot older than the applied index.
func (m *Machine) Restore(data []byte) error {
	n := New()
	if err := n.decode(data); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.t.Index < m.t.Index {
		return errors.NotValidf("snapshot at index %d below the applied %d, so it", n.t.Index, m.t.Index)
	}
	m.t = n.t
	m.t.initMissingMaps()
	m.unpublished, m.newSuspects = true, true
	return nil
}

// Check returns an error if data is not a snapshot.
func (m *Machine) Check(data []byte) error { return New().decode(data) }

func (m *Machine) decode(data []byte) error {
	return errors.Annotate(cbor.Unmarshal(data, &m.t), "decode snapshot")
}

// initMissingMaps creates the maps that a follower snapshot or one of an earlier version omits.
func (t *tables) initMissingMaps() {
	empty := New().t
	if t.Claims == nil {
		t.Claims = empty.Claims
	}
	if t.Counts == nil {
		t.Counts, t.ReportedTotals = empty.Counts, empty.ReportedTotals
	}
	if t.CompactedCounts == nil {
		t.CompactedCounts = empty.CompactedCounts
	}
	if t.Suspects == nil {
		t.Suspects = empty.Suspects
	}
	if t.Answers == nil {
		t.Answers = empty.Answers
	}
}

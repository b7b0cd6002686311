package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testElectionTimeout   = 100 * time.Millisecond
	testHeartbeatInterval = 20 * time.Millisecond
)

// disk is the state of a host that survives a crash.
type disk struct {
	state   State
	applied []string // commands applied up to the snapshot
}

// host is a simulated node with a simple state machine: a list of commands.
type host struct {
	core     *Core
	disk     disk
	commands []string
	applied  Index
	down     bool
}

// cluster runs cores over a simulated unreliable network. Rapid draws only the seed of the random schedule: drawn steps
// would favour small numbers, with which hardly any schedule elects a leader.
type cluster struct {
	t            *rapid.T
	now          time.Duration
	hosts        map[Node]*host
	nodes        []Node
	inFlight     []Message
	leaderByTerm map[Term]Node
	committed    map[Index]string // first command that a node applied at each index
	proposed     map[Index]proposal
	acknowledged []string
	lastID       int // number in the latest command or node name
	seed         uint64
	isolated     Node // node whose messages are all lost
	rnd          *rand.Rand
}

// proposal is a command that a leader accepted but has not yet acknowledged.
type proposal struct {
	term Term
	cmd  string
	node Node
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t: t, hosts: map[Node]*host{}, leaderByTerm: map[Term]Node{}, committed: map[Index]string{},
		proposed: map[Index]proposal{},
		rnd:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	var m Members
	for i := range n {
		m.Voters = append(m.Voters, Node(fmt.Sprint("n", i)))
	}
	for _, node := range m.Voters {
		c.hosts[node] = &host{disk: disk{state: State{Snapshot: Snapshot{Members: m}}}}
		c.nodes = append(c.nodes, node)
		c.start(node)
	}
	return c
}

// start starts or restarts n from its disk.
func (c *cluster) start(n Node) {
	h := c.hosts[n]
	c.seed++
	st := h.disk.state
	st.Entries = append([]Entry(nil), st.Entries...)
	h.core = New(c.now, Options{
		Self: n, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		MaxBatchBytes: 200, Rand: rand.New(rand.NewPCG(1, c.seed)),
	}, st)
	h.commands = append([]string(nil), h.disk.applied...)
	h.applied = st.Snapshot.Index
	h.down = false
}

// processOutput persists and sends the output of the core of n. crash simulates a crash that loses the whole output
// ("all") or everything after HardState ("entries").
func (c *cluster) processOutput(n Node, crash string) {
	h := c.hosts[n]
	for {
		out := h.core.TakeOutput()
		if out.Empty() {
			return
		}
		if crash == "all" {
			h.down = true
			return
		}
		if out.HardState != nil {
			h.disk.state.HardState = *out.HardState
		}
		if crash == "entries" {
			h.down = true
			return
		}
		c.persist(h, out)
		h.core.MarkSynced(c.now)
		c.checkElectionSafety(n)
		c.inFlight = append(c.inFlight, out.Messages...)
		c.applyCommitted(n)
	}
}

func (c *cluster) persist(h *host, out Output) {
	st := &h.disk.state
	if out.Snapshot != nil {
		st.Snapshot = *out.Snapshot
		st.Entries = append([]Entry(nil), h.core.Entries(out.Snapshot.Index, h.core.LastIndex())...)
		h.commands = decodeList(out.Snapshot.Data)
		h.disk.applied = append([]string(nil), h.commands...)
		h.applied = max(h.applied, out.Snapshot.Index)
		return
	}
	for _, e := range out.NewEntries {
		k := int(e.Index - st.Snapshot.Index - 1)
		require.LessOrEqual(c.t, k, len(st.Entries), "gap in the stored log")
		st.Entries = append(st.Entries[:k:k], e)
	}
}

// checkElectionSafety checks that a term has at most one leader.
func (c *cluster) checkElectionSafety(n Node) {
	core := c.hosts[n].core
	if core.Role() != Leader {
		return
	}
	old, ok := c.leaderByTerm[core.Term()]
	require.True(c.t, !ok || old == n, "two leaders in term %d: %s and %s", core.Term(), old, n)
	c.leaderByTerm[core.Term()] = n
}

// applyCommitted applies the committed entries of n and checks state machine safety: an index has the same command on
// every node.
func (c *cluster) applyCommitted(n Node) {
	h := c.hosts[n]
	for _, e := range h.core.Entries(h.applied, h.core.Commit()) {
		id := fmt.Sprint(e.Term, ":", string(e.Data))
		old, ok := c.committed[e.Index]
		require.True(c.t, !ok || old == id, "index %d has both %q and %q", e.Index, old, id)
		c.committed[e.Index] = id
		h.applied = e.Index
		if e.Kind == Normal {
			h.commands = append(h.commands, string(e.Data))
		}
		if a, ok := c.proposed[e.Index]; ok && a.node == n && a.term == e.Term && a.cmd == string(e.Data) {
			c.acknowledged = append(c.acknowledged, a.cmd)
			delete(c.proposed, e.Index)
		}
	}
}

func (c *cluster) randomNode() Node {
	return c.nodes[c.rnd.IntN(len(c.nodes))]
}

func (c *cluster) tick() {
	c.now += time.Duration(1+c.rnd.IntN(40)) * time.Millisecond
	for _, n := range c.nodes {
		if h := c.hosts[n]; !h.down {
			h.core.Tick(c.now)
			c.processOutput(n, "")
		}
	}
}

func (c *cluster) deliver(k int) {
	m := c.inFlight[k]
	c.inFlight = append(c.inFlight[:k:k], c.inFlight[k+1:]...)
	if m.To == c.isolated || m.From == c.isolated {
		return
	}
	if h, ok := c.hosts[m.To]; ok && !h.down {
		h.core.Step(c.now, m)
		c.processOutput(m.To, "")
	}
}

// deliverSome delivers some of the oldest messages out of order.
func (c *cluster) deliverSome() {
	for range 1 + c.rnd.IntN(24) {
		if len(c.inFlight) == 0 {
			return
		}
		c.deliver(c.rnd.IntN(min(len(c.inFlight), 4)))
	}
}

func (c *cluster) propose(n Node) {
	h := c.hosts[n]
	if h.down {
		return
	}
	c.lastID++
	cmd := fmt.Sprint("c", c.lastID)
	i, err := h.core.Propose(c.now, []byte(cmd))
	if err != nil {
		return
	}
	c.proposed[i] = proposal{term: h.core.Term(), cmd: cmd, node: n}
	c.processOutput(n, "")
}

// crash crashes n, losing all or part of its pending output, or restarts a node that is down.
func (c *cluster) crash(n Node) {
	for _, other := range c.nodes { // usually restart a crashed node before another one crashes
		if c.hosts[other].down && c.rnd.IntN(4) > 0 {
			c.start(other)
			return
		}
	}
	h := c.hosts[n]
	if h.down {
		c.start(n)
		return
	}
	h.core.Tick(c.now)
	c.processOutput(n, []string{"all", "entries"}[c.rnd.IntN(2)])
	h.down = true
}

func (c *cluster) compact(n Node) {
	h := c.hosts[n]
	if h.down || h.applied <= h.disk.state.Snapshot.Index {
		return
	}
	s := Snapshot{
		Index: h.applied, Term: h.core.TermAt(h.applied), Members: h.core.MembersAt(h.applied),
		Data: encodeList(h.commands),
	}
	h.disk.state.Snapshot = s
	h.disk.state.Entries = append([]Entry(nil), h.core.Entries(s.Index, h.core.LastIndex())...)
	h.disk.applied = append([]string(nil), h.commands...)
	h.core.Compact(s)
}

// changeMembers proposes to replace a random voter by a node with a new disk, or to promote a learner.
func (c *cluster) changeMembers(n Node) {
	h := c.hosts[n]
	if h.down || h.core.Role() != Leader {
		return
	}
	m := h.core.Members()
	switch {
	case len(m.Learners) > 0 && c.rnd.IntN(2) == 0:
		m = m.With(m.Learners[0], true)
	case len(m.Voters) > 2 && c.rnd.IntN(2) == 0:
		m = m.Without(m.Voters[c.rnd.IntN(len(m.Voters))])
	case len(c.nodes) < 7:
		c.lastID++
		newNode := Node(fmt.Sprint("x", c.lastID))
		c.hosts[newNode] = &host{}
		c.nodes = append(c.nodes, newNode)
		c.start(newNode)
		m = m.With(newNode, false)
	}
	if _, err := h.core.ProposeMembers(c.now, m); err == nil {
		c.processOutput(n, "")
	}
}

// randomStep takes one random action: a tick, deliveries, a proposal or a fault.
func (c *cluster) randomStep() {
	switch k := c.rnd.IntN(100); {
	case k < 30:
		c.tick()
	case k < 65 && len(c.inFlight) > 0:
		c.deliverSome()
	case k < 67 && len(c.inFlight) > 0: // lose a message
		c.inFlight = c.inFlight[1:]
	case k < 69 && len(c.inFlight) > 0: // duplicate a message
		c.inFlight = append(c.inFlight, c.inFlight[0])
	case k < 88:
		c.propose(c.randomNode())
	case k < 91:
		c.crash(c.randomNode())
	case k < 93:
		c.compact(c.randomNode())
	case k < 97:
		c.changeMembers(c.randomNode())
	case k < 99:
		c.isolated = []Node{"", "", c.randomNode()}[c.rnd.IntN(3)]
	default:
		if h := c.hosts[c.randomNode()]; !h.down {
			h.core.Transfer(c.now, "")
			c.processOutput(h.core.Self(), "")
		}
	}
}

// heal ends all faults, restarts every node, and returns the first leader with a lease that has applied its whole log.
func (c *cluster) heal() *host {
	c.isolated = ""
	for _, n := range c.nodes {
		if c.hosts[n].down {
			c.start(n)
		}
	}
	for range 3000 {
		c.now += 5 * time.Millisecond
		for _, n := range c.nodes {
			c.hosts[n].core.Tick(c.now)
			c.processOutput(n, "")
		}
		for k := 0; k < 1000 && len(c.inFlight) > 0; k++ {
			c.deliver(0)
		}
		for _, n := range c.nodes {
			h := c.hosts[n]
			if _, ok := h.core.LeaseEnd(c.now, 0); ok && h.applied == h.core.LastIndex() {
				return h
			}
		}
	}
	require.Fail(c.t, "no leader with a lease and a fully applied log after the faults ended")
	return nil
}

func encodeList(list []string) []byte {
	var data []byte
	for _, s := range list {
		data = append(append(data, s...), '\n')
	}
	return data
}

func decodeList(data []byte) []string {
	var list []string
	start := 0
	for i, b := range data {
		if b == '\n' {
			list = append(list, string(data[start:i]))
			start = i + 1
		}
	}
	return list
}

// TestAgreement checks over random schedules that a term has one leader, that an index has one command, and that the
// final log contains every acknowledged command exactly once.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		for range 100 + c.rnd.IntN(800) {
			c.randomStep()
		}
		h := c.heal()
		seen := map[string]int{}
		for _, cmd := range h.commands {
			seen[cmd]++
		}
		for _, cmd := range c.acknowledged {
			require.Equal(t, 1, seen[cmd], "occurrences of acknowledged command %s", cmd)
		}
	})
}

// TestLeaseExcludesOtherLeaders checks over random schedules that no two nodes hold a leader's lease at the same time.
func TestLeaseExcludesOtherLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		for range 100 + c.rnd.IntN(800) {
			c.randomStep()
			var holder Node
			for _, n := range c.nodes {
				h := c.hosts[n]
				if h.down {
					continue
				}
				if _, ok := h.core.LeaseEnd(c.now, 0); !ok {
					continue
				}
				require.Empty(t, holder, "%s and %s both hold the leader's lease", holder, n)
				holder = n
			}
		}
	})
}

// TestTransferEndsLease checks that a leader has no lease and accepts no proposals once it starts a transfer.
func TestTransferEndsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		h := c.heal()
		require.True(t, h.core.Transfer(c.now, ""))
		_, ok := h.core.LeaseEnd(c.now, 0)
		require.False(t, ok)
		_, err := h.core.Propose(c.now, []byte("late"))
		require.ErrorIs(t, err, ErrBusy)
	})
}

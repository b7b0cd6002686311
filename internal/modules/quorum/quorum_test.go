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
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// disk is what survives a crash of a test node.
type disk struct {
	state   State
	applied []string // commands up to the snapshot
}

// host is one test node with its naive state machine: a list of commands.
type host struct {
	core    *Core
	disk    disk
	list    []string
	applied Index
	down    bool
}

// cluster drives cores through an unreliable network. Rapid draws the seed of a schedule; its own draws favour small
// numbers, with which hardly any schedule elects a leader.
type cluster struct {
	t       *rapid.T
	now     time.Duration
	hosts   map[Node]*host
	order   []Node
	net     []Message
	leaders map[Term]Node
	chosen  map[Index]string // committed command by index, as first seen
	asked   map[Index]ask
	acked   []string
	serial  int
	seed    uint64
	cut     Node // a node whose messages are lost
	rnd     *rand.Rand
}

type ask struct {
	term Term
	cmd  string
	at   Node
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t: t, hosts: map[Node]*host{}, leaders: map[Term]Node{}, chosen: map[Index]string{}, asked: map[Index]ask{},
		rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	var m Members
	for i := range n {
		m.Voters = append(m.Voters, Node(fmt.Sprint("n", i)))
	}
	for _, node := range m.Voters {
		c.hosts[node] = &host{disk: disk{state: State{Snapshot: Snapshot{Members: m}}}}
		c.order = append(c.order, node)
		c.start(node)
	}
	return c
}

func (c *cluster) start(n Node) {
	h := c.hosts[n]
	c.seed++
	st := h.disk.state
	st.Entries = append([]Entry(nil), st.Entries...)
	h.core = New(c.now, Options{
		Self: n, Election: testElection, Heartbeat: testHeartbeat, Batch: 200, Rand: rand.New(rand.NewPCG(1, c.seed)),
	}, st)
	h.list = append([]string(nil), h.disk.applied...)
	h.applied = st.Snapshot.Index
	h.down = false
}

// flush persists and sends what the core asks; a crash point loses all or the part after Hard.
func (c *cluster) flush(n Node, crash string) {
	h := c.hosts[n]
	for {
		out := h.core.Take()
		if out.Empty() {
			return
		}
		if crash == "all" {
			h.down = true
			return
		}
		if out.Hard != nil {
			h.disk.state.Hard = *out.Hard
		}
		if crash == "entries" {
			h.down = true
			return
		}
		c.persist(h, out)
		h.core.Synced(c.now)
		c.check(n)
		c.net = append(c.net, out.Messages...)
		c.apply(n)
	}
}

func (c *cluster) persist(h *host, out Output) {
	st := &h.disk.state
	if out.Snapshot != nil {
		st.Snapshot = *out.Snapshot
		st.Entries = append([]Entry(nil), h.core.Entries(out.Snapshot.Index, h.core.Last())...)
		h.list = decodeList(out.Snapshot.Data)
		h.disk.applied = append([]string(nil), h.list...)
		h.applied = max(h.applied, out.Snapshot.Index)
		return
	}
	for _, e := range out.Append {
		k := int(e.Index - st.Snapshot.Index - 1)
		require.LessOrEqual(c.t, k, len(st.Entries), "gap on disk")
		st.Entries = append(st.Entries[:k:k], e)
	}
}

// check holds election safety.
func (c *cluster) check(n Node) {
	core := c.hosts[n].core
	if core.Role() != Leader {
		return
	}
	old, ok := c.leaders[core.Term()]
	require.True(c.t, !ok || old == n, "two leaders in term %d: %s and %s", core.Term(), old, n)
	c.leaders[core.Term()] = n
}

// apply holds state machine safety: an index has one command for ever.
func (c *cluster) apply(n Node) {
	h := c.hosts[n]
	for _, e := range h.core.Entries(h.applied, h.core.Commit()) {
		id := fmt.Sprint(e.Term, ":", string(e.Data))
		old, ok := c.chosen[e.Index]
		require.True(c.t, !ok || old == id, "index %d is %q and %q", e.Index, old, id)
		c.chosen[e.Index] = id
		h.applied = e.Index
		if e.Kind == Normal {
			h.list = append(h.list, string(e.Data))
		}
		if a, ok := c.asked[e.Index]; ok && a.at == n && a.term == e.Term && a.cmd == string(e.Data) {
			c.acked = append(c.acked, a.cmd)
			delete(c.asked, e.Index)
		}
	}
}

func (c *cluster) pick() Node {
	return c.order[c.rnd.IntN(len(c.order))]
}

func (c *cluster) tick() {
	c.now += time.Duration(1+c.rnd.IntN(40)) * time.Millisecond
	for _, n := range c.order {
		if h := c.hosts[n]; !h.down {
			h.core.Tick(c.now)
			c.flush(n, "")
		}
	}
}

func (c *cluster) deliver(k int) {
	m := c.net[k]
	c.net = append(c.net[:k:k], c.net[k+1:]...)
	if m.To == c.cut || m.From == c.cut {
		return
	}
	if h, ok := c.hosts[m.To]; ok && !h.down {
		h.core.Step(c.now, m)
		c.flush(m.To, "")
	}
}

// burst delivers some of the oldest messages, out of order.
func (c *cluster) burst() {
	for range 1 + c.rnd.IntN(24) {
		if len(c.net) == 0 {
			return
		}
		c.deliver(c.rnd.IntN(min(len(c.net), 4)))
	}
}

func (c *cluster) propose(n Node) {
	h := c.hosts[n]
	if h.down {
		return
	}
	c.serial++
	cmd := fmt.Sprint("c", c.serial)
	i, err := h.core.Propose(c.now, []byte(cmd))
	if err != nil {
		return
	}
	c.asked[i] = ask{term: h.core.Term(), cmd: cmd, at: n}
	c.flush(n, "")
}

func (c *cluster) crash(n Node) {
	for _, other := range c.order { // a crashed node comes back before the next one fails, most of the time
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
	c.flush(n, []string{"all", "entries"}[c.rnd.IntN(2)])
	h.down = true
}

func (c *cluster) compact(n Node) {
	h := c.hosts[n]
	if h.down || h.applied <= h.disk.state.Snapshot.Index {
		return
	}
	s := Snapshot{
		Index: h.applied, Term: h.core.TermAt(h.applied), Members: h.core.MembersAt(h.applied), Data: encodeList(h.list),
	}
	h.disk.state.Snapshot = s
	h.disk.state.Entries = append([]Entry(nil), h.core.Entries(s.Index, h.core.Last())...)
	h.disk.applied = append([]string(nil), h.list...)
	h.core.Compact(s)
}

// members proposes to replace a random voter by a node with a new disk, or to promote a learner.
func (c *cluster) members(n Node) {
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
	case len(c.order) < 7:
		c.serial++
		fresh := Node(fmt.Sprint("x", c.serial))
		c.hosts[fresh] = &host{}
		c.order = append(c.order, fresh)
		c.start(fresh)
		m = m.With(fresh, false)
	}
	if _, err := h.core.ProposeMembers(c.now, m); err == nil {
		c.flush(n, "")
	}
}

func (c *cluster) step() {
	switch k := c.rnd.IntN(100); {
	case k < 30:
		c.tick()
	case k < 65 && len(c.net) > 0:
		c.burst()
	case k < 67 && len(c.net) > 0: // lose
		c.net = c.net[1:]
	case k < 69 && len(c.net) > 0: // double
		c.net = append(c.net, c.net[0])
	case k < 88:
		c.propose(c.pick())
	case k < 91:
		c.crash(c.pick())
	case k < 93:
		c.compact(c.pick())
	case k < 97:
		c.members(c.pick())
	case k < 99:
		c.cut = []Node{"", "", c.pick()}[c.rnd.IntN(3)]
	default:
		if h := c.hosts[c.pick()]; !h.down {
			h.core.Transfer(c.now, "")
			c.flush(h.core.Self(), "")
		}
	}
}

// heal restarts every node, delivers everything and waits for one leader that has applied its whole log.
func (c *cluster) heal() *host {
	c.cut = ""
	for _, n := range c.order {
		if c.hosts[n].down {
			c.start(n)
		}
	}
	for range 3000 {
		c.now += 5 * time.Millisecond
		for _, n := range c.order {
			c.hosts[n].core.Tick(c.now)
			c.flush(n, "")
		}
		for k := 0; k < 1000 && len(c.net) > 0; k++ {
			c.deliver(0)
		}
		for _, n := range c.order {
			h := c.hosts[n]
			if _, ok := h.core.LeaseEnd(c.now, 0); ok && h.applied == h.core.Last() {
				return h
			}
		}
	}
	require.Fail(c.t, "no leader after the faults ended")
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

// TestAgreement holds, over random schedules, that a term has one leader, an index one command, and that every
// acknowledged command is in the final log exactly once, in the order of acknowledgement by index.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		for range 100 + c.rnd.IntN(800) {
			c.step()
		}
		h := c.heal()
		seen := map[string]int{}
		for _, cmd := range h.list {
			seen[cmd]++
		}
		for _, cmd := range c.acked {
			require.Equal(t, 1, seen[cmd], "acknowledged command %s", cmd)
		}
	})
}

// TestLeaseExcludesOtherLeaders holds that no node leads a later term while a leader's lease runs.
func TestLeaseExcludesOtherLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		for range 100 + c.rnd.IntN(800) {
			c.step()
			var holder Node
			for _, n := range c.order {
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

func TestTransferEndsTheLease(t *testing.T) {
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

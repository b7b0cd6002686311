package quorum

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link delivers messages in order, after a delay and as fast as its rate allows.
type link struct {
	delay   time.Duration
	rate    float64 // bytes per second; zero is unlimited
	cut     bool
	freeAt  time.Duration
	queue   []delivery
	entries int // bytes of entries that were sent
}

type delivery struct {
	at time.Duration
	m  Message
}

func (l *link) send(now time.Duration, m Message) {
	n := 100
	for _, e := range m.Entries {
		n += len(e.Data)
		l.entries += len(e.Data)
	}
	if l.cut {
		return
	}
	start := max(now, l.freeAt)
	if l.rate > 0 {
		l.freeAt = start + time.Duration(float64(n)/l.rate*float64(time.Second))
		start = l.freeAt
	}
	l.queue = append(l.queue, delivery{start + l.delay, m})
}

// underWay returns the bytes of entries that were sent and have not arrived.
func (l *link) underWay() (n int) {
	for _, d := range l.queue {
		for _, e := range d.m.Entries {
			n += len(e.Data)
		}
	}
	return n
}

func (l *link) receive(now time.Duration) (list []Message) {
	for len(l.queue) > 0 && l.queue[0].at <= now {
		list, l.queue = append(list, l.queue[0].m), l.queue[1:]
	}
	return list
}

// group runs voters over links with fixed delays, one millisecond a step.
type group struct {
	now   time.Duration
	cores map[Node]*Core
	nodes []Node
	links map[[2]Node]*link
}

func newGroup(voters int, delay time.Duration) *group {
	g := &group{cores: map[Node]*Core{}, links: map[[2]Node]*link{}}
	var m Members
	for i := range voters {
		m.Voters = append(m.Voters, Node(fmt.Sprint("n", i)))
	}
	g.nodes = m.Voters
	for i, n := range g.nodes {
		timeout := 400 * time.Millisecond
		if i == 0 {
			timeout = 200 * time.Millisecond // leads first
		}
		g.cores[n] = New(0, Options{
			Self: n, ElectionTimeout: timeout, HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		}, State{Snapshot: Snapshot{Members: m}})
		for _, to := range g.nodes {
			g.links[[2]Node{n, to}] = &link{delay: delay}
		}
	}
	return g
}

func (g *group) step() {
	g.now += time.Millisecond
	for _, n := range g.nodes {
		c := g.cores[n]
		for _, from := range g.nodes {
			for _, m := range g.links[[2]Node{from, n}].receive(g.now) {
				c.Step(g.now, m)
			}
		}
		c.Tick(g.now)
		for out := c.TakeOutput(); !out.Empty(); out = c.TakeOutput() {
			c.MarkSynced(g.now)
			for _, m := range out.Messages {
				g.links[[2]Node{n, m.To}].send(g.now, m)
			}
		}
	}
}

// run steps for d and proposes an entry of size bytes each interval.
func (g *group) run(d, interval time.Duration, size int) {
	for end := g.now + d; g.now < end; {
		g.step()
		if g.now%interval == 0 {
			g.cores[g.nodes[0]].Propose(g.now, bytes.Repeat([]byte{1}, size))
		}
	}
}

// A follower that fell behind gets what it lacks once, while proposals go on: each message that it rejects must not bring all of it again.
func TestCatchUpSendsTheBacklogOnce(t *testing.T) {
	const size, interval = 1000, 5 * time.Millisecond
	for _, delay := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			g := newGroup(3, delay)
			g.run(2*time.Second, interval, size)
			behind := g.links[[2]Node{"n0", "n2"}]
			behind.cut = true
			g.run(time.Second, interval, size)
			behind.cut, behind.entries = false, 0
			backlog := int(g.cores["n0"].LastIndex()-g.cores["n2"].LastIndex()) * size
			g.run(time.Second, interval, size)
			added := int(time.Second/interval) * size
			require.Equal(t, Leader, g.cores["n0"].Role())
			require.Less(t, g.cores["n0"].LastIndex()-g.cores["n2"].LastIndex(), Index(100))
			require.Less(t, behind.entries, 2*(backlog+added), "a backlog of %d bytes", backlog)
		})
	}
}

// A follower catches up over a link that carries three times what is proposed, since no more is under way than one batch.
func TestCatchUpOverSlowLink(t *testing.T) {
	const size, interval = 20_000, 50 * time.Millisecond // 400 KB/s
	g := newGroup(3, 5*time.Millisecond)
	behind := g.links[[2]Node{"n0", "n2"}]
	g.run(2*time.Second, interval, size)
	behind.rate, behind.cut = 1_200_000, true
	g.run(5*time.Second, interval, size) // 2 MB
	behind.cut = false
	for range 80 {
		g.run(100*time.Millisecond, interval, size)
		require.LessOrEqual(t, behind.underWay(), 1<<20+size) // an entry is never split
	}
	require.Equal(t, Leader, g.cores["n0"].Role())
	require.Less(t, g.cores["n0"].LastIndex()-g.cores["n2"].LastIndex(), Index(10))
}
